// The rules of routing and the guarantees of the client protocol, tested on real sockets.
#include <sys/socket.h>

#include <set>
#include <string>

#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

TEST_CASE("a read forwards key, id and facts and returns the member's value") {
  Stage stage(Stage::Says(Value("a\r\nb")));
  CHECK(stage.Ask(kRead) == "$4\r\na\r\nb\r\n");
  const std::string& got = stage.member.ends.front().got;
  std::size_t d = got.find("c=read,t=acme,d=");
  REQUIRE(d != std::string::npos);
  CHECK(got.starts_with("*4\r\n" + Bulk("OBJ.GET") + Bulk(kKey) + Bulk("9b1f03aa5c7e2d41") + "$"));
  CHECK(got.ends_with(",r=1,size=9\r\n"));
  int limit = std::stoi(got.substr(d + 16));
  CHECK(limit > 0);
  CHECK(limit <= 480);  // the remaining time of the client
}

TEST_CASE("a miss is fetched from the origin, in HTTP") {
  Stage stage(Stage::Says(kMiss), Stage::Says(kOriginResponse));
  CHECK(stage.Ask(kRead) == kOriginReply);
  const std::string& got = stage.origin.ends.front().got;
  const std::string before = std::string("GET /") + kKey +
                             " HTTP/1.1\r\nHost: origin\r\nX-Correlation-Id: 9b1f03aa5c7e2d41\r\n"
                             "X-Facts: c=read,t=acme,d=";
  REQUIRE(got.starts_with(before));
  int left = std::stoi(got.substr(before.size()));
  CHECK(left > 0);
  CHECK(left <= 480);  // the remaining time of the client
  CHECK(got == before + std::to_string(left) + ",r=1,size=9\r\n\r\n");
}

TEST_CASE("a value of 64 KiB is forwarded completely in both directions") {
  std::string big(resp::kMaxValue, 'v');
  Stage stage(Stage::Says(Value(big)), [&](End& end) {
    if (end.got.ends_with(big)) end.Say(kOriginResponse);
  });
  CHECK(stage.Ask(kRead) == Bulk(big));
  CHECK(stage.Ask(Set(kKey, "c=keyed,d=2000,k=1", big)) == kOriginReply);
  CHECK(stage.origin.ends.front().got.find("Content-Length: 65536\r\n\r\n" + big) != std::string::npos);
}

// Rule 1. Guards against requests without an answer, and against two answers to one request.
TEST_CASE("rule: silent servers lead to one final answer by the deadline, and no more") {
  Stage stage;
  End& client = stage.Client(Get(kKey, "c=read,t=acme,d=300"));
  stage.Until([&] { return client.got.ends_with("\r\n"); });
  CHECK(client.got == "-BUSY 500\r\n");
  for (End& end : stage.member.ends) {
    if (!end.closed) end.Say(Value("late"));
  }
  client.Say("*1\r\n" + Bulk("PING"));
  stage.Until([&] { return client.got.ends_with("+PONG\r\n"); });
  CHECK(client.got == "-BUSY 500\r\n+PONG\r\n");
  CHECK(Outcomes(stage, Result::kLate) == stage.router.counters().attempts);
  stage.Until([&] { return stage.member.ends.front().closed; });  // a cancelled attempt closes its connection
}

// Rule 2. A request that may have run is resent only if its class allows that.
TEST_CASE("rule: an unsafe write reset after it was sent is neither resent nor rejected") {
  Stage stage({}, [](End& end) { end.Hang(); });
  CHECK(stage.Ask(Set(kKey, "c=unsafe,d=900", "v")) == "-ERR failed\r\n");
  CHECK(stage.origin.Count("PUT /") == 1);
  CHECK(Outcomes(stage, Result::kReset) == 1);
}

TEST_CASE("rule: a keyed write that is reset is resent with the same key") {
  int times = 0;
  Stage stage({}, [&](End& end) { ++times == 1 ? end.Hang() : end.Say(kOriginResponse); });
  CHECK(stage.Ask(Set(kKey, "c=keyed,d=900,k=5c0f", "v")) == kOriginReply);
  CHECK(stage.origin.Count("k=5c0f") == 2);
}

TEST_CASE("rule: an unsafe write that could not connect never ran and may be rejected") {
  Stage stage;
  stage.origin.Refuse();
  CHECK(stage.Ask(Set(kKey, "c=unsafe,d=900", "v")).starts_with("-BUSY"));
  CHECK(Outcomes(stage, Result::kNoConn) == stage.router.counters().attempts);
}

// Rule 3.
TEST_CASE("rule: nothing is sent to a member once discovery has listed it as draining") {
  Stage stage(Stage::Says(Value("x")), Stage::Says(kOriginResponse));
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  std::string draining = Member("box-1", stage.member.port);
  draining.replace(draining.find("SERVING"), 7, "DRAINING");
  stage.Watched({R"({"index":42,"snapshot":false,"endpoints":[)" + draining + "]}"});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
  for (int i = 0; i < 5; ++i) CHECK(stage.Ask(kRead) == kOriginReply);
  CHECK(stage.member.Count("OBJ.GET") == 1);
  stage.Until([&] { return stage.member.ends.front().closed; });  // and its idle connection is closed
}

// Rule 4. Guards against a start time that is lost between the server list and the balancer's clock.
TEST_CASE("rule: a member that has just started is not sent all its keys at once") {
  auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  Stage stage({}, Stage::Says(kOriginResponse), R"(,"since_ms":)" + std::to_string(now.count()));
  for (int i = 0; i < 40; ++i) stage.Client(Get(std::to_string(1000 + i), "c=read,t=acme,d=600"));
  stage.Until([&] {
    return std::all_of(stage.clients.begin(), stage.clients.end(),
                       [](const End& client) { return client.got.ends_with("\r\n"); });
  });
  CHECK(stage.member.Count("OBJ.GET") <= 4);
}

TEST_CASE("answers come in the order of the commands") {
  End* first = nullptr;
  Stage stage([&](End& end) {
    if (end.got.find("1000") != std::string::npos) {
      first = &end;
    } else {
      end.Say(Value("two"));
    }
  });
  End& client = stage.Client(Get("1000", "c=read,d=2000") + Get("2000", "c=read,d=2000"));
  stage.Until([&] { return first != nullptr && Outcomes(stage, Result::kGood) == 1; });
  CHECK(client.got.empty());
  first->Say(Value("one"));
  stage.Until([&] { return client.got.size() >= 18; });
  CHECK(client.got == "$3\r\none\r\n$3\r\ntwo\r\n");
}

TEST_CASE("a command in pieces is one command") {
  Stage stage(Stage::Says(Value("x")));
  End& client = stage.Client("");
  for (std::size_t at = 0; at < kRead.size(); at += 7) {
    client.Say(kRead.substr(at, 7));
    stage.Until([turn = 0]() mutable { return ++turn > 1; });
  }
  stage.Until([&] { return client.got == "$1\r\nx\r\n"; });
}

TEST_CASE("malformed input gets the pending answers, one -ERR and a close") {
  Stage stage(Stage::Says(Value("x")));
  const struct {
    std::string text, answer;
  } cases[] = {
      {"GARBAGE\r\n", "-ERR expected an array\r\n"},
      {kRead + "GARBAGE\r\n" + kRead, "$1\r\nx\r\n-ERR expected an array\r\n"},
      {"*2\r\n$99999\r\n", "-ERR bad bulk length\r\n"},
      {Set(kKey, "c=keyed,d=9", std::string(resp::kMaxBody + 1, 'v')), "-ERR bad bulk length\r\n"},
      {"*1\r\n" + Bulk("HELLO") + Get(kKey, "c=none,d=9") + "*1\r\n" + Bulk("QUIT"),
       "-ERR unknown command\r\n-ERR unknown class\r\n+OK\r\n"},
  };
  for (const auto& one : cases) {
    End& client = stage.Client(one.text);
    stage.Until([&] { return client.closed; });
    CHECK(client.got == one.answer);
  }
}

// Guards against clients that hold a connection and memory indefinitely by sending a command slowly.
TEST_CASE("a command must arrive in time however slowly its bytes come, and an idle client is closed") {
  Stage stage(Stage::Says(Value("x")));
  End& silent = stage.Client("");
  End& slow = stage.Client("*4\r\n");
  End& half = stage.Client(kRead + kRead.substr(0, 30));
  End& idle = stage.Client("*1\r\n" + Bulk("PING"));
  End& continuing = stage.Client("GARBAGE\r\n");
  auto from = std::chrono::steady_clock::now();
  stage.Until([&] {
    if (!slow.closed) slow.Say("$");
    if (!continuing.closed) continuing.Say("and more of it\r\n");
    return slow.closed && silent.closed && half.closed && idle.closed && continuing.closed;
  });
  CHECK(std::chrono::steady_clock::now() - from > std::chrono::seconds(2));
  CHECK(silent.got == "");
  CHECK(slow.got.starts_with("-ERR "));
  CHECK(half.got == "$1\r\nx\r\n-ERR command not whole in time\r\n");
  CHECK(idle.got == "+PONG\r\n");
  CHECK(continuing.got == "-ERR expected an array\r\n");
  CHECK(stage.router.counters().clients_closed_as_idle == 2);
}

// Guards against an answer to the wrong one of two requests, and against a second copy at a member.
TEST_CASE("an id that is open for another client is an error, and available again once it is answered") {
  End* first = nullptr;
  Stage stage([&](End& end) { first = &end; });
  End& client = stage.Client(kRead);
  stage.Until([&] { return first != nullptr; });
  CHECK(stage.Ask(kRead) == "-ERR id in use\r\n");
  first->Say(Value("x"));
  stage.Until([&] { return client.got == "$1\r\nx\r\n"; });
  CHECK(stage.member.Count("OBJ.GET") == 1);
  End& again = stage.Client(kRead);
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 2; });
  first->Say(Value("y"));
  stage.Until([&] { return again.got == "$1\r\ny\r\n"; });
}

// Guards against unlimited memory for incomplete commands: with 16 MB in all they may take 2 MB.
TEST_CASE("of many incomplete commands the oldest are rejected, and complete ones are served") {
  const std::string value(resp::kMaxValue, 'v'), big = Set("1000", "c=keyed,d=2000,k=1", value);
  auto once_complete = [&](End& end) {
    if (end.got.ends_with(value)) end.Say(kOriginResponse);
  };
  Stage stage(Stage::Says(Value("x")), once_complete, "", 1024, 16);
  for (int i = 0; i < 60; ++i) stage.Client(big.substr(0, 60000));
  auto rejected = [&] {
    return std::count_if(stage.clients.begin(), stage.clients.end(),
                         [](const End& client) { return client.got == "-ERR too much at once\r\n"; });
  };
  stage.Until([&] { return rejected() >= 60 - 2 * 1024 * 1024 / 60000; });
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  CHECK(stage.Ask(Set("2000", "c=keyed,d=2000,k=1", value)) == kOriginReply);
}

TEST_CASE("a request is dropped when its client leaves, and others are served") {
  Stage stage([](End& end) {
    if (end.got.find("2000") != std::string::npos) end.Say(Value("x"));
  });
  End& client = stage.Client(Get("1000", "c=read,d=900"));
  stage.Until([&] { return stage.member.Count("1000") == 1; });
  client.Hang();
  stage.Until([&] { return stage.router.counters().requests_abandoned == 1; });
  CHECK(stage.Ask(Get("2000", "c=read,d=900")) == "$1\r\nx\r\n");
  using Of = Counters::PerClass;
  CHECK(stage.router.counters().Sum(&Of::rejected) + stage.router.counters().Sum(&Of::failed) == 0);
}

// Guards against running out of descriptors, which would prevent connections to members.
TEST_CASE("with many clients the longest idle are closed, and members can still be reached") {
  Stage stage(Stage::Says(Value("x")), {}, "", 64);
  for (int i = 0; i < 60; ++i) CHECK(stage.Ask("*1\r\n" + Bulk("PING")) == "+PONG\r\n");
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  CHECK(stage.router.counters().clients_closed_for_room > 0);
}

TEST_CASE("with many clients one that sends no request is closed early, though descriptors are free") {
  Stage stage(Stage::Says(Value("x")), {}, "", 64);
  End& usual = stage.Client(kRead);
  stage.Until([&] { return usual.got == "$1\r\nx\r\n"; });
  for (int i = 0; i < 22; ++i) stage.Client("");
  stage.Until([&] { return stage.router.counters().clients_closed_for_room >= 5; });
  CHECK(!usual.closed);
}

// Guards against new clients being turned away: clients may hold a third of the descriptors, and connections
// kept open after a single request filled that share before they counted as idle.
TEST_CASE("clients idle after one request are closed to make room, and those with several stay longer") {
  Stage stage(Stage::Says(Value("x")), {}, "", 128);
  auto ask = [&](End& client, int number) {
    std::size_t before = client.got.size();
    client.Say(Get("00000000000" + std::to_string(10000 + number), "c=read,d=1900"));
    stage.Until([&] { return client.got.size() > before; });
  };
  End& returning = stage.Client("");
  ask(returning, 0);
  ask(returning, 1);
  for (int i = 2; i < 70; ++i) ask(stage.Client(""), i);
  auto open =
      std::count_if(stage.clients.begin(), stage.clients.end(), [](const End& end) { return !end.closed; });
  CHECK(open <= 128 / 4);
  CHECK(open >= 128 / 6);
  CHECK(!returning.closed);
}

// Guards against hundreds of connections that send nothing or an incomplete command.
TEST_CASE("silent clients are closed before those that send requests") {
  Stage stage(Stage::Says(Value("x")), {}, "", 64);
  End& usual = stage.Client(kRead);
  stage.Until([&] { return usual.got == "$1\r\nx\r\n"; });
  for (int i = 0; i < 30; ++i) stage.Client(i % 2 == 0 ? "" : "*4\r\n");
  stage.Until([&] { return stage.router.counters().clients_accepted == 31; });
  auto from = std::chrono::steady_clock::now();
  stage.Until([&] { return std::chrono::steady_clock::now() - from > std::chrono::milliseconds(150); });
  for (int i = 0; i < 12; ++i) stage.Client("");
  stage.Until([&] { return stage.router.counters().clients_accepted == 43; });
  CHECK(stage.router.counters().clients_closed_for_room > 0);
  CHECK(!usual.closed);
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
}

// A planned restart: new requests are served meanwhile, and the router stops once all admitted ones are
// answered.
TEST_CASE("a stop loses no request") {
  End* waiting = nullptr;
  Stage stage([&](End& end) {
    if (end.got.find("1000") != std::string::npos) {
      waiting = &end;
    } else {
      end.Say(Value("x"));
    }
  });
  End& client = stage.Client(Get("1000", "c=read,d=2000"));
  stage.Until([&] { return waiting != nullptr; });
  bool ended = false;
  stage.router.Stop([&] { ended = true; });
  CHECK(stage.Ask(Get("2000", "c=read,d=2000")) == "$1\r\nx\r\n");
  CHECK(!ended);
  waiting->Say(Value("one"));
  stage.Until([&] { return ended; });
  CHECK(client.got == "$3\r\none\r\n");
  CHECK(stage.router.counters().Sum(&Counters::PerClass::served) == 2);
  stage.Until([&] { return client.closed; });
}

}  // namespace
}  // namespace peatbend::net::test

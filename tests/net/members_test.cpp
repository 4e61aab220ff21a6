// Connections to members, what comes over them, and the watch that tells of members, on real sockets.
#include <string>

#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

TEST_CASE("connections to members are used again, and one found stale is an outcome of its own") {
  int times = 0;
  Stage stage([&](End& end) { ++times < 3 ? end.Say(Value("x")) : end.Hang(); },
              Stage::Says(kOriginResponse));
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  stage.Rest();
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  CHECK(stage.router.counters().dials == 1);
  stage.Rest();
  CHECK(stage.Ask(kRead) == kOriginReply);  // the module's choice; the flow itself was not sent again
  CHECK(Outcomes(stage, Result::kReset) == 1);
  CHECK(stage.member.Count("OBJ.GET") == 3);
}

// Found on sockets, fleet seed 11: members lost without a word were sent requests on one kept connection
// after another, and each waited its whole limit where a dial would have told within 250 ms.
TEST_CASE("a flow that ends in silence takes the member's idle connections with it") {
  bool answered = false;
  Stage stage(
      [&](End&) {
        if (answered || stage.member.Count("OBJ.GET") < 2) return;  // two connections are in use
        answered = true;
        for (End& one : stage.member.ends) one.Say(Value("x"));
      },
      Stage::Says(kOriginResponse));
  for (const char* key : {"1000", "2000"}) stage.Client(Get(key, "c=read,d=2000"));
  stage.Until([&] { return Outcomes(stage, Result::kGood) == 2; });
  stage.Rest();
  std::string told = stage.Ask(Get("1000", "c=read,d=300"));
  CHECK((told.starts_with("-BUSY") || told == kOriginReply));  // its time is over, or all but
  CHECK(Outcomes(stage, Result::kLate) == 1);
  stage.Until([&] { return stage.member.ends.front().closed && stage.member.ends.back().closed; });
  CHECK(stage.member.ends.size() == 2);
  CHECK(stage.member.Count("1000") + stage.member.Count("2000") == 3);
}

// A request that waits for a place at the member goes out the moment that an answer has come. What follows
// that answer is then still unread: the answer ends where one read of the loop does.
TEST_CASE("what follows an answer is not taken for the next request's") {
  const std::string whole = Value(std::string(4096 - Value(std::string(4000, 'v')).size() + 4000, 'v'));
  REQUIRE(whole.size() == 4096);
  std::string last;
  Stage stage([&](End& end) {
    if (!last.empty() && end.got.find(last) != std::string::npos) end.Say(Value("own"));
  });
  for (int i = 1000; i < 1009; ++i) stage.Client(Get(std::to_string(i), "c=read,d=2000"));
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 8; });
  auto client = stage.clients.begin();
  for (int i = 1000; i < 1009; ++i) {
    if (stage.member.Count("\r\n" + std::to_string(i) + "\r\n") > 0) continue;
    last = "\r\n" + std::to_string(i) + "\r\n";
    client = std::next(stage.clients.begin(), i - 1000);
  }
  stage.member.ends.front().Say(whole + Value("stray"));
  stage.Until([&] { return client->got.ends_with("\r\n"); });
  CHECK(client->got == "$3\r\nown\r\n");
}

TEST_CASE("malformed members and an unreachable one are outcomes") {
  Stage stage(Stage::Says("+WHAT\r\n"), Stage::Says(kOriginResponse));
  CHECK(stage.Ask(kRead) == kOriginReply);
  CHECK(stage.router.counters().member_malformed == 1);
  stage.member.Refuse();
  CHECK(stage.Ask(kRead) == kOriginReply);
  CHECK(Outcomes(stage, Result::kNoConn) == 1);
}

TEST_CASE("a watch that fails is opened again from the version held") {
  Stage stage;
  auto again = [&](const std::string& from) {
    stage.Until([&] { return stage.discovery.ends.back().got.find(from) != std::string::npos; });
  };
  auto change = [&](int index) {
    return Chunk(R"({"index":)" + std::to_string(index) + R"(,"snapshot":false,"endpoints":[]})");
  };
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  stage.Until([&] { return stage.discovery.ends.size() == 1; });
  again("from=41 ");
  stage.discovery.ends.back().Say(head + change(43));
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
  stage.discovery.ends.back().Hang();
  again("from=43 ");
  stage.discovery.ends.back().Say(head + "1\r\n\n\r\n" + change(44) + Chunk("{broken"));
  again("from=44 ");
  stage.discovery.ends.back().Say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  stage.Until([&] { return stage.discovery.ends.size() == 4; });
  CHECK(stage.router.counters().watch_failures == 3);
}

TEST_CASE("a member's address may change") {
  Stage stage(Stage::Says(Value("old")));
  Peer moved(stage.base.get(), Stage::Says(Value("new")));
  CHECK(stage.Ask(kRead) == "$3\r\nold\r\n");
  stage.Watched({R"({"index":42,"snapshot":false,"endpoints":[)" + Member("box-1", moved.port) + "]}"});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
  CHECK(stage.Ask(kRead) == "$3\r\nnew\r\n");
}

// A reload moves the watch: the list held serves on until the new discovery, whose versions are its own, has
// told the whole of its. A faulty configuration changes nothing.
TEST_CASE("a reload moves the watch to another discovery, and a faulty one leaves it") {
  Stage stage(Stage::Says(Value("old")));
  Peer next(stage.base.get()), other(stage.base.get(), Stage::Says(Value("new")));
  stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
  stage.router.Reload([]() -> Config { throw ConfigError("discovery: a string expected"); });
  Config config = stage.Configured();
  stage.router.Reload([&] { return config; });  // nothing differs
  CHECK(stage.router.counters().watches == 1);
  CHECK(!stage.discovery.ends.back().closed);
  config.discovery = "127.0.0.1:" + std::to_string(next.port);
  stage.router.Reload([&] { return config; });
  stage.Until([&] { return next.Count("watch=1&from=0 ") == 1 && stage.discovery.ends.back().closed; });
  CHECK(stage.Ask(kRead) == "$3\r\nold\r\n");
  next.ends.back().Say(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Chunk(R"({"index":3,"snapshot":true,"endpoints":[)" + Member("box-2", other.port) + "]}"));
  stage.Until([&] { return stage.router.counters().server_list_changes == 2; });
  CHECK(stage.Ask(kRead) == "$3\r\nnew\r\n");
  next.ends.back().Hang();  // and a watch that fails is opened again there
  stage.Until([&] { return next.Count("watch=1&from=3 ") == 1; });
  CHECK(stage.router.counters().reloads == 2);
  CHECK(stage.router.counters().reloads_refused == 1);
}

}  // namespace
}  // namespace peatbend::net::test

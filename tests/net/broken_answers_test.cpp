// Answers and requests that break off, on real connections: what the outcome is, and what follows from it.
#include <functional>
#include <string>

#include "net/attempt_fixture.h"
#include "net/raw_server.h"
#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

const std::string kBrokenKeyRead = Get(kKey, "c=read,t=acme,d=1900");
const std::string kWholeHttp = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfrom";
const std::string kNoLength = "HTTP/1.1 200 OK\r\n\r\n";
const std::string kFromOrigin = "$4\r\nfrom\r\n";

// A reset is no end: an answer of unknown length may go on behind it.
TEST_CASE("broken off: an answer over HTTP of unknown length that is reset is not served") {
  RawServer origin;
  Stage stage(Stage::Says(kMiss));
  Moves(stage, Member("origin", origin.port));
  End& client = stage.Client(kBrokenKeyRead);
  stage.Until([&] { return origin.Accepted() && origin.Got("\r\n\r\n"); });
  origin.Say(kNoLength + "fr");
  origin.Reset();
  stage.Until([&] { return origin.Accepted() && origin.Got("\r\n\r\n"); });  // the module asks once more
  CHECK(Outcomes(stage, Result::kReset) == 1);
  CHECK(client.got.empty());
  origin.Say(kWholeHttp);
  stage.Until([&] { return client.got == kFromOrigin; });
}

TEST_CASE("broken off: an answer over HTTP of unknown length is whole at the connection's end") {
  RawServer origin;
  Stage stage(Stage::Says(kMiss));
  Moves(stage, Member("origin", origin.port));
  End& client = stage.Client(kBrokenKeyRead);
  stage.Until([&] { return origin.Accepted() && origin.Got("\r\n\r\n"); });
  origin.Say(kNoLength + "from");
  origin.Close();
  stage.Until([&] { return client.got == kFromOrigin; });
}

void HalfAnArray(const std::function<void(RawServer&)>& ends) {
  RawServer member;
  Stage stage({}, Stage::Says(kWholeHttp));
  Moves(stage, Member("box-1", member.port));
  End& client = stage.Client(kBrokenKeyRead);
  stage.Until([&] { return member.Accepted() && member.Got("\r\n"); });
  member.Say("*3\r\n$4\r\nhalf\r\n$3\r\nh");
  ends(member);
  stage.Until([&] { return client.got == kFromOrigin; });
  CHECK(Outcomes(stage, Result::kReset) == 1);
  CHECK(Outcomes(stage, Result::kGood) == 1);
}

TEST_CASE("broken off: half an array at the connection's end is a reset, and served from elsewhere") {
  HalfAnArray(&RawServer::Close);
}

TEST_CASE("broken off: half an array before a reset is a reset, and served from elsewhere") {
  HalfAnArray(&RawServer::Reset);
}

// May-have-run is decided by the last byte: what was not written whole never ran, so that even a write that
// may not be repeated goes out again.
TEST_CASE("broken off: a write reset before its last byte was written never ran") {
  const std::string value(resp::kMaxBody, 'v');  // more than the socket's buffers take
  RawServer origin(4096);
  Stage stage;
  Moves(stage, Member("origin", origin.port));
  End& client = stage.Client(Set(kKey, "c=unsafe,t=acme,d=1900", value));
  stage.Until([&] { return origin.Accepted(); });
  CHECK(stage.router.counters().dispatches == 0);
  origin.Reset();
  stage.Until([&] { return origin.Accepted() && origin.Got(value); });
  CHECK(Outcomes(stage, Result::kNoConn) == 1);
  origin.Say(kWholeHttp);
  stage.Until([&] { return client.got == kFromOrigin; });
  CHECK(stage.router.counters().dispatches == 1);
}

// A kept connection that the server closes in the moment in which it is used again: whether it ran is not
// known, and what may not be repeated is not.
TEST_CASE("broken off: an unsafe write on a kept connection that is reset has failed") {
  RawServer origin;
  Stage stage(Stage::Says(kMiss));
  Moves(stage, Member("origin", origin.port));
  End& reader = stage.Client(kBrokenKeyRead);
  stage.Until([&] { return origin.Accepted() && origin.Got("\r\n\r\n"); });
  origin.Say(kWholeHttp);
  stage.Until([&] { return reader.got == kFromOrigin; });
  stage.Rest();
  End& writer = stage.Client(Set("1000", "c=unsafe,t=acme,d=1900", "value"));
  stage.Until([&] { return origin.Got("value"); });
  CHECK(stage.router.counters().reused == 1);
  origin.Reset();
  stage.Until([&] { return writer.got == "-ERR failed\r\n"; });
  CHECK(Outcomes(stage, Result::kReset) == 1);
  CHECK(!origin.Accepted());
}

// Guards against a second answer that comes some milliseconds late: a connection that was used again by then
// gave it to the other request. A try in which the machine was too slow for these milliseconds says nothing,
// and is repeated.
TEST_CASE("said twice: a second answer that comes some milliseconds late is given to no other request") {
  using std::chrono::steady_clock;
  constexpr std::chrono::milliseconds kAskedAfter{4}, kSaidAgainWithin{9};
  constexpr int kTries = 100;
  bool in_time = false;
  for (int i = 0; i < kTries && !in_time; ++i) {
    Stage stage;
    End& first = stage.Client(Get("1000", "c=read,t=acme,d=1900"));
    stage.Until([&] { return stage.member.Count("OBJ.GET") == 1; });
    auto answered = steady_clock::now();
    End& server = stage.member.ends.front();
    server.Say(Value("one"));
    stage.Until([&] { return !first.got.empty() && steady_clock::now() - answered >= kAskedAfter; });
    End& second = stage.Client(Get("2000", "c=read,t=acme,d=1900"));
    stage.Until([&] { return stage.member.Count("OBJ.GET") == 2; });
    in_time = steady_clock::now() - answered < kSaidAgainWithin;
    if (!server.closed) server.Say(Value("one"));
    stage.member.ends.back().Say(Value("two"));
    stage.Until([&] { return second.got.ends_with("\r\n"); });
    if (in_time) CHECK(second.got == "$3\r\ntwo\r\n");
  }
  CHECK(in_time);
}

End* HolderOf(Stage& stage, const std::string& key) { return stage.member.Receiver("\r\n" + key + "\r\n"); }

// A request of this key, once the server has it.
End& Sent(Stage& stage, const std::string& key) {
  End& client = stage.Client(Get(key, "c=read,t=acme,d=1900"));
  stage.Until([&] { return HolderOf(stage, key) != nullptr; });
  return client;
}

// The server answers this request, at once, with two answers.
void AnswersTwice(Stage& stage, const std::string& key) {
  End& client = Sent(stage, key);
  HolderOf(stage, key)->Say(Value("one") + Value("one"));
  stage.Until([&] { return client.got == "$3\r\none\r\n"; });
}

// Guards against a second answer that comes when the connection has long rested and carries another request:
// to the router it is that request's. One that came at once has told what sort of server this is. A try in
// which the machine was too slow says nothing, and is repeated.
TEST_CASE("said twice: a server that has answered twice gives no late second answer to another request") {
  using std::chrono::steady_clock;
  constexpr std::chrono::milliseconds kAskedAfter{60}, kSaidAgainWithin{95};
  constexpr int kTries = 100;
  bool in_time = false;
  for (int i = 0; i < kTries && !in_time; ++i) {
    Stage stage;
    AnswersTwice(stage, "1000");
    End& second = Sent(stage, "2000");
    auto answered = steady_clock::now();
    End& late = *HolderOf(stage, "2000");
    late.Say(Value("two"));
    stage.Until([&] { return !second.got.empty() && steady_clock::now() - answered >= kAskedAfter; });
    CHECK(second.got == "$3\r\ntwo\r\n");
    End& third = Sent(stage, "3000");
    in_time = steady_clock::now() - answered < kSaidAgainWithin;
    if (!late.closed) late.Say(Value("two"));  // the second answer, after the connection has rested
    HolderOf(stage, "3000")->Say(Value("three"));
    stage.Until([&] { return third.got.ends_with("\r\n"); });
    if (in_time) CHECK(third.got == "$5\r\nthree\r\n");
  }
  CHECK(in_time);
}

// What a server's process has done says nothing of the next one.
TEST_CASE("said twice: a server that started anew has its connections used again after the shorter rest") {
  Stage stage({}, {}, "", 1024, 192, "",
              [](Config& config) { config.tuning.members.settle_unsolicited = std::chrono::seconds{1}; });
  auto reused_after = [&](const std::string& first, const std::string& next) {
    End& client = Sent(stage, first);
    HolderOf(stage, first)->Say(Value("one"));
    stage.Until([&] { return client.got == "$3\r\none\r\n"; });
    stage.Rest();
    std::uint64_t before = stage.router.counters().reused;
    Sent(stage, next);
    return stage.router.counters().reused > before;
  };
  AnswersTwice(stage, "1000");
  CHECK_FALSE(reused_after("2000", "3000"));
  stage.Watched({R"({"index":42,"snapshot":false,"endpoints":[)" +
                 Member("box-1", stage.member.port, R"(,"since_ms":1700000000000)") + "]}"});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
  CHECK(reused_after("4000", "5000"));
}

TEST_CASE("broken off: a refused connection never ran, whatever the class") {
  RawServer origin;
  Stage stage;
  {
    RawServer closed;  // its port refuses once it has gone
    origin.port = closed.port;
  }
  Moves(stage, Member("origin", origin.port));
  CHECK(stage.Ask(Set(kKey, "c=unsafe,t=acme,d=900", "v")).starts_with("-BUSY"));
  CHECK(Outcomes(stage, Result::kNoConn) == stage.router.counters().attempts);
}

// The system has accepted the connection, and the server is killed before anything was written to it.
TEST_CASE("broken off: a connection reset before the request is written is an attempt that never ran") {
  RawServer server;
  AttemptFixture flows;
  flows.SetServer(server.port);
  flows.Start();
  REQUIRE(server.Accepted());  // within the call on loopback; the loop has not run since
  server.Reset();
  flows.WaitForOutcome();
  CHECK(flows.outcome == Result::kNoConn);
  CHECK(flows.counters.dispatches == 0);
  flows.stage.Rest();
  CHECK(flows.outcomes == 1);
}

// The system turns some addresses down at once, within the call.
TEST_CASE("broken off: a connection that cannot even be asked for is one outcome") {
  Stage stage({}, Stage::Says(kWholeHttp));
  std::string entry = Member("box-1", 1);
  entry.replace(entry.find("127.0.0.1:1"), 11, "255.255.255.255:1");
  Moves(stage, entry);
  CHECK(stage.Ask(kBrokenKeyRead) == kFromOrigin);
  CHECK(Outcomes(stage, Result::kNoConn) == 1);
  CHECK(Outcomes(stage, Result::kGood) == 1);
  CHECK(stage.router.counters().attempts == 2);
}

// Guards against a loop that counts its timers from the moment in which a turn began: one set late in a turn
// would fire early by as long as the turn had lasted, and the module would take what was left for time for
// another attempt.
TEST_CASE("out of time: an attempt that a slow turn of the loop has begun ends no sooner than its limit") {
  using std::chrono::steady_clock;
  constexpr std::chrono::milliseconds kTurn{40}, kLimit{100};
  RawServer server;
  AttemptFixture flows;
  flows.SetServer(server.port);
  Timer turn(flows.stage.base.get(), [&] {
    for (auto until = steady_clock::now() + kTurn; steady_clock::now() < until;) {
    }
    flows.Start(kAttemptTimeout, kLimit);
  });
  turn.Activate();
  flows.WaitForOutcome();
  CHECK(flows.outcome == Result::kLate);
  CHECK(flows.elapsed >= kLimit);
}

}  // namespace
}  // namespace peatbend::net::test

// Answers and requests that break off, on real connections: what the outcome is, and what follows from it.
#include <functional>
#include <string>

#include "net/flows_stage.h"
#include "net/raw_server.h"
#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

const std::string kBrokenKeyRead = Get(kKey, "c=read,t=acme,d=1900");
const std::string kWholeHttp = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfrom";
const std::string kNoLength = "HTTP/1.1 200 OK\r\n\r\n";
const std::string kFromOrigin = "$4\r\nfrom\r\n";

// The list in which these two stand elsewhere.
void Moves(Stage& stage, const std::string& members) {
  stage.Watched({R"({"index":42,"snapshot":false,"endpoints":[)" + members + "]}"});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
}

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

// Guards against a second answer that comes when the connection has long rested and carries another request:
// to the router it is that request's. One that came at once has told what sort of server this is.
TEST_CASE("said twice: a server that has answered twice gives no late second answer to another request") {
  Stage stage;
  auto sends = [&](const std::string& key) -> End& { return stage.Client(Get(key, "c=read,t=acme,d=1900")); };
  auto holder = [&](const std::string& key) -> End* {
    for (End& end : stage.member.ends) {
      if (end.got.find("\r\n" + key + "\r\n") != std::string::npos) return &end;
    }
    return nullptr;
  };
  End& first = sends("1000");
  stage.Until([&] { return holder("1000") != nullptr; });
  holder("1000")->Say(Value("one") + Value("one"));
  stage.Until([&] { return first.got == "$3\r\none\r\n"; });
  End& second = sends("2000");
  stage.Until([&] { return holder("2000") != nullptr; });
  End& late = *holder("2000");
  late.Say(Value("two"));
  stage.Until([&] { return second.got == "$3\r\ntwo\r\n"; });
  stage.Rest();
  End& third = sends("3000");
  stage.Until([&] { return holder("3000") != nullptr; });
  if (!late.closed) late.Say(Value("two"));  // the second answer, after the connection has rested
  holder("3000")->Say(Value("three"));
  stage.Until([&] { return third.got.ends_with("\r\n"); });
  CHECK(third.got == "$5\r\nthree\r\n");
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
  Flows flows;
  flows.Serve(server.port);
  flows.Start();
  REQUIRE(server.Accepted());  // within the call on loopback; the loop has not run since
  server.Reset();
  flows.UntilItsOutcome();
  CHECK(flows.outcome == Result::kNoConn);
  CHECK(flows.counters.dispatches == 0);
  flows.stage.Rest();
  CHECK(flows.ends == 1);
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

}  // namespace
}  // namespace peatbend::net::test

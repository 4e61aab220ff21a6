// Attempts at servers: the remaining time that they pass on, and when they may still begin. Runs on real
// connections, some of which are established with a delay.
#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>

#include "net/delayed_port.h"
#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string kOtherKey = "00000000000000aa";
const std::string kOriginHttpResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfrom";
const std::string kFetched = "$4\r\nfrom\r\n", kGot = "$1\r\nx\r\n";
// Tolerance for the remaining time that a server is told, due to scheduling.
constexpr milliseconds kRemainingTolerance{150};
// The minimum delay of a connection to a DelayedPort.
constexpr milliseconds kMinDialTime{1000};
constexpr milliseconds kClientTimeout{2000};  // also the deadline of the classes

// A router whose dial timeout exceeds the client's timeout and whose cache server is at a DelayedPort.
class DelayedStage : public Stage {
 public:
  explicit DelayedStage(Answer server_answers, Answer origin_answers = {})
      : Stage({}, std::move(origin_answers), "", 1024, 192, "",
              [](Config& config) { config.settings.dial_timeout = 2 * kClientTimeout; }),
        server(base.get(), std::move(server_answers)) {
    watch = &Watched({R"({"index":42,"snapshot":false,"endpoints":[)" + Member("box-1", server.port) + "]}"});
    Until([&] { return router.counters().server_list_changes == 1; });
  }
  std::uint64_t OutcomeCount() const {
    const auto& outcomes = router.counters().outcomes;
    return std::accumulate(std::begin(outcomes), std::end(outcomes), std::uint64_t{0});
  }

  DelayedPort server;
  End* watch = nullptr;
};

// The remaining time in the last of the attempts received.
milliseconds RemainingTime(const std::string& got) {
  std::size_t at = got.rfind(",d=");
  REQUIRE(at != std::string::npos);
  return milliseconds(std::stoi(got.substr(at + 3)));
}

std::string GetWithin(const std::string& key, milliseconds timeout) {
  return Get(key, "c=read,t=acme,d=" + std::to_string(timeout.count()));
}

// Guards against an outdated remaining time: the request was encoded when the dial began but written once the
// connection was established.
TEST_CASE("attempt: after a slow dial the server is told the time that remains by then") {
  DelayedStage stage(Stage::Says(Value("x")));
  auto asked = steady_clock::now();
  End& client = stage.Client(GetWithin(kKey, kClientTimeout));
  stage.Until([&] { return stage.router.counters().dials == 1; });
  stage.server.Open();
  stage.Until([&] { return client.got == kGot; });
  REQUIRE(steady_clock::now() - asked >= kMinDialTime);
  CHECK(RemainingTime(stage.server.ends.back().got) <= kClientTimeout - kMinDialTime + kRemainingTolerance);
}

// Guards against a later attempt that passes on the client's original time: the facts were forwarded to the
// origin unchanged.
TEST_CASE(
    "attempt: the origin is told the time that remains when its attempt begins, and all else unchanged") {
  constexpr milliseconds kMemberDelay{400};
  End* waiting = nullptr;
  Stage stage([&](End& end) { waiting = &end; }, Stage::Says(kOriginHttpResponse));
  auto asked = steady_clock::now();
  End& client = stage.Client(Get(kKey, "c=read,t=acme,d=2000,r=1,size=9"));
  stage.Until([&] { return waiting != nullptr; });
  stage.Until([&] { return steady_clock::now() - asked >= kMemberDelay; });
  waiting->Say(kMiss);
  stage.Until([&] { return client.got == kFetched; });
  const std::string& got = stage.origin.ends.front().got;
  milliseconds remaining = RemainingTime(got);
  CHECK(remaining <= kClientTimeout - kMemberDelay + kRemainingTolerance);
  CHECK(remaining > milliseconds(0));
  CHECK(got.find("\r\nX-Facts: c=read,t=acme,d=" + std::to_string(remaining.count()) +
                 ",r=1,size=9\r\n\r\n") != std::string::npos);
}

// Guards against work for a client that has left: its attempt was written once the connection was
// established. The second request dials later, so its answer shows that the first would have been sent by
// then.
TEST_CASE("attempt: one that still dials when its client leaves never begins") {
  DelayedStage stage(Stage::Says(Value("x")));
  End& leaving = stage.Client(GetWithin(kKey, kClientTimeout));
  stage.Until([&] { return stage.router.counters().dials == 1; });
  End& staying = stage.Client(GetWithin(kOtherKey, kClientTimeout));
  stage.Until([&] { return stage.router.counters().dials == 2; });
  leaving.Hang();
  stage.Until([&] { return stage.router.counters().requests_abandoned == 1; });
  stage.server.Open();
  stage.Until([&] { return staying.got == kGot; });
  CHECK(stage.server.Count(kOtherKey) == 1);
  CHECK(stage.server.Count(kKey) == 0);
  CHECK(stage.OutcomeCount() == 2);
  CHECK(Outcomes(stage, Result::kNeverSent) == 1);
}

// An attempt that has begun continues or is cancelled, and its outcome is reported once.
TEST_CASE("attempt: one that has begun when its client leaves keeps its own outcome") {
  Stage stage;
  End& client = stage.Client(GetWithin(kKey, kClientTimeout));
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 1; });
  client.Hang();
  stage.Until([&] { return stage.router.counters().requests_abandoned == 1; });
  stage.member.ends.front().Say(Value("x"));
  stage.Until([&] { return Outcomes(stage, Result::kGood) + Outcomes(stage, Result::kCancelled) == 1; });
  CHECK(Outcomes(stage, Result::kNeverSent) == 0);
}

// Rule 3. With a dial timeout longer than the drain grace, an attempt that was dialling when its server began
// to drain was written whenever the connection was established. It must be given up as never sent, so that
// the request can go to another server.
void NeverBeginsAfterGrace(const std::function<std::string(int port)>& list_change) {
  DelayedStage stage(Stage::Says(Value("x")), Stage::Says(kOriginHttpResponse));
  End& client = stage.Client(GetWithin(kKey, kClientTimeout));
  stage.Until([&] { return stage.router.counters().dials == 1; });
  stage.watch->Say(Chunk(list_change(stage.server.port)));
  stage.Until([&] { return stage.router.counters().server_list_changes == 2; });
  stage.server.Open();
  stage.Until([&] { return client.got.ends_with("\r\n"); });
  CHECK(client.got == kFetched);
  CHECK(Outcomes(stage, Result::kNeverSent) == 1);
  End& later = stage.clients.emplace_back(stage.base.get(), -1);
  later.Connect(stage.server.port);
  later.Say("later");
  stage.Until([&] { return stage.server.Count("later") == 1; });
  CHECK(stage.server.Count("OBJ.GET") == 0);
}

std::string WithStatus(const std::string& status, int port) {
  std::string entry = Member("box-1", port);
  entry.replace(entry.find("SERVING"), 7, status);
  return R"({"index":43,"snapshot":false,"endpoints":[)" + entry + "]}";
}

TEST_CASE("attempt: one that dials a server that starts draining does not begin after the grace") {
  NeverBeginsAfterGrace([](int port) { return WithStatus("DRAINING", port); });
}

TEST_CASE("attempt: one that dials a server that is deleted does not begin after the grace") {
  NeverBeginsAfterGrace([](int port) { return WithStatus("DELETED", port); });
}

}  // namespace
}  // namespace peatbend::net::test

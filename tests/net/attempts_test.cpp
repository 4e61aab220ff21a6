// Attempts at servers: what they tell of the time left, and when they may begin at all. On real connections,
// some of which come up late.
#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>

#include "net/late_port.h"
#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::string kOtherKey = "00000000000000aa";
const std::string kOriginAnswers = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfrom";
const std::string kFetched = "$4\r\nfrom\r\n", kGot = "$1\r\nx\r\n";
// Of the time told, over what is left: what the platform allows.
constexpr milliseconds kToldSlack{150};
// The least time after which a connection of a LatePort comes up.
constexpr milliseconds kComesUpAfter{1000};
constexpr milliseconds kWaits{2000};  // a client, and at most a class

// A router whose connections may take longer to come up than a client waits, and whose cache server is at a
// late port.
class LateStage : public Stage {
 public:
  explicit LateStage(Answer late_answers, Answer origin_answers = {})
      : Stage({}, std::move(origin_answers), "", 1024, 192, "",
              [](Config& config) { config.settings.dial_timeout = 2 * kWaits; }),
        late(base.get(), std::move(late_answers)) {
    watch = &Watched({R"({"index":42,"snapshot":false,"endpoints":[)" + Member("box-1", late.port) + "]}"});
    Until([&] { return router.counters().server_list_changes == 1; });
  }
  std::uint64_t Ended() const {
    const auto& outcomes = router.counters().outcomes;
    return std::accumulate(std::begin(outcomes), std::end(outcomes), std::uint64_t{0});
  }

  LatePort late;
  End* watch = nullptr;
};

// The time that the last of these attempts told.
milliseconds Told(const std::string& got) {
  std::size_t at = got.rfind(",d=");
  REQUIRE(at != std::string::npos);
  return milliseconds(std::stoi(got.substr(at + 3)));
}

std::string GetWithin(const std::string& key, milliseconds waits) {
  return Get(key, "c=read,t=acme,d=" + std::to_string(waits.count()));
}

// Guards against a figure that was true when the dial began: it was encoded then, and written once the
// connection was up.
TEST_CASE("attempt: a connection that comes up late tells its server what is left by then") {
  LateStage stage(Stage::Says(Value("x")));
  auto asked = steady_clock::now();
  End& client = stage.Client(GetWithin(kKey, kWaits));
  stage.Until([&] { return stage.router.counters().dials == 1; });
  stage.late.Open();
  stage.Until([&] { return client.got == kGot; });
  REQUIRE(steady_clock::now() - asked >= kComesUpAfter);
  CHECK(Told(stage.late.ends.back().got) <= kWaits - kComesUpAfter + kToldSlack);
}

// Guards against a further attempt that tells the time which the client had at the first: the origin was told
// the list of names and values as it had come.
TEST_CASE("attempt: the origin is told what is left when its attempt begins, and all else as it came") {
  constexpr milliseconds kMemberTakes{400};
  End* waiting = nullptr;
  Stage stage([&](End& end) { waiting = &end; }, Stage::Says(kOriginAnswers));
  auto asked = steady_clock::now();
  End& client = stage.Client(Get(kKey, "c=read,t=acme,d=2000,r=1,size=9"));
  stage.Until([&] { return waiting != nullptr; });
  stage.Until([&] { return steady_clock::now() - asked >= kMemberTakes; });
  waiting->Say(kMiss);
  stage.Until([&] { return client.got == kFetched; });
  const std::string& got = stage.origin.ends.front().got;
  milliseconds told = Told(got);
  CHECK(told <= kWaits - kMemberTakes + kToldSlack);
  CHECK(told > milliseconds(0));
  CHECK(got.find("\r\nX-Facts: c=read,t=acme,d=" + std::to_string(told.count()) + ",r=1,size=9\r\n\r\n") !=
        std::string::npos);
}

// Guards against work for a client that has gone: its attempt was written once the dial was up. The other
// request shows when that would have been, since it dialled later.
TEST_CASE("attempt: one that still dials when its client leaves never begins") {
  LateStage stage(Stage::Says(Value("x")));
  End& leaves = stage.Client(GetWithin(kKey, kWaits));
  stage.Until([&] { return stage.router.counters().dials == 1; });
  End& stays = stage.Client(GetWithin(kOtherKey, kWaits));
  stage.Until([&] { return stage.router.counters().dials == 2; });
  leaves.Hang();
  stage.Until([&] { return stage.router.counters().requests_abandoned == 1; });
  stage.late.Open();
  stage.Until([&] { return stays.got == kGot; });
  CHECK(stage.late.Count(kOtherKey) == 1);
  CHECK(stage.late.Count(kKey) == 0);
  CHECK(stage.Ended() == 2);
  CHECK(Outcomes(stage, Result::kNeverSent) == 1);
}

// The same where an attempt has begun: it runs on, or is given up as before, and is told once.
TEST_CASE("attempt: one that has begun when its client leaves keeps its own outcome") {
  Stage stage;
  End& client = stage.Client(GetWithin(kKey, kWaits));
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 1; });
  client.Hang();
  stage.Until([&] { return stage.router.counters().requests_abandoned == 1; });
  stage.member.ends.front().Say(Value("x"));
  stage.Until([&] { return Outcomes(stage, Result::kGood) + Outcomes(stage, Result::kCancelled) == 1; });
  CHECK(Outcomes(stage, Result::kNeverSent) == 0);
}

// Rule 3. The customer's dial timeout is longer than the grace: an attempt that dialled when its server was
// told to drain was written whenever the connection came up. It never ran, so the module may ask elsewhere.
void NeverBeginsAfterGrace(const std::function<std::string(int port)>& change) {
  LateStage stage(Stage::Says(Value("x")), Stage::Says(kOriginAnswers));
  End& client = stage.Client(GetWithin(kKey, kWaits));
  stage.Until([&] { return stage.router.counters().dials == 1; });
  stage.watch->Say(Chunk(change(stage.late.port)));
  stage.Until([&] { return stage.router.counters().server_list_changes == 2; });
  stage.late.Open();
  stage.Until([&] { return client.got.ends_with("\r\n"); });
  CHECK(client.got == kFetched);
  CHECK(Outcomes(stage, Result::kNeverSent) == 1);
  End& later = stage.clients.emplace_back(stage.base.get(), -1);
  later.Connect(stage.late.port);
  later.Say("later");
  stage.Until([&] { return stage.late.Count("later") == 1; });
  CHECK(stage.late.Count("OBJ.GET") == 0);
}

std::string Becomes(const std::string& status, int port) {
  std::string entry = Member("box-1", port);
  entry.replace(entry.find("SERVING"), 7, status);
  return R"({"index":43,"snapshot":false,"endpoints":[)" + entry + "]}";
}

TEST_CASE("attempt: one that dials a server which is told to drain does not begin after the grace") {
  NeverBeginsAfterGrace([](int port) { return Becomes("DRAINING", port); });
}

TEST_CASE("attempt: one that dials a server which is told to be gone does not begin after the grace") {
  NeverBeginsAfterGrace([](int port) { return Becomes("DELETED", port); });
}

}  // namespace
}  // namespace peatbend::net::test

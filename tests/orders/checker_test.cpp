// RuleChecker gets one sequence that breaks a rule, for each rule, and must name it.
#include "orders/checker.h"

#include "harness.h"

namespace peatbend::orders {
namespace {

struct CheckerFixture {
  Settings settings = BasicSettings();
  RuleChecker checker{BasicSettings(), 2};
  TimePoint now{100s};

  CheckerFixture() {
    ServerEntry a = MakeEntry("a"), b = MakeEntry("b"), cold = MakeEntry("cold"),
                origin = MakeEntry("origin");
    b.zone = b.cell = 1;
    cold.started = now;
    OnEvent(MembershipEvent{Scope::kFull, std::vector{a, b, cold, origin}});
  }
  void OnEvent(const Event& event, int router = 0) { checker.OnEvent(router, now, event); }
  void Request(int cls, unsigned id = 1, int router = 0) {
    RequestEvent event;
    event.id = RequestId{id};
    event.cls = cls;
    event.write = cls != kRead;
    event.remaining = 1s;
    OnEvent(event, router);
  }
  void Act(const Action& action, int router = 0) { checker.OnAction(router, now, {action}); }
  void Send(const std::string& server, unsigned id = 1, int router = 0) {
    Act(peatbend::Send{RequestId{id}, {server}, 1s}, router);
  }
  void EndAttempt(const std::string& server, Result result, int attempt = 0) {
    OutcomeEvent event;
    event.id = RequestId{1};
    event.server = server;
    event.attempt = attempt;
    event.result = result;
    event.done = result == Result::kGood;
    OnEvent(event);
  }
  std::string FirstViolation() const {
    return checker.violations().empty() ? "" : checker.violations().front();
  }
};

TEST(RuleChecker, AcceptsLegalSequences) {
  CheckerFixture s;
  s.Request(kKeyedWrite);
  s.Send("origin");
  s.EndAttempt("origin", Result::kReset);
  s.now += 300ms;
  s.Send("origin");
  s.Act(Reject{RequestId{1}, {}});
  s.checker.CheckDeadlines(s.now + 10s);
  EXPECT_EQ(s.FirstViolation(), "");
}

TEST(RuleChecker, NamesEachViolatedRule) {
  const std::pair<std::string, std::function<void(CheckerFixture&)>> cases[] = {
      {"no final answer in time",
       [](CheckerFixture& s) { s.Request(kRead), s.checker.CheckDeadlines(s.now + 1021ms); }},
      {"a second final answer",
       [](CheckerFixture& s) {
         s.Request(kRead), s.Act(Reject{RequestId{1}, {}}), s.Act(Fail{RequestId{1}});
       }},
      {"an attempt after the final answer",
       [](CheckerFixture& s) {
         s.Request(kRead), s.Send("a"), s.EndAttempt("a", Result::kGood), s.Send("a");
       }},
      {"two attempts in flight at once",
       [](CheckerFixture& s) { s.Request(kRead), s.Send("a"), s.Send("b"); }},
      {"more attempts than allowed",
       [](CheckerFixture& s) {
         s.Request(kRead);
         for (int i = 0; i <= s.settings.try_limit; ++i) s.Send("a"), s.EndAttempt("a", Result::kBad, i);
       }},
      {"an unsafe request repeated",
       [](CheckerFixture& s) {
         s.Request(kUnsafeWrite), s.Send("origin"), s.EndAttempt("origin", Result::kBad), s.Send("origin");
       }},
      {"a keyed request repeated after its deduplication window",
       [](CheckerFixture& s) {
         s.Request(kKeyedWrite), s.Send("origin"), s.EndAttempt("origin", Result::kReset), s.now += 401ms,
             s.Send("origin");
       }},
      {"a write to a cache server", [](CheckerFixture& s) { s.Request(kKeyedWrite), s.Send("a"); }},
      {"a rejection of a request that may have run",
       [](CheckerFixture& s) {
         s.Request(kUnsafeWrite), s.Send("origin"), s.Act(Reject{RequestId{1}, {}});
       }},
      {"an attempt at a server that is in no list", [](CheckerFixture& s) { s.Request(kRead), s.Send("c"); }},
      {"an attempt at a draining or gone server after drain_grace",
       [](CheckerFixture& s) {
         s.OnEvent(MembershipEvent{Scope::kDelta, std::vector{MakeEntry("a", ServerState::kDraining)}});
         s.now += 501ms, s.Request(kRead), s.Send("a");
       }},
      {"an attempt at a draining or gone server after drain_grace",  // a full list without the server
       [](CheckerFixture& s) {
         s.OnEvent(MembershipEvent{Scope::kFull, std::vector{MakeEntry("b"), MakeEntry("origin")}});
         s.now += 501ms, s.Request(kRead), s.Send("a");
       }},
      {"a cold server got more than its limit",  // 3 x 0.2 x 2 per second x 2 s, over both routers
       [](CheckerFixture& s) {
         s.OnEvent(MembershipEvent{Scope::kFull, std::vector{[&] {
                                     ServerEntry cold = MakeEntry("cold");
                                     cold.started = s.now;
                                     return cold;
                                   }()}},
                   1);
         for (unsigned id = 1; id <= 4; ++id) s.Request(kRead, id, id % 2), s.Send("cold", id, id % 2);
       }},
  };
  for (const auto& [rule, run] : cases) {
    CheckerFixture stream;
    run(stream);
    EXPECT_EQ(stream.FirstViolation(), rule);
  }
}

TEST(RuleChecker, ChecksDeduplicationGroupsAndTheAttemptLimit) {
  Settings settings = BasicSettings();
  settings.cache_aside = false;
  settings.classes[kKeyedWrite].dedup_group = DedupGroup::kZone;
  settings.attempt_window = 1s;
  settings.free_resends = 0;
  settings.extra_per_request = 0;
  CheckerFixture s;
  s.checker = RuleChecker(settings);
  ServerEntry a = MakeEntry("a"), b = MakeEntry("b");
  b.zone = 1;
  s.OnEvent(MembershipEvent{Scope::kFull, std::vector{a, b}});
  s.Request(kKeyedWrite);
  s.Send("a");
  s.EndAttempt("a", Result::kBad);
  s.Send("b");
  EXPECT_EQ(s.checker.violations(),
            (std::vector<std::string>{"a keyed request repeated outside its deduplication group",
                                      "more extra attempts than allowed"}));
}

}  // namespace
}  // namespace peatbend::orders

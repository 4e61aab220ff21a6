// The checker of the rules, fed with one broken stream of actions for each rule: it must name it.
#include "orders/checker.h"

#include "harness.h"

namespace peatbend::orders {
namespace {

struct Stream {
  Settings set = BasicSettings();
  Checker checker{BasicSettings(), 2};
  TimePoint now{100s};

  Stream() {
    ServerEntry a = Entry("a"), b = Entry("b"), cold = Entry("cold"), origin = Entry("origin");
    b.zone = b.cell = 1;
    cold.started = now;
    Told(MembershipEvent{Scope::kFull, std::vector{a, b, cold, origin}});
  }
  void Told(const Event& event, int router = 0) { checker.Told(router, now, event); }
  void Ask(int cls, unsigned id = 1, int router = 0) {
    RequestEvent event;
    event.id = RequestId{id};
    event.cls = cls;
    event.write = cls != kRead;
    event.remaining = 1s;
    Told(event, router);
  }
  void Did(const Action& action, int router = 0) { checker.Did(router, now, {action}); }
  void Send(const std::string& server, unsigned id = 1, int router = 0) {
    Did(peatbend::Send{RequestId{id}, {server}, 1s}, router);
  }
  void Outcome(const std::string& server, Result result, int attempt = 0) {
    OutcomeEvent event;
    event.id = RequestId{1};
    event.server = server;
    event.attempt = attempt;
    event.result = result;
    event.done = result == Result::kGood;
    Told(event);
  }
  std::string Broken() const { return checker.broken().empty() ? "" : checker.broken().front(); }
};

TEST(Checker, ALegalStreamBreaksNothing) {
  Stream s;
  s.Ask(kKeyedWrite);
  s.Send("origin");
  s.Outcome("origin", Result::kReset);
  s.now += 300ms;
  s.Send("origin");
  s.Did(Reject{RequestId{1}, {}});
  s.checker.Clock(s.now + 10s);
  EXPECT_EQ(s.Broken(), "");
}

TEST(Checker, NamesEachBrokenRule) {
  const std::pair<std::string, std::function<void(Stream&)>> cases[] = {
      {"no final answer in time", [](Stream& s) { s.Ask(kRead), s.checker.Clock(s.now + 1021ms); }},
      {"a second final answer",
       [](Stream& s) {
         s.Ask(kRead), s.Did(Reject{RequestId{1}, {}}), s.Did(Fail{RequestId{1}});
       }},
      {"an attempt after the final answer",
       [](Stream& s) { s.Ask(kRead), s.Send("a"), s.Outcome("a", Result::kGood), s.Send("a"); }},
      {"two attempts out at once", [](Stream& s) { s.Ask(kRead), s.Send("a"), s.Send("b"); }},
      {"more attempts than allowed",
       [](Stream& s) {
         s.Ask(kRead);
         for (int i = 0; i <= s.set.try_limit; ++i) s.Send("a"), s.Outcome("a", Result::kBad, i);
       }},
      {"an unsafe request repeated",
       [](Stream& s) {
         s.Ask(kUnsafeWrite), s.Send("origin"), s.Outcome("origin", Result::kBad), s.Send("origin");
       }},
      {"a keyed request repeated after its window",
       [](Stream& s) {
         s.Ask(kKeyedWrite), s.Send("origin"), s.Outcome("origin", Result::kReset), s.now += 401ms,
             s.Send("origin");
       }},
      {"a write to a server that only stores", [](Stream& s) { s.Ask(kKeyedWrite), s.Send("a"); }},
      {"a refusal of what may have run",
       [](Stream& s) {
         s.Ask(kUnsafeWrite), s.Send("origin"), s.Did(Reject{RequestId{1}, {}});
       }},
      {"an attempt at a server that no list has named", [](Stream& s) { s.Ask(kRead), s.Send("c"); }},
      {"an attempt at a draining or gone server after the grace",
       [](Stream& s) {
         s.Told(MembershipEvent{Scope::kDelta, std::vector{Entry("a", ServerState::kDraining)}});
         s.now += 501ms, s.Ask(kRead), s.Send("a");
       }},
      {"an attempt at a draining or gone server after the grace",  // a full list without it
       [](Stream& s) {
         s.Told(MembershipEvent{Scope::kFull, std::vector{Entry("b"), Entry("origin")}});
         s.now += 501ms, s.Ask(kRead), s.Send("a");
       }},
      {"a cold server was sent more than its budget",  // 3 x 0.2 x 2 a second x 2 s, by both routers
       [](Stream& s) {
         s.Told(MembershipEvent{Scope::kFull, std::vector{[&] {
                                  ServerEntry cold = Entry("cold");
                                  cold.started = s.now;
                                  return cold;
                                }()}},
                1);
         for (unsigned id = 1; id <= 4; ++id) s.Ask(kRead, id, id % 2), s.Send("cold", id, id % 2);
       }},
  };
  for (const auto& [rule, plays] : cases) {
    Stream stream;
    plays(stream);
    EXPECT_EQ(stream.Broken(), rule);
  }
}

TEST(Checker, KeepsGroupsAndTheAllowance) {
  Settings settings = BasicSettings();
  settings.cache_aside = false;
  settings.classes[kKeyedWrite].dedup_group = DedupGroup::kZone;
  settings.attempt_window = 1s;
  settings.free_resends = 0;
  settings.extra_per_request = 0;
  Stream s;
  s.checker = Checker(settings);
  ServerEntry a = Entry("a"), b = Entry("b");
  b.zone = 1;
  s.Told(MembershipEvent{Scope::kFull, std::vector{a, b}});
  s.Ask(kKeyedWrite);
  s.Send("a");
  s.Outcome("a", Result::kBad);
  s.Send("b");
  EXPECT_EQ(s.checker.broken(), (std::vector<std::string>{"a keyed request repeated outside its group",
                                                          "more further attempts than the allowance"}));
}

}  // namespace
}  // namespace peatbend::orders

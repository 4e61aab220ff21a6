// When the balancer subscribes to discovery again, in simulated time and with scripted answers of discovery.
#include <algorithm>
#include <set>

#include "harness.h"

namespace peatbend {
namespace {

// A router counts as informed of a change this long after discovery had it and was reachable; the
// subscription that is to deliver it must begin earlier, so that there is time for the answer.
constexpr Duration kInformedAfter = 6s, kLastCallBy = 4500ms;

// One router and its discovery. `answers` says how each call ends, and after how long.
class DiscoverySimulation {
 public:
  struct Answer {
    bool listed = false;
    Duration after{};
    Duration watch{Duration::max()};  // if listed: how long the watch stays open
  };
  using Answers = std::function<Answer(TimePoint)>;

  DiscoverySimulation(const Settings& settings, std::uint64_t seed, Answers answers)
      : router_(settings, seed), answers_(std::move(answers)) {
    CarryOut(router_.UpdateServers(MakeServerList(3), Scope::kCached));
  }

  void RunUntil(TimePoint end) {
    while (!pending_.empty() && pending_.begin()->at <= end) {
      PendingEvent due = pending_.extract(pending_.begin()).value();
      router_.now = due.at;
      switch (due.kind) {
        case Kind::kTimer:
          CarryOut(router_.FireTimerAfter({}));
          break;
        case Kind::kListed:
          CarryOut(router_.UpdateServers({}, Scope::kDelta));
          break;
        case Kind::kFailed:
          failures.push_back(due.at);
          CarryOut(router_.UpdateServers({}, Scope::kFailed));
          break;
      }
    }
    router_.now = end;
  }

  TimePoint now() const { return router_.now; }
  // The first call that begins at this time or later.
  TimePoint CallFrom(TimePoint at) const {
    auto call = std::lower_bound(calls.begin(), calls.end(), at);
    return call == calls.end() ? TimePoint::max() : *call;
  }
  std::size_t CallsBetween(TimePoint from, TimePoint to) const {
    return static_cast<std::size_t>(std::lower_bound(calls.begin(), calls.end(), to) -
                                    std::lower_bound(calls.begin(), calls.end(), from));
  }

  std::vector<TimePoint> calls, failures;

 private:
  enum class Kind { kTimer, kListed, kFailed };
  struct PendingEvent {
    TimePoint at;
    std::size_t order;
    Kind kind;
    auto operator<=>(const PendingEvent&) const = default;
  };

  void Schedule(Duration in, Kind kind) { pending_.insert({router_.now + in, order_++, kind}); }

  void CarryOut(const std::vector<Action>& actions) {
    for (const SetTimer& timer : ActionsOf<SetTimer>(actions)) Schedule(timer.delay, Kind::kTimer);
    if (ActionsOf<Subscribe>(actions).empty()) return;
    calls.push_back(router_.now);
    Answer answer = answers_(router_.now);
    Schedule(answer.after, answer.listed ? Kind::kListed : Kind::kFailed);
    if (answer.listed && answer.watch != Duration::max())
      Schedule(answer.after + answer.watch, Kind::kFailed);
  }

  TestRouter router_;
  Answers answers_;
  std::set<PendingEvent> pending_;
  std::size_t order_ = 0;
};

Settings SettingsWithSubscription(Duration subscribe_interval, int routers = 1) {
  Settings settings = BasicSettings();
  settings.must_subscribe = true;
  settings.subscribe_interval = subscribe_interval;
  settings.routers = routers;
  return settings;
}

constexpr Duration kSubscribeIntervals[] = {0s, 500ms, 2s, 4s, 10s, 60s};

// Whenever discovery recovers, even while a call that it never answered is pending, a new call begins in
// time.
TEST(Subscription, ACallBeginsInTimeWheneverDiscoveryRecovers) {
  const Duration fails_after[] = {0s, 300ms, 1200ms, 3s};
  for (Duration subscribe_interval : kSubscribeIntervals) {
    for (Duration after : fails_after) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(testing::Message()
                     << subscribe_interval.count() << " ns, " << after.count() << " ns, " << seed);
        DiscoverySimulation discovery(SettingsWithSubscription(subscribe_interval), seed, [&](TimePoint) {
          return DiscoverySimulation::Answer{false, after};
        });
        TimePoint from = discovery.now() + 1s, end = from + 60s;
        discovery.RunUntil(end);
        for (TimePoint recovered = from; recovered + kInformedAfter < end; recovered += 100ms)
          ASSERT_LE(discovery.CallFrom(recovered) - recovered, kLastCallBy) << (recovered - from).count();
      }
    }
  }
}

// Discovery may reject calls at the moment of its recovery; these are repeated in time.
TEST(Subscription, ACallThatIsRejectedAtTheRecoveryIsRepeatedInTime) {
  for (Duration subscribe_interval : kSubscribeIntervals) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      SCOPED_TRACE(testing::Message() << subscribe_interval.count() << " ns, " << seed);
      DiscoverySimulation discovery(SettingsWithSubscription(subscribe_interval), seed,
                                    [](TimePoint) { return DiscoverySimulation::Answer{}; });
      TimePoint from = discovery.now() + 1s, end = from + 60s;
      discovery.RunUntil(end);
      for (TimePoint recovered = from; recovered + kInformedAfter < end; recovered += 100ms)
        ASSERT_GE(discovery.CallsBetween(recovered, recovered + kLastCallBy + 1ms), 2u)
            << (recovered - from).count();
    }
  }
}

// Discovery is never called in a tight loop, neither when it is down nor when it closes each watch at once.
TEST(Subscription, NoFailureLeadsToATightLoop) {
  const DiscoverySimulation::Answer kinds[] = {
      {}, {true, 0s, 0s}, {true, 10ms, 0s}, {true, 0s, 10ms}, {true, 0s, 900ms}};
  for (Duration subscribe_interval : {Duration(0s), Duration(10s)}) {
    for (const DiscoverySimulation::Answer& answer : kinds) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(testing::Message()
                     << subscribe_interval.count() << " ns, seed " << seed << ", " << answer.watch.count());
        DiscoverySimulation discovery(SettingsWithSubscription(subscribe_interval), seed,
                                      [&](TimePoint) { return answer; });
        discovery.RunUntil(discovery.now() + 60s);
        EXPECT_LE(discovery.calls.size(), 52u);  // 1.5 s apart on average, and a few at first
        for (TimePoint failure : discovery.failures) {
          TimePoint next = discovery.CallFrom(failure + 1ns);
          if (next < discovery.now()) EXPECT_GE(next - failure, 200ms);
        }
      }
    }
  }
}

// After a watch that stayed open for long the backoff starts again at its minimum.
TEST(Subscription, AWatchThatStayedOpenIsReplacedSoon) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    int call = 0;
    DiscoverySimulation discovery(SettingsWithSubscription(10s), seed, [&](TimePoint) {
      bool stays_open = ++call > 6;  // after some failures, so that the backoff has grown
      return DiscoverySimulation::Answer{stays_open, 5ms, 20s};
    });
    discovery.RunUntil(discovery.now() + 120s);
    ASSERT_GE(call, 8);
    for (TimePoint failure : discovery.failures) {
      if (failure - discovery.calls.front() < 18s) continue;
      TimePoint next = discovery.CallFrom(failure);
      if (next < discovery.now()) EXPECT_LE(next - failure, 600ms);
    }
  }
}

// Hundreds of routers that lost discovery at the same time do not call it again at the same time.
TEST(Subscription, RoutersCallAgainAtSpreadTimes) {
  constexpr int kRouters = 300;
  std::vector<TimePoint> first;
  TimePoint recovered{};
  for (std::uint64_t seed = 1; seed <= kRouters; ++seed) {
    DiscoverySimulation discovery(SettingsWithSubscription(10s, kRouters), seed,
                                  [](TimePoint) { return DiscoverySimulation::Answer{}; });
    recovered = discovery.now() + 20s;
    discovery.RunUntil(recovered + 10s);
    first.push_back(discovery.CallFrom(recovered));
  }
  std::sort(first.begin(), first.end());
  for (auto from = first.begin(); from != first.end(); ++from) {
    auto to = std::lower_bound(from, first.end(), *from + 100ms);
    EXPECT_LE(to - from, kRouters / 6);
  }
}

// However many routers there are, none keeps a cached list that may be old or empty for long after its start.
TEST(Subscription, TheFirstCallIsMadeSoon) {
  for (int routers : {1, 300, 3000, 100000}) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      DiscoverySimulation discovery(SettingsWithSubscription(10s, routers), seed,
                                    [](TimePoint) { return DiscoverySimulation::Answer{true}; });
      TimePoint started = discovery.now();
      discovery.RunUntil(started + 60s);
      ASSERT_EQ(discovery.calls.size(), 1u);
      EXPECT_LE(discovery.calls[0] - started, 2s) << routers;
    }
  }
}

}  // namespace
}  // namespace peatbend

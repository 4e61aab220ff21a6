// When the module asks discovery again: on a passed-in clock, against a discovery whose answers are scripted.
#include <algorithm>
#include <set>

#include "harness.h"

namespace peatbend {
namespace {

// A change counts as told so long after discovery had it and could be reached; the last call that is to bring
// it has to begin sooner, so that there is time left for its answer.
constexpr Duration kToldAfter = 6s, kLastCallBy = 4500ms;

// One router and the discovery that it asks. `answer` says how a call ends, and after how long.
class Discovery {
 public:
  struct Answer {
    bool listed = false;
    Duration after{};
    Duration watch{Duration::max()};  // listed: for so long the watch stands then
  };
  using Answers = std::function<Answer(TimePoint)>;

  Discovery(const Settings& settings, std::uint64_t seed, Answers answers)
      : proxy_(settings, seed), answers_(std::move(answers)) {
    Carry(proxy_.List(Fleet(3), Scope::kCached));
  }

  void RunUntil(TimePoint end) {
    while (!due_.empty() && due_.begin()->at <= end) {
      Due due = due_.extract(due_.begin()).value();
      proxy_.now = due.at;
      switch (due.what) {
        case What::kTimer:
          Carry(proxy_.Tick({}));
          break;
        case What::kListed:
          Carry(proxy_.List({}, Scope::kDelta));
          break;
        case What::kFailed:
          failures.push_back(due.at);
          Carry(proxy_.List({}, Scope::kFailed));
          break;
      }
    }
    proxy_.now = end;
  }

  TimePoint now() const { return proxy_.now; }
  // The first call that begins at that time or later.
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
  enum class What { kTimer, kListed, kFailed };
  struct Due {
    TimePoint at;
    std::size_t order;
    What what;
    auto operator<=>(const Due&) const = default;
  };

  void At(Duration in, What what) { due_.insert({proxy_.now + in, order_++, what}); }

  void Carry(const std::vector<Action>& actions) {
    for (const SetTimer& timer : Only<SetTimer>(actions)) At(timer.delay, What::kTimer);
    if (Only<Subscribe>(actions).empty()) return;
    calls.push_back(proxy_.now);
    Answer answer = answers_(proxy_.now);
    At(answer.after, answer.listed ? What::kListed : What::kFailed);
    if (answer.listed && answer.watch != Duration::max()) At(answer.after + answer.watch, What::kFailed);
  }

  Proxy proxy_;
  Answers answers_;
  std::set<Due> due_;
  std::size_t order_ = 0;
};

Settings Subscribing(Duration subscribe_interval, int routers = 1) {
  Settings settings = BasicSettings();
  settings.must_subscribe = true;
  settings.subscribe_interval = subscribe_interval;
  settings.routers = routers;
  return settings;
}

constexpr Duration kAskEvery[] = {0s, 500ms, 2s, 4s, 10s, 60s};

// Whenever discovery returns, also while a call that it never answered is still out, a whole new call begins
// in time.
TEST(Subscription, ACallBeginsInTimeWheneverDiscoveryReturns) {
  const Duration fails_after[] = {0s, 300ms, 1200ms, 3s};
  for (Duration subscribe_interval : kAskEvery) {
    for (Duration after : fails_after) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(testing::Message()
                     << subscribe_interval.count() << " ns, " << after.count() << " ns, " << seed);
        Discovery discovery(Subscribing(subscribe_interval), seed, [&](TimePoint) {
          return Discovery::Answer{false, after};
        });
        TimePoint from = discovery.now() + 1s, end = from + 60s;
        discovery.RunUntil(end);
        for (TimePoint back = from; back + kToldAfter < end; back += 100ms)
          ASSERT_LE(discovery.CallFrom(back) - back, kLastCallBy) << (back - from).count();
      }
    }
  }
}

// Of those that call at once at its return discovery turns some away: these are to have another try in time.
TEST(Subscription, ACallThatIsTurnedAwayAtTheReturnIsRepeatedInTime) {
  for (Duration subscribe_interval : kAskEvery) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      SCOPED_TRACE(testing::Message() << subscribe_interval.count() << " ns, " << seed);
      Discovery discovery(Subscribing(subscribe_interval), seed,
                          [](TimePoint) { return Discovery::Answer{}; });
      TimePoint from = discovery.now() + 1s, end = from + 60s;
      discovery.RunUntil(end);
      for (TimePoint back = from; back + kToldAfter < end; back += 100ms)
        ASSERT_GE(discovery.CallsBetween(back, back + kLastCallBy + 1ms), 2u) << (back - from).count();
    }
  }
}

// Neither a discovery that is down nor one whose watches end as soon as they have told their list is called
// without a pause.
TEST(Subscription, NoFailureLeadsToATightLoop) {
  const Discovery::Answer kinds[] = {
      {}, {true, 0s, 0s}, {true, 10ms, 0s}, {true, 0s, 10ms}, {true, 0s, 900ms}};
  for (Duration subscribe_interval : {Duration(0s), Duration(10s)}) {
    for (const Discovery::Answer& answer : kinds) {
      for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(testing::Message()
                     << subscribe_interval.count() << " ns, seed " << seed << ", " << answer.watch.count());
        Discovery discovery(Subscribing(subscribe_interval), seed, [&](TimePoint) { return answer; });
        discovery.RunUntil(discovery.now() + 60s);
        EXPECT_LE(discovery.calls.size(), 52u);  // 1.5 s apart in the mean, and a few at first
        for (TimePoint failure : discovery.failures) {
          TimePoint next = discovery.CallFrom(failure + 1ns);
          if (next < discovery.now()) EXPECT_GE(next - failure, 200ms);
        }
      }
    }
  }
}

// A watch that has stood says nothing against discovery: its end is followed by the shortest pause.
TEST(Subscription, AWatchThatStoodIsReplacedSoon) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    int call = 0;
    Discovery discovery(Subscribing(10s), seed, [&](TimePoint) {
      bool stands = ++call > 6;  // after some failures, so that the pauses have grown
      return Discovery::Answer{stands, 5ms, 20s};
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

// Hundreds of routers that lost discovery at the same moment do not come back at the same moment.
TEST(Subscription, RoutersComeBackSpread) {
  constexpr int kRouters = 300;
  std::vector<TimePoint> first;
  TimePoint back{};
  for (std::uint64_t seed = 1; seed <= kRouters; ++seed) {
    Discovery discovery(Subscribing(10s, kRouters), seed, [](TimePoint) { return Discovery::Answer{}; });
    back = discovery.now() + 20s;
    discovery.RunUntil(back + 10s);
    first.push_back(discovery.CallFrom(back));
  }
  std::sort(first.begin(), first.end());
  for (auto from = first.begin(); from != first.end(); ++from) {
    auto to = std::lower_bound(from, first.end(), *from + 100ms);
    EXPECT_LE(to - from, kRouters / 6);
  }
}

// However many routers there are, none waits long at its start with a list that may be old or empty.
TEST(Subscription, TheFirstCallIsMadeSoon) {
  for (int routers : {1, 300, 3000, 100000}) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Discovery discovery(Subscribing(10s, routers), seed, [](TimePoint) { return Discovery::Answer{true}; });
      TimePoint started = discovery.now();
      discovery.RunUntil(started + 60s);
      ASSERT_EQ(discovery.calls.size(), 1u);
      EXPECT_LE(discovery.calls[0] - started, 2s) << routers;
    }
  }
}

}  // namespace
}  // namespace peatbend

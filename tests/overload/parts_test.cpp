// Unit tests of the parts: priorities, encoding of signals, load measurement, thresholds and the retry
// budget.
#include "doctest/doctest.h"
#include "overload/latency_baseline.h"
#include "overload/load_shedder.h"
#include "overload/retry_budget.h"
#include "overload/signal_batch.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::overload {
namespace {

using namespace std::chrono_literals;

Settings ThreeClasses() {
  Settings settings;
  for (double worth : {5.0, 2.0, 1.0})
    settings.classes.push_back({.name = "c", .aim = 1s, .deadline = 1s, .worth = worth});
  return settings;
}

TEST_CASE("the priority depends on quota, then worth per work, then retries, then a hash of the id") {
  std::vector<Duration> work{2ms, 1ms, 2ms};  // worth per work 2.5, 2, 0.5
  PriorityOrder order(ThreeClasses(), work);
  world::Random random(1, 1);
  auto all = [&](int n) {  // in the expected order, the first is shed first
    return PriorityInput{.cls = std::array{2, 1, 0}[static_cast<std::size_t>(n / 2 % 3)],
                         .over_quota = n < 6,
                         .retry = n % 2 == 0,
                         .id = random.Word()};
  };
  for (int a = 0; a < 12; ++a) {
    for (int b = 0; b < a; ++b) {
      for (int i = 0; i < 20; ++i) {
        double low = order.PriorityOf(all(b)), high = order.PriorityOf(all(a));
        CHECK(low < high);
        // A threshold within a bin then separates only requests of one band.
        CHECK(PriorityBin(low) < PriorityBin(high));
      }
    }
  }
  PriorityInput input = all(11);
  CHECK(order.PriorityOf(input) == PriorityOrder(ThreeClasses(), work).PriorityOf(input));
  CHECK(order.LevelOf({.cls = 0, .work = 10ms}) == 0);
  CHECK(order.WorkOf({.cls = 1}) == 1000);
  Settings many = ThreeClasses();
  for (int i = 0; i < 40; ++i) many.classes.push_back({.name = "m", .worth = 1 + i * 0.3});
  double last = -1;
  for (int i = 3; i < 43; ++i) last = std::max(last, PriorityOrder(many).PriorityOf({.cls = i, .id = ~0u}));
  CHECK(last < 1);
  many.classes[7].worth = -1;
  CHECK_THROWS_WITH(PriorityOrder{many}, "classes.7.worth: 0 or more expected");
}

TEST_CASE(
    "the largest signal is encoded in 416 bytes and a small one in 40, and malformed input is rejected") {
  LoadSignal signal;
  signal.process = ~0ull;
  signal.window = ~0ull >> 1;
  signal.duration_ms = 3'600'000;
  signal.shift = 32;
  signal.served = signal.late = signal.no_room = 1ull << 48;
  signal.queue_delay_us = ~0u;
  signal.headroom = 0xffff;
  signal.arrived.fill(0xffff);
  signal.tenants.assign(kMaxTenants, {0xffff, ~0u});
  signal.trials.assign(kMaxTrials, {~0u, ~0u, TrialStep::kGood});
  std::string bytes = Encode(signal);
  CHECK(bytes.size() <= kMaxSignalBytes);
  CHECK(Encode(LoadSignal{.process = ~0ull, .window = 1 << 20, .duration_ms = 100}).size() <= 40);
  LoadSignal read;
  CHECK(Decode(bytes, read));
  CHECK(read == signal);
  for (std::size_t i = 0; i < bytes.size(); ++i) CHECK_FALSE(Decode(bytes.substr(0, i), read));
  world::Random random(2, 1);
  std::size_t accepted = 0;
  for (int i = 0; i < 20'000; ++i) {  // whatever is accepted is within bounds
    std::string bad = bytes;
    for (std::uint32_t n = 1 + random.Below(3); n > 0; --n)
      bad[random.Below(static_cast<std::uint32_t>(bad.size()))] = static_cast<char>(random.Below(256));
    if (!Decode(bad, read)) continue;
    ++accepted;
    REQUIRE((read.shift <= 32 && read.duration_ms > 0 && read.trials.size() <= kMaxTrials));
  }
  CHECK(accepted > 0);
}

TEST_CASE(
    "a batch of signals is decoded as it was encoded; truncated or corrupt input is rejected or in bounds") {
  for (const SignalBatch& batch :
       {SignalBatch{false, {"sign"}}, SignalBatch{true, {"a", std::string(kMaxSignalBytes, 'x'), "c"}}}) {
    std::string bytes = Encode(batch);
    unsigned first = static_cast<unsigned char>(bytes[0]);
    CHECK((first < 0x90 || first > 0x9f));  // starts of MessagePack arrays, as quota messages have
    CHECK((first != 0xdc && first != 0xdd && first != 0xc1));
    SignalBatch read;
    CHECK(Decode(bytes, read));
    CHECK(read == batch);
    CHECK_FALSE(Decode(bytes + '\1', read));
    CHECK_FALSE(Decode(bytes + std::string(2, '\0'), read));
  }
  SignalBatch read;
  CHECK_FALSE(Decode("", read));
  CHECK_FALSE(Decode(Encode(SignalBatch{false, {"one", "two"}}), read));
  CHECK_FALSE(Decode(Encode(SignalBatch{true, {}}), read));
  CHECK_FALSE(Decode(Encode(SignalBatch{true, {std::string(kMaxSignalBytes + 1, 'x')}}), read));
  std::string bytes = Encode(SignalBatch{true, {"four", "twelve bytes", "x"}});
  world::Random random(6, 1);
  std::size_t accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = bytes.substr(0, 1 + random.Below(static_cast<std::uint32_t>(bytes.size())));
    bad[random.Below(static_cast<std::uint32_t>(bad.size()))] = static_cast<char>(random.Below(256));
    if (!Decode(bad, read)) continue;
    ++accepted;
    REQUIRE(Encode(read) == bad);
  }
  CHECK(accepted > 0);
}

TEST_CASE("the latency baseline is the minimum of a period, and is forgotten after two") {
  LatencyBaseline baseline;
  CHECK(baseline.QueueingDelay({}, "m", 0, 30ms) == 0ms);
  CHECK(baseline.QueueingDelay(1s, "m", 0, 50ms) == 20ms);
  CHECK(baseline.QueueingDelay(1s, "m", 1, 50ms) == 0ms);
  CHECK(baseline.QueueingDelay(1s, "n", 0, 50ms) == 0ms);
  CHECK(baseline.QueueingDelay(61s, "m", 0, 50ms) == 20ms);
  CHECK(baseline.QueueingDelay(200s, "m", 0, 45ms) == 0ms);
}

TEST_CASE("neither delay within the router nor a few slow replies count as queueing delay") {
  auto delay = [](int replies, Duration queue_delay, Duration loop_delay) {
    LoadWindow load_window(1, TimePoint{});
    for (int i = 0; i < 20; ++i) load_window.OnQueueDelay(DelayLocation::kMembers, 0ms);
    std::uint32_t reported_delay = 0;
    for (int window = 1; window <= 8; ++window) {
      for (int i = 0; i < replies; ++i) load_window.OnQueueDelay(DelayLocation::kMembers, queue_delay);
      load_window.OnLoopDelay(loop_delay);
      reported_delay = load_window.Close(window * kWindowLength)->queue_delay_us;
      if (window <= 2 && replies < 4) CHECK(reported_delay == 0);  // earlier fast replies still count
    }
    return reported_delay;
  };
  CHECK(delay(20, 30ms, 0ms) == 30'000);
  CHECK(delay(20, 30ms, 40ms) == 0);
  CHECK(delay(20, 70ms, 40ms) == 30'000);
  CHECK(delay(2, 30ms, 0ms) == 30'000);  // after enough replies
  LoadWindow load_window(1, TimePoint{});
  load_window.OnQueueDelay(DelayLocation::kOrigin, 50ms);
  load_window.OnQueueDelay(DelayLocation::kOrigin, 0ms);
  CHECK(load_window.Close(kWindowLength)->queue_delay_us == 0);
  load_window.OnQueueDelay(DelayLocation::kOrigin, 50ms);
  CHECK(load_window.Close(2 * kWindowLength)->queue_delay_us == 0);
}

TEST_CASE("queueing delay at the origin is scaled by the fraction of replies from the origin") {
  for (int hits : {0, 10, 30}) {
    LoadWindow load_window(7, TimePoint{});
    for (int i = 0; i < 10; ++i) load_window.OnQueueDelay(DelayLocation::kOrigin, 80ms);
    for (int i = 0; i < hits; ++i) load_window.OnQueueDelay(DelayLocation::kMembers, 0ms);
    CHECK(load_window.Close(kWindowLength)->queue_delay_us == 80'000 * 10 / (10 + hits));
  }
}

TEST_CASE("neither a start nor one late reply among few leads to shedding") {
  ThresholdController controller({}, {});
  for (std::uint64_t window = 1; window <= 20; ++window) {
    LoadWindow load_window(7, TimePoint{});
    for (int i = 0; i < 3; ++i) load_window.OnArrival(0.3 + 0.1 * i, 1000, 0);
    if (window > 4)
      load_window.OnServed(2000, false), load_window.OnServed(1000, window == 12);  // replies take 0.4 s
    LoadSignal signal = *load_window.Close(kWindowLength);
    signal.window = window;
    signal.headroom = 1500;
    controller.Handle(static_cast<int>(window) * kWindowLength, signal);
    CHECK(controller.Update(static_cast<int>(window) * kWindowLength).threshold == 0);
  }
}

TEST_CASE(
    "tenant shares move the thresholds within the band, and the admitted work of the band stays the same") {
  PriorityOrder order(ThreeClasses());
  for (bool shares : {false, true}) {
    std::vector<double> given = shares ? std::vector<double>{0.5, 0.5} : std::vector<double>{};
    LoadShedder shedder({.controller = {.bands = order.bands()}}, 9, given, TimePoint{});
    std::array<double, 2> arrived{}, admitted{};
    std::uint64_t id = 0;
    for (int window = 1; window <= 60; ++window) {  // 300 requests per window, of which 150 can be served
      int room = 150;
      for (int i = 0; i < 300; ++i) {
        int tenant = i % 5 == 0 ? 1 : 0;
        bool shed = shedder.Decide(order.PriorityOf({.cls = 0, .id = ++id}), 1000, tenant, id).shed;
        if (!shed && room-- > 0) shedder.window().OnServed(1000, room < 10);
        if (window <= 20) continue;
        arrived[static_cast<std::size_t>(tenant)] += 1;
        admitted[static_cast<std::size_t>(tenant)] += shed ? 0 : 1;
      }
      shedder.CloseWindow(window * kWindowLength);
    }
    CAPTURE(shares);
    CHECK((admitted[0] + admitted[1]) / (arrived[0] + arrived[1]) == doctest::Approx(0.5).epsilon(0.1));
    CHECK(admitted[1] / arrived[1] == doctest::Approx(shares ? 1.0 : 0.5).epsilon(0.1));
  }
}

TEST_CASE("a short drop of the served work does not leave shedding behind") {
  LoadShedder shedder({}, 9, {}, TimePoint{});
  std::uint64_t id = 0;
  for (int window = 1; window <= 40; ++window) {
    for (int i = 0; i < 30; ++i) {
      bool shed = shedder.Decide(static_cast<double>(i) / 30, 1000, 0, ++id).shed;
      if (!shed && (window <= 20 || window > 23)) shedder.window().OnServed(1000, false);
    }
    shedder.CloseWindow(window * kWindowLength);
    if (window == 20 || window >= 30) CHECK(shedder.state().threshold == 0);
  }
}

TEST_CASE("the threshold does not depend on the order of signals, nor on duplicates or outdated ones") {
  world::Random random(3, 1);
  std::vector<LoadSignal> signals;
  for (std::uint64_t window = 21; window <= 25; ++window) {
    for (std::uint64_t process = 1; process <= 4; ++process) {
      LoadWindow load_window(process, TimePoint{});
      for (int i = 0; i < 300; ++i) load_window.OnArrival(random.Unit(), 1000, 0);
      load_window.OnServed(100'000, false);
      load_window.OnQueueDelay(DelayLocation::kOrigin, 80ms);
      LoadSignal signal = *load_window.Close(kWindowLength);
      signal.window = window;
      signal.headroom = 1000;
      signals.push_back(signal);
    }
  }
  ThresholdController one({}, {}), other({}, {});
  for (const LoadSignal& signal : signals) CHECK(one.Handle(1s, signal));
  for (int i = 0; i < 200; ++i) other.Handle(1s, signals[random.Below(20)]);
  for (std::size_t i = signals.size(); i-- > 0;) other.Handle(1s, signals[i]);
  CHECK_FALSE(other.Handle(1s, signals[19]));
  LoadSignal old = signals[0];
  signals[16].window = 29;  // of the same process
  CHECK(other.Handle(1s, signals[16]));
  CHECK_FALSE(other.Handle(1s, old));
  ThresholdController third({}, {});
  for (const LoadSignal& signal : signals) third.Handle(1s, signal);
  double threshold = one.Update(1s).threshold;
  CHECK(threshold == doctest::Approx(0.67).epsilon(0.15));
  CHECK(third.Update(1s).routers == 4);
  CHECK(one.Update(2500ms).threshold == 0);  // all signals have expired
  LoadWindow outage(7, TimePoint{});
  for (int i = 0; i < 2000; ++i) outage.OnArrival(random.Unit(), 1000, 0);
  outage.OnLost(2'000'000);
  LoadSignal down = *outage.Close(kWindowLength);
  down.window = 21;
  ThresholdController fresh({}, {});
  fresh.Handle(3s, down);
  CHECK(fresh.Update(3s).threshold == doctest::Approx(0.95).epsilon(0.02));  // the minimum share is admitted
}

TEST_CASE(
    "retries of all routers are at most a tenth of the first attempts in any 10 s that end with a retry") {
  world::Random random(4, 1);
  constexpr std::size_t kRouters = 7;
  std::vector<RetryBudget> routers(kRouters, RetryBudget({}, TimePoint{}));
  std::vector<std::pair<TimePoint, bool>> attempts;  // attempts of all routers, and whether each is a retry
  TimePoint now{};
  std::uint64_t rejected = 0;
  for (int i = 0; i < 60'000; ++i) {
    // Bursts, pauses of up to several windows, and many more failures than a tenth.
    now += random.Chance(0.0003) ? world::FromSeconds(random.Between(0, 25))
                                 : world::FromMs(random.Exponential(i % 9000 < 3000 ? 0.5 : 8));
    RetryBudget& router = routers[std::min(random.Below(kRouters), random.Below(kRouters))];
    if (random.Chance(0.6)) {
      router.OnFirstAttempt(now);
      attempts.emplace_back(now, false);
    } else if (router.TryRetry(now)) {
      attempts.emplace_back(now, true);
    } else {
      ++rejected;
    }
  }
  std::size_t from = 0, firsts = 0, retries = 0, all = 0;
  for (const auto& [when, is_retry] : attempts) {
    (is_retry ? retries : firsts) += 1;
    for (; attempts[from].first <= when - 10s; ++from) (attempts[from].second ? retries : firsts) -= 1;
    all += is_retry;
    if (is_retry) REQUIRE(static_cast<double>(retries) <= 0.1 * static_cast<double>(firsts));
  }
  CHECK(rejected > 0);
  CHECK(static_cast<double>(all) > 0.07 * static_cast<double>(attempts.size() - all));  // the budget is used
}

}  // namespace
}  // namespace peatbend::overload

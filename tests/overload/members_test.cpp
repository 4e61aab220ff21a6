// Trials of ejected members, how their results spread, and the pacing of connections to members that return.
#include "doctest/doctest.h"
#include "overload/reconnect_pacing.h"
#include "overload/trials.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::overload {
namespace {

using namespace std::chrono_literals;

std::vector<std::string> Names(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t r = 0; r < count; ++r) names.push_back("r" + std::to_string(r));
  return names;
}

// Sends the updates of router `from` to the others of its partition, each within `max_delay_ms`; a tenth is
// lost. Calls `received` with the result of each delivery.
template <typename F>
void BroadcastUpdates(world::Agenda& agenda, world::Random& random, std::vector<Trials>& routers,
                      std::size_t from, std::size_t parts, int max_delay_ms, F received) {
  auto updates = routers[from].DrainUpdates();
  for (std::size_t to = 0; !updates.empty() && to < routers.size(); ++to) {
    if (to == from || to % parts != from % parts || random.Chance(0.1)) continue;
    agenda.In(world::FromMs(random.Between(1, max_delay_ms)),
              [&routers, &agenda, from, to, updates, received] {
                for (const TrialUpdate& one : updates)
                  received(routers[to].Handle(agenda.now(), one, from + 1));
              });
  }
}

struct TrialStats {
  std::size_t trials = 0;
  TimePoint last_readmitted{};  // when the last router learned that the member is back
  std::size_t still_ejected = 0;
};

// Simulates a member that fails for 20 s and recovers. Signals are sent every 100 ms and a tenth is lost.
// `hung`: of this many routers, every second sends nothing and makes no trials; the others begin trials,
// announce them and then hang.
TrialStats SimulateTrials(std::size_t count, std::uint64_t seed, std::size_t hung) {
  world::Random random(seed, 5);
  std::vector<std::string> names = Names(count);
  std::vector<Trials> routers;
  for (const std::string& name : names)
    routers.emplace_back(name, Trials::Options{}), routers.back().SetPresent(names);
  TrialStats result;
  world::Agenda agenda;
  for (std::size_t r = 0; r < count; ++r) {
    agenda.At(world::FromMs(random.Between(0, 50)), [&, r] { routers[r].OnFailure(agenda.now(), "m"); });
    for (TimePoint at = world::FromMs(random.Between(0, 100)); at < 40s; at += kWindowLength) {
      agenda.At(at, [&, r] {
        bool is_hung = r < hung;
        if (is_hung && r % 2 == 0) return;
        if (routers[r].TryBegin(agenda.now(), "m")) {
          ++result.trials;
          agenda.In(50ms, [&, r, is_hung] {
            if (is_hung) return;
            routers[r].OnTrialEnded(agenda.now(), "m", agenda.now() > 20s);
            if (!routers[r].IsEjected("m"))
              result.last_readmitted = std::max(result.last_readmitted, agenda.now());
          });
        }
        BroadcastUpdates(agenda, random, routers, r, 1, 30, [&](std::optional<TrialStep> step) {
          if (step == TrialStep::kGood) result.last_readmitted = agenda.now();
        });
      });
    }
  }
  agenda.RunUntil(40s);
  for (const Trials& router : routers) result.still_ejected += router.IsEjected("m");
  return result;
}

TEST_CASE(
    "the number of trials of a member does not grow with the fleet, and trials continue if selected routers "
    "hang") {
  for (std::size_t count : {5u, 20u, 50u, 200u}) {
    std::size_t max_trials = 0, sum = 0;
    TimePoint last_readmitted{};
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      TrialStats all = SimulateTrials(count, seed, 0), some = SimulateTrials(count, seed, count / 5);
      CHECK(all.still_ejected + some.still_ejected == 0);
      max_trials = std::max({max_trials, all.trials, some.trials});
      sum += all.trials;
      last_readmitted = std::max({last_readmitted, all.last_readmitted, some.last_readmitted});
    }
    MESSAGE(count << " routers: trials " << static_cast<double>(sum) / 5 << ", at most " << max_trials
                  << ", back by " << world::Seconds(last_readmitted) << " s");
    CHECK(max_trials <= 24);  // a single router makes trials 0.5, 1, 1, ... s apart
    CHECK(last_readmitted < 26s);
  }
}

// Returns the trials per second of a member that accepts requests and answers none. A trial times out after
// 0.8 s. Each router has `requests` per second for the member and passes its turn after 2 s without one.
// Updates take up to 0.3 s and a tenth is lost. `parts`: partitions of the fleet that do not hear each other.
double HangingMemberTrialRate(std::size_t count, double requests, std::uint64_t seed, std::size_t parts = 1) {
  world::Random random(seed, 6);
  std::vector<std::string> names = Names(count);
  std::vector<Trials> routers;
  for (std::size_t r = 0; r < count; ++r) {
    std::vector<std::string> received;
    for (std::size_t o = r % parts; o < count; o += parts) received.push_back(names[o]);
    routers.emplace_back(names[r], Trials::Options{}), routers.back().SetPresent(received);
  }
  std::size_t trials = 0;
  world::Agenda agenda;
  for (std::size_t r = 0; r < count; ++r) {
    agenda.At(world::FromMs(random.Between(0, 50)), [&, r] { routers[r].OnFailure(agenda.now(), "m"); });
    for (TimePoint at = world::FromMs(random.Between(0, 100)); at < 65s; at += kWindowLength) {
      agenda.At(at, [&, r] {
        if (routers[r].TryBegin(agenda.now(), "m")) {
          TimePoint in = world::FromSeconds(random.Exponential(1 / requests));
          agenda.In(std::min<TimePoint>(in, 2s), [&, r, in] {
            if (in >= 2s) return routers[r].OnTurnPassed(agenda.now(), "m");
            trials += agenda.now() > 5s ? 1 : 0;
            agenda.In(800ms, [&, r] { routers[r].OnTrialEnded(agenda.now(), "m", false); });
          });
        }
        BroadcastUpdates(agenda, random, routers, r, parts, 300, [](std::optional<TrialStep>) {});
      });
    }
  }
  agenda.RunUntil(65s);
  return static_cast<double>(trials) / 60;
}

TEST_CASE("the trial rate of a hanging member does not depend on how often routers have a request for it") {
  for (auto [count, requests] : {std::pair(5u, 24.0), {20u, 6.0}, {50u, 2.4}, {200u, 0.6}}) {
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) sum += HangingMemberTrialRate(count, requests, seed) / 5;
    MESSAGE(count << " routers: " << sum << " trials a second");
    CHECK(sum == doctest::Approx(1).epsilon(0.1));
  }
}

TEST_CASE("two partitions of the fleet make trials twice as often, and no more") {
  double all = HangingMemberTrialRate(50, 2.4, 1, 2);
  CHECK(all == doctest::Approx(2).epsilon(0.1));
}

TEST_CASE("a member counts as ejected by two others until it is good again") {
  Trials one("r0", {});
  one.SetPresent({"r1", "r2"});
  std::uint32_t m = Trials::MemberId("m");
  CHECK(one.Handle(1s, {m, 1, TrialStep::kFailed}, 7) == TrialStep::kFailed);
  CHECK_FALSE(one.Handle(1s, {m, 1, TrialStep::kFailed}, 7));
  one.Handle(2s, {m, 2, TrialStep::kBegun}, 8);
  CHECK_FALSE(one.EjectedByTwo("m"));  // one failure report, and one trial without a result
  one.Handle(2s, {m, 2, TrialStep::kFailed}, 8);
  CHECK(one.EjectedByTwo("m"));
  one.Handle(3s, {m, 3, TrialStep::kGood}, 7);
  one.Handle(3s, {m, 3, TrialStep::kFailed}, 8);  // outdated
  CHECK_FALSE(one.IsEjected("m"));
  one.Handle(4s, {m, 4, TrialStep::kFailed}, 7);
  CHECK(one.IsEjected("m"));
  CHECK_FALSE(one.EjectedByTwo("m"));
  one.OnRestart("m");
  CHECK_FALSE(one.IsEjected("m"));
  CHECK_FALSE(one.Handle(4s, {m, 4, TrialStep::kFailed}, 8));  // about the previous process of the member
}

TEST_CASE("routers connect to a returning member at an even rate and within a bounded delay") {
  constexpr double kRate = 20;
  for (std::size_t count : {5u, 20u, 50u, 200u, 600u}) {
    world::Random random(count, 7);
    std::vector<std::string> names;
    for (std::size_t r = 0; r < count; ++r) names.push_back("r" + std::to_string(r));
    std::vector<TimePoint> dials;
    for (std::size_t r = 0; r < count; ++r) {
      std::vector<std::string> others;  // its view of the fleet, in which some routers are missing
      for (std::size_t o = 0; o < count; ++o)
        if (o != r && !random.Chance(0.03)) others.push_back(names[o]);
      ReconnectPacing pacing(names[r], {.routers_per_second = kRate});
      TimePoint received = world::FromMs(random.Between(0, 100)), at = received;
      if (pacing.Schedule(received, "m", "7", 0s, others)) {
        CHECK(pacing.IsWaiting("m"));
        while (pacing.DrainDue(at).empty()) at += kWindowLength;
        CHECK(pacing.DrainDue(at + 1h).empty());
      }
      dials.push_back(at);
    }
    std::ranges::sort(dials);
    std::size_t max_trials = 0;
    for (std::size_t i = 0, from = 0; i < dials.size(); ++i) {
      while (dials[from] <= dials[i] - 1s) ++from;
      max_trials = std::max(max_trials, i - from + 1);
    }
    CAPTURE(count);
    MESSAGE(count << " routers: at most " << max_trials << " start in one second, the last after "
                  << world::Seconds(dials.back()) << " s");
    double rate = std::max(kRate, static_cast<double>(count) / 10);
    CHECK(static_cast<double>(max_trials) <= std::min(static_cast<double>(count), 1.15 * rate + 2));
    CHECK(dials.back() <= 10300ms);
  }
}

TEST_CASE("after an outage routers reconnect over the length of the outage, at most 4 s") {
  for (auto [outage, last] : {std::pair(0s, 0.45), {1s, 1.0}, {3s, 3.0}, {60s, 4.0}}) {
    std::vector<std::string> names = Names(10);
    std::size_t immediate = 0;
    double latest = 0;
    for (const std::string& name : names) {
      std::vector<std::string> others = names;
      std::erase(others, name);
      ReconnectPacing pacing(name, {.routers_per_second = 20});
      TimePoint at{};
      if (!pacing.Schedule(at, "m", "7", outage, others)) ++immediate;
      for (; pacing.IsWaiting("m"); at += 10ms) pacing.DrainDue(at);
      latest = std::max(latest, world::Seconds(at));
    }
    CHECK(immediate == 1);
    CHECK(latest == doctest::Approx(last).epsilon(0.05));
  }
}

}  // namespace
}  // namespace peatbend::overload

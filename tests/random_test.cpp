// Long random but legal input: the rules of RuleChecker hold, and the same events give the same actions.
// Outcomes are random; no server is modelled.
#include <algorithm>
#include <random>

#include "orders/router_simulation.h"

namespace peatbend {
namespace {

class RandomScenario {
 public:
  RandomScenario(const Settings& settings, std::uint32_t seed)
      : settings_(settings), rng_(seed), simulation_(settings, 1, seed) {}

  std::string Run(int steps) {
    UpdateServerList(Scope::kCached);
    for (int step = 0; step < steps; ++step) {
      simulation_.AdvanceTime(settings_.tick * (1 + RandomBelow(3)));
      for (unsigned i = RandomBelow(4); i > 0; --i) AddRequest();
      for (unsigned i = RandomBelow(5); i > 0; --i) FinishAnAttempt();
      if (RandomBelow(60) == 0) UpdateServerList(RandomBelow(5) == 0 ? Scope::kFailed : Scope::kFull);
      if (RandomBelow(40) == 0)
        simulation_.ClientLeaves(0, next_ - 1 - RandomBelow(std::min(next_ - 1, 30u)));
    }
    simulation_.AdvanceTime(std::chrono::seconds(2));
    EXPECT_EQ(simulation_.checker.open(), 0u);
    for (const std::string& rule : simulation_.checker.violations()) ADD_FAILURE() << rule;
    return simulation_.action_log.str();
  }

 private:
  unsigned RandomBelow(unsigned below) { return rng_() % below; }

  void UpdateServerList(Scope scope) {
    std::vector<ServerEntry> list;
    if (scope != Scope::kFailed) {
      for (int i = 0; i < 7; ++i) {
        unsigned how = RandomBelow(12);
        ServerEntry entry = MakeEntry(i == 0 ? "origin" : "cache-" + std::to_string(i));
        entry.state = how == 0 ? ServerState::kDraining : ServerState::kReady;
        entry.zone = i % 2;
        entry.cell = i % 3;
        if (how == 1) started_[i] = simulation_.now;
        entry.started = started_[i];
        if (how != 2) list.push_back(entry);
      }
    }
    simulation_.UpdateServers(list, scope);
  }

  void AddRequest() {
    std::optional<Key> key;
    if (RandomBelow(10) > 0) key = Key{RandomBelow(12)};
    simulation_.SendRequest(0, next_++, key, static_cast<int>(RandomBelow(3)),
                            std::chrono::milliseconds(RandomBelow(900)));
  }

  void FinishAnAttempt() {
    auto in_flight = static_cast<unsigned>(simulation_.checker.outstanding.size());
    if (in_flight == 0) return;
    auto result = static_cast<Result>(RandomBelow(9));
    simulation_.FinishAttempt(simulation_.checker.outstanding[RandomBelow(in_flight)], result,
                              std::chrono::milliseconds(1 + RandomBelow(200)));
  }

  Settings settings_;
  std::mt19937 rng_;
  orders::RouterSimulation simulation_;
  TimePoint started_[7] = {};
  unsigned next_ = 1;
};

TEST(Random, TheRulesHoldAndEqualEventsGiveEqualActions) {
  for (std::uint32_t seed = 1; seed <= 24; ++seed) {
    SCOPED_TRACE(seed);
    Settings settings = BasicSettings();
    settings.cache_aside = seed % 2 == 0;
    settings.must_subscribe = seed % 3 == 0;
    settings.subscribe_interval = 2s;
    settings.concurrent_attempts = seed % 4 == 0;
    settings.may_cancel = seed % 5 != 0;
    settings.classes[kKeyedWrite].dedup_group = static_cast<DedupGroup>(seed % 3);
    if (seed % 2 == 1) {
      settings.attempt_window = 3s;
      settings.free_resends = 1;
      settings.extra_per_request = 0.1;
    }
    settings.routers = seed % 3 == 1 ? 500 : 1;
    settings.connection_price = settings.handshake_price = seed % 4 == 1 ? 0.03 : 0;
    std::string once = RandomScenario(settings, seed).Run(1500);
    EXPECT_GT(once.size(), 1000u);
    EXPECT_EQ(once, RandomScenario(settings, seed).Run(1500));
  }
}

}  // namespace
}  // namespace peatbend

// Long random but legal input: the four rules hold whatever happens, and the same events give the
// same actions. Outcomes are drawn, no server is modelled.
#include <algorithm>
#include <random>

#include "orders/router_simulation.h"

namespace peatbend {
namespace {

class World {
 public:
  World(const Settings& settings, std::uint32_t seed)
      : set_(settings), rng_(seed), play_(settings, 1, seed) {}

  std::string Run(int steps) {
    Relist(Scope::kCached);
    for (int step = 0; step < steps; ++step) {
      play_.Pass(set_.tick * (1 + Draw(3)));
      for (unsigned i = Draw(4); i > 0; --i) Arrive();
      for (unsigned i = Draw(5); i > 0; --i) Settle();
      if (Draw(60) == 0) Relist(Draw(5) == 0 ? Scope::kFailed : Scope::kFull);
      if (Draw(40) == 0) play_.Leave(0, next_ - 1 - Draw(std::min(next_ - 1, 30u)));
    }
    play_.Pass(std::chrono::seconds(2));
    EXPECT_EQ(play_.checker.open(), 0u);
    for (const std::string& rule : play_.checker.broken()) ADD_FAILURE() << rule;
    return play_.log.str();
  }

 private:
  unsigned Draw(unsigned below) { return rng_() % below; }

  void Relist(Scope scope) {
    std::vector<ServerEntry> list;
    if (scope != Scope::kFailed) {
      for (int i = 0; i < 7; ++i) {
        unsigned how = Draw(12);
        ServerEntry entry = Entry(i == 0 ? "origin" : "cache-" + std::to_string(i));
        entry.state = how == 0 ? ServerState::kDraining : ServerState::kReady;
        entry.zone = i % 2;
        entry.cell = i % 3;
        if (how == 1) started_[i] = play_.now;
        entry.started = started_[i];
        if (how != 2) list.push_back(entry);
      }
    }
    play_.List(list, scope);
  }

  void Arrive() {
    std::optional<Key> key;
    if (Draw(10) > 0) key = Key{Draw(12)};
    play_.Ask(0, next_++, key, static_cast<int>(Draw(3)), std::chrono::milliseconds(Draw(900)));
  }

  void Settle() {
    auto out = static_cast<unsigned>(play_.checker.flights.size());
    if (out == 0) return;
    auto result = static_cast<Result>(Draw(9));
    play_.Settle(play_.checker.flights[Draw(out)], result, std::chrono::milliseconds(1 + Draw(200)));
  }

  Settings set_;
  std::mt19937 rng_;
  orders::RouterSimulation play_;
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
    std::string once = World(settings, seed).Run(1500);
    EXPECT_GT(once.size(), 1000u);
    EXPECT_EQ(once, World(settings, seed).Run(1500));
  }
}

}  // namespace
}  // namespace peatbend

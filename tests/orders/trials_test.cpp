// Trials of a member that gets nothing, in all orders of what can happen, on the code that routers run.
#include <gtest/gtest.h>

#include <iostream>

#include "orders/interleavings.h"
#include "orders/trials_town.h"

namespace peatbend::orders {
namespace {

struct TrialsFound {
  int begun = 0;  // the most trials in one way
  std::string broken, way;
};

std::size_t Explore(const TrialsTown& start, std::size_t most, std::uint64_t seed, TrialsFound& found,
                    FingerprintSet* distinct = nullptr) {
  return ExploreModel(start, most, seed, found.broken, found.way,
                      [&](const TrialsTown& town, std::uint64_t print) {
                        if (distinct != nullptr) distinct->Insert(print);
                        found.begun = std::max(found.begun, town.begun());
                      });
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMost = 4'000;
#else
constexpr std::size_t kMost = 100'000;
#endif

void HoldsIn(const std::string& name, const TrialsSetup& setup, int begun) {
  const TrialsTown start(setup);
  TrialsFound found;
  ExplorationSummary sample =
      ExploreFromSeveralSeeds(kMost, [&](std::uint64_t seed, std::size_t most, FingerprintSet& distinct) {
        std::size_t states = Explore(start, most, seed, found, &distinct);
        return found.broken.empty() ? std::optional(states) : std::nullopt;
      });
  std::cout << name << ": " << sample.Text() << ", up to " << found.begun << " trials" << std::endl;
  EXPECT_EQ(found.broken, "") << found.way;
  EXPECT_GE(found.begun, begun);
}

void IsCaught(TrialsMutant mutant, TrialsSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "the build without sanitizers looks for it";
#endif
  setup.mutant = mutant;
  TrialsFound found;
  std::size_t states = Explore(TrialsTown(setup), 400'000, 0, found);
  EXPECT_EQ(found.broken, rule) << "in " << states << " states" << found.way;
}

TEST(Trials, RoutersThatHearEachOther) { HoldsIn("hear", {}, 3); }
TEST(Trials, AllSeeItFailAtOnce) { HoldsIn("all see it", {.saw = 3}, 3); }
TEST(Trials, ARouterDies) { HoldsIn("dies", {.deaths = 1, .dies_at = 1}, 2); }
TEST(Trials, SignsAreLost) { HoldsIn("lost", {.lost = 2}, 2); }
TEST(Trials, SignsComeLateOrTwiceAndRoutersStandStill) {
  HoldsIn("late", {.hear = false, .saw = 2, .ticks = 4, .lost = 1, .twice = 2, .deaths = 1}, 2);
}

TEST(Trials, ATurnIsGivenBack) { HoldsIn("given back", {.passes = 2, .silent = 2}, 4); }

TEST(Trials, MutantTrialByAll) { IsCaught(TrialsMutant::kByAll, {}, "two trials of one member and epoch"); }
TEST(Trials, MutantNobodyElseTries) {
  IsCaught(TrialsMutant::kByOne, {.ticks = 8, .deaths = 1, .dies_at = 1}, "nobody tries");
}
TEST(Trials, MutantTurnIsKept) {
  IsCaught(TrialsMutant::kKeptTurn, {.ticks = 8, .ends = 0, .passes = 1, .silent = 2},
           "a turn given back that nobody has taken");
}
TEST(Trials, MutantNewsIsToldOnce) {
  IsCaught(TrialsMutant::kToldOnce, {.ticks = 8, .ends = 1, .lost = 2}, "news that not all have heard");
}

}  // namespace
}  // namespace peatbend::orders

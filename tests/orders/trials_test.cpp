// Explores interleavings of events around the trials of one ejected member, with the code that routers run.
#include <gtest/gtest.h>

#include <iostream>

#include "orders/interleavings.h"
#include "orders/trials_model.h"

namespace peatbend::orders {
namespace {

struct SearchResult {
  int begun = 0;  // the maximum number of trials on one path
  std::string violation, path;
};

std::size_t Explore(const TrialsModel& start, std::size_t max_states, std::uint64_t seed, SearchResult& found,
                    FingerprintSet* distinct = nullptr) {
  return ExploreModel(start, max_states, seed, found.violation, found.path,
                      [&](const TrialsModel& model, std::uint64_t fingerprint) {
                        if (distinct != nullptr) distinct->Insert(fingerprint);
                        found.begun = std::max(found.begun, model.begun());
                      });
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMaxStates = 4'000;
#else
constexpr std::size_t kMaxStates = 100'000;
#endif

void ExpectNoViolation(const std::string& name, const TrialsModelSetup& setup, int begun) {
  const TrialsModel start(setup);
  SearchResult found;
  ExplorationSummary sample = ExploreFromSeveralSeeds(
      kMaxStates, [&](std::uint64_t seed, std::size_t max_states, FingerprintSet& distinct) {
        std::size_t states = Explore(start, max_states, seed, found, &distinct);
        return found.violation.empty() ? std::optional(states) : std::nullopt;
      });
  std::cout << name << ": " << sample.Text() << ", up to " << found.begun << " trials" << std::endl;
  EXPECT_EQ(found.violation, "") << found.path;
  EXPECT_GE(found.begun, begun);
}

void ExpectViolation(TrialsMutant mutant, TrialsModelSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "run by the build without sanitizers only";
#endif
  setup.mutant = mutant;
  SearchResult found;
  std::size_t states = Explore(TrialsModel(setup), 400'000, 0, found);
  EXPECT_EQ(found.violation, rule) << "in " << states << " states" << found.path;
}

TEST(Trials, ConnectedRouters) { ExpectNoViolation("connected", {}, 3); }
TEST(Trials, AllSeeTheFailure) { ExpectNoViolation("all see it", {.saw_failure = 3}, 3); }
TEST(Trials, RouterDies) { ExpectNoViolation("dies", {.deaths = 1, .dies_at = 1}, 2); }
TEST(Trials, SignalsAreLost) { ExpectNoViolation("lost", {.losses = 2}, 2); }
TEST(Trials, SignalsDelayedOrDuplicatedAndRoutersStall) {
  ExpectNoViolation(
      "late", {.connected = false, .saw_failure = 2, .ticks = 4, .losses = 1, .duplicates = 2, .deaths = 1},
      2);
}

TEST(Trials, TurnIsPassed) { ExpectNoViolation("turn passed", {.turn_passes = 2, .silence_ticks = 2}, 4); }

TEST(Trials, MutantEveryRouterMakesTrials) {
  ExpectViolation(TrialsMutant::kByAll, {}, "two trials of one member and epoch");
}
TEST(Trials, MutantNobodyElseTries) {
  ExpectViolation(TrialsMutant::kByOne, {.ticks = 8, .deaths = 1, .dies_at = 1}, "no trial is made");
}
TEST(Trials, MutantTurnIsKept) {
  ExpectViolation(TrialsMutant::kKeptTurn, {.ticks = 8, .ends = 0, .turn_passes = 1, .silence_ticks = 2},
                  "passed turn was not taken");
}
TEST(Trials, MutantUpdateIsSentOnce) {
  ExpectViolation(TrialsMutant::kReportedOnce, {.ticks = 8, .ends = 1, .losses = 2},
                  "update not received by all");
}

}  // namespace
}  // namespace peatbend::orders

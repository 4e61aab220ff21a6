// Rations, in all orders of what can happen, on the code that routers run.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

#include "orders/interleavings.h"
#include "orders/rations_town.h"

namespace peatbend::orders {
namespace {

struct Found {
  std::size_t handed = 0, admitted = 0;
  std::string broken, way;
};

std::size_t Explore(const RationsTown& start, std::size_t most, std::uint64_t seed, Found& found,
                    FingerprintSet* distinct = nullptr) {
  return ExploreModel(start, most, seed, found.broken, found.way,
                      [&](const RationsTown& town, std::uint64_t print) {
                        if (distinct != nullptr) distinct->Insert(print);
                        found.handed += town.handed() > 0 ? 1 : 0;
                        found.admitted += town.admitted() > 0 ? 1 : 0;
                      });
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMost = 2'500;
#else
constexpr std::size_t kMost = 72'000;
#endif

void HoldsIn(const std::string& name, const RationsSetup& setup) {
  auto from = std::chrono::steady_clock::now();
  const RationsTown start(setup);
  Found found;
  ExplorationSummary sample =
      ExploreFromSeveralSeeds(kMost, [&](std::uint64_t seed, std::size_t most, FingerprintSet& distinct) {
        std::size_t states = Explore(start, most, seed, found, &distinct);
        return found.broken.empty() ? std::optional(states) : std::nullopt;
      });
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << name << ": " << sample.Text() << ", " << found.handed << " with tokens handed out, "
            << found.admitted << " with some admitted, " << took.count() << " s" << std::endl;
  EXPECT_EQ(found.broken, "") << found.way;
  EXPECT_TRUE(sample.complete || sample.distinct > kMost / 2);
  if (kMost < 10'000) return;
  EXPECT_GT(setup.requests > 0 ? found.admitted : found.handed, 0u);
}

void IsCaught(Careless careless, RationsSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "takes many states; the build without sanitizers looks for it";
#endif
  setup.careless = careless;
  Found found;
  std::size_t states = Explore(RationsTown(setup), 2'000'000, 0, found);
  std::cout << states << " states\n";
  EXPECT_EQ(found.broken, rule) << "in " << states << " states" << found.way;
}

TEST(Rations, TwoGoes) { HoldsIn("two goes", {}); }
TEST(Rations, TwoGoesAndMoreTime) { HoldsIn("two goes, burst 2", {.ticks = 4, .burst = 2}); }
TEST(Rations, ThreeRouters) { HoldsIn("three routers", {.routers = 3}); }
TEST(Rations, ARouterGoesAgain) { HoldsIn("goes again", {.goes = 2}); }
TEST(Rations, ASeatStartsAnew) { HoldsIn("seat anew", {.restarts = 1}); }
TEST(Rations, TwoSeatsStartAnew) { HoldsIn("two seats anew", {.restarts = 2}); }
TEST(Rations, MessagesComeTwice) { HoldsIn("twice", {.twice = 2}); }
TEST(Rations, TwiceAndASeatAnew) { HoldsIn("twice, a seat anew", {.restarts = 1, .twice = 1}); }
TEST(Rations, ThreeRoutersAndASeatAnew) {
  HoldsIn("three routers, a seat anew", {.routers = 3, .restarts = 1});
}
TEST(Rations, ARouterIsStartedAgain) { HoldsIn("started again", {.deaths = 1, .starts = 1}); }
TEST(Rations, Draws) { HoldsIn("draws", {.begun = 3, .ticks = 3, .requests = 4}); }
TEST(Rations, DrawsThatComeTwice) {
  HoldsIn("draws twice", {.begun = 3, .twice = 1, .ticks = 4, .burst = 2, .requests = 4});
}
TEST(Rations, DrawsSaidAgain) {
  HoldsIn("said again", {.goes = 0, .begun = 3, .ticks = 2, .requests = 3, .again = 1});
}
TEST(Rations, DrawsOfProcessesThatDie) {
  HoldsIn("drawers die", {.begun = 3, .deaths = 1, .starts = 1, .twice = 1, .ticks = 2, .requests = 3});
}
TEST(Rations, OneRationInsideAnother) {
  HoldsIn("nested", {.goes = 0, .begun = 3, .ticks = 4, .burst = 2, .requests = 3, .nested = 1});
}
TEST(Rations, OneInsideAnotherWhileTheKeeperChanges) {
  HoldsIn("nested, keepers change", {.begun = 3, .ticks = 3, .burst = 2, .requests = 6, .nested = 1});
}
TEST(Rations, ThreeRoutersAndAllThatMayHappen) {
  HoldsIn("three routers, all", {.routers = 3, .restarts = 1, .deaths = 1, .starts = 1, .twice = 1});
}
TEST(Rations, ThreeRoutersDraw) {
  HoldsIn("three routers draw", {.routers = 3, .goes = 0, .begun = 3, .twice = 1, .burst = 2, .requests = 3});
}
TEST(Rations, MoreDrawersThanAreKnown) {
  HoldsIn("drawers at their bound",
          {.goes = 0, .begun = 3, .twice = 1, .ticks = 4, .burst = 2, .requests = 4, .drawers = 1});
}

constexpr const char* kStretch = "handed out more in a stretch than the ration";
constexpr const char* kFilled = "handed out more than was filled";
constexpr const char* kAdmitted = "admitted more than was filled";
const RationsSetup kOneKeeper{.routers = 1, .goes = 0, .begun = 3, .ticks = 2, .burst = 2, .requests = 4};

TEST(Rations, CarelessTokensAreTimed) { IsCaught(Careless::kTimed, kOneKeeper, kAdmitted); }
TEST(Rations, CarelessDeadAgain) {
  IsCaught(Careless::kDeadAgain, {.goes = 0, .begun = 3, .deaths = 1, .ticks = 1, .requests = 2}, kAdmitted);
}
TEST(Rations, CarelessDebtForgotten) { IsCaught(Careless::kDebtForgotten, kOneKeeper, kAdmitted); }
TEST(Rations, CarelessCreditBesideTokens) {
  IsCaught(Careless::kBeside, {.routers = 1, .goes = 0, .begun = 3, .ticks = 4, .burst = 2, .requests = 5},
           "admitted more in a stretch than the ration");
}
TEST(Rations, CarelessInsideAlone) {
  RationsSetup setup = kOneKeeper;
  setup.nested = 2;
  IsCaught(Careless::kInsideAlone, setup, kAdmitted);
}
TEST(Rations, CarelessSameNonce) {
  IsCaught(Careless::kSameNonce, {.goes = 0, .begun = 3, .deaths = 1, .starts = 1, .ticks = 1, .requests = 2},
           kAdmitted);
}
TEST(Rations, CarelessFull) { IsCaught(Careless::kFull, {}, kFilled); }
TEST(Rations, CarelessFilledSinceTheAsk) { IsCaught(Careless::kFilledSinceAsk, {.ticks = 1}, kStretch); }
TEST(Rations, CarelessUnconfirmed) { IsCaught(Careless::kUnconfirmed, {}, kStretch); }
TEST(Rations, CarelessOldConfirm) { IsCaught(Careless::kOldConfirm, {.ticks = 2}, kStretch); }
TEST(Rations, CarelessOneSeat) { IsCaught(Careless::kOneSeat, {.ticks = 1}, kStretch); }
TEST(Rations, CarelessAnyLife) {
  IsCaught(Careless::kAnyLife, {.begun = 2, .restarts = 1, .twice = 2, .ticks = 1}, kStretch);
}
TEST(Rations, CarelessSameLife) {
  IsCaught(Careless::kSameLife, {.begun = 2, .restarts = 1, .twice = 2, .ticks = 1}, kStretch);
}
TEST(Rations, CarelessOpenSet) {
  IsCaught(Careless::kOpenSet, {.begun = 2, .restarts = 1, .ticks = 1}, kStretch);
}
TEST(Rations, CarelessPromisesAll) { IsCaught(Careless::kPromisesAll, {}, kStretch); }
TEST(Rations, CarelessLatestAsk) {
  IsCaught(Careless::kLatestAsk, {.begun = 2, .twice = 2, .ticks = 1}, kStretch);
}
TEST(Rations, CarelessTwoLives) { IsCaught(Careless::kTwoLives, {.restarts = 1, .ticks = 1}, kStretch); }

}  // namespace
}  // namespace peatbend::orders

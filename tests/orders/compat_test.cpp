// Publishing, in all orders of what can happen, on the code that routers run.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

#include "orders/compat_town.h"
#include "orders/interleavings.h"

namespace peatbend::orders {
namespace {

struct CompatFound {
  std::size_t accepted = 0, joined = 0;
  std::string broken, way;
};

std::size_t Explore(const CompatTown& start, std::size_t most, std::uint64_t seed, CompatFound& found,
                    FingerprintSet* distinct = nullptr) {
  return ExploreModel(start, most, seed, found.broken, found.way,
                      [&](const CompatTown& town, std::uint64_t print) {
                        if (distinct != nullptr) distinct->Insert(print);
                        found.accepted += town.accepted();
                        found.joined += town.joined();
                      });
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMost = 4'000;
#else
constexpr std::size_t kMost = 100'000;
#endif

void HoldsIn(const std::string& name, const CompatSetup& setup) {
  auto from = std::chrono::steady_clock::now();
  const CompatTown start(setup);
  CompatFound found;
  ExplorationSummary sample =
      ExploreFromSeveralSeeds(kMost, [&](std::uint64_t seed, std::size_t most, FingerprintSet& distinct) {
        std::size_t states = Explore(start, most, seed, found, &distinct);
        return found.broken.empty() ? std::optional(states) : std::nullopt;
      });
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << name << ": " << sample.Text() << ", " << found.accepted << " with a version accepted, "
            << found.joined << " with a reader joined, " << took.count() << " s" << std::endl;
  EXPECT_EQ(found.broken, "") << found.way;
  EXPECT_TRUE(sample.complete || sample.distinct > kMost / 2);
  EXPECT_GT(found.accepted, 0u);
}

void IsCaught(CompatMutant mutant, CompatSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "the build without sanitizers looks for it";
#endif
  setup.mutant = mutant;
  CompatFound found;
  std::size_t states = Explore(CompatTown(setup), 400'000, 0, found);
  EXPECT_TRUE(found.broken.starts_with(rule))
      << "found: " << found.broken << " in " << states << " states" << found.way;
}

const std::vector<Role> kTwoPublish{Role::kPublisher, Role::kOtherPublisher};
const std::vector<Role> kOneJoins{Role::kPublisher, Role::kReader};

TEST(Compat, TwoPublish) { HoldsIn("two publish", {.roles = kTwoPublish}); }
TEST(Compat, TwoPublishTwice) { HoldsIn("two publish, twice each", {.roles = kTwoPublish, .tries = 2}); }
TEST(Compat, AReaderJoinsMeanwhile) { HoldsIn("one joins", {.roles = kOneJoins, .tries = 2}); }
TEST(Compat, TwoPublishAndAReaderJoins) { HoldsIn("two publish, one joins", {}); }
TEST(Compat, MessagesComeTwice) { HoldsIn("twice", {.twice = 2}); }
TEST(Compat, ASeatStartsAnew) { HoldsIn("seat anew", {.restarts = 1}); }
TEST(Compat, ASeatIsGivenTheOthersWord) {
  HoldsIn("words", {.roles = kOneJoins, .tries = 2, .restarts = 1, .words = 1});
}
TEST(Compat, AReaderIsRetiredAndAnotherJoins) {
  HoldsIn("retired", {.roles = {Role::kOperator, Role::kPublisher, Role::kReader}, .ann = true});
}

TEST(Compat, TwoReadersJoin) {
  HoldsIn("two join", {.roles = {Role::kPublisher, Role::kReader, Role::kOtherReader}});
}
TEST(Compat, AReaderIsRetiredByAWordAboutAnOldStatement) {
  HoldsIn("old word",
          {.roles = {Role::kRejoiner, Role::kOperator, Role::kPublisher}, .ann = true, .tries = 2});
}

const CompatSetup kSilent{.roles = {Role::kDetector, Role::kPublisher}, .ann = true, .tries = 2};
TEST(Compat, AReaderThatIsSilentCounts) {
  CompatFound found;
  EXPECT_GT(Explore(CompatTown(kSilent), kMost, 0, found), 500u);
  EXPECT_EQ(found.broken, "") << found.way;
  EXPECT_EQ(found.accepted, 0u);
}

TEST(Compat, MutantSilenceIsRetirement) {
  IsCaught(CompatMutant::kSilenceRetires, kSilent, "a reader that counts is lost: ann");
}
TEST(Compat, MutantOneSeatIsTakenForTwo) {
  IsCaught(CompatMutant::kOneSeat, {.roles = kTwoPublish}, "what was told accepted is lost");
}
TEST(Compat, MutantAReaderIsToldBeforeItsJoiningStands) {
  IsCaught(CompatMutant::kJoinUnwritten, {.roles = kOneJoins}, "a reader that counts is lost: bob");
}
TEST(Compat, MutantAWordRetiresWhoeverHasJoinedSince) {
  IsCaught(CompatMutant::kRetiresWhoever, {.roles = {Role::kRejoiner, Role::kOperator}, .ann = true},
           "a reader that counts is lost: ann");
}
TEST(Compat, MutantASeatIsFoundedAgain) {
  IsCaught(CompatMutant::kFoundAgain, {.roles = kTwoPublish, .restarts = 1},
           "what was told accepted is lost");
}

}  // namespace
}  // namespace peatbend::orders

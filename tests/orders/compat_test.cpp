// Publishing of versions and registration of readers, on the routers' real code, in all interleavings of
// events.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

#include "orders/compat_model.h"
#include "orders/interleavings.h"

namespace peatbend::orders {
namespace {

struct ExplorationResult {
  std::size_t accepted = 0, registered = 0;
  std::string violation, trace;
};

std::size_t Explore(const CompatModel& start, std::size_t max_states, std::uint64_t seed,
                    ExplorationResult& result, FingerprintSet* distinct = nullptr) {
  return ExploreModel(start, max_states, seed, result.violation, result.trace,
                      [&](const CompatModel& model, std::uint64_t fingerprint) {
                        if (distinct != nullptr) distinct->Insert(fingerprint);
                        result.accepted += model.accepted();
                        result.registered += model.registered();
                      });
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMaxStates = 4'000;
#else
constexpr std::size_t kMaxStates = 100'000;
#endif

void ExpectNoViolation(const std::string& name, const CompatSetup& setup) {
  auto from = std::chrono::steady_clock::now();
  const CompatModel start(setup);
  ExplorationResult result;
  ExplorationSummary sample = ExploreFromSeveralSeeds(
      kMaxStates, [&](std::uint64_t seed, std::size_t max_states, FingerprintSet& distinct) {
        std::size_t states = Explore(start, max_states, seed, result, &distinct);
        return result.violation.empty() ? std::optional(states) : std::nullopt;
      });
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << name << ": " << sample.Text() << ", " << result.accepted << " with a version accepted, "
            << result.registered << " with a reader registered, " << took.count() << " s" << std::endl;
  EXPECT_EQ(result.violation, "") << result.trace;
  EXPECT_TRUE(sample.complete || sample.distinct > kMaxStates / 2);
  EXPECT_GT(result.accepted, 0u);
}

void ExpectViolation(CompatMutant mutant, CompatSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "the build without sanitizers looks for it";
#endif
  setup.mutant = mutant;
  ExplorationResult result;
  std::size_t states = Explore(CompatModel(setup), 400'000, 0, result);
  EXPECT_TRUE(result.violation.starts_with(rule))
      << "found: " << result.violation << " in " << states << " states" << result.trace;
}

const std::vector<Role> kTwoPublishers{Role::kPublisher, Role::kOtherPublisher};
const std::vector<Role> kPublisherAndReader{Role::kPublisher, Role::kReader};

TEST(Compat, TwoPublishers) { ExpectNoViolation("two publishers", {.roles = kTwoPublishers}); }
TEST(Compat, TwoPublishersWithTwoBallots) {
  ExpectNoViolation("two publishers, two ballots each", {.roles = kTwoPublishers, .ballots = 2});
}
TEST(Compat, AReaderRegistersMeanwhile) {
  ExpectNoViolation("one reader", {.roles = kPublisherAndReader, .ballots = 2});
}
TEST(Compat, TwoPublishersAndAReader) { ExpectNoViolation("two publishers, one reader", {}); }
TEST(Compat, DuplicateMessages) { ExpectNoViolation("twice", {.duplicates = 2}); }
TEST(Compat, AReplicaRestarts) { ExpectNoViolation("replica restart", {.restarts = 1}); }
TEST(Compat, AReplicaSyncsAfterARestart) {
  ExpectNoViolation("words", {.roles = kPublisherAndReader, .ballots = 2, .restarts = 1, .syncs = 1});
}
TEST(Compat, AReaderIsRetiredAndAnotherRegisters) {
  ExpectNoViolation("retired",
                    {.roles = {Role::kOperator, Role::kPublisher, Role::kReader}, .ann_registered = true});
}

TEST(Compat, TwoReadersRegister) {
  ExpectNoViolation("two readers", {.roles = {Role::kPublisher, Role::kReader, Role::kOtherReader}});
}
TEST(Compat, ARetirementNamesAnOldRegistration) {
  ExpectNoViolation("old registration",
                    {.roles = {Role::kReregisteringReader, Role::kOperator, Role::kPublisher},
                     .ann_registered = true,
                     .ballots = 2});
}

const CompatSetup kSilent{.roles = {Role::kDetector, Role::kPublisher}, .ann_registered = true, .ballots = 2};
TEST(Compat, ASilentReaderCounts) {
  ExplorationResult result;
  EXPECT_GT(Explore(CompatModel(kSilent), kMaxStates, 0, result), 500u);
  EXPECT_EQ(result.violation, "") << result.trace;
  EXPECT_EQ(result.accepted, 0u);
}

TEST(Compat, MutantSilenceRetires) {
  ExpectViolation(CompatMutant::kSilenceRetires, kSilent, "a registered reader is lost: ann");
}
TEST(Compat, MutantOneReplicaIsAMajority) {
  ExpectViolation(CompatMutant::kOneReplica, {.roles = kTwoPublishers},
                  "a version reported as accepted is lost");
}
TEST(Compat, MutantARegistrationIsReportedEarly) {
  ExpectViolation(CompatMutant::kReportsEarly, {.roles = kPublisherAndReader},
                  "a registered reader is lost: bob");
}
TEST(Compat, MutantARetirementAppliesToAnyRegistration) {
  ExpectViolation(CompatMutant::kRetiresAnyRegistration,
                  {.roles = {Role::kReregisteringReader, Role::kOperator}, .ann_registered = true},
                  "a registered reader is lost: ann");
}
TEST(Compat, MutantAReplicaIsBootstrappedAgain) {
  ExpectViolation(CompatMutant::kBootstrappedAgain, {.roles = kTwoPublishers, .restarts = 1},
                  "a version reported as accepted is lost");
}

}  // namespace
}  // namespace peatbend::orders

// The quota model in all interleavings of its events, on the code that routers run.
#include "orders/quota_model.h"

#include <gtest/gtest.h>

#include <chrono>
#include <iostream>

#include "orders/interleavings.h"

namespace peatbend::orders {
namespace {

struct Findings {
  std::size_t granted = 0, admitted = 0;  // states in which some were
  std::string broken, path;               // the bound that was exceeded first, and the events that led to it
};

std::size_t Explore(const QuotaModel& start, std::size_t max_states, std::uint64_t seed, Findings& findings,
                    FingerprintSet* distinct = nullptr) {
  return ExploreModel(start, max_states, seed, findings.broken, findings.path,
                      [&](const QuotaModel& model, std::uint64_t fingerprint) {
                        if (distinct != nullptr) distinct->Insert(fingerprint);
                        findings.granted += model.granted() > 0 ? 1 : 0;
                        findings.admitted += model.admitted() > 0 ? 1 : 0;
                      });
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMaxStates = 2'500;
#else
constexpr std::size_t kMaxStates = 72'000;
#endif

void ExpectBounds(const std::string& name, const QuotaModelSetup& setup) {
  auto from = std::chrono::steady_clock::now();
  const QuotaModel start(setup);
  Findings findings;
  ExplorationSummary sample = ExploreFromSeveralSeeds(
      kMaxStates, [&](std::uint64_t seed, std::size_t max_states, FingerprintSet& distinct) {
        std::size_t states = Explore(start, max_states, seed, findings, &distinct);
        return findings.broken.empty() ? std::optional(states) : std::nullopt;
      });
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << name << ": " << sample.Text() << ", " << findings.granted << " with tokens granted, "
            << findings.admitted << " with some admitted, " << took.count() << " s" << std::endl;
  EXPECT_EQ(findings.broken, "") << findings.path;
  EXPECT_TRUE(sample.complete || sample.distinct > kMaxStates / 2);
  if (kMaxStates < 10'000) return;
  EXPECT_GT(setup.requests > 0 ? findings.admitted : findings.granted, 0u);
}

void ExpectFound(QuotaMutant mutant, QuotaModelSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "needs many states; only the build without sanitizers runs this";
#endif
  setup.mutant = mutant;
  Findings findings;
  std::size_t states = Explore(QuotaModel(setup), 2'000'000, 0, findings);
  std::cout << states << " states\n";
  EXPECT_EQ(findings.broken, rule) << "in " << states << " states" << findings.path;
}

TEST(QuotaModel, TwoElections) { ExpectBounds("two elections", {}); }
TEST(QuotaModel, TwoElectionsAndMoreTime) {
  ExpectBounds("two elections, burst 2", {.ticks = 4, .burst = 2});
}
TEST(QuotaModel, ThreeRouters) { ExpectBounds("three routers", {.routers = 3}); }
TEST(QuotaModel, ARouterIsElectedTwice) { ExpectBounds("elected twice", {.elections = 2}); }
TEST(QuotaModel, AReplicaRestarts) { ExpectBounds("replica restarts", {.restarts = 1}); }
TEST(QuotaModel, TwoReplicasRestart) { ExpectBounds("two replicas restart", {.restarts = 2}); }
TEST(QuotaModel, DuplicateMessages) { ExpectBounds("twice", {.duplicates = 2}); }
TEST(QuotaModel, DuplicatesAndAReplicaRestarts) {
  ExpectBounds("duplicates, a replica restarts", {.restarts = 1, .duplicates = 1});
}
TEST(QuotaModel, ThreeRoutersAndAReplicaRestarts) {
  ExpectBounds("three routers, a replica restarts", {.routers = 3, .restarts = 1});
}
TEST(QuotaModel, ARouterRestarts) { ExpectBounds("router restarts", {.deaths = 1, .starts = 1}); }
TEST(QuotaModel, TokenRequests) { ExpectBounds("draws", {.promised = 3, .ticks = 3, .requests = 4}); }
TEST(QuotaModel, DuplicateTokenRequests) {
  ExpectBounds("token requests twice",
               {.promised = 3, .duplicates = 1, .ticks = 4, .burst = 2, .requests = 4});
}
TEST(QuotaModel, ResentTokenRequests) {
  ExpectBounds("resent token requests",
               {.elections = 0, .promised = 3, .ticks = 2, .requests = 3, .resends = 1});
}
TEST(QuotaModel, RequestersDie) {
  ExpectBounds("requesters die",
               {.promised = 3, .deaths = 1, .starts = 1, .duplicates = 1, .ticks = 2, .requests = 3});
}
TEST(QuotaModel, NestedQuotas) {
  ExpectBounds("nested", {.elections = 0, .promised = 3, .ticks = 4, .burst = 2, .requests = 3, .nested = 1});
}
TEST(QuotaModel, NestedQuotasWhileTheOwnerChanges) {
  ExpectBounds("nested, owners change", {.promised = 3, .ticks = 3, .burst = 2, .requests = 6, .nested = 1});
}
TEST(QuotaModel, ThreeRoutersAndAllFaults) {
  ExpectBounds("three routers, all",
               {.routers = 3, .restarts = 1, .deaths = 1, .starts = 1, .duplicates = 1});
}
TEST(QuotaModel, ThreeRoutersRequestTokens) {
  ExpectBounds("three routers request tokens",
               {.routers = 3, .elections = 0, .promised = 3, .duplicates = 1, .burst = 2, .requests = 3});
}
TEST(QuotaModel, MoreRequestersThanAreRemembered) {
  ExpectBounds("requesters at their limit", {.elections = 0,
                                             .promised = 3,
                                             .duplicates = 1,
                                             .ticks = 4,
                                             .burst = 2,
                                             .requests = 4,
                                             .requesters = 1});
}

constexpr const char* kPeriod = "granted more in a period than the quota";
constexpr const char* kRefilled = "granted more than was refilled";
constexpr const char* kAdmitted = "admitted more than was refilled";
const QuotaModelSetup kOneOwner{
    .routers = 1, .elections = 0, .promised = 3, .ticks = 2, .burst = 2, .requests = 4};

TEST(QuotaModel, FindsTokensThatExpire) { ExpectFound(QuotaMutant::kTokensExpire, kOneOwner, kAdmitted); }
TEST(QuotaModel, FindsTokensOfTheDead) {
  ExpectFound(QuotaMutant::kTokensOfDead,
              {.elections = 0, .promised = 3, .deaths = 1, .ticks = 1, .requests = 2}, kAdmitted);
}
TEST(QuotaModel, FindsForgottenDebt) { ExpectFound(QuotaMutant::kDebtForgotten, kOneOwner, kAdmitted); }
TEST(QuotaModel, FindsTokensBesideCredit) {
  ExpectFound(QuotaMutant::kTokensBesideCredit,
              {.routers = 1, .elections = 0, .promised = 3, .ticks = 4, .burst = 2, .requests = 5},
              "admitted more in a period than the quota");
}
TEST(QuotaModel, FindsTokensOfTheInnerQuotaOnly) {
  QuotaModelSetup setup = kOneOwner;
  setup.nested = 2;
  ExpectFound(QuotaMutant::kInnerQuotaOnly, setup, kAdmitted);
}
TEST(QuotaModel, FindsReusedNonce) {
  ExpectFound(QuotaMutant::kSameNonce,
              {.elections = 0, .promised = 3, .deaths = 1, .starts = 1, .ticks = 1, .requests = 2},
              kAdmitted);
}
TEST(QuotaModel, FindsBucketThatStartsFull) { ExpectFound(QuotaMutant::kStartsFull, {}, kRefilled); }
TEST(QuotaModel, FindsBucketFilledSincePrepare) {
  ExpectFound(QuotaMutant::kFilledSincePrepare, {.ticks = 1}, kPeriod);
}
TEST(QuotaModel, FindsUnconfirmedGrants) { ExpectFound(QuotaMutant::kUnconfirmed, {}, kPeriod); }
TEST(QuotaModel, FindsOlderConfirmation) {
  ExpectFound(QuotaMutant::kOlderConfirmation, {.ticks = 2}, kPeriod);
}
TEST(QuotaModel, FindsConfirmationOfOneReplica) {
  ExpectFound(QuotaMutant::kOneReplica, {.ticks = 1}, kPeriod);
}
TEST(QuotaModel, FindsConfirmationOfAnyGeneration) {
  ExpectFound(QuotaMutant::kAnyGeneration, {.promised = 2, .restarts = 1, .duplicates = 2, .ticks = 1},
              kPeriod);
}
TEST(QuotaModel, FindsReusedGeneration) {
  ExpectFound(QuotaMutant::kSameGeneration, {.promised = 2, .restarts = 1, .duplicates = 2, .ticks = 1},
              kPeriod);
}
TEST(QuotaModel, FindsLatePromises) {
  ExpectFound(QuotaMutant::kLatePromises, {.promised = 2, .restarts = 1, .ticks = 1}, kPeriod);
}
TEST(QuotaModel, FindsReplicaThatPromisesAll) { ExpectFound(QuotaMutant::kPromisesAll, {}, kPeriod); }
TEST(QuotaModel, FindsReplicaThatPromisesTheLatest) {
  ExpectFound(QuotaMutant::kLatestPrepare, {.promised = 2, .duplicates = 2, .ticks = 1}, kPeriod);
}
TEST(QuotaModel, FindsFormerGenerationThatAnswers) {
  ExpectFound(QuotaMutant::kFormerAnswers, {.restarts = 1, .ticks = 1}, kPeriod);
}

}  // namespace
}  // namespace peatbend::orders

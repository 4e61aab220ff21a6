// Explores interleavings of messages, crashes, restarts and delays around one operation, with the code that
// routers run, and checks the replica on its own.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "failover/replica_set.h"
#include "orders/failover_model.h"
#include "orders/interleavings.h"

namespace peatbend::orders {
namespace {

struct SearchResult {
  std::size_t states = 0, with_outcome = 0, sent_twice = 0;
  std::string violation, path;
};

// Explores up to `max_states` states. `shuffled`: tries events in random order, so that an incomplete search
// is not limited to the states that share one beginning.
SearchResult Explore(const FailoverModelSetup& setup, std::size_t max_states, bool shuffled) {
  SearchResult found;
  found.states = ForEachState(
      FailoverModel(setup),
      [shuffled](const FailoverModel& model, std::uint64_t fingerprint) {
        auto next = model.Events();
        if (shuffled) std::ranges::shuffle(next, std::minstd_rand(static_cast<std::uint32_t>(fingerprint)));
        return next;
      },
      [](const FailoverModel& model, const FailoverModel::Event& event) { return model.After(event); },
      [](const FailoverModel& model) { return model.Fingerprint(); },
      [&](const FailoverModel& model, const std::vector<FailoverModel::Event>& path, std::uint64_t) {
        found.with_outcome += model.outcome().empty() ? 0 : 1;
        found.sent_twice += model.sent() > 1 ? 1 : 0;
        if (model.violation().empty()) return true;
        found.violation = model.violation();
        for (const FailoverModel::Event& event : path) found.path += "\n  " + event.Text();
        return false;
      },
      max_states);
  return found;
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMaxStates = 2'500;
#else
constexpr std::size_t kMaxStates = 60'000;
#endif

// Checks `max_states` states, or as many as PEATBEND_LONG says, or all if there are fewer.
void ExpectNoViolation(const std::string& name, const FailoverModelSetup& setup,
                       std::size_t max_states = kMaxStates) {
  if (const char* more = std::getenv("PEATBEND_LONG")) max_states = std::strtoull(more, nullptr, 10);
  auto from = std::chrono::steady_clock::now();
  SearchResult found = Explore(setup, max_states, false);
  if (found.states >= max_states && found.violation.empty()) {
    SearchResult more = Explore(setup, max_states, true);
    found.states += more.states;
    found.with_outcome += more.with_outcome;
    found.sent_twice += more.sent_twice;
    found.violation = more.violation;
    found.path = more.path;
  }
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << name << ": " << found.states << " states" << (found.states < max_states ? ", all of them" : "")
            << ", " << found.with_outcome << " with an outcome, " << found.sent_twice
            << " with a second attempt, " << took.count() << " s\n";
  EXPECT_EQ(found.violation, "") << found.path;
  EXPECT_GT(found.states, kMaxStates / 5);
  EXPECT_GT(found.with_outcome, 0u);
}

void ExpectViolation(Mutant mutant, FailoverModelSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "takes up to 400,000 states; run by the build without sanitizers only";
#endif
  setup.mutant = mutant;
  SearchResult found = Explore(setup, 5'000'000, false);
  EXPECT_FALSE(found.violation.empty());
  EXPECT_TRUE(found.violation.starts_with(rule))
      << "found: " << found.violation << " in " << found.states << " states" << found.path;
}

TEST(Failover, OneRouterContinues) {
  ExpectNoViolation("one router", {.owner_returns = false, .lost_dials = false});
}
TEST(Failover, FormerOwnerReturns) { ExpectNoViolation("owner back", {.lost_dials = false}); }
TEST(Failover, AttemptsThatNeverRan) { ExpectNoViolation("never ran", {}); }
TEST(Failover, KeyedOperationAndItsWindow) {
  ExpectNoViolation("keyed", {.effect = Effect::kKeyed, .time_steps = 3, .owner_returns = false});
}
TEST(Failover, TwoClientsAtOnce) { ExpectNoViolation("two clients", {.second_client = true}); }
TEST(Failover, ReplicaRestarts) {
  ExpectNoViolation("replica restarts", {.restarts = 1, .lost_dials = false});
}
TEST(Failover, TwoReplicasRestart) {
  ExpectNoViolation("two replicas restart", {.restarts = 2, .owner_returns = false, .lost_dials = false});
}
TEST(Failover, DuplicatedMessages) {
  ExpectNoViolation("twice", {.duplicates = 1, .owner_returns = false, .lost_dials = false});
}
TEST(Failover, ExpiredPermits) { ExpectNoViolation("late", {.time_steps = 2, .lost_dials = false}); }
TEST(Failover, ThreeRouters) {
  ExpectNoViolation("three routers", {.routers = 3, .owner_returns = false, .lost_dials = false});
}
TEST(Failover, ReplicaRestartsWithStateTransfer) {
  ExpectNoViolation("syncs", {.restarts = 1, .syncs = 1, .owner_returns = false, .lost_dials = false});
}
TEST(Failover, TwoReplicasRestartWithStateTransfer) {
  ExpectNoViolation("syncs twice", {.restarts = 2, .syncs = 2, .owner_returns = false, .lost_dials = false});
}
TEST(Failover, TwoClientsAndStateTransfer) {
  ExpectNoViolation(
      "two clients, syncs",
      {.second_client = true, .restarts = 1, .syncs = 1, .owner_returns = false, .lost_dials = false});
}
TEST(Failover, ReaderAndStateTransfer) {
  ExpectNoViolation("a reader, syncs",
                    {.restarts = 1, .syncs = 1, .reads = 1, .owner_returns = false, .lost_dials = false});
}
TEST(Failover, Reader) {
  ExpectNoViolation("a reader", {.reads = 2, .owner_returns = false, .lost_dials = false});
}

// ---- A single replica -------------------------------------------------------------------------------------

failover::Message Accept(const std::string& operation, const std::string& by, std::uint64_t round,
                         std::uint32_t version) {
  failover::Message message;
  message.kind = failover::Kind::kAccept;
  message.operation = operation;
  message.ballot = {round, {by, 1, 1}};
  message.version = version;
  failover::AttemptRecord attempt;
  attempt.by = message.ballot.proposer;
  attempt.number = version;
  attempt.server = "m";
  message.state.attempts.push_back(attempt);
  return message;
}

TEST(Failover, FullReplicaRejectsAndKeepsItsRecords) {
  failover::RecordReplica acceptor({.lifetime = 1s, .bytes = 1500}, -10s);
  int kept = 0;
  for (int i = 0; i < 10; ++i)
    kept += acceptor.Handle(0s, Accept("w" + std::to_string(i), "a", 0, 1)).kind == failover::Kind::kAccepted;
  EXPECT_GT(kept, 1);
  EXPECT_LT(kept, 10);
  EXPECT_EQ(acceptor.records(), static_cast<std::size_t>(kept));
  EXPECT_LE(acceptor.bytes(), 1500u);
  EXPECT_EQ(acceptor.Handle(0s, Accept("more", "a", 0, 1)).nack, failover::Nack::kFull);
  EXPECT_EQ(acceptor.Handle(0s, Accept("w0", "b", 0, 1)).nack, failover::Nack::kPreempted);
  acceptor.DropExpired(999ms);
  EXPECT_EQ(acceptor.records(), static_cast<std::size_t>(kept));
  acceptor.DropExpired(1s);
  EXPECT_EQ(acceptor.records(), 0u);
  EXPECT_EQ(acceptor.bytes(), 0u);
}

TEST(Failover, StartedReplicaDoesNotVote) {
  failover::RecordReplica acceptor({.lifetime = 1s}, 0s);
  EXPECT_EQ(acceptor.Handle(999ms, Accept("w", "a", 0, 1)).nack, failover::Nack::kRecovering);
  EXPECT_EQ(acceptor.records(), 0u);
  EXPECT_EQ(acceptor.Handle(1s, Accept("w", "a", 0, 1)).kind, failover::Kind::kAccepted);
}

// A process does not own what it wrote under an earlier proposal, whose state it no longer has.
TEST(Failover, SecondProposalOfAProcessIsPreempted) {
  failover::RecordReplica acceptor({}, -1h);
  EXPECT_EQ(acceptor.Handle(0s, Accept("w", "a", 0, 1)).kind, failover::Kind::kAccepted);
  failover::Message retried = Accept("w", "a", 0, 1);
  retried.ballot.proposer.proposal = 2;
  EXPECT_EQ(acceptor.Handle(0s, retried).nack, failover::Nack::kPreempted);
}

TEST(Failover, ReplicaSelectionIsBalancedAndDependsOnNamesOnly) {
  std::vector<failover::ReplicaName> names;
  for (int i = 0; i < 20; ++i) names.push_back({"r" + std::to_string(i), i % 2 == 0 ? "east" : "west"});
  failover::ReplicaSet replicas(names);
  std::ranges::reverse(names);
  failover::ReplicaSet other(names);
  std::map<std::size_t, int> chosen;
  for (int i = 0; i < 2000; ++i) {
    std::string operation = "operation " + std::to_string(i);
    auto of = replicas.ReplicasFor(operation);
    EXPECT_EQ(of, other.ReplicasFor(operation));
    EXPECT_NE(replicas.all()[of[0]].zone, replicas.all()[of[1]].zone);
    EXPECT_EQ(std::set<std::size_t>(of.begin(), of.end()).size(), failover::kReplicas);
    for (std::size_t replica : of) ++chosen[replica];
  }
  for (const auto& [replica, times] : chosen) {
    EXPECT_GT(times, 220) << replica;  // 300 each if evenly distributed
    EXPECT_LT(times, 380) << replica;
  }
  EXPECT_EQ(replicas.fingerprint(), other.fingerprint());
  // Adding a replica changes only the records for which the new one is selected.
  names.push_back({"r20", "east"});
  failover::ReplicaSet more(names);
  int kept = 0;
  for (int i = 0; i < 2000; ++i) {
    std::string operation = "operation " + std::to_string(i);
    auto before = replicas.ReplicasFor(operation), after = more.ReplicasFor(operation);
    bool same = true;
    for (std::size_t n = 0; n < failover::kReplicas; ++n)
      same = same && replicas.all()[before[n]] == more.all()[after[n]];
    kept += same ? 1 : 0;
  }
  EXPECT_GT(kept, 1600);
  EXPECT_THROW(failover::ReplicaSet({{"a", ""}, {"b", ""}}), std::invalid_argument);
  EXPECT_THROW(failover::ReplicaSet({{"a", ""}, {"b", ""}, {"a", "x"}}), std::invalid_argument);
}

const FailoverModelSetup kSmall{.owner_returns = false, .lost_dials = false};
FailoverModelSetup With(FailoverModelSetup setup, int restarts, int time_steps) {
  setup.restarts = restarts;
  setup.time_steps = time_steps;
  return setup;
}

TEST(Failover, MutantTakesOverWithoutPromise) {
  ExpectViolation(Mutant::kNoPromise, kSmall, "unsafe operation sent twice");
}
TEST(Failover, MutantVotesWithoutFormerState) {
  ExpectViolation(Mutant::kEarlyVote, With(kSmall, 1, 0), "conflicting outcomes");
}
TEST(Failover, MutantWindowRestarted) {
  FailoverModelSetup setup = With(kSmall, 0, 3);
  setup.effect = Effect::kKeyed;
  ExpectViolation(Mutant::kWindowRestarted, setup, "keyed operation sent again after its window");
}
TEST(Failover, MutantAnswersBeforeCommit) {
  ExpectViolation(Mutant::kAnswersEarly, kSmall, "conflicting outcomes");
}
TEST(Failover, MutantExpiredPermitUsed) {
  ExpectViolation(Mutant::kExpiredPermit, With(kSmall, 0, 1), "sent after the outcome was returned");
}
TEST(Failover, MutantSendsBeforeCommit) {
  ExpectViolation(Mutant::kSendsEarly, kSmall, "unsafe operation sent twice");
}
TEST(Failover, MutantOneReplicaCountsAsMajority) {
  ExpectViolation(Mutant::kOneReplica, kSmall, "conflicting outcomes");
}
FailoverModelSetup WithSyncs() {
  FailoverModelSetup setup = With(kSmall, 1, 0);
  setup.syncs = 1;
  return setup;
}
TEST(Failover, MutantVotesOfFormerGenerationsCount) {
  ExpectViolation(Mutant::kFormerGenerations, WithSyncs(), "conflicting outcomes");
}
TEST(Failover, MutantOneStateTransferSuffices) {
  ExpectViolation(Mutant::kSingleSync, WithSyncs(), "conflicting outcomes");
}
TEST(Failover, MutantEmptyStateTransfer) {
  ExpectViolation(Mutant::kEmptySync, WithSyncs(), "conflicting outcomes");
}
TEST(Failover, MutantOneOfTwoConcurrentWritesIsRead) {
  FailoverModelSetup setup = kSmall;
  setup.second_client = true;
  ExpectViolation(Mutant::kOneConcurrentWrite, setup, "unsafe operation sent twice");
}

}  // namespace
}  // namespace peatbend::orders

// Taking over, in all orders of what can happen, on the code that routers run.
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

struct Found {
  std::size_t states = 0, ended = 0, sent_twice = 0;
  std::string broken, way;
};

// `shuffled`: in an order of chance, so that a part of all states is not the part with one beginning.
Found Explore(const FailoverModelSetup& setup, std::size_t most, bool shuffled) {
  Found found;
  found.states = ForEachState(
      FailoverModel(setup),
      [shuffled](const FailoverModel& town, std::uint64_t print) {
        auto next = town.Events();
        if (shuffled) std::ranges::shuffle(next, std::minstd_rand(static_cast<std::uint32_t>(print)));
        return next;
      },
      [](const FailoverModel& town, const FailoverModel::Event& event) { return town.After(event); },
      [](const FailoverModel& town) { return town.Print(); },
      [&](const FailoverModel& town, const std::vector<FailoverModel::Event>& way, std::uint64_t) {
        found.ended += town.told().empty() ? 0 : 1;
        found.sent_twice += town.sent() > 1 ? 1 : 0;
        if (town.broken().empty()) return true;
        found.broken = town.broken();
        for (const FailoverModel::Event& event : way) found.way += "\n  " + event.Text();
        return false;
      },
      most);
  return found;
}

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMost = 2'500;
#else
constexpr std::size_t kMost = 60'000;
#endif

// So many states, or as many as PEATBEND_LONG says, or all there are.
void HoldsIn(const std::string& name, const FailoverModelSetup& setup, std::size_t most = kMost) {
  if (const char* more = std::getenv("PEATBEND_LONG")) most = std::strtoull(more, nullptr, 10);
  auto from = std::chrono::steady_clock::now();
  Found found = Explore(setup, most, false);
  if (found.states >= most && found.broken.empty()) {
    Found more = Explore(setup, most, true);
    found.states += more.states;
    found.ended += more.ended;
    found.sent_twice += more.sent_twice;
    found.broken = more.broken;
    found.way = more.way;
  }
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << name << ": " << found.states << " states" << (found.states < most ? ", all there are" : "")
            << ", " << found.ended << " with an outcome told, " << found.sent_twice
            << " with a second attempt, " << took.count() << " s\n";
  EXPECT_EQ(found.broken, "") << found.way;
  EXPECT_GT(found.states, kMost / 5);
  EXPECT_GT(found.ended, 0u);
}

void IsCaught(Mutant mutant, FailoverModelSetup setup, const std::string& rule) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "takes up to 400,000 states; the build without sanitizers looks for it";
#endif
  setup.mutant = mutant;
  Found found = Explore(setup, 5'000'000, false);
  EXPECT_FALSE(found.broken.empty());
  EXPECT_TRUE(found.broken.starts_with(rule))
      << "found: " << found.broken << " in " << found.states << " states" << found.way;
}

TEST(Failover, OneRouterGoesOn) { HoldsIn("one goes on", {.back = false, .lost_dials = false}); }
TEST(Failover, TheFormerOwnerComesBack) { HoldsIn("owner back", {.lost_dials = false}); }
TEST(Failover, AttemptsThatNeverRan) { HoldsIn("never ran", {}); }
TEST(Failover, KeyedWorkAndItsWindow) {
  HoldsIn("keyed", {.effect = Effect::kKeyed, .passes = 3, .back = false});
}
TEST(Failover, TwoAskersAtOnce) { HoldsIn("two askers", {.second_asker = true}); }
TEST(Failover, AReplicaRestarts) { HoldsIn("replica restarts", {.restarts = 1, .lost_dials = false}); }
TEST(Failover, TwoReplicasRestart) {
  HoldsIn("two replicas restart", {.restarts = 2, .back = false, .lost_dials = false});
}
TEST(Failover, MessagesComeTwice) { HoldsIn("twice", {.twice = 1, .back = false, .lost_dials = false}); }
TEST(Failover, PermissionsThatComeLate) { HoldsIn("late", {.passes = 2, .lost_dials = false}); }
TEST(Failover, ThreeRouters) { HoldsIn("three routers", {.routers = 3, .back = false, .lost_dials = false}); }
TEST(Failover, AReplicaRestartsAndIsGivenTheOthersState) {
  HoldsIn("syncs", {.restarts = 1, .syncs = 1, .back = false, .lost_dials = false});
}
TEST(Failover, TwoReplicasAreGivenTheOthersState) {
  HoldsIn("syncs twice", {.restarts = 2, .syncs = 2, .back = false, .lost_dials = false});
}
TEST(Failover, TwoAskersAndStateTransfer) {
  HoldsIn("two askers, syncs",
          {.second_asker = true, .restarts = 1, .syncs = 1, .back = false, .lost_dials = false});
}
TEST(Failover, OneLooksOnAndStateTransfer) {
  HoldsIn("one looks on, syncs", {.restarts = 1, .syncs = 1, .looks = 1, .back = false, .lost_dials = false});
}
TEST(Failover, OneLooksOn) { HoldsIn("one looks on", {.looks = 2, .back = false, .lost_dials = false}); }

// ---- A replica by itself ----------------------------------------------------------------------------------

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

TEST(Failover, AReplicaThatIsFullRejectsAndForgetsNothing) {
  failover::RecordReplica acceptor({.lifetime = 1s, .bytes = 1500}, -10s);
  int kept = 0;
  for (int i = 0; i < 10; ++i)
    kept += acceptor.Take(0s, Accept("w" + std::to_string(i), "a", 0, 1)).kind == failover::Kind::kAccepted;
  EXPECT_GT(kept, 1);
  EXPECT_LT(kept, 10);
  EXPECT_EQ(acceptor.records(), static_cast<std::size_t>(kept));
  EXPECT_LE(acceptor.bytes(), 1500u);
  EXPECT_EQ(acceptor.Take(0s, Accept("more", "a", 0, 1)).nack, failover::Nack::kFull);
  EXPECT_EQ(acceptor.Take(0s, Accept("w0", "b", 0, 1)).nack, failover::Nack::kPreempted);
  acceptor.Forget(999ms);
  EXPECT_EQ(acceptor.records(), static_cast<std::size_t>(kept));
  acceptor.Forget(1s);
  EXPECT_EQ(acceptor.records(), 0u);
  EXPECT_EQ(acceptor.bytes(), 0u);
}

TEST(Failover, AReplicaThatHasJustStartedVotesForNothing) {
  failover::RecordReplica acceptor({.lifetime = 1s}, 0s);
  EXPECT_EQ(acceptor.Take(999ms, Accept("w", "a", 0, 1)).nack, failover::Nack::kRecovering);
  EXPECT_EQ(acceptor.records(), 0u);
  EXPECT_EQ(acceptor.Take(1s, Accept("w", "a", 0, 1)).kind, failover::Kind::kAccepted);
}

// Also of one process: what it wrote in a former proposal, of which it knows nothing more, is not its own.
TEST(Failover, ASecondProposalOfTheSameProcessIsAnother) {
  failover::RecordReplica acceptor({}, -1h);
  EXPECT_EQ(acceptor.Take(0s, Accept("w", "a", 0, 1)).kind, failover::Kind::kAccepted);
  failover::Message again = Accept("w", "a", 0, 1);
  again.ballot.proposer.proposal = 2;
  EXPECT_EQ(acceptor.Take(0s, again).nack, failover::Nack::kPreempted);
}

TEST(Failover, ReplicasAreSpreadAndDependOnNothingButTheirNames) {
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
    EXPECT_GT(times, 220) << replica;  // 300 each, if evenly
    EXPECT_LT(times, 380) << replica;
  }
  EXPECT_EQ(replicas.print(), other.print());
  // With one replica more a record keeps its replicas, but where the new one is among them.
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

const FailoverModelSetup kSmall{.back = false, .lost_dials = false};
FailoverModelSetup With(FailoverModelSetup setup, int restarts, int passes) {
  setup.restarts = restarts;
  setup.passes = passes;
  return setup;
}

TEST(Failover, MutantNoPromiseAsked) { IsCaught(Mutant::kNoPromise, kSmall, "unsafe operation sent twice"); }
TEST(Failover, MutantPromiseForgottenAtRestart) {
  IsCaught(Mutant::kForgotten, With(kSmall, 1, 0), "two ends");
}
TEST(Failover, MutantWindowCountedAgain) {
  FailoverModelSetup setup = With(kSmall, 0, 3);
  setup.effect = Effect::kKeyed;
  IsCaught(Mutant::kWindowAnew, setup, "keyed operation sent again after its window");
}
TEST(Failover, MutantTwoOwnersAnswer) { IsCaught(Mutant::kTellsFirst, kSmall, "two ends"); }
TEST(Failover, MutantOldPermissionUsed) {
  IsCaught(Mutant::kOldPermission, With(kSmall, 0, 1), "sent what had ended");
}
TEST(Failover, MutantSentBeforeTheRecordIsCommitted) {
  IsCaught(Mutant::kSendsFirst, kSmall, "unsafe operation sent twice");
}
TEST(Failover, MutantOneReplicaIsTakenForTwo) { IsCaught(Mutant::kOneReplica, kSmall, "two ends"); }
FailoverModelSetup WithSyncs() {
  FailoverModelSetup setup = With(kSmall, 1, 0);
  setup.syncs = 1;
  return setup;
}
TEST(Failover, MutantVotesOfFormerLivesCount) { IsCaught(Mutant::kFormerLives, WithSyncs(), "two ends"); }
TEST(Failover, MutantTheStateOfOneIsTakenForTwo) { IsCaught(Mutant::kOneSync, WithSyncs(), "two ends"); }
TEST(Failover, MutantTheStateTransferIsEmpty) { IsCaught(Mutant::kEmptySync, WithSyncs(), "two ends"); }
TEST(Failover, MutantOneOfTwoFirstWritersIsRead) {
  FailoverModelSetup setup = kSmall;
  setup.second_asker = true;
  IsCaught(Mutant::kOneWriter, setup, "unsafe operation sent twice");
}

}  // namespace
}  // namespace peatbend::orders

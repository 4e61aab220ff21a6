// Fleets of ownership managers under faults, in simulated time; the messages between them and their encoding.
#include "doctest/doctest.h"
#include "failover/failover_simulation.h"

namespace peatbend::failover::test {
namespace {

FailoverSimulation::Outcome RunSimulation(FailoverSimulation& simulation, double operations_per_second,
                                          Duration run_length, bool kills, bool stalls, bool link_cuts) {
  std::size_t routers = simulation.size();
  Duration each = Duration(static_cast<Duration::rep>(1e9 / operations_per_second));
  int n = 0;
  for (TimePoint at = 1s; at < 1s + run_length; at += each, ++n) {
    simulation.agenda().At(at, [&simulation, n] {
      Effect effect = n % 2 == 0 ? Effect::kKeyed : Effect::kUnsafe;
      n % 10 == 3 ? simulation.SubmitTwice(effect) : simulation.Submit(effect);
    });
  }
  auto any = [&simulation, routers] {
    return static_cast<std::size_t>(simulation.random().Unit() * static_cast<double>(routers)) % routers;
  };
  for (TimePoint at = 2s; kills && at < 1s + run_length; at += 1s) {
    simulation.agenda().At(at, [&simulation, any] {
      std::size_t r = any();
      simulation.Kill(r);
      simulation.agenda().In(700ms, [&simulation, r] { simulation.Start(r, simulation.now()); });
    });
  }
  for (TimePoint at = 1500ms; stalls && at < 1s + run_length; at += 700ms)
    simulation.agenda().At(at, [&simulation, any] {
      std::size_t r = any();
      if (simulation.up(r))
        simulation.Stall(r, 400ms + Duration(static_cast<Duration::rep>(simulation.random().Unit() * 2e9)));
    });
  for (TimePoint at = 1300ms; link_cuts && at < 1s + run_length; at += 300ms)
    simulation.agenda().At(at, [&simulation, any] {
      std::size_t from = any(), to = any();
      simulation.SetLinkCut(from, to, true);
      simulation.agenda().In(600ms, [&simulation, from, to] { simulation.SetLinkCut(from, to, false); });
    });
  simulation.agenda().RunUntil(run_length + 6s);
  return simulation.Summarize();
}

void CheckRules(const FailoverSimulation::Outcome& outcome) {
  CHECK(outcome.unsafe_twice == 0);
  CHECK(outcome.keyed_late == 0);
  // Guards against a repeat at another router that arrives after the window: it may be delivered long after
  // it was permitted.
  CHECK(outcome.keyed_unbounded == 0);
  CHECK(outcome.conflicting_outcomes == 0);
  CHECK(outcome.unanswered == 0);
  CHECK(outcome.late_answers == 0);
}

// Guards against a keyed repeat after its window: the time that a state transfer took was missing from the
// age of the records in it, so that a replica that had restarted took them for younger than they were.
TEST_CASE("state transfer: the age of a record includes the time that the transfer took") {
  auto names = [](const std::string&) { return std::array<std::string, kReplicas>{"a", "b", "c"}; };
  RecordReplica restarted({}, 0s, "a", 2, names), writer({}, -1h, "b", 1, names),
      other({}, -1h, "c", 1, names);
  Message accept;
  accept.kind = Kind::kAccept;
  accept.operation = "w";
  accept.ballot.proposer = {"b", 1, 1};
  accept.version = 1;
  accept.state.attempts = {{accept.ballot.proposer, 1, "m", true}};
  REQUIRE(writer.Handle(0s, accept).kind == Kind::kAccepted);
  Message request = restarted.RequestSync(100ms);
  for (const Message& part : writer.AnswerSync(100ms, request)) restarted.HandleSync(600ms, "b", part);
  for (const Message& part : other.AnswerSync(100ms, request)) restarted.HandleSync(600ms, "c", part);
  Message read;
  read.kind = Kind::kRead;
  read.operation = "w";
  Message reply = restarted.Handle(600ms, read);
  CHECK(reply.kind == Kind::kReadResult);
  CHECK(reply.age >= 600ms);
}

// Guards against a keyed repeat after its window: the time between the first promise and the majority was
// missing from the age that the first one stated.
TEST_CASE("record proposer: the age that it has read includes the time until the majority") {
  RecordProposer proposer("w", {"a", 1, 1});
  std::vector<RecordProposer::Outgoing> out;
  proposer.Prepare(0s, out);
  Message promise = out.front().message;
  promise.kind = Kind::kPromise;
  Message empty = promise;
  promise.accepted.proposer = {"b", 1, 1};
  promise.version = 1;
  promise.state.attempts = {{promise.accepted.proposer, 1, "m", true}};
  promise.age = 100ms;
  CHECK_FALSE(proposer.Handle(10ms, 0, promise));
  REQUIRE(proposer.Handle(240ms, 1, empty));
  CHECK(proposer.phase() == RecordProposer::Phase::kRead);
  CHECK(proposer.age(240ms) >= 330ms);
}

TEST_CASE("ownership: without faults every operation is served exactly once") {
  FailoverSimulation simulation({.routers = 5});
  auto outcome = RunSimulation(simulation, 200, 5s, false, false, false);
  CheckRules(outcome);
  CHECK(outcome.submitted >= 1000);
  CHECK(outcome.values == outcome.submitted);
  CHECK(outcome.rejected == 0);
}

TEST_CASE("ownership: without a known generation neither records nor state transfers are requested") {
  ReplicaSet replicas({{"a", "x"}, {"b", "y"}, {"c", "x"}});
  ClassSettings cls;
  cls.effect = Effect::kUnsafe;
  OwnershipManager manager({}, replicas, "a", 0, 1s, [](const Proposer&) { return false; });
  manager.Open(1s, 1, "w", cls, 3s);
  manager.RequestAttempt(1s, 1, "m");
  manager.Tick(1s);
  CHECK(manager.DrainOutgoing().empty());
  auto results = manager.DrainResults();
  REQUIRE(results.size() == 1);
  CHECK(results[0].no_quorum);
  CHECK(results[0].outcome == OperationOutcome::kRejected);
  manager.SetGeneration(77);
  manager.Tick(2s);
  auto messages = manager.DrainOutgoing();
  REQUIRE(messages.size() == 2);
  for (const OwnershipManager::Outgoing& one : messages) {
    CHECK(one.message.kind == Kind::kSyncRequest);
    CHECK(one.message.ballot.proposer.generation == 77);
  }
}

TEST_CASE("wire: messages are decoded as they were encoded, and malformed input is rejected") {
  world::Random random(7, 1);
  Message message;
  message.kind = Kind::kAccept;
  message.operation = "w";
  message.ballot = {3, {"r1", 77, 2}};
  message.accepted = {2, {"r2", 78, 1}};
  message.promised = {4, {"r3", 79, 1}};
  message.version = 5;
  message.age = 12ms;
  message.nack = Nack::kPreempted;
  message.state.attempts.resize(2);
  message.state.attempts[0].by = {"r1", 77, 2};
  message.state.attempts[0].server = "m1";
  message.state.attempts[1].number = 4;
  message.state.outcome = OperationOutcome::kValue;
  message.state.value = std::string("a\0b", 3);
  message.state.released = true;
  std::string bytes = Encode(9, {message, message});
  CHECK(bytes.size() <= 2 * EncodedSizeBound(message) + 20);
  std::vector<Message> read;
  REQUIRE(Decode(bytes, 9, read) == DecodeError::kNone);
  CHECK(read == std::vector<Message>{message, message});
  CHECK(Decode(bytes, 8, read) == DecodeError::kReplicaSet);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(Decode(std::string_view(bytes).substr(0, size), 9, read) != DecodeError::kNone);
  for (int i = 0; i < 20000; ++i) {
    std::string corrupt = bytes;
    for (int n = 0; n < 1 + i % 4; ++n)
      corrupt[static_cast<std::size_t>(random.Unit() * static_cast<double>(bytes.size()))] =
          static_cast<char>(random.Unit() * 256);
    if (Decode(corrupt, 9, read) == DecodeError::kNone) CHECK(read.size() <= kMaxMessages);
  }
}

TEST_CASE("ownership: kills, stalls, link failures, loss and duplicates") {
#if defined(__SANITIZE_ADDRESS__)
  constexpr std::uint64_t kRuns = 1;
  constexpr Duration kRunLength = 5s;
#else
  constexpr std::uint64_t kRuns = 3;
  constexpr Duration kRunLength = 20s;
#endif
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    CAPTURE(seed);
    FailoverSimulation simulation({.routers = 20, .seed = seed, .loss = 0.05, .duplicate = 0.05});
    auto o = RunSimulation(simulation, 200, kRunLength, true, true, true);
    CheckRules(o);
    MESSAGE(fmt::format("submitted {} values {} failed {} rejected {}; router lost {}, completed {}",
                        o.submitted, o.values, o.failed, o.rejected, o.lost_router, o.lost_router_completed));
    CHECK(o.lost_router > 0);
  }
}

}  // namespace
}  // namespace peatbend::failover::test

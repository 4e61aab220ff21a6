// Fleets of ownership managers under faults, in simulated time.
#include "doctest/doctest.h"
#include "failover/failover_simulation.h"

namespace peatbend::failover::test {
namespace {

FailoverSimulation::Outcome Play(FailoverSimulation& world, double per_second, Span lasts, bool kills,
                                 bool stalls, bool cuts) {
  std::size_t routers = world.size();
  Span each = Span(static_cast<Span::rep>(1e9 / per_second));
  int n = 0;
  for (Time at = 1s; at < 1s + lasts; at += each, ++n) {
    world.agenda().At(at, [&world, n] {
      Effect effect = n % 2 == 0 ? Effect::kKeyed : Effect::kUnsafe;
      n % 10 == 3 ? world.AskTwice(effect) : world.Ask(effect);
    });
  }
  auto any = [&world, routers] {
    return static_cast<std::size_t>(world.random().Unit() * static_cast<double>(routers)) % routers;
  };
  for (Time at = 2s; kills && at < 1s + lasts; at += 1s) {
    world.agenda().At(at, [&world, any] {
      std::size_t r = any();
      world.Kill(r);
      world.agenda().In(700ms, [&world, r] { world.Start(r, world.now()); });
    });
  }
  for (Time at = 1500ms; stalls && at < 1s + lasts; at += 700ms)
    world.agenda().At(at, [&world, any] {
      std::size_t r = any();
      if (world.up(r)) world.Stall(r, 400ms + Span(static_cast<Span::rep>(world.random().Unit() * 2e9)));
    });
  for (Time at = 1300ms; cuts && at < 1s + lasts; at += 300ms)
    world.agenda().At(at, [&world, any] {
      std::size_t from = any(), to = any();
      world.Cut(from, to, true);
      world.agenda().In(600ms, [&world, from, to] { world.Cut(from, to, false); });
    });
  world.agenda().RunUntil(lasts + 6s);
  return world.Reckon();
}

void Right(const FailoverSimulation::Outcome& outcome) {
  CHECK(outcome.unsafe_twice == 0);
  CHECK(outcome.keyed_late == 0);
  CHECK(outcome.two_ends == 0);
  CHECK(outcome.unanswered == 0);
  CHECK(outcome.late == 0);
}

TEST_CASE("ownership: without faults all is served, once") {
  FailoverSimulation world({.routers = 5});
  auto outcome = Play(world, 200, 5s, false, false, false);
  Right(outcome);
  CHECK(outcome.asked >= 1000);
  CHECK(outcome.values == outcome.asked);
  CHECK(outcome.rejected == 0);
}

TEST_CASE("ownership: without a life that the fleet knows nothing is asked, and no state transfer") {
  ReplicaSet replicas({{"a", "x"}, {"b", "y"}, {"c", "x"}});
  ClassSettings cls;
  cls.effect = Effect::kUnsafe;
  OwnershipManager manager({}, replicas, "a", 0, 1s, [](const Proposer&) { return false; });
  manager.Open(1s, 1, "w", cls, 3s);
  manager.Want(1s, 1, "m");
  manager.Tick(1s);
  CHECK(manager.DrainOutgoing().empty());
  auto said = manager.DrainResults();
  REQUIRE(said.size() == 1);
  CHECK(said[0].no_quorum);
  CHECK(said[0].outcome == OperationOutcome::kRejected);
  manager.SetLife(77);
  manager.Tick(2s);
  auto asked = manager.DrainOutgoing();
  REQUIRE(asked.size() == 2);
  for (const OwnershipManager::Outgoing& one : asked) {
    CHECK(one.message.kind == Kind::kSyncRequest);
    CHECK(one.message.ballot.proposer.life == 77);
  }
}

TEST_CASE("wire: what is read is what was written, and other bytes are no message") {
  world::Random random(7, 1);
  Message message;
  message.kind = Kind::kAccept;
  message.operation = "w";
  message.ballot = {3, {"r1", 77, 2}};
  message.kept = {2, {"r2", 78, 1}};
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
  CHECK(bytes.size() <= 2 * SizeOf(message) + 20);
  std::vector<Message> read;
  REQUIRE(Decode(bytes, 9, read) == DecodeError::kNone);
  CHECK(read == std::vector<Message>{message, message});
  CHECK(Decode(bytes, 8, read) == DecodeError::kReplicaSet);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK(Decode(std::string_view(bytes).substr(0, size), 9, read) != DecodeError::kNone);
  for (int i = 0; i < 20000; ++i) {
    std::string spoilt = bytes;
    for (int n = 0; n < 1 + i % 4; ++n)
      spoilt[static_cast<std::size_t>(random.Unit() * static_cast<double>(bytes.size()))] =
          static_cast<char>(random.Unit() * 256);
    if (Decode(spoilt, 9, read) == DecodeError::kNone) CHECK(read.size() <= kMaxMessages);
  }
}

TEST_CASE("ownership: kills, stalls, cuts, loss and doubles") {
#if defined(__SANITIZE_ADDRESS__)
  constexpr std::uint64_t kDays = 1;
  constexpr Span kLasts = 5s;
#else
  constexpr std::uint64_t kDays = 3;
  constexpr Span kLasts = 20s;
#endif
  for (std::uint64_t seed = 1; seed <= kDays; ++seed) {
    CAPTURE(seed);
    FailoverSimulation world({.routers = 20, .seed = seed, .loss = 0.05, .duplicate = 0.05});
    auto o = Play(world, 200, kLasts, true, true, true);
    Right(o);
    MESSAGE(fmt::format("asked {} values {} failed {} rejects {}; router lost {}, of them ended {}", o.asked,
                        o.values, o.failed, o.rejected, o.lost_router, o.of_lost_ended));
    CHECK(o.lost_router > 0);
  }
}

}  // namespace
}  // namespace peatbend::failover::test

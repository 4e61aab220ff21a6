// The registry nodes of a fleet in simulated time: lost and late messages, replicas that restart with or
// without their saved state, and the bootstrap of the registry.
#include "compat/registry_node.h"

#include <doctest/doctest.h>

#include <set>

namespace peatbend::compat {
namespace {

using namespace std::chrono_literals;

struct Simulation {
  explicit Simulation(std::size_t size, bool bootstrap = true)
      : replicas({{"r0", ""}, {"r1", ""}, {"r2", ""}}) {
    routers.resize(size);
    saved_states.resize(size);
    for (std::size_t i = 0; i < size; ++i) Start(i);
    if (!bootstrap) return;
    for (std::size_t i = 0; i < 3; ++i) at(i).Bootstrap(now);
    REQUIRE(Until([&] { return at(0).votes(now) && at(1).votes(now) && at(2).votes(now); }, 5s));
  }
  static std::string Name(std::size_t i) { return "r" + std::to_string(i); }
  RegistryNode& at(std::size_t i) { return *routers[i]; }
  void Start(std::size_t i, bool with_saved_state = false) {
    std::optional<ReplicaState> saved;
    if (with_saved_state) saved = ReplicaState::Parse(saved_states[i]);
    ++generation;
    routers[i].emplace(RegistryOptions{}, replicas, Name(i), generation, 1000 + generation, now, [this, i] {
      std::vector<std::string> others;
      for (std::size_t j = 0; j < routers.size(); ++j)
        if (j != i) others.push_back(Name(j));
      return others;
    });
    routers[i]->StartReplica(now, saved);
  }
  // Advances by 1 ms: a message arrives unless its link is cut or it is lost.
  void Step() {
    now += 1ms;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      if (!routers[i]) continue;
      if (now >= at(i).Due()) at(i).Tick(now);
      if (at(i).unsaved()) saved_states[i] = at(i).replica_state().Serialize(), at(i).MarkSaved();
      for (auto& completed : at(i).DrainCompleted()) completed.callback(completed.result);
      for (auto& out : at(i).DrainOutgoing()) {
        std::size_t to = std::stoul(out.router.substr(1));
        bool lost = cut.contains({i, to}) || (loss > 0 && random() % 100 < loss);
        if (to == i || !lost) in_flight.push_back({i, to, std::move(out.message)});
      }
    }
    for (auto& packet : std::exchange(in_flight, {})) {
      Message read;
      REQUIRE(Decode(Encode(7, packet.message), 7, read) == DecodeError::kNone);
      if (routers[packet.to]) at(packet.to).Handle(now, Name(packet.from), read);
    }
  }
  template <typename F>
  bool Until(F holds, Duration within) {
    for (TimePoint until = now + within; !holds();) {
      if (now > until) return false;
      Step();
    }
    return true;
  }
  void Cut(std::size_t one, std::size_t other, bool on) {
    for (auto pair : {std::pair(one, other), std::pair(other, one)})
      on ? void(cut.insert(pair)) : void(cut.erase(pair));
  }
  // Set once the result is reported.
  std::shared_ptr<std::optional<UpdateResult>> Submit(std::size_t i, RegistryUpdate::Command command) {
    auto result = std::make_shared<std::optional<UpdateResult>>();
    at(i).Submit(now, "", std::move(command),
                 [result](const UpdateResult& completed) { *result = completed; });
    return result;
  }

  struct Packet {
    std::size_t from, to;
    Message message;
  };
  failover::ReplicaSet replicas;
  TimePoint now = 1h;
  std::uint64_t generation = 0;
  unsigned loss = 0;
  std::mt19937_64 random{1};
  std::vector<std::optional<RegistryNode>> routers;
  std::vector<std::string> saved_states;
  std::set<std::pair<std::size_t, std::size_t>> cut;
  std::vector<Packet> in_flight;
};

RegistryUpdate::Command Publish(std::uint32_t version, const std::string& schema) {
  return [=](RegistryState& it) {
    if (!it.subjects().contains("s")) it.Declare("s", {});
    return it.Propose("s", version, schema);
  };
}
std::size_t Versions(const RegistryNode& of) {
  auto at = of.known().subjects().find("s");
  return at == of.known().subjects().end() ? 0 : at->second.versions.size();
}

TEST_CASE("nothing is published before all three replicas are told to bootstrap") {
  Simulation simulation(4, false);
  auto result = simulation.Submit(3, Publish(1, R"("int")"));
  simulation.Until([] { return false; }, 3s);
  simulation.at(0).Bootstrap(simulation.now);
  simulation.at(1).Bootstrap(simulation.now);
  CHECK_FALSE(
      simulation.Until([&] { return result->has_value() || simulation.at(0).votes(simulation.now); }, 5s));
  simulation.at(2).Bootstrap(simulation.now);
  CHECK(simulation.Until([&] { return result->has_value(); }, 5s));
  CHECK((*result)->ok());
  CHECK(simulation.Until(
      [&] {
        return Versions(simulation.at(0)) + Versions(simulation.at(1)) + Versions(simulation.at(2)) == 3;
      },
      1s));
}

TEST_CASE("many concurrent updates with 20% message loss: each gets a result, and all nodes agree") {
  Simulation simulation(10);
  simulation.loss = 20;
  std::vector<std::shared_ptr<std::optional<UpdateResult>>> answers;
  for (std::size_t i = 0; i < 10; ++i)
    answers.push_back(simulation.Submit(i, Publish(1, i % 2 == 0 ? R"("int")" : R"("long")")));
  CHECK(simulation.Until(
      [&] { return std::ranges::all_of(answers, [](auto& one) { return one->has_value(); }); }, 120s));
  std::size_t ok[2] = {};
  for (std::size_t i = 0; i < 10; ++i) ok[i % 2] += (*answers[i])->ok();
  CHECK(ok[0] + ok[1] == 5);
  CHECK(ok[0] * ok[1] == 0);
  CHECK(simulation.Until(
      [&] {
        for (std::size_t i = 0; i < 10; ++i)
          if (simulation.at(i).known().Serialize() != simulation.at(0).known().Serialize()) return false;
        return true;
      },
      60s));
}

TEST_CASE(
    "partition: an update without a majority waits, and is rejected by the committed state once it heals") {
  Simulation simulation(4);
  for (std::size_t one : {0, 3})
    for (std::size_t other : {1, 2}) simulation.Cut(one, other, true);
  auto small = simulation.Submit(3, Publish(1, R"("int")")),
       large = simulation.Submit(1, Publish(1, R"("long")"));
  CHECK(simulation.Until([&] { return large->has_value(); }, 5s));
  CHECK((*large)->ok());
  CHECK_FALSE(simulation.Until([&] { return small->has_value(); }, 10s));
  for (std::size_t one : {0, 3})
    for (std::size_t other : {1, 2}) simulation.Cut(one, other, false);
  CHECK(simulation.Until([&] { return small->has_value(); }, 10s));
  REQUIRE_FALSE((*small)->ok());
  CHECK((*small)->incompatibilities[0].rule == "version");
  CHECK(Versions(simulation.at(3)) == 1);
}

TEST_CASE(
    "the submitter dies before it announces: a replica reads the record that it holds, and all learn of it") {
  Simulation simulation(4);
  simulation.Until([] { return false; }, 3s);
  simulation.Submit(3, Publish(1, R"("int")"));
  auto holds_value = [&](std::size_t i) { return simulation.at(i).replica_state().version > 0; };
  REQUIRE(simulation.Until([&] { return holds_value(0) || holds_value(1) || holds_value(2); }, 5s));
  simulation.routers[3].reset();
  CHECK(simulation.Until(
      [&] {
        return Versions(simulation.at(0)) + Versions(simulation.at(1)) + Versions(simulation.at(2)) == 3;
      },
      10s));
}

TEST_CASE("a restarted replica votes by its saved state or by both syncs, and cannot be bootstrapped again") {
  for (bool with_saved_state : {true, false}) {
    CAPTURE(with_saved_state);
    Simulation simulation(4);
    auto first = simulation.Submit(3, Publish(1, R"("long")"));
    REQUIRE(simulation.Until([&] { return first->has_value(); }, 5s));
    simulation.routers[0].reset();
    auto meanwhile = simulation.Submit(3, Publish(2, R"("int")"));
    REQUIRE(simulation.Until([&] { return meanwhile->has_value(); }, 5s));
    CHECK((*meanwhile)->ok());
    simulation.Start(0, with_saved_state);
    CHECK(simulation.at(0).votes(simulation.now) == with_saved_state);
    simulation.at(0).Bootstrap(simulation.now);  // a repeated command
    CHECK(simulation.Until([&] { return simulation.at(0).votes(simulation.now); }, 5s));
    CHECK(simulation.at(0).bootstrap_rejected() == !with_saved_state);
    simulation.routers[1].reset();
    auto third = simulation.Submit(3, Publish(2, R"("long")"));  // replicas 0 and 2 are the majority
    REQUIRE(simulation.Until([&] { return third->has_value(); }, 10s));
    CHECK_FALSE((*third)->ok());
  }
}

TEST_CASE("a value accepted by two replicas survives the restart of one and the loss of the other") {
  Simulation simulation(4);
  for (std::size_t i : {0, 1, 3}) simulation.Cut(2, i, true);
  auto first = simulation.Submit(3, Publish(1, R"("int")"));
  REQUIRE(simulation.Until([&] { return first->has_value(); }, 5s));
  simulation.Start(0, true);
  simulation.routers[1].reset();
  simulation.routers[3].reset();
  for (std::size_t i : {0, 1, 3}) simulation.Cut(2, i, false);
  auto second = simulation.Submit(2, Publish(1, R"("long")"));
  REQUIRE(simulation.Until([&] { return second->has_value(); }, 10s));
  REQUIRE_FALSE((*second)->ok());
  CHECK((*second)->incompatibilities[0].rule == "version");
}

TEST_CASE("two replicas that have lost their state commit nothing, told to bootstrap or not") {
  Simulation simulation(4);
  auto first = simulation.Submit(3, Publish(1, R"("int")"));
  REQUIRE(simulation.Until([&] { return first->has_value(); }, 5s));
  for (std::size_t i : {0, 1}) simulation.Start(i);
  for (std::size_t i : {0, 1, 2}) simulation.at(i).Bootstrap(simulation.now);
  auto second = simulation.Submit(3, Publish(1, R"("long")"));
  CHECK_FALSE(simulation.Until([&] { return second->has_value(); }, 20s));
  CHECK(Versions(simulation.at(3)) == 1);
}

TEST_CASE("updates beyond the queue limit are rejected, and queued ones are submitted") {
  Simulation simulation(4);
  std::vector<std::shared_ptr<std::optional<UpdateResult>>> answers;
  for (int i = 0; i < 70; ++i) answers.push_back(simulation.Submit(3, Publish(1, R"("int")")));
  CHECK(simulation.Until([&] { return answers[63]->has_value(); }, 30s));
  CHECK((*answers[63])->ok());
  CHECK((*answers[69])->incompatibilities.at(0).rule == "busy");
}

TEST_CASE("malformed bytes are neither a message nor a replica state") {
  Message message;
  std::string whole = Encode(7, Message{});
  CHECK(Decode(whole, 8, message) == DecodeError::kReplicaSet);
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK(Decode(whole.substr(0, size), 7, message) == DecodeError::kMalformed);
  ReplicaState replica_state;
  replica_state.sync_generations["r1"] = 5;
  std::string bytes = replica_state.Serialize();
  CHECK(ReplicaState::Parse(bytes) == replica_state);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    CHECK_FALSE(ReplicaState::Parse(bytes.substr(0, size)));
}

}  // namespace
}  // namespace peatbend::compat

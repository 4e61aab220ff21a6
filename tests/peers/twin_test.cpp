// Fleets of routers on simulated links and clocks. A failing case reports its seed; replay it with
// `peatbend-lab peers`.
#include <doctest/doctest.h>

#include <algorithm>

#include "twin/schedules.h"

namespace peatbend::twin {
namespace {

using namespace std::chrono_literals;

Setup Of(std::size_t nodes, std::uint64_t seed, double loss = 0) {
  Setup setup;
  setup.nodes = nodes;
  setup.seed = seed;
  setup.links.loss = loss;
  return setup;
}

TEST_CASE("twin: all others detect a killed process within two seconds") {
  for (std::size_t nodes : {5u, 20u, 50u}) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      Outcome outcome = Play(Of(nodes, seed), Schedule::kKill, 6s);
      CAPTURE(nodes);
      CAPTURE(seed);
      CHECK(outcome.all_noticed);
      CHECK(std::ranges::max(outcome.noticed_ms) < 2000);
    }
  }
}

TEST_CASE("twin: no false deaths with 10% datagram loss") {
  CHECK(Play(Of(20, 1, 0.1), Schedule::kCalm, 120s).false_deaths == 0);
}

TEST_CASE("twin: a router that stalls for 1 s every 3 s declares no other dead") {
  CHECK(Play(Of(20, 1), Schedule::kStall, 60s).false_deaths == 0);
}

TEST_CASE("twin: traffic per router does not grow with the fleet") {
  Setup few = Of(5, 1), many = Of(100, 1);
  few.count_bytes = many.count_bytes = true;
  Outcome a = Play(few, Schedule::kCalm, 10s), b = Play(many, Schedule::kCalm, 10s);
  CHECK(b.datagrams_s == doctest::Approx(a.datagrams_s).epsilon(0.1));
  CHECK(b.bytes_s == doctest::Approx(a.bytes_s).epsilon(0.1));
}

TEST_CASE("twin: two halves of a partition agree within three seconds after it heals") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Outcome outcome = Play(Of(20, seed), Schedule::kSplit, 10s);
    CHECK(outcome.agreed_s >= 0);
    CHECK(outcome.agreed_s < 3);
  }
}

TEST_CASE("twin: after random faults views agree and no ended generation is present") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    Outcome outcome = Play(Of(4 + seed % 8, seed, seed % 3 == 0 ? 0.1 : 0), Schedule::kRandom, 30s);
    CAPTURE(seed);
    CHECK_MESSAGE(outcome.agreed_s >= 0, outcome.difference);
    CHECK(outcome.broken.empty());
  }
}

TEST_CASE("twin: a run is determined by its seed") {
  auto fingerprint = [](std::uint64_t seed) {
    return Play(Of(7, seed, 0.1), Schedule::kRandom, 20s).fingerprint;
  };
  CHECK(fingerprint(3) == fingerprint(3));
  CHECK(fingerprint(3) != fingerprint(4));
}

TEST_CASE("twin: two separate fleets merge through one common seed") {
  Fleet fleet(Of(6, 1));
  for (std::size_t i = 0; i < 6; ++i) fleet.Seeds(i, {Fleet::Address(i % 2)});
  for (std::size_t i = 0; i < 6; ++i) fleet.Start(i);
  fleet.agenda().RunUntil(10s);
  CHECK(fleet.at(2).present() == 3);  // two fleets of three
  fleet.Kill(4);
  fleet.Seeds(4, {Fleet::Address(0), Fleet::Address(1)});
  fleet.Start(4);
  fleet.agenda().RunUntil(20s);
  CHECK(fleet.Difference() == "");
}

TEST_CASE("twin: of two processes with one name the older stays, also if both were members already") {
  for (bool separate : {false, true}) {
    Fleet fleet(Of(6, 1));
    fleet.Name(5, "r0002");
    auto cut = [&](bool on) {
      for (std::size_t i = 0; i < 5; ++i) fleet.Cut(5, i, on), fleet.Cut(i, 5, on);
    };
    if (separate) fleet.Seeds(5, {}), cut(true);
    for (std::size_t i = 0; i < 5; ++i) fleet.Start(i);
    fleet.agenda().RunUntil(5s);
    fleet.Start(5);
    fleet.agenda().RunUntil(8s);
    if (separate) {
      cut(false);
      fleet.Kill(4);
      fleet.Seeds(4, {Fleet::Address(0), Fleet::Address(5)});
      fleet.Start(4);
    }
    fleet.agenda().RunUntil(20s);
    CHECK(fleet.at(2).phase() == peers::Membership::Phase::kMember);
    CHECK(fleet.at(5).phase() != peers::Membership::Phase::kMember);
    CHECK(fleet.at(0).members().at("r0002").record.address == Fleet::Address(2));
    CHECK(fleet.at(0).members().at("r0002").record.generation == fleet.at(2).self().generation);
  }
}

// ---- Mutants: faulty settings that the checks must detect ----

TEST_CASE("twin: mutant caught: without suspicion a lost datagram is a death") {
  Setup setup = Of(20, 1, 0.1);
  setup.options.suspicion_min = setup.options.suspicion_max = 0ms;
  CHECK(Play(setup, Schedule::kCalm, 30s).false_deaths > 0);
}

TEST_CASE("twin: mutant caught: with a reused generation a restart goes unnoticed") {
  auto restart = [](bool reuse) {
    Setup setup = Of(5, 1);
    setup.reuse_lives = reuse;
    Fleet fleet(setup);
    for (std::size_t i = 0; i < 5; ++i) fleet.Start(i);
    fleet.agenda().RunUntil(5s);
    std::uint64_t before = fleet.at(0).members().at("r0003").record.generation;
    fleet.Kill(3);
    fleet.Start(3);
    fleet.agenda().RunUntil(7s);
    return fleet.at(0).members().at("r0003").record.generation != before;
  };
  CHECK(restart(false));
  CHECK_FALSE(restart(true));
}

TEST_CASE("twin: mutant caught: without stall detection a status from before the stall is trusted") {
  auto status_after = [](Duration stall) {
    Setup setup = Of(5, 1);
    setup.options.stall_threshold = stall;
    setup.options.suspicion_min = setup.options.suspicion_max = 10min;
    Fleet fleet(setup);
    for (std::size_t i = 0; i < 5; ++i) fleet.Start(i);
    fleet.agenda().RunUntil(5s);
    REQUIRE(fleet.at(0).StatusAt(5s) == peers::SelfStatus::kConfirmed);
    fleet.Stall(0, 30s);
    fleet.agenda().RunUntil(35s - 1ms);
    return fleet.at(0).StatusAt(35s);
  };
  CHECK(status_after(400ms) != peers::SelfStatus::kConfirmed);
  CHECK(status_after(1h) == peers::SelfStatus::kConfirmed);
}

}  // namespace
}  // namespace peatbend::twin

// Many routers on simulated links and clocks. A failing case names its seed: peatbend-lab peers replays it.
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

TEST_CASE("twin: a killed process is noticed by all others within two seconds") {
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

TEST_CASE("twin: no false deaths where a tenth of all datagrams is lost") {
  CHECK(Play(Of(20, 1, 0.1), Schedule::kCalm, 120s).false_deaths == 0);
}

TEST_CASE("twin: one that stands still for 1 s every 3 s takes nobody else for dead") {
  CHECK(Play(Of(20, 1), Schedule::kStall, 60s).false_deaths == 0);
}

TEST_CASE("twin: traffic of a router does not grow with the fleet") {
  Setup few = Of(5, 1), many = Of(100, 1);
  few.count_bytes = many.count_bytes = true;
  Outcome a = Play(few, Schedule::kCalm, 10s), b = Play(many, Schedule::kCalm, 10s);
  CHECK(b.datagrams_s == doctest::Approx(a.datagrams_s).epsilon(0.1));
  CHECK(b.bytes_s == doctest::Approx(a.bytes_s).epsilon(0.1));
}

TEST_CASE("twin: halves that were split agree within three seconds") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Outcome outcome = Play(Of(20, seed), Schedule::kSplit, 10s);
    CHECK(outcome.agreed_s >= 0);
    CHECK(outcome.agreed_s < 3);
  }
}

TEST_CASE("twin: whatever the disorder, views agree afterwards and nothing that ended comes back") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    Outcome outcome = Play(Of(4 + seed % 8, seed, seed % 3 == 0 ? 0.1 : 0), Schedule::kRandom, 30s);
    CAPTURE(seed);
    CHECK_MESSAGE(outcome.agreed_s >= 0, outcome.difference);
    CHECK(outcome.broken.empty());
  }
}

TEST_CASE("twin: the same seed is the same run, another is another") {
  auto print = [](std::uint64_t seed) { return Play(Of(7, seed, 0.1), Schedule::kRandom, 20s).fingerprint; };
  CHECK(print(3) == print(3));
  CHECK(print(3) != print(4));
}

TEST_CASE("twin: two parts that never met find each other by one seed") {
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

TEST_CASE("twin: of two under one name the older stays, also where both were members before they met") {
  for (bool apart : {false, true}) {
    Fleet fleet(Of(6, 1));
    fleet.Name(5, "r0002");
    auto cut = [&](bool on) {
      for (std::size_t i = 0; i < 5; ++i) fleet.Cut(5, i, on), fleet.Cut(i, 5, on);
    };
    if (apart) fleet.Seeds(5, {}), cut(true);
    for (std::size_t i = 0; i < 5; ++i) fleet.Start(i);
    fleet.agenda().RunUntil(5s);
    fleet.Start(5);
    fleet.agenda().RunUntil(8s);
    if (apart) {
      cut(false);
      fleet.Kill(4);
      fleet.Seeds(4, {Fleet::Address(0), Fleet::Address(5)});
      fleet.Start(4);
    }
    fleet.agenda().RunUntil(20s);
    CHECK(fleet.at(2).phase() == peers::Membership::Phase::kMember);
    CHECK(fleet.at(5).phase() != peers::Membership::Phase::kMember);
    CHECK(fleet.at(0).members().at("r0002").record.address == Fleet::Address(2));
    CHECK(fleet.at(0).members().at("r0002").record.life == fleet.at(2).self().life);
  }
}

// ---- Mutants: each is what a careless build would be, and is caught by the rule's name --------------------

TEST_CASE("twin: mutant caught: suspicion forgotten, a lost datagram is a death") {
  Setup setup = Of(20, 1, 0.1);
  setup.options.suspicion_least = setup.options.suspicion_most = 0ms;
  CHECK(Play(setup, Schedule::kCalm, 30s).false_deaths > 0);
}

TEST_CASE("twin: mutant caught: a life used again, a restart goes unnoticed") {
  auto restart = [](bool reuse) {
    Setup setup = Of(5, 1);
    setup.reuse_lives = reuse;
    Fleet fleet(setup);
    for (std::size_t i = 0; i < 5; ++i) fleet.Start(i);
    fleet.agenda().RunUntil(5s);
    std::uint64_t before = fleet.at(0).members().at("r0003").record.life;
    fleet.Kill(3);
    fleet.Start(3);
    fleet.agenda().RunUntil(7s);
    return fleet.at(0).members().at("r0003").record.life != before;
  };
  CHECK(restart(false));
  CHECK_FALSE(restart(true));
}

TEST_CASE("twin: mutant caught: acts right after a stall, and kills others by it") {
  auto standing_after = [](Span stall) {
    Setup setup = Of(5, 1);
    setup.options.stall = stall;
    setup.options.suspicion_least = setup.options.suspicion_most = 10min;
    Fleet fleet(setup);
    for (std::size_t i = 0; i < 5; ++i) fleet.Start(i);
    fleet.agenda().RunUntil(5s);
    REQUIRE(fleet.at(0).StandingAt(5s) == peers::Standing::kSure);
    fleet.Stall(0, 30s);
    fleet.agenda().RunUntil(35s - 1ms);
    return fleet.at(0).StandingAt(35s);
  };
  CHECK(standing_after(400ms) != peers::Standing::kSure);
  CHECK(standing_after(1h) == peers::Standing::kSure);
}

}  // namespace
}  // namespace peatbend::twin

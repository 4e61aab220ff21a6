// Real router processes with faults on the links between them.
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <thread>

#include "processes/peer_fleet.h"

namespace peatbend::processes {
namespace {

using namespace std::chrono_literals;

struct FleetFixture {
  explicit FleetFixture(std::size_t size = 5)
      : folder((std::filesystem::temp_directory_path() / ("peatbend-peers-" + std::to_string(getpid())))
                   .string()),
        fleet((std::filesystem::remove_all(folder), PEATBEND_ROUTER), folder, size, 1) {
    for (std::size_t i = 0; i < size; ++i) fleet.Start(i);
    REQUIRE_MESSAGE(fleet.Agree(10s), fleet.Difference());
  }
  ~FleetFixture() {
    CHECK(fleet.Crashed().empty());
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }
  // Waits until `node` sees `other` in `state`; false after `within`.
  bool Sees(std::size_t node, std::size_t other, const std::string& state, std::chrono::milliseconds within) {
    for (auto until = Clock::now() + within; Clock::now() < until; std::this_thread::sleep_for(10ms)) {
      auto view = fleet.Ask(node);
      if (view && view->members[PeerFleet::NameOf(other)].state == state) return true;
    }
    return false;
  }
  std::uint64_t GenerationOf(std::size_t node, std::size_t observer) {
    return fleet.Ask(observer)->members.at(PeerFleet::NameOf(node)).life;
  }
  std::string folder;
  PeerFleet fleet;
};

TEST_CASE("processes: a kill is seen by all, a restart is a new generation") {
  FleetFixture fixture;
  std::uint64_t before = fixture.GenerationOf(3, 0);
  fixture.fleet.Kill(3);
  for (std::size_t i : {0u, 1u, 2u, 4u}) CHECK(fixture.Sees(i, 3, "dead", 5s));
  fixture.fleet.Start(3);
  CHECK(fixture.fleet.Agree(10s));
  CHECK(fixture.GenerationOf(3, 0) > before);
  fixture.fleet.Kill(3);  // restarts before any other detects the kill
  fixture.fleet.Start(3);
  CHECK(fixture.fleet.Agree(10s));
}

TEST_CASE("processes: a planned stop is announced") {
  FleetFixture fixture;
  fixture.fleet.Stop(2);
  for (std::size_t i : {0u, 1u, 3u, 4u}) CHECK(fixture.Sees(i, 2, "left", 2s));
}

TEST_CASE("processes: a stopped process declares none dead and returns with a new generation") {
  FleetFixture fixture;
  std::uint64_t before = fixture.GenerationOf(1, 0);
  fixture.fleet.Stall(1, true);
  CHECK(fixture.Sees(0, 1, "dead", 5s));
  fixture.fleet.Stall(1, false);
  CHECK(fixture.fleet.Agree(10s));
  CHECK(fixture.GenerationOf(1, 0) > before);
  auto view = fixture.fleet.Ask(1);
  REQUIRE(view);
  for (const auto& [name, member] : view->members) CHECK(member.state == "alive");
}

TEST_CASE("processes: two halves of a partition merge after it heals") {
  FleetFixture fixture(6);
  fixture.fleet.Split({0, 2, 4}, {1, 3, 5}, true);
  CHECK(fixture.Sees(0, 1, "dead", 5s));
  CHECK(fixture.Sees(5, 4, "dead", 5s));
  fixture.fleet.Split({0, 2, 4}, {1, 3, 5}, false);
  CHECK(fixture.fleet.Agree(10s));
}

TEST_CASE("processes: no deaths under loss, delay, duplicates and reordering") {
  FleetFixture fixture;
  links::Faults faults;
  faults.loss = 0.1;
  faults.duplicate = 0.1;
  faults.delay = 5ms;
  faults.spread = 10ms;
  fixture.fleet.links().SetAll(faults);
  std::vector<std::uint64_t> generations;
  for (std::size_t i = 1; i < 5; ++i) generations.push_back(fixture.GenerationOf(i, 0));
  std::this_thread::sleep_for(4s);
  for (std::size_t i = 1; i < 5; ++i) {
    CHECK(fixture.GenerationOf(i, 0) == generations[i - 1]);  // a death would have led to a new generation
    CHECK(fixture.Sees(0, i, "alive", 5s));
  }
  CHECK(fixture.fleet.links().counts().lost > 0);
}

TEST_CASE("processes: a router that receives but cannot send is dead to others, and rejoins afterwards") {
  FleetFixture fixture;
  links::Faults cut;
  cut.cut = true;
  for (std::size_t i = 0; i < 4; ++i) fixture.fleet.links().Set(4, i, cut);
  CHECK(fixture.Sees(0, 4, "dead", 6s));
  CHECK(fixture.fleet.Ask(4)->standing != "sure");
  for (std::size_t i = 0; i < 4; ++i) fixture.fleet.links().Set(4, i, {});
  CHECK(fixture.fleet.Agree(10s));
}

TEST_CASE("processes: delayed messages of a dead process do not revive it") {
  FleetFixture fixture;
  std::uint64_t before = fixture.GenerationOf(4, 0);
  links::Faults hold;
  hold.hold = true;
  for (std::size_t i = 0; i < 4; ++i) fixture.fleet.links().Set(4, i, hold);
  CHECK(fixture.Sees(0, 4, "dead", 6s));
  fixture.fleet.Kill(4);
  for (std::size_t i = 0; i < 4; ++i) fixture.fleet.links().Set(4, i, {});
  for (auto until = Clock::now() + 1s; Clock::now() < until; std::this_thread::sleep_for(20ms)) {
    auto view = fixture.fleet.Ask(0);
    REQUIRE(view);
    auto& member = view->members["r4"];
    CHECK((member.life != before || member.state == "dead"));
  }
}

TEST_CASE("processes: views agree after connection resets and slow links") {
  FleetFixture fixture;
  links::Faults slow;
  slow.bytes_per_s = 20000;
  fixture.fleet.links().SetAll(slow);
  fixture.fleet.Kill(2);
  fixture.fleet.Start(2);
  for (int i = 0; i < 10; ++i) {
    for (std::size_t other : {0u, 1u, 3u, 4u}) fixture.fleet.links().Reset(2, other);
    std::this_thread::sleep_for(50ms);
  }
  fixture.fleet.links().SetAll({});
  CHECK(fixture.fleet.Agree(10s));
}

}  // namespace
}  // namespace peatbend::processes

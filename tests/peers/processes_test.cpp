// Real processes of the program with links between them that fail.
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <thread>

#include "processes/peer_fleet.h"

namespace peatbend::processes {
namespace {

using namespace std::chrono_literals;

struct Rig {
  explicit Rig(std::size_t size = 5)
      : folder((std::filesystem::temp_directory_path() / ("peatbend-peers-" + std::to_string(getpid())))
                   .string()),
        fleet((std::filesystem::remove_all(folder), PEATBEND_ROUTER), folder, size, 1) {
    for (std::size_t i = 0; i < size; ++i) fleet.Start(i);
    REQUIRE_MESSAGE(fleet.Agree(10s), fleet.Difference());
  }
  ~Rig() {
    CHECK(fleet.Crashed().empty());
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
  }
  // Until `node`'s view of `other` is `state`.
  bool Sees(std::size_t node, std::size_t other, const std::string& state, std::chrono::milliseconds within) {
    for (auto until = Clock::now() + within; Clock::now() < until; std::this_thread::sleep_for(10ms)) {
      auto view = fleet.Ask(node);
      if (view && view->members[PeerFleet::NameOf(other)].state == state) return true;
    }
    return false;
  }
  std::uint64_t LifeOf(std::size_t node, std::size_t by) {
    return fleet.Ask(by)->members.at(PeerFleet::NameOf(node)).life;
  }
  std::string folder;
  PeerFleet fleet;
};

TEST_CASE("processes: a kill is seen by all, a restart is another process") {
  Rig rig;
  std::uint64_t before = rig.LifeOf(3, 0);
  rig.fleet.Kill(3);
  for (std::size_t i : {0u, 1u, 2u, 4u}) CHECK(rig.Sees(i, 3, "dead", 5s));
  rig.fleet.Start(3);
  CHECK(rig.fleet.Agree(10s));
  CHECK(rig.LifeOf(3, 0) > before);
  rig.fleet.Kill(3);  // back before anybody has noticed
  rig.fleet.Start(3);
  CHECK(rig.fleet.Agree(10s));
}

TEST_CASE("processes: a planned stop is told") {
  Rig rig;
  rig.fleet.Stop(2);
  for (std::size_t i : {0u, 1u, 3u, 4u}) CHECK(rig.Sees(i, 2, "left", 2s));
}

TEST_CASE("processes: one that stood still takes nobody for dead, and comes back as another") {
  Rig rig;
  std::uint64_t before = rig.LifeOf(1, 0);
  rig.fleet.Stall(1, true);
  CHECK(rig.Sees(0, 1, "dead", 5s));
  rig.fleet.Stall(1, false);
  CHECK(rig.fleet.Agree(10s));
  CHECK(rig.LifeOf(1, 0) > before);
  auto view = rig.fleet.Ask(1);
  REQUIRE(view);
  for (const auto& [name, of] : view->members) CHECK(of.state == "alive");
}

TEST_CASE("processes: halves that were cut from each other find together") {
  Rig rig(6);
  rig.fleet.Split({0, 2, 4}, {1, 3, 5}, true);
  CHECK(rig.Sees(0, 1, "dead", 5s));
  CHECK(rig.Sees(5, 4, "dead", 5s));
  rig.fleet.Split({0, 2, 4}, {1, 3, 5}, false);
  CHECK(rig.fleet.Agree(10s));
}

TEST_CASE("processes: no deaths under loss, delay, duplicates and reordering") {
  Rig rig;
  links::Faults faults;
  faults.loss = 0.1;
  faults.duplicate = 0.1;
  faults.delay = 5ms;
  faults.spread = 10ms;
  rig.fleet.links().SetAll(faults);
  std::vector<std::uint64_t> lives;
  for (std::size_t i = 1; i < 5; ++i) lives.push_back(rig.LifeOf(i, 0));
  std::this_thread::sleep_for(4s);
  for (std::size_t i = 1; i < 5; ++i) {
    CHECK(rig.LifeOf(i, 0) == lives[i - 1]);  // a death would have led to another life
    CHECK(rig.Sees(0, i, "alive", 5s));
  }
  CHECK(rig.fleet.links().counts().lost > 0);
}

TEST_CASE("processes: one that hears all and is heard by nobody is no member, and is back when it is heard") {
  Rig rig;
  links::Faults cut;
  cut.cut = true;
  for (std::size_t i = 0; i < 4; ++i) rig.fleet.links().Set(4, i, cut);
  CHECK(rig.Sees(0, 4, "dead", 6s));
  CHECK(rig.fleet.Ask(4)->standing != "sure");
  for (std::size_t i = 0; i < 4; ++i) rig.fleet.links().Set(4, i, {});
  CHECK(rig.fleet.Agree(10s));
}

TEST_CASE("processes: what was held back is delivered late and revives nobody") {
  Rig rig;
  std::uint64_t before = rig.LifeOf(4, 0);
  links::Faults hold;
  hold.hold = true;
  for (std::size_t i = 0; i < 4; ++i) rig.fleet.links().Set(4, i, hold);
  CHECK(rig.Sees(0, 4, "dead", 6s));
  rig.fleet.Kill(4);
  for (std::size_t i = 0; i < 4; ++i) rig.fleet.links().Set(4, i, {});
  for (auto until = Clock::now() + 1s; Clock::now() < until; std::this_thread::sleep_for(20ms)) {
    auto view = rig.fleet.Ask(0);
    REQUIRE(view);
    auto& of = view->members["r4"];
    CHECK((of.life != before || of.state == "dead"));
  }
}

TEST_CASE("processes: resets and slow links end in views that agree") {
  Rig rig;
  links::Faults slow;
  slow.bytes_per_s = 20000;
  rig.fleet.links().SetAll(slow);
  rig.fleet.Kill(2);
  rig.fleet.Start(2);
  for (int i = 0; i < 10; ++i) {
    for (std::size_t other : {0u, 1u, 3u, 4u}) rig.fleet.links().Reset(2, other);
    std::this_thread::sleep_for(50ms);
  }
  rig.fleet.links().SetAll({});
  CHECK(rig.fleet.Agree(10s));
}

}  // namespace
}  // namespace peatbend::processes

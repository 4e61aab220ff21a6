// Days of the real router on sockets: no rule is broken, and their worth agrees with the simulated day's.
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "doctest/doctest.h"
#include "lab/socket_run.h"
#include "lab/virtual_run.h"

namespace peatbend::lab::test {
namespace {

DayResult OnSockets(const Scenario& scenario) {
  std::string folder = std::filesystem::temp_directory_path() /
                       ("peatbend-day-" + std::to_string(getpid()) + "-" + scenario.name);
  DayResult result = RunOnSockets(scenario, 1, {PEATBEND_ROUTER, "", folder, {}});
  if (result.broken == 0) std::filesystem::remove_all(folder);
  return result;
}

// The grace is wide: CI's machine may stand still for a moment, and the routers run under the sanitizers too.
Scenario ForCi(const std::string& name) {
  Scenario scenario = ReadScenario(std::string(PEATBEND_SOURCE "/scenarios/") + name + ".toml");
  scenario.grace_ms = 500;
  scenario.drain_grace_ms = 800;
  scenario.window_slack_ms = 300;
  scenario.rations.slack_ms = 1000;
  return scenario;
}

void AgreesWithTheSimulatedDay(const std::string& name) {
  Scenario scenario = ForCi(name);
  DayResult sockets = OnSockets(scenario), simulated = RunVirtually(scenario, 1);
  CAPTURE(Summary(sockets));
  CAPTURE(Summary(simulated));
  CHECK(sockets.broken == 0);
  CHECK(std::abs(sockets.worth - simulated.worth) < 0.05);
}

DayResult BreaksNoRule(const std::string& name, double least = 0.9) {
  DayResult result = OnSockets(ForCi(name));
  CAPTURE(Summary(result));
  CHECK(result.broken == 0);
  CHECK(result.whole > least);
  return result;
}

TEST_CASE("day: calm") { AgreesWithTheSimulatedDay("calm"); }
TEST_CASE("day: hang") { AgreesWithTheSimulatedDay("hang"); }
TEST_CASE("day: zone-loss") { AgreesWithTheSimulatedDay("zone-loss"); }
TEST_CASE("day: rolling-restart") { BreaksNoRule("rolling-restart"); }
TEST_CASE("day: upgrade") { BreaksNoRule("upgrade"); }
TEST_CASE("day: peers") { BreaksNoRule("peers"); }
TEST_CASE("day: work-upgrade") { BreaksNoRule("work-upgrade", 0.7); }
TEST_CASE("day: router-loss") { BreaksNoRule("router-loss", 0.7); }
TEST_CASE("day: rations-few") {
  DayResult result = BreaksNoRule("rations-few", 0.05);
  CAPTURE(Summary(result));
  for (const LimitResult& limit : result.limits) {
    CHECK(limit.hungry_s > 0);
    CHECK(limit.used > 0.5);
  }
}
TEST_CASE("day: publish") {
  DayResult result = BreaksNoRule("publish", 0.5);
  CAPTURE(Summary(result));
  REQUIRE(result.published.size() == 6);
  for (std::size_t i : {0, 1, 4}) CHECK(result.published[i].reached > 20);
  CHECK(result.published[2].reached + result.published[5].reached >
        0);  // one of the two that exclude each other
}
TEST_CASE("day: reload") { BreaksNoRule("reload"); }

}  // namespace
}  // namespace peatbend::lab::test

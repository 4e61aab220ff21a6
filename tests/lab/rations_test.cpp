// The watch on limits counts exactly; the fixed parts it is compared with hold to theirs; storms spare whom
// they must.
#include <algorithm>

#include "doctest/doctest.h"
#include "lab/ration_shares.h"
#include "lab/referee.h"

namespace peatbend::lab::test {
namespace {

using namespace world;

// Routers, a class that reads and one that writes, two tenants, and what `more` says.
Scenario Day(const std::string& more, const std::string& load = "", int routers = 2) {
  return ParseScenario(R"(
name = "limits"
seconds = 20
warm_up_s = 0
[routers]
count = )" + std::to_string(routers) +
                           R"(
[load]
clients = 4
)" + load + R"(
[[class]]
name = "read"
[[class]]
name = "write"
write = true
[[tenant]]
name = "one"
[[tenant]]
name = "two"
)" + more,
                       "s.toml");
}

const char kTen[] = R"(
[rations]
on = false
slack_ms = 0
[[rations.limit]]
name = "ten"
rate = 10
burst = 5
constant = 0
)";

void Admit(RationWatch& watch, int count, double from_s, double to_s, RationWatch::Asked asked = {}) {
  for (int i = 0; i < count; ++i) {
    Time at = FromSeconds(from_s + (to_s - from_s) * i / count);
    watch.Offered(asked, at);
    watch.Admitted(asked, at);
  }
}

TEST_CASE("any second holds the burst and the rate, wherever it begins, and not one more") {
  Scenario scenario = Day(kTen);
  RationWatch watch(scenario);
  Admit(watch, 15, 1.4, 2.3);  // over a full second's edge
  CHECK(watch.Judge().empty());
  Admit(watch, 1, 2.35, 2.4);
  auto breaches = watch.Judge();
  REQUIRE(breaches.size() == 1);
  CHECK(breaches[0].limit == "ten");
  CHECK(breaches[0].what == "ten: 16 admitted in 1 s, at most 15 allowed");
  CHECK(breaches[0].at == FromSeconds(2.35));
}

TEST_CASE("what no second shows, ten do") {
  Scenario scenario = Day(kTen);
  RationWatch watch(scenario);
  Admit(watch, 12 * 10, 1, 11);  // 12 a second
  auto breaches = watch.Judge();
  REQUIRE(breaches.size() == 1);
  CHECK(breaches[0].what == "ten: 120 admitted in 10 s, at most 105 allowed");
}

TEST_CASE("each process of a window may have a tenth of a second's tokens in hand") {
  Scenario scenario = Day(R"(
[rations]
on = false
slack_ms = 500
[[rations.limit]]
name = "hundred"
rate = 100
burst = 8
)");
  RationWatch watch(scenario);
  const RationLimit& limit = scenario.rations.limits[0];
  CHECK(watch.Constant(limit, FromSeconds(3), FromSeconds(1)) == 2 * 8);
  watch.Started(FromSeconds(2));
  CHECK(watch.Constant(limit, FromSeconds(1.9), FromSeconds(1)) == 2 * 8);
  CHECK(watch.Constant(limit, FromSeconds(3.4), FromSeconds(1)) == 3 * 8);
  CHECK(watch.Constant(limit, FromSeconds(3.6), FromSeconds(1)) == 2 * 8);
}

TEST_CASE("a limit counts its tenants, classes and kind, and has a bucket for each client") {
  Scenario scenario = Day(R"(
[rations]
on = false
slack_ms = 0
[[rations.limit]]
name = "writes of two"
tenants = ["two"]
kind = "writes"
each = "client"
rate = 1
burst = 1
constant = 0
)");
  RationWatch watch(scenario);
  Admit(watch, 9, 1, 2, {0, 1, 3});  // of another
  Admit(watch, 9, 1, 2, {1, 0, 3});  // reads
  Admit(watch, 2, 1, 2, {1, 1, 1});
  Admit(watch, 2, 1, 2, {1, 1, 2});
  CHECK(watch.Judge().empty());
  Admit(watch, 3, 1, 2, {1, 1, 3});
  REQUIRE(watch.Judge().size() == 1);
  CHECK(watch.Judge()[0].limit == "writes of two of client 3");
  CHECK(watch.Results()[0].admitted == 7);
  CHECK(watch.Results()[0].buckets == 3);
}

TEST_CASE("used counts only while more is wanted than the rate") {
  Scenario scenario = Day(kTen);
  RationWatch watch(scenario);
  Admit(watch, 4, 0, 1);  // all that was wanted
  for (int second = 5; second < 15; ++second) {
    Admit(watch, second == 9 ? 3 : 9, second, second + 0.9);
    for (int i = 0; i < 20; ++i) watch.Offered({}, FromSeconds(second + 0.5));
  }
  LimitResult result = watch.Results()[0];
  CHECK(result.hungry_s == 10);
  CHECK(result.used == doctest::Approx(0.84));
  CHECK(result.least_1s == doctest::Approx(0.3));
  CHECK(result.least_10s == doctest::Approx(0.84));
}

TEST_CASE("admitted is a request once, however often it is sent on") {
  Scenario scenario = Day(kTen);
  Referee referee(scenario);
  referee.Sent("a", "key", 0, 0, FromSeconds(1), FromSeconds(2));
  referee.Sent("b", "key", 0, 0, FromSeconds(1), FromSeconds(2));
  for (int i = 0; i < 30; ++i) referee.Attempt("a", i % 2 - 1, "s", 0, FromSeconds(1.1));
  CHECK(referee.rations().Results()[0].admitted == 1);
  CHECK(referee.rations().Results()[0].offered == 2);
  for (int i = 0; i < 15; ++i) {
    std::string id(1, static_cast<char>('c' + i));
    referee.Sent(id, "key", 0, 0, FromSeconds(1), FromSeconds(2));
    referee.Attempt(id, 0, "s", 0, FromSeconds(1.2));
  }
  referee.JudgeRations();
  CHECK(referee.count(Rule::kRationPassed).times == 1);
}

TEST_CASE("fixed parts pass no limit, and waste what the other router does not use") {
  Scenario scenario = Day(kTen);
  for (bool even : {true, false}) {
    RationShares shares(scenario);
    RationWatch watch(scenario);
    int turn = 0;
    for (double at = 0; at < 15; at += 0.01) {
      watch.Offered({}, FromSeconds(at));
      if (!shares.Over({}, even ? turn++ % 2 : 0, FromSeconds(at))) watch.Admitted({}, FromSeconds(at));
    }
    CHECK(watch.Judge().empty());
    CHECK(watch.Results()[0].least_10s == doctest::Approx(even ? 1 : 0.5).epsilon(0.05));
  }
  RationShares shares(scenario);
  while (!shares.Over({}, 0, FromSeconds(1))) continue;
  auto over = shares.Over({}, 0, FromSeconds(1));
  REQUIRE(over);
  CHECK(!shares.Over({}, 0, FromSeconds(1.001) + *over));
}

TEST_CASE("a storm is the same for a seed, and leaves a majority of the seats alone") {
  std::string storm = R"(
[peers]
on = true
[rations]
book = "b\n"
seats = [0, 1, 2]
[[rations.limit]]
name = "ten"
rate = 10
[[event]]
what = "storm"
at_s = 1
for_s = 18
every_s = 0.5
each_ms = 1200
kinds = ["kill", "stall", "cut"]
)";
  Scenario scenario = Day(storm, "routers_skew = 1.0\n", 6);
  auto ails = [](const Scenario& day) {
    std::vector<std::pair<Time, int>> all;
    for (const RouterEvent& event : day.router_events) all.emplace_back(event.at, event.routers.at(0));
    for (const LinkEvent& event : day.link_events) all.emplace_back(event.at, event.from.at(0));
    return all;
  };
  std::size_t seats = 0, others = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Scenario day = WithStorms(scenario, seed);
    auto all = ails(day);
    CHECK(all == ails(WithStorms(scenario, seed)));
    CHECK(all != ails(WithStorms(scenario, seed + 100)));
    for (const auto& [at, router] : all) {
      (router < 3 ? seats : others)++;
      auto at_once = std::ranges::count_if(all, [&, at = at](const auto& one) {
        return one.second < 3 && one.first <= at && at < one.first + FromMs(1200);
      });
      CHECK(at_once <= 1);
    }
  }
  CHECK(seats > 40);
  CHECK(others > 40);
}

TEST_CASE("faults of rations are told with file, line and key") {
  const std::string limit = "[rations]\non = false\n[[rations.limit]]\n";
  const struct {
    std::string text, fault;
  } bad[] = {
      {"[rations]\nbook = \"b\\n\"\n[[rations.limit]]\nname = \"a\"\nrate = 1\n",
       "rations.on: needs on = true in [peers]"},
      {"[peers]\non = true\n[rations]\n", "rations.book: missing"},
      {"[rations]\nbook = \"none.book\"\n", "rations.book: cannot read none.book"},
      {"[rations]\non = false\n", "rations.limit: at least one expected"},
      {"[rations]\non = false\nseats = [7]\n", "rations.seats: a share such as 0.15, or places from 0 to 1"},
      {"[rations]\nsaets = [0]\n", "rations.saets: not known"},
      {limit + "rate = 1\n", "rations.limit.name: missing"},
      {limit + "name = \"a\"\n", "rations.limit.rate: missing"},
      {limit + "name = \"a\"\nrate = 1\ntenants = [\"none\"]\n", "rations.limit.tenants: no such name: none"},
      {limit + "name = \"a\"\nrate = 1\nclasses = [\"none\"]\n", "rations.limit.classes: no such name: none"},
      {limit + "name = \"a\"\nrate = 1\nkind = \"all\"\n",
       "rations.limit.kind: any or reads or writes expected"},
      {"[[event]]\nwhat = \"storm\"\n", "event.kinds: missing"},
      {"[[event]]\nwhat = \"storm\"\nkinds = [\"cut\"]\n",
       "event.kinds: of links: need on = true in [peers]"},
      {"[[event]]\nwhat = \"storm\"\nkinds = [\"rain\"]\n", "event.kinds: a list of kill, stall"},
  };
  for (const auto& one : bad) {
    CAPTURE(one.text);
    CHECK_THROWS_WITH_AS(Day(one.text), doctest::Contains(one.fault.c_str()), std::runtime_error);
  }
  CHECK_THROWS_WITH_AS(Day("", "router_weights = [1]\n"),
                       doctest::Contains("load.router_weights: 2 of them expected"), std::runtime_error);
  CHECK_THROWS_WITH_AS(Day(limit + "name = \"a\"\nrate = 1\neach = \"client\"\n", "clients = 0\n"),
                       doctest::Contains("s.toml"), std::runtime_error);
}

}  // namespace
}  // namespace peatbend::lab::test

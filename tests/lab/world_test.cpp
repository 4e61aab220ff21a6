// The world's failures, each as it is meant to be; and simulated days that come out the same for a seed.
#include <fmt/format.h>

#include "doctest/doctest.h"
#include "lab/compare.h"
#include "lab/report.h"
#include "lab/scenario_table.h"
#include "lab/virtual_run.h"

namespace peatbend::lab::test {
namespace {

using namespace world;

Ask Read(const std::string& key, double work_ms) {
  Ask ask;
  ask.id = "id-" + key;
  ask.key = key;
  ask.work = FromMs(work_ms);
  return ask;
}

struct Server {
  explicit Server(const CacheServerTraits& traits = {}) : server(agenda, traits, "s", 0, 1) {}
  // Sends it; the answer goes to `answers`, with its time.
  JobPtr Send(const Ask& ask) {
    return server.Begin(ask, [this](Verdict verdict) { answers.emplace_back(verdict, agenda.now()); });
  }
  Agenda agenda;
  CacheServer server;
  std::vector<std::pair<Verdict, Time>> answers;
};

// Found on the day of peers: a stalled router woke and answered, for the first time, what its stall had
// excused.
TEST_CASE("the late first answer of a router that stood still is no second one; a second one is") {
  Scenario scenario = ReadScenario(PEATBEND_SOURCE "/scenarios/calm.toml");
  Referee referee(scenario);
  referee.Sent("id", "key", 0, 1, {}, FromSeconds(1));
  referee.RouterEnded(1);
  referee.Unanswered("id", FromSeconds(2));
  referee.RouterBack(1);
  referee.Answered("id", Final::kFailed, "", FromSeconds(3));
  CHECK(referee.broken() == 0);
  referee.Answered("id", Final::kFailed, "", FromSeconds(3));
  CHECK(referee.count(Rule::kAnsweredTwice).times == 1);
}

// Found on the day of rations-split: an answer that came in the last millisecond before the client stopped
// listening.
TEST_CASE("what a stall has excused is not late; what nothing excused is") {
  Scenario scenario = ReadScenario(PEATBEND_SOURCE "/scenarios/calm.toml");
  Referee referee(scenario);
  Time late = FromSeconds(1) + FromMs(scenario.grace_ms + 0.5);
  referee.RouterEnded(1);
  referee.Sent("id", "key", 0, 1, {}, FromSeconds(1));
  referee.RouterBack(1);
  referee.Answered("id", Final::kRejected, "", late);
  CHECK(referee.broken() == 0);
  referee.Sent("other", "key", 0, 1, {}, FromSeconds(1));
  referee.Answered("other", Final::kRejected, "", late);
  CHECK(referee.count(Rule::kRequestLost).times == 1);
}

TEST_CASE("a server works off what waits, on so many cores, and turns away what has no room") {
  CacheServerTraits traits;
  traits.cores = 2, traits.waiting = 1, traits.crowding = 0;
  Server s(traits);
  s.server.Keep("k", 10);
  for (int i = 0; i < 4; ++i) s.Send(Read("k", 100));
  REQUIRE(s.answers.size() == 1);
  CHECK(s.answers[0].first == Verdict::kBusy);
  s.agenda.RunUntil(FromMs(250));
  REQUIRE(s.answers.size() == 4);
  CHECK(s.answers[2].second == FromMs(100));
  CHECK(s.answers[3].second == FromMs(200));
}

TEST_CASE("a pause puts off what runs by its length, a hang answers nothing, a cancel frees the core") {
  Server s;
  s.server.Keep("k", 10);
  s.Send(Read("k", 100));
  s.agenda.At(FromMs(50), [&] { s.server.Pause(FromMs(300)); });
  s.agenda.RunUntil(FromMs(399));
  CHECK(s.answers.empty());
  s.agenda.RunUntil(FromMs(400));
  REQUIRE(s.answers.size() == 1);
  s.server.Hang(true);
  CHECK(s.Send(Read("k", 10)) == nullptr);
  s.server.Hang(false);
  JobPtr job = s.Send(Read("k", 5000));
  s.agenda.RunUntil(FromMs(500));
  s.server.Cancel(job);
  CHECK(s.server.load() == 0);
  CHECK(s.server.wasted == FromMs(100));
  s.agenda.RunUntil(FromSeconds(10));
  CHECK(s.answers.size() == 1);
}

TEST_CASE("a cold server that is sent too much tips over; one sent less grows warm") {
  CacheServerTraits traits;
  traits.cores = 1, traits.start_capacity = 0.1, traits.waiting = 1000;
  Server flooded(traits), nursed(traits);
  int falls = 0;
  flooded.server.on_fall = [&](CacheServer&) { ++falls; };
  nursed.server.on_fall = [&](CacheServer&) { ++falls; };
  flooded.agenda.RunUntil(FromSeconds(1));
  nursed.agenda.RunUntil(FromSeconds(1));
  flooded.server.Start();
  nursed.server.Start();
  CHECK(nursed.server.Warmth() == doctest::Approx(0.1));
  for (int i = 0; i < 100; ++i) flooded.Send(Read("k", 100));
  CHECK(falls == 1);
  CHECK(flooded.server.state() == CacheServer::State::kDead);
  for (int i = 0; i < 250; ++i) {
    nursed.agenda.RunUntil(FromSeconds(1) + FromMs(100 * (i + 1)));
    nursed.Send(Read("k", 5));
  }
  CHECK(falls == 1);
  CHECK(nursed.server.Warmth() == 1);
}

TEST_CASE("a store throws out the least recently used, or the first stored") {
  for (bool lru : {true, false}) {
    Store store(30, lru);
    store.Put("a", 10);
    store.Put("b", 10);
    store.Put("c", 10);
    CHECK(store.Has("a"));
    store.Put("d", 10);
    CHECK(store.Has("a") == lru);
    CHECK(store.Has("b") == !lru);
    CHECK(store.held() == 30);
  }
}

TEST_CASE("a miss is fetched once, stored where it missed, and voided by a write") {
  Agenda agenda;
  FleetTraits traits;
  traits.members = 2, traits.zones = 1;
  Fleet fleet(agenda, traits, 5);
  std::vector<Verdict> got;
  auto note = [&](Verdict verdict) { got.push_back(verdict); };
  fleet.AtServer(0, Read("k", 10), note);
  agenda.RunUntil(FromSeconds(1));
  Ask other = Read("k", 10);
  other.id = "other";
  fleet.AtServer(0, other, note);
  agenda.RunUntil(FromSeconds(1.1));
  fleet.AtOrigin(Read("k", 10), note);
  agenda.RunUntil(FromSeconds(2));
  fleet.AtServer(0, Read("k", 10), note);
  agenda.RunUntil(FromSeconds(3));
  Ask write = Read("k", 10);
  write.write = true;
  fleet.AtOrigin(write, note);
  agenda.RunUntil(FromSeconds(4));
  fleet.AtServer(0, Read("k", 10), note);
  agenda.RunUntil(FromSeconds(5));
  CHECK(got == std::vector<Verdict>{Verdict::kMiss, Verdict::kPending, Verdict::kValue, Verdict::kValue,
                                    Verdict::kValue, Verdict::kMiss});
}

TEST_CASE("the origin stops when it is asked for too much, and drops a key's repeats within its window") {
  Agenda agenda;
  OriginTraits traits;
  traits.per_second = 10, traits.fall_after = FromSeconds(1), traits.down = FromSeconds(2);
  Origin origin(agenda, traits, 1);
  double cold_share = -1;
  origin.on_fall = [&](double share) { cold_share = share; };
  Ask keyed = Read("k", 1);
  keyed.idempotency = "i";
  origin.Begin(keyed, false, [](Verdict) {});
  origin.Begin(keyed, false, [](Verdict) {});
  CHECK(origin.repeats == 1);
  agenda.RunUntil(FromSeconds(3));
  for (int i = 0; i < 30; ++i) origin.Begin(Read("k", 1), i % 3 != 0, [](Verdict) {});
  CHECK(origin.falls == 1);
  CHECK(cold_share == doctest::Approx(0.65).epsilon(0.05));
  CHECK(origin.stalled());
  agenda.RunUntil(FromSeconds(5.1));
  CHECK(!origin.stalled());
}

TEST_CASE("simulated days are the same to the last digit for a seed, and keep the rules") {
  for (const char* name : {"calm", "hang", "pauses", "zone-loss", "zone-dies", "rolling-restart", "churn",
                           "spoilt", "reload", "origin-stall", "easter", "lossy"}) {
    Scenario scenario = ReadScenario(std::string(PEATBEND_SOURCE "/scenarios/") + name + ".toml");
    DayResult one = RunVirtually(scenario, 11);
    CAPTURE(Summary(one));
    CHECK(ToJson(one) == ToJson(RunVirtually(scenario, 11)));
    CHECK(ToJson(one) != ToJson(RunVirtually(scenario, 12)));
    CHECK(one.broken == 0);
    CHECK(one.whole > 0.8);
    std::string page = ReportPage(one);
    for (const auto& mark : scenario.marks) CHECK(page.find(mark.text) != std::string::npos);
  }
}

TEST_CASE("an interval holds a difference that is there, and none that is not") {
  Difference same = Interval("x", {1, 2, 3, 4}, {1.1, 1.9, 3.1, 3.9});
  CHECK(!same.clear());
  Difference apart = Interval("x", {1, 2, 3, 4}, {2.1, 2.9, 4.1, 4.9});
  CHECK(apart.clear());
  CHECK(apart.difference == doctest::Approx(1.0));
  CHECK(apart.half_width == doctest::Approx(3.182 * 0.11547 / 2).epsilon(0.01));
}

TEST_CASE("days with limits are compared limit by limit, with the least in 10 s and the fullest windows") {
  auto day = [](double used) {
    return [used](std::uint64_t seed) {
      DayResult result;
      result.classes.resize(1);
      LimitResult wide, narrow;
      wide.name = "wide";
      narrow.name = "narrow";
      narrow.used = used + 0.01 * static_cast<double>(seed);
      narrow.nearest = {0.5, used};
      result.limits = {wide, narrow};
      return result;
    };
  };
  Comparison comparison = Compare(day(0.6), day(0.9), 3, 1);
  auto row = [&](const std::string& name) {
    auto found = std::ranges::find(comparison.differences, name, &Difference::name);
    REQUIRE(found != comparison.differences.end());
    return *found;
  };
  CHECK(row("narrow, used").mean_a == doctest::Approx(0.62));
  CHECK(row("narrow, used").mean_b == doctest::Approx(0.92));
  CHECK(row("narrow, used").half_a == doctest::Approx(4.303 * 0.01 / std::sqrt(3)).epsilon(0.01));
  CHECK(row("narrow, used").clear());
  CHECK(!row("narrow, fullest 1 s").clear());
  CHECK(row("narrow, fullest 10 s").difference == doctest::Approx(0.3));
  CHECK(row("wide, least in 10 s").mean_b == 0);
}

TEST_CASE("latencies are read back at most 1 % off") {
  LatencyHistogram times;
  for (int i = 1; i <= 10000; ++i) times.Add(i * 0.1);
  Latencies l = times.Read();
  CHECK(l.p50 == doctest::Approx(500).epsilon(0.011));
  CHECK(l.p99 == doctest::Approx(990).epsilon(0.011));
  CHECK(l.p999 == doctest::Approx(999).epsilon(0.011));
}

TEST_CASE("a scenario's faults are told with file, line and key") {
  const struct {
    std::string text, fault;
  } bad[] = {
      {"name = \"x\"\n[load]\nraet = 3\n", "s.toml:3: load.raet: not known; the nearest known name is rate"},
      {"name = \"x\"\n[load]\nrate = -3\n", "s.toml:3: load.rate: 1 to 100000 expected"},
      {"name = \"x\"\n[[event]]\nwhat = \"hnag\"\n", "s.toml:3: event.what: strangers or hang or"},
      {"name = \"x\"\n[[event]]\nwhat = \"zone-cut\"\nzone = \"q\"\n", "event.zone: no such zone"},
      {"name = \"x\"\n[[event]]\nwhat = \"hang\"\nmembers = [99]\n",
       "event.members: a share such as 0.15, or places"},
      {"name = 3\n", "s.toml:1: name: text expected"},
      {"name = \n", "not TOML"},
  };
  for (const auto& one : bad) {
    CAPTURE(one.text);
    CHECK_THROWS_WITH_AS(ParseScenario(one.text, "s.toml"), doctest::Contains(one.fault.c_str()),
                         std::runtime_error);
  }
}

TEST_CASE("a renamed key of a scenario is an error that tells its line and its new name, which is known") {
  auto errors = [](const std::string& text) -> std::string {
    try {
      ParseScenario("name = \"x\"\n" + text, "s.toml");
    } catch (const std::runtime_error& error) {
      return error.what();
    }
    return "";
  };
  // As text: a table's header, or a key below one.
  auto text_of = [](std::string_view name) {
    std::size_t dot = name.rfind('.');
    if (dot == std::string_view::npos) return fmt::format("[{}]\n\n", name);
    // A date is of no key's type.
    return fmt::format("[{}]\n{} = 2020-01-01\n", name.substr(0, dot), name.substr(dot + 1));
  };
  CHECK(!RenamedScenarioKeys().empty());
  for (const RenamedKey& key : RenamedScenarioKeys()) {
    CAPTURE(key.old_name);
    int line = key.old_name.find('.') == std::string_view::npos ? 2 : 3;
    std::string found = errors(text_of(key.old_name));
    CHECK(found.find(fmt::format("s.toml:{}: {}: renamed to {}", line, key.old_name, key.new_name)) !=
          std::string::npos);
    found = errors(text_of(key.new_name));
    CHECK(found.find("not known") == std::string::npos);
    CHECK(found.find("renamed") == std::string::npos);
  }
  std::string both = errors("[takeover]\nalone = \"serve\"\n[failover]\nno_quorum = \"serve\"\non = 3\n");
  CHECK(both.find("s.toml:2: takeover: renamed to failover\n"
                  "s.toml:3: takeover.alone: renamed to failover.no_quorum") != std::string::npos);
  CHECK(both.find("s.toml:6: failover.on: true or false expected") != std::string::npos);
}

}  // namespace
}  // namespace peatbend::lab::test

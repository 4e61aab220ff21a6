// Overload of real router processes whose backends can serve a third of the load: all routers apply the same
// threshold, requests of higher worth are admitted, and shedding ends with the overload.
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "admin/ask.h"
#include "lab/socket_run.h"

namespace peatbend::lab::test {
namespace {

using namespace std::chrono_literals;

// Polls the shedding thresholds of the routers during a run, on its own thread.
class ThresholdPoller {
 public:
  struct Sample {
    double at_s;                     // simulated time as of the last progress report
    std::vector<double> thresholds;  // of the routers that replied
  };
  ThresholdPoller(std::string folder, int routers)
      : folder_(std::move(folder)), routers_(routers), thread_([this] { Poll(); }) {}
  std::vector<Sample> End() {
    done_ = true;
    thread_.join();
    return samples_;
  }
  void SetSecond(int second) { second_ = second; }

 private:
  void Poll() {
    for (; !done_; std::this_thread::sleep_for(100ms)) {
      Sample sample{static_cast<double>(second_), {}};
      if (second_ < 0) continue;
      for (int r = 0; r < routers_; ++r) {
        std::ifstream file(folder_ + "/router-" + std::to_string(r) + "/config.json");
        auto config = nlohmann::json::parse(file, nullptr, false);
        if (config.is_discarded()) continue;
        try {
          std::string all = net::AskRouter(config["admin"].get<std::string>(), "DUMP");
          std::size_t at = all.find(".overload.cut=");
          if (at != std::string::npos) sample.thresholds.push_back(std::stod(all.substr(at + 14)) / 1000);
        } catch (const std::runtime_error&) {  // the router is down or stalled
        }
      }
      samples_.push_back(sample);
    }
  }
  std::string folder_;
  int routers_;
  std::vector<Sample> samples_;
  std::atomic<bool> done_ = false;
  std::atomic<int> second_ = -1;
  std::thread thread_;
};

// Three times the load from 6 s to 13 s, before five routers.
Scenario ShortScenario(bool on) {
  Scenario day = ReadScenario(PEATBEND_SOURCE "/scenarios/overload.toml");
  day.routers = 5;
  day.lasts = world::FromSeconds(22);
  day.steps = {{world::FromSeconds(6), 3}, {world::FromSeconds(13), 1}};
  day.overload = on;
  day.grace_ms = 500;
  return day;
}

struct RunResult {
  DayResult result;
  std::vector<ThresholdPoller::Sample> samples;
};

RunResult RunScenario(const Scenario& day) {
  std::string folder =
      (std::filesystem::temp_directory_path() /
       ("peatbend-overload-" + std::to_string(getpid()) + "-" + std::to_string(day.overload)))
          .string();
  std::filesystem::remove_all(folder);
  ThresholdPoller poller(folder, day.routers);
  DayResult result =
      RunOnSockets(day, 1, {PEATBEND_ROUTER, "", folder, [&poller](int second, std::uint64_t, std::uint64_t) {
                              poller.SetSecond(second);
                            }});
  RunResult run{std::move(result), poller.End()};
  if (run.result.broken == 0) std::filesystem::remove_all(folder);
  return run;
}

std::string Text(const std::vector<ThresholdPoller::Sample>& samples) {
  std::string text;
  for (const auto& sample : samples) {
    text += "\n" + std::to_string(sample.at_s) + ":";
    for (double threshold : sample.thresholds) text += " " + std::to_string(threshold);
  }
  return text;
}

TEST_CASE("overload: routers that share signals have one threshold, and earn more than each on its own") {
  RunResult off = RunScenario(ShortScenario(false)), on = RunScenario(ShortScenario(true));
  CAPTURE(Summary(off.result));
  CAPTURE(Summary(on.result));
  CAPTURE(Text(on.samples));
  CHECK(on.result.broken == 0);
  CHECK(on.result.whole > off.result.whole);
  CHECK(on.result.inverted < 0.01);
  std::size_t samples = 0, same = 0;
  for (const auto& sample : on.samples) {
    if (sample.at_s >= 8 && sample.at_s < 12 && sample.thresholds.size() == 5) {
      ++samples;
      auto [least, most] = std::ranges::minmax(sample.thresholds);
      same += most - least <= 0.05 && least > 0 ? 1 : 0;
    }
    if (sample.at_s >= 18)
      CHECK(std::ranges::all_of(sample.thresholds, [](double threshold) { return threshold == 0; }));
  }
  CHECK(samples >= 10);
  CHECK(static_cast<double>(same) >=
        0.8 * static_cast<double>(samples));  // the routers are not polled at the same instant
}

TEST_CASE(
    "overload: an aggregator killed, a stalled router and a network partition leave no shedding behind") {
  Scenario day = ShortScenario(true);
  using enum RouterEvent::What;
  day.router_events.push_back(
      {kKill, world::FromSeconds(7), world::FromSeconds(3), world::FromSeconds(1), {0}});
  day.router_events.push_back(
      {kStall, world::FromSeconds(9), world::FromSeconds(2), world::FromSeconds(1), {1}});
  day.link_events.push_back(
      {LinkEvent::What::kCut, world::FromSeconds(11), world::FromSeconds(2), {0, 2}, {1, 3, 4}});
  RunResult on = RunScenario(day);
  CAPTURE(Summary(on.result));
  CAPTURE(Text(on.samples));
  CHECK(on.result.broken == 0);
  std::size_t shedding = 0, late = 0;
  for (const auto& sample : on.samples) {
    for (double threshold : sample.thresholds) {
      if (sample.at_s >= 7 && sample.at_s < 13 && threshold > 0) ++shedding;
      if (sample.at_s < 18) continue;
      ++late;
      CHECK(threshold == 0);
    }
  }
  CHECK(shedding > 0);
  CHECK(late > 0);
}

// A member accepts requests but answers none from 3 s to 10 s, while one router is killed and another stalls.
TEST_CASE("overload: a member that all have ejected gets trials from one router, or another if that dies") {
  Scenario day = ReadScenario(PEATBEND_SOURCE "/scenarios/overload-trials.toml");
  day.lasts = world::FromSeconds(13);
  day.routers = 12;
  day.troubles.at(0).at = world::FromSeconds(3);
  day.troubles.at(0).lasts = world::FromSeconds(7);
  day.grace_ms = 500;
  using enum RouterEvent::What;
  day.router_events.push_back(
      {kKill, world::FromSeconds(6), world::FromSeconds(8), world::FromSeconds(1), {0}});
  day.router_events.push_back(
      {kStall, world::FromSeconds(6.5), world::FromSeconds(2), world::FromSeconds(1), {1}});
  RunResult on = RunScenario(day);
  CAPTURE(Summary(on.result));
  auto member_load_between = [&](std::size_t place, std::size_t from, std::size_t until) {
    double sum = 0;
    for (std::size_t s = from; s < std::min(until, on.result.timeline.size()); ++s) {
      const auto& places = on.result.timeline[s].member_load;
      sum += place < places.size() ? places[place] : 0;
    }
    return sum;
  };
  std::size_t hung_member = 0;
  for (std::size_t place = 1; place < 6; ++place) {
    if (member_load_between(place, 6, 10) < member_load_between(hung_member, 6, 10)) hung_member = place;
  }
  CAPTURE(member_load_between(hung_member, 0, 3));
  CHECK(on.result.broken == 0);
  CHECK(member_load_between(hung_member, 6, 10) >= 1);  // trials continue
  CHECK(member_load_between(hung_member, 6, 10) <= 9);
  CHECK(member_load_between(hung_member, 11, 13) >= 10);
  MESSAGE("trials from 6 s to 10 s: " << member_load_between(hung_member, 6, 10));
}

// A member dies at 3 s and is back at 6 s, cold; discovery notifies all routers at the same time.
TEST_CASE("overload: a member that was killed gets connections at the configured rate when it is back") {
  Scenario day = ReadScenario(PEATBEND_SOURCE "/scenarios/overload-dials.toml");
  day.lasts = world::FromSeconds(16);
  day.routers = 20;
  day.dials_per_second = 4;
  day.rate = 400;  // so that each router has a request for it soon after it may connect
  day.troubles.resize(1);
  day.troubles.at(0).at = world::FromSeconds(3);
  day.troubles.at(0).lasts = world::FromSeconds(3);
  day.grace_ms = 500;
  constexpr std::size_t kMember = 1;  // the one in zone b
  RunResult on = RunScenario(day);
  CAPTURE(Summary(on.result));
  auto at = [](const std::vector<double>& places) { return kMember < places.size() ? places[kMember] : 0; };
  std::string seconds;
  double most = 0, all = 0, served = 0;
  for (const Second& second : on.result.timeline) {
    seconds += fmt::format(" {:g}", at(second.member_dials));
    if (second.second < 6) continue;
    most = std::max(most, at(second.member_dials));
    all += at(second.member_dials);
    if (second.second >= 14) served += at(second.member_load);
  }
  CAPTURE(seconds);
  MESSAGE("connections at the member, by second:" << seconds);
  CHECK(on.result.broken == 0);
  CHECK(all >= 15);  // of 20 routers
  CHECK(most <= 8);  // not 20 at once; a router may open a second connection for a concurrent request
  CHECK(served >= 20);
}

}  // namespace
}  // namespace peatbend::lab::test

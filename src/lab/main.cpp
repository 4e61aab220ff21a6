// peatbend-lab: emulated fleets, load, a referee, and reports.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>

#include "lab/at_rest.h"
#include "lab/bench.h"
#include "lab/compare.h"
#include "lab/peers_command.h"
#include "lab/ration_costs.h"
#include "lab/report.h"
#include "lab/socket_run.h"
#include "lab/virtual_run.h"

namespace {

namespace lab = peatbend::lab;
namespace fs = std::filesystem;

struct Options {
  std::string rations, other_rations;  // play them so, whatever the scenario says
  std::string overload, other_overload;
  std::string scenario, other, router, other_router, config, other_config, json, report, folder;
  std::uint64_t seed = 1;
  int runs = 5;
  double minutes = 5;
  bool simulated = false, quiet = false;
};

// The router beside this program, unless one is named.
std::string RouterBeside(const std::string& named) {
  if (!named.empty()) return named;
  return (fs::read_symlink("/proc/self/exe").parent_path() / "peatbend").string();
}

// A scenario by its file, or by its name among those that come with the program's sources.
std::string Find(const std::string& scenario) {
  if (fs::exists(scenario)) return scenario;
  std::string among = std::string("scenarios/") + scenario + ".toml";
  return fs::exists(among) ? among : scenario;
}

// A folder for a run's routers, removed with the run unless something went wrong.
class RunFolder {
 public:
  explicit RunFolder(const std::string& named) : kept_(!named.empty()) {
    static int number = 0;
    path_ = kept_ ? fs::path(named)
                  : fs::temp_directory_path() / fmt::format("peatbend-lab-{}-{}", getpid(), ++number);
  }
  ~RunFolder() {
    std::error_code ignored;
    if (!kept_) fs::remove_all(path_, ignored);
  }
  void Keep() { kept_ = true; }
  std::string path() const { return path_.string(); }

 private:
  fs::path path_;
  bool kept_;
};

lab::DayResult Day(const lab::Scenario& scenario, std::uint64_t seed, const Options& options,
                   const std::string& router, const std::string& config) {
  if (options.simulated) return lab::RunVirtually(scenario, seed);
  RunFolder folder(options.folder);
  lab::SocketOptions how{RouterBeside(router), config, folder.path(), {}};
  bool terminal = isatty(STDERR_FILENO) != 0 && !options.quiet;
  if (terminal) {
    auto all = static_cast<int>(peatbend::world::Seconds(scenario.lasts));
    how.progress = [all](int second, std::uint64_t asked, std::uint64_t open) {
      std::fprintf(stderr, "\r  %3d of %d s  %llu asked, %llu open   ", second, all,
                   static_cast<unsigned long long>(asked), static_cast<unsigned long long>(open));
    };
  }
  try {
    lab::DayResult result = lab::RunOnSockets(scenario, seed, how);
    if (terminal) std::fputs("\r\033[K", stderr);
    if (result.broken > 0) {
      folder.Keep();
      std::fprintf(stderr, "peatbend-lab: the routers' logs are in %s\n", folder.path().c_str());
    }
    return result;
  } catch (...) {
    folder.Keep();
    throw;
  }
}

lab::Scenario Read(const std::string& scenario, const std::string& rations, const std::string& overload) {
  lab::Scenario read = lab::ReadScenario(Find(scenario));
  if (overload == "on" && !read.peers)
    throw std::runtime_error(scenario + ": --overload on: needs on = true in [peers]");
  if (!overload.empty()) read.overload = overload == "on";
  using Play = lab::RationDay::Play;
  if (rations.empty()) return read;
  if (read.rations.limits.empty()) throw std::runtime_error(scenario + ": --rations: it has no [rations]");
  read.rations.play = rations == "on" ? Play::kOn : rations == "static" ? Play::kShares : Play::kOff;
  if (rations == "on" && (read.rations.book.empty() || !read.peers))
    throw std::runtime_error(scenario + ": --rations on: needs a book, and on = true in [peers]");
  return read;
}

int Run(const Options& options) {
  lab::Scenario scenario = Read(options.scenario, options.rations, options.overload);
  lab::DayResult result = Day(scenario, options.seed, options, options.router, options.config);
  std::fputs(lab::Summary(result).c_str(), stdout);
  if (!options.json.empty()) {
    std::ofstream file(options.json);
    file << lab::ToJson(result) << "\n";
    if (!file.flush()) throw std::runtime_error("cannot write " + options.json);
  }
  if (!options.report.empty())
    std::printf("  report: %s\n", lab::WriteReport(result, options.report).c_str());
  return result.broken == 0 ? 0 : 1;
}

int Compare(const Options& options) {
  lab::Scenario a = Read(options.scenario, options.rations, options.overload),
                b = Read(options.other,
                         options.other_rations.empty() ? options.rations : options.other_rations,
                         options.other_overload.empty() ? options.overload : options.other_overload);
  auto run_a = [&](std::uint64_t seed) { return Day(a, seed, options, options.router, options.config); };
  auto run_b = [&](std::uint64_t seed) {
    return Day(b, seed, options, options.other_router.empty() ? options.router : options.other_router,
               options.other_config.empty() ? options.config : options.other_config);
  };
  lab::Comparison comparison = lab::Compare(run_a, run_b, options.runs, options.seed);
  std::fputs(lab::Describe(comparison).c_str(), stdout);
  return comparison.broken_a + comparison.broken_b == 0 ? 0 : 1;
}

// One day after another, each with the next seed, until the time is up.
int Soak(const Options& options) {
  lab::Scenario scenario = Read(options.scenario, options.rations, options.overload);
  auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(options.minutes * 60);
  int days = 0, bad = 0;
  for (std::uint64_t seed = options.seed; days == 0 || std::chrono::steady_clock::now() < until;
       ++seed, ++days) {
    lab::DayResult result = Day(scenario, seed, options, options.router, options.config);
    double peak = 0;
    for (const auto& router : result.routers) peak = std::max(peak, router.peak_mb);
    std::printf("day %d seed %llu worth %.3f broken %llu peak %.1f MB\n", days + 1,
                static_cast<unsigned long long>(seed), result.worth,
                static_cast<unsigned long long>(result.broken), peak);
    std::fflush(stdout);
    if (result.broken > 0) {
      ++bad;
      std::fputs(lab::Summary(result).c_str(), stdout);
    }
  }
  std::printf("%d days, %d with a rule broken\n", days, bad);
  return bad == 0 ? 0 : 1;
}

int List() {
  std::vector<fs::path> files;
  if (fs::exists("scenarios")) {
    for (const auto& entry : fs::directory_iterator("scenarios")) {
      if (entry.path().extension() == ".toml") files.push_back(entry.path());
    }
  }
  std::ranges::sort(files);
  for (const fs::path& file : files) {
    lab::Scenario scenario = lab::ReadScenario(file.string());
    std::printf("%-16s %3.0f s  %s\n", scenario.name.c_str(), peatbend::world::Seconds(scenario.lasts),
                scenario.about.c_str());
  }
  return 0;
}

int Explain(const Options& options) {
  lab::Scenario s = lab::ReadScenario(Find(options.scenario));
  std::printf("%s: %s\n%.0f s, %d routers (%lld MB, %lld descriptors each)\n", s.name.c_str(),
              s.about.c_str(), peatbend::world::Seconds(s.lasts), s.routers,
              static_cast<long long>(s.memory_mb), static_cast<long long>(s.sockets));
  std::printf("%g requests a second over %d keys (Zipf %g), %d retries a client\n", s.rate, s.keys, s.zipf,
              s.retries);
  std::printf(
      "%d servers (%d more to add) in %d data centres %.1f ms apart; the origin answers %g a second\n",
      s.fleet.members, s.fleet.spare, s.fleet.zones, peatbend::world::Ms(s.fleet.between_zones),
      s.fleet.origin.per_second);
  for (const auto& limit : s.rations.limits)
    std::printf("the fleet admits at most %g a second (burst %g) of %s\n", limit.rate, limit.burst,
                limit.name.c_str());
  for (const auto& mark : s.marks)
    std::printf("  at %5.1f s: %s\n", peatbend::world::Seconds(mark.at), mark.text.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"peatbend-lab: plays days of an emulated fleet against real routers, or in simulated time"};
  app.footer(
      "Exit status: 0 if no rule was broken, 1 if one was or the day could not be played, above 100 for "
      "wrong\n"
      "arguments. A scenario is a file, or a name among scenarios/. Everything stays on loopback addresses.");
  app.require_subcommand(1);
  Options options;
  auto days = [&](CLI::App* command) {
    command->add_option("--router", options.router, "the router program (default: peatbend beside this one)");
    command->add_option("--config", options.config, "the TOML file that routers are given");
    command->add_option("--seed", options.seed, "of all chance (default 1)");
    command->add_flag("--simulated", options.simulated,
                      "in simulated time: the decision module alone, no processes");
    command
        ->add_option("--rations", options.rations,
                     "in place of what the scenario says: on, off, or static for fixed parts of each limit")
        ->check(CLI::IsMember({"on", "off", "static"}));
    command
        ->add_option("--overload", options.overload,
                     "in place of what the scenario says: on or off, whether routers judge overload as one")
        ->check(CLI::IsMember({"on", "off"}));
    command->add_option("--folder", options.folder, "for the routers' configurations and logs; kept");
    command->add_flag("--quiet", options.quiet, "no progress");
  };
  auto* run = app.add_subcommand("run", "play one day; print a verdict");
  run->add_option("SCENARIO", options.scenario)->required();
  days(run);
  run->add_option("--json", options.json, "write the whole result there");
  run->add_option("--report", options.report, "write a page with plots into this folder");
  auto* compare =
      app.add_subcommand("compare", "play pairs of days with one seed each; differences with intervals");
  compare->add_option("A", options.scenario)->required();
  compare->add_option("B", options.other)->required();
  days(compare);
  compare->add_option("--runs", options.runs, "pairs (default 5)")->check(CLI::Range(2, 1000));
  compare->add_option("--rations-b", options.other_rations, "as --rations, of B")
      ->check(CLI::IsMember({"on", "off", "static"}));
  compare->add_option("--overload-b", options.other_overload, "as --overload, of B")
      ->check(CLI::IsMember({"on", "off"}));
  compare->add_option("--router-b", options.other_router, "the router of B, if it is another");
  compare->add_option("--config-b", options.other_config, "the TOML file of B, if it is another");
  auto* soak = app.add_subcommand("soak", "play days, each with the next seed, for so long");
  soak->add_option("SCENARIO", options.scenario)->required();
  days(soak);
  soak->add_option("--minutes", options.minutes, "default 5")->check(CLI::Range(0.01, 1440.0));
  auto* bench = app.add_subcommand("bench", "what the router costs: ratios to the straight way, in one run");
  lab::BenchOptions costs;
  bench->add_option("--router", options.router, "the router program (default: peatbend beside this one)");
  bench->add_option("--seconds", costs.seconds, "of each measurement (default 3)")
      ->check(CLI::Range(0.2, 600.0));
  bench->add_option("--rounds", costs.rounds, "of each pair (default 3)")->check(CLI::Range(1, 100));
  auto* ration_costs = app.add_subcommand(
      "ration-costs", "what rations cost: on beside off in turns, messages by fleet and clients, memory");
  lab::RationCosts rationed;
  std::string part;
  ration_costs->add_option("PART", part, "one table alone")
      ->check(CLI::IsMember({"pairs", "messages", "memory"}));
  ration_costs->add_option("--router", rationed.router,
                           "the router program (default: peatbend beside this one)");
  ration_costs->add_option("--seconds", rationed.seconds, "of each measurement (default 4)")
      ->check(CLI::Range(0.5, 600.0));
  ration_costs->add_option("--rounds", rationed.rounds, "of each pair (default 5)")
      ->check(CLI::Range(2, 1000));
  ration_costs->add_option("--rates", rationed.rates, "requests a second and router, of pairs")
      ->delimiter(',');
  ration_costs->add_option("--pair-clients", rationed.pair_clients, "clients, of pairs (default 1000)")
      ->check(CLI::Range(1, 999999));
  ration_costs->add_option("--seats", rationed.seats, "of each fleet (default 3)")
      ->check(CLI::Range(3, 1000));
  ration_costs->add_option("--fleets", rationed.fleets, "routers, of messages")->delimiter(',');
  ration_costs->add_option("--clients", rationed.clients, "clients, of messages")->delimiter(',');
  auto* at_rest = app.add_subcommand("at-rest", "what two builds hold and do while nobody asks, in turns");
  lab::AtRest rest;
  at_rest->add_option("--router", rest.router, "A (default: peatbend beside this one)");
  at_rest->add_option("--router-b", rest.other, "B")->required();
  at_rest->add_option("--seconds", rest.seconds, "that each is looked at (default 5)")
      ->check(CLI::Range(0.5, 600.0));
  at_rest->add_option("--rounds", rest.rounds, "of each (default 5)")->check(CLI::Range(2, 1000));
  auto* list = app.add_subcommand("list", "the scenarios");
  auto* explain = app.add_subcommand("explain", "what a scenario does");
  explain->add_option("SCENARIO", options.scenario)->required();
  auto* peers =
      app.add_subcommand("peers", "routers that know each other, under faults: in the twin, or as processes");
  lab::PeersOptions fleet;
  peers->add_option("--nodes", fleet.nodes, "sizes of the fleet (default 50)")
      ->delimiter(',')
      ->check(CLI::Range(2, 2000));
  peers->add_option("--schedule", fleet.schedule, "what befalls it (default kill)")
      ->check(CLI::IsMember({"calm", "kill", "stall", "split", "random"}));
  peers->add_option("--seed", fleet.seed, "the first (default 1)");
  peers->add_option("--seeds", fleet.seeds, "how many (default 10)")->check(CLI::Range(1, 1000000));
  peers->add_option("--seconds", fleet.seconds, "of the schedule (default 10)")
      ->check(CLI::Range(1.0, 3600.0));
  peers->add_option("--loss", fleet.loss, "share of datagrams, each way")->check(CLI::Range(0.0, 0.9));
  peers->add_option("--jobs", fleet.jobs, "seeds at once, in the twin (default 4)")->check(CLI::Range(1, 64));
  peers->add_flag("--bytes", fleet.bytes, "count bytes too, in the twin");
  peers->add_flag("--trace", fleet.trace, "a line for each message, in the twin");
  peers->add_flag("--processes", fleet.processes,
                  "real processes and links between them, one seed after another");
  peers->add_option("--router", fleet.router, "the router program (default: peatbend beside this one)");
  peers->add_option("--folder", fleet.folder, "for configurations and logs; kept where something went wrong");
  peers->add_option("--json", fleet.json, "write all figures there");
  peers->add_option("--report", fleet.report, "write a page with plots into this folder");
  CLI11_PARSE(app, argc, argv);
  try {
    if (*run) return Run(options);
    if (*compare) return Compare(options);
    if (*soak) return Soak(options);
    if (*list) return List();
    if (*explain) return Explain(options);
    if (*peers) {
      fleet.router = RouterBeside(fleet.router);
      RunFolder own(fleet.folder);
      fleet.folder = own.path();
      bool fine = lab::PlayPeers(fleet);
      if (!fine) own.Keep();
      return fine ? 0 : 1;
    }
    RunFolder folder("");
    if (*at_rest) {
      rest.router = RouterBeside(rest.router);
      rest.folder = folder.path();
      std::fputs(lab::CompareAtRest(rest).c_str(), stdout);
      return 0;
    }
    if (*ration_costs) {
      rationed.router = RouterBeside(rationed.router);
      rationed.folder = folder.path();
      if (part.empty() || part == "pairs") lab::PrintPairs(rationed);
      if (part.empty() || part == "messages") lab::PrintMessages(rationed);
      if (part.empty() || part == "memory") lab::PrintMemory(rationed);
      return 0;
    }
    costs.router = RouterBeside(options.router);
    costs.folder = folder.path();
    std::fputs(lab::Bench(costs).c_str(), stdout);
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "peatbend-lab: %s\n", error.what());
    return 1;
  }
}

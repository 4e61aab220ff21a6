#include "lab/peers_command.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "processes/schedules.h"
#include "twin/schedules.h"

namespace peatbend::lab {
namespace {

using nlohmann::json;

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) return -1;
  std::ranges::sort(values);
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

// What all seeds of one size come to.
struct Sum {
  std::size_t nodes = 0, runs = 0, false_deaths = 0, not_noticed = 0, not_agreed = 0;
  std::vector<double> noticed_ms, agreed_s;
  double datagrams_s = 0, bytes_s = 0, cpu_percent = 0, peak_mb = 0, worst_late_ms = 0;
  std::vector<std::string> broken;  // with the seed
  double Each(double sum) const { return sum / static_cast<double>(std::max<std::size_t>(1, runs)); }
  bool fine() const { return broken.empty() && not_noticed == 0 && not_agreed == 0; }
};

void PlayTwin(const PeersOptions& options, std::size_t nodes, std::uint64_t seed, Sum& sum,
              std::mutex& mutex) {
  twin::Setup setup;
  setup.nodes = nodes;
  setup.seed = seed;
  setup.links.loss = options.loss;
  setup.count_bytes = options.bytes;
  auto which = std::ranges::find(twin::kScheduleNames, options.schedule);
  auto schedule = static_cast<twin::Schedule>(which - std::begin(twin::kScheduleNames));
  std::function<void(const std::string&)> trace;
  if (options.trace) trace = [](const std::string& line) { std::puts(line.c_str()); };
  twin::Outcome one = twin::Play(setup, schedule, world::FromSeconds(options.seconds), trace);
  std::lock_guard lock(mutex);
  ++sum.runs;
  sum.noticed_ms.insert(sum.noticed_ms.end(), one.noticed_ms.begin(), one.noticed_ms.end());
  sum.not_noticed += one.all_noticed ? 0 : 1;
  sum.false_deaths += one.false_deaths;
  sum.datagrams_s += one.datagrams_s;
  sum.bytes_s += one.bytes_s;
  if (schedule == twin::Schedule::kSplit || schedule == twin::Schedule::kRandom) {
    if (one.agreed_s >= 0) sum.agreed_s.push_back(one.agreed_s);
    if (one.agreed_s < 0) {
      ++sum.not_agreed;
      sum.broken.push_back(fmt::format("seed {}: views differ: {}", seed, one.difference));
    }
  }
  if (one.join_s < 0) sum.broken.push_back(fmt::format("seed {}: never joined", seed));
  for (const twin::Broken& rule : one.broken)
    sum.broken.push_back(fmt::format("seed {}: {}: {}", seed, rule.rule, rule.text));
}

void PlayProcesses(const PeersOptions& options, std::size_t nodes, std::uint64_t seed, Sum& sum) {
  processes::Setup setup;
  setup.program = options.router;
  setup.folder = fmt::format("{}/{}-{}", options.folder, nodes, seed);
  setup.processes = nodes;
  setup.seed = seed;
  setup.loss = options.loss;
  setup.seconds = options.seconds;
  auto play = options.schedule == "kill"    ? processes::PlayKill
              : options.schedule == "stall" ? processes::PlayStall
              : options.schedule == "split" ? processes::PlaySplit
              : options.schedule == "calm"  ? processes::PlayCalm
                                            : processes::PlayRandom;
  processes::Outcome one = play(setup);
  ++sum.runs;
  sum.noticed_ms.insert(sum.noticed_ms.end(), one.noticed_ms.begin(), one.noticed_ms.end());
  sum.not_noticed += one.all_noticed ? 0 : 1;
  sum.false_deaths += one.false_deaths;
  if (one.agreed_s) sum.agreed_s.push_back(*one.agreed_s);
  if (!one.agreed_s) ++sum.not_agreed;
  sum.cpu_percent += one.cpu_percent;
  sum.peak_mb = std::max(sum.peak_mb, one.peak_mb);
  sum.worst_late_ms = std::max(sum.worst_late_ms, one.worst_late_ms);
  for (const std::string& text : one.broken) sum.broken.push_back(fmt::format("seed {}: {}", seed, text));
  for (const std::string& name : one.crashed)
    sum.broken.push_back(fmt::format("seed {}: {} crashed", seed, name));
  if (!one.difference.empty())
    sum.broken.push_back(fmt::format("seed {}: views differ: {}", seed, one.difference));
  if (one.broken.empty() && one.crashed.empty() && one.difference.empty())
    std::filesystem::remove_all(setup.folder);
}

std::string Line(const Sum& sum) {
  std::string line = fmt::format("{:>5} nodes, {} seeds:", sum.nodes, sum.runs);
  if (!sum.noticed_ms.empty())
    line += fmt::format(" noticed p50 {:.0f} p99 {:.0f} max {:.0f} ms;", Quantile(sum.noticed_ms, 0.5),
                        Quantile(sum.noticed_ms, 0.99), Quantile(sum.noticed_ms, 1));
  if (!sum.agreed_s.empty())
    line += fmt::format(" agreed p50 {:.2f} max {:.2f} s;", Quantile(sum.agreed_s, 0.5),
                        Quantile(sum.agreed_s, 1));
  line += fmt::format(" false deaths {}; not noticed {}, not agreed {};", sum.false_deaths, sum.not_noticed,
                      sum.not_agreed);
  if (sum.datagrams_s > 0) line += fmt::format(" {:.1f} datagrams", sum.Each(sum.datagrams_s));
  if (sum.bytes_s > 0) line += fmt::format(" of {:.0f} bytes", sum.Each(sum.bytes_s));
  if (sum.datagrams_s > 0) line += " a second and node;";
  if (sum.peak_mb > 0)
    line +=
        fmt::format(" CPU {:.2f} % of a core and {:.1f} MB a process; rig late by {:.0f} ms at the worst;",
                    sum.Each(sum.cpu_percent), sum.peak_mb, sum.worst_late_ms);
  line += fmt::format(" broken {}", sum.broken.size());
  return line;
}

json ToJson(const Sum& sum) {
  return {{"nodes", sum.nodes},
          {"seeds", sum.runs},
          {"false_deaths", sum.false_deaths},
          {"not_noticed", sum.not_noticed},
          {"not_agreed", sum.not_agreed},
          {"noticed_ms", sum.noticed_ms},
          {"agreed_s", sum.agreed_s},
          {"datagrams_s", sum.Each(sum.datagrams_s)},
          {"bytes_s", sum.Each(sum.bytes_s)},
          {"cpu_percent", sum.Each(sum.cpu_percent)},
          {"peak_mb", sum.peak_mb},
          {"broken", sum.broken}};
}

// Shares of processes that had noticed by then, a line for each size; and what a node sends, by size.
std::string Page(const PeersOptions& options, const std::vector<Sum>& sums) {
  constexpr const char* kColours[] = {"#2f6fbf", "#c2502e", "#2d8a57", "#8446a6", "#8a7a1f", "#555"};
  std::string page = fmt::format(
      "<!doctype html><meta charset=utf-8><title>Peers: {0}</title><style>body{{font:14px "
      "sans-serif;max-width:900px;"
      "margin:2em auto}}svg text{{font:11px sans-serif}}td,th{{padding:2px 10px;text-align:right}}</style>"
      "<h1>Routers that know each other: {0}, loss {1:g}</h1>",
      options.schedule, options.loss);
  bool kills = std::ranges::any_of(sums, [](const Sum& sum) { return !sum.noticed_ms.empty(); });
  if (kills) {
    page +=
        "<figure><figcaption>Share of processes that have noticed the kill</figcaption><svg viewBox='0 0 900 "
        "260'>";
    double most = 1000;
    for (const Sum& sum : sums) most = std::max(most, Quantile(sum.noticed_ms, 1));
    for (int i = 0; i <= 4; ++i) {
      page += fmt::format(
          "<line x1=50 x2=850 y1={0} y2={0} stroke='#ddd'/><text x=44 y={1} text-anchor=end>{2} %</text>"
          "<text x={3:.0f} y=245 text-anchor=middle>{4:.0f} ms</text>",
          220 - 50 * i, 224 - 50 * i, 25 * i, 50 + 200.0 * i, most * i / 4);
    }
    for (std::size_t s = 0; s < sums.size(); ++s) {
      std::vector<double> sorted = sums[s].noticed_ms;
      std::ranges::sort(sorted);
      std::string path = "M50,220";
      for (std::size_t i = 0; i < sorted.size(); i += std::max<std::size_t>(1, sorted.size() / 400)) {
        path += fmt::format(" L{:.1f},{:.1f}", 50 + 800 * sorted[i] / most,
                            220 - 200.0 * static_cast<double>(i + 1) / static_cast<double>(sorted.size()));
      }
      const char* colour = kColours[s % std::size(kColours)];
      page += fmt::format(
          "<path d='{}' fill=none stroke='{}' stroke-width=2 /><text x=60 y={} fill='{}'>{} nodes</text>",
          path, colour, 20 + 14 * s, colour, sums[s].nodes);
    }
    page += "</svg></figure>";
  }
  double most = 0;
  for (const Sum& sum : sums) most = std::max(most, sum.Each(sum.datagrams_s));
  if (most > 0) {
    page += "<figure><figcaption>Datagrams that a node sends in a second</figcaption><svg viewBox='0 0 900 ";
    page += fmt::format("{}'>", 10 + 22 * sums.size());
    for (std::size_t s = 0; s < sums.size(); ++s) {
      double each = sums[s].Each(sums[s].datagrams_s);
      page += fmt::format(
          "<text x=80 y={0} text-anchor=end>{1} nodes</text><rect x=90 y={2} width={3:.0f} height=14 "
          "fill='{4}'/>"
          "<text x={5:.0f} y={0}>{6:.1f}</text>",
          20 + 22 * s, sums[s].nodes, 9 + 22 * s, 700 * each / most, kColours[s % std::size(kColours)],
          96 + 700 * each / most, each);
    }
    page += "</svg></figure>";
  }
  auto orNone = [](double value, bool there, int digits) {
    return there ? fmt::format("{:.{}f}", value, digits) : std::string("&ndash;");
  };
  page +=
      "<table><tr><th>nodes<th>seeds<th>noticed p50, p99, ms<th>agreed at most, s<th>false "
      "deaths<th>datagrams/s<th>bytes/s";
  for (const Sum& sum : sums) {
    page += fmt::format("<tr><td>{}<td>{}<td>{}, {}<td>{}<td>{}<td>{}<td>{}", sum.nodes, sum.runs,
                        orNone(Quantile(sum.noticed_ms, 0.5), !sum.noticed_ms.empty(), 0),
                        orNone(Quantile(sum.noticed_ms, 0.99), !sum.noticed_ms.empty(), 0),
                        orNone(Quantile(sum.agreed_s, 1), !sum.agreed_s.empty(), 2), sum.false_deaths,
                        orNone(sum.Each(sum.datagrams_s), sum.datagrams_s > 0, 1),
                        orNone(sum.Each(sum.bytes_s), sum.bytes_s > 0, 0));
  }
  return page + "</table>\n";
}

void Write(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text << "\n";
  if (!file.flush()) throw std::runtime_error("cannot write " + path);
}

}  // namespace

bool PlayPeers(const PeersOptions& options) {
  std::vector<Sum> sums;
  bool fine = true;
  for (std::size_t nodes : options.nodes) {
    Sum sum;
    sum.nodes = nodes;
    if (options.processes) {
      for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed)
        PlayProcesses(options, nodes, seed, sum);
    } else {
      std::atomic<std::uint64_t> next = options.seed;
      std::mutex mutex;
      std::vector<std::thread> threads;
      for (std::size_t job = 0; job < (options.trace ? 1 : options.jobs); ++job) {
        threads.emplace_back([&] {
          for (std::uint64_t seed; (seed = next++) < options.seed + options.seeds;)
            PlayTwin(options, nodes, seed, sum, mutex);
        });
      }
      for (std::thread& thread : threads) thread.join();
    }
    std::puts(Line(sum).c_str());
    std::fflush(stdout);
    std::ranges::sort(sum.broken);
    for (std::size_t i = 0; i < std::min<std::size_t>(10, sum.broken.size()); ++i)
      std::printf("  %s\n", sum.broken[i].c_str());
    fine = fine && sum.fine();
    sums.push_back(std::move(sum));
  }
  json all = json::array();
  for (const Sum& sum : sums) all.push_back(ToJson(sum));
  if (!options.json.empty()) Write(options.json, all.dump(1));
  if (!options.report.empty()) {
    std::filesystem::create_directories(options.report);
    Write(options.report + "/peers.html", Page(options, sums));
    std::printf("  report: %s/peers.html\n", options.report.c_str());
  }
  return fine;
}

}  // namespace peatbend::lab

#include "lab/at_rest.h"

#include <fmt/format.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <vector>

#include "lab/bench_config.h"
#include "lab/compare.h"
#include "processes/router_process.h"

namespace peatbend::lab {
namespace {

namespace fs = std::filesystem;

constexpr const char* kHost = "127.9.0.4";
constexpr auto kSettles = std::chrono::seconds(2);

constexpr std::array kWhat = {"descriptors",       "sockets",          "threads",
                              "wake-ups a second", "CPU, us a second", "resident memory, KB"};
using Figures = std::array<double, kWhat.size()>;

// The number behind a name in /proc/PID/status; of all threads, where `each`.
double Status(const fs::path& proc, const std::string& name, bool each) {
  std::vector<fs::path> files;
  if (each) {
    for (const auto& thread : fs::directory_iterator(proc / "task"))
      files.push_back(thread.path() / "status");
  } else {
    files.push_back(proc / "status");
  }
  double sum = 0;
  for (const fs::path& path : files) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(name + ":")) sum += std::stod(line.substr(name.size() + 1));
    }
  }
  return sum;
}

Figures Look(const AtRest& options, const std::string& program, const EchoFleet& members, int number) {
  std::string folder = fmt::format("{}/router-{}", options.folder, number);
  processes::RouterProcess process(program, "", folder,
                                   fmt::format("{}:{}", kHost, processes::FreePort(kHost)));
  nlohmann::json config = BenchConfig(members);
  config["name"] = "rests";
  config["listen"] = process.address();
  process.Write(config.dump());
  process.Start();
  std::this_thread::sleep_for(kSettles);
  fs::path proc = fmt::format("/proc/{}", process.pid());
  if (!fs::exists(proc / "task"))
    throw std::runtime_error(program + " ended at its start; its log is in " + folder);
  constexpr const char* kSwitches = "voluntary_ctxt_switches";
  Figures figures{};
  process.Sample();
  double cpu = process.Used().cpu_s, switches = Status(proc, kSwitches, true);
  std::this_thread::sleep_for(std::chrono::duration<double>(options.seconds));
  process.Sample();
  for (const auto& one : fs::directory_iterator(proc / "fd")) {
    ++figures[0];
    std::error_code gone;
    if (fs::read_symlink(one.path(), gone).string().starts_with("socket:")) ++figures[1];
  }
  figures[2] = Status(proc, "Threads", false);
  figures[3] = (Status(proc, kSwitches, true) - switches) / options.seconds;
  figures[4] = 1e6 * (process.Used().cpu_s - cpu) / options.seconds;
  figures[5] = Status(proc, "VmRSS", false);
  return figures;
}

}  // namespace

std::string CompareAtRest(const AtRest& options) {
  EchoFleet members(10);
  std::array<std::array<std::vector<double>, kWhat.size()>, 2> values;
  int number = 0;
  for (int round = 0; round < options.rounds; ++round) {
    for (int one : {round % 2, 1 - round % 2}) {
      Figures figures = Look(options, one == 0 ? options.router : options.other, members, number++);
      for (std::size_t i = 0; i < kWhat.size(); ++i) values[one][i].push_back(figures[i]);
    }
  }
  std::string text =
      fmt::format("{} rounds of {:g} s in turns, nobody asks\n", options.rounds, options.seconds);
  for (std::size_t i = 0; i < kWhat.size(); ++i) {
    Difference d = Interval(kWhat[i], values[0][i], values[1][i]);
    text +=
        fmt::format("  {:<20} A {:9.1f} +- {:<7.1f} B {:9.1f} +- {:<7.1f} difference {:+9.1f} +- {:.1f}\n",
                    d.name, d.mean_a, d.half_a, d.mean_b, d.half_b, d.difference, d.half_width);
  }
  return text;
}

}  // namespace peatbend::lab

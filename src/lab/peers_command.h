// `peatbend-lab peers`: fleets of routers that know each other, in the twin or as processes, under faults.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peatbend::lab {

struct PeersOptions {
  std::vector<std::size_t> nodes{50};
  std::uint64_t seed = 1;
  std::size_t seeds = 10, jobs = 4;
  double loss = 0, seconds = 10;
  std::string schedule = "kill";
  bool processes = false, bytes = false, trace = false;
  std::string router, folder, json, report;
};

// Plays, prints a line for each size, writes what was asked for. True if nothing was broken.
bool PlayPeers(const PeersOptions& options);

}  // namespace peatbend::lab

// What befalls a fleet of real processes, and what is measured of it; the twin's schedules on sockets.
#pragma once

#include <string>
#include <vector>

#include "processes/peer_fleet.h"

namespace peatbend::processes {

struct Outcome {
  std::uint64_t seed = 0;
  std::vector<double> noticed_ms;  // kill: from the signal to each other process's belief
  bool all_noticed = true;
  std::optional<double> agreed_s;  // from the last fault's end to views that agree
  std::size_t false_deaths = 0;    // of processes that nothing had befallen
  std::vector<std::string> crashed, broken;
  std::string difference;
  double cpu_percent = 0, peak_mb = 0;  // of a process: the mean, the most
  int descriptors = 0;
  double worst_late_ms = 0;  // of the rig's own relays
};

struct Setup {
  std::string program, folder;
  std::size_t processes = 5;
  std::uint64_t seed = 1;
  double loss = 0;
  double seconds = 10;
};

// Each starts a fleet of its own and ends it.
Outcome PlayKill(const Setup& setup);
Outcome PlayStall(const Setup& setup);   // one stands still for 1 s every 3 s
Outcome PlaySplit(const Setup& setup);   // halves, for `seconds`
Outcome PlayRandom(const Setup& setup);  // kills, restarts, stalls, cuts, one-way cuts, holds, resets
Outcome PlayCalm(const Setup& setup);

}  // namespace peatbend::processes

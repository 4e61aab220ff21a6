// What befalls the twin's fleet, and what is measured of it. A run is a function of its setup alone.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "twin/fleet.h"

namespace peatbend::twin {

enum class Schedule { kCalm, kKill, kStall, kSplit, kRandom };
constexpr const char* kScheduleNames[] = {"calm", "kill", "stall", "split", "random"};

struct Outcome {
  std::uint64_t seed = 0;
  std::vector<double> noticed_ms;  // kill: by each other process
  bool all_noticed = true;
  double agreed_s =
      -1;  // split, random: from the last fault's end to views that agree; -1: not within the time
  std::size_t false_deaths = 0;
  double datagrams_s = 0, bytes_s = 0;  // a node and second, once all had joined
  double join_s = -1;                   // until the views first agreed
  std::vector<Broken> broken;
  std::string difference;
  std::uint64_t fingerprint = 0;  // of all that was sent
};

// `trace`: gets a line for each message and change.
Outcome Play(const Setup& setup, Schedule schedule, Duration length,
             const std::function<void(const std::string&)>& trace = {});

}  // namespace peatbend::twin

// What both ways to run a day share: the caches as they stand at its start, and counts by second.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/plan.h"
#include "lab/tally.h"
#include "world/fleet.h"

namespace peatbend::lab {

// Each server holds the popular keys that the Maglev table of some zone's routers points to it, as after a
// day of such traffic.
void FillCaches(world::Fleet& fleet, const Scenario& scenario, const Plan& plan);

class LoadCounter {
 public:
  void Count(int place, Time at) {
    auto second = static_cast<std::size_t>(world::Seconds(at));
    if (place < 0) {
      if (counts_.origin.size() <= second) counts_.origin.resize(second + 1);
      ++counts_.origin[second];
      return;
    }
    CountAt(counts_.members, place, second);
  }
  // A connection accepted by a member.
  void CountDial(int place, Time at) {
    CountAt(counts_.dials, place, static_cast<std::size_t>(std::max(0.0, world::Seconds(at))));
  }
  WorldCounts Read(world::Fleet& fleet) {
    for (int place = 0; place < fleet.places(); ++place) {
      counts_.worked += fleet.server(place).worked;
      counts_.wasted += fleet.server(place).wasted;
    }
    return counts_;
  }

 private:
  static void CountAt(std::vector<std::vector<double>>& seconds, int place, std::size_t second) {
    if (seconds.size() <= second) seconds.resize(second + 1);
    auto& places = seconds[second];
    if (places.size() <= static_cast<std::size_t>(place)) places.resize(static_cast<std::size_t>(place) + 1);
    ++places[static_cast<std::size_t>(place)];
  }

  WorldCounts counts_;
};

}  // namespace peatbend::lab

// The day's requests, drawn ahead: each has the moment at which its client means to send it, whatever the
// routers do (open loop). Retries come later, from what clients are told.
#pragma once

#include <string>
#include <vector>

#include "lab/scenario.h"

namespace peatbend::lab {

struct Planned {
  Time at{};
  int key = 0, cls = 0, tenant = 0;
  int router = 0;  // where its client's own router is
  int client = 0;  // where clients have addresses of their own
  double work_ms = 0;
  Payload payload;
};

struct Plan {
  std::vector<std::string> keys;  // 16 hex digits each, the most popular first
  std::vector<Planned> requests;  // by time
};

// The same for the same scenario and seed, on every machine of one library.
Plan DrawPlan(const Scenario& scenario, std::uint64_t seed);

}  // namespace peatbend::lab

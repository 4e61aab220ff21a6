// A day on sockets: real router processes among stand-ins, on loopback addresses, in real time.
#pragma once

#include <functional>
#include <string>

#include "lab/tally.h"

namespace peatbend::lab {

struct SocketOptions {
  std::string router;      // the program
  std::string own_config;  // a TOML file that it is given; empty: none
  std::string folder;      // for configurations and logs; must not be in use
  // Called each second with the second, requests planned so far, and requests open.
  std::function<void(int, std::uint64_t, std::uint64_t)> progress;
};

// Throws std::runtime_error where the day cannot begin: a router that does not start, no port.
DayResult RunOnSockets(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options);

}  // namespace peatbend::lab

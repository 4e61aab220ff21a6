// What routers say they see of their fleet, asked at their operators' addresses.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peatbend::processes {

using Clock = std::chrono::steady_clock;

// How one process sees the fleet.
struct View {
  struct Of {
    std::string state;
    std::uint64_t life = 0;
    double for_ms = 0;
  };
  std::string name, phase, standing;
  std::uint64_t life = 0;
  std::map<std::string, Of> members;
  Clock::time_point asked;
};

// Nothing where it does not answer. Blocks, for 2 s at most.
std::optional<View> AskView(const std::string& admin);
// What DUMP says there, up to the first point of a name taken off. Throws std::runtime_error.
std::map<std::string, std::uint64_t> AskFigures(const std::string& admin);
// How the routers at these addresses differ in who is there; empty: each is a member and holds just the
// others for present, each in its present life.
std::string DifferenceAmong(const std::vector<std::string>& admins);

}  // namespace peatbend::processes

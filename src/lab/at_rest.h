// What two builds of the router hold and do while nobody asks for anything, in turns.
#pragma once

#include <string>

namespace peatbend::lab {

struct AtRest {
  std::string router, other;  // the programs
  std::string folder;         // for configurations and logs
  double seconds = 5;         // that each is looked at
  int rounds = 5;             // at least 2
};

// A table in text; differences have 95 % intervals. Throws std::runtime_error.
std::string CompareAtRest(const AtRest& options);

}  // namespace peatbend::lab

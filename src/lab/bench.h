// What the router costs: the same closed-loop clients through it and straight to the same members, in turns,
// in one run. Figures are ratios first; the absolute ones are this machine's.
#pragma once

#include <string>

namespace peatbend::lab {

struct BenchOptions {
  std::string router;  // the program
  std::string folder;  // for its configuration and log
  double seconds = 3;  // of each measurement
  int rounds = 3;
  int clients = 32;
};

// A table in text, with the median and the spread over the rounds. Throws std::runtime_error.
std::string Bench(const BenchOptions& options);

}  // namespace peatbend::lab

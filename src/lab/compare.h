// Two ways compared on the same days: pairs of runs with one seed each, and the difference with its 95 %
// interval (Student's t over the pairs).
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/tally.h"

namespace peatbend::lab {

struct Difference {
  std::string name;
  double mean_a = 0, mean_b = 0, difference = 0, half_width = 0;  // b - a, and the interval's half
  double half_a = 0, half_b = 0;                                  // of the means' own intervals
  bool clear() const { return difference - half_width > 0 || difference + half_width < 0; }
};

struct Comparison {
  int pairs = 0;
  std::vector<Difference> differences;
  std::uint64_t broken_a = 0, broken_b = 0;
  std::vector<std::string> breaches;  // a line for each day and rule of these
  double lag_ms = 0;                  // see DayResult; the worst of all days
};

// `pairs` at least 2. Beside what all days have: a row for each figure of a limit that both sides have, by
// name.
using RunDay = std::function<DayResult(std::uint64_t seed)>;
Comparison Compare(const RunDay& a, const RunDay& b, int pairs, std::uint64_t first_seed);
// The mean of the values with the half width of its 95 % interval.
Difference Interval(const std::string& name, const std::vector<double>& a, const std::vector<double>& b);
std::string Describe(const Comparison& comparison);

}  // namespace peatbend::lab

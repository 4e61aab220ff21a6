// A day in simulated time: the decision module driven directly, with the world as its network. As fast as the
// machine allows, and the same to the last digit for the same scenario and seed.
#pragma once

#include "lab/tally.h"

namespace peatbend::lab {

DayResult RunVirtually(const Scenario& scenario, std::uint64_t seed);

}  // namespace peatbend::lab

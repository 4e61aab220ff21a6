// The facts of a request: a list of names and values ("c=read,t=acme,d=480") that clients send and servers
// read.
#pragma once

#include <string>
#include <string_view>

#include "peatbend/balancer.h"

namespace peatbend::net {

// Finds the first value of `name`; `value` points into `facts`. Returns false if there is none.
bool FindFact(std::string_view facts, std::string_view name, std::string_view& value);
// The list with `d`, the remaining time, set to `remaining` in whole milliseconds, at least 1. All other
// bytes are unchanged.
std::string WithRemainingTime(std::string_view facts, Duration remaining);

}  // namespace peatbend::net

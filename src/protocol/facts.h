// A request's list of names and values ("c=read,t=acme,d=480"), as clients write it and members read it.
#pragma once

#include <string>
#include <string_view>

#include "peatbend/balancer.h"

namespace peatbend::net {

// The value of `name` in a list such as "c=read,t=acme"; false if it is not there.
bool FindFact(std::string_view facts, std::string_view name, std::string_view& value);
// The list with d set to this many milliseconds, all else byte for byte as it was.
std::string WithLimit(std::string_view facts, Duration limit);

}  // namespace peatbend::net

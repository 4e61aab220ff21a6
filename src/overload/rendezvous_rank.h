// Orders routers by rendezvous hashing, so that all routers agree on an order without communication.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "overload/priority.h"

namespace peatbend::overload {

// Returns how many of the routers in `present` come before `self` in the order for `task`.
inline std::uint32_t RendezvousRank(const std::string& self, const std::vector<std::string>& present,
                                    const std::string& task) {
  auto weight = [&](const std::string& router) { return std::pair(HashId(task + router), router); };
  auto own = weight(self);
  return static_cast<std::uint32_t>(
      std::ranges::count_if(present, [&](const std::string& router) { return weight(router) > own; }));
}

}  // namespace peatbend::overload

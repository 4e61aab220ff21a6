// A limit on the sockets that the program may have open, those of clients and of members together.
#pragma once

#include <cstddef>

namespace peatbend::net {

struct SocketBudget {
  std::size_t max = 1024;             // that may be open now
  std::size_t in_use = 0;             // that are open
  std::size_t configured_max = 1024;  // by the deployment, for all descriptors of the program
};

}  // namespace peatbend::net

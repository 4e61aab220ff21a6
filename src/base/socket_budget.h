// How many sockets the program may hold, and holds: clients' and pool members' together.
#pragma once

#include <cstddef>

namespace peatbend::net {

struct SocketBudget {
  std::size_t most = 1024;
  std::size_t held = 0;
  std::size_t limit = 1024;  // of the deployment, for all that the program holds
};

}  // namespace peatbend::net

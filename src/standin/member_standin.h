// A cache server's stand-in: the world's CacheServer behind RESP2 on sockets, one port for each router, so
// that the way between their data centres and the router that sends are known.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include "standin/port.h"
#include "standin/pulse.h"
#include "standin/witness.h"
#include "world/fleet.h"

namespace peatbend::standin {

class MemberStandin {
 public:
  // `router_zones`: the zone of each router.
  MemberStandin(Pulse& pulse, world::Fleet& fleet, int place, const std::vector<int>& router_zones,
                Witness& witness);
  ~MemberStandin();

  std::string AddressFor(int router) const { return ports_[static_cast<std::size_t>(router)]->address(); }
  void Changed(world::Change change);  // what the world did to it

 private:
  class Connection;
  void Accepted(int router, evutil_socket_t socket);
  void End(Connection& connection);
  // Loses the start of that share of the connections, by falling silent for that share of the time: what is
  // lost comes again only after a second, as the system retransmits it.
  void LoseDials(std::size_t router);

  Pulse& pulse_;
  world::Fleet& fleet_;
  int place_;
  std::vector<int> router_zones_;
  Witness& witness_;
  world::Random random_;
  std::vector<std::unique_ptr<Port>> ports_;
  std::list<std::shared_ptr<Connection>> connections_;
};

}  // namespace peatbend::standin

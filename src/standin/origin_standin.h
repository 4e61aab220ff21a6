// The origin's stand-in: the world's Origin behind HTTP/1.1, one port for each router.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "standin/http_server.h"
#include "standin/pulse.h"
#include "standin/witness.h"
#include "world/fleet.h"

namespace peatbend::standin {

class OriginStandin {
 public:
  OriginStandin(Pulse& pulse, world::Fleet& fleet, const std::vector<int>& router_zones, Witness& witness);
  std::string AddressFor(int router) const { return doors_[static_cast<std::size_t>(router)]->address; }

 private:
  struct Door {
    OriginStandin* home;
    int router;
    EvhttpPtr http;
    std::string address;
  };
  void Take(int router, evhttp_request* request);

  Pulse& pulse_;
  world::Fleet& fleet_;
  std::vector<int> router_zones_;
  Witness& witness_;
  std::vector<std::unique_ptr<Door>> doors_;
};

// Binds `http` to a port that the system picks; "HOST:PORT". Throws std::runtime_error.
std::string BindAnywhere(evhttp* http, const std::string& host);

}  // namespace peatbend::standin

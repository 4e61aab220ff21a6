// Discovery's stand-in: the world's list over HTTP/1.1, with watches, one port for each router.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standin/http_server.h"
#include "standin/pulse.h"
#include "standin/witness.h"
#include "world/fleet.h"

namespace peatbend::standin {

class DiscoveryStandin {
 public:
  // `address_of`: where a router reaches the server at a place (-1: the origin).
  using AddressOf = std::function<std::string(int place, int router)>;
  DiscoveryStandin(Pulse& pulse, world::Fleet& fleet, int routers, AddressOf address_of, Witness& witness);
  ~DiscoveryStandin();

  std::string AddressFor(int router) const { return doors_[static_cast<std::size_t>(router)]->address; }
  // The list in discovery's form as a router would be given it now.
  std::string Whole(int router) const;
  void Changed(const world::Listing& listing);
  void EndWatches();
  // Serves at new addresses; the old ones accept no more at once and end their watches after a while.
  void Move(world::Span ends_after);

 private:
  struct Door {
    DiscoveryStandin* home;
    int router;
    EvhttpPtr http;
    std::string address;
    std::vector<std::shared_ptr<Waiting>> watches;
  };
  std::unique_ptr<Door> Open(int router);
  void Take(Door& door, evhttp_request* request);
  void Heartbeat();
  std::string Lines(int router, std::int64_t index, bool whole,
                    const std::vector<world::Listing>& listings) const;

  Pulse& pulse_;
  world::Fleet& fleet_;
  AddressOf address_of_;
  Witness& witness_;
  std::vector<std::unique_ptr<Door>> doors_, old_;
  net::Timer heartbeat_;
};

}  // namespace peatbend::standin

// Paces the connections of the fleet to a cache server that is new or available again. Each router waits
// according to its rank in an order that all routers compute alike, so no messages are needed and none can be
// lost. Contains no I/O and reads no clock; not thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "overload/load_signal.h"

namespace peatbend::overload {

class ReconnectPacing {
 public:
  struct Options {
    // Routers that start to connect to one server; more if max_delay is too short for that.
    double routers_per_second = 20;
    Duration max_delay = std::chrono::seconds{10};  // upper bound of the delay of a router
    // The routers are spread over at least the length of the outage, up to this.
    Duration max_ramp = std::chrono::seconds{4};
  };
  ReconnectPacing(std::string self, Options options) : options_(options), self_(std::move(self)) {}

  // The member is available again after `outage`; `event` identifies this event and is the same at all
  // routers. Returns true if this router must wait until DrainDue() returns the member, false if it may
  // connect at once.
  bool Schedule(TimePoint now, const std::string& member, const std::string& event, Duration outage,
                const std::vector<std::string>& others);
  bool IsWaiting(const std::string& member) const { return connect_at_.contains(member); }
  // Stops waiting for the member.
  void Cancel(const std::string& member) { connect_at_.erase(member); }
  // Returns the members whose delay has ended, each once.
  std::vector<std::string> DrainDue(TimePoint now);

 private:
  Options options_;
  std::string self_;
  std::map<std::string, TimePoint> connect_at_;
};

}  // namespace peatbend::overload

// What the stage asks of every request before the module hears of it, and tells of its end and of each
// attempt, where overload is handled by the fleet as one. What follows stays the module's. Waits for nobody.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "peatbend/balancer.h"
#include "protocol/request.h"
#include "stage/rationing.h"

namespace peatbend::net {

class Watching {
 public:
  enum class Fate { kValue, kNoRoom, kLost };  // kLost: no answer before its client left or its time ran out
  virtual ~Watching() = default;
  // Judges it, and asks `rationing` (may be null) unless it is shed whatever its ration says. Its work; 0: it
  // is rejected, and nothing more is told of it.
  virtual std::uint64_t Judge(const Request& request, Rationing* rationing, RequestEvent& event) = 0;
  virtual void Ended(std::uint64_t work, int cls, Fate fate, Duration took) = 0;
  // Changes of the server list, as discovery tells them.
  virtual void ServerListChanged(Scope scope, const std::vector<ServerEntry>& entries) = 0;
  // An attempt is about to go there.
  virtual void Sending(std::string_view server) = 0;
  // What the module tells of an ejected member, or of its trial.
  virtual void Tried(const ReportTrial& trial) = 0;
  // Of an attempt that brought a value.
  virtual void Answered(std::string_view server, int cls, Duration elapsed, const LoadReport& load) = 0;
};

}  // namespace peatbend::net

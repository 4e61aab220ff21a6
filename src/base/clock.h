// The clock of the balancer: Unix time read once at program start and advanced by the steady clock, so it
// never goes back. The start times in server lists (Unix milliseconds) need no conversion.
#pragma once

#include <chrono>

#include "peatbend/balancer.h"

namespace peatbend::net {

class Clock {
 public:
  TimePoint Now() const {
    auto elapsed = std::chrono::steady_clock::now() - steady_start_;
    return TimePoint{unix_start_ + std::chrono::duration_cast<Duration>(elapsed)};
  }

 private:
  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  Duration unix_start_ =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace peatbend::net

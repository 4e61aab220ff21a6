// The module's clock: Unix time as it was when the program started, then moved on by the steady clock. So
// the list's start times (Unix milliseconds) are on it as they stand, and it never goes back.
#pragma once

#include <chrono>

#include "peatbend/balancer.h"

namespace peatbend::net {

class Clock {
 public:
  TimePoint Now() const {
    auto gone = std::chrono::steady_clock::now() - steady_start_;
    return TimePoint{unix_start_ + std::chrono::duration_cast<Duration>(gone)};
  }

 private:
  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  Duration unix_start_ =
      std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace peatbend::net

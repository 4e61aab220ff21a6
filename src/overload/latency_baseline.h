// Estimates queueing delay from response times: the time above the minimum of the last one to two minutes for
// the same server and class. Contains no I/O and reads no clock; not thread-safe.
#pragma once

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "overload/load_signal.h"

namespace peatbend::overload {

class LatencyBaseline {
 public:
  // Records a response time and returns how much it exceeds the minimum.
  Duration QueueingDelay(TimePoint now, std::string_view server, int cls, Duration elapsed);

 private:
  static constexpr Duration kPeriod = std::chrono::minutes{1};
  static constexpr std::size_t kMaxEntries = 16384;  // pairs of server and class; then all are discarded
  struct Minimum {
    Duration current = Duration::max(), previous = Duration::max();
    TimePoint period_start{};
  };
  std::map<std::pair<std::string, int>, Minimum, std::less<>> minima_;
};

}  // namespace peatbend::overload

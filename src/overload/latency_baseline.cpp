#include "overload/latency_baseline.h"

#include <algorithm>

namespace peatbend::overload {

Duration LatencyBaseline::QueueingDelay(TimePoint now, std::string_view server, int cls, Duration elapsed) {
  if (minima_.size() >= kMaxEntries) minima_.clear();
  auto [at, is_new] = minima_.try_emplace({std::string(server), cls}, Minimum{.period_start = now});
  Minimum& minimum = at->second;
  if (now - minimum.period_start >= kPeriod) {
    minimum.previous = now - minimum.period_start >= 2 * kPeriod ? Duration::max() : minimum.current;
    minimum.current = Duration::max();
    minimum.period_start = now;
  }
  minimum.current = std::min(minimum.current, elapsed);
  return elapsed - std::min(minimum.current, minimum.previous);
}

}  // namespace peatbend::overload

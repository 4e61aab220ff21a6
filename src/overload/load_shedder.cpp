#include "overload/load_shedder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peatbend::overload {

ShedDecision LoadShedder::Decide(double priority, std::uint64_t work, int tenant, std::uint64_t id) {
  window_.OnArrival(priority, work, tenant);
  double threshold = state().ThresholdOf(tenant);
  if (priority >= threshold) return {};
  // The delay grows with the distance to the threshold and is varied by +-25 %, so that requests rejected
  // together do not return together.
  double depth = std::min(1.0, 2 * (threshold - priority));
  double delay_ns =
      static_cast<double>(options_.min_retry_after.count()) +
      depth * static_cast<double>((options_.max_retry_after - options_.min_retry_after).count());
  double spread = static_cast<double>(id % 1024) / 1024;
  return {true, Duration(std::llround(delay_ns * (0.75 + 0.5 * spread)))};
}

std::optional<LoadSignal> LoadShedder::CloseWindow(TimePoint now, std::vector<TrialUpdate> trials) {
  std::optional<LoadSignal> signal = window_.Close(now);
  if (!signal) return std::nullopt;
  signal->headroom = static_cast<std::uint16_t>(std::lround(state().headroom * 1000));
  signal->trials = std::move(trials);
  controller_.Handle(now, *signal);
  controller_.Update(now);
  signal->headroom = static_cast<std::uint16_t>(std::lround(state().headroom * 1000));
  return signal;
}

}  // namespace peatbend::overload

// Load shedding of one router: measures its own load in windows, and rejects requests below the threshold
// that it computes from the load signals of all routers. Contains no I/O and reads no clock; not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "overload/load_signal.h"
#include "overload/load_window.h"
#include "overload/threshold_controller.h"

namespace peatbend::overload {

struct ShedDecision {
  bool shed = false;
  Duration retry_after{};  // if shed: when the client should retry, with jitter
};

class LoadShedder {
 public:
  struct Options {
    ThresholdController::Options controller;
    Duration min_retry_after = std::chrono::seconds{1};  // just below the threshold
    Duration max_retry_after = std::chrono::seconds{4};  // far below the threshold
  };
  // `process`: random and unique to this process. `shares`: the weight of each tenant; empty: tenants are not
  // distinguished.
  LoadShedder(Options options, std::uint64_t process, std::vector<double> shares, TimePoint now)
      : options_(options), window_(process, now), controller_(options.controller, std::move(shares)) {}

  // Counts a new request in the current window and decides whether to shed it. Called once per request. `id`:
  // source of the jitter.
  ShedDecision Decide(double priority, std::uint64_t work, int tenant, std::uint64_t id);
  LoadWindow& window() { return window_; }

  // Handles the signal of another router. Returns false for duplicates and outdated signals.
  bool Handle(TimePoint now, const LoadSignal& signal) { return controller_.Handle(now, signal); }
  // If the window has ended, updates the threshold and returns the signal for all other routers.
  std::optional<LoadSignal> CloseWindow(TimePoint now, std::vector<TrialUpdate> trials = {});
  TimePoint due() const { return window_.due(); }
  const SheddingState& state() const { return controller_.state(); }

 private:
  Options options_;
  LoadWindow window_;
  ThresholdController controller_;
};

}  // namespace peatbend::overload

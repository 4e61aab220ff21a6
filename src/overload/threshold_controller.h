// Computes the shedding threshold of the fleet. Each router computes it on its own from the load signals that
// it has received, including its own; there is no agreement protocol.
//
// The admitted work is limited to the recently served work times the headroom. The headroom is reduced during
// overload, so that queues drain, and grows otherwise. Signals carry the sender's headroom, and each router
// continues from the mean, so that the routers converge. The weight of a router that is no longer heard from
// fades out; a router that receives no signals uses its own. Contains no I/O and reads no clock; not
// thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "overload/load_signal.h"

namespace peatbend::overload {

struct SheddingState {
  double threshold = 0;  // requests with a lower priority are rejected; 0: none
  double headroom = 1;
  double arrived = 0, served = 0;  // work of all routers in us/s
  bool overloaded = false;
  std::size_t routers = 0;  // number of routers whose signals count
  // Thresholds of tenants with shares; they differ from `threshold` only within its band.
  std::map<int, double> tenant_thresholds;
  double ThresholdOf(int tenant) const {
    auto at = tenant_thresholds.find(tenant);
    return at == tenant_thresholds.end() ? threshold : at->second;
  }
};

class ThresholdController {
 public:
  struct Options {
    std::size_t windows = 5;  // that are combined
    // Since the last signal of a router: between the two its weight falls from 1 to 0.
    Duration fade_after = std::chrono::milliseconds{400}, expire_after = std::chrono::seconds{1};
    Duration delay_aim = std::chrono::milliseconds{20};  // a queueing delay above this is overload
    Duration drain_time = std::chrono::seconds{1};       // in which the excess queue is to be drained
    double max_no_room = 0.05, max_late = 0.05;          // fractions above which there is overload
    double min_drain = 0.05;   // minimum reduction of the work during overload, as a fraction
    double probe_step = 0.01;  // headroom added by each window without overload
    double min_headroom = 0.5, max_headroom = 1.5;
    // The capacity estimate is the maximum of the served work, multiplied by this factor each window. The
    // served work alone would be too low after the loss of a router, a pause in the load or excessive
    // shedding, and the threshold would take seconds to recover.
    double capacity_decay = 0.995, capacity_decay_overloaded = 0.9;
    // After overload the estimate grows by this factor each window, up to this fraction of its former value.
    double capacity_growth = 1.05, capacity_recovery_goal = 0.9;
    double min_admitted = 0.05;  // fraction of the arriving work that is always admitted
    // Work in us/s: `min_work` is always admitted; `min_reference` is the smallest denominator for the
    // fractions of rejected and late work, so that a few requests do not count as overload.
    double min_work = 10'000, min_reference = 50'000;
    // First windows of a process, in which arrived work counts as served since replies take time.
    std::uint64_t startup_windows = 10;
    // Signs of overload that shedding has not reduced in this time may have another cause: more work is
    // admitted for as long as replies stay in time and the pressure does not rise.
    Duration patience = std::chrono::seconds{3};
    std::size_t max_processes = 1024;  // signals of more processes are ignored
    double bands = 0;                  // PriorityOrder::bands(); 0: tenants are not distinguished
  };
  // `shares`: the weight of each tenant; empty: tenants are not distinguished.
  ThresholdController(Options options, std::vector<double> shares)
      : options_(options), shares_(std::move(shares)) {
    state_.headroom = options.max_headroom;
  }

  // Returns false for duplicates and for signals that are older than the windows that count.
  bool Handle(TimePoint now, const LoadSignal& signal);
  // Recomputes the state. Called at the end of each window of this router, after its own signal was handled.
  const SheddingState& Update(TimePoint now);
  const SheddingState& state() const { return state_; }

 private:
  struct Source {
    std::deque<LoadSignal> signals;  // newest first
    TimePoint last_heard{};
  };
  struct FleetLoad;
  FleetLoad Aggregate(TimePoint now) const;
  double Pressure(const FleetLoad& load) const;
  double UpdateHeadroom(TimePoint now, double pressure, bool in_time, double headroom);
  static double ComputeThreshold(const FleetLoad& load, double budget);
  void ApplyTenantShares(const FleetLoad& load, double budget);

  Options options_;
  std::vector<double> shares_;
  std::map<std::uint64_t, Source> sources_;  // by process
  SheddingState state_;
  double capacity_ = 0;       // estimate of the work per second that can be served, us/s
  double capacity_goal_ = 0;  // value up to which the estimate recovers quickly after overload
  // Detection of pressure that shedding does not reduce.
  double tolerated_pressure_ = 0;  // pressure that was found not to be overload
  double initial_pressure_ = 0;    // pressure at the start of the overload, or of probing with more work
  double max_pressure_ = 0;        // maximum pressure since then
  std::optional<TimePoint> overloaded_since_;
  std::optional<TimePoint> no_shedding_since_;
  bool probing_ = false;
};

}  // namespace peatbend::overload

// Measures the load of one router in the current window. Contains no I/O and reads no clock; not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "overload/load_signal.h"

namespace peatbend::overload {

enum class DelayLocation : std::size_t { kOrigin, kMembers };

class LoadWindow {
 public:
  // `process`: random and unique to this process.
  LoadWindow(std::uint64_t process, TimePoint now) : process_(process), started_(now) {}

  // Counts each request before it is admitted or shed. `work`: of PriorityOrder::WorkOf, here and below.
  void OnArrival(double priority, std::uint64_t work, int tenant);
  // The request was rejected because cache servers or origin had no room, not shed.
  void OnNoRoom(std::uint64_t work) { no_room_ += work; }
  void OnServed(std::uint64_t work, bool late);
  // The client left or its deadline passed before a reply came.
  void OnLost(std::uint64_t work) { late_ += work; }
  // Records the queueing delay of a reply, reported or estimated.
  void OnQueueDelay(DelayLocation location, Duration delay);
  // Records the delay of this router's own event loop, which is not counted as queueing delay.
  void OnLoopDelay(Duration late) { loop_delay_ = std::max(loop_delay_, late); }

  // If the window has ended, returns its signal and starts a new one. The caller sets headroom and trials.
  std::optional<LoadSignal> Close(TimePoint now);
  TimePoint due() const { return started_ + kWindowLength; }

 private:
  std::uint64_t process_, window_ = 0;
  TimePoint started_;
  std::array<std::uint64_t, kPriorityBins> arrived_{};
  std::map<std::uint16_t, std::uint64_t> tenants_;
  std::uint64_t served_ = 0, late_ = 0, no_room_ = 0;
  Duration loop_delay_{};
  struct DelayStats {
    Duration min = Duration::max();
    std::size_t replies = 0;
  };
  // The minimum queueing delay at the location where it is highest.
  Duration QueueDelay() const;
  // By location, newest first.
  std::array<std::deque<DelayStats>, 2> delays_{std::deque<DelayStats>(1), std::deque<DelayStats>(1)};
};

}  // namespace peatbend::overload

// The load signal of a router for one window of 100 ms: the arrived work by priority, its outcomes, the
// queueing delay at cache servers and origin, and news of trials of ejected servers. Contains no I/O and
// reads no clock.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "overload/priority.h"

namespace peatbend::overload {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::nanoseconds;  // of a monotonic clock, local to each router

constexpr Duration kWindowLength = std::chrono::milliseconds{100};
constexpr std::size_t kMaxTenants = 8, kMaxTrials = 8, kMaxSignalBytes = 416;  // the last: bytes when encoded

enum class TrialStep : std::uint8_t {  // the latest event of one trial
  kBegun,
  kFailed,
  kGood,
  kPassed  // the router had no request for the trial, so another router has a turn
};

struct TrialUpdate {
  std::uint32_t member = 0;  // Trials::MemberId of its name
  std::uint32_t epoch = 0;
  TrialStep step = TrialStep::kBegun;
  auto operator<=>(const TrialUpdate&) const = default;
};

struct TenantWork {
  std::uint16_t tenant = 0;
  std::uint32_t work = 0;  // ms
  bool operator==(const TenantWork&) const = default;
};

// Work is the estimated work in microseconds, not what was measured.
struct LoadSignal {
  std::uint64_t process = 0;                           // random, unique to a process
  std::uint64_t window = 0;                            // number within the process, from 1
  std::uint32_t duration_ms = 0;                       // longer than the nominal window if the router stalled
  std::array<std::uint16_t, kPriorityBins> arrived{};  // work by priority bin, in units of 2^shift us
  std::uint8_t shift = 0;
  std::uint64_t served = 0;           // ended by a value, including late ones
  std::uint64_t late = 0;             // served late, or never answered
  std::uint64_t no_room = 0;          // rejected because cache servers or origin had no room
  std::uint32_t queue_delay_us = 0;   // see LoadWindow::QueueDelay
  std::uint16_t headroom = 0;         // per mille, see ThresholdController
  std::vector<TenantWork> tenants{};  // those with the most work
  std::vector<TrialUpdate> trials{};
  std::uint64_t Arrived(std::size_t bin) const { return std::uint64_t{arrived[bin]} << shift; }
  bool operator==(const LoadSignal&) const = default;
};

// Returns at most kMaxSignalBytes bytes. Tenants and trials beyond their limits are left out.
std::string Encode(const LoadSignal& signal);
// Decodes untrusted input. Returns false, with `signal` unspecified, if the bytes are not a complete signal.
bool Decode(std::string_view bytes, LoadSignal& signal);

}  // namespace peatbend::overload

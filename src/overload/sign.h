// What one router says of a window of 100 ms: what came by rank, what became of it, how long members and
// origin let it wait, and trials of members. Numbered within its process. Free of I/O and clocks.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "overload/rank.h"

namespace peatbend::overload {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // on a clock that never goes back; each router's own

constexpr Span kWindow = std::chrono::milliseconds{100};
constexpr std::size_t kMostTenants = 8, kMostTrials = 8, kMostSign = 416;  // encoded bytes

enum class TrialStep : std::uint8_t {  // of one trial
  kBegun,
  kFailed,
  kGood,
  kPassed  // there was no request to try it with: one more turn is due
};

struct TrialNews {
  std::uint32_t member = 0;  // a hash of its name
  std::uint32_t epoch = 0;
  TrialStep step = TrialStep::kBegun;
  auto operator<=>(const TrialNews&) const = default;
};

struct TenantWork {
  std::uint16_t tenant = 0;
  std::uint32_t work = 0;  // ms
  bool operator==(const TenantWork&) const = default;
};

// Work is in microseconds of what it was reckoned at, whatever it turned out to cost.
struct Sign {
  std::uint64_t process = 0;                // drawn at its start
  std::uint64_t window = 0;                 // counts up from 1
  std::uint32_t span_ms = 0;                // longer than a window where the router stalled
  std::array<std::uint16_t, kBins> came{};  // work by rank, in units of 2^shift
  std::uint8_t shift = 0;
  std::uint64_t served = 0;           // ended by a value, late ones too
  std::uint64_t late = 0;             // of the served, and of those that never had an answer
  std::uint64_t full = 0;             // rejected for want of room at members or origin
  std::uint32_t delay_us = 0;         // the least wait in a queue, of the place where that is longest
  std::uint16_t headroom = 0;         // per mille: what this router goes by; see Level
  std::vector<TenantWork> tenants{};  // the greatest
  std::vector<TrialNews> trials{};
  std::uint64_t Came(std::size_t bin) const { return std::uint64_t{came[bin]} << shift; }
  bool operator==(const Sign&) const = default;
};

// At most kMostSign bytes: of the tenants and trials the first are taken.
std::string Encode(const Sign& sign);
// False, and `sign` unspecified, where the bytes are no whole sign.
bool Decode(std::string_view bytes, Sign& sign);

}  // namespace peatbend::overload

// Limits retries: at any retry, the retries of the last 10 s are at most a tenth of the first attempts of the
// last 10 s. Each router enforces this for its own attempts, so it also holds for the whole fleet without
// communication. Contains no I/O and reads no clock; not thread-safe.
#pragma once

#include <array>
#include <cstdint>

#include "overload/load_signal.h"

namespace peatbend::overload {

class RetryBudget {
 public:
  struct Options {
    Duration window = std::chrono::seconds{10};
    double ratio = 0.1;
  };
  RetryBudget(Options options, TimePoint now);

  void OnFirstAttempt(TimePoint now);
  // Returns true, and counts a retry, if the budget allows one.
  bool TryRetry(TimePoint now);

 private:
  static constexpr std::size_t kSlots = 128;  // of the window and the current one
  struct Slot {
    std::uint64_t firsts = 0, retries = 0;
  };
  void Advance(TimePoint now);

  Options options_;
  std::array<Slot, kSlots> slots_{};
  std::uint64_t current_slot_;  // number of the current slot
  std::uint64_t firsts_ = 0, retries_ = 0;
};

}  // namespace peatbend::overload

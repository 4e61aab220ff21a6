#include "overload/retry_budget.h"

#include <algorithm>
#include <stdexcept>

namespace peatbend::overload {

RetryBudget::RetryBudget(Options options, TimePoint now) : options_(options) {
  if (options.window < Duration(kSlots)) throw std::invalid_argument("window: too short");
  current_slot_ = static_cast<std::uint64_t>(now / (options.window / (kSlots - 2)));
}

// A slot is 1/126 of the window. First attempts expire with the start of their slot and retries with its end,
// so that rounding never allows more retries.
void RetryBudget::Advance(TimePoint now) {
  auto to = static_cast<std::uint64_t>(now / (options_.window / (kSlots - 2)));
  std::uint64_t steps = std::min<std::uint64_t>(to > current_slot_ ? to - current_slot_ : 0, kSlots + 1);
  for (std::uint64_t i = 0; i < steps; ++i) {
    ++current_slot_;
    Slot& first = slots_[(current_slot_ - (kSlots - 2)) % kSlots];
    firsts_ -= first.firsts;
    first.firsts = 0;
    Slot& oldest = slots_[current_slot_ % kSlots];  // from a full cycle ago
    retries_ -= oldest.retries;
    oldest = {};
  }
  current_slot_ = std::max(current_slot_, to);
}

void RetryBudget::OnFirstAttempt(TimePoint now) {
  Advance(now);
  ++slots_[current_slot_ % kSlots].firsts;
  ++firsts_;
}

bool RetryBudget::TryRetry(TimePoint now) {
  Advance(now);
  if (static_cast<double>(retries_ + 1) > options_.ratio * static_cast<double>(firsts_)) return false;
  ++slots_[current_slot_ % kSlots].retries;
  ++retries_;
  return true;
}

}  // namespace peatbend::overload

#include "member/answer_memory.h"

#include <algorithm>
#include <utility>

#include "protocol/resp.h"

namespace peatbend::net {
namespace {
constexpr std::size_t kUnreserved = 16 * 1024;  // bytes that any answer may hold: what one read brings
// Answers up to this size do not wait behind longer ones, or slow readers of large values would hold up all.
constexpr std::size_t kShort = resp::kMaxMessage;
constexpr std::size_t kLeaderStep = 64 * 1024;  // what the leader is read on by at least
}  // namespace

AnswerMemory::AnswerMemory(event_base* base, MemoryBudget& budget)
    : budget_(budget), grant_(base, [this] { GrantWaiting(); }) {
  budget_.on_freed = [this] { WakeWaiting(); };
}

// The lead goes to the first long answer that is next for its client, unless the leader is.
void AnswerMemory::PassLead() {
  if (leader_ != nullptr && leader_->is_next_()) return;
  auto next = std::ranges::find_if(
      waiting_, [](const AnswerReservation* answer) { return !answer->IsShort() && answer->is_next_(); });
  if (next == waiting_.end()) return;
  leader_ = *next;
  waiting_.splice(waiting_.begin(), waiting_, next);
}

void AnswerMemory::GrantWaiting() {
  PassLead();
  bool long_one_waits = false;
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    AnswerReservation& waiting = **at++;
    if (long_one_waits && !waiting.IsShort()) continue;
    if (!waiting.ReserveMore()) {
      long_one_waits |= !waiting.IsShort();
      continue;
    }
    waiting.StopWaiting();
    auto read_on = waiting.read_on_;
    read_on();
  }
}

bool AnswerMemory::OnlyWaitingUse(const AnswerReservation& but_for) const {
  std::size_t waiting = budget_.used_by(MemoryUse::kQueuedAnswers) + but_for.reserved();
  for (const AnswerReservation* answer : waiting_) {
    if (answer != &but_for) waiting += answer->reserved();
  }
  return waiting >= budget_.in_use;
}

bool AnswerReservation::IsShort() const { return most_ <= kShort; }

bool AnswerReservation::Grow(std::size_t held, std::size_t most) {
  if (held <= std::max(kUnreserved, reserved_.size())) return true;
  held_ = held;
  most_ = std::max(most, held);
  bool may_pass = memory_.waiting_.empty() || memory_.leader_ == this || IsShort();
  if (may_pass && (reserved_.TryWithin(held, memory_.PlentifulUpTo(most_)) || ReserveMore())) return true;
  waits_ = true;
  auto place = memory_.leader_ == this ? memory_.waiting_.begin() : memory_.waiting_.end();
  self_ = memory_.waiting_.insert(place, this);
  memory_.WakeWaiting();
  return false;
}

// A short answer that its client waits for goes beyond the budget, one for each client: what others do not
// take must not keep it from those who read.
bool AnswerReservation::ReserveMore() {
  if (reserved_.Try(most_)) return true;
  if (IsShort() && is_next_()) return reserved_.Set(most_), true;
  if (memory_.leader_ == nullptr) memory_.leader_ = this;
  if (memory_.leader_ != this) return false;
  std::size_t step = std::min(most_, held_ + kLeaderStep);
  if (reserved_.Try(step)) return true;
  if (!is_next_() || !memory_.OnlyWaitingUse(*this)) return false;
  return reserved_.Set(step), true;
}

void AnswerReservation::StopWaiting() {
  if (std::exchange(waits_, false)) memory_.waiting_.erase(self_);
}

void AnswerReservation::GiveUpLead() {
  if (memory_.leader_ != this) return;
  memory_.leader_ = nullptr;
  memory_.WakeWaiting();
}

void AnswerReservation::Reset() {
  StopWaiting();
  GiveUpLead();
  reserved_.Set(0);
}

MemoryReservation AnswerReservation::Take(std::size_t size) {
  StopWaiting();
  GiveUpLead();
  if (reserved_.size() == 0) return {};
  reserved_.Set(size);
  return std::exchange(reserved_, MemoryReservation(memory_.budget_, MemoryUse::kIncompleteAnswers));
}

}  // namespace peatbend::net

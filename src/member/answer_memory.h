// Memory for the answers of servers that are held until they are whole: reserved from the budget as they are
// read, and waited for in the order of arrival where the budget is short.
//
// Several answers that have a part of the budget each, and none of them the rest, could never become whole.
// So while memory is short an answer is read on only with room for all that it may become, except for one,
// the leader, which takes whatever becomes free. An answer that its client would be given at once takes the
// lead from one that waits behind others. Where no memory can become free before one of the waiting answers
// is whole, such a leader goes beyond the budget.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <list>
#include <utility>

#include "base/event_handles.h"
#include "base/memory_budget.h"

namespace peatbend::net {

class AnswerReservation;

class AnswerMemory {
 public:
  // The budget must outlive this. Takes its `on_freed`.
  AnswerMemory(event_base* base, MemoryBudget& budget);
  ~AnswerMemory() { budget_.on_freed = {}; }
  AnswerMemory(const AnswerMemory&) = delete;
  AnswerMemory& operator=(const AnswerMemory&) = delete;

 private:
  friend class AnswerReservation;
  void GrantWaiting();
  void PassLead();
  // Whether all that is reserved belongs to answers that wait for memory, `but_for` this one, or to answers
  // that wait behind others.
  bool OnlyWaitingUse(const AnswerReservation& but_for) const;
  // How much of the budget may be in use for an answer to be read on without room for all of it.
  std::size_t PlentifulUpTo(std::size_t most) const {
    return (budget_.max - std::min(budget_.max, most)) / 2;
  }
  void WakeWaiting() {
    if (!waiting_.empty()) grant_.Activate();
  }

  MemoryBudget& budget_;
  AnswerReservation* leader_ = nullptr;
  std::list<AnswerReservation*> waiting_;  // in the order of arrival
  Timer grant_;
};

// The memory of one answer that is being read.
class AnswerReservation {
 public:
  // `is_next` tells whether the client would be given the answer at once. `read_on` is called once there is
  // room, after Grow has returned false; it may destroy this.
  AnswerReservation(AnswerMemory& memory, std::function<bool()> is_next, std::function<void()> read_on)
      : memory_(memory), is_next_(std::move(is_next)), read_on_(std::move(read_on)) {}
  ~AnswerReservation() { Reset(); }
  AnswerReservation(const AnswerReservation&) = delete;
  AnswerReservation& operator=(const AnswerReservation&) = delete;

  // The answer holds `held` bytes, and `most` when it is whole at the latest. False: no more of it may be
  // read until `read_on`.
  bool Grow(std::size_t held, std::size_t most);
  bool waits() const { return waits_; }
  std::size_t reserved() const { return reserved_.size(); }
  // Returns what is reserved, and waits no longer.
  void Reset();
  // The answer is whole, with `size` bytes: hands their reservation over; empty if none was needed.
  MemoryReservation Take(std::size_t size);

 private:
  friend class AnswerMemory;
  // Room to read on: for the whole answer, or some more of the leader's.
  bool ReserveMore();
  bool IsShort() const;
  void StopWaiting();
  void GiveUpLead();

  AnswerMemory& memory_;
  std::function<bool()> is_next_;
  std::function<void()> read_on_;
  MemoryReservation reserved_{memory_.budget_, MemoryUse::kIncompleteAnswers};
  std::size_t held_ = 0, most_ = 0;  // as of the last call of Grow
  bool waits_ = false;
  std::list<AnswerReservation*>::iterator self_;
};

}  // namespace peatbend::net

// A limit on the memory that requests and answers take, and reservations from it.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <utility>

namespace peatbend::net {

// What holds reserved bytes: the values of clients' requests; answers of servers that are held until they are
// whole; answers that clients have not taken; answers that wait behind one that has not come.
enum class MemoryUse : std::size_t { kRequests, kIncompleteAnswers, kUnsentAnswers, kQueuedAnswers };
inline constexpr std::size_t kMemoryUses = 4;

struct MemoryBudget {
  std::size_t max = 64 * 1024 * 1024, in_use = 0;  // bytes
  std::size_t most_in_use = 0;                     // the highest that in_use has been
  std::array<std::size_t, kMemoryUses> by_use{};   // parts of in_use
  std::function<void()> on_freed;                  // called when more is free than before, if set
  std::function<void()> on_freed_for_requests;     // the same
  std::size_t free() const { return max - std::min(max, in_use); }
  std::size_t used_by(MemoryUse use) const { return by_use[static_cast<std::size_t>(use)]; }
  void SetMax(std::size_t bytes) {
    bool more = bytes > max;
    max = bytes;
    if (more) Freed();
  }
  void Freed() const {
    Recheck();
    if (on_freed_for_requests) on_freed_for_requests();
  }
  // Answers that wait for memory are looked at again.
  void Recheck() const {
    if (on_freed) on_freed();
  }
};

// Bytes reserved from a budget, returned by the destructor. The budget must outlive the reservation.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(MemoryBudget& budget, MemoryUse use) : budget_(&budget), use_(use) {}
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)),
        use_(other.use_),
        size_(std::exchange(other.size_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(use_, other.use_);
    std::swap(size_, other.size_);
    return *this;
  }
  ~MemoryReservation() { Set(0); }
  std::size_t size() const { return size_; }
  // Changes the reservation to `size` bytes, even beyond the maximum of the budget.
  void Set(std::size_t size) {
    std::size_t before = std::exchange(size_, size);
    if (budget_ == nullptr || size == before) return;
    std::size_t& part = budget_->by_use[static_cast<std::size_t>(use_)];
    part = part - before + size;
    budget_->in_use = budget_->in_use - before + size;
    budget_->most_in_use = std::max(budget_->most_in_use, budget_->in_use);
    if (size < before) budget_->Freed();
  }
  // Changes the reservation to `size` bytes if the budget has room for that or has no other reservation.
  // Returns false and changes nothing otherwise.
  bool Try(std::size_t size) {
    bool others = budget_->in_use > size_;
    if (size > size_ && others && size - size_ > budget_->free()) return false;
    Set(size);
    return true;
  }
  // As Try, for a client's value: a part of the budget is left to answers.
  bool TryValue(std::size_t size) {
    bool others = budget_->in_use > size_;
    return others ? TryWithin(size, budget_->max - budget_->max / kAnswersDivisor) : Try(size);
  }
  // Changes the reservation to `size` bytes if no more than `most_in_use` of the budget is in use then.
  bool TryWithin(std::size_t size, std::size_t most_in_use) {
    if (budget_->in_use - size_ + size > most_in_use) return false;
    Set(size);
    return true;
  }

 private:
  static constexpr std::size_t kAnswersDivisor = 8;
  MemoryBudget* budget_ = nullptr;
  MemoryUse use_ = MemoryUse::kRequests;
  std::size_t size_ = 0;
};

}  // namespace peatbend::net

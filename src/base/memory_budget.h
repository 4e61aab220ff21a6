// A limit on the memory that the large values of all requests take, and reservations from it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace peatbend::net {

struct MemoryBudget {
  std::size_t max = 64 * 1024 * 1024, in_use = 0;  // bytes
  std::size_t free() const { return max - std::min(max, in_use); }
};

// Bytes reserved from a budget, returned by the destructor. The budget must outlive the reservation.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  explicit MemoryReservation(MemoryBudget& budget) : budget_(&budget) {}
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), size_(std::exchange(other.size_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(size_, other.size_);
    return *this;
  }
  ~MemoryReservation() { Set(0); }
  std::size_t size() const { return size_; }
  // Changes the reservation to `size` bytes, even beyond the maximum of the budget.
  void Set(std::size_t size) {
    if (budget_ != nullptr) budget_->in_use = budget_->in_use - size_ + size;
    size_ = size;
  }
  // Changes the reservation to `size` bytes if the budget has room for that or has no other reservation.
  // Returns false and changes nothing otherwise.
  bool Try(std::size_t size) {
    if (size > size_ && budget_->in_use > 0 && size - size_ > budget_->free()) return false;
    Set(size);
    return true;
  }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t size_ = 0;
};

}  // namespace peatbend::net

// The memory that large values may take, over all requests, and what is reserved of it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace peatbend::net {

struct MemoryBudget {
  std::size_t most = 64 * 1024 * 1024, held = 0;  // bytes
  std::size_t free() const { return most - std::min(most, held); }
};

// Bytes of the budget, given back at its end. The budget must outlive it.
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
  // Reserves `size` in all, whether there is room or not.
  void Set(std::size_t size) {
    if (budget_ != nullptr) budget_->held = budget_->held - size_ + size;
    size_ = size;
  }
  // Reserves `size` in all, where there is room or nothing else is reserved.
  bool Try(std::size_t size) {
    if (size > size_ && budget_->held > 0 && size - size_ > budget_->free()) return false;
    Set(size);
    return true;
  }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t size_ = 0;
};

}  // namespace peatbend::net

// A hash index: maps hashes to slot numbers by open addressing, with eight bytes a cell and at most half of
// the cells in use, so that a lookup touches little memory. The indexed objects live elsewhere; their owner
// compares them. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace peatbend::rations {

class HashIndex {
 public:
  using Slot = std::uint32_t;
  static constexpr Slot kNone = ~Slot{0};

  // `same`: returns whether the object in that slot is the one looked for. Returns kNone if there is none.
  template <typename Same>
  Slot Find(std::uint64_t hash, Same same) const {
    auto tag = static_cast<std::uint32_t>(hash);
    for (std::size_t at = tag & mask_;; at = (at + 1) & mask_) {
      const Cell& cell = cells_[at];
      if (cell.slot == kNone || (cell.tag == tag && same(cell.slot))) return cell.slot;
    }
  }
  // The slot must not be indexed yet.
  void Insert(std::uint64_t hash, Slot slot) {
    if (2 * ++size_ > cells_.size()) Grow();
    InsertCell({static_cast<std::uint32_t>(hash), slot});
  }
  // The slot must be indexed under this hash.
  void Erase(std::uint64_t hash, Slot slot) {
    std::size_t at = static_cast<std::uint32_t>(hash) & mask_;
    while (cells_[at].slot != slot) at = (at + 1) & mask_;
    --size_;
    // Shift back the following cells whose probe sequence passes through the free one.
    for (std::size_t next = (at + 1) & mask_; cells_[next].slot != kNone; next = (next + 1) & mask_) {
      if (((next - cells_[next].tag) & mask_) < ((next - at) & mask_)) continue;
      cells_[at] = cells_[next];
      at = next;
    }
    cells_[at] = {};
  }
  std::size_t size() const { return size_; }

 private:
  struct Cell {
    std::uint32_t tag = 0;  // the low bits of the hash
    Slot slot = kNone;
  };
  void InsertCell(Cell cell) {
    std::size_t at = cell.tag & mask_;
    while (cells_[at].slot != kNone) at = (at + 1) & mask_;
    cells_[at] = cell;
  }
  void Grow() {
    std::vector<Cell> former = std::exchange(cells_, std::vector<Cell>(2 * cells_.size()));
    mask_ = cells_.size() - 1;
    for (const Cell& cell : former) {
      if (cell.slot != kNone) InsertCell(cell);
    }
  }
  std::vector<Cell> cells_ = std::vector<Cell>(64);
  std::size_t mask_ = 63, size_ = 0;
};

}  // namespace peatbend::rations

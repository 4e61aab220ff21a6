#include "takeover/seats.h"

#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace peatbend::takeover {

Seats::Seats(std::vector<SeatName> all) : all_(std::move(all)) {
  std::ranges::sort(all_, {}, &SeatName::router);
  if (all_.size() < kSeats) throw std::invalid_argument("three seats or more expected");
  std::string bytes;
  for (std::size_t i = 0; i < all_.size(); ++i) {
    const std::string& name = all_[i].router;
    if (name.empty()) throw std::invalid_argument("a seat without a name");
    if (i > 0 && all_[i - 1].router == name) throw std::invalid_argument("seat " + name + " twice");
    hashes_.push_back(XXH3_64bits(name.data(), name.size()));
    Put(bytes, name);
    Put(bytes, all_[i].zone);
  }
  print_ = XXH3_64bits(bytes.data(), bytes.size());
}

std::array<std::size_t, kSeats> Seats::Of(const std::string& work) const {
  std::uint64_t of_work = XXH3_64bits(work.data(), work.size());
  auto weight = [&](std::size_t i) {
    std::uint64_t both[2] = {of_work, hashes_[i]};
    return XXH3_64bits(both, sizeof both);
  };
  std::array<std::size_t, kSeats> chosen{};
  for (std::size_t n = 0; n < kSeats; ++n) {
    // The highest in a zone that has none yet; where all zones have one, the highest of the rest.
    std::size_t best = all_.size();
    bool best_new = false;
    std::uint64_t best_weight = 0;
    for (std::size_t i = 0; i < all_.size(); ++i) {
      bool is_new = true, taken = false;
      for (std::size_t m = 0; m < n; ++m) {
        taken = taken || chosen[m] == i;
        is_new = is_new && all_[chosen[m]].zone != all_[i].zone;
      }
      if (taken) continue;
      std::uint64_t weighs = weight(i);
      bool better = best == all_.size() || is_new > best_new || (is_new == best_new && weighs > best_weight);
      if (!better) continue;
      best = i;
      best_new = is_new;
      best_weight = weighs;
    }
    chosen[n] = best;
  }
  return chosen;
}

}  // namespace peatbend::takeover

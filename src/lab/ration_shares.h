// What rations are measured against: each router with a fixed part of each limit, and no word between
// routers. The laboratory stands before the routers and holds a bucket for each, so this is the best such
// parts can be: exact, never lost with a process, at no cost.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "lab/ration_watch.h"

namespace peatbend::lab {

class RationShares {
 public:
  // `scenario` outlives it.
  explicit RationShares(const Scenario& scenario) : scenario_(scenario) {}

  // Takes a token of each limit that counts it. Where one has none, nothing is taken, and the answer is when
  // it will have.
  std::optional<Span> Over(const RationWatch::Asked& asked, int router, Time at);

 private:
  struct Level {
    double tokens = 0;
    Time at{};
  };
  struct Key {
    std::size_t limit;
    int bucket, router;
    auto operator<=>(const Key&) const = default;
  };
  const Scenario& scenario_;
  std::map<Key, Level> levels_;
};

}  // namespace peatbend::lab

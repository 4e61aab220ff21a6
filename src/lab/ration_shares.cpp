#include "lab/ration_shares.h"

#include <algorithm>

namespace peatbend::lab {

std::optional<Span> RationShares::Over(const RationWatch::Asked& asked, int router, Time at) {
  std::vector<Level*> taken;
  Span longest{};
  for (std::size_t i = 0; i < scenario_.rations.limits.size(); ++i) {
    const RationLimit& limit = scenario_.rations.limits[i];
    if (!RationWatch::Counts(scenario_, limit, asked)) continue;
    double rate = limit.rate / scenario_.routers;
    // A bucket below one token would never serve anyone.
    double burst = std::max(1.0, limit.burst / scenario_.routers);
    auto [found, fresh] =
        levels_.try_emplace({i, RationWatch::BucketOf(limit, asked), router}, Level{burst, at});
    Level& level = found->second;
    level.tokens = std::min(burst, level.tokens + rate * world::Seconds(at - level.at));
    level.at = at;
    if (level.tokens < 1) longest = std::max(longest, world::FromSeconds((1 - level.tokens) / rate));
    taken.push_back(&level);
  }
  if (longest > Span{}) return longest;
  for (Level* level : taken) level->tokens -= 1;
  return std::nullopt;
}

}  // namespace peatbend::lab

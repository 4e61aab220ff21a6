// The buckets of one shard under one go. They begin empty and fill with time, as the keeper's own clock
// counts it from its beginning; what is drawn is gone, whether or not it is ever used. Says nothing of who
// may hear the answers: that is the fence's. Free of I/O and clocks; one owner, one thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "rations/message.h"
#include "rations/quota_table.h"

namespace peatbend::rations {

struct KeeperLimits {
  std::size_t buckets = 100'000;  // that are not full; beyond these the rest share one bucket for each ration
  std::size_t drawers = 4096;  // whose last draw is known; beyond these the one that drew longest ago is not
};

class Keeper {
 public:
  // `begun`: after Fence::Begin. `table` outlives it.
  Keeper(const QuotaTable& table, KeeperLimits limits, Time begun, std::int64_t unix_s);

  // From now on; the paces in force follow. `now` never goes back, `unix_s` may.
  void SetTime(Time now, std::int64_t unix_s, unsigned signs);
  // A token counts in the first bucket of its chain alone. The answers stand in the entries' order: want is
  // what was given.
  std::vector<Entry> Draw(const std::vector<Entry>& entries) { return DrawAll({entries}).front(); }
  // The same for several drawers at once: what is scarce is dealt round among those that want it. In their
  // order.
  std::vector<std::vector<Entry>> DrawAll(const std::vector<std::vector<Entry>>& drawn);
  // Forgets buckets that a new one would equal; to be called now and then.
  void Forget();

  double Level(const Bucket& bucket) const;
  std::size_t buckets() const { return levels_.size(); }
  std::size_t bytes() const;  // about

 private:
  struct Level_ {
    double tokens = 0;
    Time at{};
    // Within a turn: entries that want of it still; tokens that they lack.
    std::uint32_t wanting = 0;
    double unmet = 0;
  };
  struct Hash {
    std::size_t operator()(const Bucket& bucket) const {
      return bucket.key_hash ^ (bucket.quota * 0x9e3779b97f4a7c15u);
    }
  };
  struct Line;  // an entry of a turn
  bool Known(const BucketPath& chain) const;
  Level_& Find(const Bucket& bucket);
  void Fill(std::uint32_t ration, Level_& level) const;
  std::uint32_t Give(Line& line) const;
  void DealRound(std::vector<Line>& lines) const;
  std::uint32_t WaitMs(const Line& line) const;

  const QuotaTable& table_;
  KeeperLimits limits_;
  Time now_;
  std::int64_t unix_s_;
  unsigned signs_ = kNoCondition;
  std::size_t first_ = 0;         // whose turn it is to be the first
  std::vector<TokenRate> paces_;  // in force
  // By ration: what a new bucket begins with. Those that found no room share it, so it never has more than
  // any of them would.
  std::vector<Level_> fresh_;
  std::unordered_map<Bucket, Level_, Hash> levels_;
};

}  // namespace peatbend::rations

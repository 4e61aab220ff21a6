// The token buckets of one shard under one ballot. Buckets start empty and refill with time, by the owner's
// clock, from the moment it took ownership. Tokens are spent when granted, whether or not they are ever used.
// Does not decide when grants may be sent: see ShardOwnership. No I/O and no clocks; not thread-safe.
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

struct ShardLimits {
  std::size_t buckets = 100'000;  // not full; beyond these all others share one bucket per quota
  // Whose last request is remembered; beyond these the least recently used is dropped.
  std::size_t requesters = 4096;
};

class ShardBuckets {
 public:
  // `start`: read after ShardOwnership::TakeOwnership. `table` must outlive this object.
  ShardBuckets(const QuotaTable& table, ShardLimits limits, Time start, std::int64_t unix_s);

  // Advances the clocks and updates the rates in force. `now` never goes back, `unix_s` may.
  void SetTime(Time now, std::int64_t unix_s, unsigned signs);
  // Grants tokens to one requester. A token counts in the first bucket of its chain only. Returns the entries
  // in the same order, with the tokens granted.
  std::vector<Entry> Grant(const std::vector<Entry>& entries) { return GrantAll({entries}).front(); }
  // The same for several requesters at once: scarce tokens are distributed evenly among those that request
  // them.
  std::vector<std::vector<Entry>> GrantAll(const std::vector<std::vector<Entry>>& requests);
  // Drops buckets that hold as much as a new one would; to be called periodically.
  void EvictRefilled();

  double Tokens(const Bucket& bucket) const;
  std::size_t buckets() const { return buckets_.size(); }
  std::size_t bytes() const;  // approximate memory use

 private:
  struct BucketState {
    double tokens = 0;
    Time updated_at{};
    // Within one call of GrantAll: entries that still lack tokens; tokens that they lack.
    std::uint32_t claimants = 0;
    double unmet_tokens = 0;
  };
  struct Hash {
    std::size_t operator()(const Bucket& bucket) const {
      return bucket.key_hash ^ (bucket.quota * 0x9e3779b97f4a7c15u);
    }
  };
  struct Claim;  // an entry of a request while GrantAll runs
  bool IsValid(const BucketPath& chain) const;
  BucketState& FindOrCreate(const Bucket& bucket);
  void Refill(std::uint32_t ration, BucketState& bucket) const;
  std::uint32_t GrantShare(Claim& claim) const;
  void DistributeEvenly(std::vector<Claim>& claims) const;
  std::uint32_t RetryAfterMs(const Claim& claim) const;

  const QuotaTable& table_;
  ShardLimits limits_;
  Time now_;
  std::int64_t unix_s_;
  unsigned signs_ = kNoCondition;
  std::size_t rotation_ = 0;      // index of the claim served first, advanced with each call of GrantAll
  std::vector<TokenRate> paces_;  // in force, by quota
  // By quota: the state of a new bucket. Buckets beyond the limit share it, so it never holds more than any
  // of them would.
  std::vector<BucketState> default_buckets_;
  std::unordered_map<Bucket, BucketState, Hash> buckets_;
};

}  // namespace peatbend::rations

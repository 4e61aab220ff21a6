#include "rations/shard_buckets.h"

#include <algorithm>
#include <cmath>

namespace peatbend::rations {
namespace {

constexpr double kMaxRetryAfterMs = 5000;

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

struct ShardBuckets::Claim {
  Entry entry;
  std::uint32_t granted = 0, share = 0;
  BucketState* bucket = nullptr;  // the entry's own bucket; null: the chain is not of this table
  bool may_borrow = false;        // may also use tokens that the enclosing buckets can spare
  std::uint32_t missing() const { return bucket == nullptr ? 0 : entry.tokens - granted; }
};

ShardBuckets::ShardBuckets(const QuotaTable& table, ShardLimits limits, Time start, std::int64_t unix_s)
    : table_(table), limits_(limits), now_(start), unix_s_(unix_s) {
  default_buckets_.assign(table.quotas.size(), BucketState{0, start});
  for (std::size_t i = 0; i < table.quotas.size(); ++i) paces_.push_back(table.RateAt(i, unix_s, signs_));
}

void ShardBuckets::Refill(std::uint32_t quota, BucketState& bucket) const {
  const TokenRate& rate = paces_[quota];
  bucket.tokens = std::min(std::max(rate.burst, 1.0),
                           bucket.tokens + rate.per_second * Seconds(now_ - bucket.updated_at));
  bucket.updated_at = now_;
}

void ShardBuckets::SetTime(Time now, std::int64_t unix_s, unsigned signs) {
  now_ = std::max(now_, now);
  if (unix_s == unix_s_ && signs == signs_) return;
  unix_s_ = unix_s;
  signs_ = signs;
  std::vector<TokenRate> paces;
  for (std::size_t i = 0; i < paces_.size(); ++i) paces.push_back(table_.RateAt(i, unix_s, signs));
  if (paces == paces_) return;
  // Refill all buckets up to now at the previous rates before the new ones take effect.
  for (std::uint32_t i = 0; i < default_buckets_.size(); ++i) Refill(i, default_buckets_[i]);
  for (auto& [bucket, state] : buckets_) Refill(bucket.quota, state);
  paces_ = std::move(paces);
}

bool ShardBuckets::IsValid(const BucketPath& chain) const {
  if (chain.size == 0 || chain.size > kMaxQuotaDepth) return false;
  for (std::size_t i = 0; i < chain.size; ++i) {
    std::uint32_t quota = chain.buckets[i].quota;
    if (quota >= table_.quotas.size()) return false;
    int above = i + 1 < chain.size ? static_cast<int>(chain.buckets[i + 1].quota) : -1;
    if (i + 1 < kMaxQuotaDepth && table_.quotas[quota].parent != above) return false;
  }
  return true;
}

ShardBuckets::BucketState& ShardBuckets::FindOrCreate(const Bucket& bucket) {
  BucketState& default_bucket = default_buckets_[bucket.quota];
  Refill(bucket.quota, default_bucket);
  auto at = buckets_.find(bucket);
  if (at == buckets_.end()) {
    if (buckets_.size() >= limits_.buckets) return default_bucket;
    at = buckets_.emplace(bucket, default_bucket).first;
  }
  Refill(bucket.quota, at->second);
  return at->second;
}

// A quota that borrows may get more than its own tokens while all enclosing buckets are over half full.
std::uint32_t ShardBuckets::GrantShare(Claim& claim) const {
  auto own = static_cast<std::uint32_t>(std::min(claim.bucket->tokens, 4e9));
  std::uint32_t granted = claim.may_borrow ? claim.share : std::min(claim.share, own);
  claim.bucket->tokens -= std::min(granted, own);
  claim.granted += granted;
  return granted;
}

std::uint32_t ShardBuckets::RetryAfterMs(const Claim& claim) const {
  double missing = 1 - claim.bucket->tokens;
  if (missing <= 0) return 1;
  // On average half of the other claimants are served first.
  missing += (claim.bucket->unmet_tokens - 1) / 2;
  double rate = paces_[claim.entry.chain.buckets[0].quota].per_second;
  double wait = rate > 0 ? std::ceil(missing / rate * 1000) : kMaxRetryAfterMs;
  return static_cast<std::uint32_t>(std::clamp(wait, 1.0, kMaxRetryAfterMs));
}

// Each round divides what a bucket holds evenly among its claimants, and the remainder one token at a time.
// The claimant served first rotates from call to call.
void ShardBuckets::DistributeEvenly(std::vector<Claim>& claims) const {
  for (bool some = !claims.empty(); some;) {
    some = false;
    for (Claim& claim : claims) {
      if (claim.missing() > 0) claim.bucket->claimants = 0;
    }
    for (Claim& claim : claims) {
      if (claim.missing() > 0) ++claim.bucket->claimants;
    }
    for (Claim& claim : claims) {
      claim.share = claim.missing();
      if (claim.share == 0 || claim.may_borrow) continue;
      double share = std::floor(claim.bucket->tokens / claim.bucket->claimants);
      claim.share = std::max(1u, static_cast<std::uint32_t>(std::min<double>(claim.share, share)));
    }
    for (std::size_t n = 0; n < claims.size(); ++n) {
      Claim& claim = claims[(rotation_ + n) % claims.size()];
      some = (claim.share > 0 && GrantShare(claim) > 0) || some;
    }
  }
}

std::vector<std::vector<Entry>> ShardBuckets::GrantAll(const std::vector<std::vector<Entry>>& requests) {
  std::vector<Claim> claims;
  std::size_t count = 0;
  for (const auto& entries : requests) count += entries.size();
  claims.reserve(count);
  for (const auto& entries : requests) {
    for (const Entry& entry : entries) {
      Claim& claim = claims.emplace_back();
      claim.entry = entry;
      if (!IsValid(entry.chain)) continue;
      claim.bucket = &FindOrCreate(entry.chain.buckets[0]);
      claim.bucket->unmet_tokens = 0;
      bool spare = entry.chain.size > 1 && table_.quotas[entry.chain.buckets[0].quota].borrows;
      for (std::size_t i = 1; spare && i < entry.chain.size; ++i)
        spare = FindOrCreate(entry.chain.buckets[i]).tokens > paces_[entry.chain.buckets[i].quota].burst / 2;
      claim.may_borrow = spare;
    }
  }
  DistributeEvenly(claims);
  ++rotation_;
  for (Claim& claim : claims) {
    if (claim.missing() > 0) claim.bucket->unmet_tokens += claim.missing();
  }
  std::vector<std::vector<Entry>> grants;
  grants.reserve(requests.size());
  auto claim = claims.begin();
  for (const auto& entries : requests) {
    auto& grant = grants.emplace_back();
    grant.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i, ++claim)
      grant.push_back({claim->entry.chain, claim->granted, claim->missing() > 0 ? RetryAfterMs(*claim) : 0});
  }
  return grants;
}

void ShardBuckets::EvictRefilled() {
  for (std::uint32_t i = 0; i < default_buckets_.size(); ++i) Refill(i, default_buckets_[i]);
  std::erase_if(buckets_, [this](const auto& one) {
    BucketState bucket = one.second;
    Refill(one.first.quota, bucket);
    return bucket.tokens >= default_buckets_[one.first.quota].tokens;
  });
}

double ShardBuckets::Tokens(const Bucket& bucket) const {
  auto at = buckets_.find(bucket);
  BucketState state = at == buckets_.end() ? default_buckets_[bucket.quota] : at->second;
  Refill(bucket.quota, state);
  return state.tokens;
}

std::size_t ShardBuckets::bytes() const {
  constexpr std::size_t kNode = sizeof(std::pair<Bucket, BucketState>) + 2 * sizeof(void*);
  return sizeof *this + buckets_.size() * kNode + buckets_.bucket_count() * sizeof(void*) +
         default_buckets_.size() * (sizeof(BucketState) + sizeof(TokenRate));
}

}  // namespace peatbend::rations

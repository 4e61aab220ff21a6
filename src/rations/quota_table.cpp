#include "rations/quota_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace peatbend::rations {
namespace {

bool Has(const std::vector<int>& sorted, int one) {
  return sorted.empty() || std::ranges::binary_search(sorted, one);
}

bool Counts(const Quota& ration, const RequestAttributes& asked) {
  bool kind = ration.access == AccessKind::kAny || (ration.access == AccessKind::kWrites) == asked.write;
  bool turn = ration.try_kind == TryKind::kAny || (ration.try_kind == TryKind::kRetry) == asked.retry;
  return kind && turn && Has(ration.tenants, asked.tenant) && Has(ration.classes, asked.cls);
}

// A key's beginning counts by a hash of its own, so that what is hashed has one length.
std::uint64_t HashOf(std::size_t number, const Quota& ration, const RequestAttributes& asked) {
  if (ration.bucket_key == kSingleBucket) return 0;
  std::uint64_t facts[5] = {number};
  if ((ration.bucket_key & kPerTenant) != 0) facts[1] = static_cast<std::uint64_t>(asked.tenant) + 2;
  if ((ration.bucket_key & kPerClass) != 0) facts[2] = static_cast<std::uint64_t>(asked.cls) + 1;
  if ((ration.bucket_key & kPerClient) != 0) facts[3] = asked.client;
  if ((ration.bucket_key & kPerKeyPrefix) != 0) {
    std::string_view group =
        asked.key.substr(0, static_cast<std::size_t>(std::max(ration.key_prefix_length, 0)));
    facts[4] = XXH3_64bits(group.data(), group.size());
  }
  return XXH3_64bits(facts, sizeof facts);
}

}  // namespace

int QuotaTable::FindQuota(const RequestAttributes& asked) const {
  int leaf = -1;
  std::size_t deepest = 0;
  for (std::size_t i = 0; i < quotas.size(); ++i) {
    if (!Counts(quotas[i], asked)) continue;
    std::size_t depth = 1;
    for (int above = quotas[i].parent; above >= 0; above = quotas[static_cast<std::size_t>(above)].parent)
      ++depth;
    if (depth <= deepest) continue;
    deepest = depth;
    leaf = static_cast<int>(i);
  }
  return leaf;
}

void QuotaTable::BuildIndex(int tenants, int classes) {
  quota_index.clear();
  for (int tenant = -1; tenant < tenants; ++tenant) {
    for (int cls = 0; cls < classes; ++cls) {
      for (int kind = 0; kind < 4; ++kind)
        quota_index.push_back(FindQuota({tenant, cls, kind >= 2, kind % 2 == 1, 0, {}}));
    }
  }
  indexed_tenants = tenants;
  indexed_classes = classes;
}

BucketPath QuotaTable::BucketPathOf(const RequestAttributes& asked) const {
  bool indexed =
      asked.tenant >= -1 && asked.tenant < indexed_tenants && asked.cls >= 0 && asked.cls < indexed_classes;
  int kind = (asked.write ? 2 : 0) + (asked.retry ? 1 : 0);
  int at = ((asked.tenant + 1) * indexed_classes + asked.cls) * 4 + kind;
  int ration = indexed ? quota_index[static_cast<std::size_t>(at)] : FindQuota(asked);
  BucketPath chain;
  while (ration >= 0 && chain.size < kMaxQuotaDepth) {
    auto number = static_cast<std::size_t>(ration);
    chain.buckets[chain.size++] = {static_cast<std::uint32_t>(ration), HashOf(number, quotas[number], asked)};
    ration = quotas[number].parent;
  }
  return chain;
}

const TokenRate& QuotaTable::RateAt(std::size_t ration, std::int64_t unix_s, unsigned signs) const {
  const Quota& one = quotas[ration];
  for (const RateOverride& change : one.overrides) {
    bool time = unix_s >= change.from_s && unix_s < change.to_s;
    if (time && (change.conditions & signs) == change.conditions) return change.rate;
  }
  return one.rate;
}

TokenRate QuotaTable::MaxRate(std::size_t ration) const {
  TokenRate most = quotas[ration].rate;
  for (const RateOverride& change : quotas[ration].overrides) {
    most.per_second = std::max(most.per_second, change.rate.per_second);
    most.burst = std::max(most.burst, change.rate.burst);
  }
  return most;
}

double CreditLimit(const TokenRate& pace) {
  return std::max(1.0, std::min(pace.per_second / 10, pace.burst));
}

}  // namespace peatbend::rations

#include "rations/quota_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace peatbend::rations {
namespace {

// An empty list contains every value.
bool ContainsIndex(const std::vector<int>& sorted, int value) {
  return sorted.empty() || std::ranges::binary_search(sorted, value);
}

bool QuotaMatches(const Quota& quota, const RequestAttributes& request) {
  bool access = quota.access == AccessKind::kAny || (quota.access == AccessKind::kWrites) == request.write;
  bool try_kind = quota.try_kind == TryKind::kAny || (quota.try_kind == TryKind::kRetry) == request.retry;
  return access && try_kind && ContainsIndex(quota.tenants, request.tenant) &&
         ContainsIndex(quota.classes, request.cls);
}

// The key prefix goes in as a hash of its own, so that the hashed values have a fixed size.
std::uint64_t BucketKeyHash(std::size_t index, const Quota& quota, const RequestAttributes& request) {
  if (quota.bucket_key == kSingleBucket) return 0;
  std::uint64_t values[5] = {index};
  if ((quota.bucket_key & kPerTenant) != 0) values[1] = static_cast<std::uint64_t>(request.tenant) + 2;
  if ((quota.bucket_key & kPerClass) != 0) values[2] = static_cast<std::uint64_t>(request.cls) + 1;
  if ((quota.bucket_key & kPerClient) != 0) values[3] = request.client;
  if ((quota.bucket_key & kPerKeyPrefix) != 0) {
    std::string_view prefix =
        request.key.substr(0, static_cast<std::size_t>(std::max(quota.key_prefix_length, 0)));
    values[4] = XXH3_64bits(prefix.data(), prefix.size());
  }
  return XXH3_64bits(values, sizeof values);
}

}  // namespace

int QuotaTable::FindQuota(const RequestAttributes& request) const {
  int innermost = -1;
  std::size_t max_depth = 0;
  for (std::size_t i = 0; i < quotas.size(); ++i) {
    if (!QuotaMatches(quotas[i], request)) continue;
    std::size_t depth = 1;
    for (int parent = quotas[i].parent; parent >= 0; parent = quotas[static_cast<std::size_t>(parent)].parent)
      ++depth;
    if (depth <= max_depth) continue;
    max_depth = depth;
    innermost = static_cast<int>(i);
  }
  return innermost;
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

BucketPath QuotaTable::BucketPathOf(const RequestAttributes& request) const {
  bool indexed = request.tenant >= -1 && request.tenant < indexed_tenants && request.cls >= 0 &&
                 request.cls < indexed_classes;
  int kind = (request.write ? 2 : 0) + (request.retry ? 1 : 0);
  int at = ((request.tenant + 1) * indexed_classes + request.cls) * 4 + kind;
  int quota = indexed ? quota_index[static_cast<std::size_t>(at)] : FindQuota(request);
  BucketPath path;
  while (quota >= 0 && path.size < kMaxQuotaDepth) {
    auto index = static_cast<std::size_t>(quota);
    path.buckets[path.size++] = {static_cast<std::uint32_t>(quota),
                                 BucketKeyHash(index, quotas[index], request)};
    quota = quotas[index].parent;
  }
  return path;
}

const TokenRate& QuotaTable::RateAt(std::size_t quota, std::int64_t unix_s, unsigned conditions) const {
  const Quota& entry = quotas[quota];
  for (const RateOverride& rate_override : entry.overrides) {
    bool in_period = unix_s >= rate_override.from_s && unix_s < rate_override.to_s;
    if (in_period && (rate_override.conditions & conditions) == rate_override.conditions)
      return rate_override.rate;
  }
  return entry.rate;
}

TokenRate QuotaTable::MaxRate(std::size_t quota) const {
  TokenRate max_rate = quotas[quota].rate;
  for (const RateOverride& rate_override : quotas[quota].overrides) {
    max_rate.per_second = std::max(max_rate.per_second, rate_override.rate.per_second);
    max_rate.burst = std::max(max_rate.burst, rate_override.rate.burst);
  }
  return max_rate;
}

double CreditLimit(const TokenRate& rate) {
  return std::max(1.0, std::min(rate.per_second / 10, rate.burst));
}

}  // namespace peatbend::rations

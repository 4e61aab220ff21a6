// Small quota tables for tests.
#pragma once

#include <utility>
#include <vector>

#include "rations/message.h"
#include "rations/quota_table.h"

namespace peatbend::rations::test {

inline Quota MakeQuota(TokenRate rate, int parent = -1, unsigned bucket_key = kSingleBucket) {
  Quota quota;
  quota.rate = rate;
  quota.parent = parent;
  quota.bucket_key = bucket_key;
  return quota;
}
inline QuotaTable MakeTable(std::vector<Quota> quotas) {
  QuotaTable table;
  table.fingerprint = 7;
  table.quotas = std::move(quotas);
  table.BuildIndex(3, 2);
  return table;
}
inline RequestAttributes RequestBy(int tenant, std::uint64_t client = 0, std::string_view key = {}) {
  return {tenant, 0, false, false, client, key};
}
inline Entry EntryOf(const BucketPath& path, std::uint32_t want) { return {path, want, 0}; }
// The path without its innermost bucket.
inline BucketPath ParentPath(const BucketPath& path) {
  BucketPath above;
  for (std::size_t i = 1; i < path.size; ++i) above.buckets[above.size++] = path.buckets[i];
  return above;
}

}  // namespace peatbend::rations::test

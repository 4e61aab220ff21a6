// Small books of rations, for tests.
#pragma once

#include <utility>
#include <vector>

#include "rations/message.h"
#include "rations/quota_table.h"

namespace peatbend::rations::test {

inline Quota Of(TokenRate pace, int inside = -1, unsigned per = kSingleBucket) {
  Quota ration;
  ration.rate = pace;
  ration.parent = inside;
  ration.bucket_key = per;
  return ration;
}
inline QuotaTable TableOf(std::vector<Quota> rations) {
  QuotaTable table;
  table.fingerprint = 7;
  table.quotas = std::move(rations);
  table.BuildIndex(3, 2);
  return table;
}
inline RequestAttributes By(int tenant, std::uint64_t client = 0, std::string_view key = {}) {
  return {tenant, 0, false, false, client, key};
}
inline Entry Want(const BucketPath& chain, std::uint32_t want) { return {chain, want, 0}; }
// The bucket that the chain's first lies in.
inline BucketPath Above(const BucketPath& chain) {
  BucketPath above;
  for (std::size_t i = 1; i < chain.size; ++i) above.buckets[above.size++] = chain.buckets[i];
  return above;
}

}  // namespace peatbend::rations::test

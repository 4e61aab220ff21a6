// The compiled form of a quota configuration: flat, with names resolved to indexes into the settings.
// quota_config.h compiles it from text. A value type; a constant table may be read by any thread.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peatbend::rations {

// The attributes of a request that quotas select by. The key is only used during the call.
struct RequestAttributes {
  int tenant = -1;  // index into the settings' tenants; any other value: no configured tenant
  int cls = 0;      // index into the settings' classes
  bool write = false, retry = false;
  std::uint64_t client = 0;  // hash of the client's address; must be the same at all routers
  std::string_view key;
};

enum class AccessKind : std::uint8_t { kAny, kReads, kWrites };
enum class TryKind : std::uint8_t { kAny, kFirst, kRetry };
enum class OverLimitAction : std::uint8_t { kReject, kLowerPriority, kCountOnly };
// What a soft quota does while the owner of its bucket is unreachable.
enum class WhenUnreachable : std::uint8_t { kReject, kOwnShare, kAdmit };
// Conditions of the fleet, as bits.
enum Condition : unsigned { kNoCondition = 0, kOriginOverloaded = 1, kZoneLost = 2 };
// Attributes that have separate buckets, as bits; none: all requests of the quota share one bucket.
enum BucketKey : unsigned {
  kSingleBucket = 0,
  kPerTenant = 1,
  kPerClass = 2,
  kPerClient = 4,
  kPerKeyPrefix = 8
};

struct TokenRate {
  double per_second = 0;  // tokens
  double burst = 0;       // tokens, at least 1
  bool operator==(const TokenRate&) const = default;
};

// Replaces a quota's rate during a period while all of `conditions` hold. The first matching override
// applies.
struct RateOverride {
  std::int64_t from_s = INT64_MIN, to_s = INT64_MAX;  // Unix time; to_s is exclusive
  unsigned conditions = kNoCondition;
  TokenRate rate;
  bool operator==(const RateOverride&) const = default;
};

struct Quota {
  std::string name;
  std::vector<int> tenants, classes;  // selected ones, sorted; empty: any
  AccessKind access = AccessKind::kAny;
  TryKind try_kind = TryKind::kAny;
  unsigned bucket_key = kSingleBucket;
  int key_prefix_length = 0;  // for kPerKeyPrefix, in bytes
  TokenRate rate;
  std::vector<RateOverride> overrides;
  int parent = -1;  // index of the enclosing quota, which counts these requests too; less than its own index
  bool hard = true;
  bool borrows = false;  // may use what the enclosing quotas have to spare
  WhenUnreachable when_unreachable = WhenUnreachable::kReject;
  OverLimitAction over_limit = OverLimitAction::kReject;
  bool operator==(const Quota&) const = default;
};

struct Bucket {
  std::uint32_t quota = 0;
  std::uint64_t key_hash = 0;  // hash of the attributes in `bucket_key`; 0 for a single bucket
  auto operator<=>(const Bucket&) const = default;
};

// A reader of quota configurations that an operator declared gone, and the last of its statements known then.
struct RetiredReader {
  std::string reader;
  std::uint64_t statement = 0;
  std::string reason;
  bool operator==(const RetiredReader&) const = default;
};

constexpr std::size_t kMaxQuotaDepth = 4;  // quotas that count one request
// The buckets of a request, from the innermost quota to the outermost.
struct BucketPath {
  std::array<Bucket, kMaxQuotaDepth> buckets{};
  std::uint8_t size = 0;
  const Bucket& root() const { return buckets[size - 1u]; }
  auto operator<=>(const BucketPath&) const = default;
};

struct QuotaTable {
  int language_version = 1;  // the version that a reader must support
  // Hash of the canonical form and of the settings' names in use: equal for equal tables; 0: no
  // configuration.
  std::uint64_t fingerprint = 0;
  std::vector<RetiredReader> retired_readers;
  std::vector<Quota> quotas;

  // The buckets of the innermost quota that counts the request and of those around it; empty if none counts
  // it. Does not allocate. quota_config.h rejects configurations in which the innermost quota is ambiguous.
  BucketPath BucketPathOf(const RequestAttributes& request) const;
  // The rate in force at that time under these conditions.
  const TokenRate& RateAt(std::size_t quota, std::int64_t unix_s, unsigned conditions) const;
  // The maximum rate and the maximum burst, over the quota and all its overrides.
  TokenRate MaxRate(std::size_t quota) const;

  // Builds an index for so many tenants and classes, which makes BucketPathOf a lookup; to be called after
  // `quotas` is complete. Requests outside of the index are matched against all quotas.
  void BuildIndex(int tenants, int classes);
  std::vector<int> quota_index;  // a quota or -1, by tenant + 1, class, write, retry
  int indexed_tenants = 0, indexed_classes = 0;

 private:
  int FindQuota(const RequestAttributes& request) const;
};

// The tokens that one process may use or request ahead of a grant: a tenth of a second's, limited to the
// burst, but at least 1. In any interval of T seconds all routers together admit at most burst + per_second *
// T + processes * CreditLimit(rate).
double CreditLimit(const TokenRate& rate);

}  // namespace peatbend::rations

// A book of rations as the program uses it: flat, its names resolved to the deployment's numbers. book.h
// reads one out of a text. Values; copied freely, read by any thread.
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

// What is known of a request when its ration is asked. Views need to live only for the call.
struct RequestAttributes {
  int tenant = -1;  // index into the settings' tenants; any other: unnamed
  int cls = 0;      // index into the settings' classes
  bool write = false, retry = false;
  std::uint64_t client = 0;  // of its address, however hashed; the same at all routers
  std::string_view key;
};

enum class AccessKind : std::uint8_t { kAny, kReads, kWrites };
enum class TryKind : std::uint8_t { kAny, kFirst, kRetry };
enum class OverLimitAction : std::uint8_t { kReject, kLowerPriority, kCountOnly };
// What a soft ration does while nobody who keeps it answers.
enum class WhenUnreachable : std::uint8_t { kReject, kOwnShare, kAdmit };
// What the fleet sees, as bits.
enum Condition : unsigned { kNoCondition = 0, kOriginOverloaded = 1, kZoneLost = 2 };
// One bucket for each of these, as bits; none: one bucket for all that the ration counts.
enum BucketKey : unsigned {
  kSingleBucket = 0,
  kPerTenant = 1,
  kPerClass = 2,
  kPerClient = 4,
  kPerKeyPrefix = 8
};

struct TokenRate {
  double per_second = 0;  // tokens a second
  double burst = 0;       // tokens, at the least one
  bool operator==(const TokenRate&) const = default;
};

// Holds in place of the ration's own pace while its time has come and all of `signs` are seen; the first that
// holds counts.
struct RateOverride {
  std::int64_t from_s = INT64_MIN, to_s = INT64_MAX;  // Unix time; up to, not with, to_s
  unsigned conditions = kNoCondition;
  TokenRate rate;
  bool operator==(const RateOverride&) const = default;
};

struct Quota {
  std::string name;
  std::vector<int> tenants, classes;  // whom it counts, sorted; empty: any
  AccessKind access = AccessKind::kAny;
  TryKind try_kind = TryKind::kAny;
  unsigned bucket_key = kSingleBucket;
  int key_prefix_length = 0;  // kPerKeyGroup: so many characters of the key's beginning
  TokenRate rate;
  std::vector<RateOverride> overrides;
  int parent = -1;  // the ration that counts the same requests too; lower than its own number
  bool hard = true;
  bool borrows = false;  // what the others inside the same ration leave
  WhenUnreachable when_unreachable = WhenUnreachable::kReject;
  OverLimitAction over_limit = OverLimitAction::kReject;
  bool operator==(const Quota&) const = default;
};

struct Bucket {
  std::uint32_t quota = 0;
  std::uint64_t key_hash = 0;  // a hash of what `per` names; 0 without
  auto operator<=>(const Bucket&) const = default;
};

// A reader of books that an operator says is no more, and which of its statements he saw.
struct RetiredReader {
  std::string reader;
  std::uint64_t statement = 0;
  std::string reason;
  bool operator==(const RetiredReader&) const = default;
};

constexpr std::size_t kMaxQuotaDepth = 4;  // rations that count one request
// A request's buckets: of the ration that it belongs to first, then of those that this is inside of.
struct BucketPath {
  std::array<Bucket, kMaxQuotaDepth> buckets{};
  std::uint8_t size = 0;
  const Bucket& root() const { return buckets[size - 1u]; }
  auto operator<=>(const BucketPath&) const = default;
};

struct QuotaTable {
  int language_version = 1;  // the language's version that a reader must know
  std::uint64_t fingerprint =
      0;  // of the canonical form and the settings' names: equal for equal tables; 0: no book
  std::vector<RetiredReader> retired_readers;
  std::vector<Quota> quotas;

  // The request's chain; empty where no ration counts it. Allocates nothing. Of the rations that count it,
  // the one furthest inside; book.h refuses books where that is not one.
  BucketPath BucketPathOf(const RequestAttributes& asked) const;
  // The pace in force at that time, under these signs.
  const TokenRate& RateAt(std::size_t ration, std::int64_t unix_s, unsigned signs) const;
  // The greatest rate and burst that any time or sign can bring.
  TokenRate MaxRate(std::size_t ration) const;

  // Makes ChainOf find the ration at once, for so many tenants and classes; once the rations stand. Without
  // it, and beyond them, it looks through all.
  void BuildIndex(int tenants, int classes);
  std::vector<int> quota_index;  // Index's: a ration or -1, by tenant + 1, class, write, repeat
  int indexed_tenants = 0, indexed_classes = 0;

 private:
  int FindQuota(const RequestAttributes& asked) const;
};

// So many tokens of a ration may one process have at the most, in hand or asked for: a tenth of a second's,
// one at the least, its burst at the most. Part of what is promised: in any stretch of T seconds all routers
// together admit at most burst + rate x T + processes x AheadOf(pace).
double CreditLimit(const TokenRate& pace);

}  // namespace peatbend::rations

// The tokens that one router owes to the shard owners. A request within its quotas is admitted at once, on
// credit; its tokens are requested afterwards, and never more than are owed. The debt of a bucket never
// exceeds CreditLimit. So no request waits for another router, no router holds tokens that it does not use,
// and all routers together admit at most what the owners granted plus CreditLimit for each process. A debt is
// forgotten only when the process ends: only buckets without debt may be evicted, and a bucket for which
// there is no room gets no credit. No I/O and no clocks; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "rations/hash_index.h"
#include "rations/message.h"
#include "rations/quota_table.h"

namespace peatbend::rations {

struct Verdict {
  bool within_quota = true;  // no quota counts the request, or it was admitted on credit
  bool counted = false;      // a quota counts the request
  OverLimitAction over =
      OverLimitAction::kCountOnly;  // if not within the quota: what the quota says to do with it
  Span retry_after{};               // if not within the quota: randomized per request
  std::uint32_t quota = 0;          // index into Table::rations
};

class CreditLedger {
 public:
  struct Options {
    int routers = 1;  // of the fleet, for `own share`
    // Minimum interval between the requests to one shard.
    Span request_interval = std::chrono::milliseconds{20};
    // Of an unanswered request, under the same sequence number; shorter if answers usually come sooner.
    Span resend_interval = std::chrono::milliseconds{40};
    // Soft quotas apply their `alone` rule once a request has been unanswered for so long.
    Span unreachable_after = std::chrono::milliseconds{300};
    // Delay of the request for a debt that is not close to the credit limit.
    Span idle_request_delay = std::chrono::seconds{1};
    std::size_t buckets = 100'000;  // limit
  };
  // `table` must outlive this object. `nonce`: of the process. `random`: seed of the jitter. `last`:
  // last_sequence() of the process's previous ledger, since no sequence number is used twice under one nonce.
  CreditLedger(const QuotaTable& table, Options options, std::uint64_t nonce, std::uint64_t random, Time now,
               std::uint64_t last = 0);

  // Takes less than a microsecond; allocates only for a bucket that is new here.
  Verdict Admit(Time now, const RequestAttributes& asked);
  // Appends the token requests that are due, new ones and those to be resent. The caller knows the owner of
  // each shard and sends them there.
  void CollectRequests(Time now, std::vector<Message>& requests);
  // Applies a grant and returns true; ignores all but the first grant for the outstanding request.
  bool HandleGrant(Time now, const Message& grant);
  // Makes the outstanding request due at once, to be sent to another owner.
  void ResendNow(std::uint32_t shard);
  std::optional<Time> NextDue() const { return due_ == Time::max() ? std::nullopt : std::optional(due_); }

  std::uint64_t debt() const { return debt_; }  // of all buckets, in tokens
  std::uint32_t debt(const Bucket& bucket) const;
  bool owner_unreachable(Time now, std::uint32_t shard) const;
  std::uint64_t last_sequence() const { return last_sequence_; }
  std::size_t buckets() const { return index_.size(); }
  struct Metrics {
    std::uint64_t within_quota = 0, over_quota = 0, without_owner = 0, token_requests = 0, resends = 0,
                  granted = 0, void_grants = 0;
  };
  const Metrics& metrics() const { return metrics_; }
  void AppendState(std::string& into) const;

 private:
  using Slot = HashIndex::Slot;
  struct Account {  // of a bucket; fields used by each request come first
    Bucket bucket;
    Account* parent = nullptr;   // of the enclosing bucket
    std::uint32_t children = 0;  // buckets directly inside this one
    std::uint32_t debt = 0, credit_limit = 1;
    float demand = 0;  // number of recent requests, with exponential decay
    Slot slot = 0;     // its own
    std::uint8_t shard = 0;
    bool requested = false, queued = false;  // in the outstanding token request; to be in the next one
    bool limited = false;                    // a request found the credit used up since the last grant
    Time demand_at{}, not_before{}, retry_at{};
    double own_share = 0;  // tokens to admit while the owner is unreachable
    Time own_share_at = Time::min();
  };
  // Of a quota: how long a debt that is close to the credit limit waits so that others share its token
  // request.
  struct UrgentDelay {
    double seconds;
    bool limited = false;  // a debt has hit the credit limit since the start
  };
  struct Shard {
    std::optional<Message> outstanding;
    std::vector<Slot> slots;                             // of the outstanding request's entries
    Time last_sent{}, first_sent{}, next_request{};      // next_request: not before
    Time due = Time::max();                              // of the queued accounts
    Span response_time = std::chrono::milliseconds{10};  // moving average
    std::vector<Slot> queued;
    bool owner_answered = false;
  };

  static std::uint64_t HashOf(const Bucket& bucket) {
    return (bucket.key_hash ^ bucket.quota) * 0x9e3779b97f4a7c15u >> 32;
  }
  Slot SlotOf(const Bucket& bucket) const {
    return index_.Find(HashOf(bucket), [&](Slot slot) { return accounts_[slot].bucket == bucket; });
  }
  Account* FindOrCreate(Time now, const BucketPath& chain);
  Account* Create(Time now, const BucketPath& chain);
  std::optional<Slot> FreeSlot();
  bool IsUrgent(const Account& account) const;
  Span UrgentDelayOf(const Account& account) const;
  void UpdateUrgentDelay(const Account& account, bool paid_in_full);
  void Enqueue(Account& account, Time at);
  Span PartialGrantDelay(const Account& account, std::uint32_t ratio) const;
  Time ResendAt(const Shard& shard) const;
  Time DueOf(const Shard& shard) const;
  void UpdateDue();
  void BuildRequest(Time now, std::uint32_t number, std::vector<Message>& requests);
  void ApplyGrant(Time now, Time requested_at, Slot slot, const Entry& requested, const Entry& granted);
  bool AdmitWithoutOwner(Time now, Account& leaf, Verdict& verdict);
  Span Jitter(Span span);

  const QuotaTable& table_;
  Options options_;
  std::uint64_t nonce_, last_sequence_;
  std::minstd_rand random_;
  std::uint64_t debt_ = 0;
  std::deque<Account> accounts_;
  HashIndex index_;
  Slot next_candidate_ = 0;                   // where FreeSlot continues
  std::vector<std::uint32_t> credit_limits_;  // by quota
  double min_urgent_delay_s_;
  std::vector<UrgentDelay> urgent_delays_;  // by quota
  Time due_ = Time::max();                  // earliest of all shards
  std::vector<Shard> shards_;
  Metrics metrics_;
};

}  // namespace peatbend::rations

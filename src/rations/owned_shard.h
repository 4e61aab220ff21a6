// A shard that this process owns or tries to own: its ballot, its buckets, and the last request of each
// requester. Token requests are queued, granted in batches, and answered once the replicas have confirmed the
// ownership. No I/O and no clocks; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rations/shard_buckets.h"
#include "rations/shard_ownership.h"

namespace peatbend::rations {

class OwnedShard {
 public:
  // Starts an election: appends the prepare requests to `out`.
  OwnedShard(std::uint32_t shard, Ballot ballot, Time now, std::vector<ShardOwnership::Request>& out)
      : shard_(shard),
        election_started_at(now),
        last_sent_at(now),
        ownership(shard, std::move(ballot), out) {}

  // To be called after ShardOwnership::TakeOwnership, and again to switch to another table: requests and
  // grants under the previous one are void then. `table` must outlive this object.
  void SetTable(const QuotaTable& table, ShardLimits limits, Time now, std::int64_t unix_s);
  // Queues a token request. Returns the same grant again for a request that was answered already. Requests
  // older than the requester's last one are ignored.
  std::optional<Message> HandleRequest(Time now, const std::string& from, const Message& request);
  // Grants tokens for the queued requests and requests the confirmation. Returns the number of tokens.
  std::uint64_t GrantQueued(Time now, std::int64_t unix_s, unsigned signs,
                            std::vector<ShardOwnership::Request>& out);
  // Returns the grants confirmed since the last call.
  std::vector<Outgoing> TakeConfirmedGrants();

  struct QueuedRequest {
    Message request;
    std::vector<std::string> from;  // the requesting router, and others that forwarded the request
  };
  const std::map<std::uint64_t, QueuedRequest>& queued() const { return queued_; }
  bool is_owner() const { return buckets_ && ownership.phase() == ShardOwnership::Phase::kOwning; }
  std::optional<Time> unconfirmed_since() const;  // of the oldest batch that awaits its confirmation
  ShardBuckets* buckets() { return buckets_ ? &*buckets_ : nullptr; }
  const ShardBuckets* buckets() const { return buckets_ ? &*buckets_ : nullptr; }
  // Appends the requests and grants as bytes, for tests; without the ownership and the buckets.
  void AppendState(std::string& into) const;

 private:
  struct Requester {
    std::uint64_t sequence = 0;      // of the last request that was granted
    std::uint64_t confirmation = 0;  // sequence number of the confirmation that the grant awaits
    Message grant;
    std::vector<std::string> routers;  // receivers of the grant
    bool confirmed = false;
    Time last_used{};
  };
  struct Batch {
    std::uint64_t confirmation;
    Time granted_at;
    std::vector<std::uint64_t> requesters;
  };
  Requester& FindOrCreate(Time now, std::uint64_t nonce);

  std::uint32_t shard_;
  const QuotaTable* table_ = nullptr;
  std::size_t max_requesters_ = 0;
  std::optional<ShardBuckets> buckets_;
  std::map<std::uint64_t, Requester> requesters_;  // by the nonce of their process
  std::map<std::uint64_t, QueuedRequest> queued_;  // by the nonce of the requester
  std::deque<Batch> batches_;                      // not confirmed yet

 public:
  Time election_started_at, last_sent_at;  // the last request to the replicas
  Time next_batch_at = Time::max();        // the caller may delay it to make batches larger
  ShardOwnership ownership;
};

}  // namespace peatbend::rations

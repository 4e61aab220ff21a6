// All that one router does for the quotas of its fleet: its ledger, its replicas of shards, and the shards
// that it owns. Decides whom to send token requests to and when to start and give up elections; the safety
// rules are those of ShardOwnership and CreditLedger. No I/O and no clocks; not thread-safe. Outgoing
// messages are collected until DrainOutgoing.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "failover/replica_set.h"
#include "rations/credit_ledger.h"
#include "rations/owned_shard.h"
#include "rations/shard_buckets.h"
#include "rations/shard_ownership.h"

namespace peatbend::rations {

struct QuotaManagerOptions {
  bool is_replica = true;  // false: this process is no replica, whatever its name
  CreditLedger::Options ledger;
  ShardLimits limits;
  // After so long from the start of an election, two promises suffice.
  Span third_promise_wait = std::chrono::milliseconds{10};
  Span resend_interval = std::chrono::milliseconds{10};
  // Gives up an election without two promises, or a batch without confirmation, after so long; tries again
  // after a random delay.
  Span give_up_after = std::chrono::milliseconds{400};
};

class QuotaManager {
 public:
  // `replicas`: the routers that may own shards; the same at all routers. `nonce`: chosen at the start of the
  // process, never used before. `present`: whether that router is believed to be up; affects only whom to ask
  // and when to start an election.
  QuotaManager(QuotaManagerOptions options, failover::ReplicaSet replicas, std::string self,
               std::uint64_t nonce, std::uint64_t random, std::shared_ptr<const QuotaTable> table, Time now,
               std::function<bool(const std::string&)> present);

  // Switches to another table: credit, debts and buckets of the previous one are void.
  void SetTable(Time now, std::shared_ptr<const QuotaTable> table);
  Verdict Admit(Time now, const RequestAttributes& asked);
  void Receive(Time now, const std::string& from, const Message& message);
  // `unix_s`, `signs`: determine the rates in force in the shards that are owned here.
  void Tick(Time now, std::int64_t unix_s, unsigned signs);
  std::optional<Time> NextDue() const;  // of Tick
  std::vector<Outgoing> DrainOutgoing() { return std::exchange(out_, {}); }

  const QuotaTable& table() const { return *table_; }
  struct Metrics {
    std::uint64_t elections = 0, elections_won = 0, ballots_lost = 0, grants = 0, tokens = 0,
                  config_mismatches = 0, redirects = 0;
  };
  const Metrics& metrics() const { return metrics_; }
  const CreditLedger& ledger() const { return *ledger_; }
  std::size_t owned_shards() const;
  std::size_t owned_buckets() const;

 private:
  struct Shard {  // as seen by this router
    std::array<std::string, kReplicasPerShard> replicas;
    std::size_t own_index = kReplicasPerShard;  // of this router among them; else it is no replica
    std::optional<ShardReplica> replica;
    std::unique_ptr<OwnedShard> owned;  // also during an election
    std::uint64_t highest_round = 0;    // seen so far
    Time next_election = Time::min();   // not before
    Time owner_heard = Time::min();     // when the owner that this replica has promised was last heard
    std::string deposed;                // believed owner at the start of the election, until it is heard of
    int premature_elections = 0;        // recent elections that deposed a healthy owner; decays with time
    Time premature_at{};                // of the last one
    // Token requests that arrive here repeatedly although another router should have answered, by requester.
    struct Stalled {
      std::uint64_t sequence;
      Time first_seen, last_seen;
    };
    std::map<std::uint64_t, Stalled> stalled;
    // Token requests forwarded to the owner for routers that cannot reach it: by requester, the router and
    // the sequence number.
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> forwarded;
    // For the router's own token requests.
    std::string owner;  // believed
    std::uint64_t last_sequence = 0;
    int unanswered = 0, redirects = 0;  // resends of the request; redirects followed since it was last sent
    bool redirected = false;            // the next resend follows a redirect
  };

  const std::string& FirstPresent(const Shard& shard) const;
  void Send(const std::string& to, Message message);
  void SendToReplicas(const Shard& shard, std::vector<ShardOwnership::Request> out);
  void DeliverLocal(Time now);
  void Handle(Time now, const std::string& from, const Message& message);
  void HandleRequest(Time now, Shard& shard, const std::string& from, const Message& request);
  void SendRedirect(const Shard& shard, const std::string& to, const Message& request);
  const std::string& OtherOwner(const Shard& shard) const;
  static void OnOwnerHeard(Time now, Shard& shard);
  static void OnPrematureElection(Time now, Shard& shard);
  static int RecentPremature(Time now, const Shard& shard);
  bool ShouldStartElection(Time now, Shard& shard, const Message& request);
  const std::string& UnreachableOwner(const Shard& shard, const Message& request) const;
  bool Forward(Shard& shard, const std::string& from, const Message& request);
  void StartElection(Time now, std::uint32_t number);
  void TakeOwnership(Time now, Shard& shard);
  void HandleResponse(Time now, Shard& shard, const std::string& from, const Message& response);
  void GiveUp(Time now, Shard& shard, Span pause);
  void TickOwned(Time now, Shard& shard);
  void SelectMajority(const Shard& shard, std::vector<ShardOwnership::Request>& out) const;
  void SendTokenRequests(Time now);
  Span RandomUpTo(Span span);

  QuotaManagerOptions options_;
  failover::ReplicaSet replicas_;
  std::string self_;
  std::uint64_t nonce_;
  std::minstd_rand random_;
  std::function<bool(const std::string&)> present_;
  std::vector<Outgoing> out_, local_;  // local_: to this router itself
  std::shared_ptr<const QuotaTable> table_;
  std::unique_ptr<CreditLedger> ledger_;
  std::string last_confirmer_;  // the other replica that confirmed last, of any shard
  std::vector<Shard> shards_;
  std::uint64_t elections_ = 0;
  std::int64_t unix_s_ = 0;
  unsigned signs_ = kNoCondition;
  Time evict_at_;
  Time last_batch_ = Time::min() / 2;  // of any shard
  Metrics metrics_;
};

}  // namespace peatbend::rations

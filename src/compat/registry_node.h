// A router's part in the schema registry: its replica of the record, if it is one of the three; the updates
// that it submits, one after another; and the last committed state that it knows of. Decides when to resend,
// when to start a new ballot and whom to ask; RegistryUpdate and failover::RecordReplica decide what is
// committed. Free of I/O and clocks; one owner, one thread. Outgoing messages, including those to itself, are
// queued until DrainOutgoing().
//
// A replica's answers may leave only after replica_state() is in stable storage, if there is any: see
// unsaved().
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "compat/registry_state.h"
#include "compat/registry_update.h"
#include "compat/wire.h"
#include "failover/replica_set.h"

namespace peatbend::compat {

using failover::Duration;
using failover::TimePoint;

struct RegistryOptions {
  Duration resend_interval = std::chrono::milliseconds{100};  // to replicas that have not answered
  Duration ballot_timeout = std::chrono::seconds{2};          // until an unfinished ballot is replaced
  // Before the next ballot of an update that met a conflict: a random duration up to the first, doubled with
  // each ballot up to the second.
  Duration min_backoff = std::chrono::milliseconds{40}, max_backoff = std::chrono::seconds{2};
  // Between the sync requests of a restarted replica; doubled from the first to the second, so that a slow
  // answer still counts.
  Duration min_sync_interval = std::chrono::milliseconds{300}, max_sync_interval = std::chrono::seconds{5};
  Duration announce_interval = std::chrono::seconds{2};  // of the known state, to one other router
  // A replica that has accepted a value and not heard that it is committed reads the record after this.
  Duration max_lag = std::chrono::seconds{1};
  std::size_t max_queued = 64;  // updates
  RegistryState::Bounds bounds;
};

class RegistryNode {
 public:
  using Callback = std::function<void(const UpdateResult&)>;
  struct Outgoing {
    std::string router;
    Message message;
  };
  struct Completed {
    std::string label;
    UpdateResult result;
    Callback callback;
  };
  struct Metrics {
    std::uint64_t updates = 0, rejected = 0, ballots = 0, conflicts = 0, states_requested = 0,
                  sync_requests = 0;
  };

  // `generation`: as failover::RecordReplica's; 0 while it is not known, and then this node neither submits
  // nor votes. `nonce`: unique to this start of this process. `others`: the routers that seem to be alive;
  // used only to choose whom to ask.
  RegistryNode(RegistryOptions options, const failover::ReplicaSet& replicas, std::string self,
               std::uint64_t generation, std::uint64_t nonce, TimePoint now,
               std::function<std::vector<std::string>()> others);

  // Starts this router's replica, if it has one, from the state that its former process saved, if any.
  // Until then it answers no request to a replica.
  void StartReplica(TimePoint now, const std::optional<ReplicaState>& saved);
  void SetGeneration(std::uint64_t generation);
  // An operator's command: the registry is new. The replica votes once both others, given the same command,
  // have recorded its bootstrap. Has no effect on a replica that votes.
  void Bootstrap(TimePoint now);
  void Submit(TimePoint now, std::string label, RegistryUpdate::Command command, Callback callback);
  // A message of that router, which may be this one.
  void Handle(TimePoint now, const std::string& from, const Message& message);
  void Tick(TimePoint now);
  TimePoint Due() const;

  std::vector<Outgoing> DrainOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Completed> DrainCompleted() { return std::exchange(completed_, {}); }

  const RegistryState& known() const { return known_; }
  std::uint64_t revision() const { return revision_; }
  bool is_replica() const { return own_replica_ < failover::kReplicas; }
  bool votes(TimePoint now) const { return is_replica() && replica_.MayVote(now, kRecordKey); }
  bool bootstrapping() const { return bootstrap_requested_ && !bootstrap_rejected_; }
  // Another replica knows this one from before, so the command to bootstrap was rejected.
  bool bootstrap_rejected() const { return bootstrap_rejected_; }
  std::size_t queued() const { return queue_.size(); }
  const Metrics& metrics() const { return metrics_; }

  // Whether replica_state() has changed since MarkSaved().
  bool unsaved() const { return unsaved_; }
  void MarkSaved() { unsaved_ = false; }
  ReplicaState replica_state() const;

 private:
  static constexpr const char* kRecordKey = "catalogue";
  struct PendingUpdate {
    std::string label;
    RegistryUpdate::Command command;
    Callback callback;
  };
  failover::RecordReplica::ReplicasFor ReplicasFor() const;
  void Restore(TimePoint now, const ReplicaState& saved);
  std::size_t ReplicaOf(const std::string& router) const;
  void SendAll(std::vector<failover::RecordProposer::Outgoing> out);
  void Send(const std::string& to, MessageKind kind, std::uint64_t bootstrap_id = 0);
  void SendRecordMessage(const std::string& to, const failover::Message& message);
  void Announce(const std::string& to);
  void StartBallot(TimePoint now);
  void OnReply(TimePoint now, std::size_t replica, const failover::Message& reply);
  void OnRequest(TimePoint now, const std::string& from, const failover::Message& message);
  void OnBootstrapMessage(TimePoint now, const std::string& from, const Message& message);
  void OnStateMessage(const std::string& from, const Message& message);
  void RequestToVote(TimePoint now);
  void UpdateKnown(const failover::Ballot& ballot, RegistryState state, std::string bytes);

  RegistryOptions options_;
  std::array<std::string, failover::kReplicas> replicas_;
  std::uint64_t replicas_fingerprint_;
  std::string self_;
  std::size_t own_replica_ = failover::kReplicas;  // of replicas_; kReplicas: none, or not started yet
  std::uint64_t generation_, nonce_, proposal_ = 0;
  std::mt19937_64 random_;
  std::function<std::vector<std::string>()> others_;

  failover::RecordReplica replica_;
  std::map<std::string, std::uint64_t> sync_generations_, bootstrap_ids_;  // of others, by router
  bool bootstrap_requested_ = false, bootstrap_rejected_ = false, unsaved_ = false;
  std::uint64_t bootstrap_id_ = 0;
  std::array<bool, failover::kReplicas> bootstrap_agreed_{};  // by replica, to this one's bootstrap

  std::deque<PendingUpdate> queue_;  // the first is in progress if there is an update_
  std::optional<RegistryUpdate> update_;
  failover::Ballot highest_seen_, written_;
  int ballots_ = 0, sync_requests_ = 0;
  bool backing_off_ = false;
  TimePoint now_, ballot_started_{}, resend_at_{}, sync_at_{}, announce_at_{}, lag_since_{};

  RegistryState known_;
  std::string known_bytes_;
  failover::Ballot known_ballot_;
  std::uint64_t known_fingerprint_ = 0, revision_ = 0;

  std::vector<Outgoing> outgoing_;
  std::vector<Completed> completed_;
  Metrics metrics_;
};

}  // namespace peatbend::compat

// The replica of a registry node: how it becomes a voting replica, what it answers, and its persistent state.
#include <algorithm>

#include "compat/registry_node.h"

namespace peatbend::compat {

using failover::Kind;
using failover::kReplicas;

failover::RecordReplica::ReplicasFor RegistryNode::ReplicasFor() const {
  return [replicas = replicas_](const std::string&) { return replicas; };
}

void RegistryNode::StartReplica(TimePoint now, const std::optional<ReplicaState>& saved) {
  now_ = sync_at_ = now;
  own_replica_ = ReplicaOf(self_);
  if (!is_replica()) return;
  replica_ = MakeRegistryReplica(now, saved && saved->votes, self_, generation_, ReplicasFor());
  if (saved) Restore(now, *saved);
}

// ---- Persistent state ------------------------------------------------------------------------------------

ReplicaState RegistryNode::replica_state() const {
  ReplicaState all;
  all.votes = is_replica() && replica_.MayVote(now_, kRecordKey);
  all.generation = replica_.generation();
  all.bootstrap_id = bootstrap_id_;
  all.sync_generations = sync_generations_;
  all.bootstrap_ids = bootstrap_ids_;
  auto at = replica_.stored().find(kRecordKey);
  if (at == replica_.stored().end() || !all.votes) return all;
  all.promised = at->second.promised;
  all.accepted = at->second.accepted;
  all.version = at->second.version;
  all.value = at->second.state.value;
  return all;
}

// Replays the saved state to the new replica: the syncs that it had answered, what it had accepted and what
// it had promised.
void RegistryNode::Restore(TimePoint now, const ReplicaState& saved) {
  replica_.SetGeneration(saved.generation);
  bootstrap_id_ = saved.bootstrap_id;
  sync_generations_ = saved.sync_generations;
  bootstrap_ids_ = saved.bootstrap_ids;
  for (const auto& [name, generation] : sync_generations_) {
    failover::Message request;
    request.kind = Kind::kSyncRequest;
    request.ballot.proposer = {name, generation, 0};
    replica_.AnswerSync(now, request);
  }
  if (!saved.votes) return;
  failover::Message replayed;
  replayed.operation = kRecordKey;
  if (saved.version > 0) {
    replayed.kind = Kind::kAccept;
    replayed.ballot = saved.accepted;
    replayed.version = saved.version;
    replayed.state.value = saved.value;
    replica_.Handle(now, replayed);
  }
  if (saved.promised.round > 0) {
    replayed = {};
    replayed.operation = kRecordKey;
    replayed.ballot = saved.promised;
    replica_.Handle(now, replayed);
  }
}

void RegistryNode::SetGeneration(std::uint64_t generation) {
  if (generation <= generation_) return;
  generation_ = generation;
  std::uint64_t before = replica_.generation();
  replica_.SetGeneration(generation);
  if (is_replica() && replica_.generation() != before) unsaved_ = true;
}

// ---- Becoming a voting replica ---------------------------------------------------------------------------

void RegistryNode::Bootstrap(TimePoint now) {
  if (!is_replica() || bootstrap_requested_ || replica_.MayVote(now, kRecordKey)) return;
  bootstrap_requested_ = unsaved_ = true;  // the saved state holds the id that the others will record
  sync_at_ = now;
}

// Asks both others to agree to the bootstrap of a replica that does not vote, or for their state transfers.
void RegistryNode::RequestToVote(TimePoint now) {
  sync_at_ = now + options_.min_sync_interval;
  if (generation_ == 0) return;
  // Answers to a bootstrap add up; state transfers count only if both answer the last sync request.
  if (!bootstrapping())
    sync_at_ = now + std::min(options_.max_sync_interval,
                              options_.min_sync_interval * (1 << std::min(sync_requests_++ / 2, 5)));
  failover::Message request;
  if (!bootstrapping()) request = replica_.RequestSync(now);
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    if (replica == own_replica_) continue;
    if (bootstrapping()) {
      if (!bootstrap_agreed_[replica])
        Send(replicas_[replica], MessageKind::kBootstrapRequest, bootstrap_id_);
    } else {
      SendRecordMessage(replicas_[replica], request);
    }
  }
  if (!bootstrapping()) ++metrics_.sync_requests;
}

void RegistryNode::OnBootstrapMessage(TimePoint now, const std::string& from, const Message& message) {
  std::size_t replica = ReplicaOf(from);
  if (!is_replica() || replica == kReplicas || replica == own_replica_) return;
  if (message.kind == MessageKind::kBootstrapRequest) {
    auto at = bootstrap_ids_.find(from);
    bool other = at != bootstrap_ids_.end() && at->second != message.bootstrap_id;
    if (other || sync_generations_.contains(from))
      return Send(from, MessageKind::kBootstrapRejected, message.bootstrap_id);
    if (!bootstrapping() && !replica_.MayVote(now, kRecordKey))
      return;  // no operator has told this one that the registry is new
    if (at == bootstrap_ids_.end()) {
      bootstrap_ids_[from] = message.bootstrap_id;
      unsaved_ = true;
    }
    return Send(from, MessageKind::kBootstrapAgreed, message.bootstrap_id);
  }
  if (!bootstrapping() || message.bootstrap_id != bootstrap_id_) return;
  if (message.kind == MessageKind::kBootstrapRejected) {
    bootstrap_rejected_ = true;
    return;
  }
  bootstrap_agreed_[replica] = true;
  if (std::ranges::count(bootstrap_agreed_, true) + 1 < static_cast<long>(kReplicas)) return;
  replica_ = MakeRegistryReplica(now, true, self_, replica_.generation(), ReplicasFor());
  bootstrap_requested_ = false;
  unsaved_ = true;
}

// A request to the replica, or part of a state transfer that it has requested.
void RegistryNode::OnRequest(TimePoint now, const std::string& from, const failover::Message& message) {
  if (!is_replica() || generation_ == 0) return;
  switch (message.kind) {
    case Kind::kSyncRequest: {
      // A replica that does not vote has no state to transfer, and recording the requester would reject its
      // bootstrap.
      if (ReplicaOf(from) == kReplicas || from == self_ || message.ballot.proposer.name != from) return;
      if (!replica_.MayVote(now, kRecordKey)) return;
      std::uint64_t& recorded = sync_generations_[from];
      if (message.ballot.proposer.generation > recorded) {
        recorded = message.ballot.proposer.generation;
        unsaved_ = true;
      }
      for (const failover::Message& part : replica_.AnswerSync(now, message)) SendRecordMessage(from, part);
      return;
    }
    case Kind::kSyncDone:
    case Kind::kSyncRecord: {
      if (ReplicaOf(from) == kReplicas || replica_.MayVote(now, kRecordKey)) return;
      replica_.HandleSync(now, from, message);
      if (replica_.MayVote(now, kRecordKey)) bootstrap_requested_ = false, unsaved_ = true;
      return;
    }
    case Kind::kPrepare:
    case Kind::kAccept: {
      if (message.operation != kRecordKey || message.ballot.round == 0)
        return;  // the record of the registry is never dropped
      bool before = replica_.MayVote(now, kRecordKey);
      auto slot = replica_.stored().find(kRecordKey);
      auto was = slot == replica_.stored().end() ? failover::RecordReplica::StoredRecord{} : slot->second;
      failover::Message reply = replica_.Handle(now, message);
      slot = replica_.stored().find(kRecordKey);
      if (before && slot != replica_.stored().end() &&
          (slot->second.promised != was.promised || slot->second.accepted != was.accepted ||
           slot->second.version != was.version))
        unsaved_ = true;
      return SendRecordMessage(from, reply);
    }
    default:
      return;
  }
}

}  // namespace peatbend::compat

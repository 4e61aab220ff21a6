#include "failover/ownership_manager.h"

#include <algorithm>

namespace peatbend::failover {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kReaderBit = std::uint64_t{1} << 63;  // set in the proposal number of readers
constexpr Duration kExpiryInterval = 1s, kCleanupDelay = 1s, kMinDelay = 10ms;

// Deterministic jitter of up to 20 ms, so that two routers competing for one operation do not retry in step.
Duration RetryJitter(std::uint64_t generation, std::uint64_t proposal) {
  return ((generation ^ proposal * 0x9e3779b97f4a7c15u) >> 20) % 20 * 1ms;
}

}  // namespace

OwnershipManager::OwnershipManager(OwnershipOptions options, ReplicaSet replica_set, std::string self,
                                   std::uint64_t generation, TimePoint now,
                                   std::function<bool(const Proposer&)> has_ended)
    : options_(options),
      replica_set_(std::move(replica_set)),
      self_(std::move(self)),
      generation_(generation),
      has_ended_(std::move(has_ended)),
      replica_(options.limits, now, self_, generation,
               [this](const std::string& operation) { return replica_set_.NamesFor(operation); }),
      expire_at_(now + kExpiryInterval),
      sync_at_(now) {
  syncing_ = std::ranges::find(replica_set_.all(), self_, &ReplicaName::router) != replica_set_.all().end();
}

void OwnershipManager::SetGeneration(std::uint64_t generation) {
  generation_ = generation;
  replica_.SetGeneration(generation);
}

OwnershipManager::PendingOperation* OwnershipManager::Find(RequestNumber number) {
  auto at = proposals_.find(number);
  return at == proposals_.end() ? nullptr : &pending_.at(at->second);
}

void OwnershipManager::SetTimer(PendingOperation& pending, TimePoint due) {
  std::uint64_t proposal = pending.proposer().proposal;
  due_.erase({pending.due, proposal});
  pending.due = due;
  due_.insert({due, proposal});
}

void OwnershipManager::ScheduleRetry(TimePoint now, PendingOperation& pending, Duration in) {
  Duration left = pending.deadline - options_.reply_margin - now;
  SetTimer(pending, now + std::min(in, std::max(left, kMinDelay)));
}

// ---- Messages ---------------------------------------------------------------------------------------------

void OwnershipManager::Queue(const PendingOperation& pending, std::vector<RecordProposer::Outgoing> out) {
  for (RecordProposer::Outgoing& one : out) {
    const std::string& router = replica_set_.all()[pending.replicas[one.replica]].router;
    (router == self_ ? local_messages_ : outgoing_).push_back({router, std::move(one.message)});
  }
}

void OwnershipManager::DeliverLocal(TimePoint now) {
  while (!local_messages_.empty()) {
    std::vector<Outgoing> messages = std::exchange(local_messages_, {});
    for (const Outgoing& one : messages) Handle(now, self_, replica_.Handle(now, one.message));
  }
}

void OwnershipManager::Handle(TimePoint now, const std::string& from, const Message& message) {
  if (message.kind == Kind::kPrepare || message.kind == Kind::kAccept || message.kind == Kind::kRead) {
    outgoing_.push_back({from, replica_.Handle(now, message)});
    return;
  }
  if (message.kind == Kind::kSyncRequest) {
    for (Message& one : replica_.AnswerSync(now, message)) outgoing_.push_back({from, std::move(one)});
    return;
  }
  const Proposer& proposer = message.ballot.proposer;
  if (proposer.name != self_) return;
  if (message.kind == Kind::kSyncDone || message.kind == Kind::kSyncRecord)
    return replica_.HandleSync(now, from, message);
  auto at = pending_.find(proposer.proposal & ~kReaderBit);
  if (at == pending_.end()) return;
  PendingOperation& pending = at->second;
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    if (replica_set_.all()[pending.replicas[replica]].router != from) continue;
    OnMessage(now, pending, replica, message);
    break;
  }
  DeliverLocal(now);
}

void OwnershipManager::OnMessage(TimePoint now, PendingOperation& pending, std::size_t replica,
                                 const Message& message) {
  if ((message.ballot.proposer.proposal & kReaderBit) != 0) {
    pending.reader.Handle(replica, message);
    if (pending.phase == Phase::kWatching) OnReadResult(now, pending);
    return;
  }
  std::vector<RecordProposer::Outgoing> out;
  auto result = pending.ownership.Handle(now, replica, message, out);
  Queue(pending, std::move(out));
  switch (result) {
    case OwnershipResult::kSend:
      pending.phase = Phase::kSent;
      PermitSend(now, pending);
      return SetTimer(pending, pending.deadline + kCleanupDelay);
    case OwnershipResult::kAnswer:
      return CloseCommitted(now, pending, pending.ownership.state());
    case OwnershipResult::kExpired:
      ++metrics_.permits_expired;
      return ProposeAttempt(now, pending);
    case OwnershipResult::kRead:
      ++metrics_.taken_over;
      return ProposeAttempt(now, pending);
    case OwnershipResult::kLost:
      return OnLost(now, pending);
    case OwnershipResult::kNothing:
      return;
  }
}

// ---- Requests of the router -------------------------------------------------------------------------------

void OwnershipManager::Open(TimePoint now, RequestNumber number, std::string operation,
                            const ClassSettings& cls, TimePoint deadline) {
  std::uint64_t proposal = ++last_proposal_;
  auto [at, made] =
      pending_.try_emplace(proposal, operation, Proposer{self_, generation_, proposal},
                           Proposer{self_, generation_, proposal | kReaderBit}, options_.send_permit);
  PendingOperation& pending = at->second;
  pending.number = number;
  pending.cls = cls;
  pending.deadline = deadline;
  pending.replicas = replica_set_.ReplicasFor(operation);
  proposals_[number] = proposal;
  ++metrics_.tracked;
  SetTimer(pending, std::max(deadline, now) + kCleanupDelay);
}

void OwnershipManager::ContinueUntracked(TimePoint now) {
  std::vector<std::uint64_t> proposals;
  for (const auto& [proposal, pending] : pending_) proposals.push_back(proposal);
  for (std::uint64_t proposal : proposals) {
    PendingOperation& pending = pending_.at(proposal);
    Phase before = std::exchange(pending.phase, Phase::kUntracked);
    if (before == Phase::kFinishing) {
      Close(now, pending, pending.ownership.outcome(), pending.ownership.value());
    } else if (before == Phase::kWatching || before == Phase::kTakingOver) {
      Close(now, pending, OperationOutcome::kFailed, {});
    } else if (before == Phase::kProposed) {
      PermitSend(now, pending);
    }
  }
}

void OwnershipManager::RequestAttempt(TimePoint now, RequestNumber number, const std::string& server) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr) return;
  pending->server = server;
  if (pending->phase == Phase::kUntracked) {
    PermitSend(now, *pending);
  } else if (pending->phase == Phase::kNew || pending->phase == Phase::kSent ||
             pending->phase == Phase::kProposed) {
    ProposeAttempt(now, *pending);
  }
  DeliverLocal(now);
}

void OwnershipManager::OnAttemptEnded(TimePoint now, RequestNumber number, bool may_have_run) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr || pending->phase != Phase::kSent) return;
  if (!may_have_run) pending->ownership.OnNeverRan();
  if (!pending->has_client) Close(now, *pending, OperationOutcome::kNone, {});
  DeliverLocal(now);
}

void OwnershipManager::Finish(TimePoint now, RequestNumber number, OperationOutcome outcome,
                              std::string value) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr) return;
  switch (pending->phase) {
    case Phase::kUntracked:
    case Phase::kNew:
      Close(now, *pending, outcome, std::move(value));
      break;
    case Phase::kWatching:
    case Phase::kTakingOver:  // the deadline has passed while another router owns the operation
      Close(now, *pending, OperationOutcome::kFailed, {});
      break;
    default:
      ProposeOutcome(now, *pending, outcome, std::move(value));
  }
  DeliverLocal(now);
}

void OwnershipManager::OnClientLeft(TimePoint now, RequestNumber number) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr) return;
  pending->has_client = false;
  if (pending->phase != Phase::kSent && pending->phase != Phase::kFinishing)
    Close(now, *pending, OperationOutcome::kNone, {});
  DeliverLocal(now);
}

// ---- Progress of an operation -----------------------------------------------------------------------------

// If the servers of a class deduplicate only within their group, an attempt of another router may be repeated
// only at the same server, since the record does not tell the group.
RecoveryAction OwnershipManager::AllowedAction(TimePoint now, const PendingOperation& pending) const {
  RecordState known = pending.ownership.KnownState();
  const RecordProposer& record = pending.ownership.record();
  Duration uncertainty = pending.ownership.MayHaveRunElsewhere() ? options_.send_permit : Duration{};
  RecoveryAction next = NextAction(known, pending.cls, record.age(now), uncertainty);
  bool ran_elsewhere = std::ranges::any_of(known.attempts, [&](const AttemptRecord& attempt) {
    return attempt.may_have_run && attempt.by != record.proposer() && attempt.server != pending.server;
  });
  bool in_group = pending.cls.effect == Effect::kKeyed && pending.cls.dedup_group != DedupGroup::kAll;
  return next == RecoveryAction::kRetry && in_group && ran_elsewhere ? RecoveryAction::kFail : next;
}

void OwnershipManager::AwaitReplies(TimePoint now, PendingOperation& pending, Phase phase,
                                    std::vector<RecordProposer::Outgoing> out, Duration retry_in) {
  pending.phase = phase;
  pending.since = now;
  ScheduleRetry(now, pending, retry_in);
  Queue(pending, std::move(out));
}

// Proposes the requested attempt if the record allows it.
void OwnershipManager::ProposeAttempt(TimePoint now, PendingOperation& pending) {
  if (!pending.has_client || Expired(now, pending)) return Close(now, pending, OperationOutcome::kFailed, {});
  if (pending.proposer().generation == 0) return OnNoQuorum(now, pending);
  RecoveryAction next = AllowedAction(now, pending);
  if (next == RecoveryAction::kFail) return ProposeOutcome(now, pending, OperationOutcome::kFailed, {});
  if (next == RecoveryAction::kAnswer) return ProposeOutcome(now, pending, OperationOutcome::kNone, {});
  std::vector<RecordProposer::Outgoing> out;
  pending.ownership.RequestAttempt(now, pending.server, out);
  AwaitReplies(now, pending, Phase::kProposed, std::move(out), options_.retry_interval);
}

void OwnershipManager::ProposeOutcome(TimePoint now, PendingOperation& pending, OperationOutcome outcome,
                                      std::string value) {
  std::vector<RecordProposer::Outgoing> out;
  bool store_value = value.size() <= options_.value_bytes;
  metrics_.value_not_stored += store_value ? 0 : 1;
  pending.ownership.Finish(now, outcome, std::move(value), out, store_value);
  AwaitReplies(now, pending, Phase::kFinishing, std::move(out), options_.retry_interval);
}

void OwnershipManager::OnLost(TimePoint now, PendingOperation& pending) {
  ++metrics_.preempted;
  if (!pending.ownership.preempted()) return OnNoQuorum(now, pending);
  // With a value to commit it tries again; otherwise it waits for the new owner.
  if (pending.phase == Phase::kFinishing && pending.ownership.outcome() == OperationOutcome::kValue)
    return SetTimer(pending, now + RetryJitter(generation_, pending.proposer().proposal));
  WatchOwner(now, pending);
}

void OwnershipManager::WatchOwner(TimePoint now, PendingOperation& pending) {
  if (!pending.has_client || Expired(now, pending)) return Close(now, pending, OperationOutcome::kFailed, {});
  if (!std::exchange(pending.joined, true)) ++metrics_.joined;
  std::vector<RecordProposer::Outgoing> out;
  pending.reader.StartRead(out);
  Duration retry_in = options_.read_interval + RetryJitter(generation_, pending.proposer().proposal);
  AwaitReplies(now, pending, Phase::kWatching, std::move(out), retry_in);
}

void OwnershipManager::OnReadResult(TimePoint now, PendingOperation& pending) {
  if (const RecordState* outcome = pending.reader.Outcome()) {
    ++metrics_.answered_by_other;
    return CloseCommitted(now, pending, *outcome);
  }
  auto owner = pending.reader.Owner();
  auto own_operation = owner && owner->name == self_ ? pending_.find(owner->proposal) : pending_.end();
  bool owned_here = own_operation != pending_.end() && own_operation->second.proposer() == *owner;
  bool owner_ended = owner && !owned_here &&
                     (has_ended_(*owner) || (owner->name == self_ && owner->generation == generation_));
  if (pending.reader.IsUnclaimed() || pending.reader.IsReleased() || owner_ended) TakeOver(now, pending);
}

void OwnershipManager::TakeOver(TimePoint now, PendingOperation& pending) {
  std::vector<RecordProposer::Outgoing> out;
  pending.ownership.TakeOver(now, out);
  AwaitReplies(now, pending, Phase::kTakingOver, std::move(out), options_.retry_interval);
}

void OwnershipManager::OnNoQuorum(TimePoint now, PendingOperation& pending) {
  ++metrics_.no_quorum;
  bool may_have_run =
      pending.phase == Phase::kTakingOver || pending.ownership.preempted() || pending.ownership.MayHaveRun();
  if (may_have_run) return Close(now, pending, OperationOutcome::kFailed, {}, true);
  if (!options_.serve_untracked) return Close(now, pending, OperationOutcome::kRejected, {}, true);
  ++metrics_.untracked;
  pending.phase = Phase::kUntracked;
  SetTimer(pending, pending.deadline + kCleanupDelay);
  PermitSend(now, pending);
}

void OwnershipManager::CloseCommitted(TimePoint now, PendingOperation& pending, const RecordState& state) {
  if (state.outcome == OperationOutcome::kValue && !state.value_stored) {
    // The value is not in the record: only the router that proposed it still has it.
    if (!pending.ownership.own_outcome()) return Close(now, pending, OperationOutcome::kFailed, {});
    return Close(now, pending, OperationOutcome::kValue, pending.ownership.value(), false, true);
  }
  Close(now, pending, state.outcome, state.value, false, true);
}

void OwnershipManager::Close(TimePoint now, PendingOperation& pending, OperationOutcome outcome,
                             std::string value, bool no_quorum, bool committed) {
  bool written = pending.ownership.record().phase() == RecordProposer::Phase::kOwner &&
                 pending.ownership.state().outcome != OperationOutcome::kNone;
  if (!written && pending.phase != Phase::kUntracked) {
    std::vector<RecordProposer::Outgoing> out;
    pending.ownership.Release(now, out);
    metrics_.released += out.empty() ? 0 : 1;
    Queue(pending, std::move(out));
  }
  if (pending.has_client) {
    metrics_.value += outcome == OperationOutcome::kValue ? 1 : 0;
    metrics_.failed += outcome == OperationOutcome::kFailed ? 1 : 0;
    metrics_.rejected += outcome == OperationOutcome::kRejected ? 1 : 0;
    results_.push_back(
        {pending.number, Result::What::kOutcome, outcome, std::move(value), no_quorum, committed});
  }
  std::uint64_t proposal = pending.proposer().proposal;
  due_.erase({pending.due, proposal});
  proposals_.erase(pending.number);
  pending_.erase(proposal);
}

std::optional<TimePoint> OwnershipManager::Due() const {
  std::optional<TimePoint> due;
  if (!due_.empty()) due = due_.begin()->first;
  if (syncing_) due = due ? std::min(*due, sync_at_) : sync_at_;
  if (replica_.records() > 0) due = due ? std::min(*due, expire_at_) : expire_at_;
  return due;
}

// Asks the replicas whose transfer is not complete, until all are or recovery ends by time.
void OwnershipManager::RequestSyncs(TimePoint now) {
  sync_at_ = now + options_.sync_interval;
  if (generation_ == 0) return;
  syncing_ = false;
  if (!replica_.recovering(now)) return;
  Message ask = replica_.RequestSync(now);
  for (const ReplicaName& replica : replica_set_.all()) {
    if (replica.router == self_ || replica_.HasSynced(replica.router)) continue;
    outgoing_.push_back({replica.router, ask});
    syncing_ = true;
  }
}

void OwnershipManager::Tick(TimePoint now) {
  if (now >= expire_at_) {
    replica_.DropExpired(now);
    expire_at_ = now + kExpiryInterval;
  }
  if (syncing_ && now >= sync_at_) RequestSyncs(now);
  while (!due_.empty() && due_.begin()->first <= now) OnTimer(now, pending_.at(due_.begin()->second));
  DeliverLocal(now);
}

void OwnershipManager::OnTimer(TimePoint now, PendingOperation& pending) {
  const RecordProposer& record = pending.ownership.record();
  std::vector<RecordProposer::Outgoing> out;
  Duration waited = now - pending.since;
  switch (pending.phase) {
    case Phase::kNew:
    case Phase::kSent:
    case Phase::kUntracked:  // long after the deadline: the router no longer tracks the request
      return Close(now, pending, OperationOutcome::kFailed, {});
    case Phase::kProposed:
    case Phase::kTakingOver:
      if (Expired(now, pending)) return Close(now, pending, OperationOutcome::kFailed, {});
      if (waited >= options_.commit_timeout) return OnNoQuorum(now, pending);
      break;
    case Phase::kWatching:
      return WatchOwner(now, pending);
    case Phase::kFinishing:
      if (waited >= options_.outcome_timeout || (waited >= kMinDelay && Expired(now, pending))) {
        ++metrics_.outcome_not_committed;
        bool rejected =
            pending.ownership.outcome() == OperationOutcome::kRejected && !pending.ownership.preempted();
        return Close(now, pending, rejected ? OperationOutcome::kRejected : OperationOutcome::kFailed, {});
      }
      if (record.phase() == RecordProposer::Phase::kLost) pending.ownership.TakeOver(now, out);
      break;
  }
  if (out.empty()) pending.ownership.Resend(now, out);
  ScheduleRetry(now, pending, options_.retry_interval);
  Queue(pending, std::move(out));
}

}  // namespace peatbend::failover

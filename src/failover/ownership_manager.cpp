#include "failover/ownership_manager.h"

#include <algorithm>

namespace peatbend::failover {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kReaderBit = std::uint64_t{1} << 63;  // in the proposal of one that only reads
constexpr Span kForgetEvery = 1s, kAfterDeadline = 1s, kLeast = 10ms;

// So that two who want the same operation do not try in step for ever.
Span Apart(std::uint64_t life, std::uint64_t proposal) {
  return ((life ^ proposal * 0x9e3779b97f4a7c15u) >> 20) % 20 * 1ms;
}

}  // namespace

OwnershipManager::OwnershipManager(OwnershipOptions options, ReplicaSet replica_set, std::string self,
                                   std::uint64_t life, Time now,
                                   std::function<bool(const Proposer&)> has_ended)
    : options_(options),
      replica_set_(std::move(replica_set)),
      self_(std::move(self)),
      life_(life),
      has_ended_(std::move(has_ended)),
      replica_(options.limits, now, self_, life,
               [this](const std::string& operation) { return replica_set_.NamesFor(operation); }),
      forget_at_(now + kForgetEvery),
      sync_at_(now) {
  syncing_ = std::ranges::find(replica_set_.all(), self_, &ReplicaName::router) != replica_set_.all().end();
}

void OwnershipManager::SetLife(std::uint64_t life) {
  life_ = life;
  replica_.SetLife(life);
}

OwnershipManager::PendingOperation* OwnershipManager::Find(Number number) {
  auto at = proposals_.find(number);
  return at == proposals_.end() ? nullptr : &pending_.at(at->second);
}

void OwnershipManager::SetDue(PendingOperation& pending, Time due) {
  std::uint64_t proposal = pending.proposer().proposal;
  due_.erase({pending.due, proposal});
  pending.due = due;
  due_.insert({due, proposal});
}

void OwnershipManager::SetNext(Time now, PendingOperation& pending, Span in) {
  Span left = pending.deadline - options_.margin - now;
  SetDue(pending, now + std::min(in, std::max(left, kLeast)));
}

// ---- Messages ---------------------------------------------------------------------------------------------

void OwnershipManager::Post(const PendingOperation& pending, std::vector<RecordProposer::Outgoing> out) {
  for (RecordProposer::Outgoing& one : out) {
    const std::string& router = replica_set_.all()[pending.replicas[one.replica]].router;
    (router == self_ ? local_ : out_).push_back({router, std::move(one.message)});
  }
}

void OwnershipManager::Settle(Time now) {
  while (!local_.empty()) {
    std::vector<Outgoing> asked = std::exchange(local_, {});
    for (const Outgoing& one : asked) Take(now, self_, replica_.Take(now, one.message));
  }
}

void OwnershipManager::Take(Time now, const std::string& from, const Message& message) {
  if (message.kind == Kind::kPrepare || message.kind == Kind::kAccept || message.kind == Kind::kRead) {
    out_.push_back({from, replica_.Take(now, message)});
    return;
  }
  if (message.kind == Kind::kSyncRequest) {
    for (Message& one : replica_.AnswerSync(now, message)) out_.push_back({from, std::move(one)});
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
  Settle(now);
}

void OwnershipManager::OnMessage(Time now, PendingOperation& pending, std::size_t replica,
                                 const Message& message) {
  if ((message.ballot.proposer.proposal & kReaderBit) != 0) {
    pending.reader.Take(replica, message);
    if (pending.phase == Phase::kWatching) Watched(now, pending);
    return;
  }
  std::vector<RecordProposer::Outgoing> out;
  auto result = pending.ownership.Take(now, replica, message, out);
  Post(pending, std::move(out));
  switch (result) {
    case OwnershipResult::kSend:
      pending.phase = Phase::kSent;
      results_.emplace_back().number = pending.number;
      return SetDue(pending, pending.deadline + kAfterDeadline);
    case OwnershipResult::kAnswer:
      return Answer(now, pending, pending.ownership.state());
    case OwnershipResult::kExpired:
      ++metrics_.permits_expired;
      return Ask(now, pending);
    case OwnershipResult::kRead:
      ++metrics_.taken_over;
      return Ask(now, pending);
    case OwnershipResult::kLost:
      return Lost(now, pending);
    case OwnershipResult::kNothing:
      return;
  }
}

// ---- What the router wants --------------------------------------------------------------------------------

void OwnershipManager::Open(Time now, Number number, std::string operation, const ClassSettings& cls,
                            Time deadline) {
  std::uint64_t proposal = ++last_proposal_;
  auto [at, made] = pending_.try_emplace(proposal, operation, Proposer{self_, life_, proposal},
                                         Proposer{self_, life_, proposal | kReaderBit}, options_.send_permit);
  PendingOperation& pending = at->second;
  pending.number = number;
  pending.cls = cls;
  pending.deadline = deadline;
  pending.replicas = replica_set_.ReplicasFor(operation);
  proposals_[number] = proposal;
  ++metrics_.tracked;
  SetDue(pending, std::max(deadline, now) + kAfterDeadline);
}

void OwnershipManager::ContinueUntracked(Time now) {
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
      results_.emplace_back().number = pending.number;
    }
  }
}

void OwnershipManager::Want(Time now, Number number, const std::string& server) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr) return;
  pending->server = server;
  if (pending->phase == Phase::kUntracked) {
    results_.emplace_back().number = number;
  } else if (pending->phase == Phase::kNew || pending->phase == Phase::kSent ||
             pending->phase == Phase::kProposed) {
    Ask(now, *pending);
  }
  Settle(now);
}

void OwnershipManager::Ended(Time now, Number number, bool may_have_run) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr || pending->phase != Phase::kSent) return;
  if (!may_have_run) pending->ownership.NeverRan();
  if (!pending->awaited) Close(now, *pending, OperationOutcome::kNone, {});
  Settle(now);
}

void OwnershipManager::Finish(Time now, Number number, OperationOutcome outcome, std::string value) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr) return;
  switch (pending->phase) {
    case Phase::kUntracked:
    case Phase::kNew:
      Close(now, *pending, outcome, std::move(value));
      break;
    case Phase::kWatching:
    case Phase::kTakingOver:  // its own time is over; the operation is another's
      Close(now, *pending, OperationOutcome::kFailed, {});
      break;
    default:
      Write(now, *pending, outcome, std::move(value));
  }
  Settle(now);
}

void OwnershipManager::Left(Time now, Number number) {
  PendingOperation* pending = Find(number);
  if (pending == nullptr) return;
  pending->awaited = false;
  if (pending->phase != Phase::kSent && pending->phase != Phase::kFinishing)
    Close(now, *pending, OperationOutcome::kNone, {});
  Settle(now);
}

// ---- How it goes on ---------------------------------------------------------------------------------------

// A repeat of what others may have sent: of a class whose servers drop repeats only within their group, at
// the very server, since more is not known of where it was.
RecoveryAction OwnershipManager::Allowed(Time now, const PendingOperation& pending) const {
  RecordState known = pending.ownership.Known();
  const RecordProposer& record = pending.ownership.record();
  Span unsure = pending.ownership.RanElsewhere() ? options_.send_permit : Span{};
  RecoveryAction next = NextAction(known, pending.cls, record.age(now), unsure);
  bool elsewhere = std::ranges::any_of(known.attempts, [&](const AttemptRecord& attempt) {
    return attempt.may_have_run && attempt.by != record.proposer() && attempt.server != pending.server;
  });
  bool grouped = pending.cls.effect == Effect::kKeyed && pending.cls.dedup_group != DedupGroup::kAll;
  return next == RecoveryAction::kRetry && grouped && elsewhere ? RecoveryAction::kFail : next;
}

void OwnershipManager::Wait(Time now, PendingOperation& pending, Phase phase,
                            std::vector<RecordProposer::Outgoing> out, Span again) {
  pending.phase = phase;
  pending.since = now;
  SetNext(now, pending, again);
  Post(pending, std::move(out));
}

// For the permission to send, if the record allows it.
void OwnershipManager::Ask(Time now, PendingOperation& pending) {
  if (!pending.awaited || Over(now, pending)) return Close(now, pending, OperationOutcome::kFailed, {});
  if (pending.proposer().life == 0) return NoQuorum(now, pending);
  RecoveryAction next = Allowed(now, pending);
  if (next == RecoveryAction::kFail) return Write(now, pending, OperationOutcome::kFailed, {});
  if (next == RecoveryAction::kAnswer) return Write(now, pending, OperationOutcome::kNone, {});
  std::vector<RecordProposer::Outgoing> out;
  pending.ownership.Want(now, pending.server, out);
  Wait(now, pending, Phase::kProposed, std::move(out), options_.retry_every);
}

void OwnershipManager::Write(Time now, PendingOperation& pending, OperationOutcome outcome,
                             std::string value) {
  std::vector<RecordProposer::Outgoing> out;
  bool kept = value.size() <= options_.value_bytes;
  metrics_.value_not_stored += kept ? 0 : 1;
  pending.ownership.Finish(now, outcome, std::move(value), out, kept);
  Wait(now, pending, Phase::kFinishing, std::move(out), options_.retry_every);
}

void OwnershipManager::Lost(Time now, PendingOperation& pending) {
  ++metrics_.preempted;
  if (!pending.ownership.preempted()) return NoQuorum(now, pending);
  // With a value in hand it is worth to ask once more; else another goes on with the operation.
  if (pending.phase == Phase::kFinishing && pending.ownership.outcome() == OperationOutcome::kValue)
    return SetDue(pending, now + Apart(life_, pending.proposer().proposal));
  Watch(now, pending);
}

void OwnershipManager::Watch(Time now, PendingOperation& pending) {
  if (!pending.awaited || Over(now, pending)) return Close(now, pending, OperationOutcome::kFailed, {});
  if (!std::exchange(pending.joined, true)) ++metrics_.joined;
  std::vector<RecordProposer::Outgoing> out;
  pending.reader.Ask(out);
  Span again = options_.read_every + Apart(life_, pending.proposer().proposal);
  Wait(now, pending, Phase::kWatching, std::move(out), again);
}

void OwnershipManager::Watched(Time now, PendingOperation& pending) {
  if (const RecordState* outcome = pending.reader.Outcome()) {
    ++metrics_.answered_by_other;
    return Answer(now, pending, *outcome);
  }
  auto owner = pending.reader.Owner();
  auto own = owner && owner->name == self_ ? pending_.find(owner->proposal) : pending_.end();
  bool here = own != pending_.end() && own->second.proposer() == *owner;
  bool over = owner && !here && (has_ended_(*owner) || (owner->name == self_ && owner->life == life_));
  if (pending.reader.Free() || pending.reader.Released() || over) TakeOver(now, pending);
}

void OwnershipManager::TakeOver(Time now, PendingOperation& pending) {
  std::vector<RecordProposer::Outgoing> out;
  pending.ownership.TakeOver(now, out);
  Wait(now, pending, Phase::kTakingOver, std::move(out), options_.retry_every);
}

// No majority can be had.
void OwnershipManager::NoQuorum(Time now, PendingOperation& pending) {
  ++metrics_.no_quorum;
  bool may =
      pending.phase == Phase::kTakingOver || pending.ownership.preempted() || pending.ownership.MayHaveRun();
  if (may) return Close(now, pending, OperationOutcome::kFailed, {}, true);
  if (!options_.serve_untracked) return Close(now, pending, OperationOutcome::kRejected, {}, true);
  ++metrics_.untracked;
  pending.phase = Phase::kUntracked;
  SetDue(pending, pending.deadline + kAfterDeadline);
  results_.emplace_back().number = pending.number;
}

void OwnershipManager::Answer(Time now, PendingOperation& pending, const RecordState& state) {
  if (state.outcome == OperationOutcome::kValue && !state.kept) {
    // Whoever made it has it; to others it is lost.
    if (!pending.ownership.own_outcome()) return Close(now, pending, OperationOutcome::kFailed, {});
    return Close(now, pending, OperationOutcome::kValue, pending.ownership.value(), false, true);
  }
  Close(now, pending, state.outcome, state.value, false, true);
}

void OwnershipManager::Close(Time now, PendingOperation& pending, OperationOutcome outcome, std::string value,
                             bool no_quorum, bool committed) {
  bool written = pending.ownership.record().phase() == RecordProposer::Phase::kOwner &&
                 pending.ownership.state().outcome != OperationOutcome::kNone;
  if (!written && pending.phase != Phase::kUntracked) {
    std::vector<RecordProposer::Outgoing> out;
    pending.ownership.Release(now, out);
    metrics_.released += out.empty() ? 0 : 1;
    Post(pending, std::move(out));
  }
  if (pending.awaited) {
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

// ---- Time -------------------------------------------------------------------------------------------------

std::optional<Time> OwnershipManager::Due() const {
  std::optional<Time> due;
  if (!due_.empty()) due = due_.begin()->first;
  if (syncing_) due = due ? std::min(*due, sync_at_) : sync_at_;
  if (replica_.records() > 0) due = due ? std::min(*due, forget_at_) : forget_at_;
  return due;
}

// Those that have not synced for all, till none is left or its age lets it vote.
void OwnershipManager::RequestSyncs(Time now) {
  sync_at_ = now + options_.sync_every;
  if (life_ == 0) return;
  syncing_ = false;
  if (!replica_.recovering(now)) return;
  Message ask = replica_.RequestSync();
  for (const ReplicaName& replica : replica_set_.all()) {
    if (replica.router == self_ || replica_.HasSynced(replica.router)) continue;
    out_.push_back({replica.router, ask});
    syncing_ = true;
  }
}

void OwnershipManager::Tick(Time now) {
  if (now >= forget_at_) {
    replica_.Forget(now);
    forget_at_ = now + kForgetEvery;
  }
  if (syncing_ && now >= sync_at_) RequestSyncs(now);
  while (!due_.empty() && due_.begin()->first <= now) TickOne(now, pending_.at(due_.begin()->second));
  Settle(now);
}

void OwnershipManager::TickOne(Time now, PendingOperation& pending) {
  const RecordProposer& record = pending.ownership.record();
  std::vector<RecordProposer::Outgoing> out;
  Span waited = now - pending.since;
  switch (pending.phase) {
    case Phase::kNew:
    case Phase::kSent:
    case Phase::kUntracked:  // long after its deadline: the router has forgotten it
      return Close(now, pending, OperationOutcome::kFailed, {});
    case Phase::kProposed:
    case Phase::kTakingOver:
      if (Over(now, pending)) return Close(now, pending, OperationOutcome::kFailed, {});
      if (waited >= options_.commit_timeout) return NoQuorum(now, pending);
      break;
    case Phase::kWatching:
      return Watch(now, pending);
    case Phase::kFinishing:
      if (waited >= options_.outcome_timeout || (waited >= kLeast && Over(now, pending))) {
        ++metrics_.outcome_not_committed;
        bool reject =
            pending.ownership.outcome() == OperationOutcome::kRejected && !pending.ownership.preempted();
        return Close(now, pending, reject ? OperationOutcome::kRejected : OperationOutcome::kFailed, {});
      }
      if (record.phase() == RecordProposer::Phase::kLost) pending.ownership.TakeOver(now, out);
      break;
  }
  if (out.empty()) pending.ownership.Again(now, out);
  SetNext(now, pending, options_.retry_every);
  Post(pending, std::move(out));
}

}  // namespace peatbend::failover

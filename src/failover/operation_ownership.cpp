#include "failover/operation_ownership.h"

#include <algorithm>

namespace peatbend::failover {

RecoveryAction NextAction(const RecordState& state, const ClassSettings& cls, Duration age,
                          Duration uncertainty) {
  if (state.final()) return RecoveryAction::kAnswer;
  bool ran = std::ranges::any_of(state.attempts, &AttemptRecord::may_have_run);
  if (!ran) return RecoveryAction::kSend;
  if (cls.effect == Effect::kSafe) return RecoveryAction::kRetry;
  if (cls.effect == Effect::kUnsafe) return RecoveryAction::kFail;
  return age + uncertainty < cls.dedup_window ? RecoveryAction::kRetry : RecoveryAction::kFail;
}

// An own attempt that was neither sent nor is being proposed has not run and never will.
RecordState OperationOwnership::KnownState() const {
  RecordState known = record_.state();
  for (AttemptRecord& attempt : known.attempts) {
    if (attempt.by != record_.proposer()) continue;
    bool proposed = !proposed_server_.empty() && attempt.number == last_attempt_;
    attempt.may_have_run = proposed || may_have_run_.contains(attempt.number);
  }
  return known;
}

bool OperationOwnership::MayHaveRun() const {
  return std::ranges::any_of(record_.state().attempts, [this](const AttemptRecord& attempt) {
    return attempt.by == record_.proposer() ? may_have_run_.contains(attempt.number) : attempt.may_have_run;
  });
}

bool OperationOwnership::MayHaveRunElsewhere() const {
  return std::ranges::any_of(record_.state().attempts, [this](const AttemptRecord& attempt) {
    return attempt.by != record_.proposer() && attempt.may_have_run;
  });
}

TimePoint OperationOwnership::LatestDelivery(TimePoint now, const ClassSettings& cls) const {
  if (cls.effect != Effect::kKeyed) return TimePoint::max();
  if (MayHaveRunElsewhere()) return now - record_.age(now) + cls.dedup_window;
  bool recorded = record_.phase() == RecordProposer::Phase::kOwner;
  return recorded ? now - record_.elapsed(now) + cls.dedup_window : TimePoint::max();
}

void OperationOwnership::RequestAttempt(TimePoint now, const std::string& server,
                                        std::vector<RecordProposer::Outgoing>& out) {
  proposed_server_.clear();
  RecordState next = KnownState();
  if (next.final() || record_.phase() == RecordProposer::Phase::kLost ||
      record_.phase() == RecordProposer::Phase::kPreparing)
    return;
  next.outcome = OperationOutcome::kNone;  // a new request supersedes a rejection
  next.released = false;
  proposed_server_ = server;
  next.attempts.push_back({record_.proposer(), ++last_attempt_, server, true});
  record_.Write(now, std::move(next), out);
}

void OperationOwnership::OnNeverRan() { may_have_run_.erase(last_sent_); }

void OperationOwnership::Finish(TimePoint now, OperationOutcome outcome, std::string value,
                                std::vector<RecordProposer::Outgoing>& out, bool store_value) {
  proposed_server_.clear();
  outcome_ = outcome;
  value_ = std::move(value);
  store_value_ = store_value;
  if (record_.phase() == RecordProposer::Phase::kLost) return TakeOver(now, out);
  if (record_.phase() == RecordProposer::Phase::kPreparing)
    return;  // repeated by Handle() once the state is read
  RecordState next = KnownState();
  own_outcome_ = !next.final();
  if (own_outcome_) {
    next.outcome = outcome_;
    next.value = store_value_ ? value_ : std::string();
    next.value_stored = store_value_;
    next.released = false;
  }
  record_.Write(now, std::move(next), out);
}

void OperationOwnership::Release(TimePoint now, std::vector<RecordProposer::Outgoing>& out) {
  proposed_server_.clear();
  bool may_write =
      record_.phase() == RecordProposer::Phase::kWriting || record_.phase() == RecordProposer::Phase::kOwner;
  RecordState next = KnownState();
  if (!may_write || next.final()) return;
  next.released = true;
  record_.Write(now, std::move(next), out);
}

void OperationOwnership::TakeOver(TimePoint now, std::vector<RecordProposer::Outgoing>& out) {
  proposed_server_.clear();
  record_.Prepare(now, out);
}

OwnershipResult OperationOwnership::Handle(TimePoint now, std::size_t replica, const Message& reply,
                                           std::vector<RecordProposer::Outgoing>& out) {
  if (!record_.Handle(now, replica, reply)) return OwnershipResult::kNothing;
  switch (record_.phase()) {
    case RecordProposer::Phase::kOwner:
      if (record_.state().outcome != OperationOutcome::kNone) return OwnershipResult::kAnswer;
      if (proposed_server_.empty()) return OwnershipResult::kNothing;
      if (record_.elapsed(now) > send_permit_) {
        proposed_server_.clear();  // marks the attempt as not run
        return OwnershipResult::kExpired;
      }
      proposed_server_.clear();
      last_sent_ = last_attempt_;
      may_have_run_.insert(last_sent_);
      return OwnershipResult::kSend;
    case RecordProposer::Phase::kRead:
      if (outcome_ == OperationOutcome::kRejected && MayHaveRunElsewhere())
        outcome_ = OperationOutcome::kFailed;
      if (outcome_ != OperationOutcome::kNone || record_.state().final()) {
        Finish(now, outcome_, value_, out, store_value_);
        return OwnershipResult::kNothing;
      }
      return OwnershipResult::kRead;
    case RecordProposer::Phase::kLost:
      proposed_server_.clear();
      return OwnershipResult::kLost;
    default:
      return OwnershipResult::kNothing;
  }
}

void OperationOwnership::AppendState(std::string& into) const {
  record_.AppendState(into);
  failover::AppendState(into, proposed_server_);
  failover::AppendState(into, static_cast<std::uint64_t>(outcome_));
  failover::AppendState(into, value_);
  failover::AppendState(into, store_value_ + 2u * own_outcome_);
  failover::AppendState(into, last_attempt_);
  failover::AppendState(into, last_sent_);
  for (std::uint32_t number : may_have_run_) failover::AppendState(into, number);
}

}  // namespace peatbend::failover

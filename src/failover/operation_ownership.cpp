#include "failover/operation_ownership.h"

#include <algorithm>

namespace peatbend::failover {

RecoveryAction NextAction(const RecordState& state, const ClassSettings& cls, Span age, Span unsure) {
  if (state.final()) return RecoveryAction::kAnswer;
  bool ran = std::ranges::any_of(state.attempts, &AttemptRecord::may_have_run);
  if (!ran) return RecoveryAction::kSend;
  if (cls.effect == Effect::kSafe) return RecoveryAction::kRetry;
  if (cls.effect == Effect::kUnsafe) return RecoveryAction::kFail;
  return age + unsure < cls.dedup_window ? RecoveryAction::kRetry : RecoveryAction::kFail;
}

// What is committed, with what this process knows of its own attempts: one that was neither permitted nor is
// wanted now has not run, and will not.
RecordState OperationOwnership::Known() const {
  RecordState known = record_.state();
  for (AttemptRecord& attempt : known.attempts) {
    if (attempt.by != record_.proposer()) continue;
    bool wanted = !server_.empty() && attempt.number == number_;
    attempt.may_have_run = wanted || may_have_run_.contains(attempt.number);
  }
  return known;
}

bool OperationOwnership::MayHaveRun() const {
  return std::ranges::any_of(record_.state().attempts, [this](const AttemptRecord& attempt) {
    return attempt.by == record_.proposer() ? may_have_run_.contains(attempt.number) : attempt.may_have_run;
  });
}

bool OperationOwnership::RanElsewhere() const {
  return std::ranges::any_of(record_.state().attempts, [this](const AttemptRecord& attempt) {
    return attempt.by != record_.proposer() && attempt.may_have_run;
  });
}

void OperationOwnership::Want(Time now, const std::string& server,
                              std::vector<RecordProposer::Outgoing>& out) {
  server_.clear();
  RecordState next = Known();
  if (next.final() || record_.phase() == RecordProposer::Phase::kLost ||
      record_.phase() == RecordProposer::Phase::kPreparing)
    return;
  next.outcome = OperationOutcome::kNone;  // a reject is over with the next who asks
  next.released = false;
  server_ = server;
  next.attempts.push_back({record_.proposer(), ++number_, server, true});
  record_.Write(now, std::move(next), out);
}

void OperationOwnership::NeverRan() { may_have_run_.erase(sent_); }

void OperationOwnership::Finish(Time now, OperationOutcome outcome, std::string value,
                                std::vector<RecordProposer::Outgoing>& out, bool kept) {
  server_.clear();
  outcome_ = outcome;
  value_ = std::move(value);
  kept_ = kept;
  if (record_.phase() == RecordProposer::Phase::kLost) return TakeOver(now, out);
  if (record_.phase() == RecordProposer::Phase::kPreparing) return;  // once it is read
  RecordState next = Known();
  own_outcome_ = !next.final();
  if (own_outcome_) {
    next.outcome = outcome_;
    next.value = kept_ ? value_ : std::string();
    next.kept = kept_;
    next.released = false;
  }
  record_.Write(now, std::move(next), out);
}

void OperationOwnership::Release(Time now, std::vector<RecordProposer::Outgoing>& out) {
  server_.clear();
  bool wrote =
      record_.phase() == RecordProposer::Phase::kWriting || record_.phase() == RecordProposer::Phase::kOwner;
  RecordState next = Known();
  if (!wrote || next.final()) return;
  next.released = true;
  record_.Write(now, std::move(next), out);
}

void OperationOwnership::TakeOver(Time now, std::vector<RecordProposer::Outgoing>& out) {
  server_.clear();
  record_.Ask(now, out);
}

OwnershipResult OperationOwnership::Take(Time now, std::size_t replica, const Message& answer,
                                         std::vector<RecordProposer::Outgoing>& out) {
  if (!record_.Take(now, replica, answer)) return OwnershipResult::kNothing;
  switch (record_.phase()) {
    case RecordProposer::Phase::kOwner:
      if (record_.state().outcome != OperationOutcome::kNone) return OwnershipResult::kAnswer;
      if (server_.empty()) return OwnershipResult::kNothing;
      if (record_.since(now) > send_permit_) {
        server_.clear();  // so that attempt has not run
        return OwnershipResult::kExpired;
      }
      server_.clear();
      sent_ = number_;
      may_have_run_.insert(sent_);
      return OwnershipResult::kSend;
    case RecordProposer::Phase::kRead:
      if (outcome_ == OperationOutcome::kRejected && RanElsewhere()) outcome_ = OperationOutcome::kFailed;
      if (outcome_ != OperationOutcome::kNone || record_.state().final()) {
        Finish(now, outcome_, value_, out, kept_);
        return OwnershipResult::kNothing;
      }
      return OwnershipResult::kRead;
    case RecordProposer::Phase::kLost:
      server_.clear();
      return OwnershipResult::kLost;
    default:
      return OwnershipResult::kNothing;
  }
}

void OperationOwnership::Put(std::string& into) const {
  record_.Put(into);
  failover::Put(into, server_);
  failover::Put(into, static_cast<std::uint64_t>(outcome_));
  failover::Put(into, value_);
  failover::Put(into, kept_ + 2u * own_outcome_);
  failover::Put(into, number_);
  failover::Put(into, sent_);
  for (std::uint32_t number : may_have_run_) failover::Put(into, number);
}

}  // namespace peatbend::failover

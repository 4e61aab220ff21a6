// One router's ownership of one operation. Ensures that no attempt is sent and no outcome is returned before
// the record of it is committed. The caller decides what to send, whether to retry, and which outcome to
// propose. Contains no I/O and reads no clock; not thread-safe.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "failover/record_proposer.h"
#include "peatbend/balancer.h"

namespace peatbend::failover {

// The next step for an operation, derived from its record.
enum class RecoveryAction {
  kSend,   // no attempt has run
  kRetry,  // an attempt may have run, and the class allows a retry
  kFail,   // an attempt may have run, and must not be repeated
  kAnswer  // the outcome is final
};

// `age`: lower bound of the time since the first attempt was recorded. `uncertainty`: how long after being
// recorded an attempt may have been sent.
RecoveryAction NextAction(const RecordState& state, const ClassSettings& cls, Duration age,
                          Duration uncertainty);

// The effect of a reply from a replica.
enum class OwnershipResult {
  kNothing,
  kSend,     // the requested attempt is committed; the caller must send it at once
  kExpired,  // the attempt was committed too late to be sent; decide again, as after kRead
  kAnswer,   // the outcome is committed; state() holds it for all clients
  kRead,     // a majority promised; state() is what was read, and a write makes this router owner
  kLost      // too many nacks for a majority; see preempted()
};

class OperationOwnership {
 public:
  // `send_permit`: an attempt committed later than this after its request is not sent. This stops a process
  // that was suspended or disconnected from acting on outdated state.
  OperationOwnership(std::string operation, Proposer proposer, Duration send_permit)
      : record_(std::move(operation), std::move(proposer)), send_permit_(send_permit) {}

  // Proposes an attempt at `server`. Allowed for a new operation, after kRead, and after a rejection. Does
  // nothing if the outcome is final.
  void RequestAttempt(TimePoint now, const std::string& server, std::vector<RecordProposer::Outgoing>& out);
  // Reports that the last attempt that was sent never ran.
  void OnNeverRan();
  // Proposes the outcome. If another router has taken the operation over, it is first taken back, unless its
  // outcome is final. `store_value`: false records only that there is a value.
  void Finish(TimePoint now, OperationOutcome outcome, std::string value,
              std::vector<RecordProposer::Outgoing>& out, bool store_value = true);
  // Gives the operation up: the next router that is asked may take it over at once.
  void Release(TimePoint now, std::vector<RecordProposer::Outgoing>& out);
  // Starts a new round to take the operation over, or to learn its outcome.
  void TakeOver(TimePoint now, std::vector<RecordProposer::Outgoing>& out);
  // Repeats the pending request to the replicas that have not replied.
  void Resend(TimePoint now, std::vector<RecordProposer::Outgoing>& out) const { record_.Resend(now, out); }
  OwnershipResult Handle(TimePoint now, std::size_t replica, const Message& reply,
                         std::vector<RecordProposer::Outgoing>& out);

  const RecordProposer& record() const { return record_; }
  const RecordState& state() const { return record_.state(); }
  // The committed state, updated with what this process knows about its own attempts.
  RecordState KnownState() const;
  // Whether an attempt may have run. The attempt that is still being proposed has not.
  bool MayHaveRun() const;
  bool preempted() const { return record_.preempted(); }
  bool MayHaveRunElsewhere() const;  // an attempt by another proposer
  // The latest time at which the attempt permitted now may reach its server whole; max(): no limit. For keyed
  // operations it is within the deduplication window of any attempt that may have run elsewhere, and of this
  // one's own record, since another router that reads it may send within the window of that.
  TimePoint LatestDelivery(TimePoint now, const ClassSettings& cls) const;
  // The proposed outcome and value, and whether the committed outcome is this one.
  OperationOutcome outcome() const { return outcome_; }
  const std::string& value() const { return value_; }
  bool own_outcome() const { return own_outcome_; }
  void AppendState(std::string& into) const;  // as RecordProposer::AppendState, without per-replica state

 private:
  RecordProposer record_;
  Duration send_permit_;
  std::string proposed_server_;  // of the proposed attempt; empty: none
  OperationOutcome outcome_ = OperationOutcome::kNone;
  std::string value_;
  bool store_value_ = true, own_outcome_ = false;
  std::uint32_t last_attempt_ = 0, last_sent_ = 0;
  std::set<std::uint32_t> may_have_run_;  // own attempts that were sent
};

}  // namespace peatbend::failover

// One router's side of one operation: nothing is sent and no outcome is answered before the record of it is
// committed. What is to be sent, whether again, and with what outcome, is decided elsewhere; here is only
// whether it may happen. Free of I/O and clocks; one owner, one thread.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "failover/record_proposer.h"
#include "peatbend/balancer.h"

namespace peatbend::failover {

// What may be done with an operation that was read, by what its record proves.
enum class RecoveryAction {
  kSend,   // nothing has run
  kRetry,  // something may have run, and may be repeated: at servers that the class names
  kFail,   // something may have run, and may not be repeated
  kAnswer  // it has ended
};

// `age`: since the first attempt was recorded, at the least. `unsure`: how much longer ago, or how much later
// than recorded, an attempt may have been sent.
RecoveryAction NextAction(const RecordState& state, const ClassSettings& cls, Span age, Span unsure);

// What an answer of a replica leads to.
enum class OwnershipResult {
  kNothing,
  kSend,     // the attempt that was asked for is committed: send it now, from within this call
  kExpired,  // it is committed, but too long after it was asked for: decide again, as after kRead
  kAnswer,   // the outcome is committed: state() is what everybody is answered
  kRead,     // the operation is this one's to go on with, once it writes: see state()
  kLost      // nacks, so that no majority is to be had: see preempted()
};

class OperationOwnership {
 public:
  // `send_permit`: a permission that comes later than this after it was asked for is asked for again, so that
  // a process that stood still, or was cut off, sends nothing on the strength of old knowledge.
  OperationOwnership(std::string operation, Proposer proposer, Span send_permit)
      : record_(std::move(operation), std::move(proposer)), send_permit_(send_permit) {}

  // An attempt at that server is wanted: on an operation that is new, or after kRead, or after an outcome.
  // Nothing happens where the operation has ended.
  void Want(Time now, const std::string& server, std::vector<RecordProposer::Outgoing>& out);
  // The attempt that was permitted last turned out to never have run.
  void NeverRan();
  // The outcome is wanted. Where the operation was lost meanwhile it is taken back first, if nobody has ended
  // it. `kept`: the value is written too, not only that there is one.
  void Finish(Time now, OperationOutcome outcome, std::string value,
              std::vector<RecordProposer::Outgoing>& out, bool kept = true);
  // Nothing more is done for it here; whoever asks may take it over at once.
  void Release(Time now, std::vector<RecordProposer::Outgoing>& out);
  // Tries to take the operation over, or to learn its outcome.
  void TakeOver(Time now, std::vector<RecordProposer::Outgoing>& out);
  // Once more to those who have not answered.
  void Again(Time now, std::vector<RecordProposer::Outgoing>& out) const { record_.Again(now, out); }
  OwnershipResult Take(Time now, std::size_t replica, const Message& answer,
                       std::vector<RecordProposer::Outgoing>& out);

  const RecordProposer& record() const { return record_; }
  const RecordState& state() const { return record_.state(); }
  // What is committed, with what this process knows of its own attempts beyond it.
  RecordState Known() const;
  // Whether an attempt may have run, as far as is known here: the one that is wanted now has not.
  bool MayHaveRun() const;
  bool preempted() const { return record_.preempted(); }
  bool RanElsewhere() const;  // by others, or may have
  // The outcome that is wanted; and whether the committed one is this.
  OperationOutcome outcome() const { return outcome_; }
  const std::string& value() const { return value_; }
  bool own_outcome() const { return own_outcome_; }
  void Put(std::string& into) const;  // see RecordProposer::Put; without what belongs to a replica

 private:
  RecordProposer record_;
  Span send_permit_;
  std::string server_;  // wanted and not yet permitted
  OperationOutcome outcome_ = OperationOutcome::kNone;
  std::string value_;
  bool kept_ = true, own_outcome_ = false;
  std::uint32_t number_ = 0, sent_ = 0;
  std::set<std::uint32_t> may_have_run_;  // own attempts that were permitted
};

}  // namespace peatbend::failover

// All operations that one router has open, and its replica of the records of others. Decides when to ask
// again, when to wait for another, when to take over and when to give up; whether that may happen is
// OperationOwnership's. Free of I/O and clocks; one owner, one thread. What is to be sent to replicas and
// reported to the router is gathered until it is drained.
//
//   new --Want--> proposed --committed--> sent (an attempt may run)
//   sent --Finish--> finishing --committed--> closed
//   proposed --another has it--> watching --its outcome is committed--> closed
//   watching --its owner has ended, or has released it--> taking over --its record is read--> proposed
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "failover/operation_ownership.h"
#include "failover/record_reader.h"
#include "failover/record_replica.h"
#include "failover/replica_set.h"

namespace peatbend::failover {

struct OwnershipOptions {
  Span send_permit = std::chrono::milliseconds{200};
  Span commit_timeout = std::chrono::milliseconds{250};   // of a record; else there is no quorum
  Span outcome_timeout = std::chrono::milliseconds{500};  // the record of an outcome
  Span retry_every = std::chrono::milliseconds{40}, read_every = std::chrono::milliseconds{50};
  Span sync_every = std::chrono::milliseconds{200};  // state transfers are asked for, after a start
  Span margin = std::chrono::milliseconds{15};       // before the deadline, for the answer's way
  bool serve_untracked = false;         // else new operations are rejected where no majority can be had
  std::size_t value_bytes = 16u << 10;  // of an outcome that is kept
  RecordLimits limits;
};

class OwnershipManager {
 public:
  // Names a request of this router.
  using Number = std::uint32_t;
  struct Outgoing {
    std::string router;
    Message message;
  };
  struct Result {
    Number number = 0;
    enum class What { kSend, kOutcome } what = What::kSend;
    OperationOutcome outcome = OperationOutcome::kNone;
    std::string value;
    bool no_quorum = false;  // no majority could be had
    bool committed =
        false;  // it is the outcome for all who ask; else only this one's patience, or its reach, is over
  };
  struct Metrics {
    std::uint64_t tracked = 0, untracked = 0, taken_over = 0, joined = 0, answered_by_other = 0,
                  no_quorum = 0, preempted = 0, permits_expired = 0, value = 0, failed = 0, rejected = 0,
                  released = 0, value_not_stored = 0, outcome_not_committed = 0;
  };

  // `life`: of this process, higher than any that the fleet knows of its name; 0 while that is not sure, and
  // then neither a record nor a state transfer is asked for. It may move on. `has_ended`: whether that
  // process is known to be no more; only says when to try.
  OwnershipManager(OwnershipOptions options, ReplicaSet replica_set, std::string self, std::uint64_t life,
                   Time now, std::function<bool(const Proposer&)> has_ended);

  void SetLife(std::uint64_t life);
  // No replica can be reached from now on: operations that wait for a permission go on untracked. Nothing is
  // asked after it.
  void ContinueUntracked(Time now);
  void Open(Time now, Number number, std::string operation, const ClassSettings& cls, Time deadline);
  // An attempt at that server is wanted: What::kSend, or an outcome, follows.
  void Want(Time now, Number number, const std::string& server);
  // The attempt that was sent last has ended, without a value.
  void Ended(Time now, Number number, bool may_have_run);
  // The outcome is wanted; What::kOutcome follows, which may be another.
  void Finish(Time now, Number number, OperationOutcome outcome, std::string value = {});
  // Nobody waits any more. Nothing is said after it.
  void Left(Time now, Number number);

  // From that router.
  void Take(Time now, const std::string& from, const Message& message);
  void Tick(Time now);
  std::optional<Time> Due() const;

  std::vector<Outgoing> DrainOutgoing() { return std::exchange(out_, {}); }
  std::vector<Result> DrainResults() { return std::exchange(results_, {}); }

  const ReplicaSet& replica_set() const { return replica_set_; }
  const RecordReplica& replica() const { return replica_; }
  const Metrics& metrics() const { return metrics_; }
  std::size_t open() const { return pending_.size(); }

 private:
  enum class Phase { kNew, kProposed, kSent, kFinishing, kWatching, kTakingOver, kUntracked };
  struct PendingOperation {
    PendingOperation(const std::string& operation, const Proposer& proposer, const Proposer& reader_proposer,
                     Span send_permit)
        : ownership(operation, proposer, send_permit), reader(operation, reader_proposer) {}
    const Proposer& proposer() const { return ownership.record().proposer(); }
    OperationOwnership ownership;
    RecordReader reader;
    Number number = 0;
    ClassSettings cls;
    std::array<std::size_t, kReplicas> replicas{};
    Phase phase = Phase::kNew;
    std::string server;   // wanted
    bool awaited = true;  // somebody waits for the outcome
    bool joined = false;
    Time deadline{}, since{}, due{};
  };
  using PendingOperations = std::map<std::uint64_t, PendingOperation>;  // by proposal

  PendingOperation* Find(Number number);
  bool Over(Time now, const PendingOperation& pending) const {
    return now >= pending.deadline - options_.margin;
  }
  void SetDue(PendingOperation& pending, Time due);
  // The same, and in time for its last result.
  void SetNext(Time now, PendingOperation& pending, Span in);
  void Post(const PendingOperation& pending, std::vector<RecordProposer::Outgoing> out);
  // Hands what is for the own replica to it, and its answers on.
  void Settle(Time now);
  void OnMessage(Time now, PendingOperation& pending, std::size_t replica, const Message& message);
  void TickOne(Time now, PendingOperation& pending);
  void RequestSyncs(Time now);
  RecoveryAction Allowed(Time now, const PendingOperation& pending) const;
  // In that phase, for an answer to `out`; to be seen to again after so long.
  void Wait(Time now, PendingOperation& pending, Phase phase, std::vector<RecordProposer::Outgoing> out,
            Span again);
  void Ask(Time now, PendingOperation& pending);
  void Write(Time now, PendingOperation& pending, OperationOutcome outcome, std::string value);
  void Lost(Time now, PendingOperation& pending);
  void Watch(Time now, PendingOperation& pending);
  void Watched(Time now, PendingOperation& pending);
  void TakeOver(Time now, PendingOperation& pending);
  void NoQuorum(Time now, PendingOperation& pending);
  void Answer(Time now, PendingOperation& pending, const RecordState& state);
  // The last result of it; the operation is no longer pending then.
  void Close(Time now, PendingOperation& pending, OperationOutcome outcome, std::string value,
             bool no_quorum = false, bool committed = false);

  OwnershipOptions options_;
  ReplicaSet replica_set_;
  std::string self_;
  std::uint64_t life_;
  std::function<bool(const Proposer&)> has_ended_;
  RecordReplica replica_;
  PendingOperations pending_;
  std::map<Number, std::uint64_t> proposals_;
  std::set<std::pair<Time, std::uint64_t>> due_;  // an operation's time, and its proposal
  std::uint64_t last_proposal_ = 0;
  bool syncing_ = false;  // asks for state transfers: after a start, if this is a replica
  Time forget_at_, sync_at_;
  std::vector<Outgoing> out_, local_;
  std::vector<Result> results_;
  Metrics metrics_;
};

}  // namespace peatbend::failover

// All operations that one router has open, and its replica of the records. Decides when to retry, when to
// wait for another owner, when to take an operation over and when to give up; OperationOwnership decides what
// is safe. Contains no I/O and reads no clock; not thread-safe. Messages and results are queued until the
// caller drains them.
//
//   new --RequestAttempt--> proposed --committed--> sent (an attempt may run)
//   sent --Finish--> finishing --committed--> closed
//   proposed --another router is owner--> watching --its outcome is committed--> closed
//   watching --the owner has died or released it--> taking over --the record is read--> proposed
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
  Duration send_permit = std::chrono::milliseconds{200};      // see OperationOwnership
  Duration commit_timeout = std::chrono::milliseconds{250};   // for an attempt; then there is no quorum
  Duration outcome_timeout = std::chrono::milliseconds{500};  // for an outcome
  Duration retry_interval = std::chrono::milliseconds{40}, read_interval = std::chrono::milliseconds{50};
  Duration sync_interval = std::chrono::milliseconds{200};  // between requests for state transfers
  Duration reply_margin = std::chrono::milliseconds{15};    // for the reply to reach the client in time
  // True: without a quorum new operations run untracked; false: they are rejected.
  bool serve_untracked = false;
  std::size_t value_bytes = 16u << 10;  // a larger value is not stored in the record
  RecordLimits limits;
};

class OwnershipManager {
 public:
  // Identifies a request of this router.
  using RequestNumber = std::uint32_t;
  struct Outgoing {
    std::string router;
    Message message;
  };
  struct Result {
    RequestNumber number = 0;
    enum class What { kSend, kOutcome } what = What::kSend;
    OperationOutcome outcome = OperationOutcome::kNone;
    std::string value;
    bool no_quorum = false;  // no majority of the replicas could be reached
    // True: the outcome holds for all clients; false: this router gave up (deadline or no quorum).
    bool committed = false;
    TimePoint deliver_by = TimePoint::max();  // kSend: the server must have received the last byte by then
  };
  struct Metrics {
    std::uint64_t tracked = 0, untracked = 0, taken_over = 0, joined = 0, answered_by_other = 0,
                  no_quorum = 0, preempted = 0, permits_expired = 0, value = 0, failed = 0, rejected = 0,
                  released = 0, value_not_stored = 0, outcome_not_committed = 0;
  };

  // `generation`: of this process, higher than any that the fleet knows for its name; 0 while unknown, and
  // then neither records nor state transfers are requested. It may rise later. `has_ended`: whether the
  // process of that proposer is known to have ended; only a hint for when to take over.
  OwnershipManager(OwnershipOptions options, ReplicaSet replica_set, std::string self,
                   std::uint64_t generation, TimePoint now, std::function<bool(const Proposer&)> has_ended);

  void SetGeneration(std::uint64_t generation);
  // Called when the replicas can no longer be reached: operations that wait for permission continue
  // untracked. No other call may follow.
  void ContinueUntracked(TimePoint now);
  // Registers a request for `operation`; `deadline` is that of its client.
  void Open(TimePoint now, RequestNumber number, std::string operation, const ClassSettings& cls,
            TimePoint deadline);
  // Requests an attempt at `server`. Answered by What::kSend or by an outcome.
  void RequestAttempt(TimePoint now, RequestNumber number, const std::string& server);
  // The last attempt that was sent ended without a value.
  void OnAttemptEnded(TimePoint now, RequestNumber number, bool may_have_run);
  // Proposes the outcome. Answered by What::kOutcome, with the committed outcome, which may differ.
  void Finish(TimePoint now, RequestNumber number, OperationOutcome outcome, std::string value = {});
  // The client is gone: no result follows for this request.
  void OnClientLeft(TimePoint now, RequestNumber number);

  // Handles a message from router `from`.
  void Handle(TimePoint now, const std::string& from, const Message& message);
  void Tick(TimePoint now);
  std::optional<TimePoint> Due() const;

  std::vector<Outgoing> DrainOutgoing() { return std::exchange(outgoing_, {}); }
  std::vector<Result> DrainResults() { return std::exchange(results_, {}); }

  const ReplicaSet& replica_set() const { return replica_set_; }
  const RecordReplica& replica() const { return replica_; }
  const Metrics& metrics() const { return metrics_; }
  std::size_t open() const { return pending_.size(); }

 private:
  enum class Phase { kNew, kProposed, kSent, kFinishing, kWatching, kTakingOver, kUntracked };
  struct PendingOperation {
    PendingOperation(const std::string& operation, const Proposer& proposer, const Proposer& reader_proposer,
                     Duration send_permit)
        : ownership(operation, proposer, send_permit), reader(operation, reader_proposer) {}
    const Proposer& proposer() const { return ownership.record().proposer(); }
    OperationOwnership ownership;
    RecordReader reader;
    RequestNumber number = 0;
    ClassSettings cls;
    std::array<std::size_t, kReplicas> replicas{};
    Phase phase = Phase::kNew;
    std::string server;      // of the requested attempt
    bool has_client = true;  // a client waits for the outcome
    bool joined = false;
    TimePoint deadline{}, since{}, due{};
  };
  using PendingOperations = std::map<std::uint64_t, PendingOperation>;  // by proposal

  PendingOperation* Find(RequestNumber number);
  bool Expired(TimePoint now, const PendingOperation& pending) const {
    return now >= pending.deadline - options_.reply_margin;
  }
  void PermitSend(TimePoint now, const PendingOperation& pending) {
    Result& result = results_.emplace_back();
    result.number = pending.number;
    result.deliver_by = pending.ownership.LatestDelivery(now, pending.cls);
  }
  void SetTimer(PendingOperation& pending, TimePoint due);
  // Sets the timer to `in`, or earlier if the deadline is closer.
  void ScheduleRetry(TimePoint now, PendingOperation& pending, Duration in);
  void Queue(const PendingOperation& pending, std::vector<RecordProposer::Outgoing> out);
  // Delivers the queued messages for the local replica, and its replies.
  void DeliverLocal(TimePoint now);
  void OnMessage(TimePoint now, PendingOperation& pending, std::size_t replica, const Message& message);
  void OnTimer(TimePoint now, PendingOperation& pending);
  void RequestSyncs(TimePoint now);
  RecoveryAction AllowedAction(TimePoint now, const PendingOperation& pending) const;
  // Enters `phase`, sends `out` and sets the retry timer.
  void AwaitReplies(TimePoint now, PendingOperation& pending, Phase phase,
                    std::vector<RecordProposer::Outgoing> out, Duration retry_in);
  void ProposeAttempt(TimePoint now, PendingOperation& pending);
  void ProposeOutcome(TimePoint now, PendingOperation& pending, OperationOutcome outcome, std::string value);
  void OnLost(TimePoint now, PendingOperation& pending);
  void WatchOwner(TimePoint now, PendingOperation& pending);
  void OnReadResult(TimePoint now, PendingOperation& pending);
  void TakeOver(TimePoint now, PendingOperation& pending);
  void OnNoQuorum(TimePoint now, PendingOperation& pending);
  void CloseCommitted(TimePoint now, PendingOperation& pending, const RecordState& state);
  // Queues the final result and removes the operation.
  void Close(TimePoint now, PendingOperation& pending, OperationOutcome outcome, std::string value,
             bool no_quorum = false, bool committed = false);

  OwnershipOptions options_;
  ReplicaSet replica_set_;
  std::string self_;
  std::uint64_t generation_;
  std::function<bool(const Proposer&)> has_ended_;
  RecordReplica replica_;
  PendingOperations pending_;
  std::map<RequestNumber, std::uint64_t> proposals_;
  std::set<std::pair<TimePoint, std::uint64_t>> due_;  // timer of each operation, with its proposal
  std::uint64_t last_proposal_ = 0;
  bool syncing_ = false;  // requests state transfers: after a start, if this router is a replica
  TimePoint expire_at_, sync_at_;
  std::vector<Outgoing> outgoing_, local_messages_;
  std::vector<Result> results_;
  Metrics metrics_;
};

}  // namespace peatbend::failover

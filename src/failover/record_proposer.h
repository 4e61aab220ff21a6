// The proposer side of the protocol (a variant of Paxos) for the record of one operation: commits states at a
// majority of the replicas, and detects that another proposer has taken over. The caller decides when to
// propose and when to retry; safety does not depend on it. Replicas are numbered from 0, and the caller
// delivers the messages.
//
//   idle --Write--> writing --majority--> owner --Write--> writing ...
//   idle, lost --Prepare--> preparing --majority--> read --Write--> writing
//   writing, preparing --too many nacks for a majority--> lost
#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <vector>

#include "failover/record.h"

namespace peatbend::failover {

class RecordProposer {
 public:
  enum class Phase { kIdle, kWriting, kOwner, kPreparing, kRead, kLost };
  struct Outgoing {
    std::size_t replica;
    Message message;
  };

  RecordProposer(std::string operation, Proposer proposer)
      : operation_(std::move(operation)), proposer_(std::move(proposer)) {}

  // Requests promises for a round above any that was seen.
  void Prepare(TimePoint now, std::vector<Outgoing>& out);
  // Proposes `next`, which must be derived from state(). Allowed for an operation that this process knows
  // nothing of, as owner, after a read, and to replace a write that is not committed. An attempt that is not
  // in `next` must no longer be sent.
  void Write(TimePoint now, RecordState next, std::vector<Outgoing>& out);
  // Makes the next round higher than that of `ballot`.
  void ObserveBallot(const Ballot& ballot) { highest_seen_ = std::max(highest_seen_, ballot); }
  // Repeats the pending request to the replicas that have not replied.
  void Resend(TimePoint now, std::vector<Outgoing>& out) const;
  // Handles a reply of a replica. Returns true if the phase changed.
  bool Handle(TimePoint now, std::size_t replica, const Message& reply);

  Phase phase() const { return phase_; }
  const RecordState& state() const { return state_; }
  const std::string& operation() const { return operation_; }
  const Proposer& proposer() const { return proposer_; }
  // As owner: the time since the committed write was first sent. An attempt must not be sent if this exceeds
  // the send permit.
  Duration elapsed(TimePoint now) const { return now - phase_started_; }
  // Lower bound of the time since the first attempt was recorded; zero without one. The idempotency window is
  // measured by it.
  Duration age(TimePoint now) const { return state_.attempts.empty() ? Duration{} : now - first_attempt_; }
  // The highest ballot reported by a nack.
  const Ballot& highest_seen() const { return highest_seen_; }
  // In phase kLost: true if another proposer prevailed; false if replicas were only full or recovering.
  bool preempted() const { return preempted_; }
  // Whether Handle() would act on `reply`.
  bool Expects(std::size_t replica, const Message& reply) const;
  // Append all state that later behaviour depends on: the shared part, and the part kept for one replica. See
  // AppendState in record.h.
  void AppendState(std::string& into) const;
  void AppendState(std::size_t replica, std::string& into) const;

 private:
  Message MakeRequest() const;
  bool InProgress() const { return phase_ == Phase::kPreparing || phase_ == Phase::kWriting; }
  void EnterPhase(TimePoint now, Phase phase);
  void AdoptState(std::size_t one, std::size_t other);

  std::string operation_;
  Proposer proposer_;
  Phase phase_ = Phase::kIdle;
  std::uint64_t round_ = 0;
  std::uint32_t version_ = 0;
  RecordState state_;
  TimePoint phase_started_{}, first_attempt_{};
  Ballot highest_seen_;
  bool preempted_ = false;
  std::array<bool, kReplicas> acked_{}, nacked_{};
  std::array<Generations, kReplicas> generations_{};
  std::array<std::optional<Message>, kReplicas> promises_;
};

}  // namespace peatbend::failover

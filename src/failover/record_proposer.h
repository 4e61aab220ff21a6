// One process's proposals on the record of one operation: it writes the record at a majority of the replicas
// before anything is sent or answered, and learns when another has taken the operation over. Whether to try,
// and when, is the caller's: the argument rests on none of it. Replicas are numbered from 0; the caller
// carries messages to them.
//
//   idle --Write--> writing --majority--> owner --Write--> writing ...
//   idle, lost --Ask--> preparing --majority--> read --Write--> writing
//   writing, preparing --nacks of so many that no majority is left--> lost
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

  // Asks for the promises of a higher round than any that it has met.
  void Ask(Time now, std::vector<Outgoing>& out);
  // For an operation that this process knows nothing of; as owner or after read; or in place of a write that
  // is not committed. `next` is built upon state(). An attempt that is left out of `next` must not be sent
  // any more.
  void Write(Time now, RecordState next, std::vector<Outgoing>& out);
  // What it asks for next is above that ballot, as if it had met it.
  void Above(const Ballot& met) { met_ = std::max(met_, met); }
  // Once more to those replicas that have not answered.
  void Again(Time now, std::vector<Outgoing>& out) const;
  // An answer of that replica. True if the phase has changed.
  bool Take(Time now, std::size_t replica, const Message& answer);

  Phase phase() const { return phase_; }
  const RecordState& state() const { return state_; }
  const std::string& operation() const { return operation_; }
  const Proposer& proposer() const { return proposer_; }
  // As owner: since it asked for what is now committed. Who is about to send and finds this too long asks
  // again.
  Span since(Time now) const { return now - asked_; }
  // Since the first attempt was recorded, never less than that: what a window is counted by.
  Span age(Time now) const { return state_.attempts.empty() ? Span{} : now - first_; }
  // Lost: whom the operation belongs to, as far as is known; and whether another has it, or replicas were
  // only full, recovering or silent.
  const Ballot& met() const { return met_; }
  bool preempted() const { return preempted_; }
  // Whether an answer of that replica could change anything, now or later.
  bool Waits(std::size_t replica, const Message& answer) const;
  // All that its next actions depend on, without and then for one replica; see Put of a state.
  void Put(std::string& into) const;
  void Put(std::size_t replica, std::string& into) const;

 private:
  Message Question() const;
  bool InDoubt() const { return phase_ == Phase::kPreparing || phase_ == Phase::kWriting; }
  void Start(Time now, Phase phase);
  void Read(std::size_t one, std::size_t other);

  std::string operation_;
  Proposer proposer_;
  Phase phase_ = Phase::kIdle;
  std::uint64_t round_ = 0;
  std::uint32_t version_ = 0;
  RecordState state_;
  Time asked_{}, first_{};
  Ballot met_;
  bool preempted_ = false;
  std::array<bool, kReplicas> yes_{}, no_{};
  std::array<Lives, kReplicas> lives_{};
  std::array<std::optional<Message>, kReplicas> promises_;
};

}  // namespace peatbend::failover

// Election of the owner of a shard. An owner grants tokens only after two of the three replicas have
// confirmed, after the amounts were computed, that they have promised no higher ballot. The periods in which
// two owners compute what they grant therefore never overlap, whatever messages are lost, delayed or
// duplicated and whichever replicas restart. Replicas store nothing across restarts and nobody waits for
// them: each start chooses a new generation, and a confirmation counts only from the generation that
// promised.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "rations/message.h"

namespace peatbend::rations {

// A replica of one shard: promises and confirms ballots. Not thread-safe.
class ShardReplica {
 public:
  // `generation`: unique to this process. A former process must not answer once this one does.
  explicit ShardReplica(std::uint64_t generation) : generation_(generation) {}
  // Returns the response to a prepare or confirm request.
  Message Handle(const Message& request);
  const Ballot& promised() const { return promised_; }  // round 0: none yet
  std::uint64_t generation() const { return generation_; }
  void AppendState(std::string& into) const;

 private:
  std::uint64_t generation_;
  Ballot promised_;
};

// One ballot of a process for the ownership of a shard. Replicas are numbered from 0; the caller transports
// the messages. Not thread-safe.
//
//   electing --two promises, TakeOwnership--> owning --denials leave fewer than two promises--> lost
//   electing --denied by two--> lost
class ShardOwnership {
 public:
  enum class Phase { kElecting, kOwning, kLost };
  struct Request {
    std::size_t replica;
    Message message;
  };
  // Appends the prepare requests to `out`.
  ShardOwnership(std::uint32_t shard, Ballot ballot, std::vector<Request>& out);

  // Repeats the prepare or the last confirm request to the replicas that have not answered it.
  void Resend(std::vector<Request>& out) const;
  // Becomes the owner: what is computed from now on may be granted once confirmed. Only the replica
  // generations that have promised so far count from then on. Requires the electing phase and two promises;
  // otherwise returns false and changes nothing.
  // Buckets must refill from a time read after the last of these promises arrived, not before.
  bool TakeOwnership();
  // Promises so far.
  std::size_t promises() const;
  // Requests a confirmation and returns its sequence number. Must be called after the amounts are computed,
  // while owning.
  std::uint64_t RequestConfirmation(std::vector<Request>& out);
  // Processes a response of that replica. Returns true if phase() or confirmed_sequence() has changed.
  bool Handle(std::size_t replica, const Message& response);
  // What was computed before the confirmation of this or a lower number was requested may be granted.
  std::uint64_t confirmed_sequence() const;

  Phase phase() const { return phase_; }
  const Ballot& ballot() const { return ballot_; }
  std::uint64_t highest_round() const { return highest_round_; }    // seen so far
  const Ballot& highest_ballot() const { return highest_ballot_; }  // of the denials
  // Appends the whole state, or what is known of one replica.
  void AppendState(std::string& into) const;
  void AppendState(std::size_t replica, std::string& into) const;

 private:
  Message MakeRequest(MessageKind kind) const;
  void HandleDenial(std::size_t replica, const Message& response);

  std::uint32_t shard_;
  Ballot ballot_, highest_ballot_;
  Phase phase_ = Phase::kElecting;
  std::uint64_t sequence_ = 0, highest_round_ = 0;
  // Of the replicas that have promised.
  std::array<std::optional<std::uint64_t>, kReplicasPerShard> generations_{};
  std::array<std::uint64_t, kReplicasPerShard> confirmed_{};
  std::array<bool, kReplicasPerShard> denied_{};
};

}  // namespace peatbend::rations

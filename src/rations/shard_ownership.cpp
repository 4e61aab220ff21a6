#include "rations/shard_ownership.h"

#include <algorithm>

namespace peatbend::rations {

// ---- ShardReplica -----------------------------------------------------------------------------------------

Message ShardReplica::Handle(const Message& request) {
  Message response;
  response.shard = request.shard;
  response.ballot = request.ballot;
  response.sequence = request.sequence;
  response.generation = generation_;
  bool yes = false;
  if (request.kind == MessageKind::kPrepare) {
    // The lower of two ballots is denied even if it was promised first; otherwise a duplicate of its prepare
    // request would take the later promise back.
    promised_ = std::max(promised_, request.ballot);
    yes = promised_ == request.ballot;
    response.kind = MessageKind::kPromise;
  } else {
    yes = request.kind == MessageKind::kConfirm && promised_ == request.ballot &&
          request.generation == generation_;
    response.kind = MessageKind::kConfirmed;
  }
  if (!yes) {
    response.kind = MessageKind::kDenied;
    response.other_ballot = promised_;
  }
  return response;
}

void ShardReplica::AppendState(std::string& into) const {
  rations::AppendState(into, generation_);
  rations::AppendState(into, promised_);
}

// ---- ShardOwnership ---------------------------------------------------------------------------------------

ShardOwnership::ShardOwnership(std::uint32_t shard, Ballot ballot, std::vector<Request>& out)
    : shard_(shard), ballot_(std::move(ballot)), highest_round_(ballot_.round) {
  Resend(out);
}

Message ShardOwnership::MakeRequest(MessageKind kind) const {
  Message message;
  message.kind = kind;
  message.shard = shard_;
  message.ballot = ballot_;
  return message;
}

void ShardOwnership::Resend(std::vector<Request>& out) const {
  for (std::size_t replica = 0; replica < kReplicasPerShard; ++replica) {
    if (phase_ == Phase::kElecting && !generations_[replica] && !denied_[replica]) {
      out.push_back({replica, MakeRequest(MessageKind::kPrepare)});
    } else if (phase_ == Phase::kOwning && generations_[replica] && confirmed_[replica] < sequence_) {
      Message message = MakeRequest(MessageKind::kConfirm);
      message.generation = *generations_[replica];
      message.sequence = sequence_;
      out.push_back({replica, std::move(message)});
    }
  }
}

std::size_t ShardOwnership::promises() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(generations_, [](const auto& generation) { return generation.has_value(); }));
}

bool ShardOwnership::TakeOwnership() {
  if (phase_ != Phase::kElecting || promises() < kMajority) return false;
  phase_ = Phase::kOwning;
  return true;
}

std::uint64_t ShardOwnership::RequestConfirmation(std::vector<Request>& out) {
  ++sequence_;
  Resend(out);
  return sequence_;
}

std::uint64_t ShardOwnership::confirmed_sequence() const {
  auto sequences = confirmed_;
  std::ranges::sort(sequences, std::greater<>());
  return sequences[kMajority - 1];
}

bool ShardOwnership::Handle(std::size_t replica, const Message& response) {
  if (replica >= kReplicasPerShard || response.shard != shard_ || response.ballot != ballot_) return false;
  switch (response.kind) {
    case MessageKind::kPromise:
      // Only the first promise counts: that of a replica restarted since is for a later ballot to use.
      if (phase_ == Phase::kElecting && !denied_[replica] && !generations_[replica])
        generations_[replica] = response.generation;
      return false;
    case MessageKind::kConfirmed: {
      if (phase_ != Phase::kOwning || generations_[replica] != response.generation ||
          response.sequence > sequence_)
        return false;
      std::uint64_t before = confirmed_sequence();
      confirmed_[replica] = std::max(confirmed_[replica], response.sequence);
      return confirmed_sequence() != before;
    }
    case MessageKind::kDenied: {
      Phase before = phase_;
      HandleDenial(replica, response);
      return phase_ != before;
    }
    default:
      return false;
  }
}

// Excludes the replica, whichever generation denied: if it had promised before, it has promised another
// ballot since or was restarted.
void ShardOwnership::HandleDenial(std::size_t replica, const Message& response) {
  highest_round_ = std::max(highest_round_, response.other_ballot.round);
  highest_ballot_ = std::max(highest_ballot_, response.other_ballot);
  denied_[replica] = true;
  generations_[replica].reset();
  auto denials = static_cast<std::size_t>(std::ranges::count(denied_, true));
  if (phase_ == Phase::kElecting ? denials > kReplicasPerShard - kMajority : promises() < kMajority)
    phase_ = Phase::kLost;
}

void ShardOwnership::AppendState(std::string& into) const {
  rations::AppendState(into, std::uint64_t{shard_});
  rations::AppendState(into, ballot_);
  rations::AppendState(into, highest_ballot_);
  for (std::uint64_t each : {static_cast<std::uint64_t>(phase_), sequence_, highest_round_})
    rations::AppendState(into, each);
  for (std::size_t replica = 0; replica < kReplicasPerShard; ++replica) AppendState(replica, into);
}

void ShardOwnership::AppendState(std::size_t replica, std::string& into) const {
  rations::AppendState(into, generations_[replica].has_value() + 2u * denied_[replica]);
  rations::AppendState(into, generations_[replica].value_or(0));
  rations::AppendState(into, confirmed_[replica]);
}

}  // namespace peatbend::rations

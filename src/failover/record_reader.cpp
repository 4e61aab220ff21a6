#include "failover/record_reader.h"

#include <algorithm>
#include <tuple>

namespace peatbend::failover {

void RecordReader::StartRead(std::vector<RecordProposer::Outgoing>& out) {
  ++round_;
  replies_ = {};
  Message message;
  message.kind = Kind::kRead;
  message.operation = operation_;
  message.ballot = {round_, proposer_};
  for (std::size_t replica = 0; replica < kReplicas; ++replica) out.push_back({replica, message});
}

bool RecordReader::Expects(std::size_t replica, const Message& reply) const {
  return replica < kReplicas && !replies_[replica] && reply.kind == Kind::kReadResult &&
         reply.operation == operation_ && reply.ballot == Ballot{round_, proposer_};
}

void RecordReader::Handle(std::size_t replica, const Message& reply) {
  if (Expects(replica, reply)) replies_[replica] = reply;
}

const RecordState* RecordReader::Outcome() const {
  for (std::size_t one = 0; one < kReplicas; ++one) {
    for (std::size_t other = one + 1; other < kReplicas; ++other) {
      if (!replies_[one] || !replies_[other] || !replies_[one]->state.final() ||
          !replies_[other]->state.final())
        continue;
      if (replies_[one]->copied || replies_[other]->copied ||
          replies_[one]->accepted != replies_[other]->accepted)
        continue;
      if (GenerationsAgree(one, replies_[one]->generations, other, replies_[other]->generations))
        return &replies_[one]->state;
    }
  }
  return nullptr;
}

const Message* RecordReader::HighestReply() const {
  const Message* highest = nullptr;
  for (const auto& reply : replies_) {
    if (!reply || reply->version == 0) continue;
    if (highest == nullptr ||
        std::tie(reply->accepted, reply->version) > std::tie(highest->accepted, highest->version))
      highest = &*reply;
  }
  return highest;
}

std::optional<Proposer> RecordReader::Owner() const {
  const Message* highest = HighestReply();
  if (highest == nullptr) return std::nullopt;
  return highest->accepted.proposer;
}

bool RecordReader::IsReleased() const {
  const Message* highest = HighestReply();
  return highest != nullptr && highest->state.released;
}

bool RecordReader::IsUnclaimed() const {
  auto replied = std::ranges::count_if(replies_, [](const auto& reply) { return reply.has_value(); });
  bool held = std::ranges::any_of(replies_, [](const auto& reply) {
    return reply && reply->version > 0 && reply->state.outcome != failover::OperationOutcome::kRejected;
  });
  return replied >= static_cast<long>(kMajority) && !held;
}

}  // namespace peatbend::failover

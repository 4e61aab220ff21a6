#include "failover/record_reader.h"

#include <algorithm>
#include <tuple>

namespace peatbend::failover {

void RecordReader::Ask(std::vector<RecordProposer::Outgoing>& out) {
  ++round_;
  seen_ = {};
  Message message;
  message.kind = Kind::kRead;
  message.operation = operation_;
  message.ballot = {round_, proposer_};
  for (std::size_t replica = 0; replica < kReplicas; ++replica) out.push_back({replica, message});
}

bool RecordReader::Waits(std::size_t replica, const Message& answer) const {
  return replica < kReplicas && !seen_[replica] && answer.kind == Kind::kReadResult &&
         answer.operation == operation_ && answer.ballot == Ballot{round_, proposer_};
}

void RecordReader::Take(std::size_t replica, const Message& answer) {
  if (Waits(replica, answer)) seen_[replica] = answer;
}

const RecordState* RecordReader::Outcome() const {
  for (std::size_t one = 0; one < kReplicas; ++one) {
    for (std::size_t other = one + 1; other < kReplicas; ++other) {
      if (!seen_[one] || !seen_[other] || !seen_[one]->state.final() || !seen_[other]->state.final())
        continue;
      if (seen_[one]->copied || seen_[other]->copied || seen_[one]->kept != seen_[other]->kept) continue;
      if (Agree(one, seen_[one]->lives, other, seen_[other]->lives)) return &seen_[one]->state;
    }
  }
  return nullptr;
}

const Message* RecordReader::Highest() const {
  const Message* highest = nullptr;
  for (const auto& seen : seen_) {
    if (!seen || seen->version == 0) continue;
    if (highest == nullptr || std::tie(seen->kept, seen->version) > std::tie(highest->kept, highest->version))
      highest = &*seen;
  }
  return highest;
}

std::optional<Proposer> RecordReader::Owner() const {
  const Message* highest = Highest();
  if (highest == nullptr) return std::nullopt;
  return highest->kept.proposer;
}

bool RecordReader::Released() const {
  const Message* highest = Highest();
  return highest != nullptr && highest->state.released;
}

bool RecordReader::Free() const {
  auto told = std::ranges::count_if(seen_, [](const auto& seen) { return seen.has_value(); });
  bool held = std::ranges::any_of(seen_, [](const auto& seen) {
    return seen && seen->version > 0 && seen->state.outcome != failover::OperationOutcome::kRejected;
  });
  return told >= static_cast<long>(kMajority) && !held;
}

}  // namespace peatbend::failover

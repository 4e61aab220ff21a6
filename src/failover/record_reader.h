// Reads a record without requesting promises, so it does not preempt the owner. Used by a router that waits
// for the outcome of an operation owned by another.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "failover/record_proposer.h"

namespace peatbend::failover {

class RecordReader {
 public:
  // `proposer` must be unique among the readers of this process.
  RecordReader(std::string operation, Proposer proposer)
      : operation_(std::move(operation)), proposer_(std::move(proposer)) {}

  // Requests the state from all replicas and discards earlier replies.
  void StartRead(std::vector<RecordProposer::Outgoing>& out);
  void Handle(std::size_t replica, const Message& reply);
  bool Expects(std::size_t replica, const Message& reply) const;

  // The outcome, if it is known to be committed: two replicas have accepted a final state under the same
  // ballot. Such a state is never replaced. Null otherwise.
  const RecordState* Outcome() const;
  // The proposer of the highest ballot among the replies; none if no replica that replied stores the record.
  std::optional<Proposer> Owner() const;
  bool IsReleased() const;  // true if that proposer has released the operation
  // True if a majority replied and none of the replies holds the record, or only a rejected one: the
  // operation may be started.
  bool IsUnclaimed() const;

 private:
  const Message* HighestReply() const;

  std::string operation_;
  Proposer proposer_;
  std::uint64_t round_ = 0;  // number of the current read
  std::array<std::optional<Message>, kReplicas> replies_;
};

}  // namespace peatbend::failover

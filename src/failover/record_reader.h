// Reads a record without taking part: asks nobody for a promise, so it hinders nobody. For a router that
// waits for an operation that another has.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "failover/record_proposer.h"

namespace peatbend::failover {

class RecordReader {
 public:
  // `proposer` tells one reader from another: of one process, no two have the same.
  RecordReader(std::string operation, Proposer proposer)
      : operation_(std::move(operation)), proposer_(std::move(proposer)) {}

  // Asks all replicas; what they answered before is forgotten.
  void Ask(std::vector<RecordProposer::Outgoing>& out);
  void Take(std::size_t replica, const Message& answer);
  bool Waits(std::size_t replica, const Message& answer) const;

  // The outcome, if it is committed: two replicas store one that is final, under one ballot. Such a state is
  // never replaced.
  const RecordState* Outcome() const;
  // Whose operation it is, as far as two replicas have answered; nothing where they know of none, or have
  // not.
  std::optional<Proposer> Owner() const;
  bool Released() const;  // by that owner
  // Two replicas have answered, and neither knows of such an operation, or it was rejected: it may begin
  // again.
  bool Free() const;

 private:
  const Message* Highest() const;

  std::string operation_;
  Proposer proposer_;
  std::uint64_t round_ = 0;  // of asking
  std::array<std::optional<Message>, kReplicas> seen_;
};

}  // namespace peatbend::failover

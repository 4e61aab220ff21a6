// The catalogue as a register at three seats, read and replaced by compare and set: failover's RecordProposer
// and RecordReplica as they are, without attempts and outcomes. What is accepted is accepted once for the
// whole fleet, also in two halves. Free of I/O and clocks; the caller carries messages and decides when to
// begin anew.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "compat/catalogue.h"
#include "failover/record_proposer.h"
#include "failover/record_replica.h"

namespace peatbend::compat {

// A register is never forgotten; RecordReplica::Forget may be called, and drops none.
constexpr failover::Duration kForEver = std::chrono::hours(24 * 365 * 100);

// A seat of registers. `found`: by an operator's word, once, when the register is new: it votes at once, as
// one that has forgotten nothing. Otherwise it votes after both the others' state transfers
// (RecordReplica::RequestSync). A seat that is started again as if it were new forgets what was accepted.
failover::RecordReplica RegisterSeat(failover::TimePoint now, bool found, std::string self,
                                     std::uint64_t life, failover::RecordReplica::ReplicasFor replicas_for,
                                     std::size_t bytes = 4u << 20);

// One command brought to the register. One owner, one thread.
class Change {
 public:
  // Applied to what is read, as often as it is read: to hang on the catalogue and on values it holds alone,
  // and to change nothing the second time. All of Catalogue's commands are like that.
  using Command = std::function<Answer(Catalogue&)>;
  enum class Verdict {
    kNothing,
    kTell,  // the catalogue that the answer comes of stands: answer() may be told
    kLost   // another came in between, or no majority is to be had. The change may yet come to stand: begin
            // anew
  };

  // `proposer`: of no other change.
  Change(std::string work, failover::Proposer proposer, Command command, Catalogue::Bounds bounds = {})
      : record_(std::move(work), std::move(proposer)), command_(std::move(command)), bounds_(bounds) {}

  // The next go asks above that ballot.
  void Above(const failover::Ballot& met) { record_.ObserveBallot(met); }
  // Also again: after kLost, or in place of a go that does not come to its end.
  void Begin(failover::TimePoint now, std::vector<failover::RecordProposer::Outgoing>& out);
  // Once more to the seats that have not answered.
  void Again(failover::TimePoint now, std::vector<failover::RecordProposer::Outgoing>& out) const {
    record_.Resend(now, out);
  }
  Verdict Take(failover::TimePoint now, std::size_t seat, const failover::Message& answer,
               std::vector<failover::RecordProposer::Outgoing>& out);

  const Answer& answer() const { return answer_; }
  // With kTell, what stands: nothing, where it is of a form that is not known here. Such a one is not
  // changed.
  const std::optional<Catalogue>& catalogue() const { return catalogue_; }
  const failover::RecordProposer& record() const { return record_; }

 private:
  failover::RecordProposer record_;
  Command command_;
  Catalogue::Bounds bounds_;
  Answer answer_;
  std::optional<Catalogue> catalogue_;
};

}  // namespace peatbend::compat

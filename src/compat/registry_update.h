// The registry state as one replicated record, read and replaced by compare-and-set: failover's
// RecordProposer and RecordReplica, without attempts and outcomes. An update is committed once for the whole
// fleet, also during a network partition. Free of I/O and clocks; the caller carries messages and decides
// when to start a new ballot.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "compat/registry_state.h"
#include "failover/record_proposer.h"
#include "failover/record_replica.h"

namespace peatbend::compat {

// The lifetime of the record: RecordReplica may expire records, but never drops this one.
constexpr failover::Duration kNoExpiry = std::chrono::hours(24 * 365 * 100);

// A replica of the registry. `bootstrapped`: an operator's command, once, when the registry is new: the
// replica votes at once, as one that has forgotten nothing. Otherwise it votes after state transfers from
// both others (RecordReplica::RequestSync). A replica restarted as bootstrapped forgets what it had accepted.
failover::RecordReplica MakeRegistryReplica(failover::TimePoint now, bool bootstrapped, std::string self,
                                            std::uint64_t generation,
                                            failover::RecordReplica::ReplicasFor replicas_for,
                                            std::size_t bytes = 4u << 20);

// One command applied to the replicated registry state. One owner, one thread.
class RegistryUpdate {
 public:
  // Applied to each state that is read, so possibly several times. Must depend only on that state and on
  // captured values, and must change nothing the second time. All of RegistryState's commands comply.
  using Command = std::function<UpdateResult(RegistryState&)>;
  enum class Progress {
    kPending,
    kCommitted,  // the state that result() is based on is committed: result() may be reported
    kConflict    // another ballot came in between, or there is no quorum. The update may still be committed:
                 // start a new ballot
  };

  // `proposer`: used by no other update.
  RegistryUpdate(std::string key, failover::Proposer proposer, Command command,
                 RegistryState::Bounds bounds = {})
      : record_(std::move(key), std::move(proposer)), command_(std::move(command)), bounds_(bounds) {}

  // The next ballot is above this one.
  void ObserveBallot(const failover::Ballot& ballot) { record_.ObserveBallot(ballot); }
  // Starts a ballot: the first, one after kConflict, or one in place of a ballot that does not finish.
  void Start(failover::TimePoint now, std::vector<failover::RecordProposer::Outgoing>& out);
  // Sends again to the replicas that have not answered.
  void Resend(failover::TimePoint now, std::vector<failover::RecordProposer::Outgoing>& out) const {
    record_.Resend(now, out);
  }
  Progress Handle(failover::TimePoint now, std::size_t replica, const failover::Message& reply,
                  std::vector<failover::RecordProposer::Outgoing>& out);

  const UpdateResult& result() const { return result_; }
  // After kCommitted, the committed state; nothing if its format is unknown to this version, which leaves it
  // unchanged.
  const std::optional<RegistryState>& state() const { return state_; }
  const failover::RecordProposer& record() const { return record_; }

 private:
  failover::RecordProposer record_;
  Command command_;
  RegistryState::Bounds bounds_;
  UpdateResult result_;
  std::optional<RegistryState> state_;
};

}  // namespace peatbend::compat

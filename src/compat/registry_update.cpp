#include "compat/registry_update.h"

namespace peatbend::compat {

using failover::RecordProposer;

failover::RecordReplica MakeRegistryReplica(failover::TimePoint now, bool bootstrapped, std::string self,
                                            std::uint64_t generation,
                                            failover::RecordReplica::ReplicasFor replicas_for,
                                            std::size_t bytes) {
  return failover::RecordReplica({.lifetime = kNoExpiry, .bytes = bytes},
                                 bootstrapped ? now - kNoExpiry : now, std::move(self), generation,
                                 std::move(replicas_for));
}

void RegistryUpdate::Start(failover::TimePoint now, std::vector<RecordProposer::Outgoing>& out) {
  result_ = {};
  state_.reset();
  record_.Prepare(now, out);
}

RegistryUpdate::Progress RegistryUpdate::Handle(failover::TimePoint now, std::size_t replica,
                                                const failover::Message& reply,
                                                std::vector<RecordProposer::Outgoing>& out) {
  if (!record_.Handle(now, replica, reply)) return Progress::kPending;
  switch (record_.phase()) {
    case RecordProposer::Phase::kRead: {
      failover::RecordState next = record_.state();
      state_ = RegistryState::Parse(next.value, bounds_);
      if (state_) {
        result_ = command_(*state_);
        next.value = state_->Serialize();
      } else {
        result_ = {{{"", "", "form", "the registry holds a state of an unknown format", 0, {}}}};
      }
      // Also if nothing changes: a single replica may have accepted what was read, which could still be lost.
      record_.Write(now, std::move(next), out);
      return Progress::kPending;
    }
    case RecordProposer::Phase::kOwner:
      return Progress::kCommitted;
    case RecordProposer::Phase::kLost:
      return Progress::kConflict;
    default:
      return Progress::kPending;
  }
}

}  // namespace peatbend::compat

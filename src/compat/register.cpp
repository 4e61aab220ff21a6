#include "compat/register.h"

namespace peatbend::compat {

using failover::RecordProposer;

failover::RecordReplica RegisterSeat(failover::TimePoint now, bool found, std::string self,
                                     std::uint64_t life, failover::RecordReplica::ReplicasFor replicas_for,
                                     std::size_t bytes) {
  return failover::RecordReplica({.lifetime = kForEver, .bytes = bytes}, found ? now - kForEver : now,
                                 std::move(self), life, std::move(replicas_for));
}

void Change::Begin(failover::TimePoint now, std::vector<RecordProposer::Outgoing>& out) {
  answer_ = {};
  catalogue_.reset();
  record_.Prepare(now, out);
}

Change::Verdict Change::Take(failover::TimePoint now, std::size_t seat, const failover::Message& answer,
                             std::vector<RecordProposer::Outgoing>& out) {
  if (!record_.Handle(now, seat, answer)) return Verdict::kNothing;
  switch (record_.phase()) {
    case RecordProposer::Phase::kRead: {
      failover::RecordState next = record_.state();
      catalogue_ = Catalogue::Read(next.value, bounds_);
      if (catalogue_) {
        answer_ = command_(*catalogue_);
        next.value = catalogue_->Bytes();
      } else {
        answer_ = {{{"", "", "form", "the register holds what is not known here", 0, {}}}};
      }
      // Also where nothing changes: what was read may stand at one seat alone, and be lost.
      record_.Write(now, std::move(next), out);
      return Verdict::kNothing;
    }
    case RecordProposer::Phase::kOwner:
      return Verdict::kTell;
    case RecordProposer::Phase::kLost:
      return Verdict::kLost;
    default:
      return Verdict::kNothing;
  }
}

}  // namespace peatbend::compat

// What the stage asks before it sends and before it answers, where operations are to outlive their router.
// Which member, whether again and with what outcome stays the module's; here is only whether it may happen
// now, and whether another has the operation. The answers come through Decision::MaySend and Decision::Close.
#pragma once

#include <string>

#include "failover/record.h"
#include "protocol/request.h"

namespace peatbend::net {

using failover::OperationOutcome;

class Keeping {
 public:
  virtual ~Keeping() = default;
  virtual bool Tracks(const Request& request) const = 0;
  virtual void Opened(RequestId id, const Request& request, Duration left) = 0;
  // MaySend or Close follows.
  virtual void Want(RequestId id, const std::string& member) = 0;
  // The attempt that was let go last has ended without a value.
  virtual void FlowEnded(RequestId id, bool may_have_run) = 0;
  // Close follows, with this outcome or with another.
  virtual void Finish(RequestId id, OperationOutcome outcome, std::string value) = 0;
  // Nothing follows.
  virtual void Left(RequestId id) = 0;
};

}  // namespace peatbend::net

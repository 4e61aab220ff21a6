// Records of operations that must survive the failure of their router. BalancerDriver asks for permission
// before it sends a tracked request and before it answers it. The choice of the member, of a retry and of the
// outcome stays with the balancer; the tracker only says whether it may happen now, or that another router
// has completed the operation. Its replies arrive through BalancerDriver::PermitSend and
// BalancerDriver::CompleteRequest.
#pragma once

#include <string>

#include "failover/record.h"
#include "protocol/request.h"

namespace peatbend::net {

using failover::OperationOutcome;

class OperationTracker {
 public:
  virtual ~OperationTracker() = default;
  virtual bool Tracks(const Request& request) const = 0;
  virtual void StartTracking(RequestId id, const Request& request, Duration remaining) = 0;
  // Followed by PermitSend or CompleteRequest.
  virtual void RequestSendPermit(RequestId id, const std::string& member) = 0;
  // The attempt permitted last has ended without a value.
  virtual void OnAttemptEnded(RequestId id, bool may_have_run) = 0;
  // Followed by CompleteRequest with this outcome or another one.
  virtual void RecordOutcome(RequestId id, OperationOutcome outcome, std::string value) = 0;
  // The client has left, or the value was streamed. No reply follows.
  virtual void StopTracking(RequestId id) = 0;
};

}  // namespace peatbend::net

// The check of requests against the quotas that the fleet shares, before the balancer sees them. What follows
// from its result is up to the balancer. Does not block.
#pragma once

#include "peatbend/balancer.h"
#include "protocol/request.h"

namespace peatbend::net {

class QuotaCheck {
 public:
  virtual ~QuotaCheck() = default;
  // Sets the quota verdict of the event.
  virtual void Check(const Request& request, RequestEvent& event) = 0;
};

}  // namespace peatbend::net

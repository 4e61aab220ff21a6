// Validation of payloads against published schemas, before any other check of a request. What happens to a
// rejected request is up to the balancer. Does not block.
#pragma once

#include "peatbend/balancer.h"
#include "protocol/request.h"

namespace peatbend::net {

class PayloadCheck {
 public:
  virtual ~PayloadCheck() = default;
  // Marks the event as to be rejected, with a time to retry after, if the request may not write or read its
  // payload. Leaves it unchanged otherwise.
  virtual void Check(const Request& request, RequestEvent& event) = 0;
};

}  // namespace peatbend::net

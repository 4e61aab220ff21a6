// Load shedding coordinated by the fleet. It sees each request before the balancer does, and is told of the
// request's end and of each attempt. What happens to a rejected request is up to the balancer. Does not
// block.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "peatbend/balancer.h"
#include "protocol/request.h"
#include "stage/quota_check.h"

namespace peatbend::net {

class OverloadControl {
 public:
  // kLost: failed, or not answered before the client left or the deadline passed.
  enum class Outcome { kServed, kRejected, kLost };
  virtual ~OverloadControl() = default;
  // Decides whether the request is admitted. Consults `quota_check`, which may be null, unless the request is
  // shed whatever its quota. Returns the work of the request, or 0 if it is rejected; OnRequestEnded is not
  // called then.
  virtual std::uint64_t Admit(const Request& request, QuotaCheck* quota_check, RequestEvent& event) = 0;
  virtual void OnRequestEnded(std::uint64_t work, int cls, Outcome outcome, Duration elapsed) = 0;
  // Changes of the server list as reported by discovery.
  virtual void ServerListChanged(Scope scope, const std::vector<ServerEntry>& entries) = 0;
  // An attempt is about to be sent to `server`.
  virtual void OnSend(std::string_view server) = 0;
  // The balancer has ejected a member, or its trial has ended.
  virtual void OnTrial(const ReportTrial& trial) = 0;
  // An attempt has returned a value.
  virtual void OnAnswer(std::string_view server, int cls, Duration elapsed, const LoadReport& load) = 0;
};

}  // namespace peatbend::net

// A router's part in the operations of its fleet: its ownership manager, driven by the loop, and the way to
// the others' by its peers. Switched off it is not made at all.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/event_handles.h"
#include "base/log.h"
#include "config/config.h"
#include "failover/ownership_manager.h"
#include "peers/peers.h"
#include "stage/balancer_driver.h"
#include "stage/operation_tracker.h"

namespace peatbend::net {

class WorkInHand : public OperationTracker {
 public:
  // Speaks through `peers`, which outlives it.
  WorkInHand(event_base* base, const Config& config, peers::Peers& peers, BalancerDriver& decision, Log& log);
  ~WorkInHand() override;

  bool Tracks(const Request& request) const override;
  void StartTracking(RequestId id, const Request& request, Duration left) override;
  void RequestSendPermit(RequestId id, const std::string& member) override;
  void OnAttemptEnded(RequestId id, bool may_have_run) override;
  void RecordOutcome(RequestId id, OperationOutcome end, std::string value) override;
  void StopTracking(RequestId id) override;

  // The program's figures of it, names without a prefix.
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;
  std::string Describe() const;  // one JSON object

 private:
  std::string NameOf(const Request& request) const;
  void Arrived(const std::string& from, const std::string& bytes);
  void Flush();

  const Settings& settings_;
  peers::Peers& peers_;
  BalancerDriver& decision_;
  Log& log_;
  failover::OwnershipManager manager_;
  std::uint64_t dropped_ = 0, sent_ = 0, bytes_ = 0, unreached_ = 0;
  Timer tick_;
};

}  // namespace peatbend::net

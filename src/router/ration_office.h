// A router's part in the rations of its fleet: its quota manager, driven by the loop, and the way to the
// others' by its peers. Switched off it is not made at all.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/event_handles.h"
#include "base/log.h"
#include "config/config.h"
#include "peers/peers.h"
#include "rations/quota_manager.h"
#include "stage/balancer_driver.h"
#include "stage/quota_check.h"

namespace peatbend::net {

class RationOffice : public QuotaCheck {
 public:
  // Speaks through `peers`, which lives until Hush or the end of this; `decision` outlives it.
  RationOffice(event_base* base, const Config& config, peers::Peers& peers, BalancerDriver& decision,
               Log& log);
  ~RationOffice() override;

  void Check(const Request& request, RequestEvent& event) override;
  // Nobody can be reached from now on: what is in hand may still be used.
  void Hush();
  // The book as a configuration that was read anew has it.
  void SetBook(std::shared_ptr<const rations::QuotaTable> table);

  // The program's figures of it, names without a prefix.
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;

 private:
  void Arrived(const std::string& from, const std::string& bytes);
  void Tick();
  void Arm(rations::Time due);
  void Flush();
  unsigned Signs() const;

  const Settings& settings_;
  peers::Peers* peers_;  // null: hushed
  BalancerDriver& decision_;
  Log& log_;
  failover::ReplicaSet seats_;
  std::uint64_t print_;  // of the seats and their addresses
  rations::QuotaManager office_;
  std::uint64_t dropped_ = 0, sent_ = 0, bytes_ = 0, unreached_ = 0;
  std::vector<std::string> zones_;              // that seats or members are in
  rations::Time armed_ = rations::Time::max();  // when it is to ring
  rations::Time ticked_{};
  Timer tick_;
};

}  // namespace peatbend::net

// A router's part in the one cut of its fleet: its watch and the signs of others, driven by the loop, and the
// way to the one that reads signs for all: the first of the seats that is there; and its part in the trials
// of ejected members and in the order of dials to those that are back. Switched off it is not made.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/event_handles.h"
#include "base/log.h"
#include "config/config.h"
#include "overload/latency_baseline.h"
#include "overload/load_shedder.h"
#include "overload/priority.h"
#include "overload/reconnect_pacing.h"
#include "overload/trials.h"
#include "peers/peers.h"
#include "stage/balancer_driver.h"
#include "stage/overload_control.h"

namespace peatbend::net {

class OverloadOffice : public OverloadControl {
 public:
  // Speaks through `peers`, and tells `decision` of itself; both outlive it.
  OverloadOffice(event_base* base, const Config& config, peers::Peers& peers, BalancerDriver& decision,
                 Log& log);
  ~OverloadOffice() override;

  std::uint64_t Admit(const Request& request, QuotaCheck* rationing, RequestEvent& event) override;
  void OnRequestEnded(std::uint64_t work, int cls, Outcome outcome, Duration took) override;
  void OnAnswer(std::string_view server, int cls, Duration elapsed, const LoadReport& load) override;
  void OnSend(std::string_view server) override;
  void ServerListChanged(Scope scope, const std::vector<ServerEntry>& entries) override;
  void OnTrial(const ReportTrial& trial) override;

  // The program's figures of it, names without a prefix.
  std::vector<std::pair<std::string, std::uint64_t>> Figures() const;

 private:
  struct Listing {
    std::string name;
    TimePoint started{};
    bool ready = false;
    bool operator==(const Listing&) const = default;
  };
  struct Turn {             // of a member that gets nothing
    bool own = false;       // the trial is this router's
    bool sent = false;      // and a request is on its way
    bool answered = false;  // here, since it was first heard to fail
    overload::TimePoint since{};
  };
  void Arrived(const std::string& from, const std::string& bytes);
  void Tick();
  void Tell(const overload::LoadSignal& sign);
  void TellAll();
  void Send(const std::string& to, const std::vector<std::string>& signs, bool all);
  void Say();
  void Heard(const overload::TrialUpdate& news, std::uint64_t process);
  void TryMembers();
  void DialMembers();
  void BringBack(const std::string& member);
  void IsBack(const std::string& member, const std::string& which, overload::Duration out);
  std::string Reader() const;
  bool OfOrigin(std::string_view server) const;

  const Settings& settings_;
  std::string self_;
  std::vector<std::string> seats_;
  peers::Peers& peers_;
  BalancerDriver& decision_;
  Log& log_;
  overload::PriorityOrder order_;
  overload::LoadShedder cut_;
  overload::LatencyBaseline usual_;
  overload::Trials trials_;
  overload::ReconnectPacing returns_;
  std::vector<std::string> present_;              // as trials_ knows it
  std::map<std::uint32_t, Listing> members_;      // listed, by the ids of their trials
  std::map<std::string, Turn, std::less<>> out_;  // members that get nothing
  std::vector<std::string> heard_;  // signs since the last bundle, encoded; as the reader of others
  overload::TimePoint started_{};
  overload::Duration behind_{};  // so late was this router's own loop at the last window's end
  std::optional<overload::TimePoint> began_, quiet_;  // the cut that holds; since when it has been 0
  std::uint64_t shed_ = 0, shed_over_ration_ = 0, full_ = 0, signs_ = 0, doubled_ = 0;
  std::uint64_t sent_ = 0, bytes_ = 0, unreached_ = 0, dropped_ = 0, cuts_ = 0;
  std::uint64_t tried_ = 0, passed_ = 0, brought_back_ = 0, held_ = 0, by_word_ = 0;
  Timer tick_;
};

}  // namespace peatbend::net

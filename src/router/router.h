// The stages, wired together in the order that a request passes them, and the life cycle over them. The
// program runs one; tests too.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admin/admin_server.h"
#include "base/clock.h"
#include "base/counters.h"
#include "base/event_handles.h"
#include "base/log.h"
#include "config/config.h"
#include "discovery/discovery_watch.h"
#include "front/listener.h"
#include "handover/predecessor.h"
#include "handover/successor.h"
#include "member/member_connections.h"
#include "peers/peers.h"
#include "router/life_cycle.h"
#include "router/overload_office.h"
#include "router/publication_office.h"
#include "router/ration_office.h"
#include "router/schema_office.h"
#include "router/work_in_hand.h"
#include "stage/balancer_driver.h"

namespace peatbend::net {

class Router : public Operations {
 public:
  // `inherited`: what the process that serves the same address hands on. `door`: where this one waits for the
  // process that follows; empty: nowhere.
  Router(event_base* base, const Config& config, std::optional<handover::Inheritance> inherited = {},
         std::string door = {});

  // Keeps serving what comes, finishes all that was taken, then calls `then`.
  void Stop(std::function<void()> then);
  // Takes the configuration that `load` gives. A faulty one (load throws) changes nothing. Discovery is moved
  // at once; what else differs is logged and holds from the next start.
  void Reload(const std::function<Config()>& load);
  void PrintCounters();
  const Counters& counters() const { return counters_; }
  const MemoryBudget& memory() const { return memory_; }
  const LifeCycle& life() const { return life_; }
  int port() const { return listener_.port(); }
  // That this process may hold now, or holds if that is more.
  std::int64_t descriptors() const;
  int admin_port() const { return admin_ ? admin_->port() : 0; }

  std::string Health() override;
  std::string Leave() override;
  std::string Join() override;
  std::string Figures() override;
  std::string Peers() override;
  std::string Failover() override;

 private:
  std::vector<Log::Count> MemoryFigures() const;
  Duration LongestDeadline() const;
  void Moved();
  // The descriptors and the memory for large values that this process may hold, with its predecessor's part
  // taken off. While it hands over they only fall.
  void Share();
  // While it hands over: the sockets that it may hold at most, with those that open requests may need yet.
  std::int64_t SocketsWhileHandingOver() const;
  handover::Successor::Keeps Keeps() const;
  void TellKeeps();
  handover::Successor::Offer MakeOffer();
  bool HandOn(ClientSession& session);
  void SuccessorReady();
  // `clients` were handed on and did not leave: they are served here again.
  void SuccessorLost(std::vector<handover::ClientHandle> clients);
  void Adopt(handover::ClientHandle client);
  void PredecessorKeeps(std::int64_t keeps, std::int64_t memory);
  // Whether new connections are accepted: neither while it hands over, nor before its room is known.
  bool accepts() const { return room_known_ && life_.state() != LifeCycle::State::kHandingOver; }
  // The process before has told what it keeps, or has not told it in time.
  void RoomKnown();
  void End();
  // All requests have had their time.
  void StopAtLast();
  void EndProgram(std::string_view why);
  void TakeBook(const Config& config);
  // Makes this one of its fleet, where that is configured.
  void MeetPeers();

  event_base* base_;
  Config running_;
  Clock clock_;
  Counters counters_;
  Log log_;
  LifeCycle life_;
  std::string_view told_;  // its name as last logged
  std::int64_t predecessor_keeps_ = 0, predecessor_memory_ = 0;
  bool room_known_;  // the process before has told what it keeps while it hands over, or there is none
  SocketBudget sockets_;
  MemoryBudget memory_, command_memory_;
  MemberConnections connections_;
  BalancerDriver decision_;
  DiscoveryWatch discovery_watch_;
  handover::Successor successor_;
  Listener listener_;
  std::optional<handover::Predecessor> predecessor_;
  std::unique_ptr<AdminServer> admin_;
  std::optional<peers::Peers> peers_;
  std::optional<WorkInHand> work_;
  std::optional<PublicationOffice> publications_;
  std::optional<SchemaOffice> schemas_;
  std::optional<RationOffice> rations_;
  std::optional<OverloadOffice> overload_;
  std::function<void()> then_;
  TimePoint stopped_at_{};  // when the stop was asked for
  bool ended_ = false;
  bool delivers_at_last_ = false;  // stopping: the time of all requests is over
  std::string door_;
  Timer late_clients_over_, stop_at_last_, tell_keeps_, end_, room_late_;
};

}  // namespace peatbend::net

// Accepts clients and owns their sessions.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "base/counters.h"
#include "base/event_handles.h"
#include "base/log.h"
#include "base/socket_budget.h"
#include "front/client_session.h"
#include "stage/balancer_driver.h"

namespace peatbend::net {

class Listener : public SessionHome {
 public:
  // `socket` listens already and becomes the listener's. `hand_on` takes a session that is at rest to the
  // process that follows, and says whether it did; the listener then ends it.
  using HandOn = std::function<bool(ClientSession&)>;
  Listener(event_base* base, int socket, const Doors& doors, HandOn hand_on, BalancerDriver& decision,
           const Settings& settings, const Tuning::Clients& tuning, SocketBudget& sockets,
           std::size_t most_unread, MemoryBudget& memory, MemoryBudget& command_memory, const Clock& clock,
           Log& log, Counters& counters);
  ~Listener() override;

  void End(ClientSession& session) override;
  void Unread(std::size_t before, std::size_t now) override;
  void AtRest(ClientSession& session) override;
  const Doors& doors() const override { return doors_; }
  bool HasRoomForIncomplete(std::size_t bytes) const override;
  void WaitForRoom(ClientSession& session) override;
  void StopWaiting(ClientSession& session) override;
  MemoryBudget& memory() override { return memory_; }
  MemoryBudget& command_memory() override { return command_memory_; }
  Duration TimeToAnswer() const override;
  // Whether connections are taken; the socket stays open either way.
  void Accept(bool yes);
  // Ends or hands on what is at rest, as the doors say now.
  void EndWhatRests();
  // A connection that the process before took.
  void Adopt(evutil_socket_t socket, std::string_view begun, Duration begun_ago, bool asked);
  // -1 once it accepts no more.
  int socket() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
  // The process ends soon: while connections close, commands are read until `read_until`, and what is taken
  // has time until `answer_by` at most.
  void EndSoon(TimePoint read_until, TimePoint answer_by);
  // All requests have had their time: ends all sessions but those that still deliver answers. Each call ends
  // those that have had the time for that.
  struct Deliveries {
    std::size_t open = 0, cut = 0;  // sessions
  };
  Deliveries EndAllButDeliveries();
  // Takes what waits in the accept queue, accepts no more, and calls `then` once the last session has ended.
  void Stop(std::function<void()> then);
  int port() const;
  std::size_t sessions() const { return sessions_.size(); }

 private:
  void TakeNewcomer(evutil_socket_t socket);
  ClientSession& Accepted(evutil_socket_t socket);
  void EndIfOver(ClientSession& session, TimePoint now);
  void Pause(Duration pause);  // accepts no more until then; at least for the rest of this turn of the loop
  void EmptyAcceptQueue();
  bool MakeRoom();
  bool CloseHeld();
  void CloseForRoom(ClientSession& session, std::string_view reason);
  void NoRoom();
  bool ShutsNewcomers() const;
  void GrantRoom();
  bool TurnAwayStalled(TimePoint now);
  void RefuseWaiting(std::size_t most);
  void Sweep();

  event_base* base_;
  const Doors& doors_;
  HandOn hand_on_;
  bool accepting_ = true;
  TimePoint closing_since_ = TimePoint::max();  // the doors have said kCloses since
  TimePoint read_until_ = TimePoint::max(), answer_by_ = TimePoint::max();
  BalancerDriver& decision_;
  const Settings& settings_;
  const Tuning::Clients& tuning_;
  SocketBudget& sockets_;
  std::size_t unread_ = 0, most_unread_;  // bytes of commands that are not whole, of all sessions
  MemoryBudget& memory_;
  MemoryBudget& command_memory_;
  std::list<ClientSession*> waiting_;  // for memory, the first first
  std::size_t closed_in_turn_ = 0;
  bool closes_newcomer_ = false;  // there was no room for it for too long
  // A new connection found no room: for the first time in this crowd, and last.
  TimePoint no_room_since_{}, no_room_at_{};
  const Clock& clock_;
  Log& log_;
  Counters& counters_;
  std::list<std::unique_ptr<ClientSession>> sessions_;  // the last accepted last
  std::function<void()> then_;
  Timer stopped_, accept_again_, sweep_, grant_;
  ListenerPtr listener_;
};

}  // namespace peatbend::net

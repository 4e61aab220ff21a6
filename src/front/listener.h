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
#include "stage/decision.h"

namespace peatbend::net {

class Listener : public SessionHome {
 public:
  Listener(event_base* base, const std::string& address, Decision& decision, const Settings& settings,
           const Tuning::Clients& tuning, SocketBudget& sockets, std::size_t most_unread, const Clock& clock,
           Log& log, Counters& counters);
  ~Listener() override;

  void End(ClientSession& session) override;
  void Unread(std::size_t before, std::size_t now) override;
  // Accepts no more, ends each session once nothing is owed on it, then calls `then`.
  void Stop(std::function<void()> then);
  int port() const;
  std::size_t sessions() const { return sessions_.size(); }

 private:
  void Accepted(evutil_socket_t socket);
  bool MakeRoom();
  void Sweep();

  event_base* base_;
  Decision& decision_;
  const Settings& settings_;
  const Tuning::Clients& tuning_;
  SocketBudget& sockets_;
  std::size_t unread_ = 0, most_unread_;  // bytes of commands that are not whole, of all sessions
  const Clock& clock_;
  Log& log_;
  Counters& counters_;
  std::list<std::unique_ptr<ClientSession>> sessions_;  // the last accepted last
  std::function<void()> then_;
  Timer stopped_, accept_again_, sweep_;
  ListenerPtr listener_;
};

}  // namespace peatbend::net

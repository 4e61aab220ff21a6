// Accepts clients and owns their sessions.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/client_session.h"
#include "net/counters.h"
#include "net/decision.h"
#include "net/event_handles.h"
#include "net/log.h"
#include "net/member_connections.h"

namespace peatbend::net {

class Listener {
 public:
  Listener(event_base* base, const std::string& address, Decision& decision, const Settings& settings,
           SocketBudget& sockets, std::size_t most_unread, const Clock& clock, Log& log, Counters& counters);
  ~Listener();

  void End(ClientSession& session);
  // A session holds so many bytes of a command that is not whole, after so many before.
  void Unread(std::size_t before, std::size_t now);
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

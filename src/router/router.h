// The stages, wired together in the order that a request passes them. The program runs one; tests too.
#pragma once

#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_handles.h"
#include "base/log.h"
#include "config/config.h"
#include "front/listener.h"
#include "member/member_connections.h"
#include "pool/pool.h"
#include "stage/decision.h"

namespace peatbend::net {

class Router {
 public:
  Router(event_base* base, const Config& config);

  // Keeps serving what comes, finishes all that was taken, then calls `then`.
  void Stop(std::function<void()> then);
  // Takes the configuration that `load` gives. A faulty one (load throws) changes nothing. Discovery is moved
  // at once; what else differs is logged and holds from the next start.
  void Reload(const std::function<Config()>& load);
  void PrintCounters() { log_.Counts("counters", Describe(counters_)); }
  const Counters& counters() const { return counters_; }
  int port() const { return listener_.port(); }

 private:
  Duration LongestDeadline() const;

  Config running_;
  Clock clock_;
  Counters counters_;
  Log log_;
  SocketBudget sockets_;
  MemberConnections connections_;
  Decision decision_;
  Pool pool_;
  Listener listener_;
  std::function<void()> then_;
  bool stopping_ = false;
  Timer stop_listening_, stop_at_last_;
};

}  // namespace peatbend::net

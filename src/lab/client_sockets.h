// The clients' connections to routers: kept, opened when all are busy, one request at a time on each. They
// read answers by a reader of their own, and note whatever comes beyond what was asked for.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/crowd.h"
#include "standin/pulse.h"

namespace peatbend::lab {

class ClientSockets : public Carrier {
 public:
  ClientSockets(standin::Pulse& pulse, const Scenario& scenario, const Plan& plan, Referee& referee);
  ~ClientSockets() override;
  void Attach(Crowd& crowd) { crowd_ = &crowd; }
  void RouterAt(int router, const std::string& address);

  void Send(const Try& one) override;

  // Strangers, who are nobody's clients.
  void Let(const Strangers& strangers);

 private:
  class Connection;
  class Stranger;
  struct Router {
    std::string address;
    std::list<std::shared_ptr<Connection>> all;
    std::map<int, std::vector<Connection*>> idle;  // by client; the last used last
  };
  std::shared_ptr<Connection> Open(int router, int client);
  // Once more, on a new connection.
  void Resend(const Try& one, const std::string& text);
  void End(Connection& connection);

  standin::Pulse& pulse_;
  const Scenario& scenario_;
  const Plan& plan_;
  Referee& referee_;
  Crowd* crowd_ = nullptr;
  std::vector<Router> routers_;
  std::list<std::unique_ptr<Stranger>> strangers_;
};

}  // namespace peatbend::lab

// The router processes of a day on sockets, from start to end: configured, started, awaited, signalled as the
// scenario says, and reaped; the referee and the crowd are told of it. One owner, on the loop's thread.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_handles.h"
#include "lab/crowd.h"
#include "lab/socket_run.h"
#include "processes/router_process.h"
#include "standin/discovery_standin.h"
#include "standin/pulse.h"

namespace peatbend::lab {

class RouterLives {
 public:
  struct Day {  // what outlives this
    const Scenario& scenario;
    std::uint64_t seed;
    const SocketOptions& options;
    standin::Pulse& pulse;
    Referee& referee;
    Crowd& crowd;
    const standin::DiscoveryStandin& discovery;
  };
  explicit RouterLives(const Day& day);
  ~RouterLives();  // ends what still runs

  // Puts the scenario's router events down in the agenda.
  void Plan();
  // One more router, which is number size(): its own file, and the address that it listens on.
  void Add(const std::string& own_config, const std::string& address);
  // Starts each, and returns when all have answered PING. Throws std::runtime_error with what went wrong.
  void StartAll();
  // Tells each of what discovery and the scenario say now.
  void Reload();
  // Looks at what they use; from StartAll on also by itself, twice a second.
  void Sample();
  void PrintCounters();  // each into its log

  std::size_t size() const { return routers_.size(); }
  processes::RouterProcess::Usage Used(std::size_t router) const { return routers_[router]->Used(); }
  // The operators' address that each router was last given.
  const std::map<int, std::string>& admins() const { return admins_; }

 private:
  // A router that was started and has not answered PING yet.
  struct Awaited {
    net::BuffereventPtr socket;
    bool day = false;   // started again in the day
    pid_t before = -1;  // started beside this process, which ends when it has said yes
    Span keeps{};       // and so much time has gone
  };
  // A process whose successor has started.
  struct Retiring {
    int router;
    pid_t pid;
    bool told = false;
  };
  struct Life {
    bool expected = false;  // its end is the day's doing
    bool planned = false;   // SIGTERM: it must end with 0
    Span back{};
  };

  void Configure(int r, bool starts);
  void PlanEvent(const RouterEvent& event);
  void Stall(std::size_t r, Span lasts);
  void Upgrade(std::size_t r, Span keeps);
  void EndRetiring(pid_t pid);
  void ReapRetiring();
  void Reap();
  void Await(std::size_t r);
  void Probe();

  const Day day_;
  std::vector<Life> lives_;
  std::map<int, Awaited> waiting_;
  std::map<int, std::string> admins_;
  std::vector<Retiring> retiring_;
  std::string problem_;
  std::vector<std::unique_ptr<processes::RouterProcess>> routers_;
  net::Signal on_child_;
  net::Timer probe_, sample_;
};

}  // namespace peatbend::lab

// Clients of several routers that ask at a steady mean rate, whatever the answers take. A request's key
// begins with its client's number; one that is told to come back does so once that time has gone. All on the
// thread that runs them.
#pragma once

#include <chrono>
#include <cstdint>
#include <list>
#include <queue>
#include <string>
#include <vector>

#include "base/event_handles.h"
#include "lab/tally.h"
#include "world/random.h"

namespace peatbend::lab {

class PacedClients {
 public:
  // `in_turn`: one client after another, else drawn; the routers are drawn.
  PacedClients(std::vector<std::string> routers, int clients, std::uint64_t seed, bool in_turn = false);
  // Characters of a key that are its client's number.
  static constexpr int kGroup = 6;

  struct Figures {
    std::uint64_t asked = 0, served = 0, came_back = 0;  // requests; requests; further tries
    std::uint64_t wrong = 0;                             // other answers, broken or missing connections
    Latencies times;                                     // of tries that were served
  };
  // So many requests a second in all, for so long; and until all are served, for 3 s more at the most.
  Figures Run(double per_second, double seconds);

 private:
  using Clock = std::chrono::steady_clock;
  struct Ask {
    std::size_t router = 0;
    int client = 0;
    Clock::time_point due;
    bool operator<(const Ask& other) const { return due > other.due; }  // the first is the top
  };
  struct Line {  // a connection, with one request at a time
    PacedClients* home;
    Ask ask;
    std::string key;
    Clock::time_point sent;
    net::BuffereventPtr socket;
  };
  void Turn();
  void Send(const Ask& ask);
  Line* Open(std::size_t router);
  void Read(Line& line);
  void End(Line& line);

  net::EventBasePtr base_;
  std::vector<std::string> routers_;
  std::vector<std::vector<Line*>> idle_;
  std::list<Line> lines_;
  std::priority_queue<Ask> again_;
  int clients_;
  bool in_turn_;
  world::Random random_;
  std::uint64_t ids_ = 0;
  double mean_ = 1;  // s between two requests
  Clock::time_point next_, until_;
  Figures figures_;
  std::uint64_t out_ = 0;  // sent and not answered
  LatencyHistogram times_;
  net::Timer turn_;
};

}  // namespace peatbend::lab

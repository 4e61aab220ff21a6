// What carries the links: a loop on a thread of its own for the relays of some of the nodes, and what all of
// them share. Of src/links alone.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/event_handles.h"
#include "links/links.h"
#include "world/random.h"

namespace peatbend::links {

using Clock = std::chrono::steady_clock;

// HOST:PORT, IPv4, and its size for the system's calls.
std::pair<sockaddr_in, socklen_t> Parse(const std::string& address);

struct Links::Shared {
  std::vector<Node> nodes;
  std::map<std::uint32_t, std::size_t> by_host;  // IPv4 host, of the process: the node
  mutable std::mutex mutex;
  std::vector<std::vector<Faults>> faults;  // [from][to]
  Counts counts;

  Faults Between(std::size_t from, std::size_t to) const {
    std::lock_guard lock(mutex);
    return faults[from][to];
  }
  void Count(std::uint64_t Counts::*what) {
    std::lock_guard lock(mutex);
    ++(counts.*what);
  }
  void Late(Span late) {
    std::lock_guard lock(mutex);
    counts.worst_late = std::max(counts.worst_late, late);
  }
};

class Links::Worker {
 public:
  // Opens the relays of these nodes; throws std::runtime_error where it cannot.
  Worker(std::shared_ptr<Shared> shared, std::vector<std::size_t> nodes, std::uint64_t seed);
  ~Worker();
  void Run();
  // From any thread: what is to happen on the worker's own; and the end of the streams between two nodes.
  void Do(std::function<void()> what);
  void Reset(std::size_t a, std::size_t b);

 private:
  struct Door {
    Worker* home = nullptr;
    std::size_t node = 0;
    int datagrams = -1, listener = -1;
    net::EventPtr readable, acceptable;
  };
  struct Stream;
  struct Side {
    Stream* stream = nullptr;
    net::BuffereventPtr socket;
    Clock::time_point last_due{};
    std::size_t on_the_way = 0;  // pieces read here and not yet passed on
    bool ended = false;
  };
  struct Stream {
    Worker* home = nullptr;
    std::list<std::shared_ptr<Stream>>::iterator self;
    std::size_t from = 0, to = 0;
    Side client, server;
    bool closed = false;
  };
  struct Later {
    Clock::time_point due;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Later& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };
  struct Datagram {
    std::size_t from = 0, to = 0;
    std::string bytes;
  };

  // worker.cpp
  void Open(std::size_t node);
  void Woken();
  void At(Clock::time_point due, std::function<void()> what);
  void Due();
  Span Wait(const Faults& faults, std::size_t bytes);
  void ReadDatagrams(Door& door);
  void Pass(Datagram one, int by);
  void Deliver(const Datagram& one, int by);
  void LookAtHeld();

  // streams.cpp
  void Accept(Door& door);
  void Carry(std::shared_ptr<Stream> stream, Side& side);
  void CloseOnce(const std::shared_ptr<Stream>& stream, Side&, Side& other);
  void Close(Stream& stream);

  std::shared_ptr<Shared> shared_;
  world::Random random_;
  net::EventBasePtr base_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::list<std::shared_ptr<Stream>> streams_;
  std::vector<std::pair<Datagram, int>> kept_;
  std::priority_queue<Later> later_;
  std::uint64_t order_ = 0;
  net::Timer timer_, held_;
  int wake_ = -1;
  net::EventPtr on_wake_;
  std::mutex mutex_;
  std::vector<std::function<void()>> todo_;
  std::thread thread_;
};

}  // namespace peatbend::links

// The deterministic twin: the peers code of many routers on simulated links and clocks. The same seed gives
// the same run, message for message. One thread; nothing here reads a clock.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peers/membership.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::twin {

using peers::Duration;
using peers::TimePoint;

struct Links {
  double loss = 0, duplicate = 0;  // shares of datagrams, each way
  Duration delay = std::chrono::microseconds{500},
           spread = std::chrono::milliseconds{2};  // one way; the spread reorders
};

struct Setup {
  std::size_t nodes = 5;
  std::size_t seeds = 3;  // every node is given the first so many as seeds
  peers::Options options;
  Links links;
  std::uint64_t seed = 1;
  bool reuse_lives = false;  // mutant: a process that is started again takes the life of the one before
  bool count_bytes = false;  // encode what is sent, to see its size
};

// What went wrong, as a rule's name and a text.
struct Broken {
  std::string rule, text;
};

class Fleet {
 public:
  explicit Fleet(Setup setup);

  world::Agenda& agenda() { return agenda_; }
  world::Random& random() { return random_; }
  TimePoint now() const { return agenda_.now(); }
  std::size_t size() const { return nodes_.size(); }

  // Faults. Each notes that the node (or pair) was disturbed, so that a death then is no false one.
  void Start(std::size_t node);
  void Kill(std::size_t node);
  void Leave(std::size_t node);
  void Stall(std::size_t node, Duration span);
  void Cut(std::size_t from, std::size_t to, bool cut);  // one way
  // Uses the name of another node; both live.
  void Name(std::size_t node, std::string name) { nodes_[node].name = std::move(name); }
  void Seeds(std::size_t node, std::vector<std::string> seeds) { nodes_[node].seeds = std::move(seeds); }
  static std::string Address(std::size_t node);

  bool up(std::size_t node) const { return nodes_[node].process != nullptr; }
  const peers::Membership& at(std::size_t node) const { return *nodes_[node].process; }
  // Every member that is up holds just the members that are up for present, each under its present life.
  bool Quiet() const;  // nobody has news yet to be told
  bool Agreed() const;
  std::string Difference() const;  // the first, as a text

  struct Traffic {
    std::uint64_t datagrams = 0, streams = 0, bytes = 0;
  };
  const Traffic& traffic() const { return traffic_; }
  // (name, life) that was taken for dead though its process lived and nothing had disturbed it.
  const std::set<std::string>& false_deaths() const { return false_deaths_; }
  const std::vector<Broken>& broken() const { return broken_; }
  // When each observer held `node`'s last life for gone, after its Kill; in the order of hearing.
  const std::vector<Duration>& noticed() const { return noticed_; }
  // A line for each message, change and line of the log.
  void Trace(std::function<void(const std::string&)> trace) { trace_ = std::move(trace); }

 private:
  struct Node {
    std::string name;
    std::vector<std::string> seeds;
    std::unique_ptr<peers::Membership> process;
    std::uint64_t starts = 0, life = 0;
    TimePoint stalled_until{}, disturbed_until{}, killed_at{-1}, due{-1};
    std::vector<std::function<void()>> waiting;  // what comes while it stands still
    std::set<std::pair<std::string, std::uint64_t>> ended;
  };
  void Send(std::size_t from, std::vector<peers::Outgoing> out);
  void Deliver(std::size_t from, std::size_t to, std::shared_ptr<const peers::Message> message,
               peers::Transport transport);
  void Arrive(std::size_t from, std::size_t to, const peers::Message& message, peers::Transport transport);
  void Schedule(std::size_t node);
  void Step(std::size_t node);
  void Heard(std::size_t node, const peers::Record* before, const peers::Record& now);
  void Disturb(std::size_t node, TimePoint until);
  std::size_t NodeAt(const std::string& address) const;
  Duration Way();
  void Note(const std::string& text) {
    if (trace_) trace_(text);
  }

  Setup setup_;
  world::Agenda agenda_{std::chrono::seconds{1}};
  world::Random random_, links_;
  std::vector<Node> nodes_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  Traffic traffic_;
  std::set<std::string> false_deaths_;
  std::vector<Broken> broken_;
  std::vector<Duration> noticed_;
  std::function<void(const std::string&)> trace_;
};

}  // namespace peatbend::twin

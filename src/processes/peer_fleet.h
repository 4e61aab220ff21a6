// Many processes of the real program that are one fleet, with links between them that fail. Faults are
// signals and what the links do; what the processes believe is asked at their operators' addresses.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "links/links.h"
#include "processes/peer_view.h"
#include "processes/router_process.h"

namespace peatbend::processes {

class PeerFleet {
 public:
  // `program`: the router. `folder`: for configurations and logs. `number`: fleets of one process that stand
  // at once have numbers of their own.
  PeerFleet(std::string program, std::string folder, std::size_t size, std::uint64_t seed,
            const std::string& more_peers_keys = "", int number = 0);
  ~PeerFleet();

  std::size_t size() const { return routers_.size(); }
  links::Links& links() { return *links_; }
  static std::string NameOf(std::size_t node) { return "r" + std::to_string(node); }

  void Start(std::size_t node);
  void Kill(std::size_t node);  // SIGKILL, and reaped
  void Stop(std::size_t node);  // SIGTERM, and reaped; its exit status must be 0
  void Stall(std::size_t node, bool on);
  // Cuts, or mends, both ways between each of the one and each of the other.
  void Split(const std::vector<std::size_t>& one, const std::vector<std::size_t>& other, bool cut);
  bool up(std::size_t node) const { return up_[node]; }
  // Its folder holds router.toml, config.json and log.txt.
  RouterProcess& process(std::size_t node) { return *routers_[node]; }
  // Where its operators ask.
  std::string Admin(std::size_t node) const { return Host(1, node) + ":7401"; }

  // Nothing where it does not answer.
  std::optional<View> Ask(std::size_t node) const;
  // Whether all that are up and not stalled are members that hold just each other for present, each in its
  // present life; else how they differ.
  std::string Difference() const;
  // Until there is none, for `within` at most; how long that took, or nothing.
  std::optional<double> Agree(std::chrono::milliseconds within);
  // Processes that ended by themselves.
  std::vector<std::string> Crashed() const;
  // The processes' use so far.
  RouterProcess::Usage Used(std::size_t node) { return routers_[node]->Sample(), routers_[node]->Used(); }

 private:
  std::string Host(int block, std::size_t node) const;

  int lane_;  // tests of one machine keep to hosts of their own
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::vector<bool> up_, stalled_;
  std::unique_ptr<links::Links> links_;
};

}  // namespace peatbend::processes

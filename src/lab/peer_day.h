// What a day on sockets needs where its routers see each other: links that fail between them, each router's
// own file, and the question at the end whether their views agree.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/scenario.h"
#include "links/links.h"
#include "world/agenda.h"

namespace peatbend::lab {

// The text of [rations] in a router's own file; empty on a day without. `book`: where the book stands.
// What its file says of schemas: its own folder of them, and where its seat keeps the register.
std::string PublicationsFor(const Scenario& scenario, const std::string& schemas, const std::string& folder);
std::string RationsFor(const Scenario& scenario, const std::string& book);

class PeerDay {
 public:
  // `hosts`: a loopback host for each router, that nothing else uses; `relays`: another, for its relay.
  PeerDay(world::Agenda& agenda, const Scenario& scenario, const std::vector<std::string>& hosts,
          const std::vector<std::string>& relays, std::uint64_t seed);

  // The text of a router's own file: what `base` says (a TOML file's path, or nothing), and [peers].
  std::string FileFor(int router, const std::string& base) const;
  // How the views of the routers at these operators' addresses differ; empty: they agree. Asks until they do
  // or 5 s are over, and blocks for it.
  static std::string Difference(const std::map<int, std::string>& admins);
  double worst_late_ms() const { return static_cast<double>(links_->counts().worst_late.count()) / 1e6; }

 private:
  void Plan(world::Agenda& agenda, const LinkEvent& event);
  const Scenario& scenario_;
  std::vector<std::string> hosts_;
  std::unique_ptr<links::Links> links_;
};

}  // namespace peatbend::lab

#include "lab/peer_day.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "processes/peer_view.h"

namespace peatbend::lab {
namespace {

using namespace std::chrono_literals;

constexpr int kPort = 7300;
constexpr std::size_t kSeeds = 3;

// NAME/ZONE of these routers, as a list's items.
std::string SeatsOf(const Scenario& scenario, const std::vector<int>& routers) {
  std::string text;
  for (int router : routers)
    text +=
        fmt::format("{}\"n{}/{}\"", text.empty() ? "" : ", ", router, ZoneName(RouterZone(scenario, router)));
  return text;
}

}  // namespace

std::string RationsFor(const Scenario& scenario, const std::string& book) {
  if (scenario.rations.play != RationDay::Play::kOn) return {};
  return fmt::format("[rations]\nbook = \"{}\"\nseats = [{}]\n", std::filesystem::absolute(book).string(),
                     SeatsOf(scenario, scenario.rations.seats));
}

std::string PublicationsFor(const Scenario& scenario, const std::string& schemas, const std::string& folder) {
  const PublishDay& p = scenario.publish;
  if (!p.on) return {};
  auto names = [](const std::vector<int>& numbers, auto&& name) {
    std::string text;
    for (int one : numbers)
      text += fmt::format("{}\"{}\"", text.empty() ? "" : ", ", name(static_cast<std::size_t>(one)));
    return text;
  };
  std::string tenants =
      p.tenants.empty() ? "" : fmt::format("franchisees = [{}]\n", names(p.tenants, [&](std::size_t i) {
                                             return scenario.tenants[i].name;
                                           }));
  return fmt::format(
      "[publications]\nseats = [{}]\nfolder = \"{}\"\nfound = true\n[[publications.subjects]]\nname = "
      "\"payload\"\n"
      "classes = [{}]\n{}version = \"pv\"\nreader = \"rd\"\nreads = \"rv\"\nschemas = \"{}\"\n",
      SeatsOf(scenario, p.seats), std::filesystem::absolute(folder).string(),
      names(p.classes, [&](std::size_t i) { return scenario.classes[i].rules.name; }), tenants,
      std::filesystem::absolute(schemas).string());
}

PeerDay::PeerDay(world::Agenda& agenda, const Scenario& scenario, const std::vector<std::string>& hosts,
                 const std::vector<std::string>& relays, std::uint64_t seed)
    : scenario_(scenario), hosts_(hosts) {
  std::vector<links::Links::Node> nodes;
  for (std::size_t i = 0; i < hosts.size(); ++i)
    nodes.push_back({fmt::format("{}:{}", hosts[i], kPort), fmt::format("{}:{}", relays[i], kPort)});
  links_ = std::make_unique<links::Links>(std::move(nodes), seed);
  for (const LinkEvent& event : scenario.link_events) Plan(agenda, event);
}

void PeerDay::Plan(world::Agenda& agenda, const LinkEvent& event) {
  using enum LinkEvent::What;
  links::Faults faults;
  if (event.what == kCut || event.what == kOneWay || event.what == kSplit) faults.cut = true;
  if (event.what == kHold) faults.hold = true;
  if (event.what == kLoss) faults.loss = event.share;
  if (event.what == kDelay) {
    faults.delay = event.each;
    faults.spread = event.each / 2;
  }
  auto set = [this, event](const links::Faults& now) {
    for (int a : event.from) {
      for (int b : event.to) {
        if (a == b) continue;
        links_->Set(static_cast<std::size_t>(a), static_cast<std::size_t>(b), now);
        if (event.what != kOneWay) links_->Set(static_cast<std::size_t>(b), static_cast<std::size_t>(a), now);
      }
    }
  };
  agenda.At(event.at, [set, faults] { set(faults); });
  agenda.At(event.at + event.lasts, [set] { set({}); });
}

std::string PeerDay::FileFor(int router, const std::string& base) const {
  std::string text;
  if (!base.empty()) {
    std::ifstream file(base);
    std::stringstream whole;
    if (!file || !(whole << file.rdbuf())) throw std::runtime_error("cannot read " + base);
    text = whole.str() + "\n";
    if (text.find("\n[peers]") != std::string::npos || text.starts_with("[peers]"))
      throw std::runtime_error(base + ": [peers] is the scenario's to set on this day");
  }
  std::string seeds;
  for (std::size_t i = 0; i < std::min(kSeeds, hosts_.size()); ++i)
    seeds += fmt::format("{}\"{}\"", i > 0 ? ", " : "", links_->Shown(i));
  auto at = static_cast<std::size_t>(router);
  if (scenario_.failover) {
    std::vector<int> all(hosts_.size());
    std::iota(all.begin(), all.end(), 0);
    text += fmt::format("[failover]\nreplicas = [{}]\nno_quorum = \"{}\"\nretain_ms = {:.0f}\n",
                        SeatsOf(scenario_, all), scenario_.no_quorum, scenario_.retain_ms);
  }
  if (scenario_.overload) {
    std::vector<int> first(std::min<std::size_t>(5, hosts_.size()));
    std::iota(first.begin(), first.end(), 0);
    text += fmt::format("[overload]\non = true\nseats = [{}]\n", SeatsOf(scenario_, first));
    if (scenario_.dials_per_second > 0)
      text += fmt::format("dials_per_second = {}\n", scenario_.dials_per_second);
  }
  return text +
         fmt::format("[peers]\nfleet = \"day\"\nlisten = \"{}:{}\"\nadvertise = \"{}\"\nseeds = [{}]\n",
                     hosts_[at], kPort, links_->Shown(at), seeds);
}

std::string PeerDay::Difference(const std::map<int, std::string>& admins) {
  std::vector<std::string> addresses;
  for (const auto& [router, admin] : admins) addresses.push_back(admin);
  std::string difference = processes::DifferenceAmong(addresses);
  for (auto until = std::chrono::steady_clock::now() + 5s;
       !difference.empty() && std::chrono::steady_clock::now() < until;) {
    std::this_thread::sleep_for(50ms);
    difference = processes::DifferenceAmong(addresses);
  }
  return difference;
}

}  // namespace peatbend::lab

// What befalls the fleet, the routers and the links between them: [[event]].
#include <fmt/format.h>

#include "lab/scenario_reading.h"

namespace peatbend::lab {

using world::FleetEvent;
using world::FromSeconds;

void ScenarioReading::Event(const toml::table* table) {
  using What = FleetEvent::What;
  const std::pair<const char*, What> fleet[] = {{"hang", What::kHang},
                                                {"pause", What::kPause},
                                                {"zone-dies", What::kZoneDies},
                                                {"zone-cut", What::kZoneCut},
                                                {"restart", What::kRestart},
                                                {"replace", What::kReplace},
                                                {"drain", What::kDrain},
                                                {"spoil", What::kSpoil},
                                                {"reset", What::kReset},
                                                {"stale", What::kStale},
                                                {"origin-stall", What::kOriginStall},
                                                {"discovery-down", What::kDiscoveryDown},
                                                {"discovery-move", What::kDiscoveryMove},
                                                {"add", What::kAdd}};
  const std::pair<const char*, RouterEvent::What> routers[] = {
      {"router-term", RouterEvent::What::kTerm},    {"router-kill", RouterEvent::What::kKill},
      {"router-hup", RouterEvent::What::kHup},      {"router-upgrade", RouterEvent::What::kUpgrade},
      {"router-restart", RouterEvent::What::kKill}, {"router-stall", RouterEvent::What::kStall}};
  const std::pair<const char*, LinkEvent::What> links[] = {
      {"link-cut", LinkEvent::What::kCut},   {"link-one-way", LinkEvent::What::kOneWay},
      {"link-loss", LinkEvent::What::kLoss}, {"link-delay", LinkEvent::What::kDelay},
      {"link-hold", LinkEvent::What::kHold}, {"zone-split", LinkEvent::What::kSplit}};
  std::vector<std::string> words{"strangers"};
  for (const auto& [word, what] : fleet) words.emplace_back(word);
  for (const auto& [word, what] : routers) words.emplace_back(word);
  for (const auto& [word, what] : links) words.emplace_back(word);
  words.emplace_back("storm");
  ScenarioTable t(table, "event", file, faults);
  std::string what;
  Time at{};
  Span lasts = FromSeconds(5);
  t.Word("what", what, words);
  t.Sec("at_s", at, 0, 86400);
  t.Sec("for_s", lasts, 0.01, 86400);
  if (what.empty()) return t.Fault(nullptr, "what", "missing");
  if (at >= scenario.lasts) t.Fault(nullptr, "at_s", "after the day's end");
  if (what == "strangers") {
    Strangers read;
    read.at = at, read.lasts = lasts;
    t.Number("connections", read.connections, 1, 100000);
    t.Number("per_second", read.per_second, 1, 1e6);
    t.Word("habit", read.habit, {"ping", "silent", "garbage"});
    scenario.strangers.push_back(read);
    return Mark(at, fmt::format("{} strangers", read.connections));
  }
  if (what == "storm") return StormEvent(t, {at, lasts, FromSeconds(2), FromSeconds(1.5), {}, false});
  for (const auto& [word, kind] : routers) {
    if (what != word) continue;
    bool at_once = what == "router-restart";
    RouterEvent read{kind, at, FromSeconds(at_once ? 0.01 : 1), FromSeconds(2), {}};
    t.Places("routers", read.routers, scenario.routers);
    t.Sec("back_s", read.back, 0.01, 600);
    t.Sec("every_s", read.every, 0, 600);
    if (read.routers.empty()) t.Fault(nullptr, "routers", "missing");
    scenario.router_events.push_back(read);
    return Mark(at, what);
  }
  for (const auto& [word, kind] : links) {
    if (what == word) return Link(t, what, {kind, at, lasts, {}, {}});
  }
  FleetEvent read;
  for (const auto& [word, kind] : fleet) {
    if (what == word) read.what = kind;
  }
  read.at = at, read.lasts = lasts;
  std::string zone;
  t.Places("members", read.members, scenario.fleet.members + scenario.fleet.spare);
  t.Word("zone", zone);
  t.Number("share", read.share, 0, 1);
  t.Ms("each_ms", read.each, 1, 60000);
  t.Sec("every_s", read.every, 0.01, 600);
  if (!zone.empty()) {
    read.zone = zone.size() == 1 ? zone[0] - 'a' : -1;
    if (read.zone < 0 || read.zone >= scenario.fleet.zones) t.Fault(nullptr, "zone", "no such zone");
  }
  using enum What;
  bool by_zone = read.what == kZoneDies || read.what == kZoneCut;
  bool alone = read.what == kOriginStall || read.what == kDiscoveryDown || read.what == kDiscoveryMove;
  if (by_zone && read.zone < 0) t.Fault(nullptr, "zone", "missing");
  if (!by_zone && !alone && read.members.empty()) t.Fault(nullptr, "members", "missing");
  scenario.troubles.push_back(read);
  Mark(at, what + (zone.empty() ? "" : " " + zone));
  bool ends = what != "restart" && what != "replace" && what != "add" && what != "discovery-move";
  if (ends && at + lasts < scenario.lasts) Mark(at + lasts, what + " ends");
}

void ScenarioReading::Link(ScenarioTable& t, const std::string& what, LinkEvent read) {
  if (!scenario.peers) t.Fault(nullptr, "what", what + ": needs on = true in [peers]");
  t.Number("share", read.share, 0, 1);
  t.Ms("each_ms", read.each, 0, 60000);
  if (read.what == LinkEvent::What::kSplit) {
    std::string zone;
    t.Word("zone", zone);
    int split = zone.size() == 1 ? zone[0] - 'a' : -1;
    if (split < 0 || split >= scenario.fleet.zones) t.Fault(nullptr, "zone", "no such zone");
    for (int r = 0; r < scenario.routers; ++r)
      (RouterZone(scenario, r) == split ? read.from : read.to).push_back(r);
  } else {
    t.Places("from", read.from, scenario.routers);
    t.Places("to", read.to, scenario.routers);
    if (read.from.empty() || read.to.empty()) t.Fault(nullptr, read.from.empty() ? "from" : "to", "missing");
  }
  scenario.link_events.push_back(read);
  Mark(read.at, what);
  if (read.at + read.lasts < scenario.lasts) Mark(read.at + read.lasts, what + " ends");
}

}  // namespace peatbend::lab

#include "lab/scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "lab/scenario_reading.h"

namespace peatbend::lab {

using world::FromMs;
using world::FromSeconds;

void ScenarioReading::Load(const toml::table* table) {
  ScenarioTable t(table, "load", file, faults);
  Scenario& s = scenario;
  t.Number("rate", s.rate, 1, 100000);
  t.Number("keys", s.keys, 1, 10000000);
  t.Number("zipf", s.zipf, 0, 3);
  t.Number("drift_per_s", s.drift_per_s, 0, 1);
  t.Number("value_bytes", s.value_bytes, 64, 65536);
  t.Number("retries", s.retries, 0, 10);
  t.Number("retry_wait_ms", s.retry_wait_ms, 0, 10000);
  t.Number("obeys_share", s.obeys_share, 0, 1);
  t.Number("gives_up_share", s.gives_up_share, 0.05, 1);
  t.Number("front_notices_s", s.front_notices_s, 0, 60);
  t.Number("clients", s.clients, 0, 50000);
  t.Number("client_zipf", s.client_zipf, 0, 3);
  t.Number("routers_skew", s.routers_skew, 0, 3);
  t.Numbers("router_weights", s.router_weights, 0, 1000);
  if (!s.router_weights.empty() &&
      (static_cast<int>(s.router_weights.size()) != s.routers ||
       std::ranges::all_of(s.router_weights, [](double weight) { return weight == 0; })))
    t.Fault(nullptr, "router_weights", fmt::format("{} of them expected, not all 0", s.routers));
  for (const toml::table* step : t.Children("step")) {
    ScenarioTable one(step, "load.step", file, faults);
    Step read;
    one.Sec("at_s", read.at, 0, 86400);
    one.Number("factor", read.factor, 0, 100);
    s.steps.push_back(read);
    Mark(read.at, fmt::format("load x{:g}", read.factor));
  }
}

void ScenarioReading::Class(const toml::table* table) {
  ScenarioTable t(table, "class", file, faults);
  ClassOfRequests read;
  read.rules.worth = 1;
  std::string effect = "read_like", group = "all";
  Span aim = FromMs(600), deadline = FromSeconds(2), window{};
  t.Word("name", read.rules.name);
  t.Number("share", read.share, 0, 1000);
  t.Range("work_ms", read.work_least_ms, read.work_most_ms, 0.01, 10000);
  t.Ms("aim_ms", aim, 1, 600000);
  t.Ms("deadline_ms", deadline, 1, 600000);
  t.Number("worth", read.rules.worth, 0, 1000);
  t.Number("late_share", read.rules.late_share, 0, 1);
  t.Word("effect", effect, {"read_like", "idempotency_key", "non_idempotent"});
  t.Word("group", group, {"all", "zone", "cell"});
  t.Ms("window_ms", window, 0, 600000);
  t.Yes("write", read.write);
  read.rules.aim = aim;
  read.rules.deadline = deadline;
  read.rules.dedup_window = window;
  read.rules.effect = effect == "read_like"         ? Effect::kSafe
                      : effect == "idempotency_key" ? Effect::kKeyed
                                                    : Effect::kUnsafe;
  read.rules.dedup_group = group == "all"    ? DedupGroup::kAll
                           : group == "zone" ? DedupGroup::kZone
                                             : DedupGroup::kCell;
  if (read.rules.name.empty()) t.Fault(nullptr, "name", "missing");
  scenario.classes.push_back(read);
}

void ScenarioReading::Fleet(const toml::table* table) {
  ScenarioTable t(table, "fleet", file, faults);
  world::FleetTraits& f = scenario.fleet;
  t.Number("members", f.members, 1, 1000);
  t.Number("spare", f.spare, 0, 1000);
  t.Number("zones", f.zones, 1, 26);
  t.Number("slow_share", f.slow_share, 0, 1);
  t.Range("speed", f.speed_least, f.speed_most, 0.01, 100);
  t.Range("slow_speed", f.slow_least, f.slow_most, 0.01, 100);
  t.Number("filled", f.filled, 0, 1);
  world::CacheServerTraits& c = f.server;
  t.Number("cores", c.cores, 1, 256);
  t.Number("waiting", c.waiting, 0, 100000);
  t.Number("crowding", c.crowding, 0, 10);
  t.Ms("miss_work_ms", c.miss_work, 0.01, 10000);
  t.Number("memory_bytes", c.memory, 1, 1e12);
  t.Yes("lru", c.lru);
  t.Number("connections", c.connections, 1, 100000);
  t.Ms("handshake_ms", c.handshake, 0, 10000);
  t.Ms("keepalive_ms", c.keepalive, 10, 3600000);
  t.Number("start_capacity", c.start_capacity, 0.01, 1);
  t.Sec("warm_after_s", c.warm_after, 0.1, 3600);
  t.Sec("warm_work_s", c.warm_work, 0.01, 3600);
  t.Number("fall_multiple", c.fall_multiple, 0.1, 1000);
  t.Sec("tip_after_s", c.tip_after, 0.1, 60);
  t.Yes("cancel_stops", c.cancel_stops);
  t.Ms("stale_after_ms", c.stale_after, 0, 3600000);
  t.Number("failed_share", c.failed_share, 0, 1);
}

void ScenarioReading::World(ScenarioTable& root) {
  {
    ScenarioTable t(root.Child("origin"), "origin", file, faults);
    world::OriginTraits& o = scenario.fleet.origin;
    t.Number("per_second", o.per_second, 0.1, 1e6);
    t.Number("workers", o.workers, 1, 10000);
    t.Number("waiting", o.waiting, 0, 1000000);
    t.Number("fall_multiple", o.fall_multiple, 0.1, 1000);
    t.Sec("fall_after_s", o.fall_after, 0.1, 60);
    t.Sec("down_s", o.down, 0.1, 600);
  }
  {
    ScenarioTable t(root.Child("discovery"), "discovery", file, faults);
    world::DiscoveryTraits& d = scenario.fleet.discovery;
    double low = world::Ms(d.lag_least), high = world::Ms(d.lag_most);
    t.Range("lag_ms", low, high, 0, 60000);
    d.lag_least = FromMs(low), d.lag_most = FromMs(high);
    t.Ms("call_ms", d.call, 0, 10000);
    t.Ms("longest_wait_ms", d.longest_wait, 0, 60000);
  }
  {
    ScenarioTable t(root.Child("network"), "network", file, faults);
    t.Ms("within_zone_ms", scenario.fleet.within_zone, 0, 1000);
    t.Ms("between_zones_ms", scenario.fleet.between_zones, 0, 1000);
    t.Ms("dial_timeout_ms", scenario.fleet.dial_timeout, 1, 60000);
    t.Number("lossy_dials", scenario.fleet.lossy_dials, 0, 1);
  }
}

void ScenarioReading::All(const toml::table& table) {
  ScenarioTable root(&table, "", file, faults);
  Scenario& s = scenario;
  root.Word("name", s.name);
  root.Word("about", s.about);
  root.Sec("seconds", s.lasts, 1, 86400);
  root.Sec("warm_up_s", s.warm_up, 0, 600);
  {
    ScenarioTable t(root.Child("routers"), "routers", file, faults);
    t.Number("count", s.routers, 1, 100);
    t.Number("memory_mb", s.memory_mb, 16, 100000);
    t.Number("sockets", s.sockets, 64, 100000);
  }
  {
    ScenarioTable t(root.Child("peers"), "peers", file, faults);
    t.Yes("on", s.peers);
  }
  {
    ScenarioTable t(root.Child("failover"), "failover", file, faults);
    t.Yes("on", s.failover);
    t.Word("no_quorum", s.no_quorum);
    t.Number("retain_ms", s.retain_ms, 100, 3600000);
    if (s.failover && !s.peers) t.Fault(nullptr, "on", "needs on = true in [peers]");
    if (s.no_quorum != "reject" && s.no_quorum != "serve")
      t.Fault(nullptr, "no_quorum", "reject or serve expected");
  }
  {
    ScenarioTable t(root.Child("overload"), "overload", file, faults);
    t.Yes("on", s.overload);
    t.Number("dials_per_second", s.dials_per_second, 0, 100000);
    if (s.overload && !s.peers) t.Fault(nullptr, "on", "needs on = true in [peers]");
  }
  Load(root.Child("load"));
  Fleet(root.Child("fleet"));
  World(root);
  for (const toml::table* one : root.Children("class")) Class(one);
  for (const toml::table* one : root.Children("tenant")) {
    ScenarioTable t(one, "tenant", file, faults);
    Tenant tenant;
    t.Word("name", tenant.name);
    t.Number("share", tenant.share, 0, 1000);
    s.tenants.push_back(tenant);
  }
  {
    ScenarioTable t(root.Child("rules"), "rules", file, faults);
    t.Number("grace_ms", s.grace_ms, 0, 60000);
    t.Number("drain_grace_ms", s.drain_grace_ms, 0, 60000);
    t.Number("window_slack_ms", s.window_slack_ms, 0, 60000);
  }
  if (s.name.empty()) root.Fault(nullptr, "name", "missing");
  if (s.classes.empty()) root.Fault(nullptr, "class", "at least one expected");
  if (s.tenants.empty()) s.tenants.push_back({"all", 1});
  Rations(root.Child("rations"));
  Publish(root.Child("publish"));
  for (const toml::table* one : root.Children("event")) Event(one);
  s.lasts = std::max(s.lasts, s.warm_up + FromSeconds(1));
  std::ranges::stable_sort(s.marks, {}, &Scenario::Mark::at);
  std::ranges::stable_sort(s.steps, {}, &Step::at);
}

Scenario ParseScenario(const std::string& text, const std::string& name) {
  ScenarioReading reading;
  reading.file = name;
  try {
    reading.All(toml::parse(text, name));
  } catch (const toml::parse_error& error) {
    reading.faults.push_back(
        fmt::format("{}:{}: not TOML: {}", name, error.source().begin.line, error.description()));
  }
  if (!reading.faults.empty()) throw std::runtime_error(fmt::format("{}", fmt::join(reading.faults, "\n")));
  return std::move(reading.scenario);
}

Scenario ReadScenario(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error("cannot read " + path);
  return ParseScenario(text.str(), path);
}

}  // namespace peatbend::lab

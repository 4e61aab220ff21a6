#include <fmt/format.h>

#include <numeric>

#include "lab/scenario_reading.h"

namespace peatbend::lab {

// After a version's file is there.
constexpr Span kThenTold = std::chrono::milliseconds(20);

void ScenarioReading::Publish(const toml::table* table) {
  ScenarioTable t(table, "publish", file, faults);
  PublishDay& p = scenario.publish;
  p.on = table != nullptr;
  std::vector<std::string> classes, tenants;
  t.Yes("on", p.on);
  t.Words("classes", classes);
  t.Words("tenants", tenants);
  t.Places("seats", p.seats, scenario.routers);
  Numbers(
      t, "classes", classes, scenario.classes, [](const auto& one) { return one.rules.name; }, p.classes);
  Numbers(
      t, "tenants", tenants, scenario.tenants, [](const auto& one) { return one.name; }, p.tenants);
  for (const toml::table* one : t.Children("version")) {
    ScenarioTable v(one, "publish.version", file, faults);
    PublishDay::Version read;
    std::vector<double> breaks;
    v.Word("schema", read.schema);
    v.Sec("from_s", read.from, 0, 86400);
    v.Places("by", read.by, scenario.routers);
    v.Yes("never", read.never);
    v.Number("share", read.share, 0, 1000);
    v.Numbers("breaks", breaks, 1, 4096);
    read.breaks.assign(breaks.begin(), breaks.end());
    if (read.schema.empty()) v.Fault(nullptr, "schema", "missing");
    if (read.from > Time{} && read.by.empty()) v.Fault(nullptr, "by", "missing: who proposes it");
    p.versions.push_back(read);
    if (read.from == Time{} || !p.on) continue;
    Mark(read.from, fmt::format("version {} proposed", p.versions.size()));
    scenario.router_events.push_back({RouterEvent::What::kHup, read.from + kThenTold, {}, {}, read.by});
  }
  for (const toml::table* one : t.Children("reader")) {
    ScenarioTable r(one, "publish.reader", file, faults);
    PublishDay::Reader read;
    r.Word("name", read.name);
    r.Number("reads", read.reads, 1, 4096);
    r.Number("share", read.share, 0, 1);
    r.Sec("from_s", read.from, 0, 86400);
    if (read.name.empty()) r.Fault(nullptr, "name", "missing");
    p.readers.push_back(read);
  }
  if (table == nullptr) return;
  double writes = 0, reads = 0;
  for (const auto& version : p.versions) writes += version.share;
  for (const auto& reader : p.readers) reads += reader.share;
  if (p.classes.empty()) t.Fault(nullptr, "classes", "missing");
  if (writes <= 0) t.Fault(nullptr, "version", "one or more with a share expected");
  if (reads > 1) t.Fault(nullptr, "reader", "shares of at most 1 together expected");
  if (p.on && !scenario.peers) t.Fault(nullptr, "on", "needs on = true in [peers]");
  if (p.seats.empty()) {
    p.seats.resize(static_cast<std::size_t>(std::min(scenario.routers, 3)));
    std::iota(p.seats.begin(), p.seats.end(), 0);
  }
  if (p.on && p.seats.size() != 3) t.Fault(nullptr, "seats", "three expected");
}

}  // namespace peatbend::lab

#include <fmt/format.h>

#include <fstream>
#include <numeric>
#include <sstream>

#include "lab/scenario_reading.h"

namespace peatbend::lab {
namespace {

constexpr int kSeats = 5, kFewerSeats = 3;  // where none are named; the fewer in fleets below kSeats

}  // namespace

// A text of several lines, or the name of a file beside the scenario.
std::string ScenarioReading::Book(ScenarioTable& t) {
  std::string book;
  t.Word("book", book);
  if (book.empty() || book.find('\n') != std::string::npos) return book;
  std::size_t folder = file.rfind('/');
  std::ifstream beside(folder == std::string::npos ? book : file.substr(0, folder + 1) + book);
  std::stringstream text;
  if (!beside || !(text << beside.rdbuf())) t.Fault(nullptr, "book", "cannot read " + book);
  return text.str();
}

void ScenarioReading::Limit(const toml::table* table) {
  ScenarioTable t(table, "rations.limit", file, faults);
  RationLimit read;
  std::string kind = "any", each = "together";
  std::vector<std::string> tenants, classes;
  double constant = -1;
  t.Word("name", read.name);
  t.Words("tenants", tenants);
  t.Words("classes", classes);
  t.Word("kind", kind, {"any", "reads", "writes"});
  t.Word("each", each, {"together", "tenant", "client"});
  t.Number("rate", read.rate, 0.001, 1e6);
  t.Number("burst", read.burst, 1, 1e6);
  t.Number("constant", constant, 0, 1e6);
  Numbers(
      t, "tenants", tenants, scenario.tenants, [](const Tenant& one) { return one.name; }, read.tenants);
  Numbers(
      t, "classes", classes, scenario.classes, [](const ClassOfRequests& one) { return one.rules.name; },
      read.classes);
  read.kind = kind == "reads"    ? RationLimit::Kind::kReads
              : kind == "writes" ? RationLimit::Kind::kWrites
                                 : RationLimit::Kind::kAny;
  read.each = each == "tenant"   ? RationLimit::Each::kTenant
              : each == "client" ? RationLimit::Each::kClient
                                 : RationLimit::Each::kTogether;
  if (constant >= 0) read.constant = constant;
  if (read.name.empty()) t.Fault(nullptr, "name", "missing");
  if (read.rate <= 0) t.Fault(nullptr, "rate", "missing");
  if (read.each == RationLimit::Each::kClient && scenario.clients == 0)
    t.Fault(nullptr, "each", "client: needs clients in [load]");
  scenario.rations.limits.push_back(read);
}

void ScenarioReading::Rations(const toml::table* table) {
  ScenarioTable t(table, "rations", file, faults);
  RationDay& r = scenario.rations;
  bool on = table != nullptr, shares = false;
  t.Yes("on", on);
  t.Yes("static", shares);
  r.book = Book(t);
  t.Places("seats", r.seats, scenario.routers);
  t.Number("slack_ms", r.slack_ms, 0, 60000);
  for (const toml::table* one : t.Children("limit")) Limit(one);
  if (r.seats.empty()) {
    r.seats.resize(static_cast<std::size_t>(
        scenario.routers < kSeats ? std::min(scenario.routers, kFewerSeats) : kSeats));
    std::iota(r.seats.begin(), r.seats.end(), 0);
  }
  r.play = shares ? RationDay::Play::kShares : on ? RationDay::Play::kOn : RationDay::Play::kOff;
  if (r.play == RationDay::Play::kOn && !scenario.peers) t.Fault(nullptr, "on", "needs on = true in [peers]");
  if (r.play == RationDay::Play::kOn && r.book.empty()) t.Fault(nullptr, "book", "missing");
  if (table != nullptr && r.limits.empty()) t.Fault(nullptr, "limit", "at least one expected");
}

}  // namespace peatbend::lab

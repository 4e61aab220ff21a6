#include "lab/scenario.h"

#define TOML_ENABLE_FORMATTERS 0
#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

#include "config/keys.h"

namespace peatbend::lab {
namespace {

using world::FleetEvent;
using world::FromMs;
using world::FromSeconds;

// Reads a table's keys into fields; what is left over is not known.
class Table {
 public:
  Table(const toml::table* table, std::string path, const std::string& file, std::vector<std::string>& faults)
      : table_(table), path_(std::move(path)), file_(file), faults_(faults) {}
  ~Table() {
    if (table_ == nullptr) return;
    for (auto&& [name, node] : *table_) {
      std::string key(name.str());
      if (std::ranges::find(known_, key) == known_.end()) {
        Fault(&node, key, "not known; the nearest known name is " + Nearest(key, known_));
      }
    }
  }
  Table(const Table&) = delete;
  Table& operator=(const Table&) = delete;

  template <typename T>
  void Number(const char* key, T& field, double least, double most) {
    const toml::node* node = Take(key);
    if (node == nullptr) return;
    auto value = node->value<double>();
    if (!value || !(*value >= least && *value <= most) ||
        (std::is_integral_v<T> && *value != std::floor(*value))) {
      return Fault(node, key, fmt::format("{} to {} expected", least, most));
    }
    field = static_cast<T>(*value);
  }
  void Ms(const char* key, Span& field, double least, double most) {
    double ms = world::Ms(field);
    Number(key, ms, least, most);
    field = FromMs(ms);
  }
  void Sec(const char* key, Span& field, double least, double most) {
    double seconds = world::Seconds(field);
    Number(key, seconds, least, most);
    field = FromSeconds(seconds);
  }
  void Range(const char* key, double& low, double& high, double least, double most) {
    const toml::node* node = Take(key);
    if (node == nullptr) return;
    const toml::array* pair = node->as_array();
    auto one = [&](std::size_t i) { return pair->get(i)->value<double>().value_or(std::nan("")); };
    if (pair == nullptr || pair->size() != 2 || !(one(0) >= least && one(0) <= one(1) && one(1) <= most)) {
      return Fault(node, key, fmt::format("[low, high] within {} to {} expected", least, most));
    }
    low = one(0);
    high = one(1);
  }
  void Word(const char* key, std::string& field, const std::vector<std::string>& words = {}) {
    const toml::node* node = Take(key);
    if (node == nullptr) return;
    auto value = node->value_exact<std::string>();
    if (!value || (!words.empty() && std::ranges::find(words, *value) == words.end())) {
      return Fault(node, key,
                   words.empty() ? "text expected" : fmt::format("{} expected", fmt::join(words, " or ")));
    }
    field = *value;
  }
  void Yes(const char* key, bool& field) {
    const toml::node* node = Take(key);
    if (node == nullptr) return;
    if (auto value = node->value_exact<bool>()) {
      field = *value;
    } else {
      Fault(node, key, "true or false expected");
    }
  }
  // Places: a list of them, or the share of `all`, spread evenly.
  void Places(const char* key, std::vector<int>& field, int all) {
    const toml::node* node = Take(key);
    if (node == nullptr) return;
    if (auto share = node->value<double>(); share && *share > 0 && *share <= 1 && !node->is_integer()) {
      int count = static_cast<int>(std::ceil(*share * all));
      for (int i = 0; i < count; ++i) field.push_back(i * all / count);
      return;
    }
    const toml::array* list = node->as_array();
    bool fine = list != nullptr;
    for (std::size_t i = 0; fine && i < list->size(); ++i) {
      auto place = list->get(i)->value_exact<std::int64_t>();
      fine = place && *place >= 0 && *place < all;
      if (fine) field.push_back(static_cast<int>(*place));
    }
    if (!fine)
      Fault(node, key, fmt::format("a share such as 0.15, or places from 0 to {} expected", all - 1));
  }
  const toml::table* Child(const char* key) {
    const toml::node* node = Take(key);
    if (node != nullptr && !node->is_table()) Fault(node, key, "a table expected");
    return node == nullptr ? nullptr : node->as_table();
  }
  std::vector<const toml::table*> Children(const char* key) {
    std::vector<const toml::table*> tables;
    const toml::node* node = Take(key);
    if (node == nullptr) return tables;
    if (const toml::array* array = node->as_array()) {
      for (auto&& item : *array) {
        if (const toml::table* table = item.as_table()) tables.push_back(table);
      }
      if (tables.size() == array->size()) return tables;
    }
    Fault(node, key, "a list of tables expected");
    return {};
  }
  void Fault(const toml::node* node, const std::string& key, const std::string& what) {
    int line = static_cast<int>(node != nullptr     ? node->source().begin.line
                                : table_ != nullptr ? table_->source().begin.line
                                                    : 0);
    faults_.push_back(
        fmt::format("{}:{}: {}{}{}: {}", file_, line, path_, path_.empty() ? "" : ".", key, what));
  }

 private:
  const toml::node* Take(const char* key) {
    known_.emplace_back(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }
  const toml::table* table_;
  std::string path_;
  const std::string& file_;
  std::vector<std::string>& faults_;
  std::vector<std::string> known_;
};

struct Reading {
  Scenario scenario;
  std::string file;
  std::vector<std::string> faults;

  void Mark(Time at, std::string text) { scenario.marks.push_back({at, std::move(text)}); }

  void Load(const toml::table* table) {
    Table t(table, "load", file, faults);
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
    for (const toml::table* step : t.Children("step")) {
      Table one(step, "load.step", file, faults);
      Step read;
      one.Sec("at_s", read.at, 0, 86400);
      one.Number("factor", read.factor, 0, 100);
      s.steps.push_back(read);
      Mark(read.at, fmt::format("load x{:g}", read.factor));
    }
  }

  void Class(const toml::table* table) {
    Table t(table, "class", file, faults);
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
    read.rules.window = window;
    read.rules.effect = effect == "read_like"         ? Effect::kSafe
                        : effect == "idempotency_key" ? Effect::kKeyed
                                                      : Effect::kUnsafe;
    read.rules.group = group == "all" ? Group::kAll : group == "zone" ? Group::kZone : Group::kCell;
    if (read.rules.name.empty()) t.Fault(nullptr, "name", "missing");
    scenario.classes.push_back(read);
  }

  void Fleet(const toml::table* table) {
    Table t(table, "fleet", file, faults);
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

  void World(Table& root) {
    {
      Table t(root.Child("origin"), "origin", file, faults);
      world::OriginTraits& o = scenario.fleet.origin;
      t.Number("per_second", o.per_second, 0.1, 1e6);
      t.Number("workers", o.workers, 1, 10000);
      t.Number("waiting", o.waiting, 0, 1000000);
      t.Number("fall_multiple", o.fall_multiple, 0.1, 1000);
      t.Sec("fall_after_s", o.fall_after, 0.1, 60);
      t.Sec("down_s", o.down, 0.1, 600);
    }
    {
      Table t(root.Child("discovery"), "discovery", file, faults);
      world::DiscoveryTraits& d = scenario.fleet.discovery;
      double low = world::Ms(d.lag_least), high = world::Ms(d.lag_most);
      t.Range("lag_ms", low, high, 0, 60000);
      d.lag_least = FromMs(low), d.lag_most = FromMs(high);
      t.Ms("call_ms", d.call, 0, 10000);
      t.Ms("longest_wait_ms", d.longest_wait, 0, 60000);
    }
    {
      Table t(root.Child("network"), "network", file, faults);
      t.Ms("within_zone_ms", scenario.fleet.within_zone, 0, 1000);
      t.Ms("between_zones_ms", scenario.fleet.between_zones, 0, 1000);
      t.Ms("dial_timeout_ms", scenario.fleet.dial_timeout, 1, 60000);
      t.Number("lossy_dials", scenario.fleet.lossy_dials, 0, 1);
    }
  }

  void Event(const toml::table* table) {
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
    Table t(table, "event", file, faults);
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

  void Link(Table& t, const std::string& what, LinkEvent read) {
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
      if (read.from.empty() || read.to.empty())
        t.Fault(nullptr, read.from.empty() ? "from" : "to", "missing");
    }
    scenario.link_events.push_back(read);
    Mark(read.at, what);
    if (read.at + read.lasts < scenario.lasts) Mark(read.at + read.lasts, what + " ends");
  }

  void All(const toml::table& table) {
    Table root(&table, "", file, faults);
    Scenario& s = scenario;
    root.Word("name", s.name);
    root.Word("about", s.about);
    root.Sec("seconds", s.lasts, 1, 86400);
    root.Sec("warm_up_s", s.warm_up, 0, 600);
    {
      Table t(root.Child("routers"), "routers", file, faults);
      t.Number("count", s.routers, 1, 100);
      t.Number("memory_mb", s.memory_mb, 16, 100000);
      t.Number("sockets", s.sockets, 64, 100000);
    }
    {
      Table t(root.Child("peers"), "peers", file, faults);
      t.Yes("on", s.peers);
    }
    {
      Table t(root.Child("takeover"), "takeover", file, faults);
      t.Yes("on", s.takeover);
      t.Word("alone", s.alone);
      t.Number("linger_ms", s.linger_ms, 100, 3600000);
      if (s.takeover && !s.peers) t.Fault(nullptr, "on", "needs on = true in [peers]");
      if (s.alone != "reject" && s.alone != "serve") t.Fault(nullptr, "alone", "reject or serve expected");
    }
    Load(root.Child("load"));
    Fleet(root.Child("fleet"));
    World(root);
    for (const toml::table* one : root.Children("class")) Class(one);
    for (const toml::table* one : root.Children("tenant")) {
      Table t(one, "tenant", file, faults);
      Tenant tenant;
      t.Word("name", tenant.name);
      t.Number("share", tenant.share, 0, 1000);
      s.tenants.push_back(tenant);
    }
    {
      Table t(root.Child("rules"), "rules", file, faults);
      t.Number("grace_ms", s.grace_ms, 0, 60000);
      t.Number("drain_grace_ms", s.drain_grace_ms, 0, 60000);
      t.Number("window_slack_ms", s.window_slack_ms, 0, 60000);
    }
    for (const toml::table* one : root.Children("event")) Event(one);
    if (s.name.empty()) root.Fault(nullptr, "name", "missing");
    if (s.classes.empty()) root.Fault(nullptr, "class", "at least one expected");
    if (s.tenants.empty()) s.tenants.push_back({"all", 1});
    s.lasts = std::max(s.lasts, s.warm_up + FromSeconds(1));
    std::ranges::stable_sort(s.marks, {}, &Scenario::Mark::at);
    std::ranges::stable_sort(s.steps, {}, &Step::at);
  }
};

}  // namespace

Scenario ParseScenario(const std::string& text, const std::string& name) {
  Reading reading;
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

std::string ZoneName(int zone) { return std::string(1, static_cast<char>('a' + zone)); }

std::string SettingsJson(const Scenario& s, int router) {
  using nlohmann::json;
  auto ns = [](Span span) { return span.count(); };
  json classes = json::array(), tenants = json::array(), zones = json::array();
  for (const ClassOfRequests& one : s.classes) {
    const ClassSettings& c = one.rules;
    const char* effects[] = {"read_like", "idempotency_key", "non_idempotent"};
    const char* groups[] = {"all", "zone", "cell"};
    classes.push_back({{"name", c.name},
                       {"objective", ns(c.aim)},
                       {"deadline", ns(c.deadline)},
                       {"effect", effects[static_cast<int>(c.effect)]},
                       {"group", groups[static_cast<int>(c.group)]},
                       {"window", ns(c.window)},
                       {"value", c.worth},
                       {"lateShare", c.late_share}});
  }
  double all = 0;
  for (const Tenant& tenant : s.tenants) all += tenant.share;
  for (const Tenant& tenant : s.tenants) {
    tenants.push_back({{"name", tenant.name},
                       {"share", tenant.share / all},
                       {"allowancePerS", std::ceil(tenant.share / all * s.rate * 1.2)}});
  }
  for (int zone = 0; zone < s.fleet.zones; ++zone) zones.push_back(ZoneName(zone));
  const world::CacheServerTraits& c = s.fleet.server;
  json settings{{"classes", classes},
                {"tenants", tenants},
                {"zones", zones},
                {"flavors", {"box", "origin"}},
                {"locality", RouterZone(s, router)},
                {"discovery", "subscribe"},
                {"replicasOfMe", s.routers},
                {"overShareWorth", 0.05},
                {"countedBy", "work"},
                {"specifics", {{"mode", "aside"}, {"originKind", 1}}},
                {"ceilings",
                 {{"tryLimit", 5},
                  {"mayCancel", true},
                  {"secondCopies", true},
                  {"retryAfter", true},
                  {"maxRetryAfter", 2000000000},
                  {"keepalive", ns(c.keepalive)},
                  {"dialTimeout", ns(s.fleet.dial_timeout)}}},
                {"rules",
                 {{"graceToAnswer", 20000000},
                  {"askEvery", 10000000000},
                  {"startCapacity", c.start_capacity},
                  {"warmAfter", ns(c.warm_after)},
                  {"drainGrace", 250000000},
                  {"fallMultiple", c.fall_multiple},
                  {"tipAfter", ns(c.tip_after)}}},
                {"tick", 5000000}};
  return settings.dump();
}

}  // namespace peatbend::lab

// The start-up settings: from the paths that name them, and what they must be like. Nothing is decided here.
#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "base/text.h"
#include "peatbend/balancer.h"

namespace peatbend {
namespace {

constexpr std::size_t kMaxItems = 10000;  // classes or tenants that may be counted out

// Whole numbers may come written as 2e9 or 2.0 from JSON.
template <typename T>
T Setting(std::string_view path, std::string_view text) {
  T value{};
  double real = 0;
  bool whole = ParseNumber(text, value);
  if (!whole && std::is_integral_v<T> && ParseNumber(text, real) && std::abs(real) < 9e15) {
    whole = real == std::floor(real);
    value = static_cast<T>(real);
  }
  if (!whole) {
    throw std::invalid_argument(std::string(path) + ": a number expected, found '" + std::string(text) + "'");
  }
  return value;
}
double Real(std::string_view path, std::string_view text) { return Setting<double>(path, text); }
Duration Time(std::string_view path, std::string_view text) {
  return Duration(Setting<std::int64_t>(path, text));
}
bool Yes(std::string_view path, std::string_view text) {
  if (text == "true" || text == "1") return true;
  if (text == "false" || text == "0") return false;
  throw std::invalid_argument(std::string(path) + ": true or false expected, found '" + std::string(text) +
                              "'");
}

// The item that `rest` ("3.name") indexes; leaves the item's field in `rest`. Null for "count".
template <typename T>
T* Item(std::vector<T>& items, std::string_view path, std::string_view& rest, std::string_view value) {
  std::string_view index = Cut(rest, '.');
  std::size_t number = Setting<std::size_t>(path, index == "count" ? value : index);
  if (number >= kMaxItems) throw std::invalid_argument(std::string(path) + ": too many");
  if (index == "count") {
    items.resize(number);
    return nullptr;
  }
  if (number >= items.size()) items.resize(number + 1);
  return &items[number];
}

void SetClass(ClassSettings& cls, std::string_view field, std::string_view path, std::string_view text) {
  if (field == "name") cls.name = text;
  if (field == "objective") cls.aim = Time(path, text);
  if (field == "deadline") cls.deadline = Time(path, text);
  if (field == "window") cls.dedup_window = Time(path, text);
  if (field == "value") cls.worth = Real(path, text);
  if (field == "lateShare") cls.late_share = Real(path, text);
  if (field == "stream") cls.stream = Yes(path, text);
  if (field == "effect") {
    if (text == "read_like") {
      cls.effect = Effect::kSafe;
    } else if (text == "idempotency_key") {
      cls.effect = Effect::kKeyed;
    } else {
      cls.effect = Effect::kUnsafe;  // what is not known is not repeated
    }
  }
  if (field == "group") {
    cls.dedup_group = text == "all"    ? DedupGroup::kAll
                      : text == "zone" ? DedupGroup::kZone
                                       : DedupGroup::kCell;
  }
}

void SetTenant(TenantSettings& tenant, std::string_view field, std::string_view path, std::string_view text) {
  if (field == "name") tenant.name = text;
  if (field == "share") tenant.share = Real(path, text);
  if (field == "allowancePerS") tenant.allowance_per_s = Real(path, text);
}

std::vector<std::string> Names(std::string_view text) {
  std::vector<std::string> names;
  while (!text.empty()) names.emplace_back(Cut(text, ','));
  return names;
}

void SetOther(Settings& s, std::string_view path, std::string_view text) {
  if (path == "discovery") s.must_subscribe = text == "subscribe";
  if (path == "specifics.mode") s.cache_aside = text == "aside";
  if (path == "specifics.originKind") s.origin_kind = Setting<int>(path, text);
  if (path == "replicasOfMe") s.routers = Setting<int>(path, text);
  if (path == "index") s.router_index = Setting<int>(path, text);
  if (path == "locality") s.zone = Setting<int>(path, text);
  if (path == "overShareWorth") s.over_share_worth = Real(path, text);
  if (path == "countedBy") s.worth_by_work = text == "work";
  if (path == "ceilings.tryLimit") s.try_limit = Setting<int>(path, text);
  if (path == "ceilings.mayCancel") s.may_cancel = Yes(path, text);
  if (path == "ceilings.secondCopies") s.concurrent_attempts = Yes(path, text);
  if (path == "ceilings.retryAfter") s.may_send_retry_after = Yes(path, text);
  if (path == "ceilings.maxRetryAfter") s.max_retry_after = Time(path, text);
  if (path == "rules.graceToAnswer") s.answer_grace = Time(path, text);
  if (path == "rules.askEvery") s.subscribe_interval = Time(path, text);
  if (path == "rules.startCapacity") s.start_capacity = Real(path, text);
  if (path == "rules.warmAfter") s.warm_after = Time(path, text);
  if (path == "rules.drainGrace") s.drain_grace = Time(path, text);
  if (path == "rules.fallMultiple") s.overload_multiple = Real(path, text);
  if (path == "rules.tipAfter") s.overload_duration = Time(path, text);
  if (path == "rules.countedOver") s.attempt_window = Time(path, text);
  if (path == "rules.freeResends") s.free_resends = Real(path, text);
  if (path == "rules.extraPerRequest") s.extra_per_request = Real(path, text);
  if (path == "tariffs.connection") s.connection_price = Real(path, text);
  if (path == "tariffs.handshake") s.handshake_price = Real(path, text);
  if (path == "ceilings.keepalive") s.keepalive = Time(path, text);
  if (path == "ceilings.dialTimeout") s.dial_timeout = Time(path, text);
  if (path == "zones") s.zones = Names(text);
  if (path == "flavors") s.kinds = Names(text);
  if (path == "tick") s.tick = Time(path, text);
}

}  // namespace

void SetByPath(Settings& settings, std::string_view path, std::string_view text) {
  if (path.starts_with("classes.")) {
    std::string_view rest = path.substr(8);
    if (auto* cls = Item(settings.classes, path, rest, text)) SetClass(*cls, rest, path, text);
  } else if (path.starts_with("tenants.")) {
    std::string_view rest = path.substr(8);
    if (auto* tenant = Item(settings.tenants, path, rest, text)) SetTenant(*tenant, rest, path, text);
  } else {
    SetOther(settings, path, text);
  }
}

// Lenient, as both protocols ask: names not known and values that do not parse are passed over.
LoadReport ParseLoadReport(std::string_view text) {
  LoadReport load;
  while (!text.empty()) {
    std::string_view part = Cut(text, ',');
    std::string_view name = part.substr(0, part.find_first_of(":="));
    double number = 0;
    if (name.size() == part.size() || !ParseNumber(part.substr(name.size() + 1), number)) continue;
    if (name == "concurrent") load.in_flight = number;
    if (name == "depth") load.queued = number;
    if (name == "load_share") load.utilisation = number;
    if (name == "mean_ms") load.service_ms = number;
    if (name == "tps") load.per_second = number;
    if (name == "err_ps") load.errors_per_second = number;
  }
  return load;
}

void CheckSettings(const Settings& s) {
  auto require = [](bool ok, const char* field) {
    if (!ok) throw std::invalid_argument(std::string("settings: cannot be worked with: ") + field);
  };
  constexpr Duration kNone{};
  require(!s.classes.empty(), "classes");
  for (const ClassSettings& cls : s.classes) {
    require(cls.deadline > kNone && cls.aim >= kNone && cls.dedup_window >= kNone && cls.worth >= 0,
            "classes: deadline, aim, window or worth");
  }
  for (const TenantSettings& tenant : s.tenants) {
    require(tenant.allowance_per_s >= 0, "tenants: allowance_per_s");
  }
  require(!s.attempt_window || *s.attempt_window > kNone, "attempt_window");
  require(s.free_resends.value_or(0) >= 0, "free_resends");
  require(s.extra_per_request.value_or(0) >= 0, "extra_per_request");
  require(s.attempt_window.has_value() == (s.free_resends || s.extra_per_request),
          "attempt_window without free_resends or extra_per_request, or these without it");
  require(s.routers >= 1 && s.try_limit >= 1, "proxies or try_limit");
  require(s.start_capacity > 0 && s.start_capacity <= 1, "start_capacity");
  require(
      std::min({s.warm_after, s.overload_duration, s.subscribe_interval, s.answer_grace, s.tick}) >= kNone,
      "warm_after, tip_after, ask_every, answer_grace or tick");
}

}  // namespace peatbend

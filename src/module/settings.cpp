// Reads the start-up settings from paths and values, and validates them. Takes no routing decisions.
#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "base/text.h"
#include "peatbend/balancer.h"

namespace peatbend {
namespace {

constexpr std::size_t kMaxListedItems = 10000;  // classes or tenants

// Accepts integers that JSON writes as 2e9 or 2.0.
template <typename T>
T ParseNumberSetting(std::string_view path, std::string_view text) {
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
double ParseReal(std::string_view path, std::string_view text) {
  return ParseNumberSetting<double>(path, text);
}
Duration ParseDuration(std::string_view path, std::string_view text) {
  return Duration(ParseNumberSetting<std::int64_t>(path, text));
}
bool ParseBool(std::string_view path, std::string_view text) {
  if (text == "true" || text == "1") return true;
  if (text == "false" || text == "0") return false;
  throw std::invalid_argument(std::string(path) + ": true or false expected, found '" + std::string(text) +
                              "'");
}

// Returns the item that `rest` ("3.name") indexes and leaves the name of its field in `rest`. For "count"
// sets the number of items and returns null.
template <typename T>
T* IndexedItem(std::vector<T>& items, std::string_view path, std::string_view& rest, std::string_view value) {
  std::string_view index = NextField(rest, '.');
  std::size_t number = ParseNumberSetting<std::size_t>(path, index == "count" ? value : index);
  if (number >= kMaxListedItems) throw std::invalid_argument(std::string(path) + ": too many");
  if (index == "count") {
    items.resize(number);
    return nullptr;
  }
  if (number >= items.size()) items.resize(number + 1);
  return &items[number];
}

void SetClassField(ClassSettings& cls, std::string_view field, std::string_view path, std::string_view text) {
  if (field == "name") cls.name = text;
  if (field == "objective") cls.aim = ParseDuration(path, text);
  if (field == "deadline") cls.deadline = ParseDuration(path, text);
  if (field == "window") cls.dedup_window = ParseDuration(path, text);
  if (field == "value") cls.worth = ParseReal(path, text);
  if (field == "lateShare") cls.late_share = ParseReal(path, text);
  if (field == "stream") cls.stream = ParseBool(path, text);
  if (field == "effect") {
    if (text == "read_like") {
      cls.effect = Effect::kSafe;
    } else if (text == "idempotency_key") {
      cls.effect = Effect::kKeyed;
    } else {
      cls.effect = Effect::kUnsafe;  // an unknown effect must not be repeated
    }
  }
  if (field == "group") {
    cls.dedup_group = text == "all"    ? DedupGroup::kAll
                      : text == "zone" ? DedupGroup::kZone
                                       : DedupGroup::kCell;
  }
}

void SetTenantField(TenantSettings& tenant, std::string_view field, std::string_view path,
                    std::string_view text) {
  if (field == "name") tenant.name = text;
  if (field == "share") tenant.share = ParseReal(path, text);
  if (field == "allowancePerS") tenant.allowance_per_s = ParseReal(path, text);
}

std::vector<std::string> SplitNames(std::string_view text) {
  std::vector<std::string> names;
  while (!text.empty()) names.emplace_back(NextField(text, ','));
  return names;
}

void SetGlobalField(Settings& s, std::string_view path, std::string_view text) {
  if (path == "discovery") s.must_subscribe = text == "subscribe";
  if (path == "specifics.mode") s.cache_aside = text == "aside";
  if (path == "specifics.originKind") s.origin_kind = ParseNumberSetting<int>(path, text);
  if (path == "replicasOfMe") s.routers = ParseNumberSetting<int>(path, text);
  if (path == "index") s.router_index = ParseNumberSetting<int>(path, text);
  if (path == "locality") s.zone = ParseNumberSetting<int>(path, text);
  if (path == "overShareWorth") s.over_share_worth = ParseReal(path, text);
  if (path == "countedBy") s.worth_by_work = text == "work";
  if (path == "ceilings.tryLimit") s.try_limit = ParseNumberSetting<int>(path, text);
  if (path == "ceilings.mayCancel") s.may_cancel = ParseBool(path, text);
  if (path == "ceilings.secondCopies") s.concurrent_attempts = ParseBool(path, text);
  if (path == "ceilings.retryAfter") s.may_send_retry_after = ParseBool(path, text);
  if (path == "ceilings.maxRetryAfter") s.max_retry_after = ParseDuration(path, text);
  if (path == "rules.graceToAnswer") s.answer_grace = ParseDuration(path, text);
  if (path == "rules.askEvery") s.subscribe_interval = ParseDuration(path, text);
  if (path == "rules.startCapacity") s.start_capacity = ParseReal(path, text);
  if (path == "rules.warmAfter") s.warm_after = ParseDuration(path, text);
  if (path == "rules.drainGrace") s.drain_grace = ParseDuration(path, text);
  if (path == "rules.fallMultiple") s.overload_multiple = ParseReal(path, text);
  if (path == "rules.tipAfter") s.overload_duration = ParseDuration(path, text);
  if (path == "rules.countedOver") s.attempt_window = ParseDuration(path, text);
  if (path == "rules.freeResends") s.free_resends = ParseReal(path, text);
  if (path == "rules.extraPerRequest") s.extra_per_request = ParseReal(path, text);
  if (path == "tariffs.connection") s.connection_price = ParseReal(path, text);
  if (path == "tariffs.handshake") s.handshake_price = ParseReal(path, text);
  if (path == "ceilings.keepalive") s.keepalive = ParseDuration(path, text);
  if (path == "ceilings.dialTimeout") s.dial_timeout = ParseDuration(path, text);
  if (path == "zones") s.zones = SplitNames(text);
  if (path == "flavors") s.kinds = SplitNames(text);
  if (path == "tick") s.tick = ParseDuration(path, text);
}

}  // namespace

void SetByPath(Settings& settings, std::string_view path, std::string_view text) {
  if (path.starts_with("classes.")) {
    std::string_view rest = path.substr(8);
    if (auto* cls = IndexedItem(settings.classes, path, rest, text)) SetClassField(*cls, rest, path, text);
  } else if (path.starts_with("tenants.")) {
    std::string_view rest = path.substr(8);
    if (auto* tenant = IndexedItem(settings.tenants, path, rest, text))
      SetTenantField(*tenant, rest, path, text);
  } else {
    SetGlobalField(settings, path, text);
  }
}

// Lenient, as both protocols require: unknown names and malformed values are ignored.
LoadReport ParseLoadReport(std::string_view text) {
  LoadReport load;
  while (!text.empty()) {
    std::string_view part = NextField(text, ',');
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
    if (!ok) throw std::invalid_argument(std::string("settings: invalid value: ") + field);
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
          "attempt_window without free_resends or extra_per_request, or the reverse");
  require(s.routers >= 1 && s.try_limit >= 1, "proxies or try_limit");
  require(s.start_capacity > 0 && s.start_capacity <= 1, "start_capacity");
  require(
      std::min({s.warm_after, s.overload_duration, s.subscribe_interval, s.answer_grace, s.tick}) >= kNone,
      "warm_after, tip_after, ask_every, answer_grace or tick");
}

}  // namespace peatbend

// A scenario as its routers are told it.
#include <cmath>
#include <nlohmann/json.hpp>

#include "lab/scenario.h"

namespace peatbend::lab {

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
                       {"group", groups[static_cast<int>(c.dedup_group)]},
                       {"window", ns(c.dedup_window)},
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
                {"index", router},
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

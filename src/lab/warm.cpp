#include "lab/warm.h"

#include <algorithm>
#include <map>
#include <string>

#include "config/config.h"
#include "peatbend/balancer.h"

namespace peatbend::lab {

Settings SettingsFor(const Scenario& scenario, int router) {
  std::string text = R"({"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":)" +
                     SettingsJson(scenario, router) + "}";
  return ReadConfig({.json = text}, [](const char*) -> const char* { return nullptr; }).settings;
}

// Where a key's first attempt goes is the module's to say, so it is asked: one request for each key, to a
// module that knows the list and has no load.
void FillCaches(world::Fleet& fleet, const Scenario& scenario, const Plan& plan) {
  std::map<std::string, std::vector<int>> where;
  std::vector<ServerEntry> entries;
  for (const auto& [name, listing] : fleet.discovery().list()) {
    ServerEntry entry;
    entry.id.name = name;
    entry.kind = listing.place < 0 ? 1 : 0;
    entry.zone = listing.zone;
    entries.push_back(entry);
  }
  for (int zone = 0; zone < std::min(scenario.fleet.zones, scenario.routers); ++zone) {
    Settings settings = SettingsFor(scenario, zone);
    settings.attempt_window.reset();
    settings.free_resends.reset();
    settings.extra_per_request.reset();
    auto balancer = std::make_unique<Balancer>(settings, 1);
    std::vector<Action> actions;
    TimePoint now{std::chrono::seconds(1700000000)};
    balancer->Handle(now, MembershipEvent{Scope::kFull, entries}, actions);
    std::uint32_t id = 0;
    for (const std::string& key : plan.keys) {
      now += std::chrono::seconds(1);  // each by itself: none sees another's load
      RequestEvent event;
      event.id = RequestId{++id};
      event.key = Key{std::stoull(key, nullptr, 16)};
      event.remaining = settings.classes[0].deadline;
      actions.clear();
      balancer->Handle(now, event, actions);
      for (const Action& action : actions) {
        if (const Send* send = std::get_if<Send>(&action)) {
          int place = fleet.Place(send->server.name);
          auto& places = where[key];
          if (place >= 0 && std::ranges::find(places, place) == places.end()) places.push_back(place);
          OutcomeEvent outcome;
          outcome.id = event.id;
          outcome.server = send->server.name;
          outcome.cache_status = CacheStatus::kHit;
          outcome.elapsed = std::chrono::milliseconds(100);
          outcome.done = true;
          std::vector<Action> ignored;
          balancer->Handle(now + std::chrono::milliseconds(100), outcome, ignored);
          break;
        }
      }
    }
  }
  fleet.Fill(
      plan.keys, [&](const std::string& key) { return where[key]; }, scenario.value_bytes);
}

}  // namespace peatbend::lab

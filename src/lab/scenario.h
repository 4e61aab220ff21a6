// A scenario: a day's fleet, load, routers and troubles, read from TOML and checked. docs/lab.md explains the
// keys. Read once; nothing here changes while a day runs.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/publish.h"
#include "lab/rations.h"
#include "peatbend/balancer.h"
#include "world/fleet.h"

namespace peatbend::lab {

using world::Span;
using world::Time;

struct ClassOfRequests {
  ClassSettings rules;  // as routers are told them
  double share = 1;     // of the requests
  double work_least_ms = 90, work_most_ms = 160;
  bool write = false;
};

struct Tenant {
  std::string name;
  double share = 1;
};

struct RouterEvent {
  enum class What { kTerm, kKill, kHup, kUpgrade, kStall };
  What what{};
  Time at{};
  Span back{};  // started again after this; kStall: goes on after it; kUpgrade: from the new one's yes to the
                // old one's SIGTERM
  Span every{};  // between one router and the next
  std::vector<int> routers;
};

// Between routers that see each other; both ways, but for kOneWay.
struct LinkEvent {
  enum class What { kCut, kOneWay, kLoss, kDelay, kHold, kSplit };
  What what{};
  Time at{};
  Span lasts{};
  std::vector<int> from, to;
  double share = 0.1;             // kLoss
  Span each = world::FromMs(50);  // kDelay, and half as much again at random
};

// Faults drawn from the day's seed: one every so often, of one router that nothing ails yet.
struct Storm {
  // kSplit: a part of the fleet, drawn anew each time.
  enum class Kind { kKill, kStall, kCut, kOneWay, kSplit };
  Time at{};
  Span lasts{}, every = world::FromSeconds(2), each = world::FromSeconds(1.5);
  std::vector<Kind> kinds;
  bool any = false;  // else never a majority of the seats ails at once
};

struct Strangers {
  Time at{};
  Span lasts{};
  int connections = 1000;
  double per_second = 2000;    // opened
  std::string habit = "ping";  // or "silent", "garbage"
};

struct Step {  // the load is `factor` times the usual from then on
  Time at{};
  double factor = 1;
};

struct Scenario {
  std::string name, about;
  Span lasts = world::FromSeconds(15), warm_up = world::FromSeconds(2);
  // Routers.
  int routers = 3;
  std::int64_t memory_mb = 192, sockets = 1024;
  // Load.
  double rate = 170;  // requests a second, retries not counted
  int keys = 2000;
  double zipf = 0.9;
  double drift_per_s = 0;  // share of the keys that change their rank each second
  std::size_t value_bytes = 200;
  int retries = 3;
  double retry_wait_ms = 50, obeys_share = 0.7, gives_up_share = 0.55;
  double front_notices_s = 2;          // a router's death
  int clients = 0;                     // that have an address each; 0: one for all
  double client_zipf = 0;              // how unevenly they ask
  double routers_skew = 0;             // how unevenly routers are asked: a Zipf law's exponent
  std::vector<double> router_weights;  // or in these parts
  std::vector<Step> steps;
  std::vector<ClassOfRequests> classes;
  std::vector<Tenant> tenants;
  // The world.
  world::FleetTraits fleet;
  std::vector<world::FleetEvent> troubles;
  std::vector<RouterEvent> router_events;
  std::vector<Strangers> strangers;
  bool peers = false;     // routers see each other; on sockets only
  bool failover = false;  // work in hand outlives its router; needs peers
  std::string no_quorum = "reject";
  double retain_ms = 5000;
  std::vector<LinkEvent> link_events;
  bool overload = false;     // routers judge overload as one; on sockets only
  int dials_per_second = 0;  // with it, at a member that is back; 0: as the routers do by themselves
  RationDay rations;         // quotas of the fleet; on sockets only
  PublishDay publish;        // schemas of payloads; on sockets only
  std::vector<Storm> storms;
  // Judging.
  double grace_ms = 70;         // after the deadline, for the final answer
  double drain_grace_ms = 300;  // after a router was told, for the last send
  double window_slack_ms = 50;  // on idempotency windows
  double late_drain_told_s = 6;
  // Marks for reports: what happens when, in words.
  struct Mark {
    Time at{};
    std::string text;
  };
  std::vector<Mark> marks;
};

// Throws std::runtime_error with a line for each fault: "FILE:LINE: key: what is wrong".
Scenario ReadScenario(const std::string& path);
Scenario ParseScenario(const std::string& text, const std::string& name);

// The day of that seed: its storms drawn, as events of routers and links.
Scenario WithStorms(const Scenario& scenario, std::uint64_t seed);

// The settings object as a router is told it.
Settings SettingsFor(const Scenario& scenario, int router);
std::string SettingsJson(const Scenario& scenario, int router);
inline int RouterZone(const Scenario& scenario, int router) { return router % scenario.fleet.zones; }
std::string ZoneName(int zone);
inline Span LongestDeadline(const Scenario& scenario) {
  Span longest{};
  for (const ClassOfRequests& cls : scenario.classes) longest = std::max(longest, Span(cls.rules.deadline));
  return longest;
}

}  // namespace peatbend::lab

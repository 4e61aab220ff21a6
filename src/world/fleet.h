// The world of a day: cache servers in zones, the origin, discovery and the network between them, and what
// goes wrong at which time. One agenda drives it all. Who carries the attempts (sockets, or a simulated wire)
// asks it and is told what happens to servers.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "world/agenda.h"
#include "world/cache_server.h"
#include "world/discovery.h"
#include "world/origin.h"
#include "world/random.h"

namespace peatbend::world {

struct FleetTraits {
  int members = 12, spare = 0;  // spare: not running at the start; "add" starts them
  int zones = 2;
  double slow_share = 0.5;  // of the members, with speeds of the second range
  double speed_least = 1.5, speed_most = 2.1, slow_least = 0.77, slow_most = 1.0;
  CacheServerTraits server;
  OriginTraits origin;
  DiscoveryTraits discovery;
  Span within_zone = FromMs(0.1), between_zones = FromMs(15);  // one way
  Span dial_timeout = FromMs(250);
  double lossy_dials = 0;  // share of connections whose first packet is lost
  double filled = 0.9;     // of the popular keys, how many stand in the caches at the start
};

// What happens to servers, the origin and discovery. Others (routers, clients) are their driver's.
struct FleetEvent {
  enum class What {
    kHang,      // takes work, answers none, for a while
    kPause,     // stands still for `each` every `every`, for a while
    kZoneDies,  // the zone's processes die; they start again, cold, after a while
    kZoneCut,   // the zone falls silent; after a while it is back, cold
    kRestart,   // drains, ends and starts again, cold, under its name
    kReplace,   // drains, ends and starts again under a new name at the same address
    kDrain,     // drains for a while, then serves on
    kSpoil,     // spoils `share` of its answers for a while
    kReset,     // resets `share` of its connections under requests for a while
    kStale,     // idle connections turn out dead when used, `share` of them, for a while
    kOriginStall,
    kDiscoveryDown,
    kDiscoveryMove,
    kAdd  // starts a spare
  };
  What what{};
  Time at{};
  Span lasts{};
  std::vector<int> members;  // places
  int zone = -1;
  double share = 0.1;
  Span each = FromMs(300), every = FromSeconds(3);
};

enum class Change { kDied, kStarted, kCut, kMended };

class Fleet {
 public:
  Fleet(Agenda& agenda, const FleetTraits& traits, std::uint64_t seed);
  void Plan(const std::vector<FleetEvent>& events);

  CacheServer& server(int place) { return *servers_[static_cast<std::size_t>(place)]; }
  int places() const { return static_cast<int>(servers_.size()); }
  bool running(int place) const { return running_[static_cast<std::size_t>(place)]; }
  int Place(const std::string& name) const;  // -1: none of that name
  Origin& origin() { return origin_; }
  Discovery& discovery() { return discovery_; }
  const FleetTraits& traits() const { return traits_; }
  Span Delay(int zone, int other) const {
    return zone == other ? traits_.within_zone : traits_.between_zones;
  }
  bool LosesDial() { return random_.Chance(traits_.lossy_dials); }

  // An attempt arrives at a server, at the origin. Answers are told at the time that the server gives them.
  JobPtr AtServer(int place, Ask ask, Answer answer);
  JobPtr AtOrigin(Ask ask, Answer answer);
  // The most popular keys first: as many as fit stand in each server's store at the start.
  void Fill(const std::vector<std::string>& keys,
            const std::function<std::vector<int>(const std::string&)>& where, std::size_t bytes);

  std::function<void(int place, Change)> on_change;
  std::function<void(int place)> on_fall;  // a cold server was overrun
  std::function<void(double cold_share)> on_origin_fall;
  std::function<void()> on_discovery_move;

 private:
  void Do(const FleetEvent& event);
  void Kill(int place);
  void Start(int place, bool rename);
  void List(int place, Listing::Status status, Span lag = Span(-1));
  void Tell(int place, Change change) {
    if (on_change) on_change(place, change);
  }

  Agenda& agenda_;
  FleetTraits traits_;
  Random random_;
  std::vector<std::unique_ptr<CacheServer>> servers_;
  std::vector<bool> running_;
  std::vector<int> lives_;
  Origin origin_;
  Discovery discovery_;
  struct Missed {
    std::vector<int> places;
    bool cold = false;
  };
  std::unordered_map<std::string, Missed> missed_;  // by request, until the origin has answered
};

}  // namespace peatbend::world

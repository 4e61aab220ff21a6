#include "world/fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace peatbend::world {
namespace {
constexpr Span kForgetMiss = std::chrono::seconds(5);
constexpr Span kDrainFor = std::chrono::milliseconds(1500);
constexpr Span kDownFor = std::chrono::milliseconds(500);
}  // namespace

Fleet::Fleet(Agenda& agenda, const FleetTraits& traits, std::uint64_t seed)
    : agenda_(agenda),
      traits_(traits),
      random_(seed, 0xf1),
      origin_(agenda, traits.origin, seed),
      discovery_(agenda, traits.discovery, seed) {
  origin_.on_fall = [this](double share) {
    if (on_origin_fall) on_origin_fall(share);
  };
  for (int place = 0; place < traits.members + traits.spare; ++place) {
    CacheServerTraits server = traits.server;
    bool slow = random_.Chance(traits.slow_share);
    server.speed = slow ? random_.Between(traits.slow_least, traits.slow_most)
                        : random_.Between(traits.speed_least, traits.speed_most);
    std::string name = fmt::format("s-{:06x}", random_.Below(0x1000000));
    servers_.push_back(std::make_unique<CacheServer>(agenda, server, name, place % traits.zones,
                                                     seed + static_cast<std::uint64_t>(place)));
    lives_.push_back(0);
    running_.push_back(place < traits.members);
    servers_.back()->on_fall = [this, place](CacheServer&) {
      if (on_fall) on_fall(place);
      Kill(place);
    };
    if (running_.back()) {
      discovery_.Known({name, place, place % traits.zones, Listing::Status::kServing, {}, 0});
    } else {
      servers_.back()->Die();
    }
  }
  discovery_.Known({"origin", -1, 0, Listing::Status::kServing, {}, 0});
}

int Fleet::Place(const std::string& name) const {
  auto at = std::ranges::find_if(servers_, [&](const auto& server) { return server->name() == name; });
  return at == servers_.end() ? -1 : static_cast<int>(at - servers_.begin());
}

void Fleet::Fill(const std::vector<std::string>& keys,
                 const std::function<std::vector<int>(const std::string&)>& where, std::size_t bytes) {
  for (std::size_t i = keys.size(); i-- > 0;) {  // the most popular last, as the most recently used
    if (!random_.Chance(traits_.filled)) continue;
    for (int place : where(keys[i])) server(place).Keep(keys[i], bytes);
  }
}

JobPtr Fleet::AtServer(int place, Ask ask, Answer answer) {
  CacheServer& at = server(place);
  std::string id = ask.id;
  return at.Begin(std::move(ask), [this, place, id, answer = std::move(answer)](Verdict verdict) {
    if (verdict == Verdict::kMiss || verdict == Verdict::kPending) {
      Missed& missed = missed_[id];
      if (missed.places.empty()) agenda_.In(kForgetMiss, [this, id] { missed_.erase(id); });
      missed.places.push_back(place);
      missed.cold |= server(place).cold();
    }
    answer(verdict);
  });
}

JobPtr Fleet::AtOrigin(Ask ask, Answer answer) {
  auto at = missed_.find(ask.id);
  bool cold = at != missed_.end() && at->second.cold;
  std::string id = ask.id, key = ask.key;
  bool write = ask.write;
  std::size_t bytes = ask.bytes;
  return origin_.Begin(std::move(ask), cold,
                       [this, id, key, write, bytes, answer = std::move(answer)](Verdict verdict) {
                         if (verdict == Verdict::kValue && write) {
                           for (auto& server : servers_) server->Void(key);
                         } else if (verdict == Verdict::kValue) {
                           if (auto missed = missed_.find(id); missed != missed_.end()) {
                             for (int place : missed->second.places) server(place).Keep(key, bytes);
                           }
                         }
                         answer(verdict);
                       });
}

void Fleet::List(int place, Listing::Status status, Span lag) {
  CacheServer& at = server(place);
  discovery_.Changed({at.name(), place, at.zone(), status, at.started(), 0}, lag);
}

void Fleet::Kill(int place) {
  running_[static_cast<std::size_t>(place)] = false;
  server(place).Die();
  Tell(place, Change::kDied);
  List(place, Listing::Status::kDeleted);
}

void Fleet::Start(int place, bool rename) {
  CacheServer& at = server(place);
  if (rename) {
    at.Rename(fmt::format("{}.{}", at.name().substr(0, 8), ++lives_[static_cast<std::size_t>(place)]));
  }
  at.Start();
  running_[static_cast<std::size_t>(place)] = true;
  Tell(place, Change::kStarted);
  List(place, Listing::Status::kServing);
}

void Fleet::Plan(const std::vector<FleetEvent>& events) {
  for (const FleetEvent& event : events) agenda_.At(event.at, [this, event] { Do(event); });
}

void Fleet::Do(const FleetEvent& event) {
  using What = FleetEvent::What;
  auto for_a_while = [&](auto set, auto unset) {
    for (int place : event.members) {
      set(server(place));
      agenda_.In(event.lasts, [this, place, unset] { unset(server(place)); });
    }
  };
  std::vector<int> in_zone;
  for (int place = 0; place < places(); ++place) {
    if (server(place).zone() == event.zone && running(place)) in_zone.push_back(place);
  }
  switch (event.what) {
    case What::kHang:
      return for_a_while([](CacheServer& s) { s.Hang(true); }, [](CacheServer& s) { s.Hang(false); });
    case What::kSpoil:
      return for_a_while([&](CacheServer& s) { s.traits().spoilt_share = event.share; },
                         [](CacheServer& s) { s.traits().spoilt_share = 0; });
    case What::kReset:
      return for_a_while([&](CacheServer& s) { s.traits().reset_share = event.share; },
                         [](CacheServer& s) { s.traits().reset_share = 0; });
    case What::kStale:
      return for_a_while([&](CacheServer& s) { s.traits().stale_share = event.share; },
                         [](CacheServer& s) { s.traits().stale_share = 0; });
    case What::kPause:
      for (int place : event.members) {
        Span offset = FromSeconds(random_.Unit() * Seconds(event.every));
        for (Span at = offset; at < event.lasts; at += event.every) {
          agenda_.In(at, [this, place, each = event.each] { server(place).Pause(each); });
        }
      }
      return;
    case What::kZoneDies:
      for (int place : in_zone) Kill(place);
      agenda_.In(event.lasts, [this, in_zone] {
        for (int place : in_zone) Start(place, false);
      });
      return;
    case What::kZoneCut:
      for (int place : in_zone) {
        server(place).Cut();
        Tell(place, Change::kCut);
      }
      agenda_.In(event.lasts, [this, in_zone] {  // the machines were off: all is lost
        for (int place : in_zone) {
          server(place).Mend();
          Tell(place, Change::kMended);
          server(place).Die();
          Tell(place, Change::kDied);
          Start(place, false);
        }
      });
      return;
    case What::kRestart:
    case What::kReplace:
      for (std::size_t i = 0; i < event.members.size(); ++i) {
        int place = event.members[i];
        bool rename = event.what == What::kReplace;
        agenda_.In(static_cast<int>(i) * event.every, [this, place, rename] {
          if (!running(place)) return;
          server(place).Drain(true);
          List(place, Listing::Status::kDraining);
          agenda_.In(traits_.discovery.lag_most + kDrainFor, [this, place, rename] {
            if (!running(place)) return;
            Kill(place);
            agenda_.In(kDownFor, [this, place, rename] { Start(place, rename); });
          });
        });
      }
      return;
    case What::kDrain:
      for (int place : event.members) {
        List(place, Listing::Status::kDraining, Span{});
        agenda_.In(event.lasts, [this, place] {
          if (running(place)) List(place, Listing::Status::kServing, Span{});
        });
      }
      return;
    case What::kOriginStall:
      return origin_.Stall(event.lasts);
    case What::kDiscoveryDown:
      discovery_.Down(true);
      agenda_.In(event.lasts, [this] { discovery_.Down(false); });
      return;
    case What::kDiscoveryMove:
      if (on_discovery_move) on_discovery_move();
      return;
    case What::kAdd:
      for (std::size_t i = 0; i < event.members.size(); ++i) {
        agenda_.In(static_cast<int>(i) * event.every, [this, place = event.members[i]] {
          if (!running(place)) Start(place, false);
        });
      }
      return;
  }
}

}  // namespace peatbend::world

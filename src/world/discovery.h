// Discovery's list: what is so, what it has noticed of it so far, and how much it can tell at once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::world {

struct Listing {
  enum class Status { kServing, kDraining, kDeleted };
  std::string name;
  int place = 0;  // of the server in the fleet; -1: the origin
  int zone = 0;
  Status status = Status::kServing;
  Time started{};            // zero: long ago
  std::int64_t version = 0;  // of its last change
};

struct DiscoveryTraits {
  Span lag_least = FromMs(500), lag_most = FromMs(2500);  // until it notices a change
  Span call = FromMs(2);                                  // each call takes it so long, one after another
  Span longest_wait = FromMs(500);                        // a call that would wait longer fails
};

class Discovery {
 public:
  Discovery(Agenda& agenda, const DiscoveryTraits& traits, std::uint64_t seed)
      : agenda_(agenda), traits_(traits), random_(seed, 0xd1) {}

  // It is so from the start: noticed already.
  void Known(Listing listing) { Noticed(std::move(listing)); }
  // A change of what is so. `lag`: negative for one drawn by chance.
  void Changed(Listing listing, Span lag = Span(-1)) {
    if (lag < Span{}) {
      lag = FromMs(random_.Between(Ms(traits_.lag_least), Ms(traits_.lag_most)));
    }
    // Changes of one server are noticed in their order.
    Time at = std::max(agenda_.now() + lag, due_[listing.name]);
    due_[listing.name] = at;
    agenda_.At(at, [this, listing] { Noticed(listing); });
  }
  // How long a call made now takes; negative: it fails at once.
  Span Call() {
    if (down_) return Span(-1);
    Time from = std::max(agenda_.now(), busy_until_);
    if (from - agenda_.now() > traits_.longest_wait) return Span(-1);
    busy_until_ = from + traits_.call;
    return busy_until_ - agenda_.now();
  }
  void Down(bool down) {
    down_ = down;
    if (down && on_down) on_down();
  }
  bool down() const { return down_; }
  std::int64_t version() const { return version_; }
  const std::map<std::string, Listing>& list() const { return list_; }
  // What has changed after `from`; the deleted included.
  std::vector<Listing> After(std::int64_t from) const {
    std::vector<Listing> changed;
    for (const auto& [name, listing] : list_) {
      if (listing.version > from) changed.push_back(listing);
    }
    return changed;
  }

  std::function<void(const Listing&)> on_change;
  std::function<void()> on_down;

 private:
  void Noticed(Listing listing) {
    listing.version = ++version_;
    Listing& kept = list_[listing.name] = std::move(listing);
    if (on_change) on_change(kept);
  }
  Agenda& agenda_;
  DiscoveryTraits traits_;
  Random random_;
  std::map<std::string, Listing> list_;
  std::map<std::string, Time> due_;
  std::int64_t version_ = 0;
  Time busy_until_ = Time::min();
  bool down_ = false;
};

}  // namespace peatbend::world

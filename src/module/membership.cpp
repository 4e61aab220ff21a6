// Membership: applies the server lists of discovery and keeps the subscription to it.
#include "module/balancer_impl.h"

namespace peatbend {

using namespace std::chrono_literals;

// Subscriptions. The first one of each router is spread over a time of this length per router, up to a
// maximum, so that a restarted tier does not call at once. After failures the backoff lies between these
// bounds.
constexpr Duration kSubscribeSpacing = 4ms, kMaxSubscribeSpread = 2s;
constexpr Duration kMinSubscribeBackoff = 400ms, kMaxSubscribeBackoff = 1500ms;
// After which the start of a process has been told, while discovery is heard.
constexpr Duration kMostToldLate = 10s;

void Balancer::Impl::On(const MembershipEvent& event) {
  if (settings_.must_subscribe) UpdateSubscription(event.scope);
  if (event.scope == Scope::kFailed) return;
  if (event.scope != Scope::kDelta) {
    for (Server& server : servers_) server.state = ServerState::kGone;
  }
  for (const ServerEntry& entry : event.entries) ApplyEntry(entry);
  discovery_heard_ |= event.scope != Scope::kCached;
  table_stale_ |= event.scope != Scope::kDelta || !event.entries.empty();  // rebuilt when a request needs it
  for (std::size_t i = 0; i < servers_.size(); ++i) {  // waiting for a server that is not ready now
    while (servers_[i].state != ServerState::kReady && !servers_[i].queue.empty())
      StopWaiting(requests_.at(std::get<3>(*servers_[i].queue.begin())));
  }
  RemoveGoneServers();
}

// When the warm-up of a process counts from. The list has the wall clock's time, which may have stepped since
// this router read it: none starts in the future, and once discovery is heard a start is told soon.
TimePoint Balancer::Impl::WarmsFrom(TimePoint started) const {
  if (started == TimePoint{} || !discovery_heard_) return std::min(started, now_);
  return std::clamp(started, now_ - kMostToldLate, now_);
}

void Balancer::Impl::ApplyEntry(const ServerEntry& entry) {
  auto [at, inserted] = by_id_.try_emplace(entry.id.name, 0);
  if (inserted) {
    if (free_slots_.empty()) {
      free_slots_.push_back(static_cast<int>(servers_.size()));
      servers_.emplace_back();
    }
    at->second = free_slots_.back();
    free_slots_.pop_back();
  }
  Server& server = servers_[at->second];
  bool origin = settings_.cache_aside && entry.kind == settings_.origin_kind;
  // A new process: what was observed of the old one does not apply. All machines share one clock, so an older
  // start comes from a delayed list that describes the previous process.
  if (inserted || entry.started > server.started) {
    server = Server{.id = entry.id.name,
                    .origin = origin,
                    .started = entry.started,
                    .warms_from = WarmsFrom(entry.started),
                    .replaced = inserted ? TimePoint{} : now_,
                    .in_flight = server.in_flight,
                    .in_flight_limit =
                        origin ? std::min(kOriginMaxInitialPerRouter, kOriginInitialLimit / settings_.routers)
                               : InitialLimit(),
                    .cold_tokens = UnitInterval(Random()),
                    .cold_tokens_at = now_,
                    .queue = std::move(server.queue)};
  }
  server.state = entry.state;
  server.cell = entry.cell;
  server.zone = entry.zone;
  zone_latency_.try_emplace(entry.zone);
  server.weight = entry.weight;
}

// Subscribes at the start and again after every failure, with jittered exponential backoff. The backoff
// counts from the call and is reset once a subscription has lasted.
void Balancer::Impl::UpdateSubscription(Scope scope) {
  if (scope == Scope::kFailed) {
    if (!std::exchange(discovery_lost_, true)) AddLog("discovery lost, subscribing again");
    // With its jitter the backoff stays within the time for which the held list counts as current.
    Duration valid_for =
        settings_.subscribe_interval > Duration::zero() ? settings_.subscribe_interval : Duration::max();
    Duration max_backoff = std::clamp(valid_for / 2, kMinSubscribeBackoff, kMaxSubscribeBackoff);
    bool lasted = now_ - subscribed_at_ > 2 * kMaxSubscribeBackoff;
    subscribe_backoff_ =
        lasted ? kMinSubscribeBackoff : std::clamp(subscribe_backoff_ * 2, kMinSubscribeBackoff, max_backoff);
    subscribe_at_ = now_ + Scale(std::max(kMinSubscribeBackoff, subscribed_at_ + subscribe_backoff_ - now_),
                                 0.5 + UnitInterval(Random()));
  } else if (scope == Scope::kCached) {
    subscribe_at_ = now_ + Scale(std::min(kSubscribeSpacing * settings_.routers, kMaxSubscribeSpread),
                                 UnitInterval(Random()));
  } else {
    if (std::exchange(discovery_lost_, false)) AddLog("discovery recovered");
    subscribe_at_ = TimePoint::max();
  }
}

}  // namespace peatbend

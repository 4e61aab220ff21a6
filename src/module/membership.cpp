// Membership: what discovery tells of the servers, and being subscribed to it.
#include "module/balancer_impl.h"

namespace peatbend {

using namespace std::chrono_literals;

// Calls of discovery: the first ones lie apart, a proxy, and within; pauses after a failure, first and most.
constexpr Duration kAskApart = 4ms, kAskWithin = 2s, kPauseFirst = 400ms, kPauseMost = 1500ms;

void Balancer::Impl::On(const MembershipEvent& event) {
  if (set_.must_subscribe) KeepSubscribed(event.scope);
  if (event.scope == Scope::kFailed) return;
  if (event.scope != Scope::kDelta) {
    for (Server& server : servers_) server.state = ServerState::kGone;
  }
  for (const ServerEntry& entry : event.entries) Learn(entry);
  stale_ |= event.scope != Scope::kDelta || !event.entries.empty();  // rebuilt when a request needs it
  for (std::size_t i = 0; i < servers_.size(); ++i) {                // held for a server that is out now
    while (servers_[i].state != ServerState::kReady && !servers_[i].queue.empty())
      Requeue(requests_.at(std::get<3>(*servers_[i].queue.begin())));
  }
  Forget();
}

void Balancer::Impl::Learn(const ServerEntry& entry) {
  auto [at, fresh] = by_id_.try_emplace(entry.id.name, 0);
  if (fresh) {
    if (free_.empty()) {
      free_.push_back(static_cast<int>(servers_.size()));
      servers_.emplace_back();
    }
    at->second = free_.back();
    free_.pop_back();
  }
  Server& server = servers_[at->second];
  bool origin = set_.cache_aside && entry.kind == set_.origin_kind;
  // A new process: nothing seen of the old one holds. All machines read one clock, so an older start is
  // what a late list tells of the process before.
  if (fresh || entry.started > server.started) {
    server = Server{.id = entry.id.name,
                    .origin = origin,
                    .started = entry.started,
                    .replaced = fresh ? TimePoint{} : now_,
                    .in_flight = server.in_flight,
                    .limit = origin ? std::min(kOriginFew, kOriginFirst / set_.routers) : FirstLimit(),
                    .cold_sends = Unit(Random()),
                    .cold_at = now_,
                    .queue = std::move(server.queue)};
  }
  server.state = entry.state;
  server.cell = entry.cell;
  server.zone = entry.zone;
  zones_.try_emplace(entry.zone);
  server.weight = entry.weight;
}

// Discovery that must be asked: subscribed to at the start, and again after every failure, with jittered
// exponential backoff. It counts from the call, and begins anew once a subscription has stood.
void Balancer::Impl::KeepSubscribed(Scope scope) {
  if (scope == Scope::kFailed) {
    if (!std::exchange(lost_, true)) Say("discovery lost, subscribing again");
    // Jittered it stays within the time for which the list held counts, from discovery's return on.
    Duration counts = set_.subscribe_interval > Duration::zero() ? set_.subscribe_interval : Duration::max();
    Duration most = std::clamp(counts / 2, kPauseFirst, kPauseMost);
    bool stood = now_ - asked_at_ > 2 * kPauseMost;
    pause_ = stood ? kPauseFirst : std::clamp(pause_ * 2, kPauseFirst, most);
    subscribe_at_ = now_ + Scale(std::max(kPauseFirst, asked_at_ + pause_ - now_), 0.5 + Unit(Random()));
  } else if (scope == Scope::kCached) {
    subscribe_at_ = now_ + Scale(std::min(kAskApart * set_.routers, kAskWithin), Unit(Random()));
  } else {
    if (std::exchange(lost_, false)) Say("discovery is back");
    subscribe_at_ = TimePoint::max();
  }
}

}  // namespace peatbend

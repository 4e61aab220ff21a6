// Membership: what discovery tells of the servers, and being subscribed to it.
#include "module/brain.h"

namespace peatbend {

using namespace std::chrono_literals;

// Calls of discovery: between the first ones, a proxy; again after a failure, first and at most.
constexpr Duration kAskApart = 4ms, kResubscribeFirst = 400ms, kResubscribeMost = 6s;

void Balancer::Brain::On(const MembershipEvent& event) {
  if (set_.must_subscribe) KeepSubscribed(event.scope);
  if (event.scope == Scope::kFailed) return;
  if (event.scope != Scope::kDelta) {
    for (Server& server : servers_) server.listed = Listed::kGone;
  }
  for (const ServerEntry& entry : event.entries) Learn(entry);
  stale_ |= event.scope != Scope::kDelta || !event.entries.empty();  // rebuilt when a request needs it
  for (std::size_t i = 0; i < servers_.size(); ++i) {  // held for a server that is out now
    while (servers_[i].listed != Listed::kReady && !servers_[i].queue.empty()) {
      Requeue(requests_.at(std::get<3>(*servers_[i].queue.begin())));
    }
  }
  Forget();
}

void Balancer::Brain::Learn(const ServerEntry& entry) {
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
  bool origin = set_.aside && entry.kind == set_.origin_kind;
  // A new process: nothing seen of the old one holds. All machines read one clock, so an older start is
  // what a late list tells of the process before.
  if (fresh || entry.started > server.started) {
    server = Server{.id = entry.id.name,
                    .origin = origin,
                    .started = entry.started,
                    .replaced = fresh ? TimePoint{} : now_,
                    .in_flight = server.in_flight,
                    .limit = origin ? std::min(kOriginFew, kOriginFirst / set_.proxies) : FirstLimit(),
                    .cold_sends = Unit(Random()),
                    .cold_at = now_,
                    .queue = std::move(server.queue)};
  }
  server.listed = entry.listed;
  server.cell = entry.cell;
  server.zone = entry.zone;
  zones_.try_emplace(entry.zone);
  server.weight = entry.weight;
}

// Discovery that must be asked: subscribed to at the start, all proxies spread over a time, and again
// after every failure, with jittered exponential backoff.
void Balancer::Brain::KeepSubscribed(Scope scope) {
  if (scope == Scope::kFailed) {
    if (resubscribe_in_ == Duration::zero()) Say("discovery lost, subscribing again");
    // Jittered it stays within the time for which the list held counts, from discovery's return on.
    bool told = set_.ask_every > 2 * kResubscribeFirst;
    Duration most = told ? std::min(kResubscribeMost, set_.ask_every / 2) : kResubscribeMost;
    resubscribe_in_ = std::clamp(resubscribe_in_ * 2, kResubscribeFirst, most);
    subscribe_at_ = now_ + Scale(resubscribe_in_, 0.5 + Unit(Random()));
  } else if (scope == Scope::kCached) {
    subscribe_at_ = now_ + Scale(kAskApart * set_.proxies, Unit(Random()));
  } else {
    if (resubscribe_in_ != Duration::zero()) Say("discovery is back");
    resubscribe_in_ = Duration::zero();
    subscribe_at_ = TimePoint::max();
  }
}

}  // namespace peatbend

#include "lab/virtual_router.h"

#include <algorithm>
#include <utility>

namespace peatbend::lab {
namespace {

using world::Listing;

constexpr auto kEpoch = std::chrono::seconds(1700000000);  // of the module's clock
constexpr Span kAgain = std::chrono::milliseconds(20);     // a failed call to discovery, told to the module

TimePoint At(Time time) { return TimePoint{std::chrono::duration_cast<Duration>(kEpoch + time)}; }

}  // namespace

VirtualRouter::VirtualRouter(const Day& day, int number, std::uint64_t seed)
    : day_(day), number_(number), seed_(seed), settings_(SettingsFor(day.scenario, number)) {}

void VirtualRouter::Later(Span in, std::function<void()> what) {
  day_.agenda.In(in, [this, life = life_, what = std::move(what)] {
    if (life == life_ && balancer_) what();
  });
}

void VirtualRouter::Start() {
  ++life_;
  balancer_ = std::make_unique<Balancer>(settings_, seed_ + life_);
  std::vector<Listing> all;
  for (const auto& [name, listing] : day_.fleet.discovery().list()) all.push_back(listing);
  Tell(Scope::kCached, all);
}

void VirtualRouter::Ask(const Event& event) {
  std::vector<Action> actions;
  balancer_->Handle(At(day_.agenda.now()), event, actions);
  for (const Action& action : actions) std::visit([this](const auto& one) { Do(one); }, action);
}

void VirtualRouter::Tell(Scope scope, const std::vector<Listing>& listings) {
  std::vector<ServerEntry> entries;
  for (const Listing& listing : listings) {
    bool gone = listing.status == Listing::Status::kDeleted;
    bool serves = listing.status == Listing::Status::kServing;
    if (gone && scope != Scope::kDelta) continue;
    ServerEntry entry;
    entry.id.name = listing.name;
    entry.state = gone ? ServerState::kGone : serves ? ServerState::kReady : ServerState::kDraining;
    entry.kind = listing.place < 0 ? 1 : 0;
    entry.zone = listing.zone;
    if (listing.started != Time{}) entry.started = At(listing.started);
    places_[listing.name] = listing.place;
    if (scope != Scope::kCached) day_.referee.Told(number_, listing.name, serves, day_.agenda.now());
    if (!serves) idle_.erase(listing.place);
    entries.push_back(entry);
  }
  Ask(MembershipEvent{scope, entries});
}

void VirtualRouter::Do(const Subscribe&) {
  Span way = day_.fleet.Delay(0, RouterZone(day_.scenario, number_));
  Span call = day_.fleet.discovery().Call();
  if (call < Span{}) {
    return Later(way * 2 + kAgain, [this] { Ask(MembershipEvent{Scope::kFailed, {}}); });
  }
  Later(way * 2 + call, [this] {
    if (day_.fleet.discovery().down()) return Ask(MembershipEvent{Scope::kFailed, {}});
    watching_ = true;
    std::vector<Listing> all;
    for (const auto& [name, listing] : day_.fleet.discovery().list()) all.push_back(listing);
    Tell(Scope::kFull, all);
  });
}

void VirtualRouter::Changed(const Listing& listing) {
  if (!up() || !watching_) return;
  Later(day_.fleet.Delay(0, RouterZone(day_.scenario, number_)),
        [this, listing] { Tell(Scope::kDelta, {listing}); });
}

void VirtualRouter::WatchLost() {
  if (!up() || !std::exchange(watching_, false)) return;
  Later(Span{}, [this] { Ask(MembershipEvent{Scope::kFailed, {}}); });
}

void VirtualRouter::Take(const Try& one) {
  RequestId id{++last_id_};
  const Planned& planned = day_.plan.requests[one.request];
  Request& request = open_[id];
  request.one = one;
  request.deadline = one.sent + one.waits;
  by_try_[one.id] = id;
  RequestEvent event;
  event.id = id;
  event.key = Key{std::stoull(day_.plan.keys[static_cast<std::size_t>(planned.key)], nullptr, 16)};
  event.tenant = planned.tenant;
  event.cls = planned.cls;
  event.write = day_.scenario.classes[static_cast<std::size_t>(planned.cls)].write;
  event.retry = one.number > 0;
  event.remaining = std::max(Duration::zero(), Duration(request.deadline - day_.agenda.now()));
  Ask(event);
  Forget(id);
}

void VirtualRouter::ClientGone(const std::string& try_id) {
  auto at = by_try_.find(try_id);
  if (at == by_try_.end()) return;
  RequestId id = at->second;
  by_try_.erase(at);
  auto found = open_.find(id);
  if (found == open_.end() || std::exchange(found->second.finished, true) || !up()) return;
  Ask(ClientGoneEvent{id});
  Forget(id);
}

void VirtualRouter::Forget(RequestId id) {
  auto at = open_.find(id);
  if (at != open_.end() && at->second.finished && at->second.out == 0) {
    by_try_.erase(at->second.one.id);
    open_.erase(at);
  }
}

void VirtualRouter::Finish(RequestId id, std::function<void(const Try&)> tell) {
  auto at = open_.find(id);
  if (at == open_.end() || std::exchange(at->second.finished, true)) return;
  day_.agenda.In(kToRouter, [one = at->second.one, tell = std::move(tell)] { tell(one); });
  if (at->second.out == 0) Later(Span{}, [this, id] { Forget(id); });
}

void VirtualRouter::Do(const Reject& reject) {
  Span back = std::min(reject.backoff, settings_.max_retry_after);
  Finish(reject.id, [this, back](const Try& one) { day_.crowd.Rejected(one, back); });
}

void VirtualRouter::Do(const Fail& fail) {
  Finish(fail.id, [this](const Try& one) { day_.crowd.Failed(one); });
}

void VirtualRouter::Do(const Cancel& cancel) {
  auto at = open_.find(cancel.id);
  if (at == open_.end() || static_cast<std::size_t>(cancel.attempt) >= at->second.attempts.size()) return;
  AttemptPtr attempt = at->second.attempts[static_cast<std::size_t>(cancel.attempt)];
  if (attempt->done) return;
  Later(Span{}, [this, attempt] { Ended(attempt, Result::kCancelled); });
}

void VirtualRouter::Do(const SetTimer& timer) {
  Later(timer.delay, [this, mark = timer.id] { Ask(TimerEvent{mark}); });
}

void VirtualRouter::Do(const CloseIdleConnections& release) {
  if (auto at = places_.find(release.server.name); at != places_.end()) idle_.erase(at->second);
}

}  // namespace peatbend::lab

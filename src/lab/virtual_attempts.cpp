// What becomes of what a router of simulated time sends: connections, servers' verdicts, and the outcome that
// the module is told.
#include <algorithm>
#include <utility>

#include "lab/virtual_router.h"

namespace peatbend::lab {
namespace {

using world::FromMs;
using world::JobPtr;
using world::Verdict;

constexpr Span kRest = std::chrono::milliseconds(2);  // of a connection between requests

}  // namespace

void VirtualRouter::Do(const Send& send) {
  auto attempt = std::make_shared<Attempt>();
  attempt->id = send.id;
  attempt->member = send.server.name;
  attempt->sent = day_.agenda.now();
  auto at = open_.find(send.id);
  if (at == open_.end()) {
    return Later(Span{}, [this, attempt] {
      OutcomeEvent never;
      never.id = attempt->id, never.server = attempt->member, never.result = Result::kNeverSent,
      never.done = true;
      Ask(never);
    });
  }
  Request& request = at->second;
  attempt->number = static_cast<int>(request.attempts.size());
  request.attempts.push_back(attempt);
  ++request.out;
  attempts_.push_back(attempt);
  Span left = request.deadline - day_.agenda.now();
  auto place = places_.find(attempt->member);
  if (request.finished || left <= Span{} || attempt->number >= settings_.try_limit || place == places_.end())
    return Later(Span{}, [this, attempt] { Ended(attempt, Result::kNeverSent); });
  attempt->place = place->second;
  Span limit = send.give_up_after == Duration::zero() ? left : std::min<Span>(left, send.give_up_after);
  Later(limit, [this, attempt] {
    if (attempt->done) return;
    if (attempt->written) idle_.erase(attempt->place);  // they may be as dead
    Ended(attempt, attempt->written ? Result::kLate : Result::kNoConn);
  });
  Carry(attempt);
}

// On a connection that stands idle, or a new one.
void VirtualRouter::Carry(const AttemptPtr& attempt) {
  int zone = attempt->place < 0 ? 0 : day_.fleet.server(attempt->place).zone();
  Span way = day_.fleet.Delay(RouterZone(day_.scenario, number_), zone);
  auto& idle = idle_[attempt->place];
  Span keep = settings_.keepalive * 4 / 5;
  while (!idle.empty() && day_.agenda.now() - idle.front() > keep) {
    idle.erase(idle.begin());
    if (attempt->place >= 0) day_.fleet.server(attempt->place).Disconnect();
  }
  for (std::size_t i = idle.size(); i-- > 0;) {
    Span stood = day_.agenda.now() - idle[i];
    if (stood < kRest) continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    attempt->written = true;
    if (attempt->place >= 0 && day_.fleet.server(attempt->place).FoundStale(stood)) {
      return Later(way * 2, [this, attempt] { Ended(attempt, Result::kReset); });
    }
    return Later(way, [this, attempt, way] { Arrive(attempt, way); });
  }
  Dial(attempt, way);
}

void VirtualRouter::Dial(const AttemptPtr& attempt, Span way) {
  auto fails = [this, attempt](Span in) { Later(in, [this, attempt] { Ended(attempt, Result::kNoConn); }); };
  Span timeout = settings_.dial_timeout;
  if (attempt->place >= 0) {
    world::CacheServer& server = day_.fleet.server(attempt->place);
    if (server.state() == world::CacheServer::State::kCut || day_.fleet.LosesDial()) return fails(timeout);
    if (!server.Connect()) return fails(way * 2);
  }
  Later(way * 2, [this, attempt, way] {
    if (attempt->done) return;
    attempt->written = true;
    Later(way, [this, attempt, way] { Arrive(attempt, way); });
  });
}

void VirtualRouter::Arrive(const AttemptPtr& attempt, Span way) {
  if (attempt->done && attempt->place >= 0) return;
  auto found = open_.find(attempt->id);
  if (found == open_.end()) return;
  const Try& one = found->second.one;
  const Planned& planned = day_.plan.requests[one.request];
  const ClassOfRequests& cls = day_.scenario.classes[static_cast<std::size_t>(planned.cls)];
  bool origin = attempt->place < 0;
  int zone = origin ? 0 : day_.fleet.server(attempt->place).zone();
  if (!origin && day_.fleet.server(attempt->place).state() != world::CacheServer::State::kUp) {
    bool dead = day_.fleet.server(attempt->place).state() == world::CacheServer::State::kDead;
    if (dead) Later(way, [this, attempt] { Ended(attempt, Result::kReset); });
    return;  // cut: silence
  }
  attempt->seen = day_.referee.Attempt(one.id, attempt->place, attempt->member, number_, day_.agenda.now());
  day_.referee.AttemptWhole(attempt->seen, day_.agenda.now(), zone);
  day_.counter.Count(attempt->place, day_.agenda.now());
  world::Ask ask;
  ask.id = one.id;
  ask.key = day_.plan.keys[static_cast<std::size_t>(planned.key)];
  ask.idempotency = one.idempotency;
  ask.write = cls.write;
  ask.router = number_;
  ask.work = FromMs(planned.work_ms);
  ask.bytes = day_.scenario.value_bytes;
  // Weak: the attempt holds the job, which holds this.
  std::weak_ptr<Attempt> asks = attempt;
  auto answer = [this, asks, seen = attempt->seen, way, life = life_](Verdict verdict) {
    if (ProvesNeverRan(verdict)) day_.referee.AttemptNeverRan(seen);
    auto held = asks.lock();
    if (held && life == life_ && up()) Later(way, [this, held, verdict] { Answered(held, verdict); });
  };
  if (origin) {
    attempt->job = day_.fleet.AtOrigin(ask, answer);
    return;
  }
  bool resets = day_.fleet.server(attempt->place).Resets();
  attempt->job = day_.fleet.AtServer(attempt->place, ask, answer);
  if (resets) Later(way, [this, attempt] { Ended(attempt, Result::kReset); });
}

void VirtualRouter::Answered(const AttemptPtr& attempt, Verdict verdict) {
  if (attempt->done) return;
  if (verdict != Verdict::kSpoilt) idle_[attempt->place].push_back(day_.agenda.now());
  switch (verdict) {
    case Verdict::kValue:
      return Ended(attempt, Result::kGood, attempt->place < 0 ? CacheStatus::kNone : CacheStatus::kHit);
    case Verdict::kMiss:
      return Ended(attempt, Result::kMiss, CacheStatus::kMiss);
    case Verdict::kPending:
      return Ended(attempt, Result::kMiss, CacheStatus::kMissFetching);
    case Verdict::kBusy:
      return Ended(attempt, Result::kFull);
    case Verdict::kFailed:
    case Verdict::kSpoilt:
      return Ended(attempt, Result::kBad);
  }
}

void VirtualRouter::Ended(const AttemptPtr& attempt, Result result, CacheStatus note) {
  if (std::exchange(attempt->done, true)) return;
  std::erase(attempts_, attempt);
  if (attempt->job && (result == Result::kLate || result == Result::kCancelled)) {
    int place = attempt->place;
    JobPtr job = attempt->job;
    Span way = place < 0
                   ? Span{}
                   : day_.fleet.Delay(RouterZone(day_.scenario, number_), day_.fleet.server(place).zone());
    day_.agenda.In(way, [this, place, job] {
      place < 0 ? day_.fleet.origin().Cancel(job) : day_.fleet.server(place).Cancel(job);
    });
  }
  auto found = open_.find(attempt->id);
  OutcomeEvent event;
  event.id = attempt->id;
  event.attempt = attempt->number;
  event.server = attempt->member;
  event.result = result;
  event.cache_status = note;
  event.elapsed = day_.agenda.now() - attempt->sent;
  event.done = true;
  if (found != open_.end()) {
    Request& request = found->second;
    --request.out;
    if (result == Result::kGood && !std::exchange(request.finished, true)) {
      const Planned& planned = day_.plan.requests[request.one.request];
      std::string value = MakeValue(day_.plan.keys[static_cast<std::size_t>(planned.key)], request.one.id,
                                    attempt->member, day_.scenario.value_bytes);
      day_.agenda.In(kToRouter, [this, one = request.one, value] { day_.crowd.Served(one, value); });
    }
    event.done = request.finished;
  }
  Ask(event);
  Forget(attempt->id);
}

void VirtualRouter::ServerDied(int place) {
  idle_.erase(place);
  if (!up()) return;
  for (const AttemptPtr& attempt : attempts_) {
    if (attempt->place != place || attempt->done) continue;
    Later(FromMs(0.1),
          [this, attempt] { Ended(attempt, attempt->written ? Result::kReset : Result::kNoConn); });
  }
}

}  // namespace peatbend::lab

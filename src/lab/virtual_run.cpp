#include "lab/virtual_run.h"

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_map>

#include "config/config.h"
#include "lab/crowd.h"
#include "lab/warm.h"

namespace peatbend::lab {
namespace {

using world::Agenda;
using world::Fleet;
using world::FromMs;
using world::JobPtr;
using world::Listing;
using world::Verdict;

constexpr Span kToRouter = std::chrono::microseconds(100);  // a client's way to its router
constexpr Span kRest = std::chrono::milliseconds(2);        // of a connection between requests
constexpr auto kEpoch = std::chrono::seconds(1700000000);   // of the module's clock
constexpr Span kAgain = std::chrono::milliseconds(20);      // a failed call to discovery, told to the module

TimePoint At(Time time) { return TimePoint{std::chrono::duration_cast<Duration>(kEpoch + time)}; }

class Day;

// One router: the module, its timers, requests and connections.
class VirtualRouter {
 public:
  VirtualRouter(Day& day, int number, std::uint64_t seed);
  void Take(const Try& one);
  void ClientGone(const std::string& id);
  void Changed(const Listing& listing);
  void WatchLost();
  void ServerDied(int place);
  void Start();
  // Ends it; answers nothing any more.
  void Kill() {
    balancer_.reset(), ++life_, attempts_.clear(), open_.clear(), idle_.clear(), watching_ = false;
  }
  bool up() const { return balancer_ != nullptr; }

 private:
  struct Attempt {
    RequestId id{};
    int number = 0;
    std::string member;
    int place = 0;
    Time sent{};
    bool written = false, done = false;
    JobPtr job;
    std::size_t seen = 0;  // the referee's number
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Request {
    Try one;
    Time deadline{};
    bool finished = false;
    int out = 0;
    std::vector<AttemptPtr> attempts;
  };

  void Ask(const Event& event);
  void Do(const Send& send);
  void Do(const Refuse& refuse);
  void Do(const Fail& fail);
  void Do(const Cancel& cancel);
  void Do(const SetTimer& timer);
  void Do(const Subscribe&);
  void Do(const Release& release);
  void Do(const Log&) {}
  void Tell(Scope scope, const std::vector<Listing>& listings);
  void Carry(const AttemptPtr& attempt);
  void Dial(const AttemptPtr& attempt, Span way);
  void Arrive(const AttemptPtr& attempt, Span way);
  void Answered(const AttemptPtr& attempt, Verdict verdict);
  void Ended(const AttemptPtr& attempt, Result result, Note note = Note::kNone);
  void Forget(RequestId id);
  // The final answer without a value, on its way to the client.
  void Finish(RequestId id, std::function<void(const Try&)> tell);
  // What is put down for this router's present life alone.
  void Later(Span in, std::function<void()> what);

  Day& day_;
  int number_;
  std::uint64_t seed_, life_ = 0;
  Settings settings_;
  std::unique_ptr<Balancer> balancer_;
  std::uint32_t last_id_ = 0;
  std::map<RequestId, Request> open_;
  std::map<std::string, RequestId> by_try_;
  std::vector<AttemptPtr> attempts_;
  std::map<int, std::vector<Time>> idle_;  // by place: since when, the last used last
  std::map<std::string, int> places_;      // by name, as told
  bool watching_ = false;
};

class Day : public Carrier {
 public:
  Day(const Scenario& given, std::uint64_t seed)
      : scenario(given),
        plan(DrawPlan(given, seed)),
        fleet(agenda, given.fleet, seed),
        referee(given),
        crowd(agenda, given, plan, referee, *this, seed) {
    Wire();
    for (int r = 0; r < scenario.routers; ++r)
      routers.push_back(
          std::make_unique<VirtualRouter>(*this, r, seed * 1000 + static_cast<std::uint64_t>(r)));
    FillCaches(fleet, scenario, plan);
    fleet.Plan(scenario.troubles);
    for (const RouterEvent& event : scenario.router_events) PlanRouters(event);
  }

  DayResult Run(std::uint64_t seed) {
    for (auto& router : routers) router->Start();
    crowd.Start();
    agenda.RunUntil(scenario.lasts + LongestDeadline(scenario) + FromMs(scenario.grace_ms + 500));
    return Reckon(scenario, seed, plan, crowd.outcomes(), referee, counter.Read(fleet));
  }

  void Send(const Try& one) override {
    auto& router = *routers[static_cast<std::size_t>(one.router)];
    if (!router.up()) {
      agenda.In(kToRouter * 2, [this, one] { crowd.Unreachable(one); });
      return;
    }
    agenda.In(kToRouter, [this, one] {
      auto& at = *routers[static_cast<std::size_t>(one.router)];
      if (!at.up()) return crowd.Unreachable(one);
      at.Take(one);
    });
    agenda.In(one.waits + FromMs(scenario.grace_ms),
              [this, one] { routers[static_cast<std::size_t>(one.router)]->ClientGone(one.id); });
  }

  const Scenario& scenario;
  Agenda agenda;
  Plan plan;
  Fleet fleet;
  Referee referee;
  Crowd crowd;
  LoadCounter counter;
  std::vector<std::unique_ptr<VirtualRouter>> routers;

 private:
  void Wire() {
    fleet.on_change = [this](int place, world::Change change) {
      if (change != world::Change::kDied) return;
      for (auto& router : routers) router->ServerDied(place);
    };
    fleet.on_fall = [this](int place) { referee.Fell(place, agenda.now()); };
    fleet.on_origin_fall = [this](double share) { referee.OriginFell(share, agenda.now()); };
    fleet.discovery().on_change = [this](const Listing& listing) {
      referee.Listed(listing.name, listing.status == Listing::Status::kServing, agenda.now());
      for (auto& router : routers) router->Changed(listing);
    };
    auto lost = [this] {
      for (auto& router : routers) router->WatchLost();
    };
    fleet.discovery().on_down = lost;
    fleet.on_discovery_move = lost;
  }

  void PlanRouters(const RouterEvent& event) {
    using What = RouterEvent::What;
    if (event.what == What::kHup || event.what == What::kUpgrade) return;  // the module is not told of it
    if (event.what == What::kStall) return;                                // no processes to stand still
    for (std::size_t i = 0; i < event.routers.size(); ++i) {
      int number = event.routers[i];
      agenda.At(event.at + static_cast<int>(i) * event.every, [this, number, event] {
        // A planned stop answers what it took; the virtual one is simply away for clients that come later.
        auto& router = *routers[static_cast<std::size_t>(number)];
        referee.RouterEnded(number);
        router.Kill();
        crowd.RouterDown(number, event.what == RouterEvent::What::kTerm
                                     ? FromMs(300)
                                     : world::FromSeconds(scenario.front_notices_s));
        agenda.In(event.back, [this, number] {
          routers[static_cast<std::size_t>(number)]->Start();
          referee.RouterBack(number);
          crowd.RouterUp(number);
        });
      });
    }
  }
};

VirtualRouter::VirtualRouter(Day& day, int number, std::uint64_t seed)
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
    entry.listed = gone ? Listed::kGone : serves ? Listed::kReady : Listed::kDraining;
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
  Ask(GoneEvent{id});
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

void VirtualRouter::Do(const Refuse& refuse) {
  Span back = std::min(refuse.backoff, settings_.max_retry_after);
  Finish(refuse.id, [this, back](const Try& one) { day_.crowd.Rejected(one, back); });
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
  Later(timer.in, [this, mark = timer.mark] { Ask(TimerEvent{mark}); });
}

void VirtualRouter::Do(const Release& release) {
  if (auto at = places_.find(release.server.name); at != places_.end()) idle_.erase(at->second);
}

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
      return Ended(attempt, Result::kGood, attempt->place < 0 ? Note::kNone : Note::kHit);
    case Verdict::kMiss:
      return Ended(attempt, Result::kMiss, Note::kMiss);
    case Verdict::kPending:
      return Ended(attempt, Result::kMiss, Note::kMissFetching);
    case Verdict::kBusy:
      return Ended(attempt, Result::kFull);
    case Verdict::kFailed:
    case Verdict::kSpoilt:
      return Ended(attempt, Result::kBad);
  }
}

void VirtualRouter::Ended(const AttemptPtr& attempt, Result result, Note note) {
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
  event.note = note;
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

}  // namespace

DayResult RunVirtually(const Scenario& scenario, std::uint64_t seed) { return Day(scenario, seed).Run(seed); }

}  // namespace peatbend::lab

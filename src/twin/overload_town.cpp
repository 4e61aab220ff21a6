#include "twin/overload_town.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace peatbend::twin {
namespace {

using namespace std::chrono_literals;

constexpr Span kPatience = 1s;  // of a client
constexpr std::array kWorth{5.0, 2.0, 2.0, 1.0}, kWork{1.0, 1.0, 2.0, 1.0}, kPart{0.15, 0.25, 0.2, 0.4};
constexpr double kMeanWork = 1.2;

double WorthOf(int cls) { return kWorth[static_cast<std::size_t>(cls)]; }
double WorkOf(int cls) { return kWork[static_cast<std::size_t>(cls)]; }
double ValueOf(int cls) { return WorthOf(cls) / WorkOf(cls); }

PriorityOrder TownOrder() {
  Settings settings;
  std::vector<Duration> works;
  for (std::size_t i = 0; i < kWorth.size(); ++i) {
    settings.classes.push_back({});
    settings.classes.back().worth = kWorth[i];
    works.push_back(world::FromMs(kWork[i]));
  }
  return PriorityOrder(settings, works);
}

world::Weighted Uneven(std::size_t routers) {
  std::vector<double> weights;
  for (std::size_t r = 0; r < routers; ++r) weights.push_back(static_cast<double>(1 + r % 10));
  return world::Weighted(weights);
}

}  // namespace

struct Town::Router {
  Router(TownSetup setup, double bands, std::size_t number)
      : cut({.controller = {.bands = bands}}, number + 1, {1, 1, 1}, Time{}),
        tenths({}, Time{}),
        shedder(setup.law, setup.seed, 100 + number) {}
  overload::LoadShedder cut;
  overload::RetryBudget tenths;
  Shedder shedder;
  int in_flight = 0;
};

Town::Town(TownSetup setup)
    : setup_(setup),
      random_(setup.seed, 1),
      service_(setup.seed, 2),
      links_(setup.seed, 3),
      tries_(setup.seed, 4),
      order_(TownOrder()),
      which_(Uneven(setup.routers)) {
  for (std::size_t r = 0; r < setup.routers; ++r) {
    routers_.push_back(std::make_unique<Router>(setup, order_.bands(), r));
    agenda_.At(world::FromMs(random_.Between(0, 100)), [this, r] { Window(r); });
  }
  agenda_.At({}, [this] { Next(); });
  if (setup.law == Law::kBreakwater) agenda_.At({}, [this] { Deal(); });
}

Town::~Town() = default;

std::vector<Second>& Town::Run() {
  agenda_.RunUntil(setup_.end);
  seconds_.resize(static_cast<std::size_t>(setup_.end / 1s));
  for (std::size_t second = 0; second < seconds_.size(); ++second) Judge(second);
  return seconds_;
}

Second& Town::Now() {
  auto at = static_cast<std::size_t>(agenda_.now() / 1s);
  if (seconds_.size() <= at) seconds_.resize(at + 1), arrived_.resize(at + 1);
  return seconds_[at];
}

void Town::Next() {
  auto request = std::make_shared<Request>();
  request->id = random_.Word();
  static const world::Weighted parts(std::vector<double>(kPart.begin(), kPart.end()));
  request->asked.cls = static_cast<int>(parts.Draw(random_));
  request->asked.over_quota = random_.Chance(0.05);
  request->asked.id = request->id;
  request->tenant = random_.Chance(0.6) ? 0 : 1 + static_cast<int>(random_.Below(2));
  request->at_once = random_.Chance(0.5);
  Now().asked += WorthOf(request->asked.cls);
  arrived_[seconds_.size() - 1].push_back(request->asked.cls);
  Ask(request);
  double rate = kCapacity / kMeanWork * setup_.load * (During() ? setup_.multiple : 1);
  agenda_.In(world::FromSeconds(random_.Exponential(1 / rate)), [this] { Next(); });
}

bool Town::Stalled(std::size_t r) const {
  Time middle = (setup_.from + setup_.until) / 2;
  return r < setup_.stalled && agenda_.now() >= middle && agenda_.now() < middle + 3s;
}

bool Town::Shed(Router& router, const Request& request, Span& come_back) {
  std::uint64_t work = order_.WorkOf(request.asked);
  double rank = order_.PriorityOf(request.asked);
  auto verdict = router.cut.Decide(rank, work, request.tenant, request.id);
  come_back = 1s;
  if (setup_.law == Law::kBound) return router.in_flight >= static_cast<int>(100 / setup_.routers);
  if (setup_.law < Law::kAlone)
    return router.shedder.Shed(agenda_.now(), rank, static_cast<double>(work), router.in_flight);
  come_back = verdict.retry_after;
  return verdict.shed;
}

void Town::Ask(const std::shared_ptr<Request>& request) {
  std::size_t r = which_.Draw(tries_);
  // Classes do not come to all routers alike.
  bool at_home = setup_.routers > 3 && tries_.Chance(0.6);
  while (Stalled(r) || (at_home && r % 3 != static_cast<std::size_t>(request->asked.cls) % 3))
    r = which_.Draw(tries_);
  Router& router = *routers_[r];
  ++Now().requests;
  PriorityInput& asked = request->asked;
  asked.retry = request->tries++ > 0;
  Span come_back{};
  bool shed = Shed(router, *request, come_back);
  if (!asked.over_quota) (shed ? Now().rejected : Now().served).push_back(ValueOf(asked.cls));
  if (shed) return Again(request, request->at_once ? 10ms : come_back);
  router.tenths.OnFirstAttempt(agenda_.now());
  ++Now().taken;
  Attempt(request, r, agenda_.now());
}

void Town::Again(const std::shared_ptr<Request>& request, Span in) {
  if (request->tries < 4) agenda_.In(in, [this, request] { Ask(request); });
}

void Town::Attempt(const std::shared_ptr<Request>& request, std::size_t r, Time came) {
  ++routers_[r]->in_flight;
  auto given_up = std::make_shared<bool>(false);
  queue_.push_back({request, r, agenda_.now(), given_up});
  agenda_.At(came + kPatience, [this, request, r, given_up] {
    if (std::exchange(*given_up, true)) return;
    --routers_[r]->in_flight;
    routers_[r]->cut.window().OnLost(order_.WorkOf(request->asked));
    Again(request, 10ms);
  });
  Serve();
}

void Town::Serve() {
  while (busy_ < kWorkers && !queue_.empty()) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    ++busy_;
    Span waited = agenda_.now() - job.came;
    waited_ms_ = world::Ms(waited);
    double work = WorkOf(job.request->asked.cls), times = During() ? setup_.slow : 1;
    double ms = (5 + service_.Exponential(15)) * work * times;
    agenda_.In(world::FromMs(ms), [this] { --busy_, Serve(); });
    Span far = agenda_.now() >= setup_.from ? setup_.far : Span{};
    agenda_.In(world::FromMs(ms) + far, [this, job, waited] { End(job, waited); });
  }
}

void Town::End(const Job& job, Span waited) {
  Router& router = *routers_[job.router];
  std::uint64_t work = order_.WorkOf(job.request->asked);
  // What a router can know: how long the answer took beyond the least that such answers have taken.
  Span wait = agenda_.now() - job.came - world::FromMs(5 * WorkOf(job.request->asked.cls));
  router.cut.window().OnServed(work, false);  // the origin has done it, whoever still waits
  router.cut.window().OnQueueDelay(overload::DelayLocation::kOrigin, wait);
  router.shedder.Waited(waited);  // the other laws are told the truth
  if (std::exchange(*job.given_up, true)) return;
  --router.in_flight;
  if (service_.Chance(During() ? setup_.fails_during : setup_.fails)) {
    if (!router.tenths.TryRetry(agenda_.now())) return Again(job.request, 10ms);
    ++Now().further;
    return Attempt(job.request, job.router, agenda_.now());
  }
  router.shedder.Accepted();
  Now().worth += WorthOf(job.request->asked.cls);
}

void Town::Window(std::size_t r) {
  agenda_.In(overload::kWindowLength, [this, r] { Window(r); });
  if (Stalled(r)) return;
  routers_[r]->shedder.Window(agenda_.now());
  auto sign = routers_[r]->cut.CloseWindow(agenda_.now());
  if (!sign || setup_.law != Law::kFleet) return;
  auto read = std::make_shared<LoadSignal>();
  if (Decode(Encode(*sign), *read)) Tell(r, read);
}

void Town::Tell(std::size_t r, const std::shared_ptr<const LoadSignal>& sign) {
  for (std::size_t to = 0; to < routers_.size(); ++to) {
    if (to == r || (setup_.split && During() && to % 2 != r % 2)) continue;
    if (links_.Chance(setup_.lost)) continue;
    for (int copies = links_.Chance(setup_.doubled) ? 2 : 1; copies > 0; --copies) {
      agenda_.In(world::FromMs(links_.Between(1, world::Ms(setup_.late))), [this, to, sign] {
        if (!Stalled(to)) routers_[to]->cut.Handle(agenda_.now(), *sign);
      });
    }
  }
}

// Each round trip the origin's pool of credits follows its wait, and the routers have their parts at once.
void Town::Deal() {
  agenda_.In(20ms, [this] { Deal(); });
  if (queue_.empty()) waited_ms_ = 0;
  if (waited_ms_ <= kAimMs)
    credits_ += std::max(1.0, 0.001 * credits_ * static_cast<double>(routers_.size()));
  else
    credits_ *= std::max(0.5, 1 - 0.02 * (waited_ms_ - kAimMs) / kAimMs);
  credits_ = std::clamp(credits_, static_cast<double>(routers_.size()), 1000.0);
  double asked = 0;
  for (const auto& router : routers_) asked += router->shedder.asked();
  for (const auto& router : routers_)
    router->shedder.SetCredits(std::max(1.0, credits_ * router->shedder.asked() / std::max(1.0, asked)));
}

void Town::Judge(std::size_t at) {
  Second& second = seconds_[at];
  // Pairs of a rejected request and a served one worth less for its work, each request in one pair.
  std::ranges::sort(second.rejected);
  std::ranges::sort(second.served);
  auto served = second.served.begin();
  for (double rejected : second.rejected)
    if (served != second.served.end() && *served < rejected) ++second.inverted, ++served;
  // What one router that sees all could earn of this second's first tries, attempts that fail reckoned with.
  bool during =
      Time(1s) * static_cast<int>(at) >= setup_.from && Time(1s) * static_cast<int>(at) < setup_.until;
  double room = during ? kCapacity / setup_.slow * (1 - setup_.fails_during) : kCapacity * (1 - setup_.fails);
  std::ranges::sort(arrived_[at], [&](int a, int b) { return ValueOf(a) > ValueOf(b); });
  for (int cls : arrived_[at])
    if (room >= WorkOf(cls)) room -= WorkOf(cls), second.best += WorthOf(cls);
}

}  // namespace peatbend::twin

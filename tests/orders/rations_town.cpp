#include "orders/rations_town.h"

#include <algorithm>
#include <tuple>

namespace peatbend::orders {

using rations::Message;
using rations::Seat;
using What = RationsTown::Event::What;
using Way = Parcel::Way;

RationsTown::RationsTown(const RationsSetup& setup)
    : restarts_(setup.restarts),
      deaths_(setup.deaths),
      starts_(setup.starts),
      twice_(setup.twice),
      again_(setup.again),
      processes_(setup.routers) {
  auto world = std::make_shared<World>();
  world->setup = setup;
  world->table = RationsOf(setup.burst, setup.nested);
  world_ = world;
  seats_.fill(Of(SeatState{Seat(1), {}, 0}));
  for (std::size_t r = 0; r < static_cast<std::size_t>(setup.routers); ++r) routers_[r] = Fresh(r, 1);
  if (setup.begun > 0) BeginWith(setup.begun);
}

RouterPtr RationsTown::Fresh(std::size_t self, std::uint64_t start) const {
  Router router;
  router.self = self;
  router.nonce = 16 * (self + 1) + (Is(Careless::kSameNonce) ? 1 : start);
  router.goes = setup().goes;
  router.requests = setup().requests;
  if (setup().requests > 0) router.wallet.emplace(world_->table, router.nonce);
  return Sealed(std::move(router), setup().nested > 0);
}

// ---- What may happen --------------------------------------------------------------------------------------

std::vector<RationsTown::Event> RationsTown::Events() const {
  std::vector<Event> events;
  events.reserve(2 * bag_.size() + 24);
  auto may = [&](What what, std::size_t who, ParcelPtr parcel = nullptr) {
    events.push_back({what, static_cast<std::uint8_t>(who), {}, 0, std::move(parcel)});
  };
  for (std::size_t i = 0; i < bag_.size(); ++i) {
    if (i > 0 && bag_[i]->Same(*bag_[i - 1])) continue;
    may(What::kDelivered, i, bag_[i]);
    if (twice_ > 0) may(What::kKept, i, bag_[i]);
    if (bag_[i]->way == Way::kToSeat && seats_[bag_[i]->other]->former) may(What::kToFormer, i, bag_[i]);
  }
  for (std::size_t r = 0; r < static_cast<std::size_t>(setup().routers); ++r) {
    const Router& router = *routers_[r];
    auto acts = [&](Act act, std::uint64_t of = 0) {
      events.push_back({What::kActs, static_cast<std::uint8_t>(r), act, of, nullptr});
    };
    if (!router.alive) {
      if (starts_ > 0) may(What::kStarted, r);
      continue;
    }
    if (router.goes > 0) acts(Act::kTry);
    if (router.fence() && router.fence()->phase() == Fence::Phase::kAsking &&
        router.fence()->promises() >= rations::kMajority)
      acts(Act::kBegin);
    if (router.keeps()) {
      if (setup().requests == 0 && router.tokens > 0) acts(Act::kReckon);
      if (std::ranges::any_of(router.pending, [](const auto& p) { return p.number == 0; }))
        acts(Act::kAskToConfirm);
      if (!router.kept->gathered().empty()) acts(Act::kTurn);
      for (const auto& [nonce, tokens] : router.given) {
        bool there = std::ranges::any_of(
            routers_, [&](const auto& one) { return one && one->alive && one->nonce == nonce; });
        if ((Is(Careless::kTimed) && now_ > router.given_at) || (Is(Careless::kDeadAgain) && !there))
          acts(Act::kTakeBack, nonce);
      }
    }
    if (router.requests > 0) acts(Act::kRequest);
    if (router.requests > 0 && setup().nested > 0) acts(Act::kRequestInside);
    bool due = router.wallet && router.wallet->due(now_);
    bool again = router.wallet && !due && router.wallet->out() && again_ > 0;
    for (std::size_t k = 0; (due || again) && k < routers_.size(); ++k)
      if (routers_[k] && routers_[k]->keeps()) acts(again ? Act::kDrawAgain : Act::kDraw, k);
    if (Is(Careless::kDebtForgotten) && router.wallet && router.wallet->owes() && !router.wallet->out())
      acts(Act::kDropDebt);
    if (deaths_ > 0) acts(Act::kDie);
  }
  for (std::size_t s = 0; restarts_ > 0 && s < kSeats; ++s) may(What::kSeatAnew, s);
  if (now_ < setup().ticks) may(What::kTick, 0);
  return events;
}

std::string RationsTown::Event::Text() const {
  constexpr const char* kActs[] = {"tries",
                                   "begins",
                                   "reckons",
                                   "asks to confirm",
                                   "reckons its draws",
                                   "takes tokens for unused of ",
                                   "has a request",
                                   "has a request of the inner ration",
                                   "draws of r",
                                   "says again to r",
                                   "drops its bucket",
                                   "dies"};
  std::string number = std::to_string(who);
  switch (what) {
    case What::kDelivered:
      return parcel->Text();
    case What::kKept:
      return "keeps " + parcel->Text();
    case What::kToFormer:
      return "former " + parcel->Text();
    case What::kActs:
      return "r" + number + " " + kActs[static_cast<int>(act)] +
             (act == Act::kTakeBack || act == Act::kDraw || act == Act::kDrawAgain ? std::to_string(of) : "");
    case What::kStarted:
      return "r" + number + " is started again";
    case What::kSeatAnew:
      return "seat " + number + " starts anew";
    case What::kTick:
      break;
  }
  return "a tick";
}

RationsTown RationsTown::After(const Event& event) const {
  RationsTown next = *this;
  switch (event.what) {
    case What::kDelivered:
    case What::kKept:
    case What::kToFormer:
      next.Deliver(event.who, event.what == What::kKept, event.what == What::kToFormer);
      break;
    case What::kActs:
      next.again_ -= event.act == Act::kDrawAgain ? 1 : 0;
      next.deaths_ -= event.act == Act::kDie ? 1 : 0;
      next.Do(event.who, event.act, event.of);
      if (event.act == Act::kDie) next.Prune();
      break;
    case What::kStarted:
      next.routers_[event.who] =
          Fresh(event.who, static_cast<std::uint64_t>(1 + setup().starts - --next.starts_));
      ++next.processes_;
      next.Prune();
      break;
    case What::kSeatAnew:
      next.SeatAnew(event.who);
      break;
    case What::kTick:
      next.Tick();
      break;
  }
  if (setup().goes == 0) next.HearSeats();
  return next;
}

void RationsTown::SeatAnew(std::size_t s) {
  --restarts_;
  SeatState seat = *seats_[s];
  if (Is(Careless::kTwoLives)) seat.former = seat.seat;
  seat.seat = Seat(seat.seat.life() + (Is(Careless::kSameLife) ? 0 : 1));
  seats_[s] = Of(std::move(seat));
  Prune();
}

void RationsTown::Tick() {
  ++now_;
  for (std::size_t r = 0; r < routers_.size(); ++r)
    if (routers_[r] && routers_[r]->kept) Do(r, Act::kTick);
}

void RationsTown::Do(std::size_t r, Act act, std::uint64_t of, const ParcelPtr& parcel) {
  std::uint64_t number = (of << 8 | static_cast<std::uint64_t>(act)) << 8 | static_cast<std::uint64_t>(now_);
  auto did = world_->did.GetOrCompute(routers_[r], parcel, number, [&] {
    return Step(setup(), world_->table, now_, *routers_[r]).Do(act, of, parcel.get());
  });
  routers_[r] = did->router;
  for (const auto& [tick, tokens] : did->handed)
    handed_[static_cast<std::size_t>(tick)] += static_cast<std::uint8_t>(tokens);
  auto now = static_cast<std::size_t>(now_);
  admitted_[now] += static_cast<std::uint8_t>(did->admitted);
  if (act == Act::kRequestInside) inside_[now] += static_cast<std::uint8_t>(did->admitted);
  if (!did->handed.empty() || did->admitted > 0) Judge();
  std::erase_if(bag_, [&](const ParcelPtr& one) {
    return (one->way == Way::kBetween ? one->other : one->router) == r && !Matters(*one, one);
  });
  for (const ParcelPtr& post : did->posts) Insert(post);
}

// ---- Messages ---------------------------------------------------------------------------------------------

void RationsTown::Insert(const ParcelPtr& parcel) {
  if (!Matters(*parcel, parcel)) return;
  auto before = [](const auto& one, const auto& two) {
    return std::tie(one->print, one->other) < std::tie(two->print, two->other);
  };
  bag_.insert(std::upper_bound(bag_.begin(), bag_.end(), parcel, before), parcel);
}

void RationsTown::Prune() {
  std::erase_if(bag_, [this](const ParcelPtr& parcel) { return !Matters(*parcel, parcel); });
}

// Whether it could change anything, now or ever, but for telling a go earlier what it will be told anyway.
bool RationsTown::Matters(const Parcel& parcel, const ParcelPtr& shared) const {
  const Message& message = parcel.message;
  if (parcel.way == Way::kBetween) {
    const Router& to = *routers_[parcel.other];
    if (!to.alive) return starts_ > 0;
    if (message.kind == MessageKind::kGrant)
      return starts_ + deaths_ > 0 || (message.drawer == to.nonce && to.wallet->Waits(message));
    return true;
  }
  if (parcel.way == Way::kFromSeat) return TellsAnything(shared);
  if (seats_[parcel.other]->former || Is(Careless::kLatestAsk)) return true;
  auto answered = Ask(shared, false);
  if (answered->promised || (restarts_ > 0 && message.kind == MessageKind::kAsk)) return true;
  return TellsAnything(answered->answer);
}

bool RationsTown::TellsAnything(const ParcelPtr& answer) const {
  const RouterPtr& router = routers_[answer->router];
  const Message& message = answer->message;
  if (!router->alive || !router->kept || message.go != router->kept->fence.go()) return false;
  if (Is(Careless::kOpenSet) && message.kind == MessageKind::kPromise) return true;
  if (Is(Careless::kOneSeat) && message.kind == MessageKind::kConfirmed) return true;
  return *world_->tells.GetOrCompute(router, answer, 0, [&] {
    std::string before, after;
    router->kept->fence.Put(answer->other, before);
    Fence fence = router->kept->fence;
    fence.Take(answer->other, message);
    fence.Put(answer->other, after);
    return before != after;
  });
}

std::shared_ptr<const RationsTown::Answered> RationsTown::Ask(const ParcelPtr& asked, bool former) const {
  const SeatPtr& at = seats_[asked->other];
  return world_->answered.GetOrCompute(at, asked, former ? 1 : 0, [&] {
    SeatState seat = *at;
    Go before = seat.seat.promised();
    Message answer = Answer(former ? *seat.former : seat.seat, asked->message);
    bool promised = seat.seat.promised() != before;
    return Answered{Of(std::move(seat)),
                    ParcelOf(Way::kFromSeat, asked->router, asked->other, std::move(answer)), promised};
  });
}

void RationsTown::Deliver(std::size_t i, bool keep, bool to_former) {
  ParcelPtr parcel = bag_[i];
  if (keep) {
    --twice_;
  } else {
    bag_.erase(bag_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (parcel->way == Way::kToSeat) {
    auto answered = Ask(parcel, to_former);
    seats_[parcel->other] = answered->seat;
    std::erase_if(bag_, [&](const ParcelPtr& one) {
      return one->way == Way::kToSeat && one->other == parcel->other && !Matters(*one, one);
    });
    return Insert(answered->answer);
  }
  std::size_t r = parcel->way == Way::kFromSeat ? parcel->router : parcel->other;
  if (routers_[r]->alive) Do(r, Act::kTake, 0, parcel);
}

// ---- Seats ------------------------------------------------------------------------------------------------

RationsTown::SeatPtr RationsTown::Of(SeatState seat) {
  std::string bytes;
  seat.seat.Put(bytes);
  if (seat.former) seat.former->Put(bytes);
  seat.print = Hash(bytes);
  return std::make_shared<const SeatState>(std::move(seat));
}

Message RationsTown::Answer(Seat& seat, const Message& asked) const {
  Message message = asked;
  bool ask = asked.kind == MessageKind::kAsk;
  if (Is(Careless::kAnyLife) && !ask) message.life = seat.life();
  if (Is(Careless::kLatestAsk) && ask && asked.go < seat.promised()) seat = Seat(seat.life());
  Message answer = seat.Take(message);
  if (Is(Careless::kAnyLife) && !ask) answer.life = asked.life;
  if (Is(Careless::kPromisesAll) && answer.kind == MessageKind::kDenied)
    answer.kind = ask ? MessageKind::kPromise : MessageKind::kConfirmed;
  return answer;
}

void RationsTown::BeginWith(int seats) {
  Do(0, Act::kTry);
  auto asks = bag_;
  auto next = [&] {
    return std::ranges::find_if(bag_,
                                [&](const auto& parcel) { return static_cast<int>(parcel->other) < seats; });
  };
  for (auto at = next(); at != bag_.end(); at = next())
    Deliver(static_cast<std::size_t>(at - bag_.begin()), false, false);
  Do(0, Act::kBegin);
  for (const auto& ask : asks) {
    if (seats == static_cast<int>(kSeats) || static_cast<int>(ask->other) >= seats || twice_ == 0) continue;
    --twice_;
    Insert(ask);
  }
}

void RationsTown::HearSeats() {
  auto next = [&] {
    return std::ranges::find_if(bag_, [](const auto& parcel) { return parcel->way != Way::kBetween; });
  };
  for (auto at = next(); at != bag_.end(); at = next())
    Deliver(static_cast<std::size_t>(at - bag_.begin()), false, false);
}

// ---- The judge --------------------------------------------------------------------------------------------

// By what was handed out and admitted at each tick, and nothing that keepers or purses say of themselves.
void RationsTown::Judge() {
  for (int to = 0; to <= now_ && broken_.empty(); ++to) {
    // There was nothing before the first tick, and each later one brings a token.
    if (setup().requests == 0 && Sum(handed_, 0, to) > to) broken_ = "handed out more than was filled";
    // Beside that, each process may owe.
    int ahead = processes_ * kAhead;
    if (Sum(admitted_, 0, to) > to + ahead || 2 * Sum(inside_, 0, to) > setup().nested * to + 2 * ahead)
      broken_ = "admitted more than was filled";
    for (int from = 0; from <= to; ++from) {
      int ration = setup().burst + to - from;
      if (setup().requests == 0 && Sum(handed_, from, to) > ration)
        broken_ = "handed out more in a stretch than the ration";
      if (Sum(admitted_, from, to) > ration + processes_ * kAhead ||
          2 * Sum(inside_, from, to) > 2 + setup().nested * (to - from) + 2 * processes_ * kAhead)
        broken_ = "admitted more in a stretch than the ration";
    }
  }
}

// The three seats are alike: states that differ only in which is which have one print.
std::uint64_t RationsTown::Print() const {
  constexpr std::size_t kMost = 256;
  std::array<std::uint64_t, kMost> words;
  std::array<std::uint64_t, kSeats> prints;
  for (std::size_t s = 0; s < kSeats; ++s) {
    std::size_t n = 0;
    words[n++] = seats_[s]->print;
    for (const auto& router : routers_) words[n++] = router ? router->of_seat[s] : 0;
    for (const auto& parcel : bag_)
      if (parcel->way != Way::kBetween && parcel->other == s && n < kMost) words[n++] = parcel->print;
    prints[s] = XXH3_64bits(words.data(), n * sizeof words[0]);
  }
  std::ranges::sort(prints);
  std::size_t n = 0;
  auto add = [&](std::uint64_t word) { words[std::min(n++, kMost - 1)] = word; };
  for (const auto& parcel : bag_)
    if (parcel->way == Way::kBetween) add(parcel->print + parcel->other);
  for (std::uint64_t print : prints) add(print);
  for (const auto& router : routers_) add(router ? router->print : 0);
  for (int each : {restarts_, deaths_, starts_, twice_, again_, now_}) add(static_cast<std::uint64_t>(each));
  const Counts& judged = setup().requests > 0 ? admitted_ : handed_;
  for (std::uint8_t each : judged) add(each);
  if (setup().nested > 0)
    for (std::uint8_t each : inside_) add(each);
  return XXH3_64bits(words.data(), std::min(n, kMost) * sizeof words[0]);
}

}  // namespace peatbend::orders

#include "rations/office.h"

#include <algorithm>
#include <span>

namespace peatbend::rations {
namespace {

using namespace std::chrono_literals;

constexpr Span kForgetEvery = 1s;
constexpr Span kDraws = 500ms;                     // said again later: not waited for in between
constexpr Span kPatience = 30ms, kForEach = 30ms;  // with a keeper that is silent, by the order of seats
constexpr Span kCalm = 10s;                        // without a hasty go: half as much patience again
constexpr int kMostDoublings = 6;                  // of patience
constexpr int kSilent = 1;                         // times unanswered: others are asked too
constexpr Span kGather = 10ms;                     // draws that are reckoned in one turn
constexpr std::size_t kCarried = 256;
constexpr int kLedOn = 2;

}  // namespace

Office::Office(OfficeOptions options, failover::ReplicaSet seats, std::string self, std::uint64_t nonce,
               std::uint64_t random, std::shared_ptr<const QuotaTable> table, Time now,
               std::function<bool(const std::string&)> present)
    : options_(options),
      seats_(std::move(seats)),
      self_(std::move(self)),
      nonce_(nonce),
      random_(static_cast<std::minstd_rand::result_type>(random ^ random >> 32 ^ 1)),
      present_(std::move(present)),
      table_(std::move(table)),
      purse_(std::make_unique<Purse>(*table_, options_.purse, nonce_, random, now)),
      places_(kShards),
      forget_at_(now + kForgetEvery) {
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    Place& place = places_[shard];
    auto chosen = seats_.ReplicasFor("ration shard " + std::to_string(shard));
    // In one order for all shards, that of their names: the fewer keep, the fewer a router has to ask.
    std::ranges::sort(chosen);
    for (std::size_t rank = 0; rank < kSeats; ++rank) {
      place.seats[rank] = seats_.all()[chosen[rank]].router;
      if (place.seats[rank] != self_ || !options_.sits) continue;
      place.rank = rank;
      place.seat.emplace(nonce_);
    }
  }
}

void Office::SetTable(Time now, std::shared_ptr<const QuotaTable> table) {
  purse_ = std::make_unique<Purse>(*table, options_.purse, nonce_, random_(), now, purse_->lastNumber());
  for (Place& place : places_) {
    if (place.kept && place.kept->keeping()) place.kept->SetTable(*table, options_.keeper, now, unix_s_);
  }
  table_ = std::move(table);
}

Span Office::Any(Span span) {
  return Span(static_cast<Span::rep>(static_cast<double>(random_()) / static_cast<double>(random_.max()) *
                                     static_cast<double>(span.count())));
}

std::size_t Office::kept() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(places_, [](const Place& place) { return place.kept && place.kept->keeping(); }));
}

std::size_t Office::bucketsKept() const {
  std::size_t sum = 0;
  for (const Place& place : places_)
    sum += place.kept && place.kept->keeping() ? place.kept->keeper()->buckets() : 0;
  return sum;
}

const std::string& Office::FirstPresent(const Place& place) const {
  auto there = [this](const std::string& router) {
    return router == self_ ? options_.sits : present_(router);
  };
  auto at = std::ranges::find_if(place.seats, there);
  return at == place.seats.end() ? place.seats[0] : *at;
}

// ---- Messages ---------------------------------------------------------------------------------------------

void Office::Say(const std::string& to, Message message) {
  (to == self_ ? local_ : out_).push_back({to, std::move(message)});
}

void Office::Post(const Place& place, std::vector<Fence::To> out) {
  for (Fence::To& one : out) Say(place.seats[one.seat], std::move(one.message));
}

// Hands on what is for this router itself.
void Office::Settle(Time now) {
  while (!local_.empty()) {
    std::vector<Out> said = std::exchange(local_, {});
    for (const Out& one : said) Hear(now, self_, one.message);
  }
}

Verdict Office::Take(Time now, const RequestAttributes& asked) { return purse_->Take(now, asked); }

void Office::Take(Time now, const std::string& from, const Message& message) {
  Hear(now, from, message);
  Settle(now);
}

void Office::Hear(Time now, const std::string& from, const Message& message) {
  if (message.shard >= kShards) return;
  Place& place = places_[message.shard];
  switch (message.kind) {
    case MessageKind::kAsk:
    case MessageKind::kConfirm: {
      if (!place.seat) return;
      Message answer = place.seat->Take(message);
      if (answer.kind != MessageKind::kDenied) Heard(now, place);
      return Say(from, std::move(answer));
    }
    case MessageKind::kPromise:
    case MessageKind::kConfirmed:
    case MessageKind::kDenied:
      return Answered(now, place, from, message);
    case MessageKind::kDraw:
      return Drawn(now, place, from, message);
    case MessageKind::kGrant:
      if (message.drawer != nonce_) {
        auto carried = place.carried.find(message.drawer);
        if (carried == place.carried.end() || carried->second.second != message.number) return;
        Say(carried->second.first, message);
        place.carried.erase(carried);
        if (place.seat && message.go == place.seat->promised()) Heard(now, place);
        return;
      }
      if (!purse_->Take(now, message)) return;
      place.keeper = message.go.router;
      place.unanswered = place.led_on = 0;
      return;
    case MessageKind::kElsewhere:
      if (message.number != place.last_draw || message.print != table_->fingerprint) return;
      if (std::ranges::find(place.seats, message.met.router) == place.seats.end()) return;
      // While it is asked of all, another name is no news.
      if (place.unanswered >= kSilent || place.led_on++ >= kLedOn) return;
      place.keeper = message.met.router;
      place.led = true;
      return purse_->AskAgain(message.shard);
  }
}

void Office::Elsewhere(const Place& place, const std::string& to, const Message& draw) {
  Message answer;
  answer.kind = MessageKind::kElsewhere;
  answer.shard = draw.shard;
  answer.number = draw.number;
  answer.drawer = draw.drawer;
  answer.print = table_->fingerprint;
  answer.met.router = KeeperElsewhere(place);
  ++figures_.elsewhere;
  Say(to, std::move(answer));
}

// ---- The own draws ----------------------------------------------------------------------------------------

void Office::AskKeepers(Time now) {
  std::vector<Message> draws;
  purse_->Due(now, draws);
  for (Message& draw : draws) {
    Place& place = places_[draw.shard];
    if (place.last_draw != draw.number) {
      place.last_draw = draw.number;
      place.unanswered = place.led_on = 0;
      place.led = false;
    } else if (!std::exchange(place.led, false)) {
      ++place.unanswered;
      place.led_on = 0;
    }
    if (place.unanswered >= kSilent) {
      draw.met.router = place.keeper;
      for (const std::string& seat : place.seats) Say(seat, draw);
      continue;
    }
    bool known = !place.keeper.empty() && (place.keeper == self_ || present_(place.keeper));
    Say(known ? place.keeper : FirstPresent(place), std::move(draw));
  }
}

// ---- Keeping ----------------------------------------------------------------------------------------------

void Office::Drawn(Time now, Place& place, const std::string& from, const Message& draw) {
  if (draw.print != table_->fingerprint) {
    ++figures_.other_book;
    return Elsewhere(place, from, draw);
  }
  if (!place.kept && (!place.seat || !ShallTry(now, place, draw)))
    return Carry(place, from, draw) ? void() : Elsewhere(place, from, draw);
  if (!place.kept) Try(now, draw.shard);
  if (auto known = place.kept->Draw(now, from, draw)) Say(from, std::move(*known));
  place.kept->turn_at = std::max(place.kept->turn_at, turned_ + kGather);
}

// The router that is the most likely to keep it, other than this; empty: this should.
const std::string& Office::KeeperElsewhere(const Place& place) const {
  static const std::string kNone;
  if (place.seat && place.seat->promised().round > 0 && place.seat->promised().router != self_)
    return place.seat->promised().router;
  if (!place.keeper.empty() && place.keeper != self_) return place.keeper;
  const std::string& first = FirstPresent(place);
  return first == self_ ? kNone : first;
}

// To the keeper, for one who does not hear it.
bool Office::Carry(Place& place, const std::string& from, const Message& draw) {
  const std::string& keeper = Silent(place, draw);
  if (draw.met.router != keeper || keeper.empty() || from == self_ || from == keeper) return false;
  if (place.carried.size() >= kCarried) place.carried.clear();
  place.carried[draw.drawer] = {from, draw.number};
  Message on = draw;
  on.met = {};
  Say(keeper, std::move(on));
  return true;
}

// The other router that keeps it, as far as the drawer or this router knows.
const std::string& Office::Silent(const Place& place, const Message& draw) const {
  const std::string& named = draw.met.router;
  bool other = named != self_ && std::ranges::find(place.seats, named) != place.seats.end();
  return other ? named : KeeperElsewhere(place);
}

void Office::Heard(Time now, Place& place) {
  place.heard = now;
  place.waiting.clear();
}

// A keeper that was well has been deposed, by this router or from here: the way to it is longer than was
// waited, or it is slow. Without this, seats depose each other's keepers in turn and nobody keeps for long.
void Office::Hasty(Time now, Place& place) {
  place.hasty = std::min(HastyOfLate(now, place) + 1, kMostDoublings);
  place.hasty_at = now;
}

int Office::HastyOfLate(Time now, const Place& place) {
  return place.hasty - static_cast<int>(std::min<std::int64_t>((now - place.hasty_at) / kCalm, place.hasty));
}

// Asked to draw, without keeping it. The first seat that is there keeps; the next ones when draws go on
// coming though another should have them, and that other is silent here too.
bool Office::ShallTry(Time now, Place& place, const Message& draw) {
  if (place.waiting.size() >= kCarried) place.waiting.clear();
  auto& waits = place.waiting.try_emplace(draw.drawer, Place::Waiting{draw.number, now, now}).first->second;
  if (waits.number != draw.number || now - kDraws > waits.last) waits = {draw.number, now, now};
  waits.last = now;
  const std::string& keeper = Silent(place, draw);
  if (now < place.try_at) return false;
  bool first = FirstPresent(place) == self_;
  if (keeper.empty()) return true;
  if (first && !present_(keeper) && place.heard < now - kPatience) return true;
  // The others in their order.
  auto before = std::ranges::count_if(std::span(place.seats).first(place.rank),
                                      [&keeper](const std::string& seat) { return seat != keeper; });
  return now - waits.since >=
         (kPatience + static_cast<int>(before) * kForEach) * (1 << HastyOfLate(now, place));
}

void Office::Try(Time now, std::uint32_t shard) {
  Place& place = places_[shard];
  place.deposed = KeeperElsewhere(place);
  std::uint64_t round = std::max(place.round, place.seat->promised().round) + 1;
  std::vector<Fence::To> out;
  place.kept = std::make_unique<Kept>(shard, Go{round, self_, nonce_, ++goes_}, now, out);
  ++figures_.goes;
  Post(place, std::move(out));
}

void Office::Begin(Time now, Place& place) {
  if (!place.kept->fence.Begin()) return;
  ++figures_.begun;
  place.keeper = self_;
  place.kept->SetTable(*table_, options_.keeper, now, unix_s_);
}

// Its go is over: whoever waits here is sent on.
void Office::Drop(Time now, Place& place, Span pause) {
  std::unique_ptr<Kept> kept = std::move(place.kept);
  ++figures_.lost;
  place.try_at = now + pause / 2 + Any(pause);
  place.round = std::max(place.round, kept->fence.met());
  place.keeper = kept->fence.met_go().router;
  for (const auto& [nonce, gathered] : kept->gathered()) {
    for (const std::string& from : gathered.from) Elsewhere(place, from, gathered.draw);
  }
}

void Office::Answered(Time now, Place& place, const std::string& from, const Message& answer) {
  auto seat = std::ranges::find(place.seats, from);
  if (!place.kept || seat == place.seats.end()) return;
  Kept& kept = *place.kept;
  bool keeping = kept.keeping();
  if (answer.kind == MessageKind::kConfirmed && from != self_) confirms_ = from;
  kept.fence.Take(static_cast<std::size_t>(seat - place.seats.begin()), answer);
  if (answer.kind == MessageKind::kPromise && from == place.deposed) {
    place.deposed.clear();
    Hasty(now, place);
  }
  if (kept.fence.phase() == Fence::Phase::kLost) {
    if (keeping) Hasty(now, place);
    return Drop(now, place, options_.ask_again);
  }
  if (kept.fence.phase() == Fence::Phase::kAsking && kept.fence.promises() == kSeats) Begin(now, place);
  for (Out& told : kept.Confirmed()) {
    ++figures_.grants;
    Say(told.router, std::move(told.message));
  }
}

// Two confirmations are enough: this router's own and that of the one that confirmed last, of whatever shard,
// so that one seat is asked for all. The others are asked when these do not answer.
void Office::Fewest(const Place& place, std::vector<Fence::To>& out) const {
  if (out.size() <= kMajority) return;
  auto key = [&](const Fence::To& one) {
    const std::string& seat = place.seats[one.seat];
    return seat == self_ ? 0 : seat == confirms_ ? 1 : 2;
  };
  std::ranges::stable_sort(out, {}, key);
  out.erase(out.begin() + kMajority, out.end());
}

void Office::TickKept(Time now, Place& place) {
  Kept& kept = *place.kept;
  bool asking = kept.fence.phase() == Fence::Phase::kAsking;
  if (asking && kept.fence.promises() >= kMajority && now >= kept.asked_at + options_.third_promise)
    Begin(now, place);
  std::vector<Fence::To> out;
  if (kept.keeping() && now >= kept.turn_at) {
    figures_.tokens += kept.Turn(now, unix_s_, signs_, out);
    Fewest(place, out);
  }
  auto since = kept.keeping() ? kept.waiting() : kept.asked_at;
  if (since && now >= *since + options_.give_up) return Drop(now, place, options_.give_up);
  if (since && now >= kept.said_at + options_.ask_again) {
    kept.said_at = now;
    kept.fence.Again(out);
  }
  Post(place, std::move(out));
}

// ---- Time -------------------------------------------------------------------------------------------------

void Office::Tick(Time now, std::int64_t unix_s, unsigned signs) {
  unix_s_ = unix_s;
  signs_ = signs;
  AskKeepers(now);
  Settle(now);
  // Where one shard's turn has come, all that have gathered draws take theirs: one question to a seat for
  // all.
  bool turn = std::ranges::any_of(places_, [now](const Place& one) {
    return one.kept && one.kept->keeping() && now >= one.kept->turn_at;
  });
  if (turn) turned_ = now;
  for (Place& place : places_) {
    if (place.kept && turn && !place.kept->gathered().empty()) place.kept->turn_at = now;
    if (place.kept) TickKept(now, place);
    if (now >= forget_at_ && place.kept && place.kept->keeping()) {
      place.kept->keeper()->SetTime(now, unix_s, signs);
      place.kept->keeper()->Forget();
    }
  }
  if (now >= forget_at_) forget_at_ = now + kForgetEvery;
  Settle(now);
}

std::optional<Time> Office::Due() const {
  std::optional<Time> due = purse_->NextDue();
  auto sooner = [&](Time at) { due = due ? std::min(*due, at) : at; };
  for (const Place& place : places_) {
    if (!place.kept) continue;
    const Kept& kept = *place.kept;
    auto since = kept.keeping() ? kept.waiting() : kept.asked_at;
    if (since) sooner(std::min(*since + options_.give_up, kept.said_at + options_.ask_again));
    if (!kept.keeping() && kept.fence.promises() >= kMajority) sooner(kept.asked_at + options_.third_promise);
    if (kept.keeping()) {
      sooner(kept.turn_at);
      if (kept.keeper()->buckets() > 0) sooner(forget_at_);
    }
  }
  return due;
}

}  // namespace peatbend::rations

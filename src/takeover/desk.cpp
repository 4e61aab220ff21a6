#include "takeover/desk.h"

#include <algorithm>

namespace peatbend::takeover {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kLooks = std::uint64_t{1} << 63;  // in the go of one who only looks
constexpr Span kForgetEvery = 1s, kAfterDeadline = 1s, kLeast = 10ms;

// So that two who want the same work do not try in step for ever.
Span Apart(std::uint64_t life, std::uint64_t go) {
  return ((life ^ go * 0x9e3779b97f4a7c15u) >> 20) % 20 * 1ms;
}

}  // namespace

Desk::Desk(DeskOptions options, Seats seats, std::string self, std::uint64_t life, Time now,
           std::function<bool(const Author&)> gone)
    : options_(options),
      seats_(std::move(seats)),
      self_(std::move(self)),
      life_(life),
      gone_(std::move(gone)),
      holder_(options.keep, now, self_, life,
              [this](const std::string& work) {
                std::array<std::string, kSeats> names;
                auto places = seats_.Of(work);
                for (std::size_t seat = 0; seat < kSeats; ++seat)
                  names[seat] = seats_.all()[places[seat]].router;
                return names;
              }),
      forget_at_(now + kForgetEvery),
      words_at_(now) {
  asks_ = std::ranges::find(seats_.all(), self_, &SeatName::router) != seats_.all().end();
}

void Desk::SetLife(std::uint64_t life) {
  life_ = life;
  holder_.SetLife(life);
}

Desk::Errand* Desk::Find(Number number) {
  auto at = gos_.find(number);
  return at == gos_.end() ? nullptr : &errands_.at(at->second);
}

void Desk::SetDue(Errand& errand, Time due) {
  std::uint64_t go = errand.custody.claim().author().go;
  due_.erase({errand.due, go});
  errand.due = due;
  due_.insert({due, go});
}

void Desk::SetNext(Time now, Errand& errand, Span in) {
  Span left = errand.deadline - options_.margin - now;
  SetDue(errand, now + std::min(in, std::max(left, kLeast)));
}

// ---- Messages ---------------------------------------------------------------------------------------------

void Desk::Post(const Errand& errand, std::vector<Claim::Out> out) {
  for (Claim::Out& one : out) {
    const std::string& router = seats_.all()[errand.seats[one.seat]].router;
    (router == self_ ? local_ : out_).push_back({router, std::move(one.message)});
  }
}

void Desk::Settle(Time now) {
  while (!local_.empty()) {
    std::vector<Out> asked = std::exchange(local_, {});
    for (const Out& one : asked) Take(now, self_, holder_.Take(now, one.message));
  }
}

void Desk::Take(Time now, const std::string& from, const Message& message) {
  if (message.kind == Kind::kPrepare || message.kind == Kind::kAccept || message.kind == Kind::kLook) {
    out_.push_back({from, holder_.Take(now, message)});
    return;
  }
  if (message.kind == Kind::kAskWord) {
    for (Message& one : holder_.Word(now, message)) out_.push_back({from, std::move(one)});
    return;
  }
  const Author& author = message.ballot.author;
  if (author.name != self_) return;
  if (message.kind == Kind::kWord || message.kind == Kind::kCopy) return holder_.TakeWord(now, from, message);
  auto at = errands_.find(author.go & ~kLooks);
  if (at == errands_.end()) return;
  Errand& errand = at->second;
  for (std::size_t seat = 0; seat < kSeats; ++seat) {
    if (seats_.all()[errand.seats[seat]].router != from) continue;
    Heard(now, errand, seat, message);
    break;
  }
  Settle(now);
}

void Desk::Heard(Time now, Errand& errand, std::size_t seat, const Message& message) {
  if ((message.ballot.author.go & kLooks) != 0) {
    errand.look.Take(seat, message);
    if (errand.phase == Phase::kWatching) Watched(now, errand);
    return;
  }
  std::vector<Claim::Out> out;
  auto verdict = errand.custody.Take(now, seat, message, out);
  Post(errand, std::move(out));
  switch (verdict) {
    case Custody::Verdict::kSend:
      errand.phase = Phase::kOut;
      said_.emplace_back().number = errand.number;
      return SetDue(errand, errand.deadline + kAfterDeadline);
    case Custody::Verdict::kTell:
      return Tell(now, errand, errand.custody.state());
    case Custody::Verdict::kLate:
      ++figures_.late;
      return Ask(now, errand);
    case Custody::Verdict::kRead:
      ++figures_.taken_over;
      return Ask(now, errand);
    case Custody::Verdict::kLost:
      return Lost(now, errand);
    case Custody::Verdict::kNothing:
      return;
  }
}

// ---- What the router wants --------------------------------------------------------------------------------

void Desk::Open(Time now, Number number, std::string work, const ClassSettings& cls, Time deadline) {
  std::uint64_t go = ++last_go_;
  auto [at, made] = errands_.try_emplace(go, work, Author{self_, life_, go},
                                         Author{self_, life_, go | kLooks}, options_.send_within);
  Errand& errand = at->second;
  errand.number = number;
  errand.cls = cls;
  errand.deadline = deadline;
  errand.seats = seats_.Of(work);
  gos_[number] = go;
  ++figures_.covered;
  SetDue(errand, std::max(deadline, now) + kAfterDeadline);
}

void Desk::Release(Time now) {
  std::vector<std::uint64_t> gos;
  for (const auto& [go, errand] : errands_) gos.push_back(go);
  for (std::uint64_t go : gos) {
    Errand& errand = errands_.at(go);
    Phase before = std::exchange(errand.phase, Phase::kBare);
    if (before == Phase::kEnding) {
      Close(now, errand, errand.custody.end(), errand.custody.value());
    } else if (before == Phase::kWatching || before == Phase::kTaking) {
      Close(now, errand, End::kFailed, {});
    } else if (before == Phase::kAsked) {
      said_.emplace_back().number = errand.number;
    }
  }
}

void Desk::Want(Time now, Number number, const std::string& server) {
  Errand* errand = Find(number);
  if (errand == nullptr) return;
  errand->server = server;
  if (errand->phase == Phase::kBare) {
    said_.emplace_back().number = number;
  } else if (errand->phase == Phase::kFresh || errand->phase == Phase::kOut ||
             errand->phase == Phase::kAsked) {
    Ask(now, *errand);
  }
  Settle(now);
}

void Desk::Ended(Time now, Number number, bool may_have_run) {
  Errand* errand = Find(number);
  if (errand == nullptr || errand->phase != Phase::kOut) return;
  if (!may_have_run) errand->custody.NeverRan();
  if (!errand->heard) Close(now, *errand, End::kNone, {});
  Settle(now);
}

void Desk::Finish(Time now, Number number, End end, std::string value) {
  Errand* errand = Find(number);
  if (errand == nullptr) return;
  switch (errand->phase) {
    case Phase::kBare:
    case Phase::kFresh:
      Close(now, *errand, end, std::move(value));
      break;
    case Phase::kWatching:
    case Phase::kTaking:  // its own time is over; the work is another's
      Close(now, *errand, End::kFailed, {});
      break;
    default:
      Write(now, *errand, end, std::move(value));
  }
  Settle(now);
}

void Desk::Left(Time now, Number number) {
  Errand* errand = Find(number);
  if (errand == nullptr) return;
  errand->heard = false;
  if (errand->phase != Phase::kOut && errand->phase != Phase::kEnding) Close(now, *errand, End::kNone, {});
  Settle(now);
}

// ---- How it goes on ---------------------------------------------------------------------------------------

// A repeat of what others may have sent: of a class whose servers drop repeats only within their group, at
// the very server, since more is not known of where it was.
Next Desk::Allowed(Time now, const Errand& errand) const {
  State known = errand.custody.Known();
  const Claim& claim = errand.custody.claim();
  Span unsure = errand.custody.RanElsewhere() ? options_.send_within : Span{};
  Next next = NextOf(known, errand.cls, claim.age(now), unsure);
  bool elsewhere = std::ranges::any_of(known.steps, [&](const Step& step) {
    return step.may_have_run && step.by != claim.author() && step.server != errand.server;
  });
  bool grouped = errand.cls.effect == Effect::kKeyed && errand.cls.group != Group::kAll;
  return next == Next::kRepeat && grouped && elsewhere ? Next::kFail : next;
}

void Desk::Wait(Time now, Errand& errand, Phase phase, std::vector<Claim::Out> out, Span again) {
  errand.phase = phase;
  errand.since = now;
  SetNext(now, errand, again);
  Post(errand, std::move(out));
}

// For the permission to send, if the record allows it.
void Desk::Ask(Time now, Errand& errand) {
  if (!errand.heard || Over(now, errand)) return Close(now, errand, End::kFailed, {});
  if (errand.custody.claim().author().life == 0) return Alone(now, errand);
  Next next = Allowed(now, errand);
  if (next == Next::kFail) return Write(now, errand, End::kFailed, {});
  if (next == Next::kTell) return Write(now, errand, End::kNone, {});
  std::vector<Claim::Out> out;
  errand.custody.Want(now, errand.server, out);
  Wait(now, errand, Phase::kAsked, std::move(out), options_.again_every);
}

void Desk::Write(Time now, Errand& errand, End end, std::string value) {
  std::vector<Claim::Out> out;
  bool kept = value.size() <= options_.value_bytes;
  figures_.not_kept += kept ? 0 : 1;
  errand.custody.Finish(now, end, std::move(value), out, kept);
  Wait(now, errand, Phase::kEnding, std::move(out), options_.again_every);
}

void Desk::Lost(Time now, Errand& errand) {
  ++figures_.refused;
  if (!errand.custody.taken()) return Alone(now, errand);
  // With a value in hand it is worth to ask once more; else another goes on with the work.
  if (errand.phase == Phase::kEnding && errand.custody.end() == End::kValue)
    return SetDue(errand, now + Apart(life_, errand.custody.claim().author().go));
  Watch(now, errand);
}

void Desk::Watch(Time now, Errand& errand) {
  if (!errand.heard || Over(now, errand)) return Close(now, errand, End::kFailed, {});
  if (!std::exchange(errand.joined, true)) ++figures_.joined;
  std::vector<Claim::Out> out;
  errand.look.Ask(out);
  Span again = options_.look_every + Apart(life_, errand.custody.claim().author().go);
  Wait(now, errand, Phase::kWatching, std::move(out), again);
}

void Desk::Watched(Time now, Errand& errand) {
  if (const State* end = errand.look.End()) {
    ++figures_.ended_by_other;
    return Tell(now, errand, *end);
  }
  auto owner = errand.look.Owner();
  auto own = owner && owner->name == self_ ? errands_.find(owner->go) : errands_.end();
  bool here = own != errands_.end() && own->second.custody.claim().author() == *owner;
  bool over = owner && !here && (gone_(*owner) || (owner->name == self_ && owner->life == life_));
  if (errand.look.Free() || errand.look.LetGo() || over) TakeOver(now, errand);
}

void Desk::TakeOver(Time now, Errand& errand) {
  std::vector<Claim::Out> out;
  errand.custody.TakeOver(now, out);
  Wait(now, errand, Phase::kTaking, std::move(out), options_.again_every);
}

// No majority can be had.
void Desk::Alone(Time now, Errand& errand) {
  ++figures_.alone;
  bool may = errand.phase == Phase::kTaking || errand.custody.taken() || errand.custody.MayHaveRun();
  if (may) return Close(now, errand, End::kFailed, {}, true);
  if (!options_.serve_alone) return Close(now, errand, End::kRejected, {}, true);
  ++figures_.uncovered;
  errand.phase = Phase::kBare;
  SetDue(errand, errand.deadline + kAfterDeadline);
  said_.emplace_back().number = errand.number;
}

void Desk::Tell(Time now, Errand& errand, const State& state) {
  if (state.end == End::kValue && !state.kept) {
    // Whoever made it has it; to others it is lost.
    if (!errand.custody.own_end()) return Close(now, errand, End::kFailed, {});
    return Close(now, errand, End::kValue, errand.custody.value(), false, true);
  }
  Close(now, errand, state.end, state.value, false, true);
}

void Desk::Close(Time now, Errand& errand, End end, std::string value, bool alone, bool stands) {
  bool written =
      errand.custody.claim().phase() == Claim::Phase::kHolding && errand.custody.state().end != End::kNone;
  if (!written && errand.phase != Phase::kBare) {
    std::vector<Claim::Out> out;
    errand.custody.LetGo(now, out);
    figures_.let_go += out.empty() ? 0 : 1;
    Post(errand, std::move(out));
  }
  if (errand.heard) {
    figures_.value += end == End::kValue ? 1 : 0;
    figures_.failed += end == End::kFailed ? 1 : 0;
    figures_.rejected += end == End::kRejected ? 1 : 0;
    said_.push_back({errand.number, Say::What::kEnd, end, std::move(value), alone, stands});
  }
  std::uint64_t go = errand.custody.claim().author().go;
  due_.erase({errand.due, go});
  gos_.erase(errand.number);
  errands_.erase(go);
}

// ---- Time -------------------------------------------------------------------------------------------------

std::optional<Time> Desk::Due() const {
  std::optional<Time> due;
  if (!due_.empty()) due = due_.begin()->first;
  if (asks_) due = due ? std::min(*due, words_at_) : words_at_;
  if (holder_.records() > 0) due = due ? std::min(*due, forget_at_) : forget_at_;
  return due;
}

// Those that have not vouched for all, till none is left or its age lets it vote.
void Desk::AskForWords(Time now) {
  words_at_ = now + options_.words_every;
  if (life_ == 0) return;
  asks_ = false;
  if (!holder_.young(now)) return;
  Message ask = holder_.AskWord();
  for (const SeatName& seat : seats_.all()) {
    if (seat.router == self_ || holder_.Vouches(seat.router)) continue;
    out_.push_back({seat.router, ask});
    asks_ = true;
  }
}

void Desk::Tick(Time now) {
  if (now >= forget_at_) {
    holder_.Forget(now);
    forget_at_ = now + kForgetEvery;
  }
  if (asks_ && now >= words_at_) AskForWords(now);
  while (!due_.empty() && due_.begin()->first <= now) TickOne(now, errands_.at(due_.begin()->second));
  Settle(now);
}

void Desk::TickOne(Time now, Errand& errand) {
  const Claim& claim = errand.custody.claim();
  std::vector<Claim::Out> out;
  Span waited = now - errand.since;
  switch (errand.phase) {
    case Phase::kFresh:
    case Phase::kOut:
    case Phase::kBare:  // long after its deadline: the router has forgotten it
      return Close(now, errand, End::kFailed, {});
    case Phase::kAsked:
    case Phase::kTaking:
      if (Over(now, errand)) return Close(now, errand, End::kFailed, {});
      if (waited >= options_.stands_within) return Alone(now, errand);
      break;
    case Phase::kWatching:
      return Watch(now, errand);
    case Phase::kEnding:
      if (waited >= options_.ends_within || (waited >= kLeast && Over(now, errand))) {
        ++figures_.untold;
        bool reject = errand.custody.end() == End::kRejected && !errand.custody.taken();
        return Close(now, errand, reject ? End::kRejected : End::kFailed, {});
      }
      if (claim.phase() == Claim::Phase::kLost) errand.custody.TakeOver(now, out);
      break;
  }
  if (out.empty()) errand.custody.Again(now, out);
  SetNext(now, errand, options_.again_every);
  Post(errand, std::move(out));
}

}  // namespace peatbend::takeover

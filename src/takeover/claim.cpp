#include "takeover/claim.h"

#include <algorithm>
#include <tuple>

namespace peatbend::takeover {

void Claim::Start(Time now, Phase phase) {
  phase_ = phase;
  asked_ = now;
  taken_ = false;
  yes_ = no_ = {};
  lives_ = {};
  promises_ = {};
}

Message Claim::Question() const {
  Message message;
  message.work = work_;
  message.ballot = {round_, author_};
  if (phase_ == Phase::kAsking) return message;
  message.kind = Kind::kAccept;
  message.version = version_;
  message.state = state_;
  return message;
}

void Claim::Again(Time now, std::vector<Out>& out) const {
  if (!InDoubt()) return;
  Message message = Question();
  if (phase_ == Phase::kWriting) message.age = age(now);
  for (std::size_t seat = 0; seat < kSeats; ++seat) {
    if (!yes_[seat] && !no_[seat]) out.push_back({seat, message});
  }
}

void Claim::Write(Time now, State next, std::vector<Out>& out) {
  if (state_.steps.empty()) first_ = now;
  state_ = std::move(next);
  ++version_;
  Start(now, Phase::kWriting);
  Again(now, out);
}

void Claim::Ask(Time now, std::vector<Out>& out) {
  round_ = std::max(round_, met_.round) + 1;
  version_ = 0;
  Start(now, Phase::kAsking);
  Again(now, out);
}

bool Claim::Waits(std::size_t seat, const Message& answer) const {
  if (seat >= kSeats || answer.work != work_ || answer.ballot != Ballot{round_, author_}) return false;
  // A seat that has started anew answers again.
  if (yes_[seat] && answer.lives[seat] <= lives_[seat][seat]) return false;
  if (answer.kind == Kind::kRefused && (yes_[seat] || no_[seat])) return false;
  if (answer.kind == Kind::kRefused) return InDoubt() && answer.version == version_;
  if (phase_ == Phase::kAsking) return answer.kind == Kind::kPromise;
  // A write before the present one does not stand for it.
  return phase_ == Phase::kWriting && answer.kind == Kind::kAccepted && answer.version >= version_;
}

bool Claim::Take(Time now, std::size_t seat, const Message& answer) {
  if (!Waits(seat, answer)) return false;
  bool asking = phase_ == Phase::kAsking;
  if (answer.kind == Kind::kRefused) {
    met_ = std::max(met_, answer.promised);
    taken_ = taken_ || answer.refusal == Refusal::kTaken;
    no_[seat] = true;
    if (std::ranges::count(no_, true) <= static_cast<long>(kSeats - kMajority)) return false;
    phase_ = Phase::kLost;
    return true;
  }
  yes_[seat] = true;
  no_[seat] = false;
  lives_[seat] = answer.lives;
  if (asking) {
    promises_[seat] = answer;
    // What it was told is older by now than it was when it was asked for: at the most by so much.
    promises_[seat]->age += now - asked_;
  }
  for (std::size_t other = 0; other < kSeats; ++other) {
    if (other == seat || !yes_[other] || !Agree(seat, lives_[seat], other, lives_[other])) continue;
    if (!asking) return phase_ = Phase::kHolding, true;
    Read(seat, other);
    first_ = now;
    for (const auto& promise : promises_)
      if (promise && !promise->state.steps.empty()) first_ = std::min(first_, now - promise->age);
    phase_ = Phase::kRead;
    return true;
  }
  return false;
}

// The state of the highest ballot; under round 0 there may be several, see Together.
void Claim::Read(std::size_t one, std::size_t other) {
  const Message *high = &*promises_[one], *low = &*promises_[other];
  auto kept = [](const Message& promise) { return std::tie(promise.kept, promise.version); };
  bool none = high->version == 0;
  if (none || (low->version > 0 && kept(*low) > kept(*high))) std::swap(high, low);
  state_ = high->state;
  bool several = low->version > 0 && high->version > 0 && high->kept.round == 0 && low->kept != high->kept;
  if (several) state_ = Together(high->state, low->state);
}

void Claim::Put(std::string& into) const {
  takeover::Put(into, work_);
  takeover::Put(into, Ballot{round_, author_});
  for (std::uint64_t each : {static_cast<std::uint64_t>(phase_), std::uint64_t{version_},
                             static_cast<std::uint64_t>(asked_.count()),
                             static_cast<std::uint64_t>(first_.count()), std::uint64_t{taken_}})
    takeover::Put(into, each);
  takeover::Put(into, state_);
  takeover::Put(into, met_);
}

void Claim::Put(std::size_t seat, std::string& into) const {
  takeover::Put(into, yes_[seat] + 2u * no_[seat]);
  for (std::uint64_t life : lives_[seat]) takeover::Put(into, life);
  if (promises_[seat]) takeover::Put(into, *promises_[seat]);
}

}  // namespace peatbend::takeover

#include "takeover/claim.h"

#include <algorithm>
#include <tuple>

namespace peatbend::takeover {

void Claim::Start(Time now, Phase phase) {
  phase_ = phase;
  asked_ = now;
  taken_ = false;
  yes_ = no_ = {};
  promises_ = {};
}

Message Claim::Write() const {
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
  Message message = Write();
  if (phase_ == Phase::kWriting) message.age = age(now);
  for (std::size_t seat = 0; seat < kSeats; ++seat) {
    if (!yes_[seat] && !no_[seat]) out.push_back({seat, message});
  }
}

void Claim::Create(Time now, State first, std::vector<Out>& out) {
  round_ = 0;
  first_ = now;
  Write(now, std::move(first), out);
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
  if (yes_[seat] || (no_[seat] && answer.kind == Kind::kRefused)) return false;
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
  if (asking) {
    promises_[seat] = answer;
    // What it was told is older by now than it was when it was asked for: at the most by so much.
    promises_[seat]->age += now - asked_;
  }
  if (std::ranges::count(yes_, true) < static_cast<long>(kMajority)) return false;
  if (asking) {
    Read();
    first_ = now;
    for (const auto& promise : promises_)
      if (promise && !promise->state.steps.empty()) first_ = std::min(first_, now - promise->age);
    phase_ = Phase::kRead;
  } else {
    phase_ = Phase::kHolding;
  }
  return true;
}

// The state of the highest ballot. Under round 0 there may be several, of authors that wrote at the same
// time: one of them at most stands at a majority, and nobody can tell which. What each was about to do may
// be done, so their steps are put together. Of their ends the one that was made by a value counts first,
// since only whose step stood can have one; a reject counts for nothing, since the others may have sent.
void Claim::Read() {
  const Message* highest = nullptr;
  auto kept = [](const Message& promise) { return std::tie(promise.kept, promise.version); };
  for (const auto& promise : promises_) {
    if (!promise || promise->version == 0) continue;
    if (highest == nullptr || kept(*promise) > kept(*highest)) highest = &*promise;
  }
  state_ = highest == nullptr ? State{} : highest->state;
  if (highest == nullptr || highest->kept.round > 0) return;
  for (const auto& promise : promises_) {
    if (!promise || promise->version == 0 || promise->kept == highest->kept) continue;
    const State& other = promise->state;
    state_.steps.insert(state_.steps.end(), other.steps.begin(), other.steps.end());
    bool others = other.end == End::kValue || (other.end == End::kFailed && state_.end != End::kValue);
    if (others) state_.value = other.value;
    if (others) state_.kept = other.kept;
    if (others) state_.end = other.end;
    if (!state_.final()) state_.end = End::kNone;
    state_.let_go = state_.let_go && other.let_go;
  }
  std::ranges::sort(state_.steps);
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
  if (promises_[seat]) takeover::Put(into, *promises_[seat]);
}

}  // namespace peatbend::takeover

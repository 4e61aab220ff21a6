#include "failover/record_proposer.h"

#include <algorithm>
#include <tuple>

namespace peatbend::failover {

void RecordProposer::Start(Time now, Phase phase) {
  phase_ = phase;
  asked_ = now;
  preempted_ = false;
  yes_ = no_ = {};
  lives_ = {};
  promises_ = {};
}

Message RecordProposer::Question() const {
  Message message;
  message.operation = operation_;
  message.ballot = {round_, proposer_};
  if (phase_ == Phase::kPreparing) return message;
  message.kind = Kind::kAccept;
  message.version = version_;
  message.state = state_;
  return message;
}

void RecordProposer::Again(Time now, std::vector<Outgoing>& out) const {
  if (!InDoubt()) return;
  Message message = Question();
  if (phase_ == Phase::kWriting) message.age = age(now);
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    if (!yes_[replica] && !no_[replica]) out.push_back({replica, message});
  }
}

void RecordProposer::Write(Time now, RecordState next, std::vector<Outgoing>& out) {
  if (state_.attempts.empty()) first_ = now;
  state_ = std::move(next);
  ++version_;
  Start(now, Phase::kWriting);
  Again(now, out);
}

void RecordProposer::Ask(Time now, std::vector<Outgoing>& out) {
  round_ = std::max(round_, met_.round) + 1;
  version_ = 0;
  Start(now, Phase::kPreparing);
  Again(now, out);
}

bool RecordProposer::Waits(std::size_t replica, const Message& answer) const {
  if (replica >= kReplicas || answer.operation != operation_ || answer.ballot != Ballot{round_, proposer_})
    return false;
  // A replica that has restarted answers again.
  if (yes_[replica] && answer.lives[replica] <= lives_[replica][replica]) return false;
  if (answer.kind == Kind::kNack && (yes_[replica] || no_[replica])) return false;
  if (answer.kind == Kind::kNack) return InDoubt() && answer.version == version_;
  if (phase_ == Phase::kPreparing) return answer.kind == Kind::kPromise;
  // A write before the present one does not stand for it.
  return phase_ == Phase::kWriting && answer.kind == Kind::kAccepted && answer.version >= version_;
}

bool RecordProposer::Take(Time now, std::size_t replica, const Message& answer) {
  if (!Waits(replica, answer)) return false;
  bool asking = phase_ == Phase::kPreparing;
  if (answer.kind == Kind::kNack) {
    met_ = std::max(met_, answer.promised);
    preempted_ = preempted_ || answer.nack == Nack::kPreempted;
    no_[replica] = true;
    if (std::ranges::count(no_, true) <= static_cast<long>(kReplicas - kMajority)) return false;
    phase_ = Phase::kLost;
    return true;
  }
  yes_[replica] = true;
  no_[replica] = false;
  lives_[replica] = answer.lives;
  if (asking) {
    promises_[replica] = answer;
    // What it was told is older by now than it was when it was asked for: at the most by so much.
    promises_[replica]->age += now - asked_;
  }
  for (std::size_t other = 0; other < kReplicas; ++other) {
    if (other == replica || !yes_[other] || !Agree(replica, lives_[replica], other, lives_[other])) continue;
    if (!asking) return phase_ = Phase::kOwner, true;
    Read(replica, other);
    first_ = now;
    for (const auto& promise : promises_)
      if (promise && !promise->state.attempts.empty()) first_ = std::min(first_, now - promise->age);
    phase_ = Phase::kRead;
    return true;
  }
  return false;
}

// The state of the highest ballot; under round 0 there may be several, see MergeConcurrent.
void RecordProposer::Read(std::size_t one, std::size_t other) {
  const Message *high = &*promises_[one], *low = &*promises_[other];
  auto kept = [](const Message& promise) { return std::tie(promise.kept, promise.version); };
  bool none = high->version == 0;
  if (none || (low->version > 0 && kept(*low) > kept(*high))) std::swap(high, low);
  state_ = high->state;
  bool several = low->version > 0 && high->version > 0 && high->kept.round == 0 && low->kept != high->kept;
  if (several) state_ = MergeConcurrent(high->state, low->state);
}

void RecordProposer::Put(std::string& into) const {
  failover::Put(into, operation_);
  failover::Put(into, Ballot{round_, proposer_});
  for (std::uint64_t each : {static_cast<std::uint64_t>(phase_), std::uint64_t{version_},
                             static_cast<std::uint64_t>(asked_.count()),
                             static_cast<std::uint64_t>(first_.count()), std::uint64_t{preempted_}})
    failover::Put(into, each);
  failover::Put(into, state_);
  failover::Put(into, met_);
}

void RecordProposer::Put(std::size_t replica, std::string& into) const {
  failover::Put(into, yes_[replica] + 2u * no_[replica]);
  for (std::uint64_t life : lives_[replica]) failover::Put(into, life);
  if (promises_[replica]) failover::Put(into, *promises_[replica]);
}

}  // namespace peatbend::failover

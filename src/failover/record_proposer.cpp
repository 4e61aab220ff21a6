#include "failover/record_proposer.h"

#include <algorithm>
#include <tuple>

namespace peatbend::failover {

void RecordProposer::EnterPhase(TimePoint now, Phase phase) {
  phase_ = phase;
  phase_started_ = now;
  preempted_ = false;
  acked_ = nacked_ = {};
  generations_ = {};
  promises_ = {};
}

Message RecordProposer::MakeRequest() const {
  Message message;
  message.operation = operation_;
  message.ballot = {round_, proposer_};
  if (phase_ == Phase::kPreparing) return message;
  message.kind = Kind::kAccept;
  message.version = version_;
  message.state = state_;
  return message;
}

void RecordProposer::Resend(TimePoint now, std::vector<Outgoing>& out) const {
  if (!InProgress()) return;
  Message message = MakeRequest();
  if (phase_ == Phase::kWriting) message.age = age(now);
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    if (!acked_[replica] && !nacked_[replica]) out.push_back({replica, message});
  }
}

void RecordProposer::Write(TimePoint now, RecordState next, std::vector<Outgoing>& out) {
  if (state_.attempts.empty()) first_attempt_ = now;
  state_ = std::move(next);
  ++version_;
  EnterPhase(now, Phase::kWriting);
  Resend(now, out);
}

void RecordProposer::Prepare(TimePoint now, std::vector<Outgoing>& out) {
  round_ = std::max(round_, highest_seen_.round) + 1;
  version_ = 0;
  EnterPhase(now, Phase::kPreparing);
  Resend(now, out);
}

bool RecordProposer::Expects(std::size_t replica, const Message& reply) const {
  if (replica >= kReplicas || reply.operation != operation_ || reply.ballot != Ballot{round_, proposer_})
    return false;
  // A restarted replica may reply again under its new generation.
  if (acked_[replica] && reply.generations[replica] <= generations_[replica][replica]) return false;
  if (reply.kind == Kind::kNack && (acked_[replica] || nacked_[replica])) return false;
  if (reply.kind == Kind::kNack) return InProgress() && reply.version == version_;
  if (phase_ == Phase::kPreparing) return reply.kind == Kind::kPromise;
  // The acceptance of an earlier write does not count for the current one.
  return phase_ == Phase::kWriting && reply.kind == Kind::kAccepted && reply.version >= version_;
}

bool RecordProposer::Handle(TimePoint now, std::size_t replica, const Message& reply) {
  if (!Expects(replica, reply)) return false;
  bool preparing = phase_ == Phase::kPreparing;
  if (reply.kind == Kind::kNack) {
    highest_seen_ = std::max(highest_seen_, reply.promised);
    preempted_ = preempted_ || reply.nack == Nack::kPreempted;
    nacked_[replica] = true;
    if (std::ranges::count(nacked_, true) <= static_cast<long>(kReplicas - kMajority)) return false;
    phase_ = Phase::kLost;
    return true;
  }
  acked_[replica] = true;
  nacked_[replica] = false;
  generations_[replica] = reply.generations;
  if (preparing) promises_[replica] = reply;
  for (std::size_t other = 0; other < kReplicas; ++other) {
    if (other == replica || !acked_[other] ||
        !GenerationsAgree(replica, generations_[replica], other, generations_[other]))
      continue;
    if (!preparing) return phase_ = Phase::kOwner, true;
    AdoptState(replica, other);
    first_attempt_ = now;
    // An age was reported after the request: counted from that, it is never too low.
    for (const auto& promise : promises_)
      if (promise && !promise->state.attempts.empty())
        first_attempt_ = std::min(first_attempt_, phase_started_ - promise->age);
    phase_ = Phase::kRead;
    return true;
  }
  return false;
}

// Adopts the state with the highest ballot. Under round 0 there may be two that conflict: see
// MergeConcurrent.
void RecordProposer::AdoptState(std::size_t one, std::size_t other) {
  const Message *high = &*promises_[one], *low = &*promises_[other];
  auto rank = [](const Message& promise) { return std::tie(promise.accepted, promise.version); };
  bool high_empty = high->version == 0;
  if (high_empty || (low->version > 0 && rank(*low) > rank(*high))) std::swap(high, low);
  state_ = high->state;
  bool concurrent =
      low->version > 0 && high->version > 0 && high->accepted.round == 0 && low->accepted != high->accepted;
  if (concurrent) state_ = MergeConcurrent(high->state, low->state);
}

void RecordProposer::AppendState(std::string& into) const {
  failover::AppendState(into, operation_);
  failover::AppendState(into, Ballot{round_, proposer_});
  for (std::uint64_t each : {static_cast<std::uint64_t>(phase_), std::uint64_t{version_},
                             static_cast<std::uint64_t>(phase_started_.count()),
                             static_cast<std::uint64_t>(first_attempt_.count()), std::uint64_t{preempted_}})
    failover::AppendState(into, each);
  failover::AppendState(into, state_);
  failover::AppendState(into, highest_seen_);
}

void RecordProposer::AppendState(std::size_t replica, std::string& into) const {
  failover::AppendState(into, acked_[replica] + 2u * nacked_[replica]);
  for (std::uint64_t generation : generations_[replica]) failover::AppendState(into, generation);
  if (promises_[replica]) failover::AppendState(into, *promises_[replica]);
}

}  // namespace peatbend::failover

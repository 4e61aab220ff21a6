#include "stage/transaction.h"

#include <algorithm>
#include <utility>

namespace peatbend::net {

Counters::PerClass& Transaction::class_counters() {
  return counters_.classes[static_cast<std::size_t>(request_->cls)];
}

void Transaction::Serve(evbuffer* value) {
  if (AnswerSink* client = TakeClient()) {
    ++class_counters().served;
    outcome_ = Outcome::kServed;
    client->Serve(position_, value);
  }
}

void Transaction::Reject(Duration retry_after) {
  if (AnswerSink* client = TakeClient()) {
    ++class_counters().rejected;
    outcome_ = Outcome::kRejected;
    client->Reject(position_, retry_after);
  }
}

void Transaction::Fail() {
  if (AnswerSink* client = TakeClient()) {
    ++class_counters().failed;
    client->Fail(position_);
  }
}

AnswerSink* Transaction::TakeClient() {
  return stream_attempt_ >= 0 ? nullptr : std::exchange(client_, nullptr);
}

// While answers before its own are owed, the client does not wait for this one.
LargeValueFacts Transaction::FactsOfValue(TimePoint now) const {
  LargeValueFacts facts;
  facts.commands_behind = client_->CommandsBehind(position_);
  facts.next = is_next();
  facts.limit = request_->remaining;
  if (facts.next) facts.waited = now - std::max(client_->NextSince(), deadline_ - request_->remaining);
  return facts;
}

bool Transaction::BeginStream(int attempt, std::size_t length) {
  if (client_ == nullptr || stream_attempt_ >= 0) return false;
  stream_attempt_ = attempt;
  client_->BeginValue(position_, length);
  return true;
}

void Transaction::EndStream(bool complete) {
  AnswerSink* client = std::exchange(client_, nullptr);
  if (client == nullptr) return;
  complete ? ++class_counters().served : ++class_counters().failed;
  outcome_ = complete ? Outcome::kServed : Outcome::kLost;
  client->EndValue(position_, complete);
}

AttemptLimits Transaction::LimitsOf(TimePoint now, const Send& send) const {
  AttemptLimits limits;
  limits.timeout = send.give_up_after;
  limits.begin_by = BeginBy(now, send.begin_within);
  if (send.deliver_within != Duration::max()) limits.deliver_by = now + send.deliver_within;
  return limits;
}

bool Transaction::waits_for_server() const {
  if (closed()) return false;
  return std::ranges::none_of(attempts_,
                              [](const auto& attempt) { return attempt && attempt->has_connection(); });
}

void Transaction::EndAttempts(TimePoint deliver_by) {
  for (auto& attempt : attempts_) {
    if (!attempt || attempt->number() == stream_attempt_) continue;
    bool cancel = attempt->dialling() || attempt->holds_memory();
    cancel ? attempt->Cancel() : attempt->DeliverBy(deliver_by);
  }
}

void Transaction::ClientLeft() {
  if (std::exchange(client_, nullptr) != nullptr) ++counters_.requests_abandoned;
}

}  // namespace peatbend::net

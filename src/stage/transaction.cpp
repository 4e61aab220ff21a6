#include "stage/transaction.h"

#include <algorithm>
#include <utility>

namespace peatbend::net {

Counters::PerClass& Transaction::PerClass() {
  return counters_.classes[static_cast<std::size_t>(request_->cls)];
}

void Transaction::Serve(evbuffer* value) {
  if (AnswerSink* client = Answer()) {
    ++PerClass().served;
    fate_ = Fate::kServed;
    client->Serve(place_, value);
  }
}

void Transaction::Reject(Duration come_back) {
  if (AnswerSink* client = Answer()) {
    ++PerClass().rejected;
    fate_ = Fate::kRejected;
    client->Reject(place_, come_back);
  }
}

void Transaction::Fail() {
  if (AnswerSink* client = Answer()) {
    ++PerClass().failed;
    client->Fail(place_);
  }
}

AnswerSink* Transaction::Answer() { return streams_ >= 0 ? nullptr : std::exchange(client_, nullptr); }

bool Transaction::Begin(int attempt, std::size_t length) {
  if (client_ == nullptr || streams_ >= 0) return false;
  streams_ = attempt;
  client_->BeginValue(place_, length);
  return true;
}

void Transaction::EndValue(bool whole) {
  AnswerSink* client = std::exchange(client_, nullptr);
  if (client == nullptr) return;
  whole ? ++PerClass().served : ++PerClass().failed;
  fate_ = whole ? Fate::kServed : Fate::kLost;
  client->EndValue(place_, whole);
}

bool Transaction::waits_for_server() const {
  if (closed()) return false;
  return std::ranges::none_of(flows_, [](const auto& flow) { return flow && flow->has_connection(); });
}

void Transaction::GiveUpUnbegun() {
  for (auto& flow : flows_) {
    if (flow && flow->dialling()) flow->Cancel();
  }
}

void Transaction::ClientLeft() {
  if (std::exchange(client_, nullptr) != nullptr) ++counters_.requests_abandoned;
}

}  // namespace peatbend::net

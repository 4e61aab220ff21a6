#include "stage/transaction.h"

#include <utility>

namespace peatbend::net {

Counters::OfClass& Transaction::OfClass() {
  return counters_.classes[static_cast<std::size_t>(request_->cls)];
}

void Transaction::Serve(evbuffer* value) {
  if (AnswerSink* client = std::exchange(client_, nullptr)) {
    ++OfClass().served;
    client->Served(place_, value);
  }
}

void Transaction::Reject(Duration come_back) {
  if (AnswerSink* client = std::exchange(client_, nullptr)) {
    ++OfClass().rejected;
    client->Rejected(place_, come_back);
  }
}

void Transaction::Fail() {
  if (AnswerSink* client = std::exchange(client_, nullptr)) {
    ++OfClass().failed;
    client->Failed(place_);
  }
}

void Transaction::ClientLeft() {
  if (std::exchange(client_, nullptr) != nullptr) ++counters_.transactions_gone;
}

}  // namespace peatbend::net

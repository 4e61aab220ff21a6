#include "stage/server_attempt.h"

#include <algorithm>

#include "base/value_bounds.h"
#include "member/member_connections.h"

namespace peatbend::net {
ServerAttempt::~ServerAttempt() {
  if (connection_ != nullptr) connection_->Abandon();
}

void ServerAttempt::Start(MemberConnections& connections, const Request& request,
                          const AttemptLimits& limits) {
  started_ = clock_.Now();
  bool too_late = started_ > std::min(limits.begin_by, limits.deliver_by);
  if (limits.timeout <= Duration::zero() || too_late) return EndWithResult(Result::kNeverSent);
  connections_ = &connections;
  connection_ = connections.Begin(*this, request, limits);
  if (connection_ == nullptr) return EndWithResult(Result::kNoConn);
  timeout_.Set(limits.timeout);
}

Attempt::ValueStep ServerAttempt::LargeValue(std::size_t length) {
  if (answer_began_ == TimePoint{}) answer_began_ = clock_.Now();
  std::optional<ValueDecision> decision = owner_.OnLargeValue(*this, length);
  if (!decision) return Cancel(), ValueStep::kGone;
  if (decision->delivery == ValueDelivery::kPassOn) {
    review_.reset();
    timeout_.Set(kValueStall);
    return ValueStep::kPassOn;
  }
  if (!review_) review_.emplace(base_, [this] { OnReviewDue(); });
  if (decision->decide_again != Duration::max()) review_->Set(decision->decide_again);
  if (decision->delivery == ValueDelivery::kLeaveUnread) {
    timeout_.Stop();
    return ValueStep::kLeaveUnread;
  }
  timeout_.Set(kValueStall);
  return ValueStep::kHold;
}

void ServerAttempt::ReviewValue() {
  if (review_) review_->Activate();
}

void ServerAttempt::OnReviewDue() {
  if (connection_ != nullptr) connection_->ReviewValue();
}

bool ServerAttempt::Piece(evbuffer* bytes, bool& gone) {
  switch (owner_.OnStreamChunk(*this, bytes)) {
    case AttemptOwner::Next::kContinue:
      timeout_.Set(kValueStall);
      return true;
    case AttemptOwner::Next::kPause:
      timeout_.Stop();
      return false;
    case AttemptOwner::Next::kCancel:
      break;
  }
  gone = true;
  Cancel();
  return false;
}

void ServerAttempt::AnswerWaits(bool waits) {
  if (review_) return waits ? timeout_.Stop() : timeout_.Set(kValueStall);  // it is passed on in time
  if (waits && answer_began_ == TimePoint{}) answer_began_ = clock_.Now();
  answer_waits_ = waits;
  owner_.OnAnswerWaits(*this, waits);
}

void ServerAttempt::ResumeStream() {
  if (ended_ || connection_ == nullptr) return;
  timeout_.Set(kValueStall);
  connection_->Resume();
}

void ServerAttempt::Cancel() {
  if (ended_) return;
  Result result = dialling() ? Result::kNeverSent : Result::kCancelled;
  AbandonConnection();
  EndWithResult(result);
}

void ServerAttempt::DeliverBy(TimePoint latest) {
  if (connection_ != nullptr) connection_->DeliverBy(latest);
}

bool ServerAttempt::holds_memory() const { return connection_ != nullptr && connection_->holds_memory(); }

bool ServerAttempt::dialling() const { return connection_ != nullptr && !connection_->begun(); }

// A request that has not been written completely has not run; the balancer treats it as a failed connection.
// If a written request gets no answer, the member may have died without closing its connections, which TCP
// does not report. Its idle connections are closed then, so that the next attempt dials and fails early.
// The server is not to blame for an answer that waits for this router's memory.
void ServerAttempt::OnTimeout() {
  if (answer_waits_) return Cancel();
  bool written = AbandonConnection();
  if (written) connections_->CloseIdle(member_);
  EndWithResult(written ? Result::kLate : Result::kNoConn);
}

// Closes the connection, which tells the member that the answer is no longer wanted. Returns whether the
// request was written completely.
bool ServerAttempt::AbandonConnection() {
  bool written = connection_->written();
  std::exchange(connection_, nullptr)->Abandon();
  return written;
}

void ServerAttempt::EndWithResult(Result result) {
  FlowReply reply;
  reply.result = result;
  End(std::move(reply));
}

void ServerAttempt::End(FlowReply reply) {
  if (std::exchange(ended_, true)) return;
  connection_ = nullptr;
  timeout_.Stop();
  review_.reset();
  owner_.OnAttemptEnded(*this, std::move(reply));
}

}  // namespace peatbend::net

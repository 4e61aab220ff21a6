// Execution of the balancer's actions.
#include <algorithm>
#include <utility>

#include "stage/balancer_driver.h"

namespace peatbend::net {

void BalancerDriver::Execute(const Send& send) {
  Transaction* transaction = Find(send.id);
  if (transaction == nullptr) return ReportNeverSent(send.id, 0, send.server.name);
  auto& attempts = transaction->attempts();
  int attempt = static_cast<int>(attempts.size());
  attempts.push_back(
      std::make_unique<ServerAttempt>(*this, base_, clock_, send.id, attempt, send.server.name));
  ++transaction->unreported_attempts;
  if (transaction->closed() || transaction->deadline() <= clock_.Now() || attempt >= settings_.try_limit) {
    ++counters_.outcomes[static_cast<std::size_t>(Result::kNeverSent)];
    return ReportNeverSent(send.id, attempt, send.server.name);
  }
  AttemptLimits limits = transaction->LimitsOf(clock_.Now(), send);
  if (!transaction->tracked) return StartAttempt(*transaction, attempt, limits);
  transaction->held_attempt = attempt;  // until the operation tracker permits it
  transaction->held_limits = limits;
  operation_tracker_->RequestSendPermit(send.id, send.server.name);
}

void BalancerDriver::StartAttempt(Transaction& transaction, int attempt, AttemptLimits limits) {
  Duration left = transaction.deadline() - clock_.Now();
  limits.timeout = limits.timeout == Duration::zero() ? left : std::min(left, limits.timeout);
  if (overload_control_ != nullptr)
    overload_control_->OnSend(transaction.attempts()[static_cast<std::size_t>(attempt)]->member());
  auto& server_attempt = *transaction.attempts()[static_cast<std::size_t>(attempt)];
  server_attempt.Start(connections_, transaction.request(), limits);
}

void BalancerDriver::ReportNeverSent(RequestId id, int attempt, const std::string& member) {
  FlowReply reply;
  reply.result = Result::kNeverSent;
  Enqueue(AttemptEnded{id, attempt, member, std::move(reply), {}});
}

void BalancerDriver::Execute(const Reject& reject) {
  Transaction* transaction = Find(reject.id);
  if (transaction != nullptr) Finish(*transaction, OperationOutcome::kRejected, reject.backoff);
}

void BalancerDriver::Execute(const Fail& fail) {
  Transaction* transaction = Find(fail.id);
  if (transaction != nullptr) Finish(*transaction, OperationOutcome::kFailed, {});
}

void BalancerDriver::Finish(Transaction& transaction, OperationOutcome outcome, Duration retry_after) {
  if (!transaction.tracked || transaction.finished())
    return SendFinalAnswer(transaction, outcome, retry_after);
  transaction.ending = true;
  transaction.EndAttempts(clock_.Now() + kDeliveryGrace);
  transaction.retry_after = retry_after;
  operation_tracker_->RecordOutcome(transaction.id(), outcome, {});
}

void BalancerDriver::SendFinalAnswer(Transaction& transaction, OperationOutcome outcome,
                                     Duration retry_after) {
  if (outcome == OperationOutcome::kRejected) {
    transaction.Reject(std::min(retry_after, settings_.max_retry_after));
  } else {
    transaction.Fail();
  }
  EraseIfFinished(transaction.id());
}

void BalancerDriver::DropHeldAttempt(Transaction& transaction) {
  if (transaction.held_attempt < 0) return;
  int attempt = std::exchange(transaction.held_attempt, -1);
  ++counters_.outcomes[static_cast<std::size_t>(Result::kNeverSent)];
  ReportNeverSent(transaction.id(), attempt,
                  transaction.attempts()[static_cast<std::size_t>(attempt)]->member());
}

void BalancerDriver::Execute(const Cancel& cancel) {
  Transaction* transaction = Find(cancel.id);
  auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (transaction == nullptr || attempt >= transaction->attempts().size()) return;
  if (transaction->held_attempt == cancel.attempt) return DropHeldAttempt(*transaction);
  if (transaction->active_stream() == cancel.attempt) return;  // the client is already receiving its value
  if (ServerAttempt* server_attempt = transaction->attempts()[attempt].get()) server_attempt->Cancel();
}

void BalancerDriver::Execute(const SetTimer& timer) { timers_.emplace(clock_.Now() + timer.delay, timer.id); }

void BalancerDriver::Execute(const Subscribe&) { watch_discovery_(); }

void BalancerDriver::Execute(const CloseIdleConnections& release) {
  connections_.CloseIdle(release.server.name);
}

void BalancerDriver::Execute(const peatbend::Log& line) { log_.Line("module", line.text); }

void BalancerDriver::Execute(const ReportTrial& trial) {
  if (overload_control_ != nullptr) overload_control_->OnTrial(trial);
}

}  // namespace peatbend::net

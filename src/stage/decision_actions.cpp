// The module's actions, carried out: attempts begun and cancelled, requests answered, timers and calls asked
// for.
#include <algorithm>
#include <utility>

#include "stage/decision.h"

namespace peatbend::net {

void Decision::Do(const Send& send) {
  Transaction* transaction = Find(send.id);
  if (transaction == nullptr) return NeverSent(send.id, 0, send.server.name);
  auto& flows = transaction->flows();
  int attempt = static_cast<int>(flows.size());
  flows.push_back(std::make_unique<ServerSideFlow>(*this, base_, clock_, send.id, attempt, send.server.name));
  ++transaction->open_flows;
  if (transaction->closed() || transaction->deadline() <= clock_.Now() || attempt >= settings_.try_limit) {
    ++counters_.outcomes[static_cast<std::size_t>(Result::kNeverSent)];
    return NeverSent(send.id, attempt, send.server.name);
  }
  TimePoint begin_by = transaction->BeginBy(clock_.Now(), send.begin_within);
  if (!transaction->tracked) return Start(*transaction, attempt, send.give_up_after, begin_by);
  transaction->held = attempt;  // its record is asked first
  transaction->held_limit = send.give_up_after;
  transaction->held_begin_by = begin_by;
  keeping_->Want(send.id, send.server.name);
}

void Decision::Start(Transaction& transaction, int attempt, Duration give_up_after, TimePoint begin_by) {
  Duration left = transaction.deadline() - clock_.Now();
  Duration limit = give_up_after == Duration::zero() ? left : std::min(left, give_up_after);
  if (watching_ != nullptr)
    watching_->Sending(transaction.flows()[static_cast<std::size_t>(attempt)]->member());
  auto& flow = *transaction.flows()[static_cast<std::size_t>(attempt)];
  flow.Start(connections_, transaction.request(), limit, begin_by);
}

void Decision::NeverSent(RequestId id, int attempt, const std::string& member) {
  FlowReply never;
  never.result = Result::kNeverSent;
  Post(Ended{id, attempt, member, std::move(never), {}});
}

void Decision::Do(const Reject& reject) {
  Transaction* transaction = Find(reject.id);
  if (transaction != nullptr) End(*transaction, OperationOutcome::kRejected, reject.backoff);
}

void Decision::Do(const Fail& fail) {
  Transaction* transaction = Find(fail.id);
  if (transaction != nullptr) End(*transaction, OperationOutcome::kFailed, {});
}

void Decision::End(Transaction& transaction, OperationOutcome end, Duration come_back) {
  if (!transaction.tracked || transaction.finished()) return Tell(transaction, end, come_back);
  transaction.ending = true;
  transaction.GiveUpUnbegun();
  transaction.come_back = come_back;
  keeping_->Finish(transaction.id(), end, {});
}

void Decision::Tell(Transaction& transaction, OperationOutcome end, Duration come_back) {
  if (end == OperationOutcome::kRejected) {
    transaction.Reject(std::min(come_back, settings_.max_retry_after));
  } else {
    transaction.Fail();
  }
  ForgetIfOver(transaction.id());
}

void Decision::NotSent(Transaction& transaction) {
  if (transaction.held < 0) return;
  int attempt = std::exchange(transaction.held, -1);
  ++counters_.outcomes[static_cast<std::size_t>(Result::kNeverSent)];
  NeverSent(transaction.id(), attempt, transaction.flows()[static_cast<std::size_t>(attempt)]->member());
}

void Decision::Do(const Cancel& cancel) {
  Transaction* transaction = Find(cancel.id);
  auto attempt = static_cast<std::size_t>(cancel.attempt);
  if (transaction == nullptr || attempt >= transaction->flows().size()) return;
  if (transaction->held == cancel.attempt) return NotSent(*transaction);
  if (transaction->streams() == cancel.attempt) return;  // its value has begun to go to the client
  if (ServerSideFlow* flow = transaction->flows()[attempt].get()) flow->Cancel();
}

void Decision::Do(const SetTimer& timer) { timers_.emplace(clock_.Now() + timer.delay, timer.id); }

void Decision::Do(const Subscribe&) { watch_discovery_(); }

void Decision::Do(const CloseIdleConnections& release) { connections_.CloseIdle(release.server.name); }

void Decision::Do(const peatbend::Log& line) { log_.Line("module", line.text); }

void Decision::Do(const ReportTrial& trial) {
  if (watching_ != nullptr) watching_->Tried(trial);
}

}  // namespace peatbend::net

// The decisions of the model's routers, and the rules that are checked at each event.
#include <algorithm>

#include "lab/rules.h"
#include "orders/failover_model.h"

namespace peatbend::orders {

void FailoverModel::CheckRejection(const Message& message) {
  if (message.kind != failover::Kind::kAccept || message.state.outcome != OperationOutcome::kRejected) return;
  auto has = std::ranges::count_if(replicas_, [&](const auto& replica) {
    const auto& stored = replica->acceptor.stored();
    return !stored.empty() && stored.begin()->second.accepted == message.ballot &&
           stored.begin()->second.version == message.version;
  });
  bool ran = std::ranges::any_of(sent_, [](const SentAttempt& sent) { return sent.ran != 0; });
  if (has == failover::kMajority && ran) ReportViolation("rejected although an attempt may have run");
}

void FailoverModel::HandleReply(std::size_t r, Router& router, std::size_t replica, const Message& message,
                                Outs& out) {
  switch (router.ownership.Handle(now_, replica, message, out)) {
    case OwnershipResult::kSend:
      if (setup_.mutant != Mutant::kSendsEarly) Send(r, router);
      break;
    case OwnershipResult::kAnswer:
      OnOutcome(router.ownership.state().outcome, router.ownership.state().value);
      break;
    case OwnershipResult::kRead:
    case OwnershipResult::kExpired:
      ContinueOperation(r, router, out);
      break;
    default:
      break;
  }
}

void FailoverModel::RequestAttempt(std::size_t r, Router& router, Outs& out) {
  router.ownership.RequestAttempt(now_, "m" + std::to_string(r), out);
  if (setup_.mutant == Mutant::kSendsEarly) Send(r, router);
}

void FailoverModel::TakeOver(std::size_t r, Router& router, Outs& out) {
  router.ownership.TakeOver(now_, out);
  if (setup_.mutant != Mutant::kNoPromise) return;
  for (std::size_t replica = 0; replica < failover::kMajority; ++replica) {
    Message promise = out[replica].message;
    promise.kind = failover::Kind::kPromise;
    Outs more;
    HandleReply(r, router, replica, promise, more);
    out.insert(out.end(), more.begin(), more.end());
  }
}

void FailoverModel::ContinueOperation(std::size_t r, Router& router, Outs& out) {
  failover::Duration age =
      setup_.mutant == Mutant::kWindowRestarted ? failover::Duration{} : router.ownership.record().age(now_);
  failover::RecordState state = router.ownership.KnownState();
  if (setup_.mutant == Mutant::kOneConcurrentWrite && !state.attempts.empty())
    state.attempts.erase(state.attempts.begin(), state.attempts.end() - 1);
  if (state.outcome == OperationOutcome::kRejected &&
      !(setup_.second_client && r == 1))  // no new request has arrived at this router
    return router.ownership.Finish(now_, OperationOutcome::kRejected, "", out);
  switch (NextAction(state, cls_, age, kSendPermit)) {
    case failover::RecoveryAction::kFail:
      return router.ownership.Finish(now_, OperationOutcome::kFailed, "", out);
    case failover::RecoveryAction::kAnswer:
      return router.ownership.Finish(now_, OperationOutcome::kNone, "", out);
    default:
      return RequestAttempt(r, router, out);
  }
}

void FailoverModel::EndAttempt(std::size_t r, bool value, bool ran) {
  Change(r, [&](Router& router, Outs& out) {
    router.in_progress = false;
    SentAttempt& sent = *std::find_if(sent_.rbegin(), sent_.rend(),
                                      [&](const SentAttempt& s) { return s.by == static_cast<int>(r); });
    std::string text = "v" + std::to_string(&sent - sent_.data());
    if (!ran) {
      sent.ran = 0;
      router.ownership.OnNeverRan();
    }
    if (value) {
      if (setup_.mutant == Mutant::kAnswersEarly) OnOutcome(OperationOutcome::kValue, text);
      return router.ownership.Finish(now_, OperationOutcome::kValue, text, out);
    }
    auto known = router.ownership.record();
    failover::Duration age =
        setup_.mutant == Mutant::kWindowRestarted ? failover::Duration{} : known.age(now_);
    bool nothing_ran = !ran && NextAction(router.ownership.KnownState(), cls_, age, kSendPermit) ==
                                   failover::RecoveryAction::kSend;
    bool repeat = nothing_ran || (cls_.effect == Effect::kKeyed && age + kSendPermit < cls_.dedup_window);
    if (repeat && !std::exchange(router.retried, true) && known.phase() != RecordProposer::Phase::kLost)
      return RequestAttempt(r, router, out);
    router.ownership.Finish(now_, nothing_ran ? OperationOutcome::kRejected : OperationOutcome::kFailed, "",
                            out);
  });
}

void FailoverModel::Send(std::size_t r, Router& router) {
  for (const SentAttempt& before : sent_) {
    if (before.ran == 0) continue;
    switch (lab::JudgeRepeat(cls_, now_ - before.at, {}, true)) {
      case lab::Repeat::kNever:
        ReportViolation("unsafe operation sent twice");
        break;
      case lab::Repeat::kTooLate:
        ReportViolation("keyed operation sent again after its window");
        break;
      default:
        break;
    }
  }
  if (!outcome_.empty() && now_ > outcome_at_ + kSendPermit)
    ReportViolation("sent after the outcome was returned");
  sent_.push_back({static_cast<int>(r), now_, 1});
  router.in_progress = true;
}

void FailoverModel::OnOutcome(OperationOutcome outcome, const std::string& value) {
  if (outcome == OperationOutcome::kRejected) return;  // checked by CheckRejection
  std::string text = std::string(failover::kOutcomeNames[static_cast<int>(outcome)]) + value;
  if (!outcome_.empty() && outcome_ != text)
    ReportViolation("conflicting outcomes: " + outcome_ + ", " + text);
  if (outcome_.empty()) outcome_at_ = now_;
  outcome_ = text;
}

void FailoverModel::ReportViolation(const std::string& rule) {
  if (violation_.empty()) violation_ = rule;
}

}  // namespace peatbend::orders

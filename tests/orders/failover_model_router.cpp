// The town's routers: what each decides on what it is told, and the rules, checked as things happen.
#include <algorithm>

#include "lab/rules.h"
#include "orders/failover_model.h"

namespace peatbend::orders {

void FailoverModel::Committed(const Message& message) {
  if (message.kind != failover::Kind::kAccept || message.state.outcome != OperationOutcome::kRejected) return;
  auto has = std::ranges::count_if(replicas_, [&](const auto& replica) {
    const auto& stored = replica->acceptor.stored();
    return !stored.empty() && stored.begin()->second.kept == message.ballot &&
           stored.begin()->second.version == message.version;
  });
  bool ran = std::ranges::any_of(sent_, [](const Sent& sent) { return sent.ran != 0; });
  if (has == failover::kMajority && ran) Broken("rejected what may have run");
}

void FailoverModel::Take(std::size_t r, Router& router, std::size_t replica, const Message& message,
                         Outs& out) {
  switch (router.ownership.Take(now_, replica, message, out)) {
    case OwnershipResult::kSend:
      if (setup_.mutant != Mutant::kSendsFirst) Send(r, router);
      break;
    case OwnershipResult::kAnswer:
      Tell(router.ownership.state().outcome, router.ownership.state().value);
      break;
    case OwnershipResult::kRead:
    case OwnershipResult::kExpired:
      GoOn(r, router, out);
      break;
    default:
      break;
  }
}

void FailoverModel::Want(std::size_t r, Router& router, Outs& out) {
  router.ownership.Want(now_, "m" + std::to_string(r), out);
  if (setup_.mutant == Mutant::kSendsFirst) Send(r, router);
}

void FailoverModel::TakeOver(std::size_t r, Router& router, Outs& out) {
  router.ownership.TakeOver(now_, out);
  if (setup_.mutant != Mutant::kNoPromise) return;
  for (std::size_t replica = 0; replica < failover::kMajority; ++replica) {
    Message promise = out[replica].message;
    promise.kind = failover::Kind::kPromise;
    Outs more;
    Take(r, router, replica, promise, more);
    out.insert(out.end(), more.begin(), more.end());
  }
}

void FailoverModel::GoOn(std::size_t r, Router& router, Outs& out) {
  failover::Span age =
      setup_.mutant == Mutant::kWindowAnew ? failover::Span{} : router.ownership.record().age(now_);
  failover::RecordState state = router.ownership.Known();
  if (setup_.mutant == Mutant::kOneWriter && !state.attempts.empty())
    state.attempts.erase(state.attempts.begin(), state.attempts.end() - 1);
  if (state.outcome == OperationOutcome::kRejected &&
      !(setup_.second_asker && r == 1))  // nobody here has asked anew
    return router.ownership.Finish(now_, OperationOutcome::kRejected, "", out);
  switch (NextAction(state, cls_, age, kWithin)) {
    case failover::RecoveryAction::kFail:
      return router.ownership.Finish(now_, OperationOutcome::kFailed, "", out);
    case failover::RecoveryAction::kAnswer:
      return router.ownership.Finish(now_, OperationOutcome::kNone, "", out);
    default:
      return Want(r, router, out);
  }
}

void FailoverModel::Settle(std::size_t r, bool value, bool ran) {
  Change(r, [&](Router& router, Outs& out) {
    router.out = false;
    Sent& sent = *std::find_if(sent_.rbegin(), sent_.rend(),
                               [&](const Sent& s) { return s.by == static_cast<int>(r); });
    std::string text = "v" + std::to_string(&sent - sent_.data());
    if (!ran) {
      sent.ran = 0;
      router.ownership.NeverRan();
    }
    if (value) {
      if (setup_.mutant == Mutant::kTellsFirst) Tell(OperationOutcome::kValue, text);
      return router.ownership.Finish(now_, OperationOutcome::kValue, text, out);
    }
    auto known = router.ownership.record();
    failover::Span age = setup_.mutant == Mutant::kWindowAnew ? failover::Span{} : known.age(now_);
    bool nothing_ran =
        !ran && NextAction(router.ownership.Known(), cls_, age, kWithin) == failover::RecoveryAction::kSend;
    bool repeat = nothing_ran || (cls_.effect == Effect::kKeyed && age + kWithin < cls_.dedup_window);
    if (repeat && !std::exchange(router.again, true) && known.phase() != RecordProposer::Phase::kLost)
      return Want(r, router, out);
    router.ownership.Finish(now_, nothing_ran ? OperationOutcome::kRejected : OperationOutcome::kFailed, "",
                            out);
  });
}

void FailoverModel::Send(std::size_t r, Router& router) {
  for (const Sent& before : sent_) {
    if (before.ran == 0) continue;
    switch (lab::JudgeRepeat(cls_, now_ - before.at, {}, true)) {
      case lab::Repeat::kNever:
        Broken("unsafe operation sent twice");
        break;
      case lab::Repeat::kTooLate:
        Broken("keyed operation sent again after its window");
        break;
      default:
        break;
    }
  }
  if (!told_.empty() && now_ > told_at_ + kWithin) Broken("sent what had ended");
  sent_.push_back({static_cast<int>(r), now_, 1});
  router.out = true;
}

void FailoverModel::Tell(OperationOutcome outcome, const std::string& value) {
  if (outcome == OperationOutcome::kRejected) return;  // see Committed
  std::string text = std::string(failover::kOutcomeNames[static_cast<int>(outcome)]) + value;
  if (!told_.empty() && told_ != text) Broken("two ends: " + told_ + ", " + text);
  if (told_.empty()) told_at_ = now_;
  told_ = text;
}

void FailoverModel::Broken(const std::string& rule) {
  if (broken_.empty()) broken_ = rule;
}

}  // namespace peatbend::orders

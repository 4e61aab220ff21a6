#include "takeover/custody.h"

#include <algorithm>

namespace peatbend::takeover {

Next NextOf(const State& state, const ClassSettings& cls, Span age, Span unsure) {
  if (state.final()) return Next::kTell;
  bool ran = std::ranges::any_of(state.steps, &Step::may_have_run);
  if (!ran) return Next::kSend;
  if (cls.effect == Effect::kSafe) return Next::kRepeat;
  if (cls.effect == Effect::kUnsafe) return Next::kFail;
  return age + unsure < cls.window ? Next::kRepeat : Next::kFail;
}

// What stands, with what this process knows of its own steps: one that was neither permitted nor is wanted
// now has not run, and will not.
State Custody::Known() const {
  State known = claim_.state();
  for (Step& step : known.steps) {
    if (step.by != claim_.author()) continue;
    bool wanted = !server_.empty() && step.number == number_;
    step.may_have_run = wanted || may_have_run_.contains(step.number);
  }
  return known;
}

bool Custody::MayHaveRun() const {
  return std::ranges::any_of(claim_.state().steps, [this](const Step& step) {
    return step.by == claim_.author() ? may_have_run_.contains(step.number) : step.may_have_run;
  });
}

bool Custody::RanElsewhere() const {
  return std::ranges::any_of(claim_.state().steps, [this](const Step& step) {
    return step.by != claim_.author() && step.may_have_run;
  });
}

void Custody::Want(Time now, const std::string& server, std::vector<Claim::Out>& out) {
  server_.clear();
  State next = Known();
  if (next.final() || claim_.phase() == Claim::Phase::kLost || claim_.phase() == Claim::Phase::kAsking)
    return;
  next.end = End::kNone;  // a reject is over with the next who asks
  next.let_go = false;
  server_ = server;
  next.steps.push_back({claim_.author(), ++number_, server, true});
  claim_.Write(now, std::move(next), out);
}

void Custody::NeverRan() { may_have_run_.erase(sent_); }

void Custody::Finish(Time now, End end, std::string value, std::vector<Claim::Out>& out, bool kept) {
  server_.clear();
  end_ = end;
  value_ = std::move(value);
  kept_ = kept;
  if (claim_.phase() == Claim::Phase::kLost) return TakeOver(now, out);
  if (claim_.phase() == Claim::Phase::kAsking) return;  // once it is read
  State next = Known();
  own_end_ = !next.final();
  if (own_end_) {
    next.end = end_;
    next.value = kept_ ? value_ : std::string();
    next.kept = kept_;
    next.let_go = false;
  }
  claim_.Write(now, std::move(next), out);
}

void Custody::LetGo(Time now, std::vector<Claim::Out>& out) {
  server_.clear();
  bool wrote = claim_.phase() == Claim::Phase::kWriting || claim_.phase() == Claim::Phase::kHolding;
  State next = Known();
  if (!wrote || next.final()) return;
  next.let_go = true;
  claim_.Write(now, std::move(next), out);
}

void Custody::TakeOver(Time now, std::vector<Claim::Out>& out) {
  server_.clear();
  claim_.Ask(now, out);
}

Custody::Verdict Custody::Take(Time now, std::size_t seat, const Message& answer,
                               std::vector<Claim::Out>& out) {
  if (!claim_.Take(now, seat, answer)) return Verdict::kNothing;
  switch (claim_.phase()) {
    case Claim::Phase::kHolding:
      if (claim_.state().end != End::kNone) return Verdict::kTell;
      if (server_.empty()) return Verdict::kNothing;
      if (claim_.since(now) > send_within_) {
        server_.clear();  // so that step has not run
        return Verdict::kLate;
      }
      server_.clear();
      sent_ = number_;
      may_have_run_.insert(sent_);
      return Verdict::kSend;
    case Claim::Phase::kRead:
      if (end_ == End::kRejected && RanElsewhere()) end_ = End::kFailed;
      if (end_ != End::kNone || claim_.state().final()) {
        Finish(now, end_, value_, out, kept_);
        return Verdict::kNothing;
      }
      return Verdict::kRead;
    case Claim::Phase::kLost:
      server_.clear();
      return Verdict::kLost;
    default:
      return Verdict::kNothing;
  }
}

void Custody::Put(std::string& into) const {
  claim_.Put(into);
  takeover::Put(into, server_);
  takeover::Put(into, static_cast<std::uint64_t>(end_));
  takeover::Put(into, value_);
  takeover::Put(into, kept_ + 2u * own_end_);
  takeover::Put(into, number_);
  takeover::Put(into, sent_);
  for (std::uint32_t number : may_have_run_) takeover::Put(into, number);
}

}  // namespace peatbend::takeover

#include "orders/trials_model.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace peatbend::orders {

using overload::Trials;
using overload::TrialUpdate;
using What = TrialsModel::Event::What;

namespace {

std::string NameOf(std::size_t router) { return "r" + std::to_string(router); }

std::uint64_t Mix(std::initializer_list<std::uint64_t> words) {
  return XXH3_64bits(std::data(words), words.size() * sizeof *std::data(words));
}

std::uint32_t EpochOf(const std::vector<TrialUpdate>& updates) {
  return updates.empty() ? 0 : updates.front().epoch;
}

}  // namespace

TrialsModel::TrialsModel(const TrialsModelSetup& setup)
    : setup_(std::make_shared<TrialsModelSetup>(setup)),
      ends_(setup.ends),
      turn_passes_(setup.turn_passes),
      losses_(setup.losses),
      duplicates_(setup.duplicates),
      deaths_(setup.deaths) {
  for (std::size_t r = 0; r < kRouters; ++r) {
    Router router{.trials = Trials(NameOf(r), Options(setup.silence_ticks))};
    if (setup.mutant != TrialsMutant::kByAll) router.trials.SetPresent({NameOf(0), NameOf(1), NameOf(2)});
    routers_[r] = std::make_shared<const Router>(std::move(router));
  }
}

// ---- Possible events --------------------------------------------------------------------------------------

bool TrialsModel::MayTick() const {
  if (now_ >= setup_->ticks) return false;
  if (!setup_->connected) return true;
  return in_flight_.empty() && std::ranges::all_of(routers_, [](const auto& router) {
           return !router->alive || router->sent_signal;
         });
}

std::vector<TrialsModel::Event> TrialsModel::Events() const {
  std::vector<Event> events;
  for (std::size_t i = 0; i < in_flight_.size(); ++i) {
    if (i > 0 && in_flight_[i]->fingerprint == in_flight_[i - 1]->fingerprint) continue;
    events.push_back({What::kReceives, i});
    if (duplicates_ > 0) events.push_back({What::kReceivesAndKeeps, i});
    if (losses_ > 0) events.push_back({What::kLost, i});
  }
  for (std::size_t r = 0; r < kRouters; ++r) {
    const Router& router = *routers_[r];
    if (!router.alive) continue;
    if (now_ == 0 && !router.saw_failure && !router.sent_signal && static_cast<int>(r) < setup_->saw_failure)
      events.push_back({What::kSeesFailure, r});
    bool may_check = setup_->mutant != TrialsMutant::kByOne || r == 0;
    if (!router.checked_turn && may_check) events.push_back({What::kChecksTurn, r});
    // The signal of a tick includes what the router did in that tick.
    if (!router.sent_signal && (router.checked_turn || !may_check)) events.push_back({What::kSendsSignal, r});
    // A trial ends in time, unless signals may be late as well.
    bool in_time = !setup_->connected || now_ < router.began + kEndsWithin;
    if (router.in_trial && ends_ > 0 && !router.sent_signal && in_time) {
      events.push_back({What::kGood, r});
      events.push_back({What::kFailed, r});
    }
    if (router.in_trial && turn_passes_ > 0 && !router.sent_signal && in_time)
      events.push_back({What::kPassesTurn, r});
    if (deaths_ > 0 && now_ >= setup_->dies_at) events.push_back({What::kDies, r});
  }
  if (MayTick()) events.push_back({What::kTick});
  return events;
}

std::string TrialsModel::Event::Text() const {
  constexpr const char* kNames[] = {"sees a failure",
                                    "checks its turn",
                                    "sends a signal",
                                    "trial succeeds",
                                    "trial fails",
                                    "passes its turn",
                                    "dies",
                                    "signal delivered",
                                    "signal delivered, kept",
                                    "signal lost",
                                    "tick"};
  return std::to_string(who) + ": " + kNames[static_cast<int>(what)];
}

TrialsModel TrialsModel::After(const Event& event) const {
  TrialsModel next = *this;
  switch (event.what) {
    case What::kSeesFailure:
      next.last_action_ = now_;
      next.Apply(event.who, event.what, 0, [&](Router& one) {
        one.saw_failure = true;
        one.trials.OnFailure(At(now_), kMember);
        one.highest_epoch = std::max(one.highest_epoch, 1u);
      });
      break;
    case What::kChecksTurn:
      next.CheckTurn(event.who);
      break;
    case What::kSendsSignal:
      next.SendSignal(event.who);
      break;
    case What::kGood:
    case What::kFailed:
      next.EndTrial(event.who, event.what == What::kGood);
      break;
    case What::kPassesTurn:
      --next.turn_passes_;
      next.passed_turn_at_ = now_;
      next.last_action_ = now_;
      next.Apply(event.who, event.what, 0, [&](Router& one) {
        one.in_trial = false;
        if (setup_->mutant != TrialsMutant::kKeptTurn) one.trials.OnTurnPassed(At(now_), kMember);
      });
      break;
    case What::kDies:
      --next.deaths_;
      next.last_action_ = now_;
      // No other router knows of a trial that it began in this tick.
      if (routers_[event.who]->began == now_ && !routers_[event.who]->sent_signal)
        std::erase(next.epochs_, routers_[event.who]->highest_epoch);
      next.Apply(event.who, event.what, 0, [](Router& one) { one.alive = false; });
      std::erase_if(next.in_flight_, [&](const auto& signal) { return signal->to == event.who; });
      break;
    case What::kReceives:
    case What::kReceivesAndKeeps:
      next.ReceiveSignal(event.who, event.what == What::kReceivesAndKeeps);
      break;
    case What::kLost:
      --next.losses_;
      next.in_flight_.erase(next.in_flight_.begin() + static_cast<std::ptrdiff_t>(event.who));
      break;
    case What::kTick:
      next.Tick();
      break;
  }
  return next;
}

template <typename Doing>
void TrialsModel::Apply(std::size_t r, What event, std::uint64_t of, Doing doing) {
  Router router = *routers_[r];
  doing(router);
  router.history =
      Mix({router.history, static_cast<std::uint64_t>(event), of, static_cast<std::uint64_t>(now_)});
  routers_[r] = std::make_shared<const Router>(std::move(router));
}

void TrialsModel::CheckTurn(std::size_t r) {
  Router router = *routers_[r];
  router.checked_turn = true;
  if (!router.trials.TryBegin(At(now_), kMember)) {
    routers_[r] = std::make_shared<const Router>(std::move(router));
    return;
  }
  router.in_trial = true;
  router.began = now_;
  router.highest_epoch = EpochOf(Trials(router.trials).DrainUpdates());
  ++trials_begun_;
  if (std::ranges::find(epochs_, router.highest_epoch) != epochs_.end() && setup_->connected &&
      setup_->losses == 0)
    ReportViolation("two trials of one member and epoch");
  epochs_.push_back(router.highest_epoch);
  last_action_ = now_;
  passed_turn_at_ = -1;
  routers_[r] = std::make_shared<const Router>(std::move(router));
  Apply(r, What::kChecksTurn, 0, [](Router&) {});
}

void TrialsModel::EndTrial(std::size_t r, bool good) {
  --ends_;
  trials_succeeded_ += good ? 1 : 0;
  if (good) passed_turn_at_ = -1;
  last_action_ = now_;
  Apply(r, good ? What::kGood : What::kFailed, 0, [&](Router& one) {
    one.in_trial = false;
    one.trials.OnTrialEnded(At(now_), kMember, good);
  });
}

void TrialsModel::SendSignal(std::size_t r) {
  std::vector<TrialUpdate> updates;
  Apply(r, What::kSendsSignal, 0, [&](Router& one) {
    one.sent_signal = true;
    updates = one.trials.DrainUpdates();
    if (setup_->mutant == TrialsMutant::kReportedOnce && !updates.empty())
      one.trials.DrainUpdates(), one.trials.DrainUpdates();
  });
  if (updates.empty()) return;
  for (std::size_t to = 0; to < kRouters; ++to) {
    if (to == r || !routers_[to]->alive) continue;
    std::uint64_t fingerprint = Mix({to, r, updates[0].member, updates[0].epoch,
                                     static_cast<std::uint64_t>(updates[0].step), updates.size()});
    auto signal = std::make_shared<const InFlightSignal>(InFlightSignal{to, r, updates, fingerprint});
    auto at = std::ranges::upper_bound(in_flight_, fingerprint, {},
                                       [](const auto& one) { return one->fingerprint; });
    in_flight_.insert(at, signal);
  }
}

void TrialsModel::ReceiveSignal(std::size_t i, bool keep) {
  auto signal = in_flight_[i];
  if (keep) --duplicates_;
  if (!keep) in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(i));
  Apply(signal->to, What::kReceives, signal->fingerprint, [&](Router& one) {
    for (const TrialUpdate& updates : signal->updates) {
      bool out = one.trials.IsEjected(kMember);
      one.trials.Handle(At(now_), updates, signal->from + 1);
      if (!out && one.trials.IsEjected(kMember) && updates.epoch <= one.highest_epoch)
        ReportViolation("ejected by an outdated update");
      if (out && !one.trials.IsEjected(kMember) && trials_succeeded_ == 0)
        ReportViolation("readmitted without a reply");
      one.highest_epoch = std::max(one.highest_epoch, updates.epoch);
    }
  });
}

// ---- Time and the rules that depend on it -----------------------------------------------------------------

void TrialsModel::Tick() {
  // An update is in three consecutive signals; if fewer are lost, all routers have received it.
  std::vector<bool> out;
  for (const auto& router : routers_)
    if (router->alive) out.push_back(router->trials.IsEjected(kMember));
  bool all_out = std::ranges::count(out, true) == std::ssize(out);
  bool all_back = std::ranges::count(out, false) == std::ssize(out);
  if (setup_->connected && deaths_ == setup_->deaths && now_ >= last_action_ + 2 && !all_out && !all_back)
    ReportViolation("update not received by all");
  // Allows for a trial that does not end, or the interval, and then the silence timeout of each router in
  // order.
  if (setup_->connected && !out.empty() && all_out &&
      now_ > last_action_ + 2 + setup_->silence_ticks * (static_cast<int>(kRouters) - 1))
    ReportViolation("no trial is made");
  // By the end of its tick all routers have received it and checked their turn since.
  bool all_heard = setup_->connected && setup_->losses == 0 && setup_->deaths == 0;
  if (all_heard && passed_turn_at_ >= 0 && now_ > passed_turn_at_)
    ReportViolation("passed turn was not taken");
  ++now_;
  for (auto& shared : routers_) {
    Router router = *shared;
    router.checked_turn = router.sent_signal = false;
    shared = std::make_shared<const Router>(std::move(router));
  }
}

std::uint64_t TrialsModel::Print() const {
  std::vector<std::uint64_t> words;
  for (const auto& router : routers_)
    words.insert(words.end(), {router->history,
                               static_cast<std::uint64_t>(router->checked_turn + 2 * router->sent_signal)});
  for (const auto& signal : in_flight_) words.push_back(signal->fingerprint);
  words.push_back(0);
  words.insert(words.end(), epochs_.begin(), epochs_.end());
  for (int each : {now_, ends_, turn_passes_, losses_, duplicates_, deaths_, trials_succeeded_, last_action_,
                   passed_turn_at_})
    words.push_back(static_cast<std::uint64_t>(each));
  return XXH3_64bits(words.data(), words.size() * sizeof words[0]);
}

}  // namespace peatbend::orders

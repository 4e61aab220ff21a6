#include "overload/trials.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "overload/rendezvous_rank.h"

namespace peatbend::overload {
namespace {

// Counted in signals: an announcement is in the first ones, and then for a while in every sixteenth, for
// routers that missed it.
constexpr std::uint32_t kFirstReports = 3, kReportEvery = 16, kMaxReports = 128;

// Order of the steps of one trial: a later step replaces an earlier one.
int StepOrder(TrialStep step) {
  switch (step) {
    case TrialStep::kBegun:
      return 0;
    case TrialStep::kFailed:  // may also report the previous trial, if this one had already begun
      return 1;
    case TrialStep::kPassed:
      return 2;
    case TrialStep::kGood:
      break;
  }
  return 3;
}

}  // namespace

std::uint32_t Trials::MemberId(std::string_view member) { return static_cast<std::uint32_t>(HashId(member)); }

std::uint32_t Trials::RankInTrial(std::uint32_t id, std::uint32_t epoch) const {
  return RendezvousRank(self_, present_, std::to_string(id) + ' ' + std::to_string(epoch) + ' ');
}

void Trials::SetPresent(std::vector<std::string> present) {
  present_ = std::move(present);
  for (auto& [id, member] : members_) member.rank = RankInTrial(id, member.epoch + 1);
}

// Applies newer information about a member and schedules the next trial. A turn that was taken late does not
// delay the following ones, if it was late by less than one interval.
void Trials::Apply(TimePoint now, std::uint32_t id, Member& member, TrialUpdate update) {
  if (member.step == TrialStep::kGood) {
    member.turn_at = member.ejected_since = now;
  } else if (update.epoch != member.epoch) {
    member.turn_at = std::clamp(member.next_turn_at, now - options_.max_interval, now);
  }
  member.epoch = update.epoch;
  member.step = update.step;
  if (update.step == TrialStep::kGood)
    member.failures = 0, member.first_witness = 0, member.second_witness = false;
  if (update.step == TrialStep::kFailed) member.failures = std::min(member.failures + 1, 16u);
  Duration after_failure = options_.min_interval * (1 << (std::max(member.failures, 1u) - 1));
  Duration wait = update.step == TrialStep::kPassed  ? Duration{}
                  : update.step == TrialStep::kBegun ? options_.trial_timeout
                                                     : std::min(options_.max_interval, after_failure);
  member.next_turn_at = member.turn_at + wait;
  member.next_opens_at = std::max(now, member.next_turn_at);
  member.rank = RankInTrial(id, member.epoch + 1);
}

const Trials::Member* Trials::FindEjected(std::string_view name) const {
  auto at = members_.find(MemberId(name));
  return at == members_.end() || at->second.step == TrialStep::kGood ? nullptr : &at->second;
}

// Applies and announces a step of this router.
void Trials::Announce(TimePoint now, std::string_view name, Member& member, std::uint32_t epoch,
                      TrialStep step) {
  std::uint32_t id = MemberId(name);
  Apply(now, id, member, {id, epoch, step});
  member.reports = 0;
  member.announced = ++announcements_;
}

bool Trials::OnFailure(TimePoint now, std::string_view name) {
  std::uint32_t id = MemberId(name);
  if (members_.size() >= options_.max_members && !members_.contains(id)) return false;
  Member& member = members_[id];
  if (member.step == TrialStep::kGood) Announce(now, name, member, member.epoch + 1, TrialStep::kFailed);
  return true;
}

void Trials::OnRestart(std::string_view name) {
  Member* member = FindEjected(name);
  if (member == nullptr) return;
  *member = Member{.epoch = member->epoch};
}

std::optional<TimePoint> Trials::EjectedSince(std::string_view name) const {
  const Member* member = FindEjected(name);
  return member == nullptr ? std::nullopt : std::optional(member->ejected_since);
}

bool Trials::EjectedByTwo(std::string_view name) const {
  const Member* member = FindEjected(name);
  return member != nullptr && member->second_witness;
}

bool Trials::TryBegin(TimePoint now, std::string_view name) {
  Member* member = FindEjected(name);
  if (member == nullptr || now < member->next_opens_at + options_.silence_timeout * member->rank)
    return false;
  Announce(now, name, *member, member->epoch + 1, TrialStep::kBegun);
  return true;
}

void Trials::OnTrialEnded(TimePoint now, std::string_view name, bool good) {
  Member* member = FindEjected(name);
  if (member == nullptr) return;
  Announce(now, name, *member, member->epoch, good ? TrialStep::kGood : TrialStep::kFailed);
}

void Trials::OnTurnPassed(TimePoint now, std::string_view name) {
  Member* member = FindEjected(name);
  if (member != nullptr && member->step != TrialStep::kPassed)
    Announce(now, name, *member, member->epoch, TrialStep::kPassed);
}

std::optional<TrialStep> Trials::Handle(TimePoint now, const TrialUpdate& update, std::uint64_t process) {
  auto at = members_.find(update.member);
  if (at == members_.end()) {
    if (members_.size() >= options_.max_members) return std::nullopt;
    at = members_.emplace(update.member, Member{}).first;
  }
  Member& member = at->second;
  bool is_current =
      update.epoch > member.epoch || (update.epoch == member.epoch && member.step != TrialStep::kGood);
  if (update.step == TrialStep::kFailed && is_current) {
    if (member.first_witness == 0) member.first_witness = process;
    member.second_witness = member.second_witness || member.first_witness != process;
  }
  if (std::pair(update.epoch, StepOrder(update.step)) <= std::pair(member.epoch, StepOrder(member.step)))
    return std::nullopt;
  Apply(now, update.member, member, update);
  member.reports = kMaxReports;
  return update.step;
}

std::vector<TrialUpdate> Trials::DrainUpdates() {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> newest;
  for (auto& [id, member] : members_) {
    if (member.reports >= kMaxReports) continue;
    std::uint32_t report = member.reports++;
    if (report < kFirstReports || report % kReportEvery == 0) newest.emplace_back(member.announced, id);
  }
  std::ranges::sort(newest, std::greater<>());
  if (newest.size() > kMaxTrials) newest.resize(kMaxTrials);
  std::vector<TrialUpdate> updates;
  for (const auto& [announced, id] : newest) {
    const Member& member = members_.at(id);
    updates.push_back({id, member.epoch, member.step});
  }
  return updates;
}

}  // namespace peatbend::overload

#include "lab/referee.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "lab/rules.h"

namespace peatbend::lab {
namespace {
constexpr std::size_t kExamples = 5;
}

std::string_view RuleName(Rule rule) {
  constexpr std::string_view kNames[] = {
      "request_lost",         "answered_twice",    "resent_unsafe",       "resent_after_window",
      "resent_outside_group", "refused_after_run", "sent_to_drained",     "cold_overrun",
      "origin_stopped",       "foreign_value",     "router_crashed",      "two_ends",
      "peers_differ",         "ration_passed",     "unpublished_written", "unreadable_read"};
  static_assert(std::size(kNames) == kRules);
  return kNames[static_cast<std::size_t>(rule)];
}

std::string MakeValue(std::string_view key, std::string_view id, std::string_view server, std::size_t bytes) {
  std::string value = fmt::format("{}|{}|{}|", key, id, server);
  if (value.size() < bytes) value.resize(bytes, '.');
  return value;
}

void Referee::Break(Rule rule, Time at, std::string request, std::string member, std::string what) {
  Count& count = counts_[static_cast<std::size_t>(rule)];
  ++count.times;
  if (count.first.size() < kExamples)
    count.first.push_back({at, std::move(request), std::move(member), std::move(what)});
}

std::uint64_t Referee::broken() const {
  std::uint64_t sum = 0;
  for (const Count& count : counts_) sum += count.times;
  return sum;
}

void Referee::Sent(const std::string& id, std::string_view key, int cls, int router, Time at, Span waits,
                   const std::string& work, int tenant, int client) {
  Try& one = tries_[id];
  one.over = one.answered = false;
  one.work = work;
  one.key = key;
  one.cls = cls;
  one.router = router;
  one.tenant = tenant;
  one.client = client;
  rations_.Offered({tenant, cls, client}, at);
  one.excused = ended_.contains(router);
  one.until = at + waits + world::FromMs(scenario_.grace_ms);
}

void Referee::Carries(const std::string& id, const Payload& payload) {
  published_.Asked(payload);
  tries_[id].payload = payload;
}

bool Referee::MayHaveRun(const Try& one) const {
  return std::ranges::any_of(one.attempts,
                             [&](std::size_t i) { return attempts_[i].whole && !attempts_[i].never_ran; });
}

void Referee::Answered(const std::string& id, Final how, std::string_view value, Time at) {
  auto found = tries_.find(id);
  if (found == tries_.end()) return;
  Try& one = found->second;
  // A router that stood still answers what was excused in the meantime: its first word, though nobody waits
  // for it.
  bool first = !std::exchange(one.answered, true);
  if (one.over && one.excused && first) return;
  if (one.over) return MoreCame(id, at);
  one.over = true;
  if (at > one.until && !one.excused) {
    Break(Rule::kRequestLost, at, id, "",
          fmt::format("answered {:.0f} ms too late", world::Ms(at - one.until)));
  }
  // Kept for another who asked for the same work, it is this one's too.
  std::string_view made_for = value.substr(std::min(value.size(), one.key.size() + 1));
  made_for = made_for.substr(0, made_for.find('|'));
  auto other = tries_.find(std::string(made_for));
  bool kept = !one.work.empty() && other != tries_.end() && other->second.work == one.work;
  if (how == Final::kServed && !one.work.empty()) {
    std::string& served = works_[one.work].served;
    if (!served.empty() && served != value)
      Break(Rule::kTwoEnds, at, id, "", "was served another value before");
    served = value;
  }
  if (how == Final::kServed && !kept && !value.starts_with(one.key + "|" + id + "|")) {
    Break(Rule::kForeignValue, at, id, "",
          fmt::format("asked {}, was served '{}'", one.key,
                      value.substr(0, std::min<std::size_t>(value.size(), 40))));
  }
  const ClassSettings& cls = scenario_.classes[static_cast<std::size_t>(one.cls)].rules;
  if (how == Final::kRejected && !HarmlessToAskAgain(cls) && MayHaveRun(one)) {
    Break(Rule::kRefusedAfterRun, at, id, "", "an attempt may have run");
  }
}

void Referee::MoreCame(const std::string& id, Time at) {
  Break(Rule::kAnsweredTwice, at, id, "", "more than one answer came");
}

void Referee::Unanswered(const std::string& id, Time at) {
  auto found = tries_.find(id);
  if (found == tries_.end() || found->second.over) return;
  found->second.over = true;
  if (!found->second.excused) Break(Rule::kRequestLost, at, id, "", "no final answer");
}

void Referee::NotTaken(const std::string& id) {
  if (auto found = tries_.find(id); found != tries_.end()) found->second.over = true;
}

// What reaches it between the signal and its end is excused as well.
void Referee::RouterEnded(int router) {
  ended_.insert(router);
  for (auto& [id, one] : tries_) {
    if (one.router == router && !one.over) one.excused = true;
  }
}

void Referee::RouterCrashed(int router, Time at, std::string_view how) {
  Break(Rule::kRouterCrashed, at, "", fmt::format("router {}", router), std::string(how));
}

void Referee::PeersDiffer(Time at, std::string_view how) {
  Break(Rule::kPeersDiffer, at, "", "", std::string(how));
}

void Referee::JudgeRations() {
  for (const RationWatch::Breach& one : rations_.Judge())
    Break(Rule::kRationPassed, one.at, "", "", one.what);
}

std::size_t Referee::Attempt(const std::string& id, int place, const std::string& name, int router,
                             Time first_byte) {
  std::size_t number = attempts_.size();
  attempts_.push_back({id, place, false, false, first_byte});
  if (auto found = tries_.find(id); found != tries_.end() && !std::exchange(found->second.admitted, true)) {
    rations_.Admitted({found->second.tenant, found->second.cls, found->second.client}, first_byte);
    if (auto breach = published_.Reached(found->second.payload, first_byte))
      Break(breach->written ? Rule::kUnpublishedWritten : Rule::kUnreadableRead, first_byte, id, name,
            breach->what);
  }
  if (place < 0) {
    ++to_origin_;
    return number;
  }
  auto leaving = leaving_.find({router, name});
  Time told = leaving == leaving_.end() ? Time::max() : leaving->second;
  if (auto listed = listed_leaving_.find(name); listed != listed_leaving_.end())
    told = std::min(told, listed->second);
  Span grace = world::FromMs(scenario_.drain_grace_ms);
  if (told != Time::max() && first_byte > told + grace) {
    Break(Rule::kSentToDrained, first_byte, id, name,
          fmt::format("router {} sent {:.0f} ms after it was told", router, world::Ms(first_byte - told)));
  }
  return number;
}

void Referee::AttemptWhole(std::size_t number, Time last_byte, int zone) {
  Sending& sending = attempts_[number];
  sending.whole = true;
  auto found = tries_.find(sending.id);
  if (found == tries_.end()) return;
  Try& one = found->second;
  one.attempts.push_back(number);
  if (!one.work.empty()) works_[one.work].attempts.push_back(number);
  if (RouterZone(scenario_, one.router) != zone) ++crossings_;
  const ClassSettings& cls = scenario_.classes[static_cast<std::size_t>(one.cls)].rules;
  auto where = [](int place) {
    return place < 0 ? std::string("the origin") : fmt::format("place {}", place);
  };
  for (std::size_t earlier : one.work.empty() ? one.attempts : works_[one.work].attempts) {
    const Sending& first = attempts_[earlier];
    if (earlier == number || first.never_ran) continue;
    Span since = last_byte - first.at;
    // A write's repeats are dropped by the origin alone where servers only store.
    bool same_group = (first.place < 0) == (sending.place < 0);
    switch (JudgeRepeat(cls, since, world::FromMs(scenario_.window_slack_ms), same_group)) {
      case Repeat::kFine:
        break;
      case Repeat::kNever:
        return Break(Rule::kResentUnsafe, last_byte, sending.id, where(sending.place),
                     fmt::format("{:.0f} ms after it went to {}", world::Ms(since), where(first.place)));
      case Repeat::kTooLate:
        return Break(Rule::kResentAfterWindow, last_byte, sending.id, where(sending.place),
                     fmt::format("{:.0f} ms after the first that may have run", world::Ms(since)));
      case Repeat::kOutsideGroup:
        return Break(Rule::kResentOutsideGroup, last_byte, sending.id, where(sending.place),
                     "it may have run at " + where(first.place));
    }
  }
}

void Referee::Told(int router, const std::string& name, bool serves, Time at) {
  if (serves) {
    leaving_.erase({router, name});
  } else {
    leaving_.try_emplace({router, name}, at);
  }
}

void Referee::Listed(const std::string& name, bool serves, Time at) {
  if (serves) {
    listed_leaving_.erase(name);
  } else {
    listed_leaving_.try_emplace(name, at + world::FromSeconds(scenario_.late_drain_told_s));
  }
}

void Referee::Fell(int place, Time at) {
  Break(Rule::kColdOverrun, at, "", fmt::format("place {}", place),
        "was sent more than it could take while cold");
}

void Referee::OriginFell(double cold_share, Time at) {
  if (cold_share < 0.5) return;
  Break(Rule::kOriginStopped, at, "", "the origin",
        fmt::format("misses at cold servers made {:.0f} % of its load", 100 * cold_share));
}

}  // namespace peatbend::lab

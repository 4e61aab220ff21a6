// Whom to ask whether it lives, and what silence leads to.
#include <algorithm>
#include <cmath>

#include "peers/membership.h"

namespace peatbend::peers {
namespace {

constexpr std::size_t kConfirmations = 3;  // that bring a suspicion down to its least time

}  // namespace

void Membership::StepProbes(Time now, std::vector<Outgoing>& out) {
  for (auto at = relays_.begin(); at != relays_.end();) {
    if (now < at->second.end) {
      ++at;
      continue;
    }
    Message none =
        MakeNews(Kind::kNoAnswer);  // so that who asked can tell a silent target from a silent helper
    none.probe = at->second.probe;
    Post(out, at->second.to, std::move(none));
    at = relays_.erase(at);
  }
  for (auto at = probes_.begin(); at != probes_.end();) {
    Probe& probe = at->second;
    auto member = members_.find(probe.name);
    bool there = member != members_.end() && member->second.record.life == probe.life &&
                 member->second.record.present();
    if (there && !probe.asked && now >= probe.ask) {
      probe.asked = true;
      for (const Member* helper : Some(static_cast<std::size_t>(options_.helpers), probe.name)) {
        Message ask = Make(Kind::kAskPing);
        ask.probe = at->first;
        ask.target = probe.name;
        ask.target_life = probe.life;
        ask.target_address = member->second.record.address;
        Fill(ask);
        ++probe.silent;
        Post(out, helper->record.address, std::move(ask));
      }
    }
    if (there && now < probe.end) {
      ++at;
      continue;
    }
    if (there) {
      ++figures_.missed;
      // Helpers that said nothing speak against this process rather than against the target.
      if (probe.main) Health(probe.silent > 0 ? 1 : 0);
      Suspect(now, probe.name, probe.life);
    }
    at = probes_.erase(at);
  }
  for (const std::string& name : doubted_) {
    auto member = members_.find(name);
    if (member != members_.end() && member->second.record.state == State::kSuspect)
      StartProbe(now, member->second, false, out);
  }
  doubted_.clear();
  if (now < probe_at_) return;
  probe_at_ = now + Slowed(options_.probe);
  for (std::size_t tries = members_.size() + 1; tries > 0; --tries) {
    if (turns_.empty()) {
      for (const auto& [name, member] : members_) {
        if (member.record.present()) turns_.push_back(name);
      }
      std::ranges::shuffle(turns_, random_);
      if (turns_.empty()) return;
    }
    auto member = members_.find(turns_.back());
    turns_.pop_back();
    if (member == members_.end() || !member->second.record.present()) continue;
    return StartProbe(now, member->second, true, out);
  }
}

void Membership::StartProbe(Time now, const Member& member, bool main, std::vector<Outgoing>& out) {
  ++figures_.probes;
  Message ping = Make(Kind::kPing);
  ping.probe = ++last_probe_;
  ping.you = You::kPresent;
  if (member.record.state == State::kSuspect) ping.records.push_back(member.record);  // so that it can refute
  Fill(ping);
  probes_[ping.probe] = {member.record.name,
                         member.record.life,
                         now + Slowed(options_.timeout),
                         now + Slowed(options_.probe),
                         false,
                         0,
                         main};
  Post(out, member.record.address, std::move(ping));
}

std::vector<const Membership::Member*> Membership::Some(std::size_t count, const std::string& but) {
  std::vector<const Member*> some;
  for (const auto& [name, member] : members_) {
    if (name != but && member.record.state == State::kAlive) some.push_back(&member);
  }
  count = std::min(count, some.size());
  for (std::size_t i = 0; i < count; ++i) std::swap(some[i], some[i + Below(some.size() - i)]);
  some.resize(count);
  return some;
}

void Membership::Suspect(Time now, const std::string& name, std::uint64_t life) {
  auto at = members_.find(name);
  if (at == members_.end() || at->second.record.life != life) return;
  if (at->second.record.state == State::kSuspect) return Confirm(at->second, self_.name);
  if (at->second.record.state != State::kAlive) return;
  Record record = at->second.record;
  record.state = State::kSuspect;
  record.by = self_.name;
  Merge(now, record);
}

// A suspicion shortens with each process that has come to it by itself.
void Membership::SetUntil(Member& member) {
  std::size_t others = present() > 2 ? present() - 2 : 0;
  std::size_t wanted = std::min(kConfirmations, others);
  std::size_t got = member.accusers.empty() ? 0 : member.accusers.size() - 1;
  double share = wanted == 0 ? 1 : std::log(got + 1.0) / std::log(wanted + 1.0);
  auto span = options_.suspicion_most - options_.suspicion_least;
  auto off = std::chrono::duration_cast<Span>(span * std::min(1.0, share));
  member.until = member.since + options_.suspicion_most - off;
}

void Membership::Confirm(Member& member, const std::string& by) {
  if (by.empty() || member.accusers.size() > kConfirmations || !member.accusers.insert(by).second) return;
  SetUntil(member);
  Record told = member.record;
  told.by = by;
  Tell(told);
}

void Membership::StepSuspects(Time now) {
  for (auto& [name, member] : members_) {
    if (suspects_ == 0) break;
    if (member.record.state != State::kSuspect || now < member.until) continue;
    if (member.heard > member.since) {  // it has answered this process itself since then
      member.accusers.clear();
      member.since = now;
      SetUntil(member);
      continue;
    }
    ++figures_.deaths;
    Record record = member.record;
    record.state = State::kDead;
    record.by = self_.name;
    Merge(now, record);
  }
  if (options_.forget > Span{}) {
    std::erase_if(members_, [&](const auto& one) {
      return !one.second.record.present() && now - one.second.since > options_.forget;
    });
  }
}

}  // namespace peatbend::peers

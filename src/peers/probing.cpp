// Failure detection: probes, indirect probes, suspicions and deaths.
#include <algorithm>
#include <cmath>

#include "peers/membership.h"

namespace peatbend::peers {
namespace {

constexpr std::size_t kMaxConfirmations = 3;  // shorten a suspicion to suspicion_min

}  // namespace

void Membership::StepProbes(TimePoint now, std::vector<Outgoing>& out) {
  for (auto at = relays_.begin(); at != relays_.end();) {
    if (now < at->second.deadline) {
      ++at;
      continue;
    }
    // The nack lets the requester tell an unresponsive target from an unresponsive helper.
    Message nack = MakeGossip(MessageKind::kNack);
    nack.probe = at->second.probe;
    QueueDatagram(out, at->second.to, std::move(nack));
    at = relays_.erase(at);
  }
  for (auto at = probes_.begin(); at != probes_.end();) {
    Probe& probe = at->second;
    auto member = members_.find(probe.name);
    bool present = member != members_.end() && member->second.record.generation == probe.generation &&
                   member->second.record.present();
    if (present && !probe.indirect_sent && now >= probe.indirect_at) {
      probe.indirect_sent = true;
      for (const Member* helper : PickAlive(static_cast<std::size_t>(options_.indirect_probes), probe.name)) {
        Message request = MakeMessage(MessageKind::kPingRequest);
        request.probe = at->first;
        request.target = probe.name;
        request.target_generation = probe.generation;
        request.target_address = member->second.record.address;
        AddGossip(request);
        ++probe.missing_nacks;
        QueueDatagram(out, helper->record.address, std::move(request));
      }
    }
    if (present && now < probe.deadline) {
      ++at;
      continue;
    }
    if (present) {
      ++metrics_.missed;
      // Missing nacks point to a problem of this process rather than of the target (Lifeguard).
      if (probe.scheduled) AdjustHealth(probe.missing_nacks > 0 ? 1 : 0);
      Suspect(now, probe.name, probe.generation);
    }
    at = probes_.erase(at);
  }
  for (const std::string& name : suspects_to_check_) {
    auto member = members_.find(name);
    if (member != members_.end() && member->second.record.state == State::kSuspect)
      StartProbe(now, member->second, false, out);
  }
  suspects_to_check_.clear();
  if (now < probe_at_) return;
  probe_at_ = now + ScaledByHealth(options_.probe_interval);
  for (std::size_t tries = members_.size() + 1; tries > 0; --tries) {
    if (probe_order_.empty()) {
      for (const auto& [name, member] : members_) {
        if (member.record.present()) probe_order_.push_back(name);
      }
      std::ranges::shuffle(probe_order_, random_);
      if (probe_order_.empty()) return;
    }
    auto member = members_.find(probe_order_.back());
    probe_order_.pop_back();
    if (member == members_.end() || !member->second.record.present()) continue;
    return StartProbe(now, member->second, true, out);
  }
}

void Membership::StartProbe(TimePoint now, const Member& member, bool scheduled, std::vector<Outgoing>& out) {
  ++metrics_.probes;
  Message ping = MakeMessage(MessageKind::kPing);
  ping.probe = ++last_probe_;
  ping.receiver_status = ReceiverStatus::kPresent;
  if (member.record.state == State::kSuspect) ping.records.push_back(member.record);  // lets it refute
  AddGossip(ping);
  probes_[ping.probe] = {member.record.name,
                         member.record.generation,
                         now + ScaledByHealth(options_.probe_timeout),
                         now + ScaledByHealth(options_.probe_interval),
                         false,
                         0,
                         scheduled};
  QueueDatagram(out, member.record.address, std::move(ping));
}

std::vector<const Membership::Member*> Membership::PickAlive(std::size_t count, const std::string& excluded) {
  std::vector<const Member*> picked;
  for (const auto& [name, member] : members_) {
    if (name != excluded && member.record.state == State::kAlive) picked.push_back(&member);
  }
  count = std::min(count, picked.size());
  for (std::size_t i = 0; i < count; ++i) std::swap(picked[i], picked[i + RandomBelow(picked.size() - i)]);
  picked.resize(count);
  return picked;
}

void Membership::Suspect(TimePoint now, const std::string& name, std::uint64_t generation) {
  auto at = members_.find(name);
  if (at == members_.end() || at->second.record.generation != generation) return;
  if (at->second.record.state == State::kSuspect) return AddSuspector(at->second, self_.name);
  if (at->second.record.state != State::kAlive) return;
  Record record = at->second.record;
  record.state = State::kSuspect;
  record.suspected_by = self_.name;
  Merge(now, record);
}

// Each independent confirmation shortens the suspicion, logarithmically as in Lifeguard.
void Membership::UpdateSuspicionDeadline(Member& member) {
  std::size_t others = present() > 2 ? present() - 2 : 0;
  std::size_t expected = std::min(kMaxConfirmations, others);
  std::size_t received = member.suspectors.empty() ? 0 : member.suspectors.size() - 1;
  double share = expected == 0 ? 1 : std::log(received + 1.0) / std::log(expected + 1.0);
  auto range = options_.suspicion_max - options_.suspicion_min;
  auto reduction = std::chrono::duration_cast<Duration>(range * std::min(1.0, share));
  member.suspicion_deadline = member.state_since + options_.suspicion_max - reduction;
}

void Membership::AddSuspector(Member& member, const std::string& suspector) {
  if (suspector.empty() || member.suspectors.size() > kMaxConfirmations ||
      !member.suspectors.insert(suspector).second)
    return;
  UpdateSuspicionDeadline(member);
  Record record = member.record;
  record.suspected_by = suspector;
  QueueGossip(record);
}

void Membership::StepSuspects(TimePoint now) {
  for (auto& [name, member] : members_) {
    if (suspects_ == 0) break;
    if (member.record.state != State::kSuspect || now < member.suspicion_deadline) continue;
    if (member.last_ack > member.state_since) {  // it answered this process after the suspicion
      member.suspectors.clear();
      member.state_since = now;
      UpdateSuspicionDeadline(member);
      continue;
    }
    ++metrics_.deaths;
    Record record = member.record;
    record.state = State::kDead;
    record.suspected_by = self_.name;
    Merge(now, record);
  }
  if (options_.forget_dead_after > Duration{}) {
    std::erase_if(members_, [&](const auto& one) {
      return !one.second.record.present() && now - one.second.state_since > options_.forget_dead_after;
    });
  }
}

}  // namespace peatbend::peers

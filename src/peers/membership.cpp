#include "peers/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace peatbend::peers {
namespace {

constexpr int kMaxHealth = 8;
constexpr Duration kMaxStepInterval = 100ms;
constexpr Duration kMinStepInterval = 1ms;

std::uint64_t Hash(const Record& record) {
  std::uint64_t seed = XXH3_64bits(record.name.data(), record.name.size());
  std::uint64_t parts[] = {seed, record.generation, record.incarnation};
  return XXH3_64bits(parts, sizeof parts);
}

}  // namespace

Membership::Membership(Options options, Record self, std::vector<std::string> seeds, std::uint64_t random,
                       TimePoint now, ChangeCallback on_change, LogCallback on_log)
    : options_(std::move(options)),
      self_(std::move(self)),
      random_(random),
      on_change_(std::move(on_change)),
      on_log_(std::move(on_log)),
      last_step_(now),
      probe_at_(now),
      gossip_at_(now),
      join_at_(now),
      dead_probe_at_(now) {
  self_.first_generation = self_.generation;
  self_.state = State::kAlive;
  for (std::string& seed : seeds) {
    if (seed != self_.address) seeds_.push_back(std::move(seed));
  }
  std::ranges::shuffle(seeds_, random_);
  if (seeds_.empty()) BecomeMember(now);
}

// After a stall all knowledge of other members is outdated: pending probes are discarded, suspicions start
// over, and the own status is unconfirmed until a peer confirms it.
bool Membership::DetectStall(TimePoint now) {
  Duration gap = now - last_step_;
  last_step_ = std::max(last_step_, now);
  if (gap <= options_.stall_threshold) return false;
  ++metrics_.stalls;
  probes_.clear();
  relays_.clear();
  confirmed_at_ = TimePoint{-1};
  differs_since_ = TimePoint{-1};
  AdjustHealth(2);
  for (auto& [name, member] : members_) {
    member.last_ack = TimePoint{};
    if (member.record.state != State::kSuspect) continue;
    member.suspectors.clear();
    member.state_since = now;
    UpdateSuspicionDeadline(member);
  }
  if (conflict_) conflict_->deadline = now + options_.conflict_timeout;
  probe_at_ = gossip_at_ = now;
  LogLine("process was stopped for " + std::to_string(gap / 1ms) +
          " ms; discarding pending probes and suspicions");
  return true;
}

TimePoint Membership::Due() const {
  TimePoint due = last_step_ + kMaxStepInterval;
  if (!gossip_.empty()) due = std::min(due, gossip_at_);
  if (phase_ == Phase::kMember) {
    due = std::min(due, probe_at_);
    for (const auto& [id, probe] : probes_)
      due = std::min(due, probe.indirect_sent ? probe.deadline : probe.indirect_at);
    for (const auto& [id, relay] : relays_) due = std::min(due, relay.deadline);
    for (const auto& [name, member] : members_) {
      if (suspects_ == 0) break;
      if (member.record.state == State::kSuspect) due = std::min(due, member.suspicion_deadline);
    }
  }
  return std::max(due, last_step_ + kMinStepInterval);
}

void Membership::Step(TimePoint now, std::vector<Outgoing>& out) {
  DetectStall(now);
  if (phase_ == Phase::kRefused && now >= refused_until_) {
    phase_ = Phase::kJoining;
    join_at_ = now;
  }
  StepJoin(now, out);
  StepNameConflict(now, out);
  if (phase_ == Phase::kMember) {
    StepSuspects(now);
    StepProbes(now, out);
    StepDeadProbes(now, out);
  }
  StepGossip(now, out);
}

SelfStatus Membership::StatusAt(TimePoint now) const {
  if (phase_ != Phase::kMember) return SelfStatus::kNotMember;
  if (now - last_step_ > options_.stall_threshold)
    return SelfStatus::kUnconfirmed;  // stalled, and Step has not run since
  if (confirmed_at_ >= TimePoint{} && now - confirmed_at_ < options_.suspicion_min)
    return SelfStatus::kConfirmed;
  bool others =
      std::ranges::any_of(members_, [](const auto& one) { return one.second.record.state != State::kLeft; });
  return others ? SelfStatus::kUnconfirmed : SelfStatus::kOnlyMember;
}

void Membership::AdjustHealth(int step) { health_ = std::clamp(health_ + step, 0, kMaxHealth); }

void Membership::UpdateDigest() {
  bool member = phase_ == Phase::kMember;
  digest_ = member ? Hash(self_) : 0;
  present_ = member ? 1 : 0;
  suspects_ = 0;
  for (const auto& [name, other] : members_) {
    if (!other.record.present()) continue;
    digest_ ^= Hash(other.record);
    ++present_;
    if (other.record.state == State::kSuspect) ++suspects_;
  }
}

void Membership::Leave(TimePoint now, std::vector<Outgoing>& out) {
  if (phase_ == Phase::kMember) {
    self_.state = State::kLeft;
    phase_ = Phase::kLeft;
    QueueSelfGossip();
    for (const Member* member : PickAlive(5, ""))
      QueueDatagram(out, member->record.address, MakeGossip(MessageKind::kGossip));
  }
  phase_ = Phase::kLeft;
  UpdateDigest();
  gossip_at_ = now;
  probes_.clear();
  relays_.clear();
  conflict_.reset();
}

void Membership::SetMetadata(std::string metadata) {
  metadata.resize(std::min(metadata.size(), kMaxMetadataBytes));
  if (metadata == self_.metadata) return;
  self_.metadata = std::move(metadata);
  ++self_.incarnation;
  QueueSelfGossip();
}

}  // namespace peatbend::peers

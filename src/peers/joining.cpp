// Joining the fleet, merging partitions, and resolving conflicts over the own name.
#include <algorithm>
#include <utility>

#include "peers/membership.h"

namespace peatbend::peers {

// ---- Joining and merging partitions ----

void Membership::BecomeMember(TimePoint now) {
  phase_ = Phase::kMember;
  probe_at_ = now;
  QueueSelfGossip();
}

Message Membership::MakeTable(MessageKind kind) {
  Message table = MakeMessage(kind);
  for (const auto& [name, member] : members_) table.records.push_back(member.record);
  if (table.member) table.records.push_back(self_);
  return table;
}

// Members also contact the seeds, so that partitions that never met or were separated for long merge again.
void Membership::StepJoin(TimePoint now, std::vector<Outgoing>& out) {
  if ((phase_ != Phase::kJoining && phase_ != Phase::kMember) || now < join_at_ || seeds_.empty()) return;
  bool joining = phase_ == Phase::kJoining;
  Duration wait = joining ? options_.join_interval : 4 * options_.join_interval;
  join_at_ =
      now + wait +
      Duration(static_cast<Duration::rep>(RandomBelow(static_cast<std::uint64_t>(wait.count()) / 4 + 1)));
  std::set<std::string> known;
  if (!joining) {
    for (const auto& [name, member] : members_) {
      if (member.record.present()) known.insert(member.record.address);
    }
  }
  for (std::size_t tries = 0; tries < seeds_.size(); ++tries) {
    const std::string& seed = seeds_[next_seed_++ % seeds_.size()];
    if (known.contains(seed)) continue;
    ++metrics_.joins;
    last_seed_ = seed;
    out.push_back({seed, joining ? MakeMessage(MessageKind::kJoin) : MakeTable(MessageKind::kTable), true});
    return;
  }
}

// Pings a random dead member. After a partition has healed it may be alive; the ping tells it that it was
// declared dead, so that it starts a new generation.
void Membership::StepDeadProbes(TimePoint now, std::vector<Outgoing>& out) {
  if (now < dead_probe_at_) return;
  dead_probe_at_ = now + options_.dead_probe_interval;
  std::vector<const Member*> dead;
  for (const auto& [name, member] : members_) {
    if (member.record.state == State::kDead) dead.push_back(&member);
  }
  if (dead.empty()) return;
  const Member& one = *dead[RandomBelow(dead.size())];
  Message ping = MakeMessage(MessageKind::kPing);
  ping.probe = ++last_probe_;
  ping.receiver_status = ReceiverStatus::kGone;
  ping.records.push_back(one.record);
  QueueDatagram(out, one.record.address, std::move(ping));
}

// ---- The own name ----

void Membership::StartNewGeneration(std::uint64_t above) {
  self_.generation = std::max(self_.generation, above) + 1;
  self_.incarnation = 0;
  sequence_ = 0;
  confirmed_at_ = TimePoint{-1};
  ++metrics_.rebirths;
}

void Membership::MergeSelf(TimePoint now, const Record& record) {
  if (phase_ == Phase::kLeft || phase_ == Phase::kRefused) return;
  bool mine = record.first_generation == self_.first_generation;
  if (!mine && record.present() && record.address != self_.address &&
      (record.generation > self_.generation || phase_ == Phase::kJoining)) {
    return StartNameConflict(now, record);
  }
  if (record.generation > self_.generation || (record.generation == self_.generation && !record.present())) {
    // The record is of a former process, or this process was declared dead: start a new generation.
    if (phase_ == Phase::kMember && mine)
      LogLine("was declared dead by " + record.suspected_by + "; starting a new generation");
    StartNewGeneration(record.generation);
    return QueueSelfGossip();
  }
  if (record.generation < self_.generation || phase_ != Phase::kMember) return;
  if (record.state == State::kSuspect && record.incarnation >= self_.incarnation) {
    self_.incarnation = record.incarnation + 1;
    ++metrics_.refuted;
    AdjustHealth(1);
    QueueSelfGossip();
  } else if (record.incarnation > self_.incarnation) {
    self_.incarnation = record.incarnation + 1;
    QueueSelfGossip();
  }
}

void Membership::StartNameConflict(TimePoint now, const Record& record) {
  if (conflict_ && conflict_->record.generation >= record.generation) return;
  if (!conflict_) LogLine("name is also used at " + record.address + "; probing that address");
  confirmed_at_ = TimePoint{-1};
  bool member = conflict_ ? conflict_->was_member : phase_ == Phase::kMember;
  conflict_ = NameConflict{record, member, now + options_.conflict_timeout, now};
  phase_ = Phase::kNameConflict;
  UpdateDigest();
  probes_.clear();
  relays_.clear();
}

void Membership::StepNameConflict(TimePoint now, std::vector<Outgoing>& out) {
  if (!conflict_) return;
  if (now >= conflict_->deadline) {  // the other process has ended or is unreachable
    StartNewGeneration(conflict_->record.generation);
    conflict_.reset();
    LogLine("no answer from the other process; keeping the name");
    return BecomeMember(now);
  }
  if (now < conflict_->next_ping) return;
  conflict_->next_ping = now + options_.probe_timeout;
  Message ping = MakeMessage(MessageKind::kPing);
  ping.probe = ++last_probe_;
  QueueDatagram(out, conflict_->record.address, std::move(ping));
}

void Membership::RefuseName(TimePoint now) {
  LogLine("refused: the name " + self_.name + " is in use by a live process at " + conflict_->record.address +
          "; retrying in " + std::to_string(options_.refused_retry_delay / 1s) + " s");
  conflict_.reset();
  phase_ = Phase::kRefused;
  refused_until_ = now + options_.refused_retry_delay;
}

// Handles a message with this process's name as its sender: either its own, sent to a seed that turned out to
// be this process, or one of another process that uses the name.
void Membership::OnMessageFromOwnName(TimePoint now, const Message& message) {
  if (message.first_generation == self_.first_generation) {
    if (last_seed_.empty() || message.kind == MessageKind::kPing) return;
    std::erase(seeds_, std::exchange(last_seed_, {}));
    if (seeds_.empty() && phase_ == Phase::kJoining) BecomeMember(now);
    return;
  }
  if (!conflict_ || message.kind != MessageKind::kAck || message.reply_to != conflict_->record.address)
    return;
  if (!conflict_->was_member || conflict_->record.first_generation < self_.first_generation)
    return RefuseName(now);
  // The other process is younger and withdraws once it learns of this one.
  StartNewGeneration(conflict_->record.generation);
  conflict_.reset();
  BecomeMember(now);
}

}  // namespace peatbend::peers

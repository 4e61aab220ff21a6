// Handling of received messages: merges their records, and answers.
#include <algorithm>
#include <utility>

#include "peers/membership.h"

namespace peatbend::peers {
namespace {

// Expected number of routers, over the whole fleet, that probe a suspect reported by another.
constexpr std::size_t kExpectedCheckers = 8;
constexpr std::uint64_t kSequenceWindow = 64;  // older datagrams are dropped as duplicates

}  // namespace

void Membership::Replace(TimePoint now, Member& member, const Record& record) {
  Record before = member.record;
  bool new_generation = before.generation != record.generation;
  if (new_generation) {
    member.last_ack = TimePoint{};
    member.highest_sequence = member.sequence_window = 0;
  }
  if (new_generation || before.state != record.state) {
    member.state_since = now;
    member.suspectors.clear();
  }
  member.record = record;
  UpdateDigest();
  if (record.state == State::kSuspect) {
    if (before.state != State::kSuspect || new_generation || before.incarnation != record.incarnation) {
      ++metrics_.suspected;
      member.state_since = now;
      member.suspectors = {record.suspected_by};
      UpdateSuspicionDeadline(member);
      bool checks = record.suspected_by != self_.name &&
                    RandomBelow(std::max<std::size_t>(present(), 1)) < kExpectedCheckers;
      if (checks) suspects_to_check_.insert(record.name);
    }
  }
  if (on_change_) on_change_(&before, member.record);
}

void Membership::Merge(TimePoint now, const Record& record) {
  if (record.name == self_.name) return MergeSelf(now, record);
  auto at = members_.find(record.name);
  if (at == members_.end()) {
    if (!record.present()) return;  // the end of an unknown member changes nothing
    if (members_.size() >= options_.max_members) {
      ++metrics_.over;
      return;
    }
    Member& member = members_[record.name];
    member.record = record;
    UpdateDigest();
    member.state_since = now;
    if (record.state == State::kSuspect) {
      member.suspectors = {record.suspected_by};
      UpdateSuspicionDeadline(member);
    }
    probe_order_.insert(
        probe_order_.begin() + static_cast<std::ptrdiff_t>(RandomBelow(probe_order_.size() + 1)),
        record.name);
    if (on_change_) on_change_(nullptr, member.record);
    return QueueGossip(record);
  }
  Member& member = at->second;
  if (record.Precedence() > member.record.Precedence()) {
    Replace(now, member, record);
    return QueueGossip(member.record);
  }
  if (record.Precedence() == member.record.Precedence() && record.state == State::kSuspect)
    AddSuspector(member, record.suspected_by);
}

std::optional<ReceiverStatus> Membership::CheckSender(const Message& message, Transport transport) {
  auto at = members_.find(message.from);
  if (at == members_.end()) return ReceiverStatus::kUnknown;
  Member& member = at->second;
  if (message.generation < member.record.generation) {
    ++metrics_.former;
    return ReceiverStatus::kGone;
  }
  if (message.generation > member.record.generation) return ReceiverStatus::kUnknown;
  ReceiverStatus status = member.record.present() ? ReceiverStatus::kPresent : ReceiverStatus::kGone;
  if (transport != Transport::kDatagram) return status;
  if (message.sequence > member.highest_sequence) {
    std::uint64_t advance = message.sequence - member.highest_sequence;
    member.sequence_window = advance >= kSequenceWindow ? 0 : member.sequence_window << advance;
    member.highest_sequence = message.sequence;
  }
  std::uint64_t age = member.highest_sequence - message.sequence;
  if (age >= kSequenceWindow || (member.sequence_window >> age & 1) != 0) {
    ++metrics_.replayed;
    return std::nullopt;
  }
  member.sequence_window |= std::uint64_t{1} << age;
  return status;
}

void Membership::OnAck(TimePoint now, const Message& message, std::vector<Outgoing>& out) {
  if (auto relay = relays_.find(message.probe); relay != relays_.end()) {
    Message forwarded = MakeGossip(MessageKind::kAck);
    forwarded.probe = relay->second.probe;
    forwarded.target = message.from;
    forwarded.target_generation = message.generation;
    QueueDatagram(out, relay->second.to, std::move(forwarded));
    relays_.erase(relay);
    return;
  }
  auto probe = probes_.find(message.probe);
  if (probe == probes_.end()) return;
  bool direct = message.from == probe->second.name && message.generation == probe->second.generation;
  if (!direct &&
      (message.target != probe->second.name || message.target_generation != probe->second.generation))
    return;
  if (direct) {
    members_.at(message.from).last_ack = now;
    if (message.receiver_status == ReceiverStatus::kPresent) confirmed_at_ = now;
  }
  if (probe->second.scheduled) AdjustHealth(-1);
  probes_.erase(probe);
}

// Sends the full table if the sender's digest has differed for sync_delay, or if the sender is new.
void Membership::CompareDigests(TimePoint now, const Message& message, std::vector<Outgoing>& out) {
  if (message.digest == Digest()) {
    differs_since_ = TimePoint{-1};
  } else if (differs_since_ < TimePoint{}) {
    differs_since_ = now;
  }
  bool late = differs_since_ >= TimePoint{} && now - differs_since_ > options_.sync_delay;
  auto at = members_.find(message.from);
  bool new_sender = at == members_.end() || at->second.record.generation < message.generation;
  if ((!late && !new_sender) || now < next_table_at_) return;
  Duration interval = 2 * options_.sync_delay;
  next_table_at_ =
      now + interval +
      Duration(static_cast<Duration::rep>(RandomBelow(static_cast<std::uint64_t>(interval.count()) / 4 + 1)));
  out.push_back({message.reply_to, MakeTable(MessageKind::kTable), true});
}

std::optional<Message> Membership::Receive(TimePoint now, const Message& message, Transport transport,
                                           std::vector<Outgoing>& out) {
  DetectStall(now);
  bool own = message.from == self_.name;
  if (own) OnMessageFromOwnName(now, message);
  if (own && message.first_generation == self_.first_generation) return std::nullopt;
  std::optional<ReceiverStatus> sender_status =
      own ? ReceiverStatus::kUnknown : CheckSender(message, transport);
  if (!sender_status) return std::nullopt;
  bool answers_join = message.kind == MessageKind::kTable && transport == Transport::kStreamReply &&
                      phase_ == Phase::kJoining;
  // Records from processes that are not members are ignored.
  if (message.member && phase_ != Phase::kLeft) {
    for (const Record& record : message.records) Merge(now, record);
  }
  switch (message.kind) {
    case MessageKind::kPing: {
      Message ack = MakeMessage(MessageKind::kAck);
      ack.probe = message.probe;
      ack.receiver_status = *sender_status;
      auto sender = members_.find(message.from);
      if (*sender_status == ReceiverStatus::kGone && sender != members_.end())
        ack.records.push_back(sender->second.record);
      AddGossip(ack);
      QueueDatagram(out, message.reply_to, std::move(ack));
      break;
    }
    case MessageKind::kPingRequest: {
      if (relays_.size() >= options_.max_members || phase_ != Phase::kMember) break;
      Message ping = MakeMessage(MessageKind::kPing);
      ping.probe = ++last_probe_;
      AddGossip(ping);
      relays_[ping.probe] = {message.reply_to, message.probe, now + options_.probe_timeout * 6 / 10};
      QueueDatagram(out, message.target_address, std::move(ping));
      break;
    }
    case MessageKind::kAck:
      OnAck(now, message, out);
      break;
    case MessageKind::kNack:
      if (auto probe = probes_.find(message.probe); probe != probes_.end()) --probe->second.missing_nacks;
      break;
    case MessageKind::kGossip:
      break;
    case MessageKind::kJoin:
      if (transport == Transport::kStreamRequest) return MakeTable(MessageKind::kTable);
      break;
    case MessageKind::kApplication:  // handled by Peers
      break;
    case MessageKind::kTable:
      if (transport == Transport::kDatagram) break;
      ++metrics_.tables;
      if (answers_join && phase_ == Phase::kJoining) {  // the table shows no conflict over the name
        BecomeMember(now);
        LogLine("joined the fleet via " + message.from);
        out.push_back({message.reply_to, MakeTable(MessageKind::kTable), true});
      }
      if (transport == Transport::kStreamRequest) return MakeTable(MessageKind::kTable);
      break;
  }
  bool has_digest = message.kind == MessageKind::kPing || message.kind == MessageKind::kAck;
  if (phase_ == Phase::kMember && message.member && has_digest && !own) CompareDigests(now, message, out);
  return std::nullopt;
}

}  // namespace peatbend::peers

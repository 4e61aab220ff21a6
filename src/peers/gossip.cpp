// Gossip: which records are sent, to whom and how often.
#include <algorithm>
#include <bit>
#include <utility>

#include "peers/membership.h"

namespace peatbend::peers {
namespace {

constexpr int kTransmissionsPerDoubling = 3;  // of each record, for each doubling of the fleet
constexpr std::size_t kMaxHeaderBytes = 90;   // upper bound, without texts and records

}  // namespace

int Membership::MaxTransmissions() const {
  return kTransmissionsPerDoubling * static_cast<int>(std::bit_width(present() + 1));
}

void Membership::QueueGossip(const Record& record) { gossip_[record.name] = {record, 0}; }

void Membership::QueueSelfGossip() {
  UpdateDigest();
  if (phase_ == Phase::kMember || phase_ == Phase::kLeft) QueueGossip(self_);
}

// Fills the datagram with pending records, those sent least often first.
void Membership::AddGossip(Message& message) {
  if (!message.member) return;
  std::size_t used = kMaxHeaderBytes + message.fleet.size() + message.from.size() + message.reply_to.size() +
                     message.target.size() + message.target_address.size();
  for (const Record& record : message.records) used += MaxEncodedSize(record);
  std::vector<GossipItem*> order;
  for (auto& [name, item] : gossip_) order.push_back(&item);
  auto max_records = std::min(order.size(), kMaxDatagramBytes / MaxEncodedSize(Record{}));
  std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(max_records), {},
                            &GossipItem::sent);
  int max_sent = MaxTransmissions();
  for (GossipItem* item : order) {
    std::size_t size = MaxEncodedSize(item->record);
    if (used + size > kMaxDatagramBytes) break;
    used += size;
    message.records.push_back(item->record);
    ++item->sent;
  }
  std::erase_if(gossip_, [max_sent](const auto& one) { return one.second.sent >= max_sent; });
}

Message Membership::MakeMessage(MessageKind kind) {
  Message message;
  message.kind = kind;
  message.fleet = options_.fleet;
  message.from = self_.name;
  message.reply_to = self_.address;
  message.generation = self_.generation;
  message.first_generation = self_.first_generation;
  message.sequence = ++sequence_;
  message.member = phase_ == Phase::kMember || phase_ == Phase::kLeft;
  message.digest = Digest();
  return message;
}

Message Membership::MakeGossip(MessageKind kind) {
  Message message = MakeMessage(kind);
  AddGossip(message);
  return message;
}

void Membership::QueueDatagram(std::vector<Outgoing>& out, const std::string& to, Message message) {
  out.push_back({to, std::move(message), false});
}

void Membership::StepGossip(TimePoint now, std::vector<Outgoing>& out) {
  bool may_gossip = phase_ == Phase::kMember || phase_ == Phase::kLeft;
  if (!may_gossip || gossip_.empty() || now < gossip_at_) return;
  gossip_at_ = now + options_.gossip_interval;
  for (const Member* member : PickAlive(static_cast<std::size_t>(options_.fanout), "")) {
    if (gossip_.empty()) return;
    QueueDatagram(out, member->record.address, MakeGossip(MessageKind::kGossip));
  }
}

}  // namespace peatbend::peers

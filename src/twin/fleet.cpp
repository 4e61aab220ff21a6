#include "twin/fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace peatbend::twin {
namespace {

using namespace std::chrono_literals;
using peers::Membership;
using peers::Message;
using peers::Record;

constexpr Duration kDisturbed = 4s;  // for which what a fault did may still be taken for a death
constexpr std::size_t kNobody = ~std::size_t{0};

}  // namespace

Fleet::Fleet(Setup setup) : setup_(std::move(setup)), random_(setup_.seed, 1), links_(setup_.seed, 2) {
  setup_.options.fleet = "twin";
  nodes_.resize(setup_.nodes);
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < std::min(setup_.seeds, setup_.nodes); ++i) seeds.push_back(Address(i));
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].name = fmt::format("r{:04}", i);  // of one length: what a message weighs must not hang on it
    nodes_[i].seeds = seeds;
  }
}

std::string Fleet::Address(std::size_t node) { return fmt::format("n:{:04}", node); }

std::size_t Fleet::NodeAt(const std::string& address) const {
  std::size_t node = kNobody;
  if (address.starts_with("n:")) std::from_chars(address.data() + 2, address.data() + address.size(), node);
  return node < nodes_.size() ? node : kNobody;
}

void Fleet::Disturb(std::size_t node, TimePoint until) {
  nodes_[node].disturbed_until = std::max(nodes_[node].disturbed_until, until + kDisturbed);
}

// ---- Faults -----------------------------------------------------------------------------------------

void Fleet::Start(std::size_t i) {
  Node& node = nodes_[i];
  if (node.process) return;
  Record self;
  self.name = node.name;
  auto ms = static_cast<std::uint64_t>(now() / 1ms);
  if (!setup_.reuse_lives || node.starts == 0) node.life = (ms << 20) | (random_.Word() & 0xfffff);
  ++node.starts;
  self.generation = node.life;
  self.address = Address(i);
  self.zone = i % 2 == 0 ? "east" : "west";
  self.version = "0";
  node.killed_at = TimePoint{-1};
  node.ended.clear();
  node.waiting.clear();
  node.stalled_until = TimePoint{};
  Disturb(i, now());
  node.process = std::make_unique<Membership>(
      setup_.options, self, node.seeds, random_.Word(), now(),
      [this, i](const Record* before, const Record& record) { Heard(i, before, record); },
      [this, i](const std::string& text) {
        Note(fmt::format("{:.6f} {} says: {}", world::Seconds(now()), i, text));
      });
  node.due = TimePoint{-1};
  Note(fmt::format("{:.6f} {} starts, life {:x}", world::Seconds(now()), i, node.life));
  Step(i);
}

void Fleet::Kill(std::size_t i) {
  Node& node = nodes_[i];
  if (!node.process) return;
  node.life = node.process->self().generation;
  node.process.reset();
  node.killed_at = now();
  Disturb(i, now() + 1h);
  Note(fmt::format("{:.6f} {} is killed", world::Seconds(now()), i));
}

void Fleet::Leave(std::size_t i) {
  if (!nodes_[i].process) return;
  std::vector<peers::Outgoing> out;
  nodes_[i].process->Leave(now(), out);
  Send(i, std::move(out));
  Schedule(i);
  agenda_.In(500ms, [this, i, starts = nodes_[i].starts] {
    if (nodes_[i].starts == starts) Kill(i);
  });
}

void Fleet::Stall(std::size_t i, Duration span) {
  Node& node = nodes_[i];
  if (!node.process) return;
  node.stalled_until = std::max(node.stalled_until, now() + span);
  Disturb(i, node.stalled_until);
  Note(fmt::format("{:.6f} {} stands still for {:.3f} s", world::Seconds(now()), i, world::Seconds(span)));
  agenda_.At(node.stalled_until, [this, i, starts = node.starts] {
    Node& one = nodes_[i];
    if (one.starts != starts || !one.process || one.stalled_until > now()) return;
    // What came meanwhile lies in its socket, and is read before any timer is seen to.
    auto waiting = std::move(one.waiting);
    one.waiting.clear();
    for (auto& each : waiting) each();
    Step(i);
  });
}

void Fleet::Cut(std::size_t from, std::size_t to, bool cut) {
  if (from == to) return;
  if (cut) cuts_.insert({from, to});
  if (!cut) cuts_.erase({from, to});
  Disturb(from, cut ? now() + 1h : now());
  Disturb(to, cut ? now() + 1h : now());
  if (!cut) nodes_[from].disturbed_until = nodes_[to].disturbed_until = now() + kDisturbed;
  Note(fmt::format("{:.6f} {} -> {} {}", world::Seconds(now()), from, to, cut ? "cut" : "whole"));
}

// ---- Links -------------------------------------------------------------------------------------------

Duration Fleet::Way() {
  return setup_.links.delay + Duration(static_cast<Duration::rep>(
                                  links_.Unit() * static_cast<double>(setup_.links.spread.count())));
}

void Fleet::Send(std::size_t from, std::vector<peers::Outgoing> out) {
  for (peers::Outgoing& one : out) {
    std::size_t to = NodeAt(one.to);
    one.stream ? ++traffic_.streams : ++traffic_.datagrams;
    if (setup_.count_bytes) traffic_.bytes += peers::Encode(one.message).size();
    if (to == kNobody) continue;
    if (trace_) {
      Note(fmt::format("{:.6f} {} -> {} {} #{} probe {} records {}", world::Seconds(now()), from, to,
                       peers::kMessageKindNames[static_cast<int>(one.message.kind)], one.message.sequence,
                       one.message.probe, one.message.records.size()));
    }
    auto message = std::make_shared<const Message>(std::move(one.message));
    if (one.stream) {
      Deliver(from, to, std::move(message), peers::Transport::kStreamRequest);
      continue;
    }
    int copies = links_.Chance(setup_.links.loss) ? 0 : links_.Chance(setup_.links.duplicate) ? 2 : 1;
    for (; copies > 0; --copies) Deliver(from, to, message, peers::Transport::kDatagram);
  }
}

void Fleet::Deliver(std::size_t from, std::size_t to, std::shared_ptr<const Message> message,
                    peers::Transport transport) {
  if (cuts_.contains({from, to})) return;
  agenda_.In(Way(), [this, from, to, message = std::move(message), transport] {
    Arrive(from, to, *message, transport);
  });
}

void Fleet::Arrive(std::size_t from, std::size_t to, const Message& message, peers::Transport transport) {
  Node& node = nodes_[to];
  if (!node.process || cuts_.contains({from, to})) return;
  if (node.stalled_until > now()) {
    node.waiting.push_back([this, from, to, message, transport] { Arrive(from, to, message, transport); });
    return;
  }
  std::vector<peers::Outgoing> out;
  auto answer = node.process->Receive(now(), message, transport, out);
  if (answer && transport == peers::Transport::kStreamRequest) {
    if (setup_.count_bytes) traffic_.bytes += peers::Encode(*answer).size();
    Deliver(to, from, std::make_shared<const Message>(std::move(*answer)), peers::Transport::kStreamReply);
  }
  Send(to, std::move(out));
  Schedule(to);
}

void Fleet::Schedule(std::size_t i) {
  Node& node = nodes_[i];
  TimePoint due = std::max(node.process->Due(), now());
  if (node.due >= TimePoint{} && node.due <= due) return;
  node.due = due;
  agenda_.At(due, [this, i, due, starts = node.starts] {
    Node& one = nodes_[i];
    if (one.starts != starts || !one.process || one.due != due) return;
    one.due = TimePoint{-1};
    if (one.stalled_until <= now()) Step(i);
  });
}

void Fleet::Step(std::size_t i) {
  std::vector<peers::Outgoing> out;
  nodes_[i].process->Step(now(), out);
  Send(i, std::move(out));
  Schedule(i);
}

// ---- What is seen ---------------------------------------------------------------------------------------

void Fleet::Heard(std::size_t observer, const Record* before, const Record& record) {
  Node& node = nodes_[observer];
  if (trace_ &&
      (before == nullptr || before->state != record.state || before->generation != record.generation)) {
    Note(fmt::format("{:.6f} {} holds {} for {}, life {:x} claim {} by {}", world::Seconds(now()), observer,
                     record.name, peers::kStateNames[static_cast<int>(record.state)], record.generation,
                     record.incarnation, record.suspected_by));
  }
  std::pair id{record.name, record.generation};
  if (before != nullptr && before->generation < record.generation)
    node.ended.insert({before->name, before->generation});
  if (record.present()) {
    if (node.ended.contains(id))
      broken_.push_back({"came_back", fmt::format("{} holds the ended life {:x} of {} for present", observer,
                                                  record.generation, record.name)});
    return;
  }
  node.ended.insert(id);
  for (const Node& other : nodes_) {
    if (other.name != record.name) continue;
    if (!other.process && other.life == record.generation && other.killed_at >= TimePoint{})
      noticed_.push_back(now() - other.killed_at);
    bool lives = other.process && other.process->self().generation == record.generation &&
                 other.process->phase() == Membership::Phase::kMember;
    if (lives && record.state == peers::State::kDead && now() > other.disturbed_until)
      false_deaths_.insert(fmt::format("{}/{:x}", record.name, record.generation));
  }
}

bool Fleet::Quiet() const {
  return std::ranges::all_of(
      nodes_, [](const Node& node) { return !node.process || node.process->pending_gossip() == 0; });
}

bool Fleet::Agreed() const { return Difference().empty(); }

std::string Fleet::Difference() const {
  std::set<std::pair<std::string, std::uint64_t>> there;
  for (const Node& node : nodes_) {
    if (!node.process || node.process->phase() == Membership::Phase::kRefused) continue;
    if (node.process->phase() != Membership::Phase::kMember) return node.name + " is no member";
    there.insert({node.name, node.process->self().generation});
  }
  for (const Node& node : nodes_) {
    if (!node.process || node.process->phase() != Membership::Phase::kMember) continue;
    std::set<std::pair<std::string, std::uint64_t>> view{{node.name, node.process->self().generation}};
    for (const auto& [name, member] : node.process->members()) {
      if (member.record.present()) view.insert({name, member.record.generation});
    }
    if (view == there) continue;
    for (const auto& one : there) {
      if (!view.contains(one)) return fmt::format("{} lacks {} life {:x}", node.name, one.first, one.second);
    }
    for (const auto& one : view) {
      if (!there.contains(one))
        return fmt::format("{} still holds {} life {:x}", node.name, one.first, one.second);
    }
  }
  return {};
}

}  // namespace peatbend::twin

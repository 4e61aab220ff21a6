#include "peers/peers.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peatbend::peers {
namespace {

constexpr std::size_t kMaxPayloadOverhead = 300;  // bytes of a message without its payload
constexpr Duration kListenRetryDelay = 200ms;     // a former process may still hold the address

// Increases with each start as long as the clock is right; if it is not, joining corrects the generation.
std::uint64_t NewGeneration(std::uint64_t random) {
  auto unix = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(unix / 1ms) << 20 | (random & 0xfffff);
}

// kWork payloads are MessagePack arrays. Neither 0xc1, which starts no MessagePack value, nor 2 and 3, which
// are integers, can start one.
Peers::Channel ChannelOf(const std::string& payload) {
  unsigned char first = payload.empty() ? '\0' : static_cast<unsigned char>(payload[0]);
  return first == 0xc1 ? Peers::Channel::kRations
         : first == 2  ? Peers::Channel::kOverload
         : first == 3  ? Peers::Channel::kPublications
                       : Peers::Channel::kWork;
}

}  // namespace

// CLOCK_BOOTTIME advances while the machine is suspended; the steady clock does not.
TimePoint Peers::Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds(now.tv_sec) + Duration(now.tv_nsec);
}

Peers::Peers(event_base* base, const Config::Peers& config, const net::Tuning::Peers& times, Self self,
             std::uint64_t random, net::Log& log)
    : base_(base), config_(config), self_(std::move(self)), random_(random), log_(log), step_(base, [this] {
        membership_ ? Run([this](TimePoint now, auto& out) { membership_->Step(now, out); }) : Open();
      }) {
  options_.fleet = config.fleet;
  options_.probe_interval = times.probe;
  options_.probe_timeout = times.timeout;
  options_.gossip_interval = times.gossip;
  options_.suspicion_min = times.suspicion_least;
  options_.suspicion_max = times.suspicion_most;
  options_.stall_threshold = times.stall;
  Open();
}

void Peers::Open() {
  try {
    sockets_ = std::make_unique<PeerSockets>(
        base_, config_.listen, config_.fleet,
        PeerSockets::Callbacks{
            .on_message = [this](const Message& message, Transport transport) -> std::optional<Message> {
              std::optional<Message> answer;
              if (message.kind == MessageKind::kApplication) {
                if (const MessageHandler& handler =
                        handlers_[static_cast<std::size_t>(ChannelOf(message.payload))])
                  handler(message.from, message.payload);
                return answer;
              }
              Run([&](TimePoint now, auto& out) {
                answer = membership_->Receive(now, message, transport, out);
              });
              return answer;
            },
            .on_dropped =
                [this](DecodeError error, const std::string& from) {
                  ++dropped_[static_cast<int>(error)];
                  log_.Line("peers dropped",
                            fmt::format("{} from {}", kDecodeErrorNames[static_cast<int>(error)], from));
                }});
  } catch (const std::runtime_error& error) {
    log_.Line("peers", std::string(error.what()) + "; retrying");
    return step_.Set(kListenRetryDelay);
  }
  Record record;
  record.name = self_.name;
  record.generation = NewGeneration(random_);
  record.address = config_.advertise;
  record.zone = self_.zone;
  record.version = self_.version;
  record.client_address = self_.client_address;
  log_.Line("peers", fmt::format("listening on {} for fleet {}, generation {:x}", config_.listen,
                                 config_.fleet, record.generation));
  membership_.emplace(
      options_, record, config_.seeds, random_, Now(),
      [this](const Record* before, const Record& now) { OnMemberChanged(before, now); },
      [this](const std::string& text) { log_.Line("peers", text); });
  Run([this](TimePoint now, auto& out) { membership_->Step(now, out); });
}

void Peers::Run(const std::function<void(TimePoint, std::vector<Outgoing>&)>& action) {
  std::vector<Outgoing> out;
  action(Now(), out);
  for (const Outgoing& one : out) sockets_->Send(one);
  step_.Set(membership_->Due() - Now());
}

void Peers::OnMemberChanged(const Record* before, const Record& now) {
  bool new_generation = before == nullptr || before->generation != now.generation;
  if (!new_generation && before->state == now.state) return;
  std::string what = kStateNames[static_cast<int>(now.state)];
  if (new_generation && now.present()) what = before != nullptr ? "has restarted" : "is present";
  std::string by =
      now.state == State::kSuspect || now.state == State::kDead ? ", suspected by " + now.suspected_by : "";
  log_.Line("peers", fmt::format("{} ({}, zone {}, generation {:x}) {}{}", now.name, now.address, now.zone,
                                 now.generation, what, by));
}

bool Peers::Send(const std::string& to, std::string bytes) {
  if (!membership_) return false;
  auto at = membership_->members().find(to);
  if (at == membership_->members().end() || bytes.size() > kMaxPayloadBytes) return false;
  Outgoing one;
  one.to = at->second.record.address;
  one.message.kind = MessageKind::kApplication;
  one.message.fleet = options_.fleet;
  one.message.from = self_.name;
  one.message.reply_to = config_.advertise;
  one.message.generation = membership_->self().generation;
  one.message.payload = std::move(bytes);
  one.stream = one.message.payload.size() + kMaxPayloadOverhead > kMaxDatagramBytes;
  sockets_->Send(one);
  return true;
}

std::uint64_t Peers::generation() const {
  using enum Membership::Phase;  // after leaving it finishes pending work under its generation
  bool known = membership_ && (membership_->phase() == kMember || membership_->phase() == kLeft);
  return known ? membership_->self().generation : 0;
}

bool Peers::IsPresent(const std::string& name) const {
  if (name == self_.name) return true;
  if (!membership_) return false;
  auto at = membership_->members().find(name);
  return at != membership_->members().end() && at->second.record.present();
}

std::vector<std::string> Peers::PresentRouters() const {
  std::vector<std::string> names;
  if (!membership_) return names;
  for (const auto& [name, member] : membership_->members()) {
    if (member.record.present()) names.push_back(name);
  }
  return names;
}

bool Peers::IsZoneGone(const std::string& zone) const {
  if (!membership_ || zone == self_.zone) return false;
  bool known = false;
  for (const auto& [name, member] : membership_->members()) {
    if (member.record.zone != zone || member.record.state == State::kLeft) continue;
    if (member.record.present()) return false;
    known = true;
  }
  return known;
}

bool Peers::IsGone(const std::string& name, std::uint64_t generation) const {
  if (!membership_) return false;
  auto at = membership_->members().find(name);
  if (at == membership_->members().end()) return false;
  const Record& record = at->second.record;
  return record.generation > generation || (record.generation == generation && !record.present());
}

void Peers::Leave() {
  if (membership_) Run([this](TimePoint now, auto& out) { membership_->Leave(now, out); });
}

SelfStatus Peers::status() const {
  return membership_ ? membership_->StatusAt(Now()) : SelfStatus::kNotMember;
}

void Peers::SetMetadata(std::string metadata) {
  if (membership_) membership_->SetMetadata(std::move(metadata));
}

std::vector<std::pair<std::string, std::uint64_t>> Peers::Figures() const {
  std::vector<std::pair<std::string, std::uint64_t>> all;
  std::uint64_t states[4] = {};
  if (!membership_) return {{"present", 0}, {"standing", static_cast<std::uint64_t>(SelfStatus::kNotMember)}};
  for (const auto& [name, member] : membership_->members()) ++states[static_cast<int>(member.record.state)];
  all.emplace_back("present", membership_->present());
  for (int i = 0; i < 4; ++i) all.emplace_back(kStateNames[i], states[i]);
  all.emplace_back("standing", static_cast<std::uint64_t>(status()));
  all.emplace_back("health", static_cast<std::uint64_t>(membership_->health()));
  const auto& f = membership_->metrics();
  for (auto [name, value] : {std::pair{"probes", f.probes},
                             {"missed", f.missed},
                             {"suspected", f.suspected},
                             {"refuted", f.refuted},
                             {"deaths", f.deaths},
                             {"rebirths", f.rebirths},
                             {"stalls", f.stalls},
                             {"replayed", f.replayed},
                             {"former", f.former},
                             {"joins", f.joins},
                             {"tables", f.tables},
                             {"over", f.over}}) {
    all.emplace_back(name, value);
  }
  all.emplace_back("sent", sockets_->sent());
  all.emplace_back("not_sent", sockets_->not_sent());
  all.emplace_back("received", sockets_->received());
  all.emplace_back("bytes_sent", sockets_->bytes_sent());
  std::uint64_t dropped = 0;
  for (std::uint64_t one : dropped_) dropped += one;
  all.emplace_back("dropped", dropped);
  return all;
}

std::string Peers::ToJson() const {
  using nlohmann::json;
  constexpr const char* kPhases[] = {"joining", "member", "contest", "refused", "left"};
  json all{{"fleet", config_.fleet},
           {"name", self_.name},
           {"phase", "no address"},
           {"standing", kSelfStatusNames[static_cast<int>(status())]}};
  if (membership_) {
    TimePoint now = Now();
    all["phase"] = kPhases[static_cast<int>(membership_->phase())];
    all["life"] = membership_->self().generation;
    all["address"] = config_.advertise;
    all["present"] = membership_->present();
    all["health"] = membership_->health();
    json members = json::array();
    for (const auto& [name, member] : membership_->members()) {
      const Record& r = member.record;
      json one{{"name", name},
               {"state", kStateNames[static_cast<int>(r.state)]},
               {"life", r.generation},
               {"address", r.address},
               {"zone", r.zone},
               {"version", r.version},
               {"serves", r.client_address},
               {"for_ms", (now - member.state_since) / 1ms}};
      one["heard_ms"] = member.last_ack > TimePoint{} ? json((now - member.last_ack) / 1ms) : json();
      if (!r.suspected_by.empty()) one["by"] = r.suspected_by;
      members.push_back(std::move(one));
    }
    all["members"] = std::move(members);
  }
  return all.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace peatbend::peers

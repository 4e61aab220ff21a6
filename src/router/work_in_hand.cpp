#include "router/work_in_hand.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "failover/wire.h"
#include "peers/message.h"
#include "protocol/facts.h"

namespace peatbend::net {
namespace {

constexpr std::chrono::milliseconds kAloneComeBack{250};
// Bytes: the records of a state transfer go by one stream.
constexpr std::size_t kMostSyncBytes = 512u << 10;

failover::OwnershipOptions OptionsOf(const Config& config) {
  failover::OwnershipOptions options;
  const Tuning::Failover& times = config.tuning.failover;
  options.send_permit = times.send_permit;
  options.commit_timeout = times.commit_timeout;
  options.outcome_timeout = times.outcome_timeout;
  options.serve_untracked = config.failover.no_quorum == "serve";
  Duration longest{};
  for (const ClassSettings& cls : config.settings.classes) longest = std::max(longest, cls.deadline);
  options.limits.lifetime = longest + times.retain;
  return options;
}

}  // namespace

WorkInHand::WorkInHand(event_base* base, const Config& config, peers::Peers& peers, BalancerDriver& decision,
                       Log& log)
    : settings_(config.settings),
      peers_(peers),
      decision_(decision),
      log_(log),
      manager_(OptionsOf(config), failover::ReplicaSet::Parse(config.failover.replicas), config.name,
               peers.generation(), peers::Peers::Now(),
               [this](const failover::Proposer& proposer) {
                 return peers_.IsGone(proposer.name, proposer.generation);
               }),
      tick_(base, [this] {
        manager_.SetGeneration(peers_.generation());
        manager_.Tick(peers::Peers::Now());
        Flush();
      }) {
  peers_.OnApplicationMessage(
      peers::Peers::Channel::kWork,
      [this](const std::string& from, const std::string& bytes) { Arrived(from, bytes); });
  decision_.SetOperationTracker(this);
  log_.Line("failover", fmt::format("records at three of {} replicas", manager_.replica_set().all().size()));
  Flush();
}

// What is open goes on untracked.
WorkInHand::~WorkInHand() {
  peers_.OnApplicationMessage(peers::Peers::Channel::kWork, {});
  manager_.ContinueUntracked(peers::Peers::Now());
  Flush();
  decision_.SetOperationTracker(nullptr);
}

bool WorkInHand::Tracks(const Request& request) const {
  return settings_.classes[static_cast<std::size_t>(request.cls)].effect != Effect::kSafe;
}

// Keyed work is the same for all who bring its tenant, class, key and idempotency key; other work by its id.
std::string WorkInHand::NameOf(const Request& request) const {
  std::string_view k, tenant;
  const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(request.cls)];
  FindFact(request.facts, "t", tenant);
  bool keyed = cls.effect == Effect::kKeyed && FindFact(request.facts, "k", k);
  std::string name = keyed ? fmt::format("k|{}|{}|{}|{}", tenant, cls.name, request.key, k)
                           : fmt::format("i|{}|{}", cls.name, request.id);
  if (name.size() <= failover::kMaxOperationKey) return name;
  XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return fmt::format("h|{:016x}{:016x}", hash.high64, hash.low64);
}

void WorkInHand::StartTracking(RequestId id, const Request& request, Duration left) {
  failover::TimePoint now = peers::Peers::Now();
  manager_.SetGeneration(peers_.generation());
  manager_.Open(now, static_cast<failover::OwnershipManager::RequestNumber>(id), NameOf(request),
                settings_.classes[static_cast<std::size_t>(request.cls)], now + left);
}

void WorkInHand::RequestSendPermit(RequestId id, const std::string& member) {
  manager_.RequestAttempt(peers::Peers::Now(), static_cast<failover::OwnershipManager::RequestNumber>(id),
                          member);
  Flush();
}

void WorkInHand::OnAttemptEnded(RequestId id, bool may_have_run) {
  manager_.OnAttemptEnded(peers::Peers::Now(), static_cast<failover::OwnershipManager::RequestNumber>(id),
                          may_have_run);
  Flush();
}

void WorkInHand::RecordOutcome(RequestId id, OperationOutcome end, std::string value) {
  manager_.Finish(peers::Peers::Now(), static_cast<failover::OwnershipManager::RequestNumber>(id), end,
                  std::move(value));
  Flush();
}

void WorkInHand::StopTracking(RequestId id) {
  manager_.OnClientLeft(peers::Peers::Now(), static_cast<failover::OwnershipManager::RequestNumber>(id));
  Flush();
}

void WorkInHand::Arrived(const std::string& from, const std::string& bytes) {
  std::vector<failover::Message> messages;
  failover::DecodeError error = failover::Decode(bytes, manager_.replica_set().fingerprint(), messages);
  if (error != failover::DecodeError::kNone) {
    ++dropped_;
    return log_.Line("failover dropped", fmt::format("what {} says {}", from, Text(error)));
  }
  failover::TimePoint now = peers::Peers::Now();
  for (const failover::Message& message : messages) manager_.Handle(now, from, message);
  Flush();
}

void WorkInHand::Flush() {
  struct Parcel {
    std::vector<failover::Message> messages;
    std::size_t size = 0;
  };
  std::map<std::string, Parcel> parcels;
  auto send = [this](const std::string& to, Parcel& parcel) {
    std::string bytes = failover::Encode(manager_.replica_set().fingerprint(), parcel.messages);
    parcel = {};
    ++sent_;
    bytes_ += bytes.size();
    if (!peers_.Send(to, std::move(bytes))) ++unreached_;
  };
  for (failover::OwnershipManager::Outgoing& out : manager_.DrainOutgoing()) {
    Parcel& parcel = parcels[out.router];
    std::size_t more = failover::EncodedSizeBound(out.message);
    std::size_t most =
        out.message.kind == failover::Kind::kSyncRecord ? kMostSyncBytes : peers::kMaxBatchBytes;
    bool full = parcel.size + more > most || parcel.messages.size() >= failover::kMaxMessages;
    if (full && !parcel.messages.empty()) send(out.router, parcel);
    parcel.size += more;
    parcel.messages.push_back(std::move(out.message));
  }
  for (auto& [to, parcel] : parcels) send(to, parcel);
  for (failover::OwnershipManager::Result& result : manager_.DrainResults()) {
    RequestId id{result.number};
    if (result.what == failover::OwnershipManager::Result::What::kSend) {
      bool bounded = result.deliver_by != failover::TimePoint::max();
      decision_.PermitSend(id, bounded ? result.deliver_by - peers::Peers::Now() : Duration::max());
      continue;
    }
    if (result.no_quorum)
      log_.Line("failover no quorum", "no two of the three replicas of a record can be reached");
    decision_.CompleteRequest(id, result.outcome, std::move(result.value),
                              result.no_quorum ? kAloneComeBack : Duration{});
  }
  if (auto due = manager_.Due()) tick_.Set(std::max(*due - peers::Peers::Now(), failover::Duration{}));
}

std::vector<std::pair<std::string, std::uint64_t>> WorkInHand::Figures() const {
  const failover::OwnershipManager::Metrics& f = manager_.metrics();
  return {{"open", manager_.open()},
          {"tracked", f.tracked},
          {"untracked", f.untracked},
          {"joined", f.joined},
          {"taken_over", f.taken_over},
          {"answered_by_other", f.answered_by_other},
          {"outcome_value", f.value},
          {"outcome_failed", f.failed},
          {"outcome_rejected", f.rejected},
          {"released", f.released},
          {"preempted", f.preempted},
          {"permits_expired", f.permits_expired},
          {"no_quorum", f.no_quorum},
          {"outcome_not_committed", f.outcome_not_committed},
          {"value_not_stored", f.value_not_stored},
          {"records", manager_.replica().records()},
          {"record_bytes", manager_.replica().bytes()},
          {"recovering", manager_.replica().recovering(peers::Peers::Now()) ? 1u : 0u},
          {"sent", sent_},
          {"bytes_sent", bytes_},
          {"unreached", unreached_},
          {"dropped", dropped_}};
}

std::string WorkInHand::Describe() const {
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [name, value] : Figures()) all[name] = value;
  nlohmann::json replicas = nlohmann::json::array();
  for (const failover::ReplicaName& replica : manager_.replica_set().all())
    replicas.push_back({{"name", replica.router}, {"zone", replica.zone}});
  all["replicas"] = std::move(replicas);
  return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace peatbend::net

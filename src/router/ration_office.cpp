#include "router/ration_office.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>

#include "base/nonce.h"
#include "peers/message.h"
#include "rations/wire.h"

namespace peatbend::net {
namespace {

constexpr rations::Span kSingleBucket = std::chrono::milliseconds{5};

// NAME, NAME/ZONE, NAME/ZONE@ADDRESS:PORT
struct SeatLine {
  failover::ReplicaName name;
  std::string address;
};
SeatLine ReadSeat(const std::string& one) {
  SeatLine line;
  std::size_t at = one.rfind('@');
  if (at != std::string::npos) line.address = one.substr(at + 1);
  line.name = failover::ParseReplica(one.substr(0, at));
  return line;
}

failover::ReplicaSet SeatsOf(const Config& config) {
  std::vector<failover::ReplicaName> seats;
  for (const std::string& one : config.rations.seats) seats.push_back(ReadSeat(one).name);
  return failover::ReplicaSet(std::move(seats));
}

// Who states another is not to be listened to: of the seats, and of the addresses that make them.
std::uint64_t PrintOf(const Config& config, const failover::ReplicaSet& seats) {
  std::vector<std::string> addresses;
  for (const std::string& one : config.rations.seats) {
    SeatLine line = ReadSeat(one);
    if (!line.address.empty()) addresses.push_back(line.name.router + '@' + line.address);
  }
  std::ranges::sort(addresses);
  std::string all = fmt::format("{}", fmt::join(addresses, " "));
  return seats.fingerprint() ^ (all.empty() ? 0 : XXH3_64bits(all.data(), all.size()));
}

// Two processes of one name may run at once, but not at one address: where the seats' addresses are stated,
// only who has a seat's address is that seat.
bool Sits(const Config& config) {
  return std::ranges::none_of(config.rations.seats, [&config](const std::string& one) {
    SeatLine line = ReadSeat(one);
    return line.name.router == config.name && !line.address.empty() && line.address != config.peers.advertise;
  });
}

rations::QuotaManagerOptions OptionsOf(const Config& config) {
  rations::QuotaManagerOptions options;
  options.is_replica = Sits(config);
  const Tuning::Quota& times = config.tuning.rations;
  options.ledger.routers = std::max(1, config.settings.routers);
  options.ledger.request_interval = times.draw;
  options.ledger.resend_interval = times.again;
  options.ledger.unreachable_after = times.alone_after;
  options.ledger.idle_request_delay = times.idle;
  options.ledger.buckets = options.limits.buckets = static_cast<std::size_t>(times.buckets);
  return options;
}

std::int64_t UnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

RationOffice::RationOffice(event_base* base, const Config& config, peers::Peers& peers,
                           BalancerDriver& decision, Log& log)
    : settings_(config.settings),
      peers_(&peers),
      decision_(decision),
      log_(log),
      seats_(SeatsOf(config)),
      print_(PrintOf(config, seats_)),
      office_(OptionsOf(config), seats_, config.name, GenerateNonce(), GenerateNonce(), config.rations.table,
              peers::Peers::Now(),
              [this](const std::string& router) { return peers_ != nullptr && peers_->IsPresent(router); }),
      tick_(base, [this] { Tick(); }) {
  for (const failover::ReplicaName& seat : seats_.all()) {
    if (!seat.zone.empty() && std::ranges::find(zones_, seat.zone) == zones_.end())
      zones_.push_back(seat.zone);
  }
  peers_->OnApplicationMessage(
      peers::Peers::Channel::kRations,
      [this](const std::string& from, const std::string& bytes) { Arrived(from, bytes); });
  decision_.SetQuotaCheck(this);
  log_.Line("rations", fmt::format("book {:016x} of {} rations holds", office_.table().fingerprint,
                                   office_.table().quotas.size()));
  Tick();
}

RationOffice::~RationOffice() {
  Hush();
  decision_.SetQuotaCheck(nullptr);
}

void RationOffice::Hush() {
  if (peers_ != nullptr) peers_->OnApplicationMessage(peers::Peers::Channel::kRations, {});
  peers_ = nullptr;
}

void RationOffice::SetBook(std::shared_ptr<const rations::QuotaTable> table) {
  if (table->fingerprint == office_.table().fingerprint)
    return log_.Line("rations", "the book stays as it is");
  log_.Line("rations", fmt::format("book {:016x} of {} rations holds, in place of {:016x}",
                                   table->fingerprint, table->quotas.size(), office_.table().fingerprint));
  office_.SetTable(peers::Peers::Now(), std::move(table));
  Flush();
}

void RationOffice::Check(const Request& request, RequestEvent& event) {
  rations::RequestAttributes asked;
  asked.tenant = request.tenant;
  asked.cls = request.cls;
  asked.write = request.write;
  asked.retry = request.retry;
  asked.client = request.client;
  asked.key = request.key;
  rations::Verdict verdict = office_.Admit(peers::Peers::Now(), asked);
  if (!verdict.within_quota && verdict.over != rations::OverLimitAction::kCountOnly) {
    event.quota_verdict = verdict.over == rations::OverLimitAction::kReject ? QuotaVerdict::kReject
                                                                            : QuotaVerdict::kDeprioritize;
    event.retry_after = verdict.retry_after;
  }
  // A request changes nothing but the token requests that are due.
  auto due = office_.ledger().NextDue();
  if (due && *due < armed_) Arm(*due);
}

void RationOffice::Arm(rations::Time due) {
  armed_ = due;
  tick_.Set(std::max(due - peers::Peers::Now(), rations::Span{}));
}

void RationOffice::Arrived(const std::string& from, const std::string& bytes) {
  std::vector<rations::Message> messages;
  rations::DecodeError error = rations::Decode(bytes, print_, messages);
  if (error != rations::DecodeError::kNone) {
    ++dropped_;
    return log_.Line("rations dropped", fmt::format("what {} says {}", from, Text(error)));
  }
  rations::Time now = peers::Peers::Now();
  for (const rations::Message& message : messages) office_.Receive(now, from, message);
  // At once, without a wake-up of its own; many that come together are dealt with together.
  auto due = office_.NextDue();
  if (due && *due <= now && now >= ticked_ + kSingleBucket) return Tick();
  Flush();
}

void RationOffice::Tick() {
  armed_ = rations::Time::max();
  ticked_ = peers::Peers::Now();
  office_.Tick(ticked_, UnixSeconds(), Signs());
  Flush();
}

unsigned RationOffice::Signs() const {
  unsigned conditions = rations::kNoCondition;
  if (decision_.balancer().origin_overloaded()) conditions |= rations::kOriginOverloaded;
  if (std::ranges::any_of(
          zones_, [this](const std::string& zone) { return peers_ != nullptr && peers_->IsZoneGone(zone); }))
    conditions |= rations::kZoneLost;
  return conditions;
}

void RationOffice::Flush() {
  auto send = [this](const std::string& to, rations::MessageBatch& parcel) {
    std::string bytes = parcel.TakeBytes();
    ++sent_;
    bytes_ += bytes.size();
    if (peers_ == nullptr || !peers_->Send(to, std::move(bytes))) ++unreached_;
  };
  std::vector<std::pair<std::string, rations::MessageBatch>> parcels;  // by receiver
  for (const rations::Outgoing& out : office_.DrainOutgoing()) {
    auto at = std::ranges::find(parcels, out.router, &std::pair<std::string, rations::MessageBatch>::first);
    if (at == parcels.end()) at = parcels.insert(at, {out.router, rations::MessageBatch(print_)});
    rations::MessageBatch& parcel = at->second;
    if (parcel.Add(out.message, peers::kMaxBatchBytes)) continue;
    send(out.router, parcel);
    parcel.Add(out.message, peers::kMaxBatchBytes);
  }
  for (auto& [to, parcel] : parcels) send(to, parcel);
  // Also later than it was: an answer that has come needs nobody to wake for it.
  auto due = office_.NextDue();
  if (due && *due != armed_) Arm(*due);
}

std::vector<std::pair<std::string, std::uint64_t>> RationOffice::Figures() const {
  const rations::CreditLedger::Metrics& purse = office_.ledger().metrics();
  const rations::QuotaManager::Metrics& f = office_.metrics();
  return {{"book", office_.table().fingerprint},
          {"within", purse.within_quota},
          {"over", purse.over_quota},
          {"alone", purse.without_owner},
          {"owed", office_.ledger().debt()},
          {"buckets", office_.ledger().buckets()},
          {"draws", purse.token_requests},
          {"draws_again", purse.resends},
          {"granted", purse.granted},
          {"void_grants", purse.void_grants},
          {"shards_kept", office_.owned_shards()},
          {"buckets_kept", office_.owned_buckets()},
          {"goes", f.elections},
          {"goes_begun", f.elections_won},
          {"goes_lost", f.ballots_lost},
          {"grants", f.grants},
          {"tokens", f.tokens},
          {"other_book", f.config_mismatches},
          {"elsewhere", f.redirects},
          {"sent", sent_},
          {"bytes_sent", bytes_},
          {"unreached", unreached_},
          {"dropped", dropped_}};
}

}  // namespace peatbend::net

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

constexpr rations::Span kTogether = std::chrono::milliseconds{5};

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
  return seats.print() ^ (all.empty() ? 0 : XXH3_64bits(all.data(), all.size()));
}

// Two processes of one name may run at once, but not at one address: where the seats' addresses are stated,
// only who has a seat's address is that seat.
bool Sits(const Config& config) {
  return std::ranges::none_of(config.rations.seats, [&config](const std::string& one) {
    SeatLine line = ReadSeat(one);
    return line.name.router == config.name && !line.address.empty() && line.address != config.peers.advertise;
  });
}

rations::OfficeOptions OptionsOf(const Config& config) {
  rations::OfficeOptions options;
  options.sits = Sits(config);
  const Tuning::Quota& times = config.tuning.rations;
  options.purse.routers = std::max(1, config.settings.proxies);
  options.purse.draw_every = times.draw;
  options.purse.again_every = times.again;
  options.purse.alone_after = times.alone_after;
  options.purse.idle = times.idle;
  options.purse.buckets = options.keeper.buckets = static_cast<std::size_t>(times.buckets);
  return options;
}

std::int64_t UnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

RationOffice::RationOffice(event_base* base, const Config& config, peers::Peers& peers, Decision& decision,
                           Log& log)
    : settings_(config.settings),
      peers_(&peers),
      decision_(decision),
      log_(log),
      seats_(SeatsOf(config)),
      print_(PrintOf(config, seats_)),
      office_(OptionsOf(config), seats_, config.name, Nonce(), Nonce(), config.rations.table,
              peers::Peers::Now(),
              [this](const std::string& router) { return peers_ != nullptr && peers_->Present(router); }),
      tick_(base, [this] { Tick(); }) {
  for (const failover::ReplicaName& seat : seats_.all()) {
    if (!seat.zone.empty() && std::ranges::find(zones_, seat.zone) == zones_.end())
      zones_.push_back(seat.zone);
  }
  peers_->OnCargo(peers::Peers::Lane::kRations,
                  [this](const std::string& from, const std::string& bytes) { Arrived(from, bytes); });
  decision_.Ration(this);
  log_.Line("rations", fmt::format("book {:016x} of {} rations holds", office_.table().fingerprint,
                                   office_.table().quotas.size()));
  Tick();
}

RationOffice::~RationOffice() {
  Hush();
  decision_.Ration(nullptr);
}

void RationOffice::Hush() {
  if (peers_ != nullptr) peers_->OnCargo(peers::Peers::Lane::kRations, {});
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

void RationOffice::Judge(const Request& request, RequestEvent& event) {
  rations::RequestAttributes asked;
  asked.tenant = request.tenant;
  asked.cls = request.cls;
  asked.write = request.write;
  asked.retry = request.retry;
  asked.client = request.client;
  asked.key = request.key;
  rations::Verdict verdict = office_.Take(peers::Peers::Now(), asked);
  if (!verdict.within && verdict.over != rations::OverLimitAction::kCountOnly) {
    event.allowance =
        verdict.over == rations::OverLimitAction::kReject ? Allowance::kReject : Allowance::kLower;
    event.come_back = verdict.come_back;
  }
  // A request changes nothing but what the purse has to ask.
  auto due = office_.purse().NextDue();
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
  for (const rations::Message& message : messages) office_.Take(now, from, message);
  // At once, without a wake-up of its own; many that come together are dealt with together.
  auto due = office_.Due();
  if (due && *due <= now && now >= ticked_ + kTogether) return Tick();
  Flush();
}

void RationOffice::Tick() {
  armed_ = rations::Time::max();
  ticked_ = peers::Peers::Now();
  office_.Tick(ticked_, UnixSeconds(), Signs());
  Flush();
}

unsigned RationOffice::Signs() const {
  unsigned signs = rations::kNoCondition;
  if (decision_.balancer().origin_strained()) signs |= rations::kOriginOverloaded;
  if (std::ranges::any_of(
          zones_, [this](const std::string& zone) { return peers_ != nullptr && peers_->ZoneGone(zone); }))
    signs |= rations::kZoneLost;
  return signs;
}

void RationOffice::Flush() {
  auto send = [this](const std::string& to, rations::Parcel& parcel) {
    std::string bytes = parcel.Take();
    ++sent_;
    bytes_ += bytes.size();
    if (peers_ == nullptr || !peers_->Carry(to, std::move(bytes))) ++unreached_;
  };
  std::vector<std::pair<std::string, rations::Parcel>> parcels;  // by receiver
  for (const rations::Out& out : office_.TakeOut()) {
    auto at = std::ranges::find(parcels, out.router, &std::pair<std::string, rations::Parcel>::first);
    if (at == parcels.end()) at = parcels.insert(at, {out.router, rations::Parcel(print_)});
    rations::Parcel& parcel = at->second;
    if (parcel.Add(out.message, peers::kMostBatch)) continue;
    send(out.router, parcel);
    parcel.Add(out.message, peers::kMostBatch);
  }
  for (auto& [to, parcel] : parcels) send(to, parcel);
  // Also later than it was: an answer that has come needs nobody to wake for it.
  auto due = office_.Due();
  if (due && *due != armed_) Arm(*due);
}

std::vector<std::pair<std::string, std::uint64_t>> RationOffice::Figures() const {
  const rations::Purse::Figures& purse = office_.purse().figures();
  const rations::Office::Figures& f = office_.figures();
  return {{"book", office_.table().fingerprint},
          {"within", purse.within},
          {"over", purse.over},
          {"alone", purse.alone},
          {"owed", office_.purse().owed()},
          {"buckets", office_.purse().buckets()},
          {"draws", purse.draws},
          {"draws_again", purse.again},
          {"granted", purse.granted},
          {"void_grants", purse.void_grants},
          {"shards_kept", office_.kept()},
          {"buckets_kept", office_.bucketsKept()},
          {"goes", f.goes},
          {"goes_begun", f.begun},
          {"goes_lost", f.lost},
          {"grants", f.grants},
          {"tokens", f.tokens},
          {"other_book", f.other_book},
          {"elsewhere", f.elsewhere},
          {"sent", sent_},
          {"bytes_sent", bytes_},
          {"unreached", unreached_},
          {"dropped", dropped_}};
}

}  // namespace peatbend::net

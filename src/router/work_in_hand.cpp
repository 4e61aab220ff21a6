#include "router/work_in_hand.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "protocol/facts.h"
#include "takeover/wire.h"

namespace peatbend::net {
namespace {

constexpr std::chrono::milliseconds kAloneComeBack{250};
// Bytes: a few messages together fit a datagram; copies for one who has started anew go by one stream.
constexpr std::size_t kMostParcel = 1000, kMostCopies = 512u << 10;

takeover::DeskOptions OptionsOf(const Config& config) {
  takeover::DeskOptions options;
  const Tuning::Failover& times = config.tuning.takeover;
  options.send_within = times.send_within;
  options.stands_within = times.stands_within;
  options.ends_within = times.ends_within;
  options.serve_alone = config.takeover.alone == "serve";
  Duration longest{};
  for (const ClassSettings& cls : config.settings.classes) longest = std::max(longest, cls.deadline);
  options.keep.life = longest + times.linger;
  return options;
}

}  // namespace

WorkInHand::WorkInHand(event_base* base, const Config& config, peers::Peers& peers, Decision& decision,
                       Log& log)
    : settings_(config.settings),
      peers_(peers),
      decision_(decision),
      log_(log),
      desk_(OptionsOf(config), takeover::Seats::Read(config.takeover.seats), config.name, peers.life(), peers::Peers::Now(),
            [this](const takeover::Author& author) { return peers_.Gone(author.name, author.life); }),
      tick_(base, [this] {
        desk_.SetLife(peers_.life());
        desk_.Tick(peers::Peers::Now());
        Flush();
      }) {
  peers_.OnCargo(peers::Peers::Lane::kWork, [this](const std::string& from, const std::string& bytes) { Arrived(from, bytes); });
  decision_.Keep(this);
  log_.Line("work", fmt::format("kept at three of {} seats", desk_.seats().all().size()));
  Flush();
}

// What is open goes on uncovered.
WorkInHand::~WorkInHand() {
  peers_.OnCargo(peers::Peers::Lane::kWork, {});
  desk_.Release(peers::Peers::Now());
  Flush();
  decision_.Keep(nullptr);
}

bool WorkInHand::Covers(const Request& request) const {
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
  if (name.size() <= takeover::kMostWork) return name;
  XXH128_hash_t hash = XXH3_128bits(name.data(), name.size());
  return fmt::format("h|{:016x}{:016x}", hash.high64, hash.low64);
}

void WorkInHand::Opened(RequestId id, const Request& request, Duration left) {
  takeover::Time now = peers::Peers::Now();
  desk_.SetLife(peers_.life());
  desk_.Open(now, static_cast<takeover::Desk::Number>(id), NameOf(request),
             settings_.classes[static_cast<std::size_t>(request.cls)], now + left);
}

void WorkInHand::Want(RequestId id, const std::string& member) {
  desk_.Want(peers::Peers::Now(), static_cast<takeover::Desk::Number>(id), member);
  Flush();
}

void WorkInHand::FlowEnded(RequestId id, bool may_have_run) {
  desk_.Ended(peers::Peers::Now(), static_cast<takeover::Desk::Number>(id), may_have_run);
  Flush();
}

void WorkInHand::Finish(RequestId id, takeover::End end, std::string value) {
  desk_.Finish(peers::Peers::Now(), static_cast<takeover::Desk::Number>(id), end, std::move(value));
  Flush();
}

void WorkInHand::Left(RequestId id) {
  desk_.Left(peers::Peers::Now(), static_cast<takeover::Desk::Number>(id));
  Flush();
}

void WorkInHand::Arrived(const std::string& from, const std::string& bytes) {
  std::vector<takeover::Message> messages;
  takeover::DecodeError error = takeover::Decode(bytes, desk_.seats().print(), messages);
  if (error != takeover::DecodeError::kNone) {
    ++dropped_;
    return log_.Line("work dropped", fmt::format("what {} says {}", from, Text(error)));
  }
  takeover::Time now = peers::Peers::Now();
  for (const takeover::Message& message : messages) desk_.Take(now, from, message);
  Flush();
}

void WorkInHand::Flush() {
  struct Parcel {
    std::vector<takeover::Message> messages;
    std::size_t size = 0;
  };
  std::map<std::string, Parcel> parcels;
  auto send = [this](const std::string& to, Parcel& parcel) {
    std::string bytes = takeover::Encode(desk_.seats().print(), parcel.messages);
    parcel = {};
    ++sent_;
    bytes_ += bytes.size();
    if (!peers_.Carry(to, std::move(bytes))) ++unreached_;
  };
  for (takeover::Desk::Out& out : desk_.TakeOut()) {
    Parcel& parcel = parcels[out.router];
    std::size_t more = takeover::SizeOf(out.message);
    std::size_t most = out.message.kind == takeover::Kind::kCopy ? kMostCopies : kMostParcel;
    bool full = parcel.size + more > most || parcel.messages.size() >= takeover::kMostTogether;
    if (full && !parcel.messages.empty()) send(out.router, parcel);
    parcel.size += more;
    parcel.messages.push_back(std::move(out.message));
  }
  for (auto& [to, parcel] : parcels) send(to, parcel);
  for (takeover::Desk::Say& say : desk_.TakeSaid()) {
    RequestId id{say.number};
    if (say.what == takeover::Desk::Say::What::kSend) {
      decision_.MaySend(id);
      continue;
    }
    if (say.alone) log_.Line("work alone", "no two of the three seats of a record can be reached");
    decision_.Close(id, say.end, std::move(say.value), say.alone ? kAloneComeBack : Duration{});
  }
  if (auto due = desk_.Due()) tick_.Set(std::max(*due - peers::Peers::Now(), takeover::Span{}));
}

std::vector<std::pair<std::string, std::uint64_t>> WorkInHand::Figures() const {
  const takeover::Desk::Figures& f = desk_.figures();
  return {{"open", desk_.open()},
          {"covered", f.covered},
          {"uncovered", f.uncovered},
          {"joined", f.joined},
          {"taken_over", f.taken_over},
          {"ended_by_other", f.ended_by_other},
          {"ended_value", f.value},
          {"ended_failed", f.failed},
          {"ended_rejected", f.rejected},
          {"let_go", f.let_go},
          {"refused", f.refused},
          {"late", f.late},
          {"alone", f.alone},
          {"untold", f.untold},
          {"not_kept", f.not_kept},
          {"records", desk_.holder().records()},
          {"record_bytes", desk_.holder().bytes()},
          {"young", desk_.holder().young(peers::Peers::Now()) ? 1u : 0u},
          {"sent", sent_},
          {"bytes_sent", bytes_},
          {"unreached", unreached_},
          {"dropped", dropped_}};
}

std::string WorkInHand::Describe() const {
  nlohmann::json all = nlohmann::json::object();
  for (const auto& [name, value] : Figures()) all[name] = value;
  nlohmann::json seats = nlohmann::json::array();
  for (const takeover::SeatName& seat : desk_.seats().all())
    seats.push_back({{"name", seat.router}, {"zone", seat.zone}});
  all["seats"] = std::move(seats);
  return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace peatbend::net

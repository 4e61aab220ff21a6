#include "router/overload_office.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "base/nonce.h"
#include "failover/replica_set.h"
#include "overload/signal_batch.h"
#include "peers/message.h"

namespace peatbend::net {
namespace {

constexpr std::size_t kMostDatagrams = 4;                         // more go as one stream
constexpr std::size_t kMostHeard = 4096;                          // signs in a window
constexpr overload::Duration kOver = std::chrono::seconds{1};     // without a cut: it has ended
constexpr overload::Duration kYoung = std::chrono::seconds{5};    // knows less of members than the fleet does
constexpr overload::Duration kTurnFor = std::chrono::seconds{2};  // without a request: the turn is another's

std::vector<double> SharesOf(const Settings& settings) {
  std::vector<double> shares;
  for (const TenantSettings& tenant : settings.tenants) shares.push_back(tenant.share);
  return shares;
}

std::uint64_t PerMille(double value) { return static_cast<std::uint64_t>(std::lround(value * 1000)); }
std::uint64_t Whole(double value) { return static_cast<std::uint64_t>(std::lround(std::max(0.0, value))); }

}  // namespace

OverloadOffice::OverloadOffice(event_base* base, const Config& config, peers::Peers& peers,
                               BalancerDriver& decision, Log& log)
    : settings_(config.settings),
      self_(config.name),
      peers_(peers),
      decision_(decision),
      log_(log),
      order_(config.settings),
      cut_({.controller = {.bands = order_.bands()}}, GenerateNonce(), SharesOf(config.settings),
           peers::Peers::Now()),
      trials_(config.name, {}),
      returns_(config.name,
               {.routers_per_second = static_cast<double>(config.tuning.overload.dials_per_second)}),
      tick_(base, [this] { Tick(); }) {
  for (const std::string& seat : config.overload.seats) seats_.push_back(failover::ParseReplica(seat).router);
  peers_.OnApplicationMessage(
      peers::Peers::Channel::kOverload,
      [this](const std::string& from, const std::string& bytes) { Arrived(from, bytes); });
  decision_.SetOverloadControl(this);
  started_ = peers::Peers::Now();
  tick_.Set(overload::kWindowLength);
}

OverloadOffice::~OverloadOffice() {
  decision_.SetOverloadControl(nullptr);
  peers_.OnApplicationMessage(peers::Peers::Channel::kOverload, {});
}

// ---- What passes through the stage ------------------------------------------------------------------

// What is below the cut even if it is within its ration takes no token of it. It is counted where it would
// rank then: all of that is shed, so the cut comes out the same.
std::uint64_t OverloadOffice::Admit(const Request& request, QuotaCheck* rationing, RequestEvent& event) {
  overload::PriorityInput asked;
  asked.cls = request.cls;
  asked.work = event.work_hint;
  asked.retry = request.retry;
  asked.id = overload::HashId(request.id.empty() ? request.key : request.id);
  double rank = order_.PriorityOf(asked);
  if (rationing != nullptr && rank >= cut_.state().ThresholdOf(request.tenant)) {
    rationing->Check(request, event);
    if (event.quota_verdict == QuotaVerdict::kReject) return 0;
    asked.over_quota = event.quota_verdict == QuotaVerdict::kDeprioritize;
    if (asked.over_quota) rank = order_.PriorityOf(asked);
  }
  std::uint64_t work = order_.WorkOf(asked);
  overload::ShedDecision verdict = cut_.Decide(rank, work, request.tenant, asked.id);
  if (!verdict.shed) return work;
  ++shed_;
  if (asked.over_quota) ++shed_over_ration_;
  event.quota_verdict = QuotaVerdict::kReject;
  event.retry_after = verdict.retry_after;
  return 0;
}

void OverloadOffice::OnRequestEnded(std::uint64_t work, int cls, Outcome outcome, Duration took) {
  if (outcome == Outcome::kRejected) {
    ++full_;
    return cut_.window().OnNoRoom(work);
  }
  if (outcome == Outcome::kLost) return cut_.window().OnLost(work);
  cut_.window().OnServed(work, took - behind_ > settings_.classes[static_cast<std::size_t>(cls)].aim);
}

void OverloadOffice::OnAnswer(std::string_view server, int cls, Duration elapsed, const LoadReport& load) {
  auto place = OfOrigin(server) ? overload::DelayLocation::kOrigin : overload::DelayLocation::kMembers;
  overload::Duration wait = usual_.QueueingDelay(peers::Peers::Now(), server, cls, elapsed);
  if (load.queued && *load.queued < 1) wait = {};
  cut_.window().OnQueueDelay(place, wait);
  if (out_.empty()) return;
  if (auto at = out_.find(server); at != out_.end()) at->second.answered = true;
}

void OverloadOffice::OnSend(std::string_view server) {
  if (out_.empty()) return;
  auto at = out_.find(server);
  if (at == out_.end() || !at->second.own || std::exchange(at->second.sent, true)) return;
  ++tried_;
}

bool OverloadOffice::OfOrigin(std::string_view server) const { return decision_.IsOrigin(server); }

// ---- Signs ------------------------------------------------------------------------------------------

std::string OverloadOffice::Reader() const {
  auto at = std::ranges::find_if(seats_, [this](const std::string& seat) { return peers_.IsPresent(seat); });
  return at == seats_.end() ? std::string() : *at;
}

void OverloadOffice::Tick() {
  if (peers::Peers::Now() >= cut_.due()) {
    DialMembers();
    TryMembers();  // so that the sign tells of it
    cut_.window().OnLoopDelay(behind_ = peers::Peers::Now() - cut_.due());
    Tell(*cut_.CloseWindow(peers::Peers::Now(), trials_.DrainUpdates()));
    TellAll();
    Say();
  }
  tick_.Set(std::max(cut_.due() - peers::Peers::Now(), overload::Duration{}));
}

void OverloadOffice::Tell(const overload::LoadSignal& sign) {
  std::string reader = Reader(), bytes = overload::Encode(sign);
  if (reader == self_) {
    heard_.push_back(std::move(bytes));
  } else if (!reader.empty()) {
    Send(reader, {std::move(bytes)}, false);
  }
}

// One that others take for the reader tells all, whatever it believes itself.
void OverloadOffice::TellAll() {
  if (heard_.empty()) return;
  std::size_t size = 0;
  for (const std::string& sign : heard_) size += sign.size() + overload::kSignalOverhead;
  bool datagrams = size <= kMostDatagrams * peers::kMaxBatchBytes;
  std::vector<std::vector<std::string>> parts(1);
  std::size_t in_part = 0;
  for (std::string& sign : heard_) {
    std::size_t more = sign.size() + overload::kSignalOverhead;
    if (datagrams && in_part + more > peers::kMaxBatchBytes && !parts.back().empty()) {
      parts.emplace_back();
      in_part = 0;
    }
    in_part += more;
    parts.back().push_back(std::move(sign));
  }
  heard_.clear();
  for (const std::string& router : peers_.PresentRouters()) {
    for (const auto& part : parts) Send(router, part, true);
  }
}

void OverloadOffice::Send(const std::string& to, const std::vector<std::string>& signs, bool all) {
  std::string bytes = overload::Encode(overload::SignalBatch{all, signs});
  ++sent_;
  bytes_ += bytes.size();
  if (!peers_.Send(to, std::move(bytes))) ++unreached_;
}

void OverloadOffice::Arrived(const std::string& from, const std::string& bytes) {
  overload::SignalBatch parcel;
  std::vector<overload::LoadSignal> signs;
  bool fine = overload::Decode(bytes, parcel);
  for (const std::string& one : parcel.signals) fine = fine && overload::Decode(one, signs.emplace_back());
  if (!fine) {
    ++dropped_;
    return log_.Line("overload dropped", fmt::format("what {} says is malformed", from));
  }
  overload::TimePoint now = peers::Peers::Now();
  for (std::size_t i = 0; i < signs.size(); ++i) {
    bool fresh = cut_.Handle(now, signs[i]);
    ++(fresh ? signs_ : doubled_);
    if (fresh) {
      for (const overload::TrialUpdate& news : signs[i].trials) Heard(news, signs[i].process);
    }
    if (fresh && !parcel.aggregated && heard_.size() < kMostHeard)
      heard_.push_back(std::move(parcel.signals[i]));
  }
}

// ---- Members that get nothing, or are back -------------------------------------------------------------

void OverloadOffice::ServerListChanged(Scope scope, const std::vector<ServerEntry>& entries) {
  if (scope == Scope::kFailed) return;
  std::map<std::uint32_t, Listing> before = members_;
  if (scope != Scope::kDelta) members_.clear();
  for (const ServerEntry& entry : entries) {
    std::uint32_t id = overload::Trials::MemberId(entry.id.name);
    bool origin = settings_.cache_aside && entry.kind == settings_.origin_kind;
    members_.erase(id);
    if (origin || entry.state == ServerState::kGone) continue;
    Listing& now = members_[id] = {entry.id.name, entry.started, entry.state == ServerState::kReady};
    auto at = before.find(id);
    if (at != before.end()) now.started = std::max(now.started, at->second.started);
    if (!now.ready || (at != before.end() && at->second == now)) continue;
    // All routers hear of it at once. What the module may still know of it from before is nothing that a
    // trial is asked for. A router that has just started is not one of many that do so.
    trials_.OnRestart(now.name);
    out_.erase(now.name);
    if (before.empty()) {
      decision_.HandleTrial({entry.id, TrialDirective::kReadmit});
      continue;
    }
    IsBack(now.name, std::to_string(now.started.time_since_epoch().count()), {});
    if (returns_.IsWaiting(now.name)) decision_.HandleTrial({entry.id, TrialDirective::kEject});
  }
  for (const auto& [id, listing] : before) {
    if (members_.contains(id)) continue;
    trials_.Forget(listing.name);
    returns_.Cancel(listing.name);
    out_.erase(listing.name);
  }
}

void OverloadOffice::OnTrial(const ReportTrial& trial) {
  const std::string& name = trial.server.name;
  overload::TimePoint now = peers::Peers::Now();
  auto at = out_.find(name);
  bool own = at != out_.end() && std::exchange(at->second.own, false);
  returns_.Cancel(name);
  if (trial.healthy || own) {
    trials_.OnTrialEnded(now, name, trial.healthy);
  } else if (!trials_.OnFailure(now, name)) {  // it is not kept: the module tries for itself
    return decision_.HandleTrial({trial.server, TrialDirective::kReadmit});
  }
  if (!trials_.IsEjected(name)) {
    out_.erase(name);
  } else if (at == out_.end()) {
    out_.emplace(name, Turn{});
  }
}

void OverloadOffice::Heard(const overload::TrialUpdate& news, std::uint64_t process) {
  auto member = members_.find(news.member);
  if (member == members_.end()) return;
  const std::string& name = member->second.name;
  overload::TimePoint now = peers::Peers::Now();
  bool young = now - started_ < kYoung, by_two = trials_.EjectedByTwo(name);
  auto since = trials_.EjectedSince(name);
  auto step = trials_.Handle(now, news, process);
  if (step == overload::TrialStep::kGood) {
    // A young router may have missed that it was out, and take one that has begun anew for a warm one.
    out_.erase(name);
    IsBack(name, std::to_string(news.epoch), young ? kYoung : now - since.value_or(now));
    if (young && returns_.IsWaiting(name)) decision_.HandleTrial({ServerId{name}, TrialDirective::kEject});
    return;
  }
  if (!trials_.IsEjected(name)) return;
  Turn& turn = out_[name];
  if (step) {
    returns_.Cancel(name);
    if (!turn.own) decision_.HandleTrial({ServerId{name}, TrialDirective::kWait});
  }
  // Two others get nothing from it, or one where this router knows little, and nothing has come here either.
  bool now_out = (!by_two && trials_.EjectedByTwo(name)) || (young && !since);
  if (!now_out || turn.answered || turn.own) return;
  ++by_word_;
  decision_.HandleTrial({ServerId{name}, TrialDirective::kEject});
}

// Not dialled by all at one moment, nor given its whole load before discovery may have said that it is cold.
void OverloadOffice::IsBack(const std::string& member, const std::string& which, overload::Duration out) {
  if (!returns_.Schedule(peers::Peers::Now(), member, which, out, peers_.PresentRouters()))
    return BringBack(member);
  ++held_;
}

void OverloadOffice::DialMembers() {
  for (const std::string& member : returns_.DrainDue(peers::Peers::Now())) BringBack(member);
}

void OverloadOffice::BringBack(const std::string& member) {
  ++brought_back_;
  decision_.HandleTrial({ServerId{member}, TrialDirective::kReadmit});
}

void OverloadOffice::TryMembers() {
  if (out_.empty()) return;
  overload::TimePoint now = peers::Peers::Now();
  std::vector<std::string> present = peers_.PresentRouters();
  if (present != present_) trials_.SetPresent(present_ = std::move(present));
  for (auto& [name, turn] : out_) {
    if (trials_.TryBegin(now, name)) {
      turn.own = true;
      turn.sent = false;
      turn.since = now;
      decision_.HandleTrial({ServerId{name}, TrialDirective::kTry});
    } else if (turn.own && !turn.sent && now - turn.since >= kTurnFor) {
      turn.own = false;
      ++passed_;
      trials_.OnTurnPassed(now, name);
      decision_.HandleTrial({ServerId{name}, TrialDirective::kWait});
    }
  }
}

void OverloadOffice::Say() {
  const overload::SheddingState& now = cut_.state();
  overload::TimePoint time = peers::Peers::Now();
  if (now.threshold > 0) {
    quiet_.reset();
    if (began_) return;
    began_ = time;
    ++cuts_;
    return log_.Line("overload",
                     fmt::format("the cut begins at {:.3f}: {:.0f} came a second, {:.0f} were served, "
                                 "{} routers heard",
                                 now.threshold, now.arrived / 1000, now.served / 1000, now.routers));
  }
  if (!began_) return;
  if (!quiet_) quiet_ = time;
  if (time - *quiet_ < kOver) return;
  log_.Line("overload", fmt::format("the cut has ended after {:.1f} s",
                                    std::chrono::duration<double>(*quiet_ - *began_).count()));
  began_.reset();
  quiet_.reset();
}

std::vector<std::pair<std::string, std::uint64_t>> OverloadOffice::Figures() const {
  const overload::SheddingState& now = cut_.state();
  return {{"cut", PerMille(now.threshold)},
          {"headroom", PerMille(now.headroom)},
          {"strained", now.overloaded ? 1 : 0},
          {"routers", now.routers},
          {"came_ms", Whole(now.arrived / 1000)},
          {"served_ms", Whole(now.served / 1000)},
          {"reads", Reader() == self_ ? 1 : 0},
          {"cuts", cuts_},
          {"shed", shed_},
          {"shed_over_ration", shed_over_ration_},
          {"no_room", full_},
          {"out", out_.size()},
          {"tried", tried_},
          {"passed", passed_},
          {"held", held_},
          {"by_word", by_word_},
          {"brought_back", brought_back_},
          {"signs", signs_},
          {"doubled", doubled_},
          {"sent", sent_},
          {"bytes_sent", bytes_},
          {"unreached", unreached_},
          {"dropped", dropped_}};
}

}  // namespace peatbend::net

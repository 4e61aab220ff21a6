// Attempts: a request from its arrival over its sends and outcomes to its one end.
#include <stdexcept>

#include "module/balancer_impl.h"

namespace peatbend {

// Retry budget of a tenant: a request's part; cap of all tenants' over all proxies, and between these.
constexpr double kRetryPerRequest = 0.2, kRetryMost = 160, kRetryHigh = 20, kRetryLow = 2;
constexpr double kHoldWorth = 0.5;    // open connections' price over new ones' from which none is kept
constexpr double kOverRation = 0.1;   // of its value that what is over its ration keeps, to rank by
constexpr double kTenantSlack = 1.3;  // of a tenant's even part that counts as within its share
// Paced sends to the origin at once; of the aim, a latency not yet seen.
constexpr double kOriginBurst = 3, kFirstLatency = 0.2;
constexpr double kTooShort = 0.25;  // of the quickest answer of its class, a request's time that is in vain

void Balancer::Impl::On(const RequestEvent& event) {
  bool known = event.cls >= 0 && event.cls < static_cast<int>(set_.classes.size());
  if (!known) throw std::invalid_argument("request: cls: no such class");
  if (event.remaining < Duration{}) throw std::invalid_argument("request: remaining: must not be negative");
  auto [at, fresh] = requests_.try_emplace(event.id);
  if (!fresh) throw std::invalid_argument("request: id: already held");
  Request& request = at->second;
  request.id = event.id;
  request.key = event.key;
  request.write = event.write;
  request.cls = event.cls;
  request.arrived = now_;
  request.deadline = now_ + event.remaining;
  bool named = event.tenant >= 0 && event.tenant < static_cast<int>(tenants_.size());
  request.tenant = named ? static_cast<std::size_t>(event.tenant) : tenants_.size();
  request.come_back = event.retry_after;
  if (event.quota_verdict == QuotaVerdict::kReject) return End(request);
  request.value = Value(event, request.tenant);
  if (event.quota_verdict == QuotaVerdict::kDeprioritize) request.value *= kOverRation;
  // A client's repeat has mostly used up its aim: it ranks by what a late answer earns.
  if (event.retry) request.value *= set_.classes[request.cls].late_share;
  double& budget = retry_budgets_[request.tenant];
  budget = std::min(RetryMost(), budget + kRetryPerRequest);
  taken_lately_.Add(now_, kRateTime, 1);
  if (set_.attempt_window) taken_.push_back(now_);
  // In time that no server has come near to answering in, it would only cost a server its work.
  double quickest = quickest_[event.cls].Now(now_, kRateTime);
  if (Ns(event.remaining) < kTooShort * quickest) return End(request);
  if (set_.cache_aside && request.write) return AskOrigin(request);
  RefreshTable();
  if (set_.cache_aside && request.key && origin_ >= 0) {
    auto fetch = fetches_.find(*request.key);
    if (fetch != fetches_.end()) return JoinFetch(request, fetch->second);
  }
  ToCache(request);
}

double Balancer::Impl::RetryMost() const {
  double all = std::clamp(kRetryMost / set_.routers, kRetryLow, kRetryHigh);
  return std::max(1.0, all / std::max<double>(1, static_cast<double>(tenants_.size())));
}

// Worth per work where requests tell theirs and worth does not grow with it; a tenant's excess counts less.
double Balancer::Impl::Value(const RequestEvent& event, std::size_t tenant) {
  double value = set_.classes[event.cls].worth;
  bool per_work = !set_.worth_by_work && event.work_hint > Duration::zero();
  if (per_work) value /= std::max(1e6, Ns(event.work_hint));
  if (tenant == tenants_.size()) return value;
  double rate = set_.tenants[tenant].allowance_per_s * kTenantSlack / set_.routers;
  if (rate <= 0) return value;
  Fading& used = tenants_[tenant];
  used.Add(now_, kHeatTime, 1);
  bool over = used.count > rate * Ns(kHeatTime) / 1e9 + 2;
  return over ? value * set_.over_share_worth : value;
}

void Balancer::Impl::SendTo(Request& request, int index) {
  Server& server = servers_[index];
  if (!LegalSend(request, server)) return End(request);
  Duration begin_within = LatestStart(request) - now_;  // by the attempts before this one
  out_->emplace_back(Send{request.id, ServerId{server.id}, request.deadline - now_, begin_within});
  int number = static_cast<int>(request.attempts.size());
  bool counts = set_.attempt_window && number > 0 && !request.free_send;
  if (counts) further_.push_back({now_, {request.id, number}});
  request.free_send = false;
  request.attempts.push_back({server.zone, server.cell, now_});
  ++server.in_flight;
  if (server.ejected) server.trial_out = true;
  if (index == asked_) asked_ = -1;
  if (server.limit < 1) {
    double latency = server.origin ? server.base : server.latency;
    if (latency <= 0) latency = kFirstLatency * Ns(set_.classes[request.cls].aim);
    Duration gap = Nanos(latency / server.limit);  // one send each, of which some may come at once
    TimePoint from = now_ - Scale(gap, server.origin ? kOriginBurst - 1 : 0);
    server.not_before = std::max(server.not_before, from) + gap;
  }
  if (Warmth(server) < 1) {
    server.cold_sends = ColdSends(server) - 1;
    server.cold_at = now_;
  }
  PumpLater(index);
}

// The final answer: refused where that is true, else failed. Nothing is sent after it.
void Balancer::Impl::End(Request& request) {
  Duration told = request.come_back > Duration::zero() ? request.come_back : set_.max_retry_after / 4;
  Reject refusal{request.id, set_.may_send_retry_after ? std::min(told, set_.max_retry_after) : Duration{}};
  LegalRefuse(request) ? out_->emplace_back(refusal) : out_->emplace_back(Fail{request.id});
  for (std::size_t i = 0; i < request.attempts.size() && set_.may_cancel; ++i) {
    if (request.attempts[i].open) out_->emplace_back(Cancel{request.id, static_cast<int>(i)});
  }
  Drop(request, false);
}

void Balancer::Impl::On(const OutcomeEvent& event) {
  auto known = by_id_.find(event.server);
  int index = known == by_id_.end() ? -1 : known->second;
  if (event.result == Result::kNeverSent) {
    std::erase_if(further_,
                  [&](const auto& one) { return one.second == std::pair(event.id, event.attempt); });
  }
  if (index >= 0) {
    if (servers_[index].in_flight > 0) --servers_[index].in_flight;
    ReleaseIdle(servers_[index]);
    // What was sent before this process was told of went to the one before: no sign of how this one does.
    if (now_ - event.elapsed >= servers_[index].replaced) Observe(servers_[index], event);
  }
  auto at = requests_.find(event.id);
  if (at != requests_.end()) Settle(at->second, event, index);
  if (index >= 0) Pump(index);
}

// Idle connections are closed at once where all proxies' together cost a server more than new ones do:
// their price, and the places that it accepts. Elsewhere they close by themselves.
void Balancer::Impl::ReleaseIdle(const Server& server) {
  bool dear = set_.connection_price * set_.routers / 100 > kHoldWorth * set_.handshake_price;
  if (dear && server.in_flight == 0) out_->emplace_back(CloseIdleConnections{ServerId{server.id}});
}

void Balancer::Impl::Settle(Request& request, const OutcomeEvent& event, int index) {
  if (event.attempt < 0 || event.attempt >= static_cast<int>(request.attempts.size())) return;
  Attempt& attempt = request.attempts[event.attempt];
  attempt.open = false;
  attempt.reached = event.result != Result::kNoConn && event.result != Result::kNeverSent;
  attempt.may_have_run = attempt.reached && event.result != Result::kFull && event.result != Result::kMiss;
  bool whole = event.result == Result::kGood && !request.streaming;  // a stream may outlast any deadline
  if (whole) quickest_[request.cls].Lower(now_, Ns(event.elapsed));
  bool at_origin = index >= 0 && servers_[index].origin;
  if (event.done) return Drop(request, event.result == Result::kGood && at_origin);
  request.free_send = event.result == Result::kMiss;
  if (!MayGoOn(request)) return End(request);
  if (event.result == Result::kMiss) return AskOrigin(request);
  // Turned away by a full server: waits for it a little, once; then an alternate, or a refusal. Guards
  // against storms of cheap retries that spread a full server's keys over the fleet.
  bool full = event.result == Result::kFull && !at_origin;
  if (full && Sparse() && set_.cache_aside) return AskOrigin(request);
  bool may_wait =
      !Sparse() && !request.waited && set_.try_limit - static_cast<int>(request.attempts.size()) > 2;
  if (full && may_wait) return Enqueue(request, index);
  bool free = !full && !attempt.may_have_run && event.attempt == 0;
  if (!free && !Repeat(request)) return End(request);
  if (at_origin) return AskOrigin(request);
  request.waited = request.waited || full;
  request.avoid.push_back(index);
  ToCache(request);
}

}  // namespace peatbend

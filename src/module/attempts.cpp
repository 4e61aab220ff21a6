// The life of a request: arrival, attempts and their outcomes, and exactly one final answer.
#include <stdexcept>

#include "module/balancer_impl.h"

namespace peatbend {

// Retry budgets: tokens that each request earns; the tokens of all tenants over all routers; the bounds of
// the tokens of all tenants at one router.
constexpr double kRetryTokensPerRequest = 0.2, kTierRetryBudget = 160;
constexpr double kMaxRouterRetryBudget = 20, kMinRouterRetryBudget = 2;
// No idle connection is kept where open connections cost more than this multiple of new ones.
constexpr double kIdleCostRatio = 0.5;
constexpr double kOverQuotaFactor = 0.1;   // on the priority of a request that is over its quota
constexpr double kTenantShareSlack = 1.3;  // on a tenant's even share of its allowance at each router
// Pacing: sends to the origin that may go at once; the latency assumed before the first answer, as a share of
// the aim.
constexpr double kOriginPacingBurst = 3, kAssumedLatencyShare = 0.2;
// A request is not sent if it has less time left than this share of the fastest answer of its class.
constexpr double kMinTimeRatio = 0.25;

void Balancer::Impl::On(const RequestEvent& event) {
  bool known = event.cls >= 0 && event.cls < static_cast<int>(settings_.classes.size());
  if (!known) throw std::invalid_argument("request: cls: no such class");
  if (event.remaining < Duration{}) throw std::invalid_argument("request: remaining: must not be negative");
  auto [at, inserted] = requests_.try_emplace(event.id);
  if (!inserted) throw std::invalid_argument("request: id: already in use");
  Request& request = at->second;
  request.id = event.id;
  request.key = event.key;
  request.write = event.write;
  request.cls = event.cls;
  request.arrived = now_;
  request.deadline = now_ + event.remaining;
  bool named = event.tenant >= 0 && event.tenant < static_cast<int>(tenant_load_.size());
  request.tenant = named ? static_cast<std::size_t>(event.tenant) : tenant_load_.size();
  request.retry_after = event.retry_after;
  if (event.quota_verdict == QuotaVerdict::kReject || event.no_memory) return RejectOrFail(request);
  request.priority = ComputePriority(event, request.tenant);
  if (event.quota_verdict == QuotaVerdict::kDeprioritize) request.priority *= kOverQuotaFactor;
  // By the time of a client's retry most of the aim has passed: its priority is what a late answer earns.
  if (event.retry) request.priority *= settings_.classes[request.cls].late_share;
  double& budget = retry_budgets_[request.tenant];
  budget = std::min(MaxRetryBudget(), budget + kRetryTokensPerRequest);
  recent_requests_.Add(now_, kRateTimeConstant, 1);
  if (settings_.attempt_window) request_times_.push_back(now_);
  // With less time left than any server needs, it would only waste a server's work.
  double fastest = fastest_answer_[event.cls].ValueAt(now_, kRateTimeConstant);
  if (ToNanoseconds(event.remaining) < kMinTimeRatio * fastest) return RejectOrFail(request);
  if (settings_.cache_aside && request.write) return RouteToOrigin(request);
  RefreshTable();
  if (settings_.cache_aside && request.key && origin_index_ >= 0) {
    auto fetch = fetches_.find(*request.key);
    if (fetch != fetches_.end()) return WaitForFetch(request, fetch->second);
  }
  RouteToCache(request);
}

double Balancer::Impl::MaxRetryBudget() const {
  double all = std::clamp(kTierRetryBudget / settings_.routers, kMinRouterRetryBudget, kMaxRouterRetryBudget);
  return std::max(1.0, all / std::max<double>(1, static_cast<double>(tenant_load_.size())));
}

// The worth of the request, per unit of work if the work is known and worth does not grow with it; less for a
// tenant over its share.
double Balancer::Impl::ComputePriority(const RequestEvent& event, std::size_t tenant) {
  double priority = settings_.classes[event.cls].worth;
  bool per_work = !settings_.worth_by_work && event.work_hint > Duration::zero();
  if (per_work) priority /= std::max(1e6, ToNanoseconds(event.work_hint));
  if (tenant == tenant_load_.size()) return priority;
  double rate = settings_.tenants[tenant].allowance_per_s * kTenantShareSlack / settings_.routers;
  if (rate <= 0) return priority;
  DecayingValue& load = tenant_load_[tenant];
  load.Add(now_, kHeatTimeConstant, 1);
  bool over = load.value > rate * ToNanoseconds(kHeatTimeConstant) / 1e9 + 2;
  return over ? priority * settings_.over_share_worth : priority;
}

void Balancer::Impl::SendTo(Request& request, int index) {
  Server& server = servers_[index];
  if (!MaySendTo(request, server)) return RejectOrFail(request);
  Duration begin_within = LatestStart(request) - now_;  // before this attempt is recorded
  TimePoint deliver_by = LatestDelivery(request);
  Duration deliver_within = deliver_by == TimePoint::max() ? Duration::max() : deliver_by - now_;
  actions_->emplace_back(
      Send{request.id, ServerId{server.id}, request.deadline - now_, begin_within, deliver_within});
  int number = static_cast<int>(request.attempts.size());
  bool counts = settings_.attempt_window && number > 0 && !request.next_send_exempt;
  if (counts) extra_attempts_.push_back({now_, {request.id, number}});
  request.next_send_exempt = false;
  request.attempts.push_back({server.zone, server.cell, now_});
  ++server.in_flight;
  if (server.ejected) server.trial_in_flight = true;
  if (index == trial_server_) trial_server_ = -1;
  if (server.in_flight_limit < 1) {
    double latency = server.origin ? server.base_latency : server.mean_latency;
    if (latency <= 0) latency = kAssumedLatencyShare * ToNanoseconds(settings_.classes[request.cls].aim);
    Duration gap = FromNanoseconds(latency / server.in_flight_limit);
    TimePoint from = now_ - Scale(gap, server.origin ? kOriginPacingBurst - 1 : 0);
    server.not_before = std::max(server.not_before, from) + gap;
  }
  if (WarmFraction(server) < 1) {
    server.cold_tokens = ColdTokens(server) - 1;
    server.cold_tokens_at = now_;
  }
  ScheduleQueue(index);
}

// Gives the final answer: a rejection if a retry is safe, else a failure. Nothing is sent after it.
void Balancer::Impl::RejectOrFail(Request& request) {
  Duration backoff =
      request.retry_after > Duration::zero() ? request.retry_after : settings_.max_retry_after / 4;
  Reject rejection{
      request.id, settings_.may_send_retry_after ? std::min(backoff, settings_.max_retry_after) : Duration{}};
  MayReject(request) ? actions_->emplace_back(rejection) : actions_->emplace_back(Fail{request.id});
  for (std::size_t i = 0; i < request.attempts.size() && settings_.may_cancel; ++i) {
    if (request.attempts[i].in_flight) actions_->emplace_back(Cancel{request.id, static_cast<int>(i)});
  }
  Forget(request, false);
}

void Balancer::Impl::On(const OutcomeEvent& event) {
  auto known = by_id_.find(event.server);
  int index = known == by_id_.end() ? -1 : known->second;
  if (event.result == Result::kNeverSent) {
    std::erase_if(extra_attempts_,
                  [&](const auto& one) { return one.second == std::pair(event.id, event.attempt); });
  }
  auto at = requests_.find(event.id);
  if (at != requests_.end()) StopAnswerWait(at->second, static_cast<std::size_t>(event.attempt));
  if (index >= 0) {
    if (servers_[index].in_flight > 0) --servers_[index].in_flight;
    CloseIdle(servers_[index]);
    // An attempt sent before this process was announced went to the previous one and says nothing about this
    // one.
    if (now_ - event.elapsed >= servers_[index].replaced) ObserveOutcome(servers_[index], event);
  }
  if (at != requests_.end()) OnAttemptEnd(at->second, event, index);
  if (index >= 0) SendQueued(index);
}

// Closes idle connections at once where the open connections of all routers cost a server more than new ones:
// in price, and in the connections that it accepts. Elsewhere they close when their keepalive ends.
void Balancer::Impl::CloseIdle(const Server& server) {
  bool open_cost_more =
      settings_.connection_price * settings_.routers / 100 > kIdleCostRatio * settings_.handshake_price;
  if (open_cost_more && server.in_flight == 0)
    actions_->emplace_back(CloseIdleConnections{ServerId{server.id}});
}

void Balancer::Impl::OnAttemptEnd(Request& request, const OutcomeEvent& event, int index) {
  if (event.attempt < 0 || event.attempt >= static_cast<int>(request.attempts.size())) return;
  Attempt& attempt = request.attempts[event.attempt];
  attempt.in_flight = false;
  attempt.reached_server = event.result != Result::kNoConn && event.result != Result::kNeverSent;
  attempt.may_have_run =
      attempt.reached_server && event.result != Result::kFull && event.result != Result::kMiss;
  bool complete = event.result == Result::kGood && !request.streaming;  // a stream may outlast any deadline
  if (complete) fastest_answer_[request.cls].UpdateMin(now_, ToNanoseconds(event.elapsed));
  bool at_origin = index >= 0 && servers_[index].origin;
  if (event.done) return Forget(request, event.result == Result::kGood && at_origin);
  request.next_send_exempt = event.result == Result::kMiss;
  if (!MaySendAnother(request)) return RejectOrFail(request);
  if (event.result == Result::kMiss) return RouteToOrigin(request);
  // A request that a full server turned away waits for it once, then goes to an alternate or is rejected.
  // This prevents storms of cheap retries that spread the keys of a full server over the fleet.
  bool full = event.result == Result::kFull && !at_origin;
  if (full && SeesFewRequests() && settings_.cache_aside) return RouteToOrigin(request);
  bool may_wait = !SeesFewRequests() && !request.has_waited &&
                  settings_.try_limit - static_cast<int>(request.attempts.size()) > 2;
  if (full && may_wait) return Enqueue(request, index);
  bool free_retry = !full && !attempt.may_have_run && event.attempt == 0;
  if (!free_retry && !TakeRetryToken(request)) return RejectOrFail(request);
  if (at_origin) return RouteToOrigin(request);
  request.has_waited = request.has_waited || full;
  request.failed_servers.push_back(index);
  RouteToCache(request);
}

}  // namespace peatbend

// The slow origin: its in-flight limit, and a single fetch per key (single-flight).
#include "module/balancer_impl.h"

namespace peatbend {

constexpr int kOriginWarmUpAnswers = 4;      // first answers that the base latency follows
constexpr double kOriginMaxLimit = 128;      // in-flight limit of one router
constexpr double kOriginFastRatio = 1.7;     // below this multiple of the base latency the limit grows fast
constexpr double kOriginBaseDrift = 1.0005;  // factor on the base latency at each answer

void Balancer::Impl::UpdateOriginLimit(Server& origin, bool was_full) {
  // One of the first answers may be far faster than all others. As the base latency it would make the origin
  // look overloaded and keep its limit at the minimum.
  bool warming_up = origin.answer_count <= kOriginWarmUpAnswers;
  if (warming_up || origin.mean_latency < origin.base_latency) origin.base_latency = origin.mean_latency;
  origin.base_latency *= kOriginBaseDrift;
  if (origin.mean_latency > kOriginSlowRatio * origin.base_latency) {
    ReduceLimit(origin, 0.85);
  } else if (was_full) {  // grows fast while nothing indicates a queue
    bool unqueued = origin.mean_latency < kOriginFastRatio * origin.base_latency;
    double step = origin.in_flight_limit < 1 ? 0.1 * origin.in_flight_limit
                  : unqueued                 ? 1
                                             : 1 / origin.in_flight_limit;
    origin.in_flight_limit = std::min(kOriginMaxLimit, origin.in_flight_limit + step);
  }
}

// Sends the request to the origin, or makes it wait for the pending fetch of its key or for room at the
// origin.
void Balancer::Impl::RouteToOrigin(Request& request) {
  RefreshTable();
  if (origin_index_ < 0 || !MaySendTo(request, servers_[origin_index_])) return RejectOrFail(request);
  if (!request.write && request.key && !request.is_fetching) {
    auto [at, inserted] = fetches_.try_emplace(*request.key);
    if (!inserted) return WaitForFetch(request, at->second);
    request.is_fetching = true;
  }
  if (HasRoom(servers_[origin_index_])) return SendTo(request, origin_index_);
  Enqueue(request, origin_index_);
}

void Balancer::Impl::WaitForFetch(Request& request, FetchWaiters& waiters) {
  TimePoint latest = WaitDeadline(request, servers_[origin_index_]);
  if (now_ >= latest) return RejectOrFail(request);
  waiters.push_back({request.deadline, request.id});
  request.waiting_server = origin_index_;
  WakeAt(request, latest);
}

// Ends the fetch of a key. The requests that wait for it read the cache or, if the fetch failed, go to the
// origin.
void Balancer::Impl::FinishFetch(Request& request, bool succeeded) {
  if (!std::exchange(request.is_fetching, false)) return;
  auto at = fetches_.find(*request.key);
  FetchWaiters waiters = std::move(at->second);
  fetches_.erase(at);
  // The request with the most time left goes first and fetches: those with little would time out in turn.
  std::ranges::stable_sort(waiters, std::ranges::greater(), &FetchWaiters::value_type::first);
  for (auto [deadline, id] : waiters) {
    auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    StopQueueing(found->second);
    succeeded ? RouteToCache(found->second) : RouteToOrigin(found->second);
  }
}

}  // namespace peatbend

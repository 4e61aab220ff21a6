// Requests that wait for room at a server or for another request's fetch, and for how long they wait.
#include "module/balancer_impl.h"

namespace peatbend {

// Shares of the aim: the wait for the own server before an alternate is used; the whole wait, if a late
// answer earns nothing.
constexpr double kHomeWaitShare = 0.25, kMaxWaitShare = 0.6;
// Share of its time that a request waits at most while no server has seen it.
constexpr double kMaxUnsentWaitShare = 0.47;
// Share of its time after which a request whose answer waits for memory is given up.
constexpr double kMaxAnswerWaitShare = 0.6;

// Until when a request may wait for a server, or for another request's fetch from it.
TimePoint Balancer::Impl::WaitDeadline(const Request& request, const Server& server) const {
  const ClassSettings& cls = settings_.classes[request.cls];
  TimePoint latest = request.deadline - 2 * settings_.tick;
  if (cls.late_share <= 0) latest = std::min(latest, request.arrived + Scale(cls.aim, kMaxWaitShare));
  // A request sent too late to be answered would only time out.
  double needed = server.origin ? server.base_latency : kCacheLatencyMargin * ZoneLatencyOf(server).median;
  latest = std::min(latest, request.deadline - FromNanoseconds(needed));
  // A request that no server has seen is rejected while its client still has time for a retry.
  bool unsent = std::ranges::none_of(request.attempts, &Attempt::reached_server);
  Duration unsent_wait = Scale(request.deadline - request.arrived, kMaxUnsentWaitShare);
  return unsent ? std::min(latest, request.arrived + unsent_wait) : latest;
}

// Queues a request for a server without room. When there is room, the queue is sent in the order of QueueKey.
void Balancer::Impl::Enqueue(Request& request, int index) {
  TimePoint latest = WaitDeadline(request, servers_[index]);
  if (now_ >= latest) return RejectOrFail(request);
  bool may_go_elsewhere = !servers_[index].origin && !request.has_waited;
  Duration home_wait = Scale(settings_.classes[request.cls].aim, kHomeWaitShare);
  WakeAt(request, may_go_elsewhere ? std::min(latest, now_ + home_wait) : latest);
  request.waiting_server = index;
  request.queue_number = ++queue_sequence_;
  servers_[index].queue.insert(QueueKeyOf(request));
  ScheduleQueue(index);
}

void Balancer::Impl::SendQueued(int index) {
  while (!servers_[index].queue.empty() && HasRoom(servers_[index])) {
    Request& request = requests_.at(std::get<3>(*servers_[index].queue.begin()));
    StopQueueing(request);
    bool origin = servers_[index].origin;
    bool usable = !origin && IsUsable(request, index);
    request.has_waited = request.has_waited || !usable;
    usable ? SendTo(request, index) : origin ? RouteToOrigin(request) : RouteToCache(request);
  }
}

// An answer that waits for the router's memory is given up while its client still has time for a retry. Its
// server is done with the request: it is not blamed, and has room for another one.
void Balancer::Impl::On(const AnswerWaitEvent& event) {
  auto at = requests_.find(event.id);
  auto server = by_id_.find(event.server);
  if (at == requests_.end() || server == by_id_.end()) return;
  Request& request = at->second;
  auto number = static_cast<std::size_t>(event.attempt);
  if (number >= request.attempts.size() || !request.attempts[number].in_flight) return;
  EndAnswerWait(request.attempts[number]);
  request.wake_at = TimePoint{};
  if (!event.waits) return;
  int index = server->second;
  request.attempts[number].answer_waits_at = event.server;
  --servers_[index].in_flight;
  TimePoint latest = request.arrived + Scale(request.deadline - request.arrived, kMaxAnswerWaitShare);
  now_ >= latest ? RejectOrFail(request) : WakeAt(request, latest);
  SendQueued(index);
}

// The attempt counts as in flight again, up to its outcome.
void Balancer::Impl::EndAnswerWait(Attempt& attempt) {
  if (attempt.answer_waits_at.empty()) return;
  auto server = by_id_.find(std::exchange(attempt.answer_waits_at, {}));
  if (server != by_id_.end()) ++servers_[server->second].in_flight;
}

// Ends a wait, because its time is over or the server is no longer ready: the request goes to an alternate,
// or is rejected if it waited for the origin, or for memory for its answer.
void Balancer::Impl::StopWaiting(Request& request) {
  auto waits = [](const Attempt& attempt) { return !attempt.answer_waits_at.empty(); };
  if (std::ranges::any_of(request.attempts, waits)) return RejectOrFail(request);
  bool origin = request.waiting_server >= 0 && servers_[request.waiting_server].origin;
  StopQueueing(request);
  if (origin) return RejectOrFail(request);
  request.has_waited = true;
  RouteToCache(request);
}

}  // namespace peatbend

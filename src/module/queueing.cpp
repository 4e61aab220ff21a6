// Requests held for a server without room, and for how long.
#include "module/balancer_impl.h"

namespace peatbend {

// Of the aim: wait for the own server before an alternate; then refused, if a late answer earns nothing.
constexpr double kHoldHome = 0.25, kHoldMost = 0.6;
constexpr double kHoldUnsent = 0.47;  // of its time, what no server has seen is held at most

// Until when a request may be held for a server, or for another's fetch from it.
TimePoint Balancer::Impl::HeldUntil(const Request& request, const Server& server) const {
  const ClassSettings& cls = set_.classes[request.cls];
  TimePoint latest = request.deadline - 2 * set_.tick;
  if (cls.late_share <= 0) latest = std::min(latest, request.arrived + Scale(cls.aim, kHoldMost));
  // What would be sent too late to be answered is not sent: it would only time out.
  double needs = server.origin ? server.base : kTimeNeeded * ZoneOf(server).usual;
  latest = std::min(latest, request.deadline - Nanos(needs));
  // Nor does a client wait in vain for what no server has seen: it is told while it can still ask again.
  bool unsent = std::ranges::none_of(request.attempts, &Attempt::reached);
  Duration half = Scale(request.deadline - request.arrived, kHoldUnsent);
  return unsent ? std::min(latest, request.arrived + half) : latest;
}

// Holds a request for a server without room; the most worth goes first when there is some.
void Balancer::Impl::Enqueue(Request& request, int index) {
  TimePoint latest = HeldUntil(request, servers_[index]);
  if (now_ >= latest) return End(request);
  bool cache = !servers_[index].origin && !request.waited;
  Duration home = Scale(set_.classes[request.cls].aim, kHoldHome);
  Hold(request, cache ? std::min(latest, now_ + home) : latest);
  request.held_for = index;
  request.queued = ++sequence_;
  servers_[index].queue.insert(Rank(request));
  PumpLater(index);
}

void Balancer::Impl::Pump(int index) {
  while (!servers_[index].queue.empty() && HasRoom(servers_[index])) {
    Request& request = requests_.at(std::get<3>(*servers_[index].queue.begin()));
    Unqueue(request);
    bool origin = servers_[index].origin;
    bool usable = !origin && Usable(request, index);
    request.waited = request.waited || !usable;
    usable ? SendTo(request, index) : origin ? AskOrigin(request) : ToCache(request);
  }
}

void Balancer::Impl::Requeue(Request& request) {
  bool origin = request.held_for >= 0 && servers_[request.held_for].origin;
  Unqueue(request);
  if (origin) return End(request);
  request.waited = true;
  ToCache(request);
}

}  // namespace peatbend

// The rules that every send and every rejection must satisfy.
#include "module/balancer_impl.h"

namespace peatbend {

// Drops what has left the attempt window. At its very edge an extra attempt still counts and a request no
// longer does, so that the limit holds whether the edge is read as part of the window or not.
void Balancer::Impl::PruneAttemptWindow() {
  if (!settings_.attempt_window) return;
  TimePoint edge = now_ - *settings_.attempt_window;
  while (!request_times_.empty() && request_times_.front() <= edge) request_times_.pop_front();
  while (!extra_attempts_.empty() && extra_attempts_.front().first < edge) extra_attempts_.pop_front();
}

bool Balancer::Impl::WithinAttemptLimit(const Request& request) const {
  if (!settings_.attempt_window || request.attempts.empty() || request.next_send_exempt) return true;
  double earned = settings_.extra_per_request.value_or(0) * static_cast<double>(request_times_.size());
  return static_cast<double>(extra_attempts_.size() + 1) <= settings_.free_resends.value_or(0) + earned;
}

// The latest time at which the next attempt may reach its server whole, since an attempt counts once its last
// byte has arrived: once an attempt of a keyed request may have run, within the deduplication window.
TimePoint Balancer::Impl::LatestDelivery(const Request& request) const {
  const ClassSettings& cls = settings_.classes[request.cls];
  TimePoint latest = TimePoint::max();
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run || cls.effect == Effect::kSafe) continue;
    bool keyed = cls.effect == Effect::kKeyed;
    latest = std::min(latest, keyed ? attempt.sent + cls.dedup_window - settings_.tick : TimePoint::min());
  }
  return latest;
}

// Whether another attempt may be sent to any server.
bool Balancer::Impl::MaySendAnother(const Request& request) const {
  if (request.streaming || now_ >= LatestStart(request)) return false;
  if (static_cast<int>(request.attempts.size()) >= settings_.try_limit || !WithinAttemptLimit(request))
    return false;
  bool concurrent = settings_.concurrent_attempts && settings_.classes[request.cls].effect == Effect::kSafe;
  return concurrent || std::ranges::none_of(request.attempts, &Attempt::in_flight);
}

// Whether an attempt may be sent to this server. Checked before every send.
bool Balancer::Impl::MaySendTo(const Request& request, const Server& server) const {
  const ClassSettings& cls = settings_.classes[request.cls];
  if (server.state != ServerState::kReady || !MaySendAnother(request)) return false;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run || cls.effect == Effect::kSafe) continue;
    bool other_zone = attempt.zone != server.zone, other_cell = attempt.cell != server.cell;
    if (cls.dedup_group == DedupGroup::kZone ? other_zone
                                             : cls.dedup_group == DedupGroup::kCell && other_cell)
      return false;
  }
  return true;
}

// Whether a rejection, which tells the client that a retry is safe, would be true.
bool Balancer::Impl::MayReject(const Request& request) const {
  const ClassSettings& cls = settings_.classes[request.cls];
  bool safe =
      cls.effect == Effect::kSafe || (cls.effect == Effect::kKeyed && cls.dedup_group == DedupGroup::kAll);
  return safe || std::ranges::none_of(request.attempts, &Attempt::may_have_run);
}

}  // namespace peatbend

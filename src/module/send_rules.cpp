// The gate: what may be sent, and what may be said of it.
#include "module/balancer_impl.h"

namespace peatbend {

// The attempt allowance, over the exact window: what lies at its very edge counts if it is a further
// attempt and does not count if it is a request taken, so that no reading of the edge is broken.
void Balancer::Impl::PruneAllowance() {
  if (!set_.attempt_window) return;
  TimePoint edge = now_ - *set_.attempt_window;
  while (!taken_.empty() && taken_.front() <= edge) taken_.pop_front();
  while (!further_.empty() && further_.front().first < edge) further_.pop_front();
}

bool Balancer::Impl::Allowed(const Request& request) const {
  if (!set_.attempt_window || request.attempts.empty() || request.free_send) return true;
  double earned = set_.extra_per_request.value_or(0) * static_cast<double>(taken_.size());
  return static_cast<double>(further_.size() + 1) <= set_.free_resends.value_or(0) + earned;
}

// When the next attempt must have begun: in its client's time, and, once an attempt may have run, while its
// group discards repeats.
TimePoint Balancer::Impl::LatestStart(const Request& request) const {
  const ClassSettings& cls = set_.classes[request.cls];
  TimePoint latest = request.deadline;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run || cls.effect == Effect::kSafe) continue;
    bool keyed = cls.effect == Effect::kKeyed;
    latest = std::min(latest, keyed ? attempt.sent + cls.dedup_window - set_.tick : TimePoint::min());
  }
  return latest;
}

// Whether any further attempt may be sent, whatever the server.
bool Balancer::Impl::MayGoOn(const Request& request) const {
  if (request.streaming || now_ >= LatestStart(request)) return false;
  if (static_cast<int>(request.attempts.size()) >= set_.try_limit || !Allowed(request)) return false;
  bool copies = set_.concurrent_attempts && set_.classes[request.cls].effect == Effect::kSafe;
  return copies || std::ranges::none_of(request.attempts, &Attempt::open);
}

// The gate: whether an attempt may be sent. Every send passes it.
bool Balancer::Impl::LegalSend(const Request& request, const Server& server) const {
  const ClassSettings& cls = set_.classes[request.cls];
  if (server.state != ServerState::kReady || !MayGoOn(request)) return false;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.may_have_run || cls.effect == Effect::kSafe) continue;
    bool other_zone = attempt.zone != server.zone, other_cell = attempt.cell != server.cell;
    if (cls.dedup_group == DedupGroup::kZone ? other_zone
                                             : cls.dedup_group == DedupGroup::kCell && other_cell)
      return false;
  }
  return true;
}

// The gate's other half: whether a refusal, which says that a retry is harmless, would be true.
bool Balancer::Impl::LegalRefuse(const Request& request) const {
  const ClassSettings& cls = set_.classes[request.cls];
  bool safe =
      cls.effect == Effect::kSafe || (cls.effect == Effect::kKeyed && cls.dedup_group == DedupGroup::kAll);
  return safe || std::ranges::none_of(request.attempts, &Attempt::may_have_run);
}

}  // namespace peatbend

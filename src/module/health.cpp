// What is learnt of a server: health, cold servers (slow start), in-flight bounds.
#include "module/balancer_impl.h"

namespace peatbend {

// Cold servers: of the fall multiple, sends over the due part; of a tipping time's sends, at once.
constexpr double kColdSlack = 0.7, kColdDepth = 0.25;
constexpr int kColdTurns = 32;         // proxies that begin in turns; those beyond begin at once
constexpr double kColdFewMore = 12.9;  // used of the sends over N that the rule allows while N is below 30
// Health: failures in a row that eject; first ejection, doubling; longest; of the fleet out at most (panic
// threshold), by what was seen here and by the fleet's word.
constexpr int kStrikesToEject = 4;
constexpr Duration kEjectFor = std::chrono::seconds(1), kEjectAtMost = std::chrono::seconds(8);
constexpr double kEjectShare = 0.4, kWordShare = 0.6;
constexpr int kBelieved = 2;  // others' trials in a row that bring a server back which never answers here
// In-flight bound: most here. Cut: by a queue told over, a smoothed latency over the unloaded one; apart;
// least pause after full.
constexpr double kMostLimit = 64, kQueueMost = 1, kSlowMultiple = 4;
constexpr double kSmoothing = 0.15;  // of a new latency in the smoothed one; the first count alike
constexpr Duration kCutApart = std::chrono::milliseconds(100), kFullPause = std::chrono::milliseconds(20);

// Guards a cold server against hot keys: what all proxies send it stays near its part of what a warm server
// answers, each proxy pacing its own share, and beginning with a drawn part of a send, for all of them may
// have learned of the start at once. Nothing spills onto it (Candidate).
double Balancer::Impl::ColdSends(const Server& server) const {
  double due = answered_.Now(now_, kRateTime) / Seen() / Ready();
  double rate = due * Warmth(server) * kColdSlack * std::max(1.0, set_.overload_multiple) / 1e9;
  double due_in_span = rate * Ns(set_.overload_duration);
  double most = std::max(1.0, kColdDepth * due_in_span);
  double saved = std::min(most, rate * Ns(now_ - server.started));
  if (!ColdTurn(server, due_in_span, saved)) return 0;
  return std::min(most, server.cold_sends + rate * Ns(now_ - server.cold_at));
}

// Whether this proxy may send to a cold server yet. They begin one after another, in an order that each start
// has anew, so that what all together may send it in a tipping time keeps to the rule.
bool Balancer::Impl::ColdTurn(const Server& server, double due, double saved) const {
  auto start = static_cast<std::uint64_t>(server.started.time_since_epoch().count());
  auto turn = static_cast<int>((Mix(start) + place_) % static_cast<std::uint64_t>(set_.routers)) + 1;
  double all = due * set_.routers / kColdSlack, root = std::sqrt(all);
  double most = all + std::max(2 * root + 2, std::min(3 * root + 3, kColdFewMore));
  return (due + saved) * (turn - std::max(0, set_.routers - kColdTurns)) <= most;
}

void Balancer::Impl::Strike(Server& server, int strikes, bool trial) {
  server.strikes += strikes;
  if (server.origin) return;
  if (server.ejected ? trial : server.strikes >= kStrikesToEject && MayEject(kEjectShare))
    return Eject(server);
  if (server.asked) TellTrial(server, false);
}

// Whether one more may be out: if most look bad, the verdict is distrusted (panic threshold).
bool Balancer::Impl::MayEject(double most) const {
  auto out = [this](int index) { return servers_[index].ejected; };
  return static_cast<double>(std::count_if(ready_.begin(), ready_.end(), out) + 1) <= most * Ready();
}

void Balancer::Impl::Eject(Server& server) {
  if (!server.ejected) Say("ejected " + server.id);
  server.ejected = true;
  Duration out = kEjectFor * (1 << std::min(server.ejections, 6));
  server.trial_at = now_ + Scale(std::min(out, kEjectAtMost), 0.8 + 0.4 * Unit(Random()));
  ++server.ejections;
  if (set_.shared_trials && server.believed < kBelieved) server.trial_at = TimePoint::max();
  TellTrial(server, false);
}

// The fleet's word on a server. One that others get nothing from, or have brought back, is ejected here by
// its first failure, until it answers here. A proxy that alone does not reach it tries for itself after a few
// times of that.
void Balancer::Impl::On(const TrialEvent& event) {
  auto at = by_id_.find(event.server.name);
  if (at == by_id_.end() || servers_[at->second].origin) return;
  Server& server = servers_[at->second];
  server.asked = event.directive == TrialDirective::kTry;
  if (server.asked) asked_ = at->second;
  if (!server.ejected) server.strikes = event.directive == TrialDirective::kReadmit ? 0 : kStrikesToEject - 1;
  server.ejected |=
      event.directive == TrialDirective::kEject && server.believed < kBelieved && MayEject(kWordShare);
  if (!server.ejected || server.believed >= kBelieved) return;
  server.trial_at = server.asked ? now_ : TimePoint::max();
  if (event.directive != TrialDirective::kReadmit) return;
  Say("recovered " + server.id + ", by the fleet's word");
  ++server.believed;
  server.ejected = server.trial_out = false;
  server.strikes = kStrikesToEject - 1;
}

void Balancer::Impl::Cut(Server& server, double by) {
  if (now_ - server.cut < std::max(kCutApart, Nanos(server.latency))) return;
  server.cut = now_;
  server.limit = std::max(server.origin ? OriginLeast() : LeastLimit(), server.limit * by);
}

void Balancer::Impl::RefreshLatency(const Server& of) {
  Latency& zone = zones_[of.zone];
  if (now_ - zone.at < kCutApart && zone.unloaded > 0) return;
  std::vector<double> all;
  for (int index : ready_) {
    const Server& server = servers_[index];
    if (server.zone == of.zone && server.latency > 0) all.push_back(server.latency);
  }
  if (all.empty()) return;
  std::nth_element(all.begin(), all.begin() + all.size() / 2, all.end());
  zone.at = now_;
  zone.usual = all[all.size() / 2];
  zone.unloaded = zone.unloaded > 0 ? std::min(zone.unloaded * 1.001, zone.usual) : zone.usual;
}

void Balancer::Impl::Observe(Server& server, const OutcomeEvent& event) {
  bool was_full = server.in_flight + 1 >= server.limit;
  bool trial = std::exchange(server.trial_out, false);
  double elapsed = Ns(event.elapsed);
  switch (event.result) {
    case Result::kGood:
      server.latency += std::max(kSmoothing, 1.0 / ++server.answers) * (elapsed - server.latency);
      [[fallthrough]];
    case Result::kMiss:
      if (server.ejected) Say("recovered " + server.id);
      if (server.ejected || server.asked) TellTrial(server, true);
      server.strikes = server.ejections = server.believed = 0;
      server.ejected = false;
      if (server.origin) return ObserveOrigin(server, was_full);
      answered_.Add(now_, kRateTime, 1);
      RefreshLatency(server);
      if (server.latency > kSlowMultiple * ZoneOf(server).unloaded ||
          event.load.queued.value_or(0) > kQueueMost) {
        Cut(server, 0.85);
      } else if (was_full) {
        server.limit = std::min(kMostLimit, server.limit + (server.limit < 1 ? 0.25 : 1 / server.limit));
      }
      return;
    case Result::kFull:
      server.not_before = now_ + std::max(kFullPause, Nanos(0.5 * ZoneOf(server).usual));
      return Cut(server, 0.7);
    case Result::kLate:
      // A client whose time was too short even for an idle server: no sign of how this one does.
      if (!server.origin && elapsed < kTimeNeeded * ZoneOf(server).unloaded) return;
      if (server.origin && Sparse()) server.latency += kSmoothing * (elapsed - server.latency);
      if (!server.origin || elapsed > kOriginSlow * server.base) Cut(server, 0.7);
      return Strike(server, 1, trial);
    case Result::kNoConn:
    case Result::kReset:
    case Result::kBad:
      return Strike(server, event.result == Result::kNoConn ? 2 : 1, trial);
    case Result::kCancelled:
    case Result::kNeverSent:
      return;
  }
}

}  // namespace peatbend

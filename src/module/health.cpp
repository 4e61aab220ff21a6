// Health of servers and their ejection, slow start of cold servers, in-flight limits.
#include "module/balancer_impl.h"

namespace peatbend {

// Cold servers: the share of the permitted send rate that is used, and the share of one overload_duration's
// sends that may go at once.
constexpr double kColdRateShare = 0.7, kColdBurstShare = 0.25;
constexpr int kColdStaggeredRouters = 32;  // routers that begin one after another; those beyond begin at once
// A cold server tolerates 2 sqrt(N) + 2 sends over N = overload_multiple times its capacity; while N is below
// 30, 3 sqrt(N) + 3, of which at most this is used.
constexpr double kColdSmallSlack = 12.9;
// Ejection: consecutive failures that cause it; its first duration, which doubles each time; its longest.
constexpr int kFailuresToEject = 4;
constexpr Duration kFirstEjection = std::chrono::seconds(1), kMaxEjection = std::chrono::seconds(8);
// Share of the fleet that may be ejected (panic threshold), by this router's failures and by the fleet's
// directive.
constexpr double kMaxEjectedShare = 0.4, kMaxEjectedByFleetShare = 0.6;
// Consecutive readmissions by other routers' trials of a server that never answers here, before this router
// runs its own trials.
constexpr int kMaxRemoteRecoveries = 2;
// In-flight limit: its maximum; the queue that a server may report, and the multiple of its unloaded latency
// that it may take, before the limit is reduced.
constexpr double kMaxLimit = 64, kMaxReportedQueue = 1, kSlowRatio = 4;
constexpr double kLatencySmoothing = 0.15;  // weight of a new latency; the first few are averaged
constexpr Duration kMinCutInterval = std::chrono::milliseconds(100);  // between two reductions of a limit
constexpr Duration kMinFullPause = std::chrono::milliseconds(20);     // after a server was full

// Returns the sends that this router may make to a cold server now; protects it from hot keys. The sends of
// all routers together stay near the cold server's part of what a warm server answers. Each router paces its
// own share and begins with a random fraction of a send, since all may learn of the start at once. No traffic
// spills over to a cold server (CandidateServer).
double Balancer::Impl::ColdTokens(const Server& server) const {
  double due_rate = recent_answers_.ValueAt(now_, kRateTimeConstant) / ObservedSeconds() / ReadyServers();
  double rate =
      due_rate * WarmFraction(server) * kColdRateShare * std::max(1.0, settings_.overload_multiple) / 1e9;
  double due_sends = rate * ToNanoseconds(settings_.overload_duration);
  double max_sends = std::max(1.0, kColdBurstShare * due_sends);
  double saved_sends = std::min(max_sends, rate * ToNanoseconds(now_ - server.warms_from));
  if (!MayUseColdServer(server, due_sends, saved_sends)) return 0;
  return std::min(max_sends, server.cold_tokens + rate * ToNanoseconds(now_ - server.cold_tokens_at));
}

// Whether this router may send to a cold server yet. Routers begin one after another, in an order that
// differs for each start, so that their sends within one overload_duration stay within the limit.
bool Balancer::Impl::MayUseColdServer(const Server& server, double due_sends, double saved_sends) const {
  auto start = static_cast<std::uint64_t>(server.started.time_since_epoch().count());
  auto turn =
      static_cast<int>((MixBits(start) + router_position_) % static_cast<std::uint64_t>(settings_.routers)) +
      1;
  double all = due_sends * settings_.routers / kColdRateShare, root = std::sqrt(all);
  double max_sends = all + std::max(2 * root + 2, std::min(3 * root + 3, kColdSmallSlack));
  return (due_sends + saved_sends) * (turn - std::max(0, settings_.routers - kColdStaggeredRouters)) <=
         max_sends;
}

void Balancer::Impl::RecordFailures(Server& server, int failures, bool trial) {
  server.consecutive_failures += failures;
  if (server.origin) return;
  if (server.ejected ? trial : server.consecutive_failures >= kFailuresToEject && MayEject(kMaxEjectedShare))
    return Eject(server);
  if (server.trial_requested) SendTrialReport(server, false);
}

// Whether one more server may be ejected: if most seem to fail, the cause is assumed to be elsewhere (panic
// threshold).
bool Balancer::Impl::MayEject(double max_share) const {
  auto ejected = [this](int index) { return servers_[index].ejected; };
  return static_cast<double>(std::count_if(ready_caches_.begin(), ready_caches_.end(), ejected) + 1) <=
         max_share * ReadyServers();
}

void Balancer::Impl::Eject(Server& server) {
  if (!server.ejected) AddLog("ejected " + server.id);
  server.ejected = true;
  Duration duration = kFirstEjection * (1 << std::min(server.consecutive_ejections, 6));
  server.trial_at = now_ + Scale(std::min(duration, kMaxEjection), 0.8 + 0.4 * UnitInterval(Random()));
  ++server.consecutive_ejections;
  if (settings_.shared_trials && server.remote_recoveries < kMaxRemoteRecoveries)
    server.trial_at = TimePoint::max();
  SendTrialReport(server, false);
}

// Applies a directive of the fleet. A server that others have ejected or readmitted is ejected here by its
// first failure until it has answered here. A router that alone cannot reach a server runs its own trials
// after a few such readmissions.
void Balancer::Impl::On(const TrialEvent& event) {
  auto at = by_id_.find(event.server.name);
  if (at == by_id_.end() || servers_[at->second].origin) return;
  Server& server = servers_[at->second];
  server.trial_requested = event.directive == TrialDirective::kTry;
  if (server.trial_requested) trial_server_ = at->second;
  if (!server.ejected)
    server.consecutive_failures = event.directive == TrialDirective::kReadmit ? 0 : kFailuresToEject - 1;
  server.ejected |= event.directive == TrialDirective::kEject &&
                    server.remote_recoveries < kMaxRemoteRecoveries && MayEject(kMaxEjectedByFleetShare);
  if (!server.ejected || server.remote_recoveries >= kMaxRemoteRecoveries) return;
  server.trial_at = server.trial_requested ? now_ : TimePoint::max();
  if (event.directive != TrialDirective::kReadmit) return;
  AddLog("recovered " + server.id + ", as another router reports");
  ++server.remote_recoveries;
  server.ejected = server.trial_in_flight = false;
  server.consecutive_failures = kFailuresToEject - 1;
}

void Balancer::Impl::ReduceLimit(Server& server, double factor) {
  if (now_ - server.last_cut < std::max(kMinCutInterval, FromNanoseconds(server.mean_latency))) return;
  server.last_cut = now_;
  server.in_flight_limit =
      std::max(server.origin ? OriginMinLimit() : MinLimit(), server.in_flight_limit * factor);
}

void Balancer::Impl::UpdateZoneLatency(const Server& of) {
  ZoneLatency& zone = zone_latency_[of.zone];
  if (now_ - zone.updated_at < kMinCutInterval && zone.unloaded > 0) return;
  std::vector<double> latencies;
  for (int index : ready_caches_) {
    const Server& server = servers_[index];
    if (server.zone == of.zone && server.mean_latency > 0) latencies.push_back(server.mean_latency);
  }
  if (latencies.empty()) return;
  std::nth_element(latencies.begin(), latencies.begin() + latencies.size() / 2, latencies.end());
  zone.updated_at = now_;
  zone.median = latencies[latencies.size() / 2];
  zone.unloaded = zone.unloaded > 0 ? std::min(zone.unloaded * 1.001, zone.median) : zone.median;
}

void Balancer::Impl::ObserveOutcome(Server& server, const OutcomeEvent& event) {
  bool was_full = server.in_flight + 1 >= server.in_flight_limit;
  bool trial = std::exchange(server.trial_in_flight, false);
  double elapsed = ToNanoseconds(event.elapsed);
  switch (event.result) {
    case Result::kGood:
      server.mean_latency +=
          std::max(kLatencySmoothing, 1.0 / ++server.answer_count) * (elapsed - server.mean_latency);
      [[fallthrough]];
    case Result::kMiss:
      if (server.ejected) AddLog("recovered " + server.id);
      if (server.ejected || server.trial_requested) SendTrialReport(server, true);
      server.consecutive_failures = server.consecutive_ejections = server.remote_recoveries = 0;
      server.ejected = false;
      if (server.origin) return UpdateOriginLimit(server, was_full);
      recent_answers_.Add(now_, kRateTimeConstant, 1);
      UpdateZoneLatency(server);
      if (server.mean_latency > kSlowRatio * ZoneLatencyOf(server).unloaded ||
          event.load.queued.value_or(0) > kMaxReportedQueue) {
        ReduceLimit(server, 0.85);
      } else if (was_full) {
        server.in_flight_limit =
            std::min(kMaxLimit, server.in_flight_limit +
                                    (server.in_flight_limit < 1 ? 0.25 : 1 / server.in_flight_limit));
      }
      return;
    case Result::kFull:
      server.not_before = now_ + std::max(kMinFullPause, FromNanoseconds(0.5 * ZoneLatencyOf(server).median));
      return ReduceLimit(server, 0.7);
    case Result::kLate:
      // The client's time was too short even for an idle server, which says nothing about this one.
      if (!server.origin && elapsed < kCacheLatencyMargin * ZoneLatencyOf(server).unloaded) return;
      if (server.origin && SeesFewRequests())
        server.mean_latency += kLatencySmoothing * (elapsed - server.mean_latency);
      if (!server.origin || elapsed > kOriginSlowRatio * server.base_latency) ReduceLimit(server, 0.7);
      return RecordFailures(server, 1, trial);
    case Result::kNoConn:
    case Result::kReset:
    case Result::kBad:
      return RecordFailures(server, event.result == Result::kNoConn ? 2 : 1, trial);
    case Result::kCancelled:
    case Result::kNeverSent:
      return;
  }
}

}  // namespace peatbend

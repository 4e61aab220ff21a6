// Selects the cache server that a request goes to, and tracks how hot its key is.
#include "module/balancer_impl.h"

namespace peatbend {

// Servers that a key may go to, and table slots probed for each.
constexpr std::size_t kMaxCopies = 8, kMaxProbes = 3;
// Heat of a key decays over the time of this many requests, between kHeatTimeConstant and
// kMaxHeatTimeConstant.
constexpr double kHeatRequests = 30;
constexpr Duration kMaxHeatTimeConstant = std::chrono::seconds(12);
// Sightings that a hot key must have, also at a router that sees few requests.
constexpr double kHotMinSightings = 4, kHotMinSightingsSparse = 1.6;
// Shares of an average server's traffic: a key with more is hot; one more copy for each such share; the part
// of a hot key that its own server keeps. A hot key may fill a server to kHotMaxFill of its in-flight limit.
constexpr double kHotTrafficShare = 0.3, kCopyTrafficShare = 0.6, kHomeTrafficShare = 0.5, kHotMaxFill = 0.5;

// Returns the n-th server that a key may go to. The first is the one in the key's slot, the others follow by
// steps over the slots. A starting server that has not been handed the key yet is skipped, so that no traffic
// spills over to it. All routers of a zone get the same result.
int Balancer::Impl::CandidateServer(std::uint64_t hash, std::size_t n) const {
  std::uint64_t slot = hash % kTableSize, step = MixBits(hash ^ 3) % (kTableSize - 1) + 1;
  double threshold = UnitInterval(MixBits(hash));
  for (std::size_t i = 0; i < kMaxProbes * kMaxCopies; ++i) {
    int index = table_[(slot + i * step) % kTableSize];
    if (WarmFraction(servers_[index]) > threshold && n-- == 0) return index;
  }
  return table_[slot];  // all servers are starting
}

// Adds `count` sightings of the request's key and returns the key's share of this router's recent traffic, in
// units of an average server's share. Only the heaviest keys are counted: each hash bucket holds one key,
// which a heavier one displaces. A router with little traffic looks further back, where two sightings among
// thirty requests identify a hot key.
double Balancer::Impl::UpdateHeat(const Request& request, double count) {
  if (!request.key || ready_caches_.empty()) return 0;
  auto hash = static_cast<std::uint32_t>(MixBits(static_cast<std::uint64_t>(*request.key)));
  auto& bucket = heat_[hash % heat_.size()];
  Duration time_constant = std::clamp(FromNanoseconds(1e9 * kHeatRequests / RequestRate()), kHeatTimeConstant,
                                      kMaxHeatTimeConstant);
  traffic_.Add(now_, time_constant, count);
  bucket.second.Add(now_, time_constant, bucket.first == hash ? count : -count);
  if (bucket.second.value <= 0) {
    bucket.first = hash;
    bucket.second.value = 1;
  }
  double seen = bucket.second.value;
  if (bucket.first != hash || seen < (SeesFewRequests() ? kHotMinSightingsSparse : kHotMinSightings))
    return 0;
  return (seen - (SeesFewRequests() ? 0.5 : 0)) / std::max(traffic_.value, seen) * ReadyServers();
}

// Sends the request to a cache server, queues it for its own server, or ends it. Usually the first iteration
// of the loop sends it.
void Balancer::Impl::RouteToCache(Request& request) {
  RefreshTable();
  if (ready_caches_.empty()) return settings_.cache_aside ? RouteToOrigin(request) : RejectOrFail(request);
  if (trial_server_ >= 0 && servers_[trial_server_].trial_requested && IsUsable(request, trial_server_))
    return SendTo(request, trial_server_);
  double heat = UpdateHeat(request, request.attempts.empty() && !request.has_waited ? 1 : 0);
  bool hot = heat > kHotTrafficShare;
  std::uint64_t id = static_cast<std::uint64_t>(request.id) ^ random_state_;
  std::uint64_t hash = MixBits(request.key ? static_cast<std::uint64_t>(*request.key) : id);
  std::size_t more =
      static_cast<std::size_t>(heat / (SeesFewRequests() ? kCopyTrafficShare : kHotTrafficShare));
  std::size_t copies = SeesFewRequests() ? (hot ? 2 + more : kMaxCopies) : std::min(kMaxCopies, 3 + more);
  // With many routers the local in-flight count says little, so the copy of a hot key is chosen at random.
  std::size_t first = hot && SeesFewRequests() && UnitInterval(Random()) * heat > kHomeTrafficShare
                          ? 1 + Random() % copies
                          : 0;
  int wait_for = -1, best = -1;
  double best_fill = 0;
  candidates_.clear();
  for (std::size_t i = 0; i < kMaxProbes * kMaxCopies && candidates_.size() < std::min(copies, kMaxCopies);
       ++i) {
    int index = CandidateServer(hash, first + i);
    if (std::find(candidates_.begin(), candidates_.end(), index) != candidates_.end()) continue;
    candidates_.push_back(index);
    const Server& server = servers_[index];
    if (!IsUsable(request, index)) continue;
    if (wait_for >= 0 && !hot && !request.has_waited)
      break;  // waits for its own server before it goes to an alternate
    if (wait_for < 0) wait_for = index;
    if (!HasRoom(server)) continue;
    double fill = server.in_flight / server.in_flight_limit;
    if (!hot || SeesFewRequests() || fill < kHotMaxFill) return SendTo(request, index);
    if (best < 0 || fill < best_fill) std::tie(best, best_fill) = std::tie(index, fill);
  }
  if (best >= 0) return SendTo(request, best);
  if (wait_for >= 0) return Enqueue(request, wait_for);
  settings_.cache_aside ? RouteToOrigin(request) : RejectOrFail(request);
}

bool Balancer::Impl::IsUsable(const Request& request, int index) const {
  const Server& server = servers_[index];
  bool failed_before = std::find(request.failed_servers.begin(), request.failed_servers.end(), index) !=
                       request.failed_servers.end();
  // Not ejected, or due for a half-open trial, for which only safe requests are used.
  bool trial = now_ >= server.trial_at && !server.trial_in_flight;
  bool healthy = !server.ejected || (trial && settings_.classes[request.cls].effect == Effect::kSafe);
  return !failed_before && healthy && MaySendTo(request, server) &&
         (WarmFraction(server) >= 1 || ColdTokens(server) >= 1);
}

}  // namespace peatbend

// Choice: the cache server that a request goes to, and how hot its key is.
#include "module/balancer_impl.h"

namespace peatbend {

// Servers tried for a key; slots seen for each.
constexpr std::size_t kMaxCopies = 8, kMaxProbes = 3;
// Hot keys: requests over which heat fades, within kHeatTime and this; sightings at least, with little
// traffic; of an average server's traffic: a key is hot, a further copy takes, the own server keeps; of the
// in-flight bound: room that a hot key may fill.
constexpr double kHeatEvidence = 30, kHotSeen = 4, kHotSeenFew = 1.6;
constexpr Duration kHeatMost = std::chrono::seconds(12);
constexpr double kHotShare = 0.3, kCopyShare = 0.6, kHomeShare = 0.5, kHotRoom = 0.5;

// The n-th server that a key may go to. The first is the one in its slot, the others follow by steps over
// the slots. One that is starting and has not yet been handed the key is stepped over, so that nothing
// spills onto it. The same at every proxy of a zone.
int Balancer::Impl::Candidate(std::uint64_t hash, std::size_t n) const {
  std::uint64_t slot = hash % kTableSize, step = Mix(hash ^ 3) % (kTableSize - 1) + 1;
  double threshold = Unit(Mix(hash));
  for (std::size_t i = 0; i < kMaxProbes * kMaxCopies; ++i) {
    int index = table_[(slot + i * step) % kTableSize];
    if (Warmth(servers_[index]) > threshold && n-- == 0) return index;
  }
  return table_[slot];  // all are starting
}

// The share of this proxy's late traffic that names the key, in average servers' shares. Counts
// are kept for the heaviest keys only: one place a hash, which the heavier key wins. A proxy with
// little traffic looks further back: there two sightings among thirty requests tell a hot key.
double Balancer::Impl::Heat(const Request& request, double count) {
  if (!request.key || ready_.empty()) return 0;
  auto hash = static_cast<std::uint32_t>(Mix(static_cast<std::uint64_t>(*request.key)));
  auto& place = heat_[hash % heat_.size()];
  Duration over = std::clamp(Nanos(1e9 * kHeatEvidence / Rate()), kHeatTime, kHeatMost);
  traffic_.Add(now_, over, count);
  place.second.Add(now_, over, place.first == hash ? count : -count);
  if (place.second.count <= 0) {
    place.first = hash;
    place.second.count = 1;
  }
  double seen = place.second.count;
  if (place.first != hash || seen < (Sparse() ? kHotSeenFew : kHotSeen)) return 0;
  return (seen - (Sparse() ? 0.5 : 0)) / std::max(traffic_.count, seen) * Ready();
}

// To a cache server, or held for its own one, or ended. The ordinary path is the loop's first turn.
void Balancer::Impl::ToCache(Request& request) {
  RefreshTable();
  if (ready_.empty()) return set_.cache_aside ? AskOrigin(request) : End(request);
  if (asked_ >= 0 && servers_[asked_].asked && Usable(request, asked_)) return SendTo(request, asked_);
  double heat = Heat(request, request.attempts.empty() && !request.waited ? 1 : 0);
  bool hot = heat > kHotShare;
  std::uint64_t id = static_cast<std::uint64_t>(request.id) ^ random_;
  std::uint64_t hash = Mix(request.key ? static_cast<std::uint64_t>(*request.key) : id);
  std::size_t more = static_cast<std::size_t>(heat / (Sparse() ? kCopyShare : kHotShare));
  std::size_t copies = Sparse() ? (hot ? 2 + more : kMaxCopies) : std::min(kMaxCopies, 3 + more);
  // Many proxies: what is in flight here tells nothing, so a hot key's copy is drawn.
  std::size_t first = hot && Sparse() && Unit(Random()) * heat > kHomeShare ? 1 + Random() % copies : 0;
  int hold_for = -1, best = -1;
  double best_fill = 0;
  tried_.clear();
  for (std::size_t i = 0; i < kMaxProbes * kMaxCopies && tried_.size() < std::min(copies, kMaxCopies); ++i) {
    int index = Candidate(hash, first + i);
    if (std::find(tried_.begin(), tried_.end(), index) != tried_.end()) continue;
    tried_.push_back(index);
    const Server& server = servers_[index];
    if (!Usable(request, index)) continue;
    if (hold_for >= 0 && !hot && !request.waited) break;  // waits before it spills
    if (hold_for < 0) hold_for = index;
    if (!HasRoom(server)) continue;
    double fill = server.in_flight / server.limit;
    if (!hot || Sparse() || fill < kHotRoom) return SendTo(request, index);
    if (best < 0 || fill < best_fill) std::tie(best, best_fill) = std::tie(index, fill);
  }
  if (best >= 0) return SendTo(request, best);
  if (hold_for >= 0) return Enqueue(request, hold_for);
  set_.cache_aside ? AskOrigin(request) : End(request);
}

bool Balancer::Impl::Usable(const Request& request, int index) const {
  const Server& server = servers_[index];
  bool avoided = std::find(request.avoid.begin(), request.avoid.end(), index) != request.avoid.end();
  // Not ejected, or due for a half-open trial, which only a safe request may be.
  bool trial = now_ >= server.trial_at && !server.trial_out;
  bool healthy = !server.ejected || (trial && set_.classes[request.cls].effect == Effect::kSafe);
  return !avoided && healthy && LegalSend(request, server) && (Warmth(server) >= 1 || ColdSends(server) >= 1);
}

}  // namespace peatbend

// All of peatbend's decisions. The types, events and actions are in include/peatbend/balancer.h.
// Its parts: membership, table, choice, cold servers, health, in-flight bounds, origin, attempts. A read goes
// to the server in its key's slot of the Maglev table; every exception takes it to an alternate (Candidate).
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <set>
#include <stdexcept>
#include <unordered_map>

#include "peatbend/balancer.h"

namespace peatbend {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Tunables -----------------------------------------------------------------------------------

constexpr std::uint32_t kTableSize = 16381;  // slots; prime, >= 100 x the fleets expected
// Of the fill: turns a round of a server in this proxy's zone, where a far one has one. Each crossing has its
// price; a far server keeps a part, so that the zone's share of the traffic need not fit into its own
// servers.
// A server listed with the mean weight has kTurns, one with more or less its part, kMostParts times at most.
constexpr int kNearTurns = 4, kTurns = 4, kMostParts = 4;
// Choice: servers tried for a key; slots seen for each; own rate smoothed over.
constexpr std::size_t kMaxCopies = 8, kMaxProbes = 3;
constexpr Duration kRateTime = seconds(10);
// Hot keys: requests over which heat fades, within these times; sightings at least, with little traffic;
// of an average server's traffic: a key is hot, a further copy takes, the own server keeps; of the
// in-flight bound: room that a hot key may fill.
constexpr double kHeatEvidence = 30, kHotSeen = 4, kHotSeenFew = 1.6;
constexpr Duration kHeatTime = seconds(2), kHeatMost = seconds(12);
constexpr double kHotShare = 0.3, kCopyShare = 0.6, kHomeShare = 0.5, kHotRoom = 0.5;
// Cold servers: of the fall multiple, sends over the due part; of a tipping time's sends, at once.
constexpr double kColdSlack = 0.7, kColdDepth = 0.25;
// Health: failures in a row that eject; first ejection, doubling; longest; of the fleet out at most (panic
// threshold).
constexpr int kStrikesToEject = 4;
constexpr Duration kEjectFor = seconds(1), kEjectAtMost = seconds(8);
constexpr double kEjectShare = 0.4;
// In-flight bound of a server over all proxies: first, least (below 1 a proxy paces its sends); most here.
// Cut: by a queue told over, a smoothed latency over the unloaded one; apart; least pause after full.
constexpr double kFirstLimit = 8, kLeastLimit = 4, kMostLimit = 64, kQueueMost = 1, kSlowMultiple = 4;
constexpr double kSmoothing = 0.15;  // of a new latency in the smoothed one
constexpr Duration kCutApart = milliseconds(100), kFullPause = milliseconds(20);
// Of the aim: wait for the own server before an alternate; then refused, if a late answer earns nothing;
// usual latencies that a cache needs at least.
constexpr double kHoldHome = 0.25, kHoldMost = 0.6, kTimeNeeded = 1.5;
constexpr double kHoldUnsent = 0.47;  // of its time, what no server has seen is held at most
// Origin's limit over all proxies: first, least; a proxy: first, least, most, paced sends at once; of the
// aim, a latency not yet seen. Latency over its base that cuts, that lets it grow fast; base, an answer.
constexpr double kOriginFirst = 64, kOriginLeast = 10, kOriginFew = 6, kOriginFewLeast = 2;
constexpr int kOriginFirstAnswers = 4;  // that the base follows
constexpr double kOriginMost = 128, kOriginBurst = 3, kFirstLatency = 0.2;
constexpr double kOriginSlow = 3, kOriginCalm = 1.7, kOriginCreep = 1.0005;
// Retry budget of a tenant: a request's part; cap of all tenants' over all proxies, and between these.
constexpr double kRetryPerRequest = 0.2, kRetryMost = 160, kRetryHigh = 20, kRetryLow = 2;
constexpr double kHoldWorth = 0.5;    // open connections' price over new ones' from which none is kept
constexpr double kTenantSlack = 1.3;  // of a tenant's even part that counts as within its share
constexpr Duration kAskApart = milliseconds(4);  // a proxy, between first calls of discovery; then:
constexpr Duration kResubscribeFirst = milliseconds(400), kResubscribeMost = seconds(6);

// ---- Small helpers ------------------------------------------------------------------------------

std::uint64_t Mix(std::uint64_t x) {  // splitmix64's finaliser
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
std::uint64_t HashId(std::string_view id, std::uint64_t salt) {  // FNV-1a, then mixed
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ salt;
  for (unsigned char c : id) hash = (hash ^ c) * 0x100000001b3ULL;
  return Mix(hash);
}
double Unit(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }
Duration Nanos(double count) { return Duration(static_cast<Duration::rep>(count)); }
double Ns(Duration d) { return static_cast<double>(d.count()); }
Duration Scale(Duration d, double by) { return Nanos(Ns(d) * by); }

}  // namespace

// ---- 2. The Maglev table ------------------------------------------------------------------------

std::vector<std::uint16_t> BuildMaglevTable(std::span<const std::string_view> sorted_ids,
                                            std::span<const int> turns) {
  if (sorted_ids.empty()) return {};
  constexpr std::uint16_t kEmpty = 0xffff;
  std::vector<std::uint16_t> table(kTableSize, kEmpty);
  std::vector<std::uint32_t> at, skip;
  for (std::string_view id : sorted_ids) {
    at.push_back(static_cast<std::uint32_t>(HashId(id, 1) % kTableSize));
    skip.push_back(static_cast<std::uint32_t>(HashId(id, 2) % (kTableSize - 1)) + 1);
  }
  for (std::uint32_t filled = 0; filled < kTableSize;) {
    for (std::size_t i = 0; i < at.size(); ++i) {
      for (int turn = turns.empty() ? 1 : turns[i]; turn > 0 && filled < kTableSize; --turn, ++filled) {
        while (table[at[i]] != kEmpty) {
          at[i] += skip[i];
          if (at[i] >= kTableSize) at[i] -= kTableSize;
        }
        table[at[i]] = static_cast<std::uint16_t>(i);
      }
    }
  }
  return table;
}

class Balancer::Brain {
 public:
  Brain(const Settings& settings, std::uint64_t seed) : set_(settings), random_(Mix(seed)) {
    CheckSettings(set_);
  }

  std::uint64_t tables_built() const { return tables_built_; }

  std::size_t avoided() const {
    return static_cast<std::size_t>(std::count_if(by_id_.begin(), by_id_.end(), [&](const auto& entry) {
      const Server& server = servers_[entry.second];
      bool out = server.listed == Listed::kDraining || server.ejected;
      return !server.origin && server.listed != Listed::kGone && out;
    }));
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    if (began_ == TimePoint{}) began_ = now;
    PruneAllowance();
    std::visit([this](const auto& e) { On(e); }, event);
    RunDue();
    ArmTimer();
  }

 private:
  // Writes first, then worth, then age.
  using QueueKey = std::tuple<bool, double, std::uint64_t, RequestId>;
  struct Fading {  // a count that fades exponentially over a time
    double count = 0;
    TimePoint at{};
    double Now(TimePoint now, Duration over) const {
      return over > Duration::zero() ? count * std::exp(-Ns(now - at) / Ns(over)) : 0;
    }
    void Add(TimePoint now, Duration over, double value) {
      count = Now(now, over) + value;
      at = now;
    }
  };
  struct Server {
    std::string id;
    Listed listed = Listed::kGone;
    bool origin = false;
    int cell = 0, zone = 0;
    double weight = 1;
    TimePoint started{}, replaced{};  // the newest told; when it followed another process
    // What this proxy has seen of it.
    int in_flight = 0;               // also what went to the process before and is still out
    double limit = 1, latency = 0;   // in-flight bound; smoothed, ns, 0: none yet
    double base = 0;                 // origin: the least that the latency has been, creeping up
    int answers = 0;                 // origin: so many
    TimePoint cut{};                 // when the bound was last cut
    int strikes = 0, ejections = 0;  // failures in a row; in a row
    bool ejected = false, trial_out = false;
    TimePoint trial_at{};    // ejected: half-open from here on
    TimePoint not_before{};  // nothing is sent before this: it was full, or its sends are paced
    double cold_sends = 0;   // cold: sends it may have at cold_at
    TimePoint cold_at{};
    std::set<QueueKey> queue{};  // requests held for it, the most worth first
  };
  struct Attempt {
    int zone = 0, cell = 0;
    TimePoint sent{};
    bool open = true, may_have_run = true;
    bool reached = true;  // false: ended before it came to its server
  };
  enum class State { kOut, kWaitsForFetch, kQueued };
  struct Request {
    RequestId id{};
    Key key{};
    bool keyed = false, write = false;  // names a key; is one
    int cls = 0;
    std::size_t tenant = 0;
    double value = 1;
    TimePoint arrived{}, deadline{};
    State state = State::kOut;
    TimePoint wake{};    // held: looked at again at this time
    int queued_at = -1;  // held: for this server
    bool waited = false,
         free_send = false;  // held long enough; missed: its next send is outside the allowance
    std::vector<Attempt> attempts;
    std::vector<int> avoid;                    // servers that have failed it
    bool streaming = false, fetching = false;  // it is the one that fetches its key
    std::uint64_t queued = 0;
  };
  using Table = std::vector<std::uint16_t>;

  // ---- 1. Membership ----------------------------------------------------------------------------

  void On(const MembershipEvent& event) {
    if (set_.must_subscribe) KeepSubscribed(event.scope);
    if (event.scope == Scope::kFailed) return;
    if (event.scope != Scope::kDelta) {
      for (Server& server : servers_) server.listed = Listed::kGone;
    }
    for (const ServerEntry& entry : event.entries) Learn(entry);
    stale_ = true;                                       // rebuilt when a request needs it
    for (std::size_t i = 0; i < servers_.size(); ++i) {  // held for a server that is out now
      while (servers_[i].listed != Listed::kReady && !servers_[i].queue.empty()) {
        Requeue(requests_.at(std::get<3>(*servers_[i].queue.begin())));
      }
    }
    Forget();
  }

  void Learn(const ServerEntry& entry) {
    auto [at, fresh] = by_id_.try_emplace(entry.id.name, 0);
    if (fresh) {
      if (free_.empty()) {
        free_.push_back(static_cast<int>(servers_.size()));
        servers_.emplace_back();
      }
      at->second = free_.back();
      free_.pop_back();
    }
    Server& server = servers_[at->second];
    bool origin = set_.aside && entry.kind == set_.origin_kind;
    // A new process: nothing seen of the old one holds. All machines read one clock, so an older start is
    // what a late list tells of the process before.
    if (fresh || entry.started > server.started) {
      server = Server{.id = entry.id.name,
                      .origin = origin,
                      .started = entry.started,
                      .replaced = fresh ? TimePoint{} : now_,
                      .in_flight = server.in_flight,
                      .limit = origin ? std::min(kOriginFew, kOriginFirst / set_.proxies) : FirstLimit(),
                      .cold_sends = Unit(Random()),
                      .cold_at = now_,
                      .queue = std::move(server.queue)};
    }
    server.listed = entry.listed;
    server.cell = entry.cell;
    server.zone = entry.zone;
    server.weight = entry.weight;
  }

  void Forget() {
    std::erase_if(by_id_, [this](const auto& entry) {
      const Server& server = servers_[entry.second];
      bool out = server.listed == Listed::kGone && server.in_flight == 0 && server.queue.empty();
      if (out) free_.push_back(entry.second);
      return out;
    });
  }

  // Discovery that must be asked: subscribed to at the start, all proxies spread over a time, and again
  // after every failure, with jittered exponential backoff.
  void KeepSubscribed(Scope scope) {
    if (scope == Scope::kFailed) {
      if (resubscribe_in_ == Duration::zero()) Say("discovery lost, subscribing again");
      resubscribe_in_ = std::clamp(resubscribe_in_ * 2, kResubscribeFirst, kResubscribeMost);
      subscribe_at_ = now_ + Scale(resubscribe_in_, 0.5 + Unit(Random()));
    } else if (scope == Scope::kCached) {
      subscribe_at_ = now_ + Scale(kAskApart * set_.proxies, Unit(Random()));
    } else {
      if (resubscribe_in_ != Duration::zero()) Say("discovery is back");
      resubscribe_in_ = Duration::zero();
      subscribe_at_ = TimePoint::max();
    }
  }

  void SubscribeIfDue() {  // should no answer come, once more after the time discovery may be silent for
    if (now_ < subscribe_at_) return;
    out_->push_back(Subscribe{});
    subscribe_at_ = set_.ask_every > Duration::zero() ? now_ + set_.ask_every : TimePoint::max();
  }

  // ---- 2. The Maglev table ----------------------------------------------------------------------

  // Rebuilt when the membership has changed and a request needs it. Not later, though a moment may bring many
  // changes: the place of a server that has gone may be another's by then.
  void RefreshTable() {
    if (!stale_) return;
    stale_ = false;
    ready_.clear();
    origin_ = -1;
    for (const auto& [id, index] : by_id_) {  // sorted by id
      if (servers_[index].listed != Listed::kReady) continue;
      if (!servers_[index].origin) ready_.push_back(index);
      if (servers_[index].origin && origin_ < 0) origin_ = index;
    }
    table_ = BuildTable(ready_);
  }

  Table BuildTable(const std::vector<int>& indices) {
    ++tables_built_;
    std::vector<std::string_view> ids;
    std::vector<int> turns;
    double mean = 0;
    for (int index : indices) mean += servers_[index].weight / static_cast<double>(indices.size());
    for (int index : indices) {
      const Server& server = servers_[index];
      double part = mean > 0 ? server.weight / mean : 1;
      double most = kTurns * (server.zone == set_.zone ? kNearTurns : 1);
      ids.push_back(server.id);
      turns.push_back(static_cast<int>(std::clamp(std::round(part * most), 1.0, kMostParts * most)));
    }
    Table table = BuildMaglevTable(ids, turns);
    for (std::uint16_t& slot : table) slot = static_cast<std::uint16_t>(indices[slot]);
    return table;
  }

  // ---- 3. Choice --------------------------------------------------------------------------------

  // The n-th server that a key may go to. The first is the one in its slot, the others follow by steps over
  // the slots. One that is starting and has not yet been handed the key is stepped over, so that nothing
  // spills onto it. The same at every proxy of a zone.
  int Candidate(std::uint64_t hash, std::size_t n) const {
    std::uint64_t slot = hash % kTableSize, step = Mix(hash ^ 3) % (kTableSize - 1) + 1;
    double threshold = Unit(Mix(hash));
    for (std::size_t i = 0; i < kMaxProbes * kMaxCopies; ++i) {
      int index = table_[(slot + i * step) % kTableSize];
      if (Warmth(servers_[index]) > threshold && n-- == 0) return index;
    }
    return table_[slot];  // all are starting
  }

  double Rate() const { return std::max(0.05, taken_lately_.Now(now_, kRateTime) / Seen()); }
  double Seen() const { return std::min(Ns(kRateTime), Ns(now_ - began_) + 1e9) / 1e9; }
  // Whether this proxy is one of so many that it sees a server too seldom to judge it by its own.
  bool Sparse() const { return set_.proxies > kFirstLimit; }

  // The share of this proxy's late traffic that names the key, in average servers' shares. Counts
  // are kept for the heaviest keys only: one place a hash, which the heavier key wins. A proxy with
  // little traffic looks further back: there two sightings among thirty requests tell a hot key.
  double Heat(const Request& request, bool count) {
    if (!request.keyed || ready_.empty()) return 0;
    auto hash = static_cast<std::uint32_t>(Mix(static_cast<std::uint64_t>(request.key)));
    auto& place = heat_[hash % heat_.size()];
    Duration over = std::clamp(Nanos(1e9 * kHeatEvidence / Rate()), kHeatTime, kHeatMost);
    if (count) traffic_.Add(now_, over, 1);
    Count(place, hash, over, count ? 1 : 0);
    double seen = place.second.count;
    if (place.first != hash || seen < (Sparse() ? kHotSeenFew : kHotSeen)) return 0;
    return (seen - (Sparse() ? 0.5 : 0)) / std::max(traffic_.count, seen) * Ready();
  }
  using Place = std::pair<std::uint32_t, Fading>;
  void Count(Place& place, std::uint32_t hash, Duration over, double count) {
    place.second.Add(now_, over, place.first == hash ? count : -count);
    if (place.second.count <= 0) {
      place.first = hash;
      place.second.count = 1;
    }
  }

  std::uint64_t Hash(const Request& request) const {
    return Mix(request.keyed ? static_cast<std::uint64_t>(request.key)
                             : static_cast<std::uint64_t>(request.id) ^ random_);
  }

  // To a cache server, or held for its own one, or ended. The ordinary path is the loop's first turn.
  void ToCache(Request& request) {
    RefreshTable();
    if (ready_.empty()) return set_.aside ? AskOrigin(request) : End(request);
    double heat = Heat(request, request.attempts.empty() && !request.waited);
    bool hot = heat > kHotShare;
    std::uint64_t hash = Hash(request);
    std::size_t more = static_cast<std::size_t>(heat / (Sparse() ? kCopyShare : kHotShare));
    std::size_t copies = Sparse() ? (hot ? 2 + more : kMaxCopies) : std::min(kMaxCopies, 3 + more);
    // Many proxies: what is in flight here tells nothing, so a hot key's copy is drawn.
    std::size_t first = hot && Sparse() && Unit(Random()) * heat > kHomeShare ? 1 + Random() % copies : 0;
    int hold_for = -1, best = -1;
    double best_fill = 0;
    tried_.clear();
    for (std::size_t i = 0; i < kMaxProbes * kMaxCopies && tried_.size() < std::min(copies, kMaxCopies);
         ++i) {
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
    set_.aside ? AskOrigin(request) : End(request);
  }

  bool Usable(const Request& request, int index) const {
    const Server& server = servers_[index];
    bool avoided = std::find(request.avoid.begin(), request.avoid.end(), index) != request.avoid.end();
    // Not ejected, or due for a half-open trial, which only a safe request may be.
    bool trial = now_ >= server.trial_at && !server.trial_out;
    bool healthy = !server.ejected || (trial && set_.classes[request.cls].effect == Effect::kSafe);
    return !avoided && healthy && LegalSend(request, server) &&
           (Warmth(server) >= 1 || ColdSends(server) >= 1);
  }

  // ---- 4. Cold servers (slow start) -------------------------------------------------------------

  // The part of its capacity that a server has for certain: the worst-case warm-up, a straight line
  // from the start capacity to warm_after. It is the same at every proxy.
  double Warmth(const Server& server) const {
    if (server.started == TimePoint{} || now_ - server.started >= set_.warm_after) return 1;
    double share = std::max(0.0, Ns(now_ - server.started) / Ns(set_.warm_after));
    return set_.start_capacity + (1 - set_.start_capacity) * share;
  }

  // Guards a cold server against hot keys: what all proxies send it stays near its part of what a warm
  // server answers, each proxy pacing its own share, and beginning with a drawn part of a send, for
  // all of them may have learned of the start at once. Nothing spills onto it (Candidate). Could keep
  // keys from it for longer than need be where a proxy's traffic has just risen.
  double ColdSends(const Server& server) const {
    double due = answered_.Now(now_, kRateTime) / Seen() / Ready();
    double rate = due * Warmth(server) * kColdSlack * std::max(1.0, set_.fall_multiple);
    double most = std::max(1.0, kColdDepth * rate * Ns(set_.tip_after) / 1e9);
    return std::min(most, server.cold_sends + rate * Ns(now_ - server.cold_at) / 1e9);
  }

  // ---- 5. Health --------------------------------------------------------------------------------

  void Strike(Server& server, int strikes) {
    server.strikes += strikes;
    if (server.origin) return;
    if (server.ejected ? server.trial_out : server.strikes >= kStrikesToEject && MayEject()) Eject(server);
  }

  // Whether one more may be out: if most look bad, the verdict is distrusted (panic threshold).
  bool MayEject() const {
    auto out = [this](int index) { return servers_[index].ejected; };
    return static_cast<double>(std::count_if(ready_.begin(), ready_.end(), out) + 1) <= kEjectShare * Ready();
  }
  double Ready() const { return static_cast<double>(ready_.size()); }

  void Eject(Server& server) {
    if (!server.ejected) Say("ejected " + server.id);
    server.ejected = true;
    server.trial_out = false;
    Duration out = kEjectFor * (1 << std::min(server.ejections, 6));
    server.trial_at = now_ + Scale(std::min(out, kEjectAtMost), 0.8 + 0.4 * Unit(Random()));
    ++server.ejections;
  }

  // ---- 6. In-flight bounds ----------------------------------------------------------------------

  double FirstLimit() const { return std::max(1.0, kFirstLimit / set_.proxies); }
  double OriginLeast() const { return std::min(kOriginFewLeast, kOriginLeast / set_.proxies); }
  double LeastLimit() const { return std::min(1.0, kLeastLimit / set_.proxies); }

  void Cut(Server& server, double by) {
    if (now_ - server.cut < std::max(kCutApart, Nanos(server.latency))) return;
    server.cut = now_;
    server.limit = std::max(server.origin ? OriginLeast() : LeastLimit(), server.limit * by);
  }

  // The median latency of a zone's servers, and what it is without queues: the least that it has been,
  // creeping up. Zone by zone, for the way to another one is no sign of load: measured by the near servers,
  // each far one would look overdriven for good.
  struct Latency {
    double usual = 0, unloaded = 0;
    TimePoint at{};
  };
  void RefreshLatency(const Server& of) {
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
  double Usually(const Server& server) const {
    auto at = zones_.find(server.zone);
    return at == zones_.end() ? 0 : at->second.usual;
  }
  double Unloaded(const Server& server) const {
    auto at = zones_.find(server.zone);
    return at == zones_.end() ? 0 : at->second.unloaded;
  }

  bool HasRoom(const Server& server) const {
    return server.in_flight < std::max(1.0, server.limit * Warmth(server)) && now_ >= server.not_before;
  }

  // Until when a request may be held for a server, or for another's fetch from it.
  TimePoint HeldUntil(const Request& request, const Server& server) const {
    const ClassSettings& cls = set_.classes[request.cls];
    TimePoint latest = request.deadline - 2 * set_.tick;
    if (cls.late_share <= 0) latest = std::min(latest, request.arrived + Scale(cls.aim, kHoldMost));
    // What would be sent too late to be answered is not sent: it would only time out.
    double needs = server.origin ? server.base : kTimeNeeded * Usually(server);
    latest = std::min(latest, request.deadline - Nanos(needs));
    // Nor does a client wait in vain for what no server has seen: it is told while it can still ask again.
    bool unsent = std::none_of(request.attempts.begin(), request.attempts.end(),
                               [](const Attempt& attempt) { return attempt.reached; });
    Duration half = Scale(request.deadline - request.arrived, kHoldUnsent);
    return unsent ? std::min(latest, request.arrived + half) : latest;
  }

  // Holds a request for a server without room; the most worth goes first when there is some.
  void Enqueue(Request& request, int index) {
    TimePoint latest = HeldUntil(request, servers_[index]);
    if (now_ >= latest) return End(request);
    bool cache = !servers_[index].origin && !request.waited;
    Duration home = Scale(set_.classes[request.cls].aim, kHoldHome);
    Hold(request, cache ? std::min(latest, now_ + home) : latest);
    request.state = State::kQueued;
    request.queued_at = index;
    request.queued = ++sequence_;
    servers_[index].queue.insert(Rank(request));
    PumpLater(index);
  }

  void PumpLater(int index) {
    const Server& server = servers_[index];
    if (server.not_before > now_ && !server.queue.empty()) paced_.insert({server.not_before, index});
  }

  QueueKey Rank(const Request& request) const {
    return {!request.write, -request.value, request.queued, request.id};
  }

  void Unqueue(Request& request) {
    if (request.state == State::kQueued) servers_[request.queued_at].queue.erase(Rank(request));
    request.state = State::kOut;
    request.wake = TimePoint{};
  }

  void Pump(int index) {
    while (!servers_[index].queue.empty() && HasRoom(servers_[index])) {
      Request& request = requests_.at(std::get<3>(*servers_[index].queue.begin()));
      Unqueue(request);
      bool origin = servers_[index].origin;
      bool usable = !origin && Usable(request, index);
      request.waited = request.waited || !usable;
      usable ? SendTo(request, index) : origin ? AskOrigin(request) : ToCache(request);
    }
  }

  void Requeue(Request& request) {
    bool origin = request.state == State::kQueued && servers_[request.queued_at].origin;
    bool fetch = request.state == State::kWaitsForFetch;
    Unqueue(request);
    if (origin || fetch) return End(request);
    request.waited = true;
    ToCache(request);
  }

  void Observe(Server& server, const OutcomeEvent& event) {
    bool was_full = server.in_flight + 1 >= server.limit;
    double elapsed = Ns(event.elapsed);
    switch (event.result) {
      case Result::kGood:
        if (server.origin) ++server.answers;
        server.latency += LatencyPart(server) * (elapsed - server.latency);
        [[fallthrough]];
      case Result::kMiss:
        if (server.ejected) Say("recovered " + server.id);
        server.strikes = server.ejections = 0;
        server.ejected = server.trial_out = false;
        if (server.origin) return ObserveOrigin(server, was_full);
        answered_.Add(now_, kRateTime, 1);
        RefreshLatency(server);
        if (server.latency > kSlowMultiple * Unloaded(server) || event.load.queued.value_or(0) > kQueueMost) {
          Cut(server, 0.85);
        } else if (was_full) {
          server.limit = std::min(kMostLimit, server.limit + (server.limit < 1 ? 0.25 : 1 / server.limit));
        }
        return;
      case Result::kFull:
        server.not_before = now_ + std::max(kFullPause, Nanos(0.5 * Usually(server)));
        Cut(server, 0.7);
        server.trial_out = false;
        return;
      case Result::kLate:
        // A client whose time was too short even for an idle server: no sign of how this one does.
        if (!server.origin && elapsed < kTimeNeeded * Unloaded(server)) {
          server.trial_out = false;
          return;
        }
        if (server.origin && Sparse()) server.latency += kSmoothing * (elapsed - server.latency);
        if (!server.origin || elapsed > kOriginSlow * server.base) Cut(server, 0.7);
        return Strike(server, 1);
      case Result::kNoConn:
        return Strike(server, 2);
      case Result::kReset:
      case Result::kBad:
        return Strike(server, 1);
      case Result::kCancelled:
      case Result::kNeverSent:
        server.trial_out = false;
        return;
    }
  }

  // Of a new latency in the smoothed one: the origin's first answers all count alike.
  double LatencyPart(const Server& server) const {
    if (server.latency <= 0) return 1;
    return server.origin ? std::max(kSmoothing, 1.0 / server.answers) : kSmoothing;
  }

  // ---- 7. Origin --------------------------------------------------------------------------------

  void ObserveOrigin(Server& origin, bool was_full) {
    // Of the first answers one may be far quicker than all that follow: a base of its own would leave the
    // origin looking overloaded, and its limit at the least, for good.
    bool first = origin.answers <= kOriginFirstAnswers;
    if (first || origin.latency < origin.base) origin.base = origin.latency;
    origin.base *= kOriginCreep;
    if (origin.latency > kOriginSlow * origin.base) {
      Cut(origin, 0.85);
    } else if (was_full) {  // fast while there is no sign of a queue
      bool calm = origin.latency < kOriginCalm * origin.base;
      double step = origin.limit < 1 ? 0.1 * origin.limit : calm ? 1 : 1 / origin.limit;
      origin.limit = std::min(kOriginMost, origin.limit + step);
    }
  }

  // Sends to the origin, or holds until the key's fetch is back (single-flight) or the limit leaves room.
  void AskOrigin(Request& request) {
    RefreshTable();
    if (origin_ < 0 || !LegalSend(request, servers_[origin_])) return End(request);
    if (!request.write && request.keyed && !request.fetching) {
      auto [at, fresh] = fetches_.try_emplace(request.key);
      if (!fresh) return JoinFetch(request, at->second);
      request.fetching = true;
    }
    if (HasRoom(servers_[origin_])) return SendTo(request, origin_);
    Enqueue(request, origin_);
  }

  void JoinFetch(Request& request, std::vector<RequestId>& waiting) {
    TimePoint latest = HeldUntil(request, servers_[origin_]);
    if (now_ >= latest) return End(request);
    waiting.push_back(request.id);
    request.state = State::kWaitsForFetch;
    Hold(request, latest);
  }

  // A key's fetch has ended: those that wait read it from the cache or, if it did not come, fetch it.
  void EndFetch(Request& request, bool came) {
    if (!request.fetching) return;
    request.fetching = false;
    auto at = fetches_.find(request.key);
    std::vector<RequestId> waiting = std::move(at->second);
    fetches_.erase(at);
    // If it did not come, who has the most time left fetches it: those with little would each fail in turn.
    auto until = [this](RequestId id) {
      auto found = requests_.find(id);
      return found == requests_.end() ? TimePoint{} : found->second.deadline;
    };
    std::ranges::stable_sort(waiting, std::ranges::greater(), until);
    for (RequestId id : waiting) {
      auto found = requests_.find(id);
      if (found == requests_.end() || found->second.state != State::kWaitsForFetch) continue;
      found->second.state = State::kOut;
      came ? ToCache(found->second) : AskOrigin(found->second);
    }
  }

  // ---- 8. Attempts ------------------------------------------------------------------------------

  void On(const RequestEvent& event) {
    bool known = event.cls >= 0 && event.cls < static_cast<int>(set_.classes.size());
    if (!known) throw std::invalid_argument("request: cls: no such class");
    if (event.remaining < Duration{}) throw std::invalid_argument("request: remaining: must not be negative");
    auto [at, fresh] = requests_.try_emplace(event.id);
    if (!fresh) throw std::invalid_argument("request: id: already held");
    Request& request = at->second;
    request.id = event.id;
    request.keyed = event.key.has_value();
    request.key = event.key.value_or(Key{});
    request.write = event.write;
    request.cls = event.cls;
    request.arrived = now_;
    request.deadline = now_ + event.remaining;
    bool named = event.tenant >= 0 && event.tenant < static_cast<int>(tenants_.size());
    request.tenant = named ? static_cast<std::size_t>(event.tenant) : tenants_.size();
    request.value = Value(event, request.tenant);
    // A client's repeat has mostly used up its aim: it ranks by what a late answer earns.
    if (event.retry) request.value *= set_.classes[request.cls].late_share;
    double& budget = retry_budgets_[request.tenant];
    budget = std::min(RetryMost(), budget + kRetryPerRequest);
    taken_lately_.Add(now_, kRateTime, 1);
    if (set_.attempt_window) taken_.push_back(now_);
    if (set_.aside && request.write) return AskOrigin(request);
    RefreshTable();
    if (set_.aside && request.keyed && origin_ >= 0) {
      auto fetch = fetches_.find(request.key);
      if (fetch != fetches_.end()) return JoinFetch(request, fetch->second);
    }
    ToCache(request);
  }

  double RetryMost() const {
    double all = std::clamp(kRetryMost / set_.proxies, kRetryLow, kRetryHigh);
    return std::max(1.0, all / std::max<double>(1, static_cast<double>(tenants_.size())));
  }

  // Worth per work where requests tell theirs and worth does not grow with it; a tenant's excess counts less.
  double Value(const RequestEvent& event, std::size_t tenant) {
    double value = set_.classes[event.cls].worth;
    bool per_work = !set_.worth_by_work && event.work_hint > Duration::zero();
    if (per_work) value /= std::max(1e6, Ns(event.work_hint));
    if (tenant == tenants_.size()) return value;
    double rate = set_.tenants[tenant].allowance_per_s * kTenantSlack / set_.proxies;
    if (rate <= 0) return value;
    Fading& used = tenants_[tenant];
    used.Add(now_, kHeatTime, 1);
    bool over = used.count > rate * Ns(kHeatTime) / 1e9 + 2;
    return over ? value * set_.over_share_worth : value;
  }

  // The attempt allowance, over the exact window: what lies at its very edge counts if it is a further
  // attempt and does not count if it is a request taken, so that no reading of the edge is broken.
  void PruneAllowance() {
    if (!set_.attempt_window) return;
    TimePoint edge = now_ - *set_.attempt_window;
    while (!taken_.empty() && taken_.front() <= edge) taken_.pop_front();
    while (!further_.empty() && further_.front().first < edge) further_.pop_front();
  }
  bool Allowed(const Request& request) const {
    if (!set_.attempt_window || request.attempts.empty() || request.free_send) return true;
    return static_cast<double>(further_.size() + 1) <=
           set_.free_resends.value_or(0) +
               set_.extra_per_request.value_or(0) * static_cast<double>(taken_.size());
  }

  // Whether any further attempt may be sent, whatever the server.
  bool MayGoOn(const Request& request) const {
    const ClassSettings& cls = set_.classes[request.cls];
    if (request.streaming || request.deadline - now_ <= Duration::zero()) return false;
    if (static_cast<int>(request.attempts.size()) >= set_.try_limit || !Allowed(request)) return false;
    return std::none_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
      if (attempt.open && (!set_.second_copies || cls.effect != Effect::kSafe)) return true;
      if (!attempt.may_have_run || cls.effect == Effect::kSafe) return false;
      return cls.effect == Effect::kUnsafe || now_ - attempt.sent + set_.tick >= cls.window;
    });
  }

  // The gate: whether an attempt may be sent. Every send passes it.
  bool LegalSend(const Request& request, const Server& server) const {
    const ClassSettings& cls = set_.classes[request.cls];
    if (server.listed != Listed::kReady || !MayGoOn(request)) return false;
    for (const Attempt& attempt : request.attempts) {
      if (!attempt.may_have_run || cls.effect == Effect::kSafe) continue;
      bool other_zone = attempt.zone != server.zone, other_cell = attempt.cell != server.cell;
      if (cls.group == Group::kZone ? other_zone : cls.group == Group::kCell && other_cell) return false;
    }
    return true;
  }

  // The gate's other half: whether a refusal, which says that a retry is harmless, would be true.
  bool LegalRefuse(const Request& request) const {
    const ClassSettings& cls = set_.classes[request.cls];
    if (cls.effect == Effect::kSafe) return true;
    if (cls.effect == Effect::kKeyed && cls.group == Group::kAll) return true;
    return std::none_of(request.attempts.begin(), request.attempts.end(),
                        [](const Attempt& attempt) { return attempt.may_have_run; });
  }

  void SendTo(Request& request, int index) {
    Server& server = servers_[index];
    if (!LegalSend(request, server)) return End(request);
    request.state = State::kOut;
    request.wake = TimePoint{};
    int number = static_cast<int>(request.attempts.size());
    bool counts = set_.attempt_window && number > 0 && !request.free_send;
    if (counts) further_.push_back({now_, {request.id, number}});
    request.free_send = false;
    request.attempts.push_back({server.zone, server.cell, now_});
    ++server.in_flight;
    if (server.ejected) server.trial_out = true;
    if (server.limit < 1) {
      double latency = server.origin ? server.base : server.latency;
      if (latency <= 0) latency = kFirstLatency * Ns(set_.classes[request.cls].aim);
      Pace(server.not_before, Nanos(latency / server.limit), server.origin ? kOriginBurst : 1);
    }
    if (Warmth(server) < 1) {
      server.cold_sends = ColdSends(server) - 1;
      server.cold_at = now_;
    }
    PumpLater(index);
    out_->push_back(Send{request.id, ServerId{server.id}, request.deadline - now_});
  }

  // Takes one place of a pace of one in `gap`, of which `burst` may come at once.
  void Pace(TimePoint& from, Duration gap, double burst) const {
    from = std::max(from, now_ - Scale(gap, std::max(1.0, burst) - 1)) + gap;
  }

  void Hold(Request& request, TimePoint when) {
    request.wake = std::max(when, now_);
    due_.push({request.wake, request.id});
  }

  // The final answer: refused where that is true, else failed. Nothing is sent after it.
  void End(Request& request) {
    Refuse refusal{request.id, set_.retry_after ? set_.max_retry_after / 4 : Duration{}};
    LegalRefuse(request) ? out_->push_back(refusal) : out_->push_back(Fail{request.id});
    for (std::size_t i = 0; i < request.attempts.size() && set_.may_cancel; ++i) {
      if (request.attempts[i].open) out_->push_back(Cancel{request.id, static_cast<int>(i)});
    }
    Drop(request, false);
  }

  void Drop(Request& request, bool came) {
    Unqueue(request);
    auto node = requests_.extract(RequestId{request.id});
    EndFetch(node.mapped(), came);
  }

  void On(const OutcomeEvent& event) {
    auto known = by_id_.find(event.server);
    int index = known == by_id_.end() ? -1 : known->second;
    if (event.result == Result::kNeverSent) {
      std::erase_if(further_,
                    [&](const auto& one) { return one.second == std::pair(event.id, event.attempt); });
    }
    if (index >= 0) {
      if (servers_[index].in_flight > 0) --servers_[index].in_flight;
      ReleaseIdle(servers_[index]);
      // What was sent before this process was told of went to the one before: no sign of how this one does.
      if (now_ - event.elapsed >= servers_[index].replaced) Observe(servers_[index], event);
    }
    auto at = requests_.find(event.id);
    if (at != requests_.end()) Settle(at->second, event, index);
    if (index >= 0) Pump(index);
  }

  // Idle connections are closed at once where all proxies' together cost a server more than new ones do:
  // their price, and the places that it accepts. Elsewhere they close by themselves.
  void ReleaseIdle(const Server& server) {
    bool dear = set_.connection_price * set_.proxies / 100 > kHoldWorth * set_.handshake_price;
    if (dear && server.in_flight == 0) out_->push_back(Release{ServerId{server.id}});
  }

  void Settle(Request& request, const OutcomeEvent& event, int index) {
    if (event.attempt < 0 || event.attempt >= static_cast<int>(request.attempts.size())) return;
    Attempt& attempt = request.attempts[event.attempt];
    attempt.open = false;
    attempt.reached = event.result != Result::kNoConn && event.result != Result::kNeverSent;
    attempt.may_have_run = event.result != Result::kFull && event.result != Result::kNoConn &&
                           event.result != Result::kNeverSent && event.result != Result::kMiss;
    bool at_origin = index >= 0 && servers_[index].origin;
    if (event.done) return Drop(request, event.result == Result::kGood && at_origin);
    request.free_send = event.result == Result::kMiss;
    if (!MayGoOn(request)) return End(request);
    if (event.result == Result::kMiss) return AskOrigin(request);
    if (event.result == Result::kFull && !at_origin) return AfterFull(request, index);
    bool free = !attempt.may_have_run && event.attempt == 0;
    if (!free && !Repeat(request)) return End(request);
    if (at_origin) return AskOrigin(request);
    request.avoid.push_back(index);
    ToCache(request);
  }

  // Takes one repeat off its tenant's budget. Guards against storms of repeats, and a tenant whose requests
  // fail against none but itself.
  bool Repeat(const Request& request) {
    double& budget = retry_budgets_[request.tenant];
    return budget >= 1 && (budget -= 1, true);
  }

  // Turned away by a full server: waits for it a little, once; then an alternate, or a refusal.
  // Guards against storms of cheap retries that spread a full server's keys over the fleet.
  void AfterFull(Request& request, int index) {
    if (!Sparse() && !request.waited && set_.try_limit - static_cast<int>(request.attempts.size()) > 2) {
      return Enqueue(request, index);
    }
    if (Sparse() && set_.aside) return AskOrigin(request);
    if (!Repeat(request)) return End(request);
    request.waited = true;
    request.avoid.push_back(index);
    ToCache(request);
  }

  void On(const StreamStartEvent& event) {
    auto at = requests_.find(event.id);
    if (at == requests_.end()) return;
    at->second.streaming = true;
    at->second.wake = TimePoint{};
  }

  void On(const GoneEvent& event) {
    auto at = requests_.find(event.id);
    if (at != requests_.end()) Drop(at->second, false);
  }

  // ---- Time -------------------------------------------------------------------------------------

  void On(const TimerEvent&) {
    // A bell may come a little early, as times are rounded; one armed for much later is still out.
    if (now_ + set_.tick >= armed_) armed_ = TimePoint::max();
  }

  void RunDue() {
    SubscribeIfDue();
    while (!paced_.empty() && paced_.begin()->first <= now_) {
      int index = paced_.begin()->second;
      paced_.erase(paced_.begin());
      Pump(index);
      PumpLater(index);
    }
    while (!due_.empty() && due_.top().first <= now_) {
      auto [when, id] = due_.top();
      due_.pop();
      auto at = requests_.find(id);
      if (at != requests_.end() && at->second.wake == when) Requeue(at->second);
    }
  }

  void ArmTimer() {
    TimePoint next = due_.empty() ? TimePoint::max() : due_.top().first;
    next = std::min(next, subscribe_at_);
    if (!paced_.empty()) next = std::min(next, paced_.begin()->first);
    if (next >= armed_ || next == TimePoint::max()) return;
    armed_ = next;
    out_->push_back(SetTimer{TimerMark{++mark_}, next - now_});
  }

  void Say(std::string text) { out_->push_back(Log{std::move(text)}); }
  std::uint64_t Random() { return random_ = Mix(random_); }

  Settings set_;
  std::uint64_t random_;
  TimePoint now_{}, began_{};
  std::vector<Action>* out_ = nullptr;

  std::vector<Server> servers_;
  std::vector<int> free_, ready_;  // places of servers that were let go; cache servers, sorted by id
  std::map<std::string, int, std::less<>> by_id_;  // sorted: the table's order
  int origin_ = -1;
  Table table_;  // of the ready servers
  bool stale_ = true;

  std::unordered_map<RequestId, Request> requests_;  // looked up, never walked
  std::map<Key, std::vector<RequestId>> fetches_;    // keys being fetched, and who waits for them
  std::vector<Place> heat_{1024};                    // of the heaviest keys
  Fading traffic_, taken_lately_, answered_;
  std::deque<TimePoint> taken_;                                          // requests in the allowance's window
  std::deque<std::pair<TimePoint, std::pair<RequestId, int>>> further_;  // and further attempts
  std::vector<Fading> tenants_{set_.tenants.size()};
  std::vector<int> tried_;
  std::uint64_t sequence_ = 0, mark_ = 0, tables_built_ = 0;
  std::vector<double> retry_budgets_ =
      std::vector<double>(tenants_.size() + 1, RetryMost());  // the last: unnamed
  std::map<int, Latency> zones_;

  using Due = std::pair<TimePoint, RequestId>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::set<std::pair<TimePoint, int>> paced_;  // servers to pump then
  TimePoint armed_ = TimePoint::max(), subscribe_at_ = TimePoint::max();
  Duration resubscribe_in_{};
};

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : brain_(std::make_unique<Brain>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

std::uint64_t Balancer::tables_built() const { return brain_->tables_built(); }
std::size_t Balancer::avoided() const { return brain_->avoided(); }
void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  brain_->Handle(now, event, actions);
}

}  // namespace peatbend

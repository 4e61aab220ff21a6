// The decisions of one Balancer: what all their parts know, and what more than one of them uses. Private to
// the module; the types, events and actions are in include/peatbend/balancer.h.
// A read goes to the server in its key's slot of the Maglev table; every exception takes it to an alternate
// (Candidate). Each part's functions and tunables are in the file that its heading names.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>

#include "peatbend/balancer.h"

namespace peatbend {

inline constexpr std::uint32_t kTableSize = 16381;               // slots; prime, >= 100 x the fleets expected
inline constexpr Duration kRateTime = std::chrono::seconds(10);  // own rate smoothed over
inline constexpr Duration kHeatTime = std::chrono::seconds(2);   // heat, and a tenant's excess, fade in
// In-flight bound over all proxies of a server: first, least (below 1 a proxy paces its sends); of the
// origin: first, least; of the origin for a proxy: first, least.
inline constexpr double kFirstLimit = 8, kLeastLimit = 4;
inline constexpr double kOriginFirst = 64, kOriginLeast = 10, kOriginFew = 6, kOriginFewLeast = 2;
// Usual latencies that a cache needs at least; the origin's latency over its base that cuts.
inline constexpr double kTimeNeeded = 1.5, kOriginSlow = 3;

inline std::uint64_t Mix(std::uint64_t x) {  // splitmix64's finaliser
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
inline double Unit(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }
inline Duration Nanos(double count) { return Duration(static_cast<Duration::rep>(count)); }
inline double Ns(Duration d) { return static_cast<double>(d.count()); }
inline Duration Scale(Duration d, double by) { return Nanos(Ns(d) * by); }

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : set_(settings), random_(Mix(seed)) {
    CheckSettings(set_);
  }

  std::uint64_t tables_built() const { return tables_built_; }
  std::size_t unavailable() const;
  bool origin_overloaded() const {
    return origin_ >= 0 && (!servers_[origin_].queue.empty() || servers_[origin_].limit <= OriginLeast());
  }
  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions);

 private:
  // Writes first, then worth, then age.
  using QueueKey = std::tuple<bool, double, std::uint64_t, RequestId>;
  using Waiting =
      std::vector<std::pair<TimePoint, RequestId>>;  // for another's fetch: deadlines and requests
  struct Fading {                                    // a count that fades exponentially over a time
    double count = 0;
    TimePoint at{};
    double Now(TimePoint now, Duration over) const {
      return over > Duration::zero() ? count * std::exp(-Ns(now - at) / Ns(over)) : 0;
    }
    void Add(TimePoint now, Duration over, double value) {
      count = Now(now, over) + value;
      at = now;
    }
    void Lower(TimePoint now, double value) {  // to the least value so far, which fades from now on
      count = at == TimePoint{} ? value : std::min(count, value);
      at = now;
    }
  };
  struct Server {
    std::string id;
    ServerState state = ServerState::kGone;
    bool origin = false;
    int cell = 0, zone = 0;
    double weight = 1;
    TimePoint started{}, replaced{};  // the newest told; when it followed another process
    // What this proxy has seen of it.
    int in_flight = 0;               // also what went to the process before and is still out
    double limit = 1, latency = 0;   // in-flight bound; smoothed, ns, 0: none yet
    double base = 0;                 // origin: the least that the latency has been, creeping up
    int answers = 0;                 // so many
    TimePoint cut{};                 // when the bound was last cut
    int strikes = 0, ejections = 0;  // failures in a row; in a row
    bool ejected = false, trial_out = false;
    TimePoint trial_at{};    // ejected: half-open from here on
    bool asked = false;      // its next outcome is told as a trial
    int believed = 0;        // times that another's trial has brought it back, since it last answered here
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
  struct Request {
    RequestId id{};
    std::optional<Key> key;
    bool write = false;
    int cls = 0;
    std::size_t tenant = 0;
    double value = 1;
    TimePoint arrived{}, deadline{};
    Duration come_back{};    // over its ration: when it may be within it
    TimePoint wake{};        // held: looked at again at this time
    int held_for = -1;       // held: for room at this server, or for another's fetch from it
    bool waited = false;     // held long enough
    bool free_send = false;  // missed: its next send is outside the allowance
    std::vector<Attempt> attempts;
    std::vector<int> avoid;                    // servers that have failed it
    bool streaming = false, fetching = false;  // it is the one that fetches its key
    std::uint64_t queued = 0;
  };
  // The median latency of a zone's servers, and what it is without queues: the least that it has been,
  // creeping up. Zone by zone, for the way to another one is no sign of load: measured by the near servers,
  // each far one would look overdriven for good.
  struct Latency {
    double usual = 0, unloaded = 0;
    TimePoint at{};
  };

  // ---- Membership (membership.cpp) ---------------------------------------------------------------

  void On(const MembershipEvent& event);
  void Learn(const ServerEntry& entry);
  void KeepSubscribed(Scope scope);
  void Forget() {
    std::erase_if(by_id_, [this](const auto& entry) {
      const Server& server = servers_[entry.second];
      bool out = server.state == ServerState::kGone && server.in_flight == 0 && server.queue.empty();
      if (out) free_.push_back(entry.second);
      return out;
    });
  }

  // Should no answer come, once more after the time discovery may be silent for.
  void SubscribeIfDue() {
    if (now_ < subscribe_at_) return;
    out_->emplace_back(Subscribe{});
    asked_at_ = now_;
    subscribe_at_ =
        set_.subscribe_interval > Duration::zero() ? now_ + set_.subscribe_interval : TimePoint::max();
  }

  // ---- The Maglev table (maglev_table.cpp) --------------------------------------------------------------

  void RefreshTable();

  // ---- Server selection (server_selection.cpp)
  // -----------------------------------------------------------------------

  int Candidate(std::uint64_t hash, std::size_t n) const;
  double Heat(const Request& request, double count);
  void ToCache(Request& request);
  bool Usable(const Request& request, int index) const;
  double Rate() const { return std::max(0.05, taken_lately_.Now(now_, kRateTime) / Seen()); }
  double Seen() const { return std::min(Ns(kRateTime), Ns(now_ - began_) + 1e9) / 1e9; }
  // Whether this proxy is one of so many that it sees a server too seldom to judge it by its own.
  bool Sparse() const { return set_.routers > kFirstLimit; }

  // ---- Health, cold servers and in-flight bounds (health.cpp) ------------------------------------

  void Strike(Server& server, int strikes, bool trial);
  bool MayEject(double most) const;
  void Eject(Server& server);
  void On(const TrialEvent& event);
  double ColdSends(const Server& server) const;
  bool ColdTurn(const Server& server, double due, double saved) const;
  void Observe(Server& server, const OutcomeEvent& event);
  void Cut(Server& server, double by);
  void RefreshLatency(const Server& of);
  double Ready() const { return static_cast<double>(ready_.size()); }
  double FirstLimit() const { return std::max(1.0, kFirstLimit / set_.routers); }
  double OriginLeast() const { return std::min(kOriginFewLeast, kOriginLeast / set_.routers); }
  double LeastLimit() const { return std::min(1.0, kLeastLimit / set_.routers); }

  // The part of its capacity that a cache server has for certain: the worst-case warm-up, a straight line
  // from the start capacity to warm_after. It is the same at every proxy. The origin has no warm-up.
  double Warmth(const Server& server) const {
    bool long_ago = server.started == TimePoint{} || now_ - server.started >= set_.warm_after;
    if (server.origin || long_ago) return 1;
    double share = std::max(0.0, Ns(now_ - server.started) / Ns(set_.warm_after));
    return set_.start_capacity + (1 - set_.start_capacity) * share;
  }

  bool HasRoom(const Server& server) const {
    return server.in_flight < std::max(1.0, server.limit * Warmth(server)) && now_ >= server.not_before;
  }

  const Latency& ZoneOf(const Server& server) const { return zones_.at(server.zone); }

  // ---- Requests held for a server (queueing.cpp) --------------------------------------------------

  TimePoint HeldUntil(const Request& request, const Server& server) const;
  void Enqueue(Request& request, int index);
  void Pump(int index);
  void Requeue(Request& request);
  void PumpLater(int index) {
    const Server& server = servers_[index];
    if (server.not_before > now_ && !server.queue.empty()) paced_.insert({server.not_before, index});
  }

  QueueKey Rank(const Request& request) const {
    return {!request.write, -request.value, request.queued, request.id};
  }

  void Unqueue(Request& request) {
    if (request.held_for >= 0) servers_[request.held_for].queue.erase(Rank(request));
    request.held_for = -1;
    request.wake = TimePoint{};
  }

  void Hold(Request& request, TimePoint when) {
    request.wake = std::max(when, now_);
    due_.push({request.wake, request.id});
  }

  // ---- Origin (origin.cpp) -----------------------------------------------------------------------

  void ObserveOrigin(Server& origin, bool was_full);
  void AskOrigin(Request& request);
  void JoinFetch(Request& request, Waiting& waiting);
  void EndFetch(Request& request, bool came);

  // ---- What may be sent and said (send_rules.cpp) ------------------------------------------------------

  void PruneAllowance();
  bool Allowed(const Request& request) const;
  TimePoint LatestStart(const Request& request) const;
  bool MayGoOn(const Request& request) const;
  bool LegalSend(const Request& request, const Server& server) const;
  bool LegalRefuse(const Request& request) const;

  // ---- Attempts (attempts.cpp) -------------------------------------------------------------------

  void On(const RequestEvent& event);
  void On(const OutcomeEvent& event);
  double RetryMost() const;
  double Value(const RequestEvent& event, std::size_t tenant);
  void SendTo(Request& request, int index);
  void End(Request& request);
  void Settle(Request& request, const OutcomeEvent& event, int index);
  void ReleaseIdle(const Server& server);
  void Drop(Request& request, bool came) {
    Unqueue(request);
    auto node = requests_.extract(RequestId{request.id});
    EndFetch(node.mapped(), came);
  }

  void On(const StreamStartEvent& event) {
    auto at = requests_.find(event.id);
    if (at == requests_.end()) return;
    at->second.streaming = true;
  }

  void On(const ClientGoneEvent& event) {
    auto at = requests_.find(event.id);
    if (at != requests_.end()) Drop(at->second, false);
  }

  // Takes one repeat off its tenant's budget. Guards against storms of repeats, and a tenant whose requests
  // fail against none but itself.
  bool Repeat(const Request& request) {
    double& budget = retry_budgets_[request.tenant];
    return budget >= 1 && (budget -= 1, true);
  }

  // ---- Time (balancer.cpp) ------------------------------------------------------------------------

  void RunDue();
  void ArmTimer();
  void On(const TimerEvent&) {
    // A bell may come a little early, as times are rounded; one armed for much later is still out.
    if (now_ + set_.tick >= armed_) armed_ = TimePoint::max();
  }

  void TellTrial(Server& server, bool good) {
    server.asked = false;
    if (set_.shared_trials) out_->emplace_back(ReportTrial{ServerId{server.id}, good});
  }
  void Say(std::string text) { out_->emplace_back(Log{std::move(text)}); }
  std::uint64_t Random() { return random_ = Mix(random_); }

  Settings set_;
  std::uint64_t random_;
  std::uint64_t place_ =
      set_.router_index < 0 ? Mix(~random_) : static_cast<std::uint64_t>(set_.router_index);
  TimePoint now_{}, began_{};
  std::vector<Action>* out_ = nullptr;

  std::vector<Server> servers_;
  std::vector<int> free_, ready_;  // places of servers that were let go; cache servers, sorted by id
  std::map<std::string, int, std::less<>> by_id_;  // sorted: the table's order
  int origin_ = -1, asked_ = -1;                   // asked_: its trial is whatever comes next that may be
  std::vector<std::uint16_t> table_;               // of the ready servers
  bool stale_ = true, lost_ = false;               // the table; discovery, as last heard of

  std::unordered_map<RequestId, Request> requests_;           // looked up, never walked
  std::map<Key, Waiting> fetches_;                            // keys being fetched, and who waits for them
  std::vector<std::pair<std::uint32_t, Fading>> heat_{1024};  // of the heaviest keys
  Fading traffic_, taken_lately_, answered_;
  std::vector<Fading> quickest_{set_.classes.size()};  // answer of a class, ns; fades while none comes
  std::deque<TimePoint> taken_;                        // requests in the allowance's window
  std::deque<std::pair<TimePoint, std::pair<RequestId, int>>> further_;  // and further attempts
  std::vector<Fading> tenants_{set_.tenants.size()};
  std::vector<int> tried_;
  std::uint64_t sequence_ = 0, mark_ = 0, tables_built_ = 0;
  std::vector<double> retry_budgets_ = std::vector(tenants_.size() + 1, RetryMost());  // last: unnamed
  std::map<int, Latency> zones_;

  using Due = std::pair<TimePoint, RequestId>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  std::set<std::pair<TimePoint, int>> paced_;  // servers to pump then
  TimePoint armed_ = TimePoint::max(), subscribe_at_ = TimePoint::max(), asked_at_{};
  Duration pause_{};  // between calls of discovery that fail
};

}  // namespace peatbend

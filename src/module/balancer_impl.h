// Implementation of Balancer: its state, and the functions that more than one of its source files use.
// Private to the module; the public types, events and actions are in include/peatbend/balancer.h. A read goes
// to the server in its key's slot of the Maglev table; hot keys, cold, full and failed servers make it go to
// an alternate (CandidateServer). Each section of the class is implemented in the file that its heading
// names, with the constants that it uses.
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

// Slots of the Maglev table: prime, and at least 100 per server of the largest fleet expected.
inline constexpr std::uint32_t kTableSize = 16381;
// Time constants over which a router's own rates, and the heat of keys and the load of tenants, decay.
inline constexpr Duration kRateTimeConstant = std::chrono::seconds(10);
inline constexpr Duration kHeatTimeConstant = std::chrono::seconds(2);
// In-flight limits of a cache server, over all routers. A router whose share is below 1 paces its sends.
inline constexpr double kInitialLimit = 8, kMinLimit = 4;
// In-flight limits of the origin, over all routers, and the most that each of these may be for one router.
inline constexpr double kOriginInitialLimit = 64, kOriginMinLimit = 10;
inline constexpr double kOriginMaxInitialPerRouter = 6, kOriginMaxMinPerRouter = 2;
// A cache server needs at least this multiple of its zone's median latency to answer.
inline constexpr double kCacheLatencyMargin = 1.5;
// The origin is overloaded when its latency exceeds this multiple of its base latency.
inline constexpr double kOriginSlowRatio = 3;

// The finaliser of splitmix64.
inline std::uint64_t MixBits(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// Maps a hash to [0, 1).
inline double UnitInterval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1.0p-53; }
inline Duration FromNanoseconds(double count) { return Duration(static_cast<Duration::rep>(count)); }
inline double ToNanoseconds(Duration d) { return static_cast<double>(d.count()); }
inline Duration Scale(Duration d, double by) { return FromNanoseconds(ToNanoseconds(d) * by); }

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : settings_(settings), random_state_(MixBits(seed)) {
    CheckSettings(settings_);
  }

  std::uint64_t tables_built() const { return tables_built_; }
  std::size_t unavailable() const;
  bool origin_overloaded() const {
    return origin_index_ >= 0 && (!servers_[origin_index_].queue.empty() ||
                                  servers_[origin_index_].in_flight_limit <= OriginMinLimit());
  }
  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions);

 private:
  // Order in a queue: writes first, then by priority, then by arrival in the queue.
  using QueueKey = std::tuple<bool, double, std::uint64_t, RequestId>;
  // Requests that wait for the fetch of another request, with their deadlines.
  using FetchWaiters = std::vector<std::pair<TimePoint, RequestId>>;
  // A value that decays exponentially over time.
  struct DecayingValue {
    double value = 0;
    TimePoint updated_at{};
    double ValueAt(TimePoint now, Duration time_constant) const {
      return time_constant > Duration::zero()
                 ? value * std::exp(-ToNanoseconds(now - updated_at) / ToNanoseconds(time_constant))
                 : 0;
    }
    void Add(TimePoint now, Duration time_constant, double amount) {
      value = ValueAt(now, time_constant) + amount;
      updated_at = now;
    }
    // Keeps the minimum of the values observed, which decays from now on.
    void UpdateMin(TimePoint now, double observed) {
      value = updated_at == TimePoint{} ? observed : std::min(value, observed);
      updated_at = now;
    }
  };
  struct Server {
    std::string id;
    ServerState state = ServerState::kGone;
    bool origin = false;
    int cell = 0, zone = 0;
    double weight = 1;
    TimePoint started{};     // latest start that was announced
    TimePoint warms_from{};  // that start by this router's clock
    TimePoint replaced{};    // when this process was announced, if it replaced another one
    // What this router has observed.
    int in_flight = 0;  // includes attempts that went to the previous process and have not ended
    double in_flight_limit = 1;
    double mean_latency = 0;  // smoothed, ns; 0: no answer yet
    double base_latency = 0;  // origin only: the least mean latency, ns, drifting up slowly
    int answer_count = 0;     // answers in mean_latency
    TimePoint last_cut{};     // when the in-flight limit was last reduced
    int consecutive_failures = 0, consecutive_ejections = 0;
    bool ejected = false, trial_in_flight = false;
    TimePoint trial_at{};          // while ejected: when a trial (half-open) may be sent
    bool trial_requested = false;  // the next outcome is reported as that of a trial
    int remote_recoveries =
        0;                   // times it was readmitted by other routers' trials since it last answered here
    TimePoint not_before{};  // nothing is sent before this: the server was full, or its sends are paced
    double cold_tokens = 0;  // while cold: sends that are allowed, as of cold_tokens_at
    TimePoint cold_tokens_at{};
    std::set<QueueKey> queue{};  // requests that wait for room at this server, in the order they will be sent
  };
  struct Attempt {
    int zone = 0, cell = 0;
    TimePoint sent{};
    bool in_flight = true, may_have_run = true;
    bool reached_server = true;   // false: it ended before it reached the server
    std::string answer_waits_at;  // server at which its answer waits for this router's memory; empty: none
  };
  struct Request {
    RequestId id{};
    std::optional<Key> key;
    bool write = false;
    int cls = 0;
    std::size_t tenant = 0;
    double priority = 1;
    TimePoint arrived{}, deadline{};
    Duration retry_after{};   // over its quota: when a retry may be within it
    TimePoint wake_at{};      // while waiting: when the wait ends
    int waiting_server = -1;  // while waiting: server whose room, or whose answer to a fetch, is awaited
    bool has_waited = false;  // it has waited for its own server and may go to an alternate
    bool next_send_exempt = false;  // after a miss the next send does not count as an extra attempt
    std::vector<Attempt> attempts;
    std::vector<int> failed_servers;
    bool streaming = false;
    bool is_fetching = false;  // it fetches its key from the origin for all that wait for it
    std::uint64_t queue_number = 0;
  };
  // Median of the mean latencies of a zone's servers, ns, and the same without queues: the least median so
  // far, drifting up slowly. Kept for each zone, since the distance to a zone is no sign of load: compared
  // with near servers, each far one would look overloaded forever.
  struct ZoneLatency {
    double median = 0, unloaded = 0;
    TimePoint updated_at{};
  };

  // ---- Membership (membership.cpp) ---------------------------------------------------------------

  void On(const MembershipEvent& event);
  void ApplyEntry(const ServerEntry& entry);
  TimePoint WarmsFrom(TimePoint started) const;
  void UpdateSubscription(Scope scope);
  void RemoveGoneServers() {
    std::erase_if(by_id_, [this](const auto& entry) {
      const Server& server = servers_[entry.second];
      bool out = server.state == ServerState::kGone && server.in_flight == 0 && server.queue.empty();
      if (out) free_slots_.push_back(entry.second);
      return out;
    });
  }

  // Subscribes, and again after subscribe_interval if no answer arrives.
  void SubscribeIfDue() {
    if (now_ < subscribe_at_) return;
    actions_->emplace_back(Subscribe{});
    subscribed_at_ = now_;
    subscribe_at_ = settings_.subscribe_interval > Duration::zero() ? now_ + settings_.subscribe_interval
                                                                    : TimePoint::max();
  }

  // ---- The Maglev table (maglev_table.cpp) -------------------------------------------------------

  void RefreshTable();

  // ---- Server selection (server_selection.cpp) ---------------------------------------------------

  int CandidateServer(std::uint64_t hash, std::size_t n) const;
  double UpdateHeat(const Request& request, double count);
  void RouteToCache(Request& request);
  bool IsUsable(const Request& request, int index) const;
  // Requests per second at this router.
  double RequestRate() const {
    return std::max(0.05, recent_requests_.ValueAt(now_, kRateTimeConstant) / ObservedSeconds());
  }
  // The time that decaying counts cover: less than their time constant soon after the start.
  double ObservedSeconds() const {
    return std::min(ToNanoseconds(kRateTimeConstant), ToNanoseconds(now_ - start_time_) + 1e9) / 1e9;
  }
  // Whether there are so many routers that this one sends too little to a server to judge its load.
  bool SeesFewRequests() const { return settings_.routers > kInitialLimit; }

  // ---- Health, cold servers and in-flight limits (health.cpp) ------------------------------------

  void RecordFailures(Server& server, int failures, bool trial);
  bool MayEject(double max_share) const;
  void Eject(Server& server);
  void On(const TrialEvent& event);
  double ColdTokens(const Server& server) const;
  bool MayUseColdServer(const Server& server, double due_sends, double saved_sends) const;
  void ObserveOutcome(Server& server, const OutcomeEvent& event);
  void ReduceLimit(Server& server, double factor);
  void UpdateZoneLatency(const Server& of);
  double ReadyServers() const { return static_cast<double>(ready_caches_.size()); }
  double InitialLimit() const { return std::max(1.0, kInitialLimit / settings_.routers); }
  double OriginMinLimit() const {
    return std::min(kOriginMaxMinPerRouter, kOriginMinLimit / settings_.routers);
  }
  double MinLimit() const { return std::min(1.0, kMinLimit / settings_.routers); }

  // The fraction of its capacity that a cache server has at least: the slowest warm-up allowed, linear from
  // start_capacity to 1 at warm_after. The same at every router. The origin has no warm-up.
  double WarmFraction(const Server& server) const {
    bool long_ago = server.started == TimePoint{} || now_ - server.warms_from >= settings_.warm_after;
    if (server.origin || long_ago) return 1;
    double share =
        std::max(0.0, ToNanoseconds(now_ - server.warms_from) / ToNanoseconds(settings_.warm_after));
    return settings_.start_capacity + (1 - settings_.start_capacity) * share;
  }

  bool HasRoom(const Server& server) const {
    return server.in_flight < std::max(1.0, server.in_flight_limit * WarmFraction(server)) &&
           now_ >= server.not_before;
  }

  const ZoneLatency& ZoneLatencyOf(const Server& server) const { return zone_latency_.at(server.zone); }

  // ---- Requests that wait for a server (queueing.cpp) --------------------------------------------

  TimePoint WaitDeadline(const Request& request, const Server& server) const;
  void Enqueue(Request& request, int index);
  void SendQueued(int index);
  void StopWaiting(Request& request);
  void On(const AnswerWaitEvent& event);
  void EndAnswerWait(Attempt& attempt);
  void StopAnswerWait(Request& request, std::size_t attempt) {
    if (attempt >= request.attempts.size() || request.attempts[attempt].answer_waits_at.empty()) return;
    EndAnswerWait(request.attempts[attempt]);
    request.wake_at = TimePoint{};
  }
  void ScheduleQueue(int index) {
    const Server& server = servers_[index];
    if (server.not_before > now_ && !server.queue.empty()) paced_servers_.insert({server.not_before, index});
  }

  QueueKey QueueKeyOf(const Request& request) const {
    return {!request.write, -request.priority, request.queue_number, request.id};
  }

  void StopQueueing(Request& request) {
    if (request.waiting_server >= 0) servers_[request.waiting_server].queue.erase(QueueKeyOf(request));
    request.waiting_server = -1;
    request.wake_at = TimePoint{};
  }

  void WakeAt(Request& request, TimePoint when) {
    request.wake_at = std::max(when, now_);
    wake_times_.push({request.wake_at, request.id});
  }

  // ---- Origin (origin.cpp) -----------------------------------------------------------------------

  void UpdateOriginLimit(Server& origin, bool was_full);
  void RouteToOrigin(Request& request);
  void WaitForFetch(Request& request, FetchWaiters& waiters);
  void FinishFetch(Request& request, bool succeeded);

  // ---- Rules for sends and rejections (send_rules.cpp) -------------------------------------------

  void PruneAttemptWindow();
  bool WithinAttemptLimit(const Request& request) const;
  TimePoint LatestDelivery(const Request& request) const;
  // The latest time at which the next attempt may begin.
  TimePoint LatestStart(const Request& request) const {
    return std::min(request.deadline, LatestDelivery(request));
  }
  bool MaySendAnother(const Request& request) const;
  bool MaySendTo(const Request& request, const Server& server) const;
  bool MayReject(const Request& request) const;

  // ---- Attempts (attempts.cpp) -------------------------------------------------------------------

  void On(const RequestEvent& event);
  void On(const OutcomeEvent& event);
  double MaxRetryBudget() const;
  double ComputePriority(const RequestEvent& event, std::size_t tenant);
  void SendTo(Request& request, int index);
  void RejectOrFail(Request& request);
  void OnAttemptEnd(Request& request, const OutcomeEvent& event, int index);
  void CloseIdle(const Server& server);
  void Forget(Request& request, bool succeeded) {
    StopQueueing(request);
    for (Attempt& attempt : request.attempts) EndAnswerWait(attempt);
    auto node = requests_.extract(RequestId{request.id});
    FinishFetch(node.mapped(), succeeded);
  }

  void On(const StreamStartEvent& event) {
    auto at = requests_.find(event.id);
    if (at == requests_.end()) return;
    at->second.streaming = true;
  }

  void On(const ClientGoneEvent& event) {
    auto at = requests_.find(event.id);
    if (at != requests_.end()) Forget(at->second, false);
  }

  // Takes one retry from the budget of the request's tenant, if there is one. Limits retry storms; separate
  // budgets keep a tenant whose requests fail from using up the retries of others.
  bool TakeRetryToken(const Request& request) {
    double& budget = retry_budgets_[request.tenant];
    return budget >= 1 && (budget -= 1, true);
  }

  // ---- Time (balancer.cpp) -----------------------------------------------------------------------

  void ProcessDue();
  void ArmTimer();
  void On(const TimerEvent&) {
    // Times are rounded, so a timer may fire slightly early. A timer armed for much later is still pending.
    if (now_ + settings_.tick >= timer_at_) timer_at_ = TimePoint::max();
  }

  void SendTrialReport(Server& server, bool healthy) {
    server.trial_requested = false;
    if (settings_.shared_trials) actions_->emplace_back(ReportTrial{ServerId{server.id}, healthy});
  }
  void AddLog(std::string text) { actions_->emplace_back(Log{std::move(text)}); }
  std::uint64_t Random() { return random_state_ = MixBits(random_state_); }

  Settings settings_;
  std::uint64_t random_state_;
  std::uint64_t router_position_ = settings_.router_index < 0
                                       ? MixBits(~random_state_)
                                       : static_cast<std::uint64_t>(settings_.router_index);
  TimePoint now_{}, start_time_{};
  std::vector<Action>* actions_ = nullptr;

  std::vector<Server> servers_;
  std::vector<int> free_slots_;                    // unused entries of servers_
  std::vector<int> ready_caches_;                  // ready cache servers, sorted by id
  std::map<std::string, int, std::less<>> by_id_;  // sorted: defines the order of the table
  int origin_index_ = -1;
  int trial_server_ = -1;             // the next eligible request is its trial
  std::vector<std::uint16_t> table_;  // slot -> index of a ready cache server
  bool table_stale_ = true;
  bool discovery_lost_ = false;   // discovery failed when last asked
  bool discovery_heard_ = false;  // a list has come from it, not from before the start

  std::unordered_map<RequestId, Request> requests_;  // never iterated: its order is unspecified
  std::map<Key, FetchWaiters> fetches_;  // keys being fetched, and the requests that wait for them
  std::vector<std::pair<std::uint32_t, DecayingValue>> heat_{1024};  // by key hash; the heaviest keys
  DecayingValue traffic_, recent_requests_, recent_answers_;
  // Per class: shortest time in which an answer came, ns; decays while none comes.
  std::vector<DecayingValue> fastest_answer_{settings_.classes.size()};
  // Within attempt_window: arrivals of requests, and attempts beyond each request's first.
  std::deque<TimePoint> request_times_;
  std::deque<std::pair<TimePoint, std::pair<RequestId, int>>> extra_attempts_;
  std::vector<DecayingValue> tenant_load_{settings_.tenants.size()};
  std::vector<int> candidates_;
  std::uint64_t queue_sequence_ = 0, last_timer_id_ = 0, tables_built_ = 0;
  // By tenant; the last one is for requests without a known tenant.
  std::vector<double> retry_budgets_ = std::vector(tenant_load_.size() + 1, MaxRetryBudget());
  std::map<int, ZoneLatency> zone_latency_;

  using WakeTime = std::pair<TimePoint, RequestId>;
  std::priority_queue<WakeTime, std::vector<WakeTime>, std::greater<>> wake_times_;
  std::set<std::pair<TimePoint, int>> paced_servers_;  // when to send from the queue of which server
  TimePoint timer_at_ = TimePoint::max(), subscribe_at_ = TimePoint::max(), subscribed_at_{};
  Duration subscribe_backoff_{};  // between failing calls to discovery
};

}  // namespace peatbend

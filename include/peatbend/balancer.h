// Routing decisions of a router that spreads keys over cache servers in front of a slow origin.
//
// This header is the whole public interface of the library. A router creates one Balancer from its
// start-up settings, passes it every event in order, and carries out the appended actions in order.
//
// Ownership: the Balancer copies what it keeps. Spans and views in an event only need to be valid
//            during the call. Actions own their data.
// Threads:   a Balancer may be called by one thread at a time. Two Balancers share no state.
// Time:      the caller passes the current time with each event; it must never go back. The Balancer
//            reads no clock: identical settings, seed and events give identical actions.
// Errors:    std::invalid_argument, naming the field, for invalid settings or requests.
// Contract:  each Send must be answered by exactly one OutcomeEvent, each SetTimer by one TimerEvent.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace peatbend {

using Duration = std::chrono::nanoseconds;

// The caller's clock: arbitrary epoch, never goes back.
struct CallerClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CallerClock>;
  static constexpr bool is_steady = true;
};
using TimePoint = CallerClock::time_point;

enum class RequestId : std::uint32_t {};
enum class TimerId : std::uint64_t {};
enum class Key : std::uint64_t {};
struct ServerId {
  std::string name;
  auto operator<=>(const ServerId&) const = default;
};

// ---- Settings -----------------------------------------------------------------------------------

// Whether a request may be repeated after an attempt that may have run: always (kSafe); within the
// deduplication window and group, as it carries an idempotency key (kKeyed); never (kUnsafe).
enum class Effect { kSafe, kKeyed, kUnsafe };
// The servers among which a keyed request is deduplicated: all of them, those of one zone, or those of one
// cell.
enum class DedupGroup { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;
  Duration aim{};       // an answer within this time earns the full worth
  Duration deadline{};  // how long the client waits in total
  Effect effect = Effect::kSafe;
  DedupGroup dedup_group = DedupGroup::kAll;  // keyed only: the servers that discard repeats of a request
  Duration dedup_window{};                    // keyed only: how long after the first attempt they do so
  double worth = 1;
  double late_share = 0;  // fraction of the worth earned between aim and deadline
  bool stream = false;    // answers are streamed and may outlast the deadline
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double share = 0;
  double allowance_per_s = 0;  // requests per second over all routers; 0: not stated
  bool operator==(const TenantSettings&) const = default;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  bool must_subscribe = false;  // discovery sends updates only to subscribers
  bool cache_aside = false;     // cache servers answer MISS, and the router fetches from the origin
  int origin_kind = -1;         // with cache_aside: the kind of the origin's entry
  int routers = 1;              // number of routers in this tier
  int router_index = -1;        // position of this router among them, from 0; -1: unknown
  int zone = 0;                 // zone of this router
  double over_share_worth = 1;  // factor on the worth of a request beyond its tenant's share
  bool worth_by_work = false;   // worth is counted per unit of work
  int try_limit = 1;            // attempts per request
  // The fleet coordinates the trials of ejected servers, by ReportTrial and TrialEvent.
  bool shared_trials = false;
  bool may_cancel = false;            // attempts in flight may be cancelled
  bool concurrent_attempts = false;   // a safe request may have two attempts in flight
  bool may_send_retry_after = false;  // a rejection may tell the client when to retry
  Duration max_retry_after{};         // longest time that a rejection may tell
  Duration answer_grace{};            // a final answer is valid this long after the deadline
  // With must_subscribe: how long the held list counts as current; a new subscription must begin by then.
  Duration subscribe_interval{};
  double start_capacity = 1;  // fraction of its capacity that a server has at least when it starts
  Duration warm_after{};      // time from its start until a server has its full capacity
  Duration drain_grace{};     // attempts may still reach a server this long after its drain is announced
  // A cold server fails when it gets more than this multiple of its capacity for this long.
  double overload_multiple = 0;
  Duration overload_duration{};
  // Limit on attempts beyond the first of each request: within any attempt_window at most free_resends plus
  // extra_per_request times the requests that arrived in it. Without a window there is no such limit.
  std::optional<Duration> attempt_window;
  std::optional<double> free_resends, extra_per_request;
  double connection_price = 0;            // cost of a mean of 100 open connections per server
  double handshake_price = 0;             // cost of one new connection per request
  Duration keepalive{};                   // idle connections close after this; zero: unknown
  Duration tick{};                        // shortest time between batches of events
  Duration dial_timeout{};                // a connection that takes longer to open has failed; zero: unknown
  std::vector<std::string> zones, kinds;  // names, by the numbers used in server entries
  bool operator==(const Settings&) const = default;
};

// Sets the field named by a path such as "classes.0.deadline". Paths and units are those of the simulator's
// first message and of the router's configuration. Unknown paths are ignored. Throws std::invalid_argument,
// naming the path, if the text is not a valid value.
void SetByPath(Settings& settings, std::string_view path, std::string_view text);

// Throws std::invalid_argument, naming the field, if a setting is invalid.
void CheckSettings(const Settings& settings);

// ---- Events -------------------------------------------------------------------------------------

// State of a server, as discovery lists it.
enum class ServerState { kGone = 0, kReady = 1, kDraining = 2 };
// What a membership event carries: changes only, the full list, a full list cached from an earlier run, or
// nothing because discovery could not be reached.
enum class Scope { kDelta = 0, kFull = 1, kCached = 2, kFailed = 3 };

struct ServerEntry {
  ServerId id;
  ServerState state = ServerState::kReady;
  int kind = 0;
  int cell = 0;
  int zone = 0;
  TimePoint started{};  // start of its process; zero: long ago
  double weight = 1;
};

struct MembershipEvent {
  Scope scope = Scope::kFull;
  std::span<const ServerEntry> entries;
};

// What the fleet's quotas decide on a request: within the quota; over it, served at a lower priority; over
// it, rejected.
enum class QuotaVerdict { kWithin, kDeprioritize, kReject };

struct RequestEvent {
  RequestId id{};
  std::optional<Key> key;
  int tenant = 0;
  int cls = 0;
  bool write = false;
  bool retry = false;
  Duration work_hint{};  // work that the request is expected to cost; zero: unknown
  Duration remaining{};  // until the client gives up this try
  QuotaVerdict quota_verdict = QuotaVerdict::kWithin;
  Duration retry_after{};  // kReject: when a retry may be within the quota
  bool no_memory = false;  // the router has none for the request
};

// How an attempt ended: answered; answered with an error; turned away by a server at capacity; timed out; no
// connection; connection lost; cancelled; never sent; not in the cache.
enum class Result { kGood, kBad, kFull, kLate, kNoConn, kReset, kCancelled, kNeverSent, kMiss };
// What a cache server reports of its lookup. kMissFetching: a miss that the server is already fetching.
enum class CacheStatus { kNone = 0, kHit = 1, kMiss = 2, kMissFetching = 3 };

struct LoadReport {
  std::optional<double> in_flight, queued, utilisation, service_ms, per_second, errors_per_second;
};

// Parses the load report of a server: "depth:1,mean_ms:4.5" on the simulator's wire, "depth=1" on sockets.
// Unknown names and malformed values are ignored.
LoadReport ParseLoadReport(std::string_view text);

struct OutcomeEvent {
  RequestId id{};
  int attempt = 0;
  std::string_view server;
  Result result = Result::kGood;
  CacheStatus cache_status = CacheStatus::kNone;
  Duration elapsed{};
  bool done = false;  // the request has ended with this attempt
  LoadReport load;
};

// The answer has begun to stream to the client, so the request cannot be sent again.
struct StreamStartEvent {
  RequestId id{};
  int attempt = 0;
};

// The router has no memory for the rest of the attempt's answer, which waits at the server (`waits`), or has
// it again. Must come before the attempt's outcome.
struct AnswerWaitEvent {
  RequestId id{};
  int attempt = 0;
  std::string_view server;
  bool waits = true;
};

// The client closed its connection, or its deadline passed.
struct ClientGoneEvent {
  RequestId id{};
};

struct TimerEvent {
  TimerId id{};
};

// With shared_trials: what this router shall do with a server, by the decision of the fleet.
enum class TrialDirective {
  kTry,      // send the next eligible request to it as a trial and report the result
  kWait,     // another router runs the trial
  kEject,    // send nothing to it, whatever this router has observed
  kReadmit,  // send to it again: it has recovered, or the fleet leaves its trials to this router
};
struct TrialEvent {
  ServerId server;
  TrialDirective directive = TrialDirective::kTry;
};

using Event = std::variant<MembershipEvent, RequestEvent, OutcomeEvent, StreamStartEvent, AnswerWaitEvent,
                           ClientGoneEvent, TimerEvent, TrialEvent>;

// ---- Actions ------------------------------------------------------------------------------------

struct Send {
  RequestId id{};
  ServerId server;
  Duration give_up_after{};  // timeout of the attempt
  // The first byte must not be written later than this after now. An attempt that could not start by then is
  // dropped, and its outcome is kNeverSent.
  Duration begin_within = Duration::max();
  // The server must have received the last byte at most this long after now. An attempt that it has not
  // received whole by then is aborted, so that no more of it is sent, and its outcome is kCancelled. max():
  // no such limit.
  Duration deliver_within = Duration::max();
};
// Final answer. Tells the client that a retry is safe.
struct Reject {
  RequestId id{};
  Duration backoff{};  // how long the client should wait before a retry; zero: not told
};
// Final answer. The request may or may not have run.
struct Fail {
  RequestId id{};
};
struct Cancel {
  RequestId id{};
  int attempt = 0;
};
struct SetTimer {
  TimerId id{};
  Duration delay{};
};
struct Subscribe {};
struct CloseIdleConnections {
  ServerId server;
};
struct Log {
  std::string text;
};
// With shared_trials: this router has ejected the server, or the trial that it was told to run has ended.
struct ReportTrial {
  ServerId server;
  bool healthy = false;
};

using Action =
    std::variant<Send, Reject, Fail, Cancel, SetTimer, Subscribe, CloseIdleConnections, Log, ReportTrial>;

// ---- Answers of pipelined commands --------------------------------------------------------------

// A client's answers come in the order of its commands. A value that breaks off after its first byte was
// written can be told as broken only by the end of the connection, with which all answers behind it are lost.

// A large value of which some has arrived and nothing was passed on.
struct LargeValueFacts {
  std::size_t commands_behind = 0;  // commands of its client that were read behind its own
  bool next = true;                 // it would be written to the client at once
  Duration waited{};                // that its client has waited for this answer alone
  Duration limit{};                 // that its client waits for an answer in total
};
enum class ValueDelivery {
  kPassOn,       // write it as it arrives
  kHold,         // read it on as far as there is memory, and write it once it is whole
  kLeaveUnread,  // read no more of it
};
struct ValueDecision {
  ValueDelivery delivery = ValueDelivery::kPassOn;
  Duration decide_again = Duration::max();  // after this time at the latest
};
ValueDecision DecideDelivery(const LargeValueFacts& facts);

struct PipelineFacts {
  bool value_unfinished = false;  // an answer that is owed is a large value that is not whole
};
enum class CommandDecision { kForward, kLeaveUnread };
// What becomes of the next command of a client.
CommandDecision DecideCommand(const PipelineFacts& facts);

// A client's value has begun to arrive, and there is no memory for it.
struct RoomFacts {
  Duration waited{};  // that it has waited for memory
  Duration limit{};   // that its client waits for an answer in total
  bool ends = false;  // its connection is about to end
};
enum class RoomDecision {
  kWait,    // leave the value unread until there is memory
  kRefuse,  // answer now, and drop the value as it comes
};
RoomDecision DecideRoom(const RoomFacts& facts);
// After which a request that was refused for want of memory may be sent again.
inline constexpr Duration kRoomRetryAfter = std::chrono::milliseconds(100);

// ---- The balancer -------------------------------------------------------------------------------

// Builds a Maglev table: slot -> index into sorted_ids. slots_per_round: how many slots each server claims in
// a round of the fill; empty: one each. Exposed for tests and tools.
std::vector<std::uint16_t> BuildMaglevTable(std::span<const std::string_view> sorted_ids,
                                            std::span<const int> slots_per_round = {});

class Balancer {
 public:
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Processes one event and appends the actions to carry out. Throws std::invalid_argument for a RequestEvent
  // with an unknown class, a negative remaining time or an id that is in use.
  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions);
  // Number of Maglev tables built so far; shows what changes of the server list cost.
  std::uint64_t tables_built() const;
  // Number of listed cache servers that get no requests now: draining or ejected.
  std::size_t unavailable() const;
  // Whether requests are queued for the origin, or its in-flight limit is at its minimum.
  bool origin_overloaded() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace peatbend

// peatbend: the decisions of a proxy that spreads keys over cache servers in front of a slow
// origin.
//
// This file is the whole interface. A proxy makes one Balancer per instance from the start-up
// settings, feeds it every event in order, and carries out the actions it appends, in order.
//
// Ownership: the Balancer copies what it keeps; spans and views in an event need to live only for
//            the call. Actions own their data.
// Threads:   none. One thread at a time may call one Balancer; two Balancers share nothing.
// Time:      the caller passes the time with each event; it must never go back. The Balancer reads
//            no clock, and identical settings, seed and events give identical actions.
// Thrown:    std::invalid_argument, naming the field, for settings or requests that make no sense.
// Owed:      each Send must be answered by exactly one Outcome; each SetTimer by one TimerEvent.
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

// The caller's clock: any origin, only moves forward.
struct CallerClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CallerClock>;
  static constexpr bool is_steady = true;
};
using TimePoint = CallerClock::time_point;

enum class RequestId : std::uint32_t {};
enum class TimerMark : std::uint64_t {};
enum class Key : std::uint64_t {};
struct ServerId {
  std::string name;
  auto operator<=>(const ServerId&) const = default;
};

// ---- Settings -----------------------------------------------------------------------------------

enum class Effect { kSafe, kKeyed, kUnsafe };
enum class Group { kAll, kZone, kCell };

struct ClassSettings {
  std::string name;
  Duration aim{};       // an answer within this earns the full worth
  Duration deadline{};  // total client wait
  Effect effect = Effect::kSafe;
  Group group = Group::kAll;  // keyed only: the servers that discard repeats of a request
  Duration window{};          // keyed only: for how long they do
  double worth = 1;
  double late_share = 0;  // fraction of the worth earned between aim and deadline
  bool stream = false;
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::string name;
  double share = 0;
  double allowance_per_s = 0;  // over all proxies; 0: not stated
  bool operator==(const TenantSettings&) const = default;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  bool must_subscribe = false;  // discovery sends news only when asked
  bool aside = false;           // a miss is answered MISS and fetched by the proxy from the origin
  int origin_kind = -1;         // aside: the origin's entry has this kind
  int proxies = 1;              // instances in this tier
  int index = -1;               // this instance amongst them, from 0; -1: not told
  int zone = 0;                 // where this instance is
  double over_share_worth = 1;  // worth of a request beyond its tenant's share
  bool worth_by_work = false;   // worth is counted per unit of work
  int try_limit = 1;            // attempts per request
  bool shared_trials = false;   // trials of ejected servers are asked for, by Trial, and told by TrialEvent
  bool may_cancel = false;
  bool second_copies = false;  // two attempts of a safe request may be out at once
  bool retry_after = false;    // clients may be told how long to hold off
  Duration max_retry_after{};
  Duration answer_grace{};    // a final answer is valid this long after the deadline
  Duration ask_every{};       // must_subscribe: silence longer than this counts as having been told
  double start_capacity = 1;  // a server boots with this fraction of its capacity or more
  Duration warm_after{};      // and has all of it after this
  Duration drain_grace{};
  double fall_multiple = 0;  // a cold server sent more than this multiple of its capacity
  Duration tip_after{};      // for this long falls over
  // Attempts beyond each request's first, in any such window: at most free_resends plus
  // extra_per_request times the requests taken in it. No window: no such rule.
  std::optional<Duration> attempt_window;
  std::optional<double> free_resends, extra_per_request;
  double connection_price = 0;            // of a mean of 100 open connections a server
  double handshake_price = 0;             // of a new connection for each request
  Duration keepalive{};                   // idle connections close after this; zero: not told
  Duration tick{};                        // least time between batches
  Duration dial_timeout{};                // a connection not up by then could not be made; zero: not told
  std::vector<std::string> zones, kinds;  // by index, as entries of the list number them
  bool operator==(const Settings&) const = default;
};

// Sets the field that a path such as "classes.0.deadline" names, in the units of the simulator's first
// message; the router's configuration uses the same. Paths not known are passed over. Throws
// std::invalid_argument, naming the path, where the text is no value for it.
void SetByPath(Settings& settings, std::string_view path, std::string_view text);

// Throws std::invalid_argument, naming the field, where the settings cannot be worked with.
void CheckSettings(const Settings& settings);

// ---- Events -------------------------------------------------------------------------------------

enum class Listed { kGone = 0, kReady = 1, kDraining = 2 };
enum class Scope { kDelta = 0, kFull = 1, kCached = 2, kFailed = 3 };

struct ServerEntry {
  ServerId id;
  Listed listed = Listed::kReady;
  int kind = 0;
  int cell = 0;
  int zone = 0;
  TimePoint started{};  // zero: long ago
  double weight = 1;
};

struct MembershipEvent {
  Scope scope = Scope::kFull;
  std::span<const ServerEntry> entries;
};

// What the fleet's rations say of a request, where there are any.
enum class Allowance { kWithin, kLower, kReject };

struct RequestEvent {
  RequestId id{};
  std::optional<Key> key;
  int tenant = 0;
  int cls = 0;
  bool write = false;
  bool retry = false;
  Duration work_hint{};                      // zero: not told
  Duration remaining{};                      // before the client abandons this try
  Allowance allowance = Allowance::kWithin;  // kLower: ranks below what is within its ration
  Duration come_back{};                      // kReject: when it may be within it
};

enum class Result { kGood, kBad, kFull, kLate, kNoConn, kReset, kCancelled, kNeverSent, kMiss };
enum class Note { kNone = 0, kHit = 1, kMiss = 2, kMissFetching = 3 };

struct LoadReport {
  std::optional<double> in_flight, queued, utilisation, service_ms, per_second, errors_per_second;
};

// A report as servers write it: "depth:1,mean_ms:4.5" on the simulator's wire, "depth=1" on sockets.
LoadReport ParseLoadReport(std::string_view text);

struct OutcomeEvent {
  RequestId id{};
  int attempt = 0;
  std::string_view server;
  Result result = Result::kGood;
  Note note = Note::kNone;
  Duration elapsed{};
  bool done = false;  // the request has ended
  LoadReport load;
};

struct StreamStartEvent {
  RequestId id{};
  int attempt = 0;
};

struct GoneEvent {  // the client left, or its time ran out
  RequestId id{};
};

struct TimerEvent {
  TimerMark mark{};
};

// With shared_trials: what the fleet says of a server.
enum class TrialWord {
  kTry,   // the next request that may be tried is its trial, and this proxy says how it went
  kWait,  // the trial is another's
  kOut,   // nor does this proxy ask it, whatever it has seen of it
  kBack,  // it has come back, or this proxy's turn to ask it has
};
struct TrialEvent {
  ServerId server;
  TrialWord word = TrialWord::kTry;
};

using Event = std::variant<MembershipEvent, RequestEvent, OutcomeEvent, StreamStartEvent, GoneEvent,
                           TimerEvent, TrialEvent>;

// ---- Actions ------------------------------------------------------------------------------------

struct Send {
  RequestId id{};
  ServerId server;
  Duration give_up_after{};
  // From now: the attempt's first byte must not be written later than this. One that could not begin by then
  // is given up unsent, and its outcome says that it never ran.
  Duration begin_within = Duration::max();
};
struct Refuse {  // final; tells the client that a retry is harmless
  RequestId id{};
  Duration backoff{};
};
struct Fail {  // final; promises nothing
  RequestId id{};
};
struct Cancel {
  RequestId id{};
  int attempt = 0;
};
struct SetTimer {
  TimerMark mark{};
  Duration in{};
};
struct Subscribe {};
struct Release {  // close the idle connections to this server
  ServerId server;
};
struct Log {
  std::string text;
};
struct Trial {  // with shared_trials: this proxy has ejected it, or its trial has ended
  ServerId server;
  bool good = false;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, SetTimer, Subscribe, Release, Log, Trial>;

// ---- The balancer -------------------------------------------------------------------------------

// The Maglev table: slot -> index into the ids it was built from. `turns`: how many slots each claims a round
// of the fill; without them one each. Exposed for tests and tools.
std::vector<std::uint16_t> BuildMaglevTable(std::span<const std::string_view> sorted_ids,
                                            std::span<const int> turns = {});

class Balancer {
 public:
  Balancer(const Settings& settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Takes one event and appends what is to be done.
  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions);
  // Maglev tables built so far, for tests and tools: what a change of the list costs.
  std::uint64_t tables_built() const;
  // Listed cache servers that get nothing now: draining or ejected.
  std::size_t avoided() const;
  // Whether requests wait for the origin, or its bound has been cut as far as it goes.
  bool origin_strained() const;

 private:
  class Brain;
  std::unique_ptr<Brain> brain_;
};

}  // namespace peatbend

// A cache server: cores that work off what it is sent, a waiting room, a cold start, and the ways it fails.
// Free of I/O and clocks. Work is time on a core of speed 1.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "world/agenda.h"
#include "world/job.h"
#include "world/random.h"
#include "world/store.h"

namespace peatbend::world {

struct CacheServerTraits {
  int cores = 2;
  double speed = 1;
  int waiting = 64;       // requests; one more is turned away
  double crowding = 0.3;  // a full waiting room slows service by this share
  Span miss_work = FromMs(2);
  std::size_t memory = 64 * 1024;
  bool lru = true;
  int connections = 256;
  Span handshake = FromMs(1);  // work that a new connection costs
  Span keepalive = FromSeconds(10);
  double start_capacity = 0.14;
  Span warm_after = FromSeconds(24), warm_work = FromSeconds(6);
  double fall_multiple = 3;
  Span tip_after = FromSeconds(2);
  bool cancel_stops = true;  // running work too
  Span idempotency{};        // repeats of a key are dropped for so long; zero: not at all
  double stale_share = 0;    // of connections idle for over stale_after: found reset when used
  Span stale_after = FromMs(100);
  double reset_share = 0;   // of requests: the connection breaks under them
  double spoilt_share = 0;  // of answers
  double failed_share = 0;  // answered -ERR
};

class CacheServer {
 public:
  enum class State { kUp, kDead, kCut };  // kCut: lives, but nothing gets through, and nobody is told

  CacheServer(Agenda& agenda, const CacheServerTraits& traits, std::string name, int zone,
              std::uint64_t seed);

  // Null: turned away at once (`answer` is told so) or taken in silence for good.
  JobPtr Begin(Ask ask, Answer answer);
  void Cancel(const JobPtr& job);
  // Whether one more connection may be had; it counts, and costs the handshake's work. False: refused.
  bool Connect();
  void Disconnect() { --connected_; }
  // Whether a connection that stood idle for so long turns out dead as it is used.
  bool FoundStale(Span idle);
  // Whether the connection breaks under this request, after it was taken.
  bool Resets() { return random_.Chance(traits_.reset_share); }

  void Keep(const std::string& key, std::size_t bytes);  // the origin has answered a miss here
  void Void(const std::string& key);                     // a write went to the origin

  // What is done to it.
  void Die();
  void Start();  // cold
  void Rename(std::string name) { name_ = std::move(name); }
  void Cut() { state_ = State::kCut; }
  void Mend() { state_ = State::kUp; }
  void Hang(bool hung) { hung_ = hung; }
  void Pause(Span span);
  void Drain(bool draining) { draining_ = draining; }
  CacheServerTraits& traits() { return traits_; }

  const std::string& name() const { return name_; }
  int zone() const { return zone_; }
  State state() const { return state_; }
  bool hung() const { return hung_; }
  bool draining() const { return draining_; }
  Time started() const { return started_; }  // zero: long ago
  bool cold() const { return Warmth() < 1; }
  double Warmth() const;
  // Its capacity now, in work a second.
  double Capacity() const { return traits_.cores * traits_.speed * Warmth(); }
  bool fallen() const { return fallen_; }
  // Called as it tips over: sent more than it can take while cold.
  std::function<void(CacheServer&)> on_fall;

  // Counts for reports.
  std::uint64_t taken = 0, values = 0, misses = 0, turned_away = 0;
  Span worked{}, wasted{};
  int load() const { return running_ + static_cast<int>(queue_.size()); }

 private:
  void Budget(Span work);
  void StartNext();
  void Run(const JobPtr& job);
  void Finished(const JobPtr& job);
  bool Repeat(const Ask& ask);

  Agenda& agenda_;
  CacheServerTraits traits_;
  std::string name_;
  int zone_;
  Random random_;
  Store store_;
  State state_ = State::kUp;
  bool hung_ = false, draining_ = false, fallen_ = false;
  Time started_{}, paused_until_{};
  int running_ = 0, connected_ = 0;
  std::uint64_t life_ = 0;  // one more with each start: what belonged to the one before is void
  std::deque<JobPtr> queue_;
  std::vector<JobPtr> working_;
  std::unordered_map<std::string, Time> fetching_, seen_;
  double budget_ = 0;  // work sent beyond what may be, as a leaky bucket
  Time budget_at_{};
  Span warm_work_{};
};

}  // namespace peatbend::world

// A model of three routers, each with a quota manager and a replica. Messages are delivered in any order,
// twice or never, processes die and are restarted, and each router switches to the next quota configuration
// at a time of its own. The quota of the first configuration refills one token per tick; requests admitted
// under it are counted by tick, and the bounds are checked from these counts alone. A state is the history of
// each router.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "orders/interleavings.h"
#include "rations/quota_manager.h"

namespace peatbend::orders {

// The next configuration: none; one with the same quota; one with another quota of ten times the rate in its
// place.
enum class NextConfig { kNone, kSame, kOther };

struct QuotaManagerModelSetup {
  NextConfig next = NextConfig::kSame;
  int switches = 3;  // routers that switch to the next configuration
  int requests = 2;  // of each process
  int ticks = 2;
  int duplicates = 0, deaths = 0, starts = 0;
  bool owned = false;   // one router is the owner already
  bool prompt = false;  // no tick passes while messages are in flight; timers may fire late
};

class QuotaManagerModel {
 public:
  static constexpr std::size_t kRouters = 3;
  static constexpr int kMaxTicks = 6, kCredit = 1, kBurst = 1;  // kCredit: tokens that each process may owe
  static rations::Time At(int tick) { return tick * std::chrono::milliseconds(250); }

  struct Envelope {
    std::size_t from, to;
    rations::Message message;
    std::uint64_t fingerprint;  // of all other fields
  };
  using EnvelopePtr = std::shared_ptr<const Envelope>;
  struct Event {
    enum class What : std::uint8_t {
      kRequest,
      kTimer,
      kSwitchConfig,
      kDie,
      kRestart,
      kDeliver,
      kDeliverCopy,
      kTick
    } what;
    std::size_t index = 0;  // of the router or the message in flight
    EnvelopePtr envelope;
    std::string Text() const;
  };

  explicit QuotaManagerModel(const QuotaManagerModelSetup& setup);
  std::vector<Event> Events() const;
  QuotaManagerModel After(const Event& event) const;
  std::uint64_t Print() const;
  const std::string& broken() const { return broken_; }
  int admitted() const;
  int now() const { return now_; }

 private:
  using Call = std::function<bool(rations::QuotaManager&)>;
  struct Router {
    std::uint64_t nonce = 0, history = 0;
    bool alive = true, has_next_config = false;
    int requests = 0;
    std::vector<std::shared_ptr<const Call>>
        calls;  // replayed on a new manager, since managers cannot be copied
    std::shared_ptr<const rations::QuotaManager> manager;
  };
  struct StepResult {
    std::shared_ptr<const Router> router;
    std::vector<EnvelopePtr> sent;
    bool admitted = false;
  };
  struct Shared {  // by all states
    QuotaManagerModelSetup setup;
    std::shared_ptr<const rations::QuotaTable> configs[2];
    failover::ReplicaSet replicas{{{"r0", "a"}, {"r1", "b"}, {"r2", "c"}}};
    mutable BoundedCache<StepResult> steps{1u << 14};
  };

  std::shared_ptr<rations::QuotaManager> NewManager(std::size_t r, std::uint64_t nonce) const;
  std::shared_ptr<const Router> NewRouter(std::size_t r, std::uint64_t start) const;
  StepResult Step(std::size_t r, Event::What what, const EnvelopePtr& envelope) const;
  void Do(std::size_t r, Event::What what, const EnvelopePtr& envelope);
  void CheckBounds();

  std::shared_ptr<const Shared> shared_;
  int now_ = 0, config_changes_, duplicates_, deaths_, starts_, processes_ = kRouters;
  std::array<std::shared_ptr<const Router>, kRouters> routers_;
  std::vector<EnvelopePtr> in_flight_;  // by fingerprint
  std::array<int, kMaxTicks + 1> admitted_{};
  std::string broken_;
};

}  // namespace peatbend::orders

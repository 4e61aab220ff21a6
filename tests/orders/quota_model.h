// A model of one shard: its three replicas and the routers that own it and request tokens from it, all of
// them the code that routers run. Messages are delivered in any order, twice, or never, processes die and are
// restarted, replicas restart without state, and time passes. There is one bucket, refilled by one token per
// tick, and in some setups an inner one. Granted tokens and admitted requests are counted by tick, and the
// bounds are checked from these counts alone.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "orders/interleavings.h"
#include "orders/quota_model_router.h"

namespace peatbend::orders {

class QuotaModel {
 public:
  static constexpr int kMaxTicks = 8;
  static constexpr int kCredit = 1;  // tokens that each process may owe

  struct Event {
    enum class What : std::uint8_t {
      kDeliver,
      kDeliverCopy,
      kDeliverToFormer,
      kRouterEvent,
      kRestartRouter,
      kRestartReplica,
      kTick
    } what;
    std::uint8_t index = 0;  // of the router, the replica or the message in flight
    RouterEvent router_event{};
    std::uint64_t target = 0;  // kTakeBack: the requester; token requests: the receiver
    EnvelopePtr envelope;
    std::string Text() const;
  };

  explicit QuotaModel(const QuotaModelSetup& setup);

  // The events that are possible in this state.
  std::vector<Event> Events() const;
  QuotaModel After(const Event& event) const;
  std::uint64_t Print() const;

  // The bound that was exceeded; empty if none was.
  const std::string& broken() const { return broken_; }
  int now() const { return now_; }
  int granted() const { return Sum(granted_, 0, now_); }
  int admitted() const { return Sum(admitted_, 0, now_); }

 private:
  using Counts = std::array<std::uint8_t, kMaxTicks + 1>;  // by tick
  struct ReplicaState {
    rations::ShardReplica replica;
    std::optional<rations::ShardReplica> former;  // kFormerAnswers
    std::uint64_t fingerprint;
  };
  using ReplicaPtr = std::shared_ptr<const ReplicaState>;
  struct Response {
    ReplicaPtr replica;
    EnvelopePtr message;
    bool promised;  // another ballot than before
  };
  struct Shared {  // by all states
    QuotaModelSetup setup;
    std::shared_ptr<const rations::QuotaTable> table;
    mutable BoundedCache<StepResult> steps{1u << 14};
    mutable BoundedCache<Response> responses{1u << 14};
    mutable BoundedCache<bool> informative{1u << 15};
  };

  const QuotaModelSetup& setup() const { return shared_->setup; }
  bool Is(QuotaMutant mutant) const { return setup().mutant == mutant; }
  RouterPtr NewRouter(std::size_t self, std::uint64_t start) const;
  static ReplicaPtr Sealed(ReplicaState state);
  static int Sum(const Counts& counts, int from, int to) {
    int sum = 0;
    for (int t = from; t <= to; ++t) sum += counts[static_cast<std::size_t>(t)];
    return sum;
  }

  void Do(std::size_t r, RouterEvent event, std::uint64_t target = 0, const EnvelopePtr& envelope = nullptr);
  void Insert(const EnvelopePtr& envelope);
  void Prune();
  bool Matters(const Envelope& envelope, const EnvelopePtr& shared) const;
  bool IsInformative(const EnvelopePtr& response) const;
  std::shared_ptr<const Response> ResponseTo(const EnvelopePtr& request, bool former) const;
  rations::Message Answer(rations::ShardReplica& replica, const rations::Message& request) const;
  void Deliver(std::size_t i, bool copy, bool to_former);
  void RestartReplica(std::size_t s);
  void Tick();
  void StartWithOwner(int promised);
  void DeliverReplicaMessages();
  void CheckBounds();

  std::shared_ptr<const Shared> shared_;
  int restarts_, deaths_, starts_, duplicates_, resends_;
  int processes_;
  int now_ = 0;
  std::array<ReplicaPtr, kReplicasPerShard> replicas_;
  std::array<RouterPtr, 3> routers_;
  std::vector<EnvelopePtr> in_flight_;
  Counts granted_{}, admitted_{}, inside_{};  // inside_: admitted by the inner quota
  std::string broken_;
};

}  // namespace peatbend::orders

// A model of the schema registry: its three replicas and the routers that update it, all running the real
// code, while messages are reordered, duplicated or lost and replicas restart with empty memory. The rules
// are checked at each event.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "compat/registry_update.h"
#include "orders/interleavings.h"

namespace peatbend::orders {

using compat::RegistryState;
using compat::RegistryUpdate;

// Deliberate faults. The search must find a violation for each.
enum class CompatMutant {
  kNone,
  kSilenceRetires,         // a silent reader is retired
  kOneReplica,             // counts the reply of one replica as a majority
  kReportsEarly,           // reports a registration before it is committed
  kBootstrappedAgain,      // a restarted replica votes as if the registry were new
  kRetiresAnyRegistration  // an operator's command also retires a later registration than the one it names
};

// The re-registering reader is ann, with a later registration than the operator has seen.
enum class Role {
  kPublisher,
  kOtherPublisher,
  kReader,
  kOtherReader,
  kReregisteringReader,
  kDetector,
  kOperator
};

struct CompatSetup {
  std::vector<Role> roles{Role::kPublisher, Role::kOtherPublisher, Role::kReader};
  bool ann_registered = false;  // a reader of version 1, from the start
  int ballots = 1;              // of each actor
  int duplicates = 0;           // messages delivered twice
  int restarts = 0, syncs = 0;  // of replicas; requests for a state transfer after restarts
  CompatMutant mutant = CompatMutant::kNone;
};

class CompatModel {
 public:
  using Message = failover::Message;
  struct InFlightMessage {
    bool to_replica;
    std::size_t actor, replica;
    Message message;
    std::uint64_t fingerprint;  // excluding the replica
    bool Same(const InFlightMessage& other) const {
      return fingerprint == other.fingerprint && replica == other.replica;
    }
  };
  using InFlightPtr = std::shared_ptr<const InFlightMessage>;
  struct Event {
    enum class What : std::uint8_t {
      kDelivered,
      kDuplicated,
      kBallotStarted,
      kReplicaRestarted,
      kSyncRequested,
      kSyncDelivered
    } what;
    std::size_t who;  // the actor or the replica; of a message: its index
    InFlightPtr in_flight;
    std::string Text() const;
  };

  explicit CompatModel(CompatSetup setup);

  std::vector<Event> Events() const;
  CompatModel After(const Event& event) const;
  // States that differ only by a permutation of the replicas have the same fingerprint.
  std::uint64_t Print() const;

  const std::string& broken() const { return violation_; }
  bool accepted() const { return third_schema_ != nullptr; }
  bool registered() const { return registrations_[kBob] + registrations_[kCid] > 0; }

 private:
  enum Reader { kAnn, kBob, kCid, kReaders };
  static constexpr const char* kNames[] = {"ann", "bob", "cid"};
  struct Replica {
    failover::RecordReplica acceptor;
    std::uint64_t generation;
    std::uint64_t fingerprint;
  };
  using ReplicaPtr = std::shared_ptr<const Replica>;
  struct Actor {
    Role role;
    RegistryUpdate update;
    int ballots;
    std::uint64_t fingerprint;
    std::array<std::uint64_t, failover::kReplicas> replica_fingerprints{};
  };
  using ActorPtr = std::shared_ptr<const Actor>;
  struct SyncMessages {  // a request for a state transfer, or the reply
    std::size_t from, to;
    std::vector<Message> messages;
    std::uint64_t fingerprint;
  };
  using SyncPtr = std::shared_ptr<const SyncMessages>;
  struct ActorStep {
    ActorPtr actor;
    std::vector<InFlightPtr> sent;
    std::shared_ptr<const std::string> reported;  // success; of a publisher: its schema
  };
  struct ReplicaStep {
    ReplicaPtr replica;
    InFlightPtr reply;
    SyncPtr sync;
  };
  struct CommittedState {
    bool known = false;
    std::vector<std::string> versions;
    std::set<std::string> readers;  // of version 1
  };
  struct Shared {  // by all states of the model
    CompatSetup setup;
    std::vector<std::string> versions;  // accepted at the start
    mutable BoundedCache<ActorStep> actor_steps{1u << 14};
    mutable BoundedCache<ReplicaStep> replica_steps{1u << 14};
    mutable std::map<std::string, CommittedState> committed;
    mutable std::map<std::string, bool> readable;  // with version 1
  };

  const CompatSetup& setup() const { return shared_->setup; }
  static std::string Record(const std::string& field, bool optional);
  RegistryUpdate::Command CommandOf(Role role) const;
  failover::RecordReplica MakeReplica(std::size_t s, std::uint64_t generation, bool bootstrapped) const;
  static ReplicaPtr WithFingerprint(Replica replica);
  static ActorPtr WithFingerprint(Actor actor);
  static InFlightPtr MakeInFlight(bool to_replica, std::size_t a, std::size_t s, Message message);
  static SyncPtr MakeSync(std::size_t from, std::size_t to, std::vector<Message> messages);
  ActorStep ComputeStep(std::size_t a, const InFlightMessage* in_flight) const;
  ReplicaStep ComputeReply(const InFlightMessage& in_flight) const;
  ReplicaStep ComputeSync(const SyncMessages& sync) const;

  void StepActor(std::size_t a, const InFlightPtr& in_flight);
  void AddInFlight(const InFlightPtr& in_flight);
  void Deliver(std::size_t i, bool keep);
  void RestartReplica(std::size_t s);
  void RequestSync(std::size_t s);
  void DeliverSync(std::size_t i);
  void OnReported(Role role, const std::shared_ptr<const std::string>& schema);
  void CheckCommitted(std::size_t s);
  const CommittedState& CommittedStateOf(const std::string& value) const;
  bool Readable(const std::string& schema) const;
  void Violated(const std::string& rule) {
    if (violation_.empty()) violation_ = rule;
  }

  std::shared_ptr<const Shared> shared_;
  int duplicates_, restarts_, syncs_left_;
  std::array<ReplicaPtr, failover::kReplicas> replicas_;
  std::vector<ActorPtr> actors_;
  std::vector<InFlightPtr> in_flight_;
  std::vector<SyncPtr> syncs_;
  std::shared_ptr<const std::string> third_schema_;     // reported as accepted as version 3
  std::array<std::uint8_t, kReaders> registrations_{};  // reported as registered, by number; 0: not reported
  std::string violation_;
};

}  // namespace peatbend::orders

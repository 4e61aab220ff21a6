// A model of one operation: its three replicas and its routers, all running the real code, while messages are
// reordered, duplicated or lost, processes die or restart with empty memory, and time passes. The model's
// routers make the decisions of the decision module. The rules are checked at each event.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "failover/operation_ownership.h"
#include "failover/record_reader.h"
#include "failover/record_replica.h"

namespace peatbend::orders {

using namespace std::chrono_literals;
using failover::Message;
using failover::OperationOutcome;
using failover::OperationOwnership;
using failover::OwnershipResult;
using failover::RecordProposer;

// Deliberate faults. The search must find a violation for each.
enum class Mutant {
  kNone,
  kNoPromise,           // takes over without promises
  kEarlyVote,           // a restarted replica votes at once, without its former state
  kWindowRestarted,     // measures the window from its own attempt
  kAnswersEarly,        // returns the outcome before it is committed
  kExpiredPermit,       // sends an attempt that was committed too late
  kSendsEarly,          // sends before the attempt is committed
  kOneReplica,          // counts the reply of one replica as a majority
  kOneConcurrentWrite,  // reads only the highest of several writes under round 0
  kFormerGenerations,   // counts votes that a replica gave before a restart and state transfer
  kSingleSync,          // votes after a state transfer from only one replica
  kEmptySync            // omits the records from a state transfer
};

struct FailoverModelSetup {
  Effect effect = Effect::kUnsafe;
  int routers = 2;             // the first has the request; each may take over
  bool second_client = false;  // the second router receives the same request as a new one
  int take_overs = 1;          // attempts of each router to take over
  int restarts = 0;            // of replicas
  int syncs = 0;               // requests for a state transfer after restarts
  int deaths = 0;      // of routers; equivalent to messages that are never delivered, so no new interleavings
  int duplicates = 0;  // messages delivered twice
  int reads = 0;       // reads by a router that waits for the outcome
  int time_steps = 0;  // times that the clock advances by kTimeStep
  bool owner_returns = true;  // the first router may take the operation back
  bool lost_dials = true;     // attempts may be found to never have run
  Mutant mutant = Mutant::kNone;
};

class FailoverModel {
 public:
  static constexpr failover::Duration kSendPermit = 200ms, kTimeStep = 250ms, kWindow = 600ms;

  struct InFlightMessage {
    bool to_replica;
    std::size_t router, replica;
    Message message;
    std::uint64_t fingerprint;  // excluding the replica
    bool Same(const InFlightMessage& other) const {
      return fingerprint == other.fingerprint && replica == other.replica;
    }
    std::string Text() const {
      std::string r = "r" + std::to_string(router), s = "replica " + std::to_string(replica);
      return (to_replica ? r + " -> " + s : s + " -> " + r) + ": " + failover::Text(message);
    }
  };

  explicit FailoverModel(FailoverModelSetup setup);

  struct Event {  // the delivery of `in_flight`, or what `name` describes
    std::string name;
    std::shared_ptr<const InFlightMessage> in_flight;
    std::function<void(FailoverModel&)> happens;
    std::string Text() const { return in_flight ? name + in_flight->Text() : name; }
  };
  FailoverModel After(const Event& event) const {
    FailoverModel next = *this;
    event.happens(next);
    return next;
  }
  std::vector<Event> Events() const;

  // States that differ only by a permutation of the replicas have the same fingerprint.
  std::uint64_t Fingerprint() const;

  const std::string& violation() const { return violation_; }
  const std::string& outcome() const { return outcome_; }
  std::size_t sent() const { return sent_.size(); }

 private:
  using Outs = std::vector<RecordProposer::Outgoing>;
  static constexpr failover::TimePoint kLongAgo = std::chrono::hours(1);
  struct Replica {
    failover::RecordReplica acceptor;
    std::uint64_t generation = 1;
    std::uint64_t fingerprint = 0;
  };
  struct Router {
    OperationOwnership ownership;
    bool alive = true;
    int take_overs = 0;
    bool in_progress = false;  // an attempt is in progress
    bool retried = false;      // has retried once
    std::uint64_t fingerprint = 0;
    std::array<std::uint64_t, failover::kReplicas> replica_fingerprints{};
  };
  struct SentAttempt {
    int by;
    failover::TimePoint at;
    int ran;  // 1: may have run; 0: never ran
  };
  struct Budget {
    int restarts, syncs, deaths, duplicates, time_steps, reads;
  };

  struct SyncMessages {  // a request for a state transfer, or the reply
    std::size_t from, to;
    std::vector<Message> messages;
    std::uint64_t fingerprint;
  };
  static std::string NameOf(std::size_t replica) { return "s" + std::to_string(replica); }
  // Without state transfers replicas have no names and are interchangeable.
  failover::RecordReplica MakeReplica(std::size_t s, std::uint64_t generation,
                                      failover::TimePoint started) const;
  void SendSync(std::size_t from, std::size_t to, std::vector<Message> messages);
  void RequestSyncs(std::size_t s);
  void DeliverSync(std::size_t i);

  static std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }
  static std::shared_ptr<const Replica> WithFingerprint(Replica replica);
  static std::shared_ptr<const Router> WithFingerprint(Router router);
  template <typename What>
  void Change(std::size_t r, What what) {
    Router router = *routers_[r];
    Outs out;
    what(router, out);
    for (RecordProposer::Outgoing& one : out) Post(true, r, one.replica, std::move(one.message));
    routers_[r] = WithFingerprint(std::move(router));
    // Messages that the receiver would ignore now and later need not be delivered.
    std::erase_if(in_flight_, [&](const auto& in_flight) {
      return in_flight->router == r &&
             (in_flight->to_replica ? HasNoEffect(*in_flight) : !Expects(r, *in_flight));
    });
  }
  // True if delivering the request can never change the replica, and its reply would be ignored.
  bool HasNoEffect(const InFlightMessage& in_flight) const;
  bool Expects(std::size_t r, const InFlightMessage& in_flight) const;
  void Post(bool to_replica, std::size_t r, std::size_t s, Message message);

  void Deliver(std::size_t i, bool keep);

  // Checks a rejection at the moment when it is committed; what is sent later belongs to a new request.
  void CheckRejection(const Message& message);

  void HandleReply(std::size_t r, Router& router, std::size_t replica, const Message& message, Outs& out);

  // ---- Decisions of a router ------------------------------------------------------------------------------

  void RequestAttempt(std::size_t r, Router& router, Outs& out);
  void TakeOver(std::size_t r, Router& router, Outs& out);
  void ContinueOperation(std::size_t r, Router& router, Outs& out);
  void EndAttempt(std::size_t r, bool value, bool ran);

  // ---- Observations and rules -----------------------------------------------------------------------------

  void Send(std::size_t r, Router& router);

  void OnOutcome(OperationOutcome outcome, const std::string& value);

  void ReportViolation(const std::string& rule);

  FailoverModelSetup setup_;
  failover::RecordReader reader_;
  std::array<std::uint64_t, failover::kReplicas> seen_{};  // fingerprints of the replies to the reader
  Budget budget_;
  ClassSettings cls_;
  failover::TimePoint now_{};
  std::vector<std::shared_ptr<const Replica>> replicas_;
  std::vector<std::shared_ptr<const Router>> routers_;
  std::vector<std::shared_ptr<const InFlightMessage>> in_flight_;  // sorted by fingerprint
  std::vector<std::shared_ptr<const SyncMessages>> syncs_;
  std::vector<SentAttempt> sent_;
  std::string outcome_;
  failover::TimePoint outcome_at_{};
  std::string violation_;
};

}  // namespace peatbend::orders

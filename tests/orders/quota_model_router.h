// One router of the quota model: its ledger, and the shard that it owns or tries to own, by the code that
// routers run. The result of a step depends only on the router's state, the event and the tick.
#pragma once

#include <xxhash.h>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rations/credit_ledger.h"
#include "rations/owned_shard.h"

namespace peatbend::orders {

using rations::Ballot;
using rations::kReplicasPerShard;
using rations::MessageKind;
using rations::ShardOwnership;

// Faults that are built into the model on purpose; the model must find each of them.
enum class QuotaMutant {
  kNone,
  kTokensExpire,        // a token granted some time ago counts as unused and is granted again
  kTokensOfDead,        // so do the tokens of a router that has died
  kStartsFull,          // the bucket starts full
  kFilledSincePrepare,  // or refills from the time of the prepare request
  kUnconfirmed,         // grants are sent before they are confirmed
  kOlderConfirmation,   // or once a confirmation requested earlier has arrived
  kOneReplica,          // the confirmation of one replica suffices
  kAnyGeneration,       // a replica confirms what a former generation of it promised
  kSameGeneration,      // a restarted replica has the same generation as before
  kLatePromises,        // replicas that promise after ownership was taken count as well
  kPromisesAll,         // a later prepare request does not depose the owner
  kLatestPrepare,       // a replica promises the latest ballot, not the highest
  kFormerAnswers,       // the former generation of a replica keeps answering beside the next
  kDebtForgotten,       // an account is dropped although it has debt
  kTokensBesideCredit,  // more is requested than is owed, and used in addition to the credit
  kSameNonce,           // a restarted process has its former nonce
  kInnerQuotaOnly       // a token of an inner quota does not count in the enclosing one
};

struct QuotaModelSetup {
  int routers = 2, elections = 1;  // elections: of each process; 0: replicas answer at once
  // Replicas that have promised the first router, which has taken ownership already; 0: none. If not all, the
  // prepare requests to the others are still in flight, and duplicates of the rest, as `duplicates` allows.
  int promised = 0;
  int restarts = 0;  // of replicas
  int deaths = 0, starts = 0;
  int duplicates = 0;  // messages that are delivered twice
  int ticks = 3;
  int burst = 1;
  int requests = 0;  // of each process; 0: owners grant tokens to nobody in particular
  int resends = 0;   // of token requests, to any owner
  // Tokens per two ticks of an inner quota; 0: none. Requests count in both quotas or only in the outer one.
  int nested = 0;
  std::size_t requesters = 4096;  // that an owner remembers
  QuotaMutant mutant = QuotaMutant::kNone;
};

inline rations::Time At(int tick) { return tick * std::chrono::milliseconds(250); }
// A quota of one token per tick; `nested`: with an inner quota for tenant 0.
std::shared_ptr<const rations::QuotaTable> MakeQuotaTable(int burst, int nested);

inline rations::BucketPath OneChain() {
  rations::BucketPath chain;
  chain.size = 1;
  return chain;
}

// A message in flight.
struct Envelope {
  enum class Direction { kToReplica, kFromReplica, kBetweenRouters } direction;
  std::size_t router, other;  // other: the replica; between routers: the receiver
  rations::Message message;
  std::uint64_t fingerprint;  // without `other`
  bool Same(const Envelope& one) const { return fingerprint == one.fingerprint && other == one.other; }
  std::string Text() const;
};
using EnvelopePtr = std::shared_ptr<const Envelope>;
EnvelopePtr MakeEnvelope(Envelope::Direction direction, std::size_t router, std::size_t other,
                         rations::Message message);

inline std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

// A router's ledger. Since ledgers cannot be copied, each step replays all earlier calls on a new one.
class ReplayedLedger {
 public:
  // `last`: last_sequence() of the process's previous ledger.
  ReplayedLedger(std::shared_ptr<const rations::QuotaTable> table, std::uint64_t nonce,
                 std::uint64_t last = 0);
  bool Admit(int now, bool inside);  // returns whether the request is within the quota
  bool due(int now) const { return ledger_->NextDue().value_or(rations::Time::max()) <= At(now); }
  bool outstanding() const { return outstanding_; }  // a token request
  // `resend`: repeats the outstanding request at once, if there is one.
  std::optional<rations::Message> RequestTokens(int now, bool resend);
  void HandleGrant(int now, const rations::Message& grant);
  bool Awaits(const rations::Message& grant) const {
    return outstanding_ && grant.sequence == ledger_->last_sequence();
  }
  std::uint64_t last_sequence() const { return ledger_->last_sequence(); }
  bool has_debt() const { return ledger_->debt() > 0; }
  void AppendState(std::string& into) const {
    ledger_->AppendState(into);
    rations::AppendState(into, static_cast<std::uint64_t>(tokens_beside_));
  }
  // kTokensBesideCredit: a grant holds one token more than was owed.
  void AddTokenBeside() { ++tokens_beside_; }

 private:
  using Call = std::function<bool(rations::CreditLedger&)>;
  bool Do(Call call);

  std::shared_ptr<const rations::QuotaTable> table_;
  std::uint64_t nonce_, last_sequence_;
  std::vector<std::shared_ptr<const Call>> calls_;
  int tokens_beside_ = 0;
  std::shared_ptr<const rations::CreditLedger> ledger_;
  bool outstanding_ = false;
};

struct Router {
  struct Pending {               // computed, but not granted yet
    int computed;                // in which tick
    std::uint64_t confirmation;  // sequence number; 0: not requested yet
    int tokens;
  };
  std::size_t self = 0;
  std::uint64_t nonce = 0;
  bool alive = true;
  int elections = 0, requests = 0;  // left
  std::uint64_t elections_started = 0, confirmation = 0, highest_round = 0;
  std::optional<rations::OwnedShard> shard;
  int tokens = 0;  // in the bucket
  std::vector<Pending> pending;
  std::map<std::uint64_t, int> granted;  // kTokensExpire, kTokensOfDead: by requester
  int granted_at = 0;
  int taken_back = 0;  // tokens that are granted once more
  std::array<std::vector<rations::Message>, kReplicasPerShard> responses;  // kLatePromises
  std::uint64_t any_confirmation = 0;                                      // kOneReplica
  std::optional<ReplayedLedger> ledger;

  std::uint64_t fingerprint = 0;
  std::array<std::uint64_t, kReplicasPerShard> of_replica{};  // fingerprints of what is known of each
  const ShardOwnership* ownership() const { return shard ? &shard->ownership : nullptr; }
  bool is_owner() const {
    return alive && shard && shard->ownership.phase() == ShardOwnership::Phase::kOwning;
  }
};
using RouterPtr = std::shared_ptr<const Router>;
RouterPtr Sealed(Router router, bool nested);  // with its fingerprints computed

// What can happen to one router.
enum class RouterEvent : std::uint8_t {
  kStartElection,
  kTakeOwnership,
  kCompute,
  kRequestConfirmation,
  kGrantQueued,
  kTakeBack,  // a mutant takes tokens back from the requester `target`
  kRequest,
  kRequestInside,  // of the inner quota
  kRequestTokens,  // from the router `target`
  kResendRequest,
  kDropDebt,  // a mutant's ledger
  kDie,
  kTick,
  kReceive  // a message
};

struct StepResult {
  RouterPtr router;
  std::vector<EnvelopePtr> sent;
  std::vector<std::pair<int, int>> granted;  // tick, tokens
  int admitted = 0;
};

// Applies one event to a copy of a router.
class RouterStep {
 public:
  RouterStep(const QuotaModelSetup& setup, std::shared_ptr<const rations::QuotaTable> table, int now,
             Router router)
      : setup_(setup), table_(std::move(table)), now_(now), router_(std::move(router)) {}
  StepResult Do(RouterEvent event, std::uint64_t target, const Envelope* envelope);

 private:
  bool Is(QuotaMutant mutant) const { return setup_.mutant == mutant; }
  void StartElection();
  void TakeOwnership();
  void RequestConfirmation();
  void Receive(const Envelope& envelope);
  void HandleReplicaResponse(std::size_t replica, const rations::Message& response);
  void SendGrants();
  void HandleTokenRequest(std::size_t from, rations::Message request);
  void Tick();

  const QuotaModelSetup& setup_;
  std::shared_ptr<const rations::QuotaTable> table_;
  int now_;
  Router router_;
  std::vector<ShardOwnership::Request> out_;
  StepResult result_;
};

}  // namespace peatbend::orders

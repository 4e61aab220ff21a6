// An operation's three replicas and the routers that have to do with it, all of them the real code, in a
// place where messages are delivered in any order, twice, or never, processes die or restart with nothing in
// memory, and time passes. A router here does what the decision module would; the rules are checked as things
// happen.
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

// Known bugs, which the search must find.
enum class Mutant {
  kNone,
  kNoPromise,      // takes over without asking
  kForgotten,      // a process that has just started votes as if it had forgotten nothing
  kWindowAnew,     // counts the window from its own attempt
  kTellsFirst,     // answers before the outcome is committed
  kOldPermission,  // sends on a permission that has long been waited for
  kSendsFirst,     // sends before the record is committed
  kOneReplica,     // takes the answer of one replica for those of a majority
  kOneWriter,      // reads of several first writers only the highest
  kFormerLives,    // counts a vote though the replica has restarted since, and been given the others' state
  kOneSync,        // votes after the state transfer of one
  kEmptySync       // transfers its state without the records
};

struct FailoverModelSetup {
  Effect effect = Effect::kUnsafe;
  int routers = 2;            // the first is asked at once; each may take over
  bool second_asker = false;  // the second router's client asks for the same operation as if it were new
  int tries = 1;              // times that each router may try to take over
  int restarts = 0;           // of replicas
  int syncs = 0;              // times that replicas which restarted ask for the others' state
  int deaths = 0;    // of routers; one that hears nothing more is as good as dead, so these add no order
  int twice = 0;     // messages that are delivered twice
  int looks = 0;     // by one who waits for the outcome, and takes no part
  int passes = 0;    // times that a while passes
  bool back = true;  // the first router, too, may take the operation back
  bool lost_dials = true;  // attempts may turn out to never have run
  Mutant mutant = Mutant::kNone;
};

class FailoverModel {
 public:
  static constexpr failover::Span kWithin = 200ms, kPass = 250ms, kWindow = 600ms;

  struct Parcel {
    bool to_replica;
    std::size_t router, replica;
    Message message;
    std::uint64_t print;  // without the replica
    bool Same(const Parcel& other) const { return print == other.print && replica == other.replica; }
    std::string Text() const {
      std::string r = "r" + std::to_string(router), s = "replica " + std::to_string(replica);
      return (to_replica ? r + " -> " + s : s + " -> " + r) + ": " + failover::Text(message);
    }
  };

  explicit FailoverModel(FailoverModelSetup setup);

  struct Event {  // by name; or the delivery of a message
    std::string name;
    std::shared_ptr<const Parcel> parcel;
    std::function<void(FailoverModel&)> happens;
    std::string Text() const { return parcel ? name + parcel->Text() : name; }
  };
  FailoverModel After(const Event& event) const {
    FailoverModel next = *this;
    event.happens(next);
    return next;
  }
  std::vector<Event> Events() const;

  // The three replicas are alike: states that differ only in which is which have one print.
  std::uint64_t Print() const;

  const std::string& broken() const { return broken_; }
  const std::string& told() const { return told_; }
  std::size_t sent() const { return sent_.size(); }

 private:
  using Outs = std::vector<RecordProposer::Outgoing>;
  static constexpr failover::Time kOld = std::chrono::hours(1);
  struct Replica {
    failover::RecordReplica acceptor;
    std::uint64_t life = 1;
    std::uint64_t print = 0;
  };
  struct Router {
    OperationOwnership ownership;
    bool alive = true;
    int tries = 0;
    bool out = false;    // an attempt
    bool again = false;  // has repeated
    std::uint64_t print = 0;
    std::array<std::uint64_t, failover::kReplicas> of_replica{};
  };
  struct Sent {
    int by;
    failover::Time at;
    int ran;  // 1: may have; 0: never
  };
  struct Budget {
    int restarts, syncs, deaths, twice, passes, looks;
  };

  struct SyncMessages {  // between replicas
    std::size_t from, to;
    std::vector<Message> messages;
    std::uint64_t print;
  };
  static std::string NameOf(std::size_t replica) { return "s" + std::to_string(replica); }
  // Where no syncs are asked for replicas need no names, and are alike.
  failover::RecordReplica Fresh(std::size_t s, std::uint64_t life, failover::Time started) const;
  void Carry(std::size_t from, std::size_t to, std::vector<Message> messages);
  void RequestSyncs(std::size_t s);
  void DeliverSync(std::size_t i);

  static std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }
  static std::shared_ptr<const Replica> Of(Replica replica);
  static std::shared_ptr<const Router> Of(Router router);
  template <typename What>
  void Change(std::size_t r, What what) {
    Router router = *routers_[r];
    Outs out;
    what(router, out);
    for (RecordProposer::Outgoing& one : out) Post(true, r, one.replica, std::move(one.message));
    routers_[r] = Of(std::move(router));
    // What it would pass over, now and ever, need not be delivered.
    std::erase_if(bag_, [&](const auto& parcel) {
      return parcel->router == r && (parcel->to_replica ? Idle(*parcel) : !Waits(r, *parcel));
    });
  }
  // A replica would change nothing, now or ever, and say nothing that its asker does not know or passes over.
  bool Idle(const Parcel& parcel) const;
  bool Waits(std::size_t r, const Parcel& parcel) const;
  void Post(bool to_replica, std::size_t r, std::size_t s, Message message);

  void Deliver(std::size_t i, bool keep);

  // Notes a reject in the moment in which it is committed: what others send after that was asked for again.
  void Committed(const Message& message);

  void Take(std::size_t r, Router& router, std::size_t replica, const Message& message, Outs& out);

  // ---- What a router decides ------------------------------------------------------------------------------

  void Want(std::size_t r, Router& router, Outs& out);
  void TakeOver(std::size_t r, Router& router, Outs& out);
  void GoOn(std::size_t r, Router& router, Outs& out);
  void Settle(std::size_t r, bool value, bool ran);

  // ---- What happens, and the rules ------------------------------------------------------------------------

  void Send(std::size_t r, Router& router);

  void Tell(OperationOutcome outcome, const std::string& value);

  void Broken(const std::string& rule);

  FailoverModelSetup setup_;
  failover::RecordReader reader_;
  std::array<std::uint64_t, failover::kReplicas> seen_{};  // prints of what it was told
  Budget budget_;
  ClassSettings cls_;
  failover::Time now_{};
  std::vector<std::shared_ptr<const Replica>> replicas_;
  std::vector<std::shared_ptr<const Router>> routers_;
  std::vector<std::shared_ptr<const Parcel>> bag_;  // in flight, by text
  std::vector<std::shared_ptr<const SyncMessages>> syncs_;
  std::vector<Sent> sent_;
  std::string told_;
  failover::Time told_at_{};
  std::string broken_;
};

}  // namespace peatbend::orders

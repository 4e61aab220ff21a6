// The catalogue's three seats and those that change it, all of them the real code, in a place where messages
// are delivered in any order, twice, or never, and seats start anew with nothing in memory. The rules are
// checked as things happen.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "compat/register.h"
#include "orders/interleavings.h"

namespace peatbend::orders {

using compat::Catalogue;
using compat::Change;

// What a careless build would be.
enum class CompatMutant {
  kNone,
  kSilenceRetires,  // who is not heard of is taken for gone
  kOneSeat,         // takes the word of one seat for that of a majority
  kJoinUnwritten,   // tells a reader that it may read before that stands
  kFoundAgain,      // a seat that starts anew votes as if the register were new
  kRetiresWhoever   // an operator's word counts for whatever the reader has said since
};

// The rejoiner is ann, with a statement after that which the operator has seen.
enum class Role { kPublisher, kOtherPublisher, kReader, kOtherReader, kRejoiner, kDetector, kOperator };

struct CompatSetup {
  std::vector<Role> roles{Role::kPublisher, Role::kOtherPublisher, Role::kReader};
  bool ann = false;  // a reader that has joined before, with version 1
  int tries = 1;     // of each
  int twice = 0;     // messages that are delivered twice
  int restarts = 0, words = 0;
  CompatMutant mutant = CompatMutant::kNone;
};

class CompatTown {
 public:
  using Message = failover::Message;
  struct Parcel {
    bool to_seat;
    std::size_t actor, seat;
    Message message;
    std::uint64_t print;  // without the seat
    bool Same(const Parcel& other) const { return print == other.print && seat == other.seat; }
  };
  using ParcelPtr = std::shared_ptr<const Parcel>;
  struct Event {
    enum class What : std::uint8_t { kDelivered, kTwice, kBegins, kSeatAnew, kAsksWords, kWord } what;
    std::size_t who;  // the actor or the seat; of a message: its place
    ParcelPtr parcel;
    std::string Text() const;
  };

  explicit CompatTown(CompatSetup setup);

  std::vector<Event> Events() const;
  CompatTown After(const Event& event) const;
  std::uint64_t Print() const;

  const std::string& broken() const { return broken_; }
  bool accepted() const { return third_ != nullptr; }
  bool joined() const { return counted_[kBob] + counted_[kCid] > 0; }

 private:
  enum Reader { kAnn, kBob, kCid, kReaders };
  static constexpr const char* kNames[] = {"ann", "bob", "cid"};
  struct Seat {
    failover::RecordReplica holder;
    std::uint64_t life;
    std::uint64_t print;
  };
  using SeatPtr = std::shared_ptr<const Seat>;
  struct Actor {
    Role role;
    Change change;
    int tries;
    std::uint64_t print;
    std::array<std::uint64_t, failover::kReplicas> of_seat{};
  };
  using ActorPtr = std::shared_ptr<const Actor>;
  struct Word {  // between seats
    std::size_t from, to;
    std::vector<Message> messages;
    std::uint64_t print;
  };
  using WordPtr = std::shared_ptr<const Word>;
  struct Did {
    ActorPtr actor;
    std::vector<ParcelPtr> posts;
    std::shared_ptr<const std::string> told;  // yes; of a publisher: its schema
  };
  struct Answered {
    SeatPtr seat;
    ParcelPtr answer;
    WordPtr word;
  };
  struct Stood {  // of a catalogue
    bool known = false;
    std::vector<std::string> versions;
    std::set<std::string> readers;  // with version 1
  };
  struct World {  // of all states
    CompatSetup setup;
    std::vector<std::string> versions;  // accepted at the beginning
    mutable BoundedCache<Did> did{1u << 14};
    mutable BoundedCache<Answered> answered{1u << 14};
    mutable std::map<std::string, Stood> stood;
    mutable std::map<std::string, bool> readable;  // with version 1
  };

  const CompatSetup& setup() const { return world_->setup; }
  static std::string Record(const std::string& field, bool optional);
  Change::Command CommandOf(Role role) const;
  failover::RecordReplica Fresh(std::size_t s, std::uint64_t life, bool found) const;
  static SeatPtr Of(Seat seat);
  static ActorPtr Of(Actor actor);
  static ParcelPtr ParcelOf(bool to_seat, std::size_t a, std::size_t s, Message message);
  static WordPtr WordOf(std::size_t from, std::size_t to, std::vector<Message> messages);
  Did DidOf(std::size_t a, const Parcel* parcel) const;
  Answered AnsweredOf(const Parcel& parcel) const;
  Answered HeardOf(const Word& word) const;

  void Do(std::size_t a, const ParcelPtr& parcel);
  void Insert(const ParcelPtr& parcel);
  void Deliver(std::size_t i, bool keep);
  void SeatAnew(std::size_t s);
  void AskWords(std::size_t s);
  void DeliverWord(std::size_t i);
  void Tell(Role role, const std::shared_ptr<const std::string>& schema);
  void Stands(std::size_t s);
  const Stood& StoodOf(const std::string& value) const;
  bool Readable(const std::string& schema) const;
  void Broken(const std::string& rule) {
    if (broken_.empty()) broken_ = rule;
  }

  std::shared_ptr<const World> world_;
  int twice_, restarts_, words_left_;
  std::array<SeatPtr, failover::kReplicas> seats_;
  std::vector<ActorPtr> actors_;
  std::vector<ParcelPtr> bag_;  // in flight
  std::vector<WordPtr> words_;
  std::shared_ptr<const std::string> third_;      // the schema that was told accepted as version 3
  std::array<std::uint8_t, kReaders> counted_{};  // who may read, by the statement; 0: has not been told so
  std::string broken_;
};

}  // namespace peatbend::orders

// What the holders of an operation keep of it, and what they and its owners say to each other. Free of
// I/O and clocks. docs/design/failover.md has the argument.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peatbend::failover {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // on a clock that goes on while the process stands still

// One process's one go at one operation.
struct Proposer {
  std::string name;
  std::uint64_t life = 0;  // of the process; another with each start
  std::uint64_t proposal = 0;    // counts within the life
  auto operator<=>(const Proposer&) const = default;
};

// Who may write. Round 0 is for operation that nobody has written yet, and needs no promise; a higher round needs
// the promises of a majority. No two authors have one ballot.
struct Ballot {
  std::uint64_t round = 0;
  Proposer proposer;
  auto operator<=>(const Ballot&) const = default;
};

// An attempt, from the moment at which it was recorded that it is about to be sent.
struct AttemptRecord {
  Proposer by;
  std::uint32_t number = 0;  // of its proposer's attempts
  std::string server;
  bool may_have_run = true;  // until its proposer has recorded that it never ran
  auto operator<=>(const AttemptRecord&) const = default;
};

enum class OperationOutcome : std::uint8_t { kNone, kValue, kFailed, kRejected };
constexpr const char* kOutcomeNames[] = {"none", "value", "failed", "rejected"};

struct RecordState {
  std::vector<AttemptRecord> attempts;
  OperationOutcome outcome = OperationOutcome::kNone;
  std::string value;
  bool kept = true;     // false: the value was too large to be kept
  bool released = false;  // its owner lives and does nothing more for it
  bool operator==(const RecordState&) const = default;
  // Told to one, it is the outcome for all. A reject says: ask again; so it ends only what was asked before.
  bool final() const { return outcome == OperationOutcome::kValue || outcome == OperationOutcome::kFailed; }
};

// RecordReader and seen: what a replica keeps, without a promise. Ask-word, word, copy: a replica that has started anew
// asks another for its word, which is one message and a copy of each record that both keep.
enum class Kind : std::uint8_t {
  kPrepare,
  kAccept,
  kPromise,
  kAccepted,
  kNack,
  kRead,
  kReadResult,
  kSyncRequest,
  kSyncDone,
  kSyncRecord
};
constexpr const char* kKindNames[] = {"prepare", "accept", "promise",  "accepted", "nack",
                                      "read",    "read-result",   "sync-request", "sync-done",     "sync-record"};

enum class Nack : std::uint8_t {
  kNone,
  kPreempted,  // round 0, and another has written or been promised; or a higher ballot has been promised
  kRecovering,  // this process may have forgotten what it promised in the life before
  kFull,   // no room for another record
};
constexpr const char* kNackNames[] = {"none", "preempted", "recovering", "full"};

// So many replicas keep each record.
constexpr std::size_t kReplicas = 3, kMajority = 2;

// The lives of an operation's replicas, as the one who answers knows them: its own, and those that have asked it for
// its word.
using Lives = std::array<std::uint64_t, kReplicas>;

struct Message {
  Kind kind = Kind::kPrepare;
  std::string operation;
  Ballot ballot;  // of the one who asks, also in the answer
  // accept: what is to be kept. promise, seen: what was kept last, if anything.
  Ballot kept;
  std::uint32_t version = 0;  // of the writes under one ballot; 0: nothing is kept
  RecordState state;
  Span age{};  // accept, promise, seen: since the first attempt was recorded, at the least; zero without an attempt
  Nack nack = Nack::kNone;
  Ballot promised;      // refused: what stands against it. copy: what was promised
  Lives lives{};        // promise, accepted, seen
  bool copied = false;  // seen: it has this by the word of another, and has not been asked to accept it
  std::vector<std::string> syncs;  // word: for the operations of these, beside the two who speak; "*": for all
  bool operator==(const Message&) const = default;
};

// For traces.
std::string Text(const Ballot& ballot);
std::string Text(const RecordState& state);
std::string Text(const Message& message);

// Appends all of it as bytes: equal bytes, equal values. For tests that tell states apart.
void Put(std::string& into, std::uint64_t number);
void Put(std::string& into, const std::string& text);
void Put(std::string& into, const Ballot& ballot);
void Put(std::string& into, const RecordState& state);
void Put(std::string& into, const Message& message);

// Of two states under round 0, one of which at most stands, nobody can tell which: the attempts of both, since
// what each was about to do may be done. Of their ends the one that was made by a value counts first, since
// only whose attempt stood can have one; a reject counts for nothing, since the other may have sent.
RecordState MergeConcurrent(const RecordState& one, const RecordState& other);
// Two replicas' answers count together only if neither has met a later life of the other.
inline bool Agree(std::size_t one, const Lives& of_one, std::size_t other, const Lives& of_other) {
  return of_one[other] <= of_other[other] && of_other[one] <= of_one[one];
}

}  // namespace peatbend::failover

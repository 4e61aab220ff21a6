// What the replicas of an operation's record store, and the messages between them and its owners. Free of I/O
// and clocks. docs/design/failover.md has the argument.
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

// One proposal of one process on one operation.
struct Proposer {
  std::string name;
  std::uint64_t life = 0;      // of the process; another with each start
  std::uint64_t proposal = 0;  // counts within the life
  auto operator<=>(const Proposer&) const = default;
};

// Who may write. Round 0 is for an operation that nobody has written yet, and needs no promise; a higher
// round needs the promises of a majority. No two proposers have the same ballot.
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
  bool kept = true;       // false: the value was too large to be kept
  bool released = false;  // its owner lives and does nothing more for it
  bool operator==(const RecordState&) const = default;
  // Told to one, it is the outcome for all. A reject says: ask again; so it ends only what was asked before.
  bool final() const { return outcome == OperationOutcome::kValue || outcome == OperationOutcome::kFailed; }
};

// Read, read-result: what a replica stores, without a promise. Sync-request, sync-done, sync-record: the
// state transfer to a replica that has restarted, which is one message and a copy of each record that both
// store.
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
constexpr const char* kKindNames[] = {"prepare", "accept",      "promise",      "accepted",  "nack",
                                      "read",    "read-result", "sync-request", "sync-done", "sync-record"};

enum class Nack : std::uint8_t {
  kNone,
  kPreempted,   // round 0, and another has written or been promised; or a higher ballot has been promised
  kRecovering,  // this process may have forgotten what it promised in the life before
  kFull,        // no room for another record
};
constexpr const char* kNackNames[] = {"none", "preempted", "recovering", "full"};

// So many replicas store each record.
constexpr std::size_t kReplicas = 3, kMajority = 2;

// The lives of an operation's replicas, as the one that answers knows them: its own, and those that have
// asked it for a state transfer.
using Lives = std::array<std::uint64_t, kReplicas>;

struct Message {
  Kind kind = Kind::kPrepare;
  std::string operation;
  Ballot ballot;  // of the one who asks, also in the answer
  // accept: what is to be stored. promise, read-result: what was stored last, if anything.
  Ballot kept;
  std::uint32_t version = 0;  // of the writes under one ballot; 0: nothing is stored
  RecordState state;
  // accept, promise, read-result: since the first attempt was recorded, at the least; zero without an
  // attempt.
  Span age{};
  Nack nack = Nack::kNone;
  Ballot promised;  // nack: the ballot against it. sync-record: what was promised
  Lives lives{};    // promise, accepted, read-result
  // read-result: the replica has this by a state transfer, and has not been asked to accept it.
  bool copied = false;
  // sync-done: complete for the operations of these, beside the sender and the receiver; "*": for all.
  std::vector<std::string> syncs;
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

// The union of two states under round 0, one of which at most is committed, and nobody can tell which: the
// attempts of both, since what each was about to do may be done. Of their outcomes a value counts first,
// since only a proposer whose attempt was committed can have one; a reject counts for nothing, since the
// other may have sent.
RecordState MergeConcurrent(const RecordState& one, const RecordState& other);
// Two replicas' answers count together only if neither has met a later life of the other.
inline bool Agree(std::size_t one, const Lives& of_one, std::size_t other, const Lives& of_other) {
  return of_one[other] <= of_other[other] && of_other[one] <= of_one[one];
}

}  // namespace peatbend::failover

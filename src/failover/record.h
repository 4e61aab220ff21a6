// The replicated record of an operation, and the messages between its replicas and the routers that own or
// read it. Contains no I/O and reads no clock. docs/design/failover.md explains why the protocol is correct.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peatbend::failover {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::nanoseconds;  // of a clock that keeps running while the process is stopped

// Identifies one proposal of one process for one operation.
struct Proposer {
  std::string name;
  std::uint64_t generation = 0;  // of the process; higher with each start
  std::uint64_t proposal = 0;    // counts up within a generation
  auto operator<=>(const Proposer&) const = default;
};

// The right to write a record. Round 0 may be used without promises, and only while nobody has written the
// record; a higher round needs the promises of a majority. No two proposers use the same ballot.
struct Ballot {
  std::uint64_t round = 0;
  Proposer proposer;
  auto operator<=>(const Ballot&) const = default;
};

// An attempt at a server. It is recorded before it is sent.
struct AttemptRecord {
  Proposer by;
  std::uint32_t number = 0;  // counts up within a proposer
  std::string server;
  bool may_have_run = true;  // false once its proposer has recorded that it never ran
  auto operator<=>(const AttemptRecord&) const = default;
};

enum class OperationOutcome : std::uint8_t { kNone, kValue, kFailed, kRejected };
constexpr const char* kOutcomeNames[] = {"none", "value", "failed", "rejected"};

struct RecordState {
  std::vector<AttemptRecord> attempts;
  OperationOutcome outcome = OperationOutcome::kNone;
  std::string value;
  bool value_stored = true;  // false: the value was too large to be stored
  bool released = false;     // its owner is running but no longer works on the operation
  bool operator==(const RecordState&) const = default;
  // A final outcome holds for all clients that ask. A rejection is not final: it tells the client to retry,
  // so it ends only the requests received before it.
  bool final() const { return outcome == OperationOutcome::kValue || outcome == OperationOutcome::kFailed; }
};

// kRead and kReadResult fetch a replica's state without a promise. kSyncRequest, kSyncDone and kSyncRecord
// transfer state to a restarted replica: one kSyncDone, and one kSyncRecord for each record that both store.
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
  kPreempted,   // a higher ballot was promised; for round 0: the record was written or promised to another
  kRecovering,  // may have lost promises of its previous generation
  kFull,        // the record would exceed the memory limit
};
constexpr const char* kNackNames[] = {"none", "preempted", "recovering", "full"};

// Replicas of each record, and how many of them form a majority.
constexpr std::size_t kReplicas = 3, kMajority = 2;

// The generations of an operation's replicas as known to the replica that replies: its own, and those from
// which it has received a request for a state transfer. 0: unknown.
using Generations = std::array<std::uint64_t, kReplicas>;

struct Message {
  Kind kind = Kind::kPrepare;
  std::string operation;
  Ballot ballot;  // of the requester; replies repeat it
  // promise, read-result, sync-record: the ballot under which `state` was stored, if anything was.
  Ballot accepted;
  std::uint32_t version = 0;  // counts the writes under one ballot; 0: nothing is stored
  RecordState state;
  // accept, promise, read-result, sync-record: a lower bound of the time since the first attempt was
  // recorded; zero without an attempt.
  Duration age{};
  Nack nack = Nack::kNone;
  Ballot promised;            // nack: the ballot that prevailed; sync-record: the promised ballot
  Generations generations{};  // promise, accepted, read-result
  // read-result, sync-record: the state came from a state transfer and was not accepted by this replica.
  bool copied = false;
  // sync-done: the transfer is complete for operations whose third replica, besides sender and receiver, is
  // one of these; "*": for all operations.
  std::vector<std::string> complete_for;
  bool operator==(const Message&) const = default;
};

// Human-readable form for traces.
std::string Text(const Ballot& ballot);
std::string Text(const RecordState& state);
std::string Text(const Message& message);

// Appends an unambiguous binary form: equal bytes mean equal values. Used by tests to compare states.
void AppendState(std::string& into, std::uint64_t number);
void AppendState(std::string& into, const std::string& text);
void AppendState(std::string& into, const Ballot& ballot);
void AppendState(std::string& into, const RecordState& state);
void AppendState(std::string& into, const Message& message);

// Merges two states written under different ballots of round 0. At most one of them is committed, and a
// reader cannot tell which. The result has the attempts of both, since either may have been sent. A value
// takes precedence over a failure, since only a proposer whose attempt was committed can have one. A
// rejection is dropped, since the other proposer may have sent an attempt.
RecordState MergeConcurrent(const RecordState& one, const RecordState& other);
// True if the replies of two replicas may be counted towards one majority: neither knows of a later
// generation of the other.
inline bool GenerationsAgree(std::size_t one, const Generations& generations_of_one, std::size_t other,
                             const Generations& generations_of_other) {
  return generations_of_one[other] <= generations_of_other[other] &&
         generations_of_other[one] <= generations_of_one[one];
}

}  // namespace peatbend::failover

// The messages that routers exchange about quotas. No I/O and no clocks; docs/design/rations.md has the
// protocol and its proof.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "rations/quota_table.h"

namespace peatbend::rations {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // of a clock that keeps running while the process is suspended

// Buckets are assigned to shards by a hash of their root. Each shard has three replicas and at most one owner
// at a time. Every shard costs messages of its own and has one outstanding token request per router.
constexpr std::uint32_t kShards = 4;
constexpr std::size_t kReplicasPerShard = 3, kMajority = 2;
std::uint32_t ShardOf(const BucketPath& chain);

// Identifies one election of a process for a shard. No two elections share a ballot, in any generation of any
// process.
struct Ballot {
  std::uint64_t round = 0;  // above every round seen so far; orders ballots within one replica generation
  std::string router;
  std::uint64_t nonce = 0;     // of the process, chosen at its start; no two starts share one
  std::uint64_t sequence = 0;  // counts the elections of the process
  auto operator<=>(const Ballot&) const = default;
};

enum class MessageKind : std::uint8_t {
  kPrepare,       // to a replica: requests its promise
  kPromise,       // this replica generation confirms no lower ballot any more
  kConfirm,       // to a replica that has promised: is this ballot still the highest?
  kConfirmed,     // it is
  kDenied,        // a higher ballot was promised, or the replica has restarted since
  kTokenRequest,  // to the owner of a shard
  kGrant,         // the owner's answer
  kRedirect       // the receiver of a token request does not own the shard
};

struct Entry {
  BucketPath chain;
  std::uint32_t tokens = 0;          // token request: requested; grant: granted
  std::uint32_t retry_after_ms = 0;  // grant: when more tokens are expected
  bool operator==(const Entry&) const = default;
};

struct Message {
  MessageKind kind = MessageKind::kPrepare;
  std::uint32_t shard = 0;
  // Prepare, confirm and their responses, including denials: the ballot in question. Grant: the owner's.
  Ballot ballot;
  // Denied: the ballot that was promised instead. Redirect: `router` is the owner, if known. Token request:
  // `router` is the owner that has not answered; the receiver may forward the request to it and return the
  // grant.
  Ballot other_ballot;
  std::uint64_t generation = 0;  // promise, confirm, confirmed, denied: of the replica, chosen at its start
  // Confirm, confirmed: counts within the ballot. Token request, grant, redirect: of the request.
  std::uint64_t sequence = 0;
  std::uint64_t requester = 0;  // token request, grant: nonce of the requesting process
  // Token request, grant: of the table that the entries refer to. Redirect: of the sender's table.
  std::uint64_t fingerprint = 0;
  // Token request, grant. Tokens of an entry count in the first bucket of its chain only; the enclosing
  // buckets have entries of their own.
  std::vector<Entry> entries;
  bool operator==(const Message&) const = default;
};

struct Outgoing {
  std::string router;  // the receiver
  Message message;
};

// Append a value as bytes, so that equal bytes mean equal values. Tests use this to compare states.
void AppendState(std::string& into, std::uint64_t value);
void AppendState(std::string& into, const std::string& text);
void AppendState(std::string& into, const Ballot& ballot);
void AppendState(std::string& into, const Message& message);
std::string Text(const Message& message);  // for traces

}  // namespace peatbend::rations

// What routers say to each other about rations. Free of I/O and clocks; docs/design/rations.md has the
// argument.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "rations/quota_table.h"

namespace peatbend::rations {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // on a clock that goes on while the process stands still

// So many parts the buckets are dealt to, by their root's hash; each has three seats, and one keeper at a
// time. Each costs messages of its own, and has one draw of a router out at a time.
constexpr std::uint32_t kShards = 4;
constexpr std::size_t kSeats = 3, kMajority = 2;
std::uint32_t ShardOf(const BucketPath& chain);

// One process's one go at keeping a shard. No two goes have the same, in any life of any process.
struct Go {
  std::uint64_t round = 0;  // higher than any that it has met; orders goes within one life of a seat
  std::string router;
  std::uint64_t nonce = 0;   // of the process, drawn at its start: no two starts have the same
  std::uint64_t number = 0;  // of the process's goes
  auto operator<=>(const Go&) const = default;
};

enum class MessageKind : std::uint8_t {
  kAsk,        // of a seat: to be promised
  kPromise,    // nobody under a lower go is confirmed any more by this life of the seat
  kConfirm,    // of a seat that has promised: is that go still the one?
  kConfirmed,  // it was
  kDenied,     // a higher go has been promised, or the seat has started anew since
  kDraw,       // of a keeper: tokens
  kGrant,      // and its answer
  kElsewhere   // not kept here
};

struct Entry {
  BucketPath chain;
  std::uint32_t want = 0;     // draw: tokens wanted. grant: tokens given
  std::uint32_t wait_ms = 0;  // grant: when there may be more
  bool operator==(const Entry&) const = default;
};

struct Message {
  MessageKind kind = MessageKind::kAsk;
  std::uint32_t shard = 0;
  // ask, confirm and their answers: the go in question. grant: the keeper's. denied: the one asked about.
  Go go;
  // denied: what was promised to another. elsewhere: who keeps it, if known. draw: by whom it was not
  // answered; who is asked instead may carry it there, and the answer back.
  Go met;
  std::uint64_t life = 0;    // promise, confirm, confirmed, denied: the seat's, drawn at its start
  std::uint64_t number = 0;  // confirm, confirmed: counts within the go. draw, grant, elsewhere: the draw's
  std::uint64_t drawer = 0;  // draw, grant: the nonce of the process that draws
  std::uint64_t print = 0;   // draw, grant: of the table that the entries are of; elsewhere: the answerer's
  // draw, grant. A token of an entry counts in the first of its buckets alone; those that this lies in have
  // entries of their own.
  std::vector<Entry> entries;
  bool operator==(const Message&) const = default;
};

struct Out {
  std::string router;
  Message message;
};

// Appends all of it as bytes: equal bytes, equal values. For tests that tell states apart.
void Put(std::string& into, std::uint64_t number);
void Put(std::string& into, const std::string& text);
void Put(std::string& into, const Go& go);
void Put(std::string& into, const Message& message);
std::string Text(const Message& message);  // for traces

}  // namespace peatbend::rations

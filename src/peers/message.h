// What routers of a fleet say to each other, and its form on the wire: MessagePack, one array a message.
// Fields are only ever added at the end, and a reader passes over those it does not know, so that
// neighbouring versions live in one fleet; `least` says which version a reader must have at the least.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "peers/record.h"

namespace peatbend::peers {

enum class Kind : std::uint8_t { kPing, kAck, kAskPing, kNoAnswer, kGossip, kJoin, kTable, kCargo };

constexpr const char* kKindNames[] = {"ping",   "ack",  "ask-ping", "no-answer",
                                      "gossip", "join", "table",    "cargo"};

// What the sender holds the receiver for.
enum class You : std::uint8_t { kUnknown, kPresent, kGone };

struct Message {
  Kind kind = Kind::kPing;
  std::string fleet;
  std::string from, reply;  // the sender's name, and where it is answered
  std::uint64_t life = 0, birth = 0;
  std::uint64_t number = 0;  // counts the sender's messages in this life
  std::uint64_t probe = 0;   // ping, ask-ping and their answers: which one
  std::uint64_t digest = 0;  // of all that the sender holds for present
  bool member = false;       // the sender is one; else it is about to join
  You you = You::kUnknown;
  std::string target, target_address;  // ask-ping: who is to be asked; its answer: who has answered
  std::uint64_t target_life = 0;
  std::vector<Record> records;
  std::string cargo;  // what other parts of the program say to their like
  bool operator==(const Message&) const = default;
};

constexpr int kVersion = 1;
// Bytes. A datagram stays below what a path may cut up.
constexpr std::size_t kMostDatagram = 1400, kMostStream = 4u << 20;
// Of the messages that a service sends together: they fit a datagram with what stands around them.
constexpr std::size_t kMostBatch = 1000;
constexpr std::size_t kMostRecords = 4096, kMostCargo = 1u << 20;

std::string Encode(const Message& message);
// About as many bytes as Encode makes of it; never fewer.
std::size_t SizeOf(const Record& record);

enum class Fault { kNone, kOversized, kMalformed, kVersion, kFleet };
constexpr const char* kFaultNames[] = {"none", "oversized", "malformed", "of a version too new",
                                       "of another fleet"};

// Reads what a stranger may have written, of at most `most` bytes. Never throws; `message` is whole where
// there is no fault.
Fault Decode(std::string_view bytes, std::size_t most, std::string_view fleet, Message& message);

}  // namespace peatbend::peers

// The messages between routers of a fleet and their wire format: one MessagePack array for each message.
// New fields are only appended, and a reader skips fields that it does not know, so that neighbouring
// versions can run in one fleet. The second field is the lowest version that can read the message.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "peers/record.h"

namespace peatbend::peers {

enum class MessageKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,
  kNack,
  kGossip,
  kJoin,
  kTable,
  kApplication
};

constexpr const char* kMessageKindNames[] = {"ping",   "ack",  "ask-ping", "no-answer",
                                             "gossip", "join", "table",    "cargo"};

// The receiver's status as the sender sees it.
enum class ReceiverStatus : std::uint8_t { kUnknown, kPresent, kGone };

struct Message {
  MessageKind kind = MessageKind::kPing;
  std::string fleet;
  std::string from, reply_to;  // the sender's name, and the address for answers
  std::uint64_t generation = 0, first_generation = 0;
  std::uint64_t sequence = 0;  // increases with each message of the sender's generation
  std::uint64_t probe = 0;     // ping, ping request and their answers: the probe's number
  std::uint64_t digest = 0;    // hash of the members that the sender sees as present
  bool member = false;         // false: the sender has not joined yet
  ReceiverStatus receiver_status = ReceiverStatus::kUnknown;
  std::string target, target_address;  // ping request: the member to ping; in its ack: who answered
  std::uint64_t target_generation = 0;
  std::vector<Record> records;
  std::string payload;  // application messages only
  bool operator==(const Message&) const = default;
};

constexpr int kVersion = 1;
constexpr std::size_t kMaxDatagramBytes = 1400;  // avoids IP fragmentation on usual paths
constexpr std::size_t kMaxStreamBytes = 4u << 20;
// For a batch of application messages that must fit a datagram, together with the message around it.
constexpr std::size_t kMaxBatchBytes = 1000;
constexpr std::size_t kMaxRecords = 4096, kMaxPayloadBytes = 1u << 20;

std::string Encode(const Message& message);
// Upper bound for the encoded size of `record`, in bytes.
std::size_t MaxEncodedSize(const Record& record);

enum class DecodeError { kNone, kOversized, kMalformed, kVersion, kFleet };
constexpr const char* kDecodeErrorNames[] = {"none", "oversized", "malformed", "unsupported version",
                                             "different fleet"};

// Decodes untrusted bytes, `max_bytes` at most. Never throws; `message` is complete if the result is kNone.
DecodeError Decode(std::string_view bytes, std::size_t max_bytes, std::string_view fleet, Message& message);

}  // namespace peatbend::peers

// Serialization of the registry messages between routers and of a replica's persistent state. A message is
// one lead byte, which no other kind of payload starts with, followed by MessagePack.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/decode_error.h"
#include "failover/record.h"

namespace peatbend::compat {

constexpr unsigned char kLeadByte = 3;  // in MessagePack a number, where other payloads start with an array
constexpr std::size_t kMaxChunkBytes = 512u << 10;

enum class MessageKind : std::uint8_t {
  kRecord,             // bytes: a failover::Message, to a replica or from one
  kBootstrapRequest,   // bootstrap_id: the sender's
  kBootstrapAgreed,    // the same id: this replica knows of no other bootstrap of the requester
  kBootstrapRejected,  // the same id: it does
  kAnnounce,           // ballot, fingerprint: of the last known state
  kStateRequest,       // no fields
  kState,              // ballot, bytes: the last known state
  kConfigRequest,      // fingerprint: of a quota configuration; offset: of the first byte wanted
  kConfigChunk         // fingerprint, offset, total_bytes, bytes: a part of its text
};

struct Message {
  MessageKind kind = MessageKind::kRecord;
  std::uint64_t bootstrap_id = 0, fingerprint = 0, offset = 0, total_bytes = 0;
  failover::Ballot ballot;
  std::string bytes;
};

// `replicas`: failover::ReplicaSet::fingerprint() of the sender. Messages of a sender with another replica
// set are rejected.
std::string Encode(std::uint64_t replicas, const Message& message);
using net::DecodeError;
// Accepts arbitrary input. Never throws.
DecodeError Decode(std::string_view bytes, std::uint64_t replicas, Message& message);

// A replica's persistent state: what it has promised and accepted, and the restarted replicas that it has
// answered. A replica restarted with all of it has forgotten nothing.
struct ReplicaState {
  bool votes = false;
  std::uint64_t generation = 0;    // of its last start
  std::uint64_t bootstrap_id = 0;  // its own, as sent to the others; 0: none
  failover::Ballot promised, accepted;
  std::uint32_t version = 0;  // 0: no value has been accepted
  std::string value;
  std::map<std::string, std::uint64_t> sync_generations;  // of the routers that have requested a sync
  std::map<std::string, std::uint64_t> bootstrap_ids;     // of others, as known to this one
  bool operator==(const ReplicaState&) const = default;

  std::string Serialize() const;
  // Nothing if the bytes are of another format or damaged.
  static std::optional<ReplicaState> Parse(std::string_view bytes);
};

}  // namespace peatbend::compat

// Encoding of quota messages: a lead byte that starts no other kind of peer payload, then MessagePack:
// [version, replica set, messages...].
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/decode_error.h"
#include "rations/message.h"

namespace peatbend::rations {

constexpr unsigned char kLeadByte = 0xc1;                        // never used by MessagePack
constexpr unsigned kFormatVersion = 1;                           // readers accept no other
constexpr std::size_t kMaxMessages = 4096, kMaxEntries = 16384;  // per batch; per message

// Encodes messages to one receiver, one after the other.
class MessageBatch {
 public:
  // `replica_set`: failover::ReplicaSet::fingerprint() of the sender; receivers with another one reject the
  // batch.
  explicit MessageBatch(std::uint64_t replica_set) : replica_set_(replica_set) {}
  // Returns false and leaves the batch as it was if it would exceed `max_bytes` or kMaxMessages. The first
  // message is always added.
  bool Add(const Message& message, std::size_t max_bytes);
  std::size_t size() const { return messages_; }
  // Returns the encoded batch and clears it.
  std::string TakeBytes();

 private:
  std::uint64_t replica_set_;
  std::size_t messages_ = 0;
  std::string body_;
};
std::string Encode(std::uint64_t replica_set, const std::vector<Message>& messages);

using net::DecodeError;
// Decodes untrusted bytes. Never throws; `messages` is empty unless kNone is returned.
DecodeError Decode(std::string_view bytes, std::uint64_t replica_set, std::vector<Message>& messages);

}  // namespace peatbend::rations

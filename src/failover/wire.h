// Encodes messages between replicas and routers as MessagePack, several in a batch.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/decode_error.h"
#include "failover/record.h"

namespace peatbend::failover {

constexpr std::size_t kMaxMessages = 4096, kMaxAttempts = 64, kMaxOperationKey = 512, kMaxValue = 256u << 10;

// `replica_set`: ReplicaSet::fingerprint() of the sender. The receiver drops batches with another one.
std::string Encode(std::uint64_t replica_set, const std::vector<Message>& messages);
// An upper bound, close to the actual size, of the bytes that Encode writes for the message.
std::size_t EncodedSizeBound(const Message& message);

using net::DecodeError;
// Decodes untrusted input. Never throws. `messages` is valid only if the result is DecodeError::kNone.
DecodeError Decode(std::string_view bytes, std::uint64_t replica_set, std::vector<Message>& messages);

}  // namespace peatbend::failover

// The messages between replicas and owners as bytes: MessagePack, several messages at a time.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/decode_error.h"
#include "failover/record.h"

namespace peatbend::failover {

constexpr std::size_t kMaxMessages = 4096, kMostAttempts = 64, kMaxOperationKey = 512, kMaxValue = 256u << 10;

// `replica_set`: ReplicaSet::print() of the sender; messages under another one are dropped.
std::string Encode(std::uint64_t replica_set, const std::vector<Message>& messages);
// About as many bytes as Encode makes of it; never fewer.
std::size_t SizeOf(const Message& message);

using net::DecodeError;
// Reads what a stranger may have written. Never throws; `messages` is whole where there is no error.
DecodeError Decode(std::string_view bytes, std::uint64_t replica_set, std::vector<Message>& messages);

}  // namespace peatbend::failover

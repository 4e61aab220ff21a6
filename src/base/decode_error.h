// Results of decoding messages between routers that must share a replica set, and the upper limit of
// unbounded numeric fields.
#pragma once

#include <cstdint>

namespace peatbend::net {

// Maximum passed to a reader for a numeric field without a limit.
constexpr std::uint64_t kUnbounded = ~std::uint64_t{0};

enum class DecodeError : std::uint8_t { kNone, kMalformed, kReplicaSet };

// Log text that follows the name of the sending router.
inline const char* Text(DecodeError error) {
  return error == DecodeError::kReplicaSet ? "has another replica set" : "is malformed";
}

}  // namespace peatbend::net

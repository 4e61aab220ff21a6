// Of bytes that another router says: what may be wrong with them, where both must reckon with the same seats,
// and the bound of numbers that have none.
#pragma once

#include <cstdint>

namespace peatbend::net {

constexpr std::uint64_t kAny = ~std::uint64_t{0};

enum class DecodeError : std::uint8_t { kNone, kMalformed, kReplicaSet };

// For the log: what that router's words are.
inline const char* Text(DecodeError error) {
  return error == DecodeError::kReplicaSet ? "has another replica set" : "is malformed";
}

}  // namespace peatbend::net

// Why bytes that another router sent were dropped, where both must have the same replica set; and the bound
// of numbers that have none.
#pragma once

#include <cstdint>

namespace peatbend::net {

constexpr std::uint64_t kAny = ~std::uint64_t{0};

enum class DecodeError : std::uint8_t { kNone, kMalformed, kReplicaSet };

// For the log, after the router that sent the bytes.
inline const char* Text(DecodeError error) {
  return error == DecodeError::kReplicaSet ? "has another replica set" : "is malformed";
}

}  // namespace peatbend::net

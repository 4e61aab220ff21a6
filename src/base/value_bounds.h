// How slowly a large value may come, or be taken, whoever sends it.
#pragma once

#include <chrono>
#include <cstddef>

namespace peatbend::net {

inline constexpr std::chrono::seconds kValueStall{6};     // without a byte of it
inline constexpr std::size_t kLeastValueBytesPerMs = 64;  // over all of it

// The time for so many bytes at the least rate.
constexpr std::chrono::milliseconds TimeAtLeastRate(std::size_t bytes) {
  return std::chrono::milliseconds(bytes / kLeastValueBytesPerMs);
}

}  // namespace peatbend::net

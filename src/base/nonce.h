// Random numbers that identify one start of a process. Consensus relies on their uniqueness, so all 64 bits
// come from the system's random source.
#pragma once

#include <cstdint>
#include <random>

namespace peatbend::net {

inline std::uint64_t GenerateNonce() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

}  // namespace peatbend::net

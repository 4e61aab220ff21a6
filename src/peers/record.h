// What is known of one router of a fleet. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace peatbend::peers {

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

constexpr const char* kStateNames[] = {"alive", "suspect", "dead", "left"};

struct Record {
  std::string name;
  // Each start of a process has a life of its own, and so has a process that was taken for dead and is not. A
  // higher life of a name ends the lower ones; one that has ended never comes back.
  std::uint64_t life = 0;
  std::uint64_t birth = 0;  // the first life of the process
  std::uint32_t claim = 0;  // raised by the process itself: to refute a suspicion, to tell something new
  State state = State::kAlive;
  std::string by;                     // suspect: whose word that is
  std::string address;                // where its peers reach it, ADDRESS:PORT
  std::string zone, version, serves;  // serves: the clients' address
  std::string note;                   // some bytes of state that ride along

  bool present() const { return state == State::kAlive || state == State::kSuspect; }
  // The order in which knowledge of one name replaces other: dead and left are final within a life.
  std::tuple<std::uint64_t, int, std::uint32_t, bool> Rank() const {
    int end = state == State::kLeft ? 2 : state == State::kDead ? 1 : 0;
    return {life, end, end > 0 ? 0 : claim, state == State::kSuspect};
  }
  bool operator==(const Record&) const = default;
};

// Longer texts are refused by the codec and by the configuration.
constexpr std::size_t kMostName = 64, kMostNote = 64;

}  // namespace peatbend::peers

// What a router knows about one member of its fleet. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace peatbend::peers {

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

constexpr const char* kStateNames[] = {"alive", "suspect", "dead", "left"};

struct Record {
  std::string name;
  // Each process start begins a new generation, and so does a live process that was declared dead. A higher
  // generation supersedes the lower ones of the name; one that has ended never becomes present again.
  std::uint64_t generation = 0;
  std::uint64_t first_generation = 0;  // the generation at the process start
  std::uint32_t incarnation = 0;  // raised by the member itself to refute a suspicion or to update its data
  State state = State::kAlive;
  std::string suspected_by;  // suspect, dead: the router that reported it
  std::string address;       // ADDRESS:PORT where peers reach the member
  std::string zone, version;
  std::string client_address;  // where the member serves clients
  std::string metadata;        // a few bytes of application state

  bool present() const { return state == State::kAlive || state == State::kSuspect; }
  // Of two records of a name the one with the higher precedence wins: dead and left are final within a
  // generation, and a suspicion beats alive of the same incarnation.
  std::tuple<std::uint64_t, int, std::uint32_t, bool> Precedence() const {
    int end = state == State::kLeft ? 2 : state == State::kDead ? 1 : 0;
    return {generation, end, end > 0 ? 0 : incarnation, state == State::kSuspect};
  }
  bool operator==(const Record&) const = default;
};

// The codec and the configuration reject longer values.
constexpr std::size_t kMaxNameBytes = 64, kMaxMetadataBytes = 64;

}  // namespace peatbend::peers

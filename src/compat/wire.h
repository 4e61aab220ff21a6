// What routers say to each other about what is published, and what a seat may not forget, as bytes: one byte
// that begins no other cargo, then MessagePack.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/decode_error.h"
#include "failover/record.h"

namespace peatbend::compat {

constexpr unsigned char kLead = 3;  // as MessagePack a number, where others have an array
constexpr std::size_t kMostChunk = 512u << 10;

enum class SayKind : std::uint8_t {
  kRegister,      // bytes: failover's message, to a seat or from one
  kAskFound,      // number: the asker's founding
  kFound,         // the same number: this seat knows of no other founding of the asker's
  kNotFound,      // it does
  kNews,          // ballot, print: what stands, as far as is known
  kAskCatalogue,  // ...
  kCatalogue,     // ballot, bytes: the same, whole
  kAskBook,       // print: of a book; at: from that byte on
  kBook           // print, at, total, bytes: a piece of its text
};

struct Say {
  SayKind kind = SayKind::kRegister;
  std::uint64_t number = 0, print = 0, at = 0, total = 0;
  failover::Ballot ballot;
  std::string bytes;
};

// `seats`: failover::ReplicaSet::fingerprint() of the sender; who reckons with other seats is not listened
// to.
std::string Encode(std::uint64_t seats, const Say& say);
using net::DecodeError;
// Reads what a stranger may have written. Never throws.
DecodeError Decode(std::string_view bytes, std::uint64_t seats, Say& say);

// What a seat has promised and accepted; what it has told others that start anew. A seat that is started with
// all of it again has forgotten nothing.
struct Memory {
  bool sits = false;           // it votes
  std::uint64_t life = 0;      // of its last start
  std::uint64_t founding = 0;  // its own, as it was told to the others; 0: none
  failover::Ballot promised, kept;
  std::uint32_t version = 0;  // 0: nothing is kept
  std::string value;
  std::map<std::string, std::uint64_t> words;      // lives of those that asked for this one's word
  std::map<std::string, std::uint64_t> foundings;  // of others, that this one knows of
  bool operator==(const Memory&) const = default;

  std::string Bytes() const;
  static std::optional<Memory> Read(std::string_view bytes);
};

}  // namespace peatbend::compat

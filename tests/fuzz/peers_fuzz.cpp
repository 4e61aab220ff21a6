// Fuzzes the decoder with arbitrary bytes, and passes decoded messages to a membership with a few members.
// Built with clang and libFuzzer (scripts/fuzz); CI's tests run the same entry point over mutated messages.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/membership.h"

using namespace peatbend::peers;

namespace {

Record Of(const char* name, std::uint64_t generation, const char* address) {
  Record r;
  r.name = name;
  r.generation = r.first_generation = generation;
  r.address = address;
  return r;
}

// A valid message of each kind as a basis for mutations.
std::string Sample(unsigned which) {
  Message m;
  m.kind = static_cast<MessageKind>(which % 7);
  m.fleet = "f";
  m.from = which % 3 == 0 ? "me" : which % 3 == 1 ? "other" : "new";
  m.reply_to = "b:1";
  m.generation = m.first_generation = 5 + which % 5;
  m.sequence = which;
  m.member = which % 4 != 0;
  m.target = "third";
  m.target_address = "c:1";
  m.records = {Of("other", 5, "b:1"), Of("me", 5 + which % 9, which % 2 == 0 ? "a:1" : "d:1"),
               Of("x", 1, "x:1")};
  m.records[which % 3].state = static_cast<State>(which / 7 % 4);
  return Encode(m);
}

}  // namespace

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t max_size);

extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t max_size,
                                               unsigned seed) {
  if (seed % 8 == 0) {
    std::string sample = Sample(seed / 8);
    size = std::min(sample.size(), max_size);
    std::copy_n(sample.begin(), size, data);
  }
  return LLVMFuzzerMutate(data, size, max_size);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  Message message;
  if (Decode(bytes, kMaxStreamBytes, "f", message) != DecodeError::kNone) return 0;
  Membership membership(Options{.fleet = "f", .max_members = 16}, Of("me", 9, "a:1"), {"b:1"}, 1,
                        TimePoint{10s});
  std::vector<Outgoing> out;
  Message table;
  table.kind = MessageKind::kTable;
  table.fleet = "f";
  table.from = "other";
  table.reply_to = "b:1";
  table.generation = table.first_generation = 5;
  table.member = true;
  table.records = {Of("other", 5, "b:1"), Of("third", 6, "c:1")};
  membership.Step(TimePoint{10s}, out);
  membership.Receive(TimePoint{10s}, table, Transport::kStreamReply, out);
  for (Transport transport :
       {Transport::kDatagram, Transport::kStreamRequest, Transport::kStreamReply, Transport::kDatagram}) {
    membership.Receive(TimePoint{10s + 10ms}, message, transport, out);
    membership.Step(TimePoint{10s + 400ms}, out);
  }
  // The number of members and the size of datagrams stay within their limits.
  if (membership.members().size() > 16) std::abort();
  for (const Outgoing& one : out) {
    if (!one.stream && Encode(one.message).size() > kMaxDatagramBytes) std::abort();
  }
  return 0;
}

// Whatever bytes come from a peer: decoded, and what decodes is taken by a membership that knows some others.
// Built with clang and libFuzzer (scripts/fuzz); the same entry point is run over mutated messages by CI's
// tests.
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

Record Of(const char* name, std::uint64_t life, const char* address) {
  Record r;
  r.name = name;
  r.life = r.birth = life;
  r.address = address;
  return r;
}

// A whole message of each kind, for the fuzzer to spoil.
std::string Sample(unsigned which) {
  Message m;
  m.kind = static_cast<Kind>(which % 7);
  m.fleet = "f";
  m.from = which % 3 == 0 ? "me" : which % 3 == 1 ? "other" : "new";
  m.reply = "b:1";
  m.life = m.birth = 5 + which % 5;
  m.number = which;
  m.member = which % 4 != 0;
  m.target = "third";
  m.target_address = "c:1";
  m.records = {Of("other", 5, "b:1"), Of("me", 5 + which % 9, which % 2 == 0 ? "a:1" : "d:1"),
               Of("x", 1, "x:1")};
  m.records[which % 3].state = static_cast<State>(which / 7 % 4);
  return Encode(m);
}

}  // namespace

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t most);

extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned seed) {
  if (seed % 8 == 0) {
    std::string sample = Sample(seed / 8);
    size = std::min(sample.size(), most);
    std::copy_n(sample.begin(), size, data);
  }
  return LLVMFuzzerMutate(data, size, most);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  Message message;
  if (Decode(bytes, kMostStream, "f", message) != Fault::kNone) return 0;
  Membership it(Options{.fleet = "f", .most = 16}, Of("me", 9, "a:1"), {"b:1"}, 1, Time{10s});
  std::vector<Outgoing> out;
  Message table;
  table.kind = Kind::kTable;
  table.fleet = "f";
  table.from = "other";
  table.reply = "b:1";
  table.life = table.birth = 5;
  table.member = true;
  table.records = {Of("other", 5, "b:1"), Of("third", 6, "c:1")};
  it.Step(Time{10s}, out);
  it.Take(Time{10s}, table, Via::kAnswer, out);
  for (Via via : {Via::kDatagram, Via::kStream, Via::kAnswer, Via::kDatagram}) {
    it.Take(Time{10s + 10ms}, message, via, out);
    it.Step(Time{10s + 400ms}, out);
  }
  // Bounded whatever is told: names kept, and the size of what is sent on.
  if (it.members().size() > 16) std::abort();
  for (const Outgoing& one : out) {
    if (!one.stream && Encode(one.message).size() > kMostDatagram) std::abort();
  }
  return 0;
}

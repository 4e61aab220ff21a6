// Arbitrary bytes as two schemas, separated by a newline: a parsed schema is parsed again from its own text
// as an equal one, and two can be compared. Or as a registry state, a replica state or a message: what is
// parsed is serialized as the same. Built with clang and libFuzzer (scripts/fuzz).
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "compat/registry_state.h"
#include "compat/resolve.h"
#include "compat/wire.h"

using namespace peatbend::compat;

namespace {

constexpr std::string_view kSamples[] = {
    R"({"type":"record","name":"a.R","aliases":["Q"],"fields":[{"name":"f","type":["null","R"],"default":null},
{"name":"g","aliases":["h"],"type":{"type":"array","items":{"type":"fixed","name":"F","size":2}},"default":[]}]})",
    R"([{"type":"enum","name":"E","symbols":["A","B"],"default":"A"},{"type":"map","values":"double"},"E2"])",
    R"({"type":"record","name":"R","fields":[{"name":"d","type":{"type":"record","name":"S","namespace":"b",
"fields":[{"name":"x","type":"double","default":1}]},"default":{"x":7,"y":2}}]})"};

std::string Sample(unsigned which) {
  if (which % 6 < 3) return std::string(kSamples[which % 6]);
  if (which % 6 == 3) return Encode(7, {MessageKind::kAnnounce, which, 1, 2, 3, {4, {"ann", 5, 6}}, "text"});
  if (which % 6 == 4)
    return ReplicaState{true, 1, 2, {3, {"ann", 4, 5}}, {}, which, "v", {{"bob", 6}}, {{"eve", 7}}}
        .Serialize();
  RegistryState it;
  it.Declare("s", {});
  it.Propose("s", 1, R"("int")");
  it.Propose("s", 2, R"(["int"])");
  it.RegisterReader("s", "ann", which, {1, 2});
  it.RegisterReader("s", "bob", 1, {2});
  it.Retire("s", "bob", 1, "eve", "gone");
  return it.Serialize();
}

void Require(bool what) {
  if (!what) std::abort();
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
  if (auto state = RegistryState::Parse(bytes)) Require(state->Serialize() == bytes);
  if (auto saved = ReplicaState::Parse(bytes)) Require(ReplicaState::Parse(saved->Serialize()) == saved);
  if (Message message, again; Decode(bytes, 7, message) == DecodeError::kNone)
    Require(Decode(Encode(7, message), 7, again) == DecodeError::kNone && again.bytes == message.bytes &&
            again.ballot == message.ballot);
  auto writer = Schema::Parse(bytes.substr(0, bytes.find('\n')));
  auto reader = Schema::Parse(bytes.substr(std::min(size, bytes.find('\n'))));
  for (const auto* each : {&writer, &reader}) {
    if (const Error* error = std::get_if<Error>(each)) {
      Require(error->path.starts_with("$") && !error->what.empty());
      continue;
    }
    const Schema& schema = std::get<Schema>(*each);
    auto again = Schema::Parse(schema.text(), {.bytes = ~std::size_t{0}, .depth = 64});
    Require(std::holds_alternative<Schema>(again) && std::get<Schema>(again) == schema);
    // It reads what it writes, except where two branches of a union differ only in their namespace.
    for (const Difference& difference : Resolve(schema, schema))
      Require(difference.path.find('>') != std::string::npos);
  }
  if (std::holds_alternative<Schema>(writer) && std::holds_alternative<Schema>(reader))
    Require(Resolve(std::get<Schema>(writer), std::get<Schema>(reader)).size() <= 128);
  return 0;
}

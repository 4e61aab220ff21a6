#include "rations/message.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace peatbend::rations {
namespace {

constexpr const char* kKindNames[] = {"ask",    "promise", "confirm", "confirmed",
                                      "denied", "draw",    "grant",   "elsewhere"};

std::string Text(const Go& go) {
  return go.round == 0 ? "nobody" : fmt::format("{}/{}.{:x}.{}", go.round, go.router, go.nonce, go.number);
}

}  // namespace

std::uint32_t ShardOf(const BucketPath& chain) {
  if (chain.size == 0) return 0;
  const std::uint64_t root[] = {chain.root().quota, chain.root().key_hash};
  return static_cast<std::uint32_t>(XXH3_64bits(root, sizeof root) % kShards);
}

void Put(std::string& into, std::uint64_t number) {
  into.append(reinterpret_cast<const char*>(&number), sizeof number);
}

void Put(std::string& into, const std::string& text) {
  Put(into, text.size());
  into += text;
}

void Put(std::string& into, const Go& go) {
  Put(into, go.round);
  Put(into, go.router);
  Put(into, go.nonce);
  Put(into, go.number);
}

void Put(std::string& into, const Message& m) {
  Put(into, static_cast<std::uint64_t>(m.kind));
  Put(into, std::uint64_t{m.shard});
  Put(into, m.go);
  Put(into, m.met);
  for (std::uint64_t each : {m.life, m.number, m.drawer, m.print}) Put(into, each);
  Put(into, m.entries.size());
  for (const Entry& entry : m.entries) {
    Put(into, std::uint64_t{entry.chain.size});
    for (std::size_t i = 0; i < entry.chain.size; ++i) {
      Put(into, std::uint64_t{entry.chain.buckets[i].quota});
      Put(into, entry.chain.buckets[i].key_hash);
    }
    for (std::uint64_t each : {entry.want, entry.wait_ms}) Put(into, each);
  }
}

std::string Text(const Message& m) {
  std::string text = fmt::format("{} {} of {}", kKindNames[static_cast<int>(m.kind)], m.shard, Text(m.go));
  if (m.met.round != 0) text += ", met " + Text(m.met);
  if (m.life != 0) text += fmt::format(", life {:x}", m.life);
  if (m.number != 0) text += fmt::format(" #{}", m.number);
  if (m.drawer != 0) text += fmt::format(" by {:x}", m.drawer);
  for (const Entry& entry : m.entries) {
    text += " [";
    for (std::size_t i = 0; i < entry.chain.size; ++i)
      text += fmt::format("{}:{:x} ", entry.chain.buckets[i].quota, entry.chain.buckets[i].key_hash);
    text += fmt::format("{}, wait {} ms]", entry.want, entry.wait_ms);
  }
  return text;
}

}  // namespace peatbend::rations

#include "rations/message.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace peatbend::rations {
namespace {

constexpr const char* kKindNames[] = {"ask",    "promise", "confirm", "confirmed",
                                      "denied", "draw",    "grant",   "elsewhere"};

std::string Text(const Ballot& ballot) {
  return ballot.round == 0
             ? "nobody"
             : fmt::format("{}/{}.{:x}.{}", ballot.round, ballot.router, ballot.nonce, ballot.sequence);
}

}  // namespace

std::uint32_t ShardOf(const BucketPath& chain) {
  if (chain.size == 0) return 0;
  const std::uint64_t root[] = {chain.root().quota, chain.root().key_hash};
  return static_cast<std::uint32_t>(XXH3_64bits(root, sizeof root) % kShards);
}

void AppendState(std::string& into, std::uint64_t value) {
  into.append(reinterpret_cast<const char*>(&value), sizeof value);
}

void AppendState(std::string& into, const std::string& text) {
  AppendState(into, text.size());
  into += text;
}

void AppendState(std::string& into, const Ballot& ballot) {
  AppendState(into, ballot.round);
  AppendState(into, ballot.router);
  AppendState(into, ballot.nonce);
  AppendState(into, ballot.sequence);
}

void AppendState(std::string& into, const Message& m) {
  AppendState(into, static_cast<std::uint64_t>(m.kind));
  AppendState(into, std::uint64_t{m.shard});
  AppendState(into, m.ballot);
  AppendState(into, m.other_ballot);
  for (std::uint64_t each : {m.generation, m.sequence, m.requester, m.fingerprint}) AppendState(into, each);
  AppendState(into, m.entries.size());
  for (const Entry& entry : m.entries) {
    AppendState(into, std::uint64_t{entry.chain.size});
    for (std::size_t i = 0; i < entry.chain.size; ++i) {
      AppendState(into, std::uint64_t{entry.chain.buckets[i].quota});
      AppendState(into, entry.chain.buckets[i].key_hash);
    }
    for (std::uint64_t each : {entry.tokens, entry.retry_after_ms}) AppendState(into, each);
  }
}

std::string Text(const Message& m) {
  std::string text =
      fmt::format("{} {} of {}", kKindNames[static_cast<int>(m.kind)], m.shard, Text(m.ballot));
  if (m.other_ballot.round != 0) text += ", other ballot " + Text(m.other_ballot);
  if (m.generation != 0) text += fmt::format(", generation {:x}", m.generation);
  if (m.sequence != 0) text += fmt::format(" #{}", m.sequence);
  if (m.requester != 0) text += fmt::format(" by {:x}", m.requester);
  for (const Entry& entry : m.entries) {
    text += " [";
    for (std::size_t i = 0; i < entry.chain.size; ++i)
      text += fmt::format("{}:{:x} ", entry.chain.buckets[i].quota, entry.chain.buckets[i].key_hash);
    text += fmt::format("{}, retry after {} ms]", entry.tokens, entry.retry_after_ms);
  }
  return text;
}

}  // namespace peatbend::rations

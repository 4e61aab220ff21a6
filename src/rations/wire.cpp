#include "rations/wire.h"

#include <algorithm>

#include "base/msgpack.h"

namespace peatbend::rations {
namespace {

using net::kUnbounded;
using net::MsgpackReader;
using net::MsgpackWriter;

constexpr std::size_t kMaxRouterName = 64, kMessageFields = 9;
constexpr std::size_t kMaxBatchOverhead = 24;  // bytes of a batch beside its messages
constexpr std::size_t kMinEntryBytes = 5;
constexpr std::uint64_t kMaxTokens = 1'000'000'000, kMaxRetryAfterMs = 3'600'000;

void Write(MsgpackWriter& to, const Ballot& ballot) {
  to.Array(4).Number(ballot.round).Text(ballot.router).Number(ballot.nonce).Number(ballot.sequence);
}

void Write(MsgpackWriter& to, const Message& m) {
  to.Array(kMessageFields).Number(static_cast<std::uint64_t>(m.kind)).Number(m.shard);
  Write(to, m.ballot);
  Write(to, m.other_ballot);
  to.Number(m.generation)
      .Number(m.sequence)
      .Number(m.requester)
      .Number(m.fingerprint)
      .Array(m.entries.size());
  for (const Entry& entry : m.entries) {
    to.Array(2 + 2u * entry.chain.size).Number(entry.tokens).Number(entry.retry_after_ms);
    for (std::size_t i = 0; i < entry.chain.size; ++i)
      to.Number(entry.chain.buckets[i].quota).Number(entry.chain.buckets[i].key_hash);
  }
}

// A batch of messages that are encoded already.
std::string EncodeBatch(std::uint64_t replica_set, std::size_t messages, std::string_view body) {
  std::string bytes(1, static_cast<char>(kLeadByte));
  bytes.reserve(body.size() + kMaxBatchOverhead);
  MsgpackWriter(bytes).Array(3).Number(kFormatVersion).Number(replica_set).Array(messages).Raw(body);
  return bytes;
}

bool Read(MsgpackReader& from, Ballot& ballot) {
  std::size_t fields = 0;
  return from.Array(fields, 4, 4)
      .Number(ballot.round, kUnbounded)
      .Text(ballot.router, kMaxRouterName)
      .Number(ballot.nonce, kUnbounded)
      .Number(ballot.sequence, kUnbounded)
      .ok();
}

bool Read(MsgpackReader& from, Entry& entry) {
  std::size_t fields = 0;
  from.Array(fields, 4, 2 + 2 * kMaxQuotaDepth)
      .Number(entry.tokens, kMaxTokens)
      .Number(entry.retry_after_ms, kMaxRetryAfterMs);
  if (!from.ok() || fields % 2 != 0) return false;
  entry.chain.size = static_cast<std::uint8_t>(fields / 2 - 1);
  for (std::size_t i = 0; i < entry.chain.size; ++i)
    from.Number(entry.chain.buckets[i].quota, 0xffffffffu)
        .Number(entry.chain.buckets[i].key_hash, kUnbounded);
  return from.ok();
}

// `bytes`: of the whole batch; bounds the space reserved for entries.
bool Read(MsgpackReader& from, Message& m, std::size_t bytes) {
  std::size_t fields = 0, entries = 0;
  from.Array(fields, kMessageFields, kMessageFields)
      .Number(m.kind, static_cast<std::uint64_t>(MessageKind::kRedirect))
      .Number(m.shard, kShards - 1);
  if (!from.ok() || !Read(from, m.ballot) || !Read(from, m.other_ballot)) return false;
  from.Number(m.generation, kUnbounded)
      .Number(m.sequence, kUnbounded)
      .Number(m.requester, kUnbounded)
      .Number(m.fingerprint, kUnbounded);
  from.Array(entries, 0, std::min(kMaxEntries, bytes / kMinEntryBytes));
  m.entries.reserve(entries);
  for (; from.ok() && entries > 0; --entries) {
    if (!Read(from, m.entries.emplace_back())) return false;
  }
  return from.ok();
}

}  // namespace

bool MessageBatch::Add(const Message& message, std::size_t max_bytes) {
  std::size_t before = body_.size();
  MsgpackWriter to(body_);
  Write(to, message);
  if (messages_ > 0 && (body_.size() + kMaxBatchOverhead > max_bytes || messages_ >= kMaxMessages)) {
    body_.resize(before);
    return false;
  }
  ++messages_;
  return true;
}

std::string MessageBatch::TakeBytes() {
  std::string bytes = EncodeBatch(replica_set_, messages_, body_);
  body_.clear();
  messages_ = 0;
  return bytes;
}

std::string Encode(std::uint64_t replica_set, const std::vector<Message>& messages) {
  std::string body;
  MsgpackWriter to(body);
  for (const Message& message : messages) Write(to, message);
  return EncodeBatch(replica_set, messages.size(), body);
}

DecodeError Decode(std::string_view bytes, std::uint64_t replica_set, std::vector<Message>& messages) {
  messages.clear();
  if (bytes.empty() || static_cast<unsigned char>(bytes[0]) != kLeadByte) return DecodeError::kMalformed;
  MsgpackReader from(bytes.substr(1));
  std::size_t fields = 0, count = 0;
  unsigned version = 0;
  std::uint64_t sender_replica_set = 0;
  from.Array(fields, 3, 3).Number(version, kUnbounded).Number(sender_replica_set, kUnbounded);
  if (!from.ok() || version != kFormatVersion) return DecodeError::kMalformed;
  from.Array(count, 0, kMaxMessages);
  if (from.ok() && sender_replica_set != replica_set) return DecodeError::kReplicaSet;
  for (; from.ok() && count > 0; --count) {
    if (!Read(from, messages.emplace_back(), bytes.size())) break;
  }
  if (count == 0 && from.at_end()) return DecodeError::kNone;
  messages.clear();
  return DecodeError::kMalformed;
}

}  // namespace peatbend::rations

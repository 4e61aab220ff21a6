#include "rations/wire.h"

#include <algorithm>

#include "base/msgpack.h"

namespace peatbend::rations {
namespace {

using net::kAny;
using net::MsgpackReader;
using net::MsgpackWriter;

constexpr std::size_t kMostName = 64, kFields = 9;
constexpr std::size_t kAround = 24;     // bytes of a parcel beside its messages, at most
constexpr std::size_t kLeastEntry = 5;  // bytes
constexpr std::uint64_t kMostTokens = 1'000'000'000, kMostWait = 3'600'000;

void Write(MsgpackWriter& to, const Go& go) {
  to.Array(4).Number(go.round).Text(go.router).Number(go.nonce).Number(go.number);
}

void Write(MsgpackWriter& to, const Message& m) {
  to.Array(kFields).Number(static_cast<std::uint64_t>(m.kind)).Number(m.shard);
  Write(to, m.go);
  Write(to, m.met);
  to.Number(m.life).Number(m.number).Number(m.drawer).Number(m.print).Array(m.entries.size());
  for (const Entry& entry : m.entries) {
    to.Array(2 + 2u * entry.chain.size).Number(entry.want).Number(entry.wait_ms);
    for (std::size_t i = 0; i < entry.chain.size; ++i)
      to.Number(entry.chain.buckets[i].quota).Number(entry.chain.buckets[i].key_hash);
  }
}

// A parcel of so many messages that are written already.
std::string Around(std::uint64_t seats, std::size_t messages, std::string_view body) {
  std::string bytes(1, static_cast<char>(kLead));
  bytes.reserve(body.size() + kAround);
  MsgpackWriter(bytes).Array(3).Number(kForm).Number(seats).Array(messages).Raw(body);
  return bytes;
}

bool Read(MsgpackReader& from, Go& go) {
  std::size_t fields = 0;
  return from.Array(fields, 4, 4)
      .Number(go.round, kAny)
      .Text(go.router, kMostName)
      .Number(go.nonce, kAny)
      .Number(go.number, kAny)
      .fine();
}

bool Read(MsgpackReader& from, Entry& entry) {
  std::size_t fields = 0;
  from.Array(fields, 4, 2 + 2 * kMaxQuotaDepth)
      .Number(entry.want, kMostTokens)
      .Number(entry.wait_ms, kMostWait);
  if (!from.fine() || fields % 2 != 0) return false;
  entry.chain.size = static_cast<std::uint8_t>(fields / 2 - 1);
  for (std::size_t i = 0; i < entry.chain.size; ++i)
    from.Number(entry.chain.buckets[i].quota, 0xffffffffu).Number(entry.chain.buckets[i].key_hash, kAny);
  return from.fine();
}

bool Read(MsgpackReader& from, Message& m, std::size_t bytes) {
  std::size_t fields = 0, entries = 0;
  from.Array(fields, kFields, kFields)
      .Number(m.kind, static_cast<std::uint64_t>(MessageKind::kElsewhere))
      .Number(m.shard, kShards - 1);
  if (!from.fine() || !Read(from, m.go) || !Read(from, m.met)) return false;
  from.Number(m.life, kAny).Number(m.number, kAny).Number(m.drawer, kAny).Number(m.print, kAny);
  from.Array(entries, 0, std::min(kMostEntries, bytes / kLeastEntry));
  m.entries.reserve(entries);
  for (; from.fine() && entries > 0; --entries) {
    if (!Read(from, m.entries.emplace_back())) return false;
  }
  return from.fine();
}

}  // namespace

bool Parcel::Add(const Message& message, std::size_t most) {
  std::size_t before = body_.size();
  MsgpackWriter to(body_);
  Write(to, message);
  if (messages_ > 0 && (body_.size() + kAround > most || messages_ >= kMostTogether)) {
    body_.resize(before);
    return false;
  }
  ++messages_;
  return true;
}

std::string Parcel::Take() {
  std::string bytes = Around(seats_, messages_, body_);
  body_.clear();
  messages_ = 0;
  return bytes;
}

std::string Encode(std::uint64_t seats, const std::vector<Message>& messages) {
  std::string body;
  MsgpackWriter to(body);
  for (const Message& message : messages) Write(to, message);
  return Around(seats, messages.size(), body);
}

DecodeError Decode(std::string_view bytes, std::uint64_t seats, std::vector<Message>& messages) {
  messages.clear();
  if (bytes.empty() || static_cast<unsigned char>(bytes[0]) != kLead) return DecodeError::kMalformed;
  MsgpackReader from(bytes.substr(1));
  std::size_t fields = 0, many = 0;
  unsigned form = 0;
  std::uint64_t its_seats = 0;
  from.Array(fields, 3, 3).Number(form, kAny).Number(its_seats, kAny);
  if (!from.fine() || form != kForm) return DecodeError::kMalformed;
  from.Array(many, 0, kMostTogether);
  if (from.fine() && its_seats != seats) return DecodeError::kReplicaSet;
  for (; from.fine() && many > 0; --many) {
    if (!Read(from, messages.emplace_back(), bytes.size())) break;
  }
  if (many == 0 && from.done()) return DecodeError::kNone;
  messages.clear();
  return DecodeError::kMalformed;
}

}  // namespace peatbend::rations

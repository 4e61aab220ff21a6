#include "peers/message.h"

#include <algorithm>
#include <utility>

#include "base/msgpack.h"

namespace peatbend::peers {
namespace {

using net::kUnbounded;
using net::MsgpackReader;
using net::MsgpackWriter;

constexpr std::size_t kFields = 17, kRecordFields = 11;  // known to this version, without the payload
constexpr std::size_t kMaxFields = 0xffff, kMinRecordBytes = kRecordFields + 1;
constexpr int kMaxDepth = 3;  // nesting: message, records, record

void Write(MsgpackWriter& to, const Record& r) {
  to.Array(kRecordFields).Text(r.name).Number(r.generation).Number(r.first_generation).Number(r.incarnation);
  to.Number(static_cast<std::uint64_t>(r.state)).Text(r.suspected_by).Text(r.address).Text(r.zone);
  to.Text(r.version).Text(r.client_address).Blob(r.metadata);
}

bool Read(MsgpackReader& from, Record& r) {
  std::size_t fields = 0;
  from.Array(fields, kRecordFields, kMaxFields);
  from.Text(r.name, kMaxNameBytes)
      .Number(r.generation, kUnbounded)
      .Number(r.first_generation, kUnbounded)
      .Number(r.incarnation, 0xffffffffu);
  from.Number(r.state, static_cast<std::uint64_t>(State::kLeft)).Text(r.suspected_by, kMaxNameBytes);
  from.Text(r.address, kMaxNameBytes).Text(r.zone, kMaxNameBytes).Text(r.version, kMaxNameBytes);
  from.Text(r.client_address, kMaxNameBytes).Blob(r.metadata, kMaxMetadataBytes);
  if (from.ok()) from.Skip(fields - kRecordFields, 0);
  return from.ok() && !r.name.empty() && !r.address.empty();
}

}  // namespace

std::string Encode(const Message& m) {
  std::string bytes;
  bytes.reserve(160 + m.payload.size() + 96 * m.records.size());
  MsgpackWriter to(bytes);
  bool has_payload = m.kind == MessageKind::kApplication;
  to.Array(kFields + (has_payload ? 1 : 0)).Number(kVersion).Number(kVersion).Text(m.fleet);
  to.Number(static_cast<std::uint64_t>(m.kind))
      .Text(m.from)
      .Text(m.reply_to)
      .Number(m.generation)
      .Number(m.first_generation);
  to.Number(m.sequence).Number(m.probe).Number(m.digest).Flag(m.member);
  to.Number(static_cast<std::uint64_t>(m.receiver_status))
      .Text(m.target)
      .Text(m.target_address)
      .Number(m.target_generation);
  to.Array(m.records.size());
  for (const Record& record : m.records) Write(to, record);
  if (has_payload) to.Blob(m.payload);
  return bytes;
}

std::size_t MaxEncodedSize(const Record& r) {
  return 42 + r.name.size() + r.suspected_by.size() + r.address.size() + r.zone.size() + r.version.size() +
         r.client_address.size() + r.metadata.size();
}

DecodeError Decode(std::string_view bytes, std::size_t max_bytes, std::string_view fleet, Message& m) {
  if (bytes.size() > max_bytes) return DecodeError::kOversized;
  MsgpackReader from(bytes);
  std::size_t fields = 0, records = 0;
  unsigned version = 0, min_version = 0;
  std::string sender_fleet;
  from.Array(fields, 3, kMaxFields)
      .Number(version, 0xffff)
      .Number(min_version, 0xffff)
      .Text(sender_fleet, kMaxNameBytes);
  if (!from.ok()) return DecodeError::kMalformed;
  if (sender_fleet != fleet) return DecodeError::kFleet;
  if (min_version > static_cast<unsigned>(kVersion)) return DecodeError::kVersion;
  m = {};
  m.fleet = std::move(sender_fleet);
  from.Number(m.kind, static_cast<std::uint64_t>(MessageKind::kApplication))
      .Text(m.from, kMaxNameBytes)
      .Text(m.reply_to, kMaxNameBytes);
  from.Number(m.generation, kUnbounded)
      .Number(m.first_generation, kUnbounded)
      .Number(m.sequence, kUnbounded)
      .Number(m.probe, kUnbounded);
  from.Number(m.digest, kUnbounded)
      .Flag(m.member)
      .Number(m.receiver_status, static_cast<std::uint64_t>(ReceiverStatus::kGone));
  from.Text(m.target, kMaxNameBytes)
      .Text(m.target_address, kMaxNameBytes)
      .Number(m.target_generation, kUnbounded);
  from.Array(records, 0, std::min(kMaxRecords, bytes.size() / kMinRecordBytes));
  std::size_t known = kFields + (m.kind == MessageKind::kApplication ? 1 : 0);
  if (!from.ok() || fields < known || m.from.empty() || m.reply_to.empty()) return DecodeError::kMalformed;
  m.records.reserve(records);
  for (; records > 0; --records) {
    if (!Read(from, m.records.emplace_back())) return DecodeError::kMalformed;
  }
  if (m.kind == MessageKind::kApplication) from.Blob(m.payload, kMaxPayloadBytes);
  return from.ok() && from.Skip(fields - known, kMaxDepth - 1).at_end() ? DecodeError::kNone
                                                                        : DecodeError::kMalformed;
}

}  // namespace peatbend::peers

#include "peers/message.h"

#include <algorithm>
#include <utility>

#include "base/msgpack.h"

namespace peatbend::peers {
namespace {

using net::kUnbounded;
using net::MsgpackReader;
using net::MsgpackWriter;

constexpr std::size_t kFields = 17, kRecordFields = 11;  // that this version knows, beside the cargo
constexpr std::size_t kMostFields = 0xffff, kLeastRecord = kRecordFields + 1;
constexpr int kDeepest = 3;  // message, records, record

void Write(MsgpackWriter& to, const Record& r) {
  to.Array(kRecordFields).Text(r.name).Number(r.life).Number(r.birth).Number(r.claim);
  to.Number(static_cast<std::uint64_t>(r.state)).Text(r.by).Text(r.address).Text(r.zone);
  to.Text(r.version).Text(r.serves).Blob(r.note);
}

bool Read(MsgpackReader& from, Record& r) {
  std::size_t fields = 0;
  from.Array(fields, kRecordFields, kMostFields);
  from.Text(r.name, kMostName)
      .Number(r.life, kUnbounded)
      .Number(r.birth, kUnbounded)
      .Number(r.claim, 0xffffffffu);
  from.Number(r.state, static_cast<std::uint64_t>(State::kLeft)).Text(r.by, kMostName);
  from.Text(r.address, kMostName).Text(r.zone, kMostName).Text(r.version, kMostName);
  from.Text(r.serves, kMostName).Blob(r.note, kMostNote);
  if (from.ok()) from.Skip(fields - kRecordFields, 0);
  return from.ok() && !r.name.empty() && !r.address.empty();
}

}  // namespace

std::string Encode(const Message& m) {
  std::string bytes;
  bytes.reserve(160 + m.cargo.size() + 96 * m.records.size());
  MsgpackWriter to(bytes);
  bool cargo = m.kind == Kind::kCargo;
  to.Array(kFields + (cargo ? 1 : 0)).Number(kVersion).Number(kVersion).Text(m.fleet);
  to.Number(static_cast<std::uint64_t>(m.kind)).Text(m.from).Text(m.reply).Number(m.life).Number(m.birth);
  to.Number(m.number).Number(m.probe).Number(m.digest).Flag(m.member);
  to.Number(static_cast<std::uint64_t>(m.you)).Text(m.target).Text(m.target_address).Number(m.target_life);
  to.Array(m.records.size());
  for (const Record& record : m.records) Write(to, record);
  if (cargo) to.Blob(m.cargo);
  return bytes;
}

std::size_t SizeOf(const Record& r) {
  return 42 + r.name.size() + r.by.size() + r.address.size() + r.zone.size() + r.version.size() +
         r.serves.size() + r.note.size();
}

Fault Decode(std::string_view bytes, std::size_t most, std::string_view fleet, Message& m) {
  if (bytes.size() > most) return Fault::kOversized;
  MsgpackReader from(bytes);
  std::size_t fields = 0, records = 0;
  unsigned version = 0, least = 0;
  std::string its_fleet;
  from.Array(fields, 3, kMostFields).Number(version, 0xffff).Number(least, 0xffff).Text(its_fleet, kMostName);
  if (!from.ok()) return Fault::kMalformed;
  if (its_fleet != fleet) return Fault::kFleet;
  if (least > static_cast<unsigned>(kVersion)) return Fault::kVersion;
  m = {};
  m.fleet = std::move(its_fleet);
  from.Number(m.kind, static_cast<std::uint64_t>(Kind::kCargo))
      .Text(m.from, kMostName)
      .Text(m.reply, kMostName);
  from.Number(m.life, kUnbounded)
      .Number(m.birth, kUnbounded)
      .Number(m.number, kUnbounded)
      .Number(m.probe, kUnbounded);
  from.Number(m.digest, kUnbounded).Flag(m.member).Number(m.you, static_cast<std::uint64_t>(You::kGone));
  from.Text(m.target, kMostName).Text(m.target_address, kMostName).Number(m.target_life, kUnbounded);
  from.Array(records, 0, std::min(kMostRecords, bytes.size() / kLeastRecord));
  std::size_t known = kFields + (m.kind == Kind::kCargo ? 1 : 0);
  if (!from.ok() || fields < known || m.from.empty() || m.reply.empty()) return Fault::kMalformed;
  m.records.reserve(records);
  for (; records > 0; --records) {
    if (!Read(from, m.records.emplace_back())) return Fault::kMalformed;
  }
  if (m.kind == Kind::kCargo) from.Blob(m.cargo, kMostCargo);
  return from.ok() && from.Skip(fields - known, kDeepest - 1).at_end() ? Fault::kNone : Fault::kMalformed;
}

}  // namespace peatbend::peers

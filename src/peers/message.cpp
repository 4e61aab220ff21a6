#include "peers/message.h"

#include <nlohmann/json.hpp>

#include "base/packed.h"

namespace peatbend::peers {
namespace {

using net::Fields;
using net::kAny;
using nlohmann::json;

constexpr int kDeepest = 3;  // message, records, record
json ToJson(const Record& r) {
  return json::array({r.name, r.life, r.birth, r.claim, static_cast<unsigned>(r.state), r.by, r.address,
                      r.zone, r.version, r.serves, net::Blob(r.note)});
}

bool Read(const json& from, Record& r) {
  Fields fields(from);
  fields.Text(r.name, kMostName).Number(r.life, kAny).Number(r.birth, kAny).Number(r.claim, 0xffffffffu);
  fields.Number(r.state, static_cast<std::uint64_t>(State::kLeft)).Text(r.by, kMostName);
  fields.Text(r.address, kMostName).Text(r.zone, kMostName).Text(r.version, kMostName);
  fields.Text(r.serves, kMostName).Blob(r.note, kMostNote);
  return fields.fine() && !r.name.empty() && !r.address.empty();
}

}  // namespace

std::string Encode(const Message& m) {
  json records = json::array();
  for (const Record& record : m.records) records.push_back(ToJson(record));
  json array =
      json::array({kVersion, kVersion, m.fleet, static_cast<unsigned>(m.kind), m.from, m.reply, m.life,
                   m.birth, m.number, m.probe, m.digest, m.member, static_cast<unsigned>(m.you), m.target,
                   m.target_address, m.target_life, std::move(records)});
  if (m.kind == Kind::kCargo) array.push_back(net::Blob(m.cargo));
  std::string bytes;
  json::to_msgpack(array, bytes);
  return bytes;
}

std::size_t SizeOf(const Record& r) {
  return 42 + r.name.size() + r.by.size() + r.address.size() + r.zone.size() + r.version.size() +
         r.serves.size() + r.note.size();
}

Fault Decode(std::string_view bytes, std::size_t most, std::string_view fleet, Message& m) {
  if (bytes.size() > most) return Fault::kOversized;
  json array = net::Unpack(bytes, kDeepest);
  if (array.is_discarded()) return Fault::kMalformed;
  Fields fields(array);
  unsigned version = 0, least = 0;
  std::string its_fleet;
  fields.Number(version, 0xffff).Number(least, 0xffff).Text(its_fleet, kMostName);
  if (!fields.fine()) return Fault::kMalformed;
  if (its_fleet != fleet) return Fault::kFleet;
  if (least > static_cast<unsigned>(kVersion)) return Fault::kVersion;
  m = {};
  m.fleet = its_fleet;
  fields.Number(m.kind, static_cast<std::uint64_t>(Kind::kCargo))
      .Text(m.from, kMostName)
      .Text(m.reply, kMostName);
  fields.Number(m.life, kAny).Number(m.birth, kAny).Number(m.number, kAny).Number(m.probe, kAny);
  fields.Number(m.digest, kAny).Flag(m.member).Number(m.you, static_cast<std::uint64_t>(You::kGone));
  fields.Text(m.target, kMostName).Text(m.target_address, kMostName).Number(m.target_life, kAny);
  const json* records = fields.Next();
  if (!fields.fine() || m.from.empty() || m.reply.empty()) return Fault::kMalformed;
  if (records == nullptr || !records->is_array() || records->size() > kMostRecords) return Fault::kMalformed;
  for (const json& one : *records) {
    if (!Read(one, m.records.emplace_back())) return Fault::kMalformed;
  }
  if (m.kind == Kind::kCargo && !fields.Blob(m.cargo, kMostCargo).fine()) return Fault::kMalformed;
  return Fault::kNone;
}

}  // namespace peatbend::peers

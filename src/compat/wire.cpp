#include "compat/wire.h"

#include <nlohmann/json.hpp>

#include "base/msgpack_fields.h"

namespace peatbend::compat {
namespace {

using failover::Ballot;
using net::FieldReader;
using net::kUnbounded;
using nlohmann::json;

constexpr int kNested = 4;
constexpr std::uint64_t kForm = 1;
constexpr std::size_t kMostName = 64, kMostNames = 64, kMostValue = 256u << 10;

json ToJson(const Ballot& ballot) {
  return json::array(
      {ballot.round, ballot.proposer.name, ballot.proposer.generation, ballot.proposer.proposal});
}
bool Read(const json* from, Ballot& ballot) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  return fields.Number(ballot.round, kUnbounded)
      .Text(ballot.proposer.name, kMostName)
      .Number(ballot.proposer.generation, kUnbounded)
      .Number(ballot.proposer.proposal, kUnbounded)
      .ok();
}

json ToJson(const std::map<std::string, std::uint64_t>& numbers) {
  json all = json::array();
  for (const auto& [name, number] : numbers) all.push_back(json::array({name, number}));
  return all;
}
bool Read(const json* from, std::map<std::string, std::uint64_t>& numbers) {
  if (from == nullptr || !from->is_array() || from->size() > kMostNames) return false;
  for (const json& one : *from) {
    std::string name;
    std::uint64_t number = 0;
    if (!FieldReader(one).Text(name, kMostName).Number(number, kUnbounded).ok()) return false;
    numbers[name] = number;
  }
  return true;
}

}  // namespace

std::string Encode(std::uint64_t seats, const Say& say) {
  std::string bytes(1, static_cast<char>(kLead));
  json::to_msgpack(json::array({seats, static_cast<unsigned>(say.kind), say.number, say.print, say.at,
                                say.total, ToJson(say.ballot), net::Blob(say.bytes)}),
                   bytes);
  return bytes;
}

DecodeError Decode(std::string_view bytes, std::uint64_t seats, Say& say) {
  if (bytes.empty() || static_cast<unsigned char>(bytes[0]) != kLead) return DecodeError::kMalformed;
  json array = net::Unpack(bytes.substr(1), kNested);
  if (array.is_discarded()) return DecodeError::kMalformed;
  FieldReader fields(array);
  std::uint64_t its_seats = 0;
  fields.Number(its_seats, kUnbounded)
      .Number(say.kind, static_cast<std::uint64_t>(SayKind::kBook))
      .Number(say.number, kUnbounded)
      .Number(say.print, kUnbounded)
      .Number(say.at, kUnbounded)
      .Number(say.total, kUnbounded);
  if (!fields.ok() || !Read(fields.Next(), say.ballot) || !fields.Blob(say.bytes, kMostChunk).ok())
    return DecodeError::kMalformed;
  return its_seats == seats ? DecodeError::kNone : DecodeError::kReplicaSet;
}

std::string Memory::Bytes() const {
  std::string bytes;
  json::to_msgpack(json::array({kForm, sits, life, founding, ToJson(promised), ToJson(kept), version,
                                net::Blob(value), ToJson(words), ToJson(foundings)}),
                   bytes);
  return bytes;
}

std::optional<Memory> Memory::Read(std::string_view bytes) {
  json array = net::Unpack(bytes, kNested);
  if (array.is_discarded()) return std::nullopt;
  Memory read;
  std::uint64_t form = 0;
  FieldReader fields(array);
  fields.Number(form, kForm).Flag(read.sits).Number(read.life, kUnbounded).Number(read.founding, kUnbounded);
  if (!fields.ok() || form != kForm || !compat::Read(fields.Next(), read.promised) ||
      !compat::Read(fields.Next(), read.kept))
    return std::nullopt;
  fields.Number(read.version, 0xffffffffu).Blob(read.value, kMostValue);
  if (!fields.ok() || !compat::Read(fields.Next(), read.words) ||
      !compat::Read(fields.Next(), read.foundings))
    return std::nullopt;
  return read;
}

}  // namespace peatbend::compat

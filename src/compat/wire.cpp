#include "compat/wire.h"

#include <nlohmann/json.hpp>

#include "base/msgpack_fields.h"

namespace peatbend::compat {
namespace {

using failover::Ballot;
using net::FieldReader;
using net::kUnbounded;
using nlohmann::json;

constexpr int kMaxNesting = 4;
constexpr std::uint64_t kReplicaStateFormat = 1;
constexpr std::size_t kMaxRouterNameBytes = 64, kMaxNames = 64, kMaxValueBytes = 256u << 10;

json ToJson(const Ballot& ballot) {
  return json::array(
      {ballot.round, ballot.proposer.name, ballot.proposer.generation, ballot.proposer.proposal});
}
bool Read(const json* from, Ballot& ballot) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  return fields.Number(ballot.round, kUnbounded)
      .Text(ballot.proposer.name, kMaxRouterNameBytes)
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
  if (from == nullptr || !from->is_array() || from->size() > kMaxNames) return false;
  for (const json& one : *from) {
    std::string name;
    std::uint64_t number = 0;
    if (!FieldReader(one).Text(name, kMaxRouterNameBytes).Number(number, kUnbounded).ok()) return false;
    numbers[name] = number;
  }
  return true;
}

}  // namespace

std::string Encode(std::uint64_t replicas, const Message& message) {
  std::string bytes(1, static_cast<char>(kLeadByte));
  json::to_msgpack(
      json::array({replicas, static_cast<unsigned>(message.kind), message.bootstrap_id, message.fingerprint,
                   message.offset, message.total_bytes, ToJson(message.ballot), net::Blob(message.bytes)}),
      bytes);
  return bytes;
}

DecodeError Decode(std::string_view bytes, std::uint64_t replicas, Message& message) {
  if (bytes.empty() || static_cast<unsigned char>(bytes[0]) != kLeadByte) return DecodeError::kMalformed;
  json array = net::Unpack(bytes.substr(1), kMaxNesting);
  if (array.is_discarded()) return DecodeError::kMalformed;
  FieldReader fields(array);
  std::uint64_t sender_replicas = 0;
  fields.Number(sender_replicas, kUnbounded)
      .Number(message.kind, static_cast<std::uint64_t>(MessageKind::kConfigChunk))
      .Number(message.bootstrap_id, kUnbounded)
      .Number(message.fingerprint, kUnbounded)
      .Number(message.offset, kUnbounded)
      .Number(message.total_bytes, kUnbounded);
  if (!fields.ok() || !Read(fields.Next(), message.ballot) ||
      !fields.Blob(message.bytes, kMaxChunkBytes).ok())
    return DecodeError::kMalformed;
  return sender_replicas == replicas ? DecodeError::kNone : DecodeError::kReplicaSet;
}

std::string ReplicaState::Serialize() const {
  std::string bytes;
  json::to_msgpack(
      json::array({kReplicaStateFormat, votes, generation, bootstrap_id, ToJson(promised), ToJson(accepted),
                   version, net::Blob(value), ToJson(sync_generations), ToJson(bootstrap_ids)}),
      bytes);
  return bytes;
}

std::optional<ReplicaState> ReplicaState::Parse(std::string_view bytes) {
  json array = net::Unpack(bytes, kMaxNesting);
  if (array.is_discarded()) return std::nullopt;
  ReplicaState read;
  std::uint64_t format = 0;
  FieldReader fields(array);
  fields.Number(format, kReplicaStateFormat)
      .Flag(read.votes)
      .Number(read.generation, kUnbounded)
      .Number(read.bootstrap_id, kUnbounded);
  if (!fields.ok() || format != kReplicaStateFormat || !compat::Read(fields.Next(), read.promised) ||
      !compat::Read(fields.Next(), read.accepted))
    return std::nullopt;
  fields.Number(read.version, 0xffffffffu).Blob(read.value, kMaxValueBytes);
  if (!fields.ok() || !compat::Read(fields.Next(), read.sync_generations) ||
      !compat::Read(fields.Next(), read.bootstrap_ids))
    return std::nullopt;
  return read;
}

}  // namespace peatbend::compat

#include "failover/wire.h"

#include <nlohmann/json.hpp>

#include "base/msgpack_fields.h"

namespace peatbend::failover {
namespace {

using net::FieldReader;
using net::kUnbounded;
using nlohmann::json;

constexpr int kMaxDepth = 6;  // envelope, messages, message, state, attempts, attempt, proposer
constexpr std::size_t kMaxNameLength = 64, kMaxCompleteFor = 1024;
constexpr std::uint64_t kMaxAge = 86'400'000'000'000;  // ns, one day

json ToJson(const Proposer& proposer) {
  return json::array({proposer.name, proposer.generation, proposer.proposal});
}
json ToJson(const Ballot& ballot) { return json::array({ballot.round, ToJson(ballot.proposer)}); }
json ToJson(const RecordState& state) {
  json attempts = json::array();
  for (const AttemptRecord& attempt : state.attempts)
    attempts.push_back(
        json::array({ToJson(attempt.by), attempt.number, attempt.server, attempt.may_have_run}));
  return json::array({std::move(attempts), static_cast<unsigned>(state.outcome), net::Blob(state.value),
                      state.value_stored, state.released});
}

bool Read(const json* from, Proposer& proposer) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  return fields.Text(proposer.name, kMaxNameLength)
      .Number(proposer.generation, kUnbounded)
      .Number(proposer.proposal, kUnbounded)
      .ok();
}
bool Read(const json* from, Ballot& ballot) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  return fields.Number(ballot.round, kUnbounded).ok() && Read(fields.Next(), ballot.proposer);
}
bool Read(const json* from, RecordState& state) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  const json* attempts = fields.Next();
  if (attempts == nullptr || !attempts->is_array() || attempts->size() > kMaxAttempts) return false;
  for (const json& item : *attempts) {
    AttemptRecord& attempt = state.attempts.emplace_back();
    FieldReader attempt_fields(item);
    if (!Read(attempt_fields.Next(), attempt.by)) return false;
    if (!attempt_fields.Number(attempt.number, 0xffffffffu)
             .Text(attempt.server, 256)
             .Flag(attempt.may_have_run)
             .ok())
      return false;
  }
  return fields.Number(state.outcome, static_cast<std::uint64_t>(OperationOutcome::kRejected))
      .Blob(state.value, kMaxValue)
      .Flag(state.value_stored)
      .Flag(state.released)
      .ok();
}
bool Read(const json& from, Message& m) {
  FieldReader fields(from);
  fields.Number(m.kind, static_cast<std::uint64_t>(Kind::kSyncRecord)).Text(m.operation, kMaxOperationKey);
  bool expects_no_operation = m.kind == Kind::kSyncRequest || m.kind == Kind::kSyncDone;
  if (!fields.ok() || m.operation.empty() != expects_no_operation || !Read(fields.Next(), m.ballot))
    return false;
  std::uint64_t age = 0;
  fields.Number(m.version, 0xffffffffu).Number(age, kMaxAge);
  fields.Number(m.nack, static_cast<std::uint64_t>(Nack::kFull));
  m.age = Duration(age);
  if (!fields.ok() || !Read(fields.Next(), m.accepted) || !Read(fields.Next(), m.promised) ||
      !Read(fields.Next(), m.state))
    return false;
  for (std::uint64_t& generation : m.generations) fields.Number(generation, kUnbounded);
  fields.Flag(m.copied);
  const json* complete_for = fields.Next();
  if (!fields.ok() || complete_for == nullptr || !complete_for->is_array() ||
      complete_for->size() > kMaxCompleteFor)
    return false;
  for (const json& item : *complete_for) {
    if (!item.is_string() || item.get_ref<const std::string&>().size() > kMaxNameLength) return false;
    m.complete_for.push_back(item.get<std::string>());
  }
  return true;
}

}  // namespace

std::string Encode(std::uint64_t replica_set, const std::vector<Message>& messages) {
  json all = json::array();
  for (const Message& m : messages) {
    all.push_back(
        json::array({static_cast<unsigned>(m.kind), m.operation, ToJson(m.ballot), m.version,
                     static_cast<std::uint64_t>(std::max(Duration{}, m.age).count()),
                     static_cast<unsigned>(m.nack), ToJson(m.accepted), ToJson(m.promised), ToJson(m.state),
                     m.generations[0], m.generations[1], m.generations[2], m.copied, m.complete_for}));
  }
  std::string bytes;
  json::to_msgpack(json::array({replica_set, std::move(all)}), bytes);
  return bytes;
}

std::size_t EncodedSizeBound(const Message& m) {
  auto proposer = [](const Proposer& item) { return 24 + item.name.size(); };
  std::size_t size = 96 + m.operation.size() + m.state.value.size() + proposer(m.ballot.proposer) +
                     proposer(m.accepted.proposer) + proposer(m.promised.proposer);
  for (const std::string& name : m.complete_for) size += 2 + name.size();
  for (const AttemptRecord& attempt : m.state.attempts)
    size += 16 + proposer(attempt.by) + attempt.server.size();
  return size;
}

DecodeError Decode(std::string_view bytes, std::uint64_t replica_set, std::vector<Message>& messages) {
  return net::ReadEnvelope(bytes, kMaxDepth + 1, replica_set, kMaxMessages, messages,
                           [](const json& item, Message& message) { return Read(item, message); });
}

}  // namespace peatbend::failover

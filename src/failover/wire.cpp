#include "failover/wire.h"

#include <nlohmann/json.hpp>

#include "base/msgpack_fields.h"

namespace peatbend::failover {
namespace {

using net::FieldReader;
using net::kUnbounded;
using nlohmann::json;

constexpr int kDeepest = 6;  // all, messages, message, state, attempts, attempt, proposer
constexpr std::size_t kMostName = 64, kMostSyncs = 1024;
constexpr std::uint64_t kMostAge = 86'400'000'000'000;  // ns: a day

json ToJson(const Proposer& proposer) {
  return json::array({proposer.name, proposer.life, proposer.proposal});
}
json ToJson(const Ballot& ballot) { return json::array({ballot.round, ToJson(ballot.proposer)}); }
json ToJson(const RecordState& state) {
  json attempts = json::array();
  for (const AttemptRecord& attempt : state.attempts)
    attempts.push_back(
        json::array({ToJson(attempt.by), attempt.number, attempt.server, attempt.may_have_run}));
  return json::array({std::move(attempts), static_cast<unsigned>(state.outcome), net::Blob(state.value),
                      state.kept, state.released});
}

bool Read(const json* from, Proposer& proposer) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  return fields.Text(proposer.name, kMostName)
      .Number(proposer.life, kUnbounded)
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
  if (attempts == nullptr || !attempts->is_array() || attempts->size() > kMostAttempts) return false;
  for (const json& one : *attempts) {
    AttemptRecord& attempt = state.attempts.emplace_back();
    FieldReader of_attempt(one);
    if (!Read(of_attempt.Next(), attempt.by)) return false;
    if (!of_attempt.Number(attempt.number, 0xffffffffu)
             .Text(attempt.server, 256)
             .Flag(attempt.may_have_run)
             .ok())
      return false;
  }
  return fields.Number(state.outcome, static_cast<std::uint64_t>(OperationOutcome::kRejected))
      .Blob(state.value, kMaxValue)
      .Flag(state.kept)
      .Flag(state.released)
      .ok();
}
bool Read(const json& from, Message& m) {
  FieldReader fields(from);
  fields.Number(m.kind, static_cast<std::uint64_t>(Kind::kSyncRecord)).Text(m.operation, kMaxOperationKey);
  bool of_no_operation = m.kind == Kind::kSyncRequest || m.kind == Kind::kSyncDone;
  if (!fields.ok() || m.operation.empty() != of_no_operation || !Read(fields.Next(), m.ballot)) return false;
  std::uint64_t age = 0;
  fields.Number(m.version, 0xffffffffu).Number(age, kMostAge);
  fields.Number(m.nack, static_cast<std::uint64_t>(Nack::kFull));
  m.age = Span(age);
  if (!fields.ok() || !Read(fields.Next(), m.kept) || !Read(fields.Next(), m.promised) ||
      !Read(fields.Next(), m.state))
    return false;
  for (std::uint64_t& life : m.lives) fields.Number(life, kUnbounded);
  fields.Flag(m.copied);
  const json* syncs = fields.Next();
  if (!fields.ok() || syncs == nullptr || !syncs->is_array() || syncs->size() > kMostSyncs) return false;
  for (const json& one : *syncs) {
    if (!one.is_string() || one.get_ref<const std::string&>().size() > kMostName) return false;
    m.syncs.push_back(one.get<std::string>());
  }
  return true;
}

}  // namespace

std::string Encode(std::uint64_t replica_set, const std::vector<Message>& messages) {
  json all = json::array();
  for (const Message& m : messages) {
    all.push_back(json::array({static_cast<unsigned>(m.kind), m.operation, ToJson(m.ballot), m.version,
                               static_cast<std::uint64_t>(std::max(Span{}, m.age).count()),
                               static_cast<unsigned>(m.nack), ToJson(m.kept), ToJson(m.promised),
                               ToJson(m.state), m.lives[0], m.lives[1], m.lives[2], m.copied, m.syncs}));
  }
  std::string bytes;
  json::to_msgpack(json::array({replica_set, std::move(all)}), bytes);
  return bytes;
}

std::size_t SizeOf(const Message& m) {
  auto proposer = [](const Proposer& one) { return 24 + one.name.size(); };
  std::size_t size = 96 + m.operation.size() + m.state.value.size() + proposer(m.ballot.proposer) +
                     proposer(m.kept.proposer) + proposer(m.promised.proposer);
  for (const std::string& name : m.syncs) size += 2 + name.size();
  for (const AttemptRecord& attempt : m.state.attempts)
    size += 16 + proposer(attempt.by) + attempt.server.size();
  return size;
}

DecodeError Decode(std::string_view bytes, std::uint64_t replica_set, std::vector<Message>& messages) {
  return net::ReadEnvelope(bytes, kDeepest + 1, replica_set, kMaxMessages, messages,
                           [](const json& one, Message& message) { return Read(one, message); });
}

}  // namespace peatbend::failover

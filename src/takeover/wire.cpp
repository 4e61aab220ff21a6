#include "takeover/wire.h"

#include <nlohmann/json.hpp>

#include "base/msgpack_fields.h"

namespace peatbend::takeover {
namespace {

using net::FieldReader;
using net::kAny;
using nlohmann::json;

constexpr int kDeepest = 6;  // all, messages, message, state, steps, step, author
constexpr std::size_t kMostName = 64, kMostVouches = 1024;
constexpr std::uint64_t kMostAge = 86'400'000'000'000;  // ns: a day

json ToJson(const Author& author) { return json::array({author.name, author.life, author.go}); }
json ToJson(const Ballot& ballot) { return json::array({ballot.round, ToJson(ballot.author)}); }
json ToJson(const State& state) {
  json steps = json::array();
  for (const Step& step : state.steps)
    steps.push_back(json::array({ToJson(step.by), step.number, step.server, step.may_have_run}));
  return json::array(
      {std::move(steps), static_cast<unsigned>(state.end), net::Blob(state.value), state.kept, state.let_go});
}

bool Read(const json* from, Author& author) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  return fields.Text(author.name, kMostName).Number(author.life, kAny).Number(author.go, kAny).fine();
}
bool Read(const json* from, Ballot& ballot) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  return fields.Number(ballot.round, kAny).fine() && Read(fields.Next(), ballot.author);
}
bool Read(const json* from, State& state) {
  if (from == nullptr) return false;
  FieldReader fields(*from);
  const json* steps = fields.Next();
  if (steps == nullptr || !steps->is_array() || steps->size() > kMostSteps) return false;
  for (const json& one : *steps) {
    Step& step = state.steps.emplace_back();
    FieldReader of_step(one);
    if (!Read(of_step.Next(), step.by)) return false;
    if (!of_step.Number(step.number, 0xffffffffu).Text(step.server, 256).Flag(step.may_have_run).fine())
      return false;
  }
  return fields.Number(state.end, static_cast<std::uint64_t>(End::kRejected))
      .Blob(state.value, kMostValue)
      .Flag(state.kept)
      .Flag(state.let_go)
      .fine();
}
bool Read(const json& from, Message& m) {
  FieldReader fields(from);
  fields.Number(m.kind, static_cast<std::uint64_t>(Kind::kCopy)).Text(m.work, kMostWork);
  bool of_no_work = m.kind == Kind::kAskWord || m.kind == Kind::kWord;
  if (!fields.fine() || m.work.empty() != of_no_work || !Read(fields.Next(), m.ballot)) return false;
  std::uint64_t age = 0;
  fields.Number(m.version, 0xffffffffu).Number(age, kMostAge);
  fields.Number(m.refusal, static_cast<std::uint64_t>(Refusal::kFull));
  m.age = Span(age);
  if (!fields.fine() || !Read(fields.Next(), m.kept) || !Read(fields.Next(), m.promised) ||
      !Read(fields.Next(), m.state))
    return false;
  for (std::uint64_t& life : m.lives) fields.Number(life, kAny);
  fields.Flag(m.copied);
  const json* vouches = fields.Next();
  if (!fields.fine() || vouches == nullptr || !vouches->is_array() || vouches->size() > kMostVouches)
    return false;
  for (const json& one : *vouches) {
    if (!one.is_string() || one.get_ref<const std::string&>().size() > kMostName) return false;
    m.vouches.push_back(one.get<std::string>());
  }
  return true;
}

}  // namespace

std::string Encode(std::uint64_t seats, const std::vector<Message>& messages) {
  json all = json::array();
  for (const Message& m : messages) {
    all.push_back(json::array({static_cast<unsigned>(m.kind), m.work, ToJson(m.ballot), m.version,
                               static_cast<std::uint64_t>(std::max(Span{}, m.age).count()),
                               static_cast<unsigned>(m.refusal), ToJson(m.kept), ToJson(m.promised),
                               ToJson(m.state), m.lives[0], m.lives[1], m.lives[2], m.copied, m.vouches}));
  }
  std::string bytes;
  json::to_msgpack(json::array({seats, std::move(all)}), bytes);
  return bytes;
}

std::size_t SizeOf(const Message& m) {
  auto author = [](const Author& one) { return 24 + one.name.size(); };
  std::size_t size = 96 + m.work.size() + m.state.value.size() + author(m.ballot.author) +
                     author(m.kept.author) + author(m.promised.author);
  for (const std::string& name : m.vouches) size += 2 + name.size();
  for (const Step& step : m.state.steps) size += 16 + author(step.by) + step.server.size();
  return size;
}

DecodeError Decode(std::string_view bytes, std::uint64_t seats, std::vector<Message>& messages) {
  return net::ReadEnvelope(bytes, kDeepest + 1, seats, kMostTogether, messages,
                           [](const json& one, Message& message) { return Read(one, message); });
}

}  // namespace peatbend::takeover

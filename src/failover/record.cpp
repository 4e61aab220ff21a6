#include "failover/record.h"

#include <fmt/format.h>

#include <algorithm>

namespace peatbend::failover {
namespace {

std::string ProposerName(const Proposer& proposer) {
  return fmt::format("{}.{:x}.{}", proposer.name, proposer.generation, proposer.proposal);
}

void AppendState(std::string& into, const Proposer& proposer) {
  failover::AppendState(into, proposer.name);
  failover::AppendState(into, proposer.generation);
  failover::AppendState(into, proposer.proposal);
}

}  // namespace

std::string Text(const Ballot& ballot) {
  return fmt::format("{}/{}", ballot.round, ProposerName(ballot.proposer));
}

std::string Text(const RecordState& state) {
  std::string text = kOutcomeNames[static_cast<int>(state.outcome)];
  if (!state.value.empty()) text += " " + state.value;
  if (state.released) text += " released";
  for (const AttemptRecord& attempt : state.attempts) {
    text += fmt::format(", {} #{} at {}{}", ProposerName(attempt.by), attempt.number, attempt.server,
                        attempt.may_have_run ? "" : " (never ran)");
  }
  return text;
}

std::string Text(const Message& m) {
  std::string text =
      fmt::format("{} {} by {}", kKindNames[static_cast<int>(m.kind)], m.operation, Text(m.ballot));
  bool has_state = m.kind == Kind::kPromise || m.kind == Kind::kReadResult;
  if (has_state && m.version > 0) text += " accepted " + Text(m.accepted);
  if (m.version > 0) text += fmt::format(" v{}", m.version);
  if (m.kind == Kind::kAccept || has_state)
    text += fmt::format(" [{}] age {} ms", Text(m.state), m.age / std::chrono::milliseconds(1));
  if (m.kind == Kind::kNack)
    text += fmt::format(": {}, promised {}", kNackNames[static_cast<int>(m.nack)], Text(m.promised));
  return text;
}

RecordState MergeConcurrent(const RecordState& one, const RecordState& other) {
  RecordState both = one;
  for (const AttemptRecord& attempt : other.attempts) {
    auto same = std::ranges::find_if(both.attempts, [&](const AttemptRecord& s) {
      return s.by == attempt.by && s.number == attempt.number;
    });
    if (same == both.attempts.end()) {
      both.attempts.push_back(attempt);
    } else {
      same->may_have_run =
          same->may_have_run && attempt.may_have_run;  // false is known for certain by the proposer
    }
  }
  std::ranges::sort(both.attempts);
  if (other.outcome == OperationOutcome::kValue ||
      (other.outcome == OperationOutcome::kFailed && one.outcome != OperationOutcome::kValue)) {
    both.outcome = other.outcome;
    both.value = other.value;
    both.value_stored = other.value_stored;
  }
  if (!both.final()) both.outcome = OperationOutcome::kNone;
  both.released = one.released && other.released;
  return both;
}

void AppendState(std::string& into, std::uint64_t number) {
  into.append(reinterpret_cast<const char*>(&number), sizeof number);
}

void AppendState(std::string& into, const std::string& text) {
  AppendState(into, text.size());
  into += text;
}

void AppendState(std::string& into, const Ballot& ballot) {
  AppendState(into, ballot.round);
  AppendState(into, ballot.proposer);
}

void AppendState(std::string& into, const RecordState& state) {
  AppendState(into, state.attempts.size());
  for (const AttemptRecord& attempt : state.attempts) {
    AppendState(into, attempt.by);
    AppendState(into, attempt.number);
    AppendState(into, attempt.server);
    AppendState(into, attempt.may_have_run);
  }
  AppendState(into, static_cast<std::uint64_t>(state.outcome) + (state.value_stored ? 0 : 16) +
                        (state.released ? 32 : 0));
  AppendState(into, state.value);
}

void AppendState(std::string& into, const Message& m) {
  AppendState(into, static_cast<std::uint64_t>(m.kind));
  AppendState(into, m.operation);
  AppendState(into, m.ballot);
  AppendState(into, m.accepted);
  AppendState(into, m.version);
  AppendState(into, m.state);
  AppendState(into, static_cast<std::uint64_t>(m.age.count()));
  AppendState(into, static_cast<std::uint64_t>(m.nack));
  AppendState(into, m.promised);
  for (std::uint64_t generation : m.generations) AppendState(into, generation);
  AppendState(into, m.copied);
  for (const std::string& name : m.complete_for) AppendState(into, name);
}

}  // namespace peatbend::failover

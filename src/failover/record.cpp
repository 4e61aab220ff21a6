#include "failover/record.h"

#include <fmt/format.h>

#include <algorithm>

namespace peatbend::failover {
namespace {

std::string Name(const Proposer& proposer) {
  return fmt::format("{}.{:x}.{}", proposer.name, proposer.life, proposer.proposal);
}

void Put(std::string& into, const Proposer& proposer) {
  failover::Put(into, proposer.name);
  failover::Put(into, proposer.life);
  failover::Put(into, proposer.proposal);
}

}  // namespace

std::string Text(const Ballot& ballot) { return fmt::format("{}/{}", ballot.round, Name(ballot.proposer)); }

std::string Text(const RecordState& state) {
  std::string text = kOutcomeNames[static_cast<int>(state.outcome)];
  if (!state.value.empty()) text += " " + state.value;
  if (state.released) text += " released";
  for (const AttemptRecord& attempt : state.attempts) {
    text += fmt::format(", {} #{} at {}{}", Name(attempt.by), attempt.number, attempt.server,
                        attempt.may_have_run ? "" : " (never ran)");
  }
  return text;
}

std::string Text(const Message& m) {
  std::string text =
      fmt::format("{} {} by {}", kKindNames[static_cast<int>(m.kind)], m.operation, Text(m.ballot));
  bool tells = m.kind == Kind::kPromise || m.kind == Kind::kReadResult;
  if (tells && m.version > 0) text += " kept " + Text(m.kept);
  if (m.version > 0) text += fmt::format(" v{}", m.version);
  if (m.kind == Kind::kAccept || tells)
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
      same->may_have_run = same->may_have_run && attempt.may_have_run;  // its proposer has said so
    }
  }
  std::ranges::sort(both.attempts);
  if (other.outcome == OperationOutcome::kValue ||
      (other.outcome == OperationOutcome::kFailed && one.outcome != OperationOutcome::kValue)) {
    both.outcome = other.outcome;
    both.value = other.value;
    both.kept = other.kept;
  }
  if (!both.final()) both.outcome = OperationOutcome::kNone;
  both.released = one.released && other.released;
  return both;
}

void Put(std::string& into, std::uint64_t number) {
  into.append(reinterpret_cast<const char*>(&number), sizeof number);
}

void Put(std::string& into, const std::string& text) {
  Put(into, text.size());
  into += text;
}

void Put(std::string& into, const Ballot& ballot) {
  Put(into, ballot.round);
  Put(into, ballot.proposer);
}

void Put(std::string& into, const RecordState& state) {
  Put(into, state.attempts.size());
  for (const AttemptRecord& attempt : state.attempts) {
    Put(into, attempt.by);
    Put(into, attempt.number);
    Put(into, attempt.server);
    Put(into, attempt.may_have_run);
  }
  Put(into, static_cast<std::uint64_t>(state.outcome) + (state.kept ? 0 : 16) + (state.released ? 32 : 0));
  Put(into, state.value);
}

void Put(std::string& into, const Message& m) {
  Put(into, static_cast<std::uint64_t>(m.kind));
  Put(into, m.operation);
  Put(into, m.ballot);
  Put(into, m.kept);
  Put(into, m.version);
  Put(into, m.state);
  Put(into, static_cast<std::uint64_t>(m.age.count()));
  Put(into, static_cast<std::uint64_t>(m.nack));
  Put(into, m.promised);
  for (std::uint64_t life : m.lives) Put(into, life);
  Put(into, m.copied);
  for (const std::string& name : m.syncs) Put(into, name);
}

}  // namespace peatbend::failover

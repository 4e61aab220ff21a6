#include "takeover/record.h"

#include <fmt/format.h>

#include <algorithm>

namespace peatbend::takeover {
namespace {

std::string Name(const Author& author) {
  return fmt::format("{}.{:x}.{}", author.name, author.life, author.go);
}

void Put(std::string& into, const Author& author) {
  takeover::Put(into, author.name);
  takeover::Put(into, author.life);
  takeover::Put(into, author.go);
}

}  // namespace

std::string Text(const Ballot& ballot) { return fmt::format("{}/{}", ballot.round, Name(ballot.author)); }

std::string Text(const State& state) {
  std::string text = kEndNames[static_cast<int>(state.end)];
  if (!state.value.empty()) text += " " + state.value;
  if (state.let_go) text += " let go";
  for (const Step& step : state.steps) {
    text += fmt::format(", {} #{} at {}{}", Name(step.by), step.number, step.server,
                        step.may_have_run ? "" : " (never ran)");
  }
  return text;
}

std::string Text(const Message& m) {
  std::string text = fmt::format("{} {} by {}", kKindNames[static_cast<int>(m.kind)], m.work, Text(m.ballot));
  bool tells = m.kind == Kind::kPromise || m.kind == Kind::kSeen;
  if (tells && m.version > 0) text += " kept " + Text(m.kept);
  if (m.version > 0) text += fmt::format(" v{}", m.version);
  if (m.kind == Kind::kAccept || tells)
    text += fmt::format(" [{}] age {} ms", Text(m.state), m.age / std::chrono::milliseconds(1));
  if (m.kind == Kind::kRefused)
    text += fmt::format(": {}, promised {}", kRefusalNames[static_cast<int>(m.refusal)], Text(m.promised));
  return text;
}

State Together(const State& one, const State& other) {
  State both = one;
  for (const Step& step : other.steps) {
    auto same = std::ranges::find_if(
        both.steps, [&](const Step& s) { return s.by == step.by && s.number == step.number; });
    if (same == both.steps.end()) {
      both.steps.push_back(step);
    } else {
      same->may_have_run = same->may_have_run && step.may_have_run;  // its author has said so
    }
  }
  std::ranges::sort(both.steps);
  if (other.end == End::kValue || (other.end == End::kFailed && one.end != End::kValue)) {
    both.end = other.end;
    both.value = other.value;
    both.kept = other.kept;
  }
  if (!both.final()) both.end = End::kNone;
  both.let_go = one.let_go && other.let_go;
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
  Put(into, ballot.author);
}

void Put(std::string& into, const State& state) {
  Put(into, state.steps.size());
  for (const Step& step : state.steps) {
    Put(into, step.by);
    Put(into, step.number);
    Put(into, step.server);
    Put(into, step.may_have_run);
  }
  Put(into, static_cast<std::uint64_t>(state.end) + (state.kept ? 0 : 16) + (state.let_go ? 32 : 0));
  Put(into, state.value);
}

void Put(std::string& into, const Message& m) {
  Put(into, static_cast<std::uint64_t>(m.kind));
  Put(into, m.work);
  Put(into, m.ballot);
  Put(into, m.kept);
  Put(into, m.version);
  Put(into, m.state);
  Put(into, static_cast<std::uint64_t>(m.age.count()));
  Put(into, static_cast<std::uint64_t>(m.refusal));
  Put(into, m.promised);
  for (std::uint64_t life : m.lives) Put(into, life);
  Put(into, m.copied);
  for (const std::string& name : m.vouches) Put(into, name);
}

}  // namespace peatbend::takeover

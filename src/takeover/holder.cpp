#include "takeover/holder.h"

#include <algorithm>

namespace peatbend::takeover {
namespace {

constexpr std::size_t kOfRecord = 320,
                      kOfStep = 96;  // bytes that a record and a step take beside their texts

Message Answer(Kind kind, const Message& asked) {
  Message answer;
  answer.kind = kind;
  answer.work = asked.work;
  answer.ballot = asked.ballot;
  return answer;
}

Message Refuse(const Message& asked, Refusal why, const Ballot& promised = {}) {
  Message answer = Answer(Kind::kRefused, asked);
  answer.version = asked.kind == Kind::kAccept ? asked.version : 0;
  answer.refusal = why;
  answer.promised = promised;
  return answer;
}

}  // namespace

std::size_t Holder::Weight(const std::string& work, const State& state) {
  std::size_t weight = kOfRecord + work.size() + state.value.size();
  for (const Step& step : state.steps) weight += kOfStep + step.server.size();
  return weight;
}

Message Holder::Tell(Time now, Kind kind, const Message& asked, const Slot& slot) const {
  Message answer = Answer(kind, asked);
  answer.kept = slot.kept;
  answer.version = slot.version;
  answer.state = slot.state;
  if (!slot.state.steps.empty()) answer.age = now - slot.first;
  return answer;
}

Message Holder::Take(Time now, const Message& asked) {
  if (young(now)) return Refuse(asked, Refusal::kYoung);
  auto at = slots_.find(asked.work);
  bool fresh = at == slots_.end();
  if (asked.kind == Kind::kLook) return Tell(now, Kind::kSeen, asked, fresh ? Slot{} : at->second);
  if (!fresh) {
    const Slot& slot = at->second;
    const Ballot& highest = std::max(slot.promised, slot.kept);
    // Under round 0 nobody was promised anything: only the one who wrote first may go on.
    bool own = slot.version > 0 && slot.kept == asked.ballot && slot.promised.round == 0;
    bool may = asked.ballot.round == 0 ? own : asked.ballot >= highest;
    if (!may) return Refuse(asked, Refusal::kTaken, highest);
  } else if (asked.kind == Kind::kPrepare && asked.ballot.round == 0) {
    return Refuse(asked, Refusal::kTaken);  // a promise of nothing
  }
  std::size_t before = fresh ? 0 : Weight(asked.work, at->second.state);
  std::size_t after = Weight(asked.work, asked.kind == Kind::kAccept ? asked.state
                                         : fresh                     ? State{}
                                                                     : at->second.state);
  if (bytes_ - before + after > keep_.bytes && after > before) return Refuse(asked, Refusal::kFull);
  Slot& slot = slots_[asked.work];
  slot.last = now;
  slot.promised = std::max(slot.promised, asked.ballot);
  if (asked.kind == Kind::kPrepare) {
    if (fresh) bytes_ += after;
    return Tell(now, Kind::kPromise, asked, slot);
  }
  // A write that comes again, or late, after a later one of the same ballot: it stands, since that one was
  // built upon it.
  bool newer = slot.version == 0 || slot.kept != asked.ballot || slot.version < asked.version;
  if (newer) {
    bool stood = !slot.state.steps.empty();
    slot.kept = asked.ballot;
    slot.version = asked.version;
    slot.state = asked.state;
    Time first = now - asked.age;
    if (!asked.state.steps.empty()) slot.first = stood ? std::min(slot.first, first) : first;
    bytes_ = bytes_ - before + after;
  }
  Message answer = Answer(Kind::kAccepted, asked);
  answer.version = slot.version;
  return answer;
}

void Holder::Put(std::string& into) const {
  takeover::Put(into, static_cast<std::uint64_t>(started_.count()));
  for (const auto& [work, slot] : slots_) {
    takeover::Put(into, work);
    takeover::Put(into, slot.promised);
    takeover::Put(into, slot.kept);
    takeover::Put(into, slot.version);
    takeover::Put(into, slot.state);
    takeover::Put(into, static_cast<std::uint64_t>(slot.first.count()));
  }
}

void Holder::Forget(Time now) {
  std::erase_if(slots_, [&](const auto& one) {
    if (now - one.second.last < keep_.life) return false;
    bytes_ -= Weight(one.first, one.second.state);
    return true;
  });
}

}  // namespace peatbend::takeover

#include "takeover/holder.h"

#include <algorithm>
#include <tuple>

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
  answer.copied = slot.copied;
  answer.lives = LivesOf(asked.work);
  if (!slot.state.steps.empty()) answer.age = now - slot.first;
  return answer;
}

Message Holder::Take(Time now, const Message& asked) {
  if (!Votes(now, asked.work)) return Refuse(asked, Refusal::kYoung);
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
  slot.copied = false;
  Message answer = Answer(Kind::kAccepted, asked);
  answer.version = slot.version;
  answer.lives = LivesOf(asked.work);
  return answer;
}

// ---- Starting anew ------------------------------------------------------------------------------------

bool Holder::Vouches(const std::string& who, const std::string& third) const {
  auto at = vouched_.find(who);
  return at != vouched_.end() && (at->second.contains("*") || at->second.contains(third));
}

bool Holder::Votes(Time now, const std::string& work) const {
  if (!young(now)) return true;
  if (!seats_of_) return false;
  auto seats = seats_of_(work);
  auto own = static_cast<std::size_t>(std::ranges::find(seats, self_) - seats.begin());
  if (own == kSeats) return false;
  const std::string &one = seats[(own + 1) % kSeats], &other = seats[(own + 2) % kSeats];
  return Vouches(one, other) && Vouches(other, one);
}

Lives Holder::LivesOf(const std::string& work) const {
  Lives lives{};
  if (!seats_of_) return lives;
  auto seats = seats_of_(work);
  for (std::size_t seat = 0; seat < kSeats; ++seat) {
    auto noted = noted_.find(seats[seat]);
    lives[seat] = seats[seat] == self_ ? life_ : noted == noted_.end() ? 0 : noted->second;
  }
  return lives;
}

std::vector<Message> Holder::Word(Time now, const Message& asked) {
  const Author& asker = asked.ballot.author;
  std::uint64_t& noted = noted_[asker.name];
  noted = std::max(noted, asker.life);
  Message word = Answer(Kind::kWord, asked);
  word.promised.round = noted;
  std::vector<Message> all{word};
  if (noted > asker.life) return all;  // it must take a later life first
  if (!young(now)) {
    all[0].vouches.push_back("*");
  } else if (auto own = vouched_.find(asker.name); own != vouched_.end()) {
    for (const auto& [third, its] : vouched_) {
      if (third != asker.name && Vouches(asker.name, third) && Vouches(third, asker.name))
        all[0].vouches.push_back(third);
    }
  }
  for (const auto& [work, slot] : slots_) {
    auto seats = seats_of_(work);
    if (std::ranges::find(seats, asker.name) == seats.end()) continue;
    Message of = asked;
    of.work = work;
    all.push_back(Tell(now, Kind::kCopy, of, slot));
    all.back().promised = slot.promised;
  }
  all[0].version = static_cast<std::uint32_t>(all.size() - 1);
  return all;
}

Message Holder::AskWord() {
  Message ask;
  ask.kind = Kind::kAskWord;
  ask.ballot.author = {self_, life_, ++asked_};
  hearing_.clear();
  return ask;
}

void Holder::TakeWord(Time now, const std::string& from, const Message& message) {
  if (message.ballot.author != Author{self_, life_, asked_} || !young(now)) return;
  Hearing& hearing = hearing_[from];
  if (message.kind == Kind::kWord) {
    if (message.promised.round > life_) {  // a clock went back: nothing was voted in this life yet
      if (vouched_.empty()) life_ = message.promised.round + 1;
      return;
    }
    hearing.word = message;
  } else {
    hearing.copies[message.work] = message;
  }
  if (!hearing.word || hearing.copies.size() < hearing.word->version) return;
  for (const auto& [work, copy] : hearing.copies) {
    // Where it votes already it has both words, and has moved on.
    if (!Votes(now, work)) Merge(now, copy);
  }
  auto& vouched = vouched_[from];
  vouched.insert(hearing.word->vouches.begin(), hearing.word->vouches.end());
  hearing_.erase(from);
}

void Holder::Merge(Time now, const Message& copy) {
  auto [at, fresh] = slots_.try_emplace(copy.work);
  Slot& slot = at->second;
  bytes_ -= fresh ? 0 : Weight(copy.work, slot.state);
  slot.promised = std::max(slot.promised, copy.promised);
  slot.last = now;
  slot.copied = true;
  if (!copy.state.steps.empty()) {
    Time first = now - copy.age;
    slot.first = slot.state.steps.empty() ? first : std::min(slot.first, first);
  }
  bool differ = slot.version > 0 && copy.version > 0 && slot.kept != copy.kept;
  if (differ && slot.kept.round == 0 && copy.kept.round == 0) {
    slot.state = Together(slot.state, copy.state);
    slot.kept = {0, {self_, life_, ~std::uint64_t{0}}};  // nobody's
    slot.version = 1;
  } else if (copy.version > 0 &&
             (slot.version == 0 || std::tie(copy.kept, copy.version) > std::tie(slot.kept, slot.version))) {
    slot.kept = copy.kept;
    slot.version = copy.version;
    slot.state = copy.state;
  }
  bytes_ += Weight(copy.work, slot.state);
}

void Holder::Put(std::string& into) const {
  takeover::Put(into, static_cast<std::uint64_t>(started_.count()));
  takeover::Put(into, life_);
  takeover::Put(into, asked_);
  for (const auto& [name, life] : noted_) takeover::Put(into, name), takeover::Put(into, life);
  for (const auto& [name, thirds] : vouched_) {
    takeover::Put(into, name);
    for (const std::string& third : thirds) takeover::Put(into, third);
  }
  for (const auto& [name, hearing] : hearing_) {
    takeover::Put(into, name);
    if (hearing.word) takeover::Put(into, *hearing.word);
    for (const auto& [work, copy] : hearing.copies) takeover::Put(into, copy);
  }
  for (const auto& [work, slot] : slots_) {
    takeover::Put(into, work);
    takeover::Put(into, slot.promised);
    takeover::Put(into, slot.kept);
    takeover::Put(into, slot.version);
    takeover::Put(into, slot.state);
    takeover::Put(into, static_cast<std::uint64_t>(slot.first.count()));
    takeover::Put(into, slot.copied);
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

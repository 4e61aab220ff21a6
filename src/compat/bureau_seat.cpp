// A bureau's seat: how it comes to vote, what it answers, and what it may not forget.
#include <algorithm>

#include "compat/bureau.h"

namespace peatbend::compat {

using failover::Kind;
using failover::kReplicas;
using failover::Message;

failover::RecordReplica::ReplicasFor Bureau::ReplicasFor() const {
  return [seats = seats_](const std::string&) { return seats; };
}

void Bureau::Sit(TimePoint now, const std::optional<Memory>& memory) {
  now_ = words_at_ = now;
  own_ = SeatOf(self_);
  if (!seated()) return;
  replica_ = RegisterSeat(now, memory && memory->sits, self_, life_, ReplicasFor());
  if (memory) Remember(now, *memory);
}

// ---- What a seat may not forget --------------------------------------------------------------------------

Memory Bureau::memory() const {
  Memory all;
  all.sits = seated() && replica_.MayVote(now_, kWork);
  all.life = replica_.generation();
  all.founding = founding_;
  all.words = words_;
  all.foundings = foundings_;
  auto at = replica_.stored().find(kWork);
  if (at == replica_.stored().end() || !all.sits) return all;
  all.promised = at->second.promised;
  all.kept = at->second.accepted;
  all.version = at->second.version;
  all.value = at->second.state.value;
  return all;
}

// Said again to a seat that forgets nothing: what it had accepted, what it had promised, whom it gave its
// word.
void Bureau::Remember(TimePoint now, const Memory& memory) {
  replica_.SetGeneration(memory.life);
  founding_ = memory.founding;
  words_ = memory.words;
  foundings_ = memory.foundings;
  for (const auto& [name, life] : words_) {
    Message ask;
    ask.kind = Kind::kSyncRequest;
    ask.ballot.proposer = {name, life, 0};
    replica_.AnswerSync(now, ask);
  }
  if (!memory.sits) return;
  Message said;
  said.operation = kWork;
  if (memory.version > 0) {
    said.kind = Kind::kAccept;
    said.ballot = memory.kept;
    said.version = memory.version;
    said.state.value = memory.value;
    replica_.Handle(now, said);
  }
  if (memory.promised.round > 0) {
    said = {};
    said.operation = kWork;
    said.ballot = memory.promised;
    replica_.Handle(now, said);
  }
}

void Bureau::SetLife(std::uint64_t life) {
  if (life <= life_) return;
  life_ = life;
  std::uint64_t before = replica_.generation();
  replica_.SetGeneration(life);
  if (seated() && replica_.generation() != before) unsaved_ = true;
}

// ---- Sitting ---------------------------------------------------------------------------------------------

void Bureau::Found(TimePoint now) {
  if (!seated() || founds_ || replica_.MayVote(now, kWork)) return;
  founds_ = unsaved_ = true;  // with its number, which the others are told
  words_at_ = now;
}

// A seat that does not vote: to be founded by both others' leave, or by both others' words.
void Bureau::AskToSit(TimePoint now) {
  words_at_ = now + options_.words;
  if (life_ == 0) return;
  // A founding takes each answer; words count only together, for the last asking.
  if (!founding())
    words_at_ = now + std::min(options_.words_most, options_.words * (1 << std::min(asked_to_sit_++ / 2, 5)));
  Message ask;
  if (!founding()) ask = replica_.RequestSync();
  for (std::size_t seat = 0; seat < kReplicas; ++seat) {
    if (seat == own_) continue;
    if (founding()) {
      if (!agreed_[seat]) Send(seats_[seat], SayKind::kAskFound, founding_);
    } else {
      SendMessage(seats_[seat], ask);
    }
  }
  if (!founding()) ++figures_.words;
}

void Bureau::TakeFounding(TimePoint now, const std::string& from, const Say& say) {
  std::size_t seat = SeatOf(from);
  if (!seated() || seat == kReplicas || seat == own_) return;
  if (say.kind == SayKind::kAskFound) {
    auto at = foundings_.find(from);
    bool other = at != foundings_.end() && at->second != say.number;
    if (other || words_.contains(from)) return Send(from, SayKind::kNotFound, say.number);
    if (!founding() && !replica_.MayVote(now, kWork)) return;  // nobody has told this one that it is new
    if (at == foundings_.end()) {
      foundings_[from] = say.number;
      unsaved_ = true;
    }
    return Send(from, SayKind::kFound, say.number);
  }
  if (!founding() || say.number != founding_) return;
  if (say.kind == SayKind::kNotFound) {
    barred_ = true;
    return;
  }
  agreed_[seat] = true;
  if (std::ranges::count(agreed_, true) + 1 < static_cast<long>(kReplicas)) return;
  replica_ = RegisterSeat(now, true, self_, replica_.generation(), ReplicasFor());
  founds_ = false;
  unsaved_ = true;
}

// What is asked of the seat, and the words that it has asked for.
void Bureau::Asked(TimePoint now, const std::string& from, const Message& message) {
  if (!seated() || life_ == 0) return;
  switch (message.kind) {
    case Kind::kSyncRequest: {
      // One that does not vote could vouch for nothing, and would keep the asker from being founded.
      if (SeatOf(from) == kReplicas || from == self_ || message.ballot.proposer.name != from) return;
      if (!replica_.MayVote(now, kWork)) return;
      std::uint64_t& noted = words_[from];
      if (message.ballot.proposer.generation > noted) {
        noted = message.ballot.proposer.generation;
        unsaved_ = true;
      }
      for (const Message& word : replica_.AnswerSync(now, message)) SendMessage(from, word);
      return;
    }
    case Kind::kSyncDone:
    case Kind::kSyncRecord: {
      if (SeatOf(from) == kReplicas || replica_.MayVote(now, kWork)) return;
      replica_.HandleSync(now, from, message);
      if (replica_.MayVote(now, kWork)) founds_ = false, unsaved_ = true;
      return;
    }
    case Kind::kPrepare:
    case Kind::kAccept: {
      if (message.operation != kWork || message.ballot.round == 0)
        return;  // of the register nothing is ever free
      bool before = replica_.MayVote(now, kWork);
      auto slot = replica_.stored().find(kWork);
      auto was = slot == replica_.stored().end() ? failover::RecordReplica::StoredRecord{} : slot->second;
      Message answer = replica_.Handle(now, message);
      slot = replica_.stored().find(kWork);
      if (before && slot != replica_.stored().end() &&
          (slot->second.promised != was.promised || slot->second.accepted != was.accepted ||
           slot->second.version != was.version))
        unsaved_ = true;
      return SendMessage(from, answer);
    }
    default:
      return;
  }
}

}  // namespace peatbend::compat

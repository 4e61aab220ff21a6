#include "failover/record_replica.h"

#include <algorithm>
#include <tuple>

namespace peatbend::failover {
namespace {

constexpr std::size_t kOfRecord = 320,
                      kOfAttempt = 96;  // bytes that a record and an attempt take beside their texts

Message Answer(Kind kind, const Message& asked) {
  Message answer;
  answer.kind = kind;
  answer.operation = asked.operation;
  answer.ballot = asked.ballot;
  return answer;
}

Message MakeNack(const Message& asked, Nack why, const Ballot& promised = {}) {
  Message answer = Answer(Kind::kNack, asked);
  answer.version = asked.kind == Kind::kAccept ? asked.version : 0;
  answer.nack = why;
  answer.promised = promised;
  return answer;
}

}  // namespace

std::size_t RecordReplica::Weight(const std::string& operation, const RecordState& state) {
  std::size_t weight = kOfRecord + operation.size() + state.value.size();
  for (const AttemptRecord& attempt : state.attempts) weight += kOfAttempt + attempt.server.size();
  return weight;
}

Message RecordReplica::ReplyWithState(Time now, Kind kind, const Message& asked,
                                      const StoredRecord& record) const {
  Message answer = Answer(kind, asked);
  answer.kept = record.kept;
  answer.version = record.version;
  answer.state = record.state;
  answer.copied = record.copied;
  answer.lives = LivesOf(asked.operation);
  if (!record.state.attempts.empty()) answer.age = now - record.first;
  return answer;
}

Message RecordReplica::Take(Time now, const Message& asked) {
  if (!Votes(now, asked.operation)) return MakeNack(asked, Nack::kRecovering);
  auto at = stored_.find(asked.operation);
  bool fresh = at == stored_.end();
  if (asked.kind == Kind::kRead)
    return ReplyWithState(now, Kind::kReadResult, asked, fresh ? StoredRecord{} : at->second);
  if (!fresh) {
    const StoredRecord& record = at->second;
    const Ballot& highest = std::max(record.promised, record.kept);
    // Under round 0 nobody was promised anything: only the proposer that wrote first may go on.
    bool own = record.version > 0 && record.kept == asked.ballot && record.promised.round == 0;
    bool may = asked.ballot.round == 0 ? own : asked.ballot >= highest;
    if (!may) return MakeNack(asked, Nack::kPreempted, highest);
  } else if (asked.kind == Kind::kPrepare && asked.ballot.round == 0) {
    return MakeNack(asked, Nack::kPreempted);  // a promise of nothing
  }
  std::size_t before = fresh ? 0 : Weight(asked.operation, at->second.state);
  std::size_t after = Weight(asked.operation, asked.kind == Kind::kAccept ? asked.state
                                              : fresh                     ? RecordState{}
                                                                          : at->second.state);
  if (bytes_ - before + after > limits_.bytes && after > before) return MakeNack(asked, Nack::kFull);
  StoredRecord& record = stored_[asked.operation];
  record.last = now;
  record.promised = std::max(record.promised, asked.ballot);
  if (asked.kind == Kind::kPrepare) {
    if (fresh) bytes_ += after;
    return ReplyWithState(now, Kind::kPromise, asked, record);
  }
  // A write that comes again, or late, after a later one of the same ballot: it counts, since that one was
  // built upon it.
  bool newer = record.version == 0 || record.kept != asked.ballot || record.version < asked.version;
  if (newer) {
    bool stood = !record.state.attempts.empty();
    record.kept = asked.ballot;
    record.version = asked.version;
    record.state = asked.state;
    Time first = now - asked.age;
    if (!asked.state.attempts.empty()) record.first = stood ? std::min(record.first, first) : first;
    bytes_ = bytes_ - before + after;
  }
  record.copied = false;
  Message answer = Answer(Kind::kAccepted, asked);
  answer.version = record.version;
  answer.lives = LivesOf(asked.operation);
  return answer;
}

// ---- State transfer -----------------------------------------------------------------------------------

bool RecordReplica::HasSynced(const std::string& who, const std::string& third) const {
  auto at = synced_.find(who);
  return at != synced_.end() && (at->second.contains("*") || at->second.contains(third));
}

bool RecordReplica::Votes(Time now, const std::string& operation) const {
  if (!recovering(now)) return true;
  if (!replicas_for_) return false;
  auto replicas = replicas_for_(operation);
  auto own = static_cast<std::size_t>(std::ranges::find(replicas, self_) - replicas.begin());
  if (own == kReplicas) return false;
  const std::string &one = replicas[(own + 1) % kReplicas], &other = replicas[(own + 2) % kReplicas];
  return HasSynced(one, other) && HasSynced(other, one);
}

Lives RecordReplica::LivesOf(const std::string& operation) const {
  Lives lives{};
  if (!replicas_for_) return lives;
  auto replicas = replicas_for_(operation);
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    auto noted = noted_.find(replicas[replica]);
    lives[replica] = replicas[replica] == self_ ? life_ : noted == noted_.end() ? 0 : noted->second;
  }
  return lives;
}

std::vector<Message> RecordReplica::AnswerSync(Time now, const Message& asked) {
  const Proposer& asker = asked.ballot.proposer;
  std::uint64_t& noted = noted_[asker.name];
  noted = std::max(noted, asker.life);
  Message done = Answer(Kind::kSyncDone, asked);
  done.promised.round = noted;
  std::vector<Message> all{done};
  if (noted > asker.life) return all;  // it must take a later life first
  if (!recovering(now)) {
    all[0].syncs.push_back("*");
  } else if (auto own = synced_.find(asker.name); own != synced_.end()) {
    for (const auto& [third, its] : synced_) {
      if (third != asker.name && HasSynced(asker.name, third) && HasSynced(third, asker.name))
        all[0].syncs.push_back(third);
    }
  }
  for (const auto& [operation, record] : stored_) {
    auto replicas = replicas_for_(operation);
    if (std::ranges::find(replicas, asker.name) == replicas.end()) continue;
    Message of = asked;
    of.operation = operation;
    all.push_back(ReplyWithState(now, Kind::kSyncRecord, of, record));
    all.back().promised = record.promised;
  }
  all[0].version = static_cast<std::uint32_t>(all.size() - 1);
  return all;
}

Message RecordReplica::RequestSync() {
  Message ask;
  ask.kind = Kind::kSyncRequest;
  ask.ballot.proposer = {self_, life_, ++asked_};
  incoming_.clear();
  return ask;
}

void RecordReplica::HandleSync(Time now, const std::string& from, const Message& message) {
  if (message.ballot.proposer != Proposer{self_, life_, asked_} || !recovering(now)) return;
  IncomingSync& incoming = incoming_[from];
  if (message.kind == Kind::kSyncDone) {
    if (message.promised.round > life_) {  // a clock went back: nothing was voted in this life yet
      if (synced_.empty()) life_ = message.promised.round + 1;
      return;
    }
    incoming.done = message;
  } else {
    incoming.records[message.operation] = message;
  }
  if (!incoming.done || incoming.records.size() < incoming.done->version) return;
  for (const auto& [operation, copy] : incoming.records) {
    // Where it votes already both transfers are complete, and it has moved on.
    if (!Votes(now, operation)) Merge(now, copy);
  }
  auto& synced = synced_[from];
  synced.insert(incoming.done->syncs.begin(), incoming.done->syncs.end());
  incoming_.erase(from);
}

void RecordReplica::Merge(Time now, const Message& copy) {
  auto [at, fresh] = stored_.try_emplace(copy.operation);
  StoredRecord& record = at->second;
  bytes_ -= fresh ? 0 : Weight(copy.operation, record.state);
  record.promised = std::max(record.promised, copy.promised);
  record.last = now;
  record.copied = true;
  if (!copy.state.attempts.empty()) {
    Time first = now - copy.age;
    record.first = record.state.attempts.empty() ? first : std::min(record.first, first);
  }
  bool differ = record.version > 0 && copy.version > 0 && record.kept != copy.kept;
  if (differ && record.kept.round == 0 && copy.kept.round == 0) {
    record.state = MergeConcurrent(record.state, copy.state);
    record.kept = {0, {self_, life_, ~std::uint64_t{0}}};  // nobody's
    record.version = 1;
  } else if (copy.version > 0 && (record.version == 0 || std::tie(copy.kept, copy.version) >
                                                             std::tie(record.kept, record.version))) {
    record.kept = copy.kept;
    record.version = copy.version;
    record.state = copy.state;
  }
  bytes_ += Weight(copy.operation, record.state);
}

void RecordReplica::Put(std::string& into) const {
  failover::Put(into, static_cast<std::uint64_t>(started_.count()));
  failover::Put(into, life_);
  failover::Put(into, asked_);
  for (const auto& [name, life] : noted_) failover::Put(into, name), failover::Put(into, life);
  for (const auto& [name, thirds] : synced_) {
    failover::Put(into, name);
    for (const std::string& third : thirds) failover::Put(into, third);
  }
  for (const auto& [name, incoming] : incoming_) {
    failover::Put(into, name);
    if (incoming.done) failover::Put(into, *incoming.done);
    for (const auto& [operation, copy] : incoming.records) failover::Put(into, copy);
  }
  for (const auto& [operation, record] : stored_) {
    failover::Put(into, operation);
    failover::Put(into, record.promised);
    failover::Put(into, record.kept);
    failover::Put(into, record.version);
    failover::Put(into, record.state);
    failover::Put(into, static_cast<std::uint64_t>(record.first.count()));
    failover::Put(into, record.copied);
  }
}

void RecordReplica::Forget(Time now) {
  std::erase_if(stored_, [&](const auto& one) {
    if (now - one.second.last < limits_.lifetime) return false;
    bytes_ -= Weight(one.first, one.second.state);
    return true;
  });
}

}  // namespace peatbend::failover

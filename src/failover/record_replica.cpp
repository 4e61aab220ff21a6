#include "failover/record_replica.h"

#include <algorithm>
#include <tuple>

namespace peatbend::failover {
namespace {

// Estimated memory in bytes, besides the strings.
constexpr std::size_t kRecordOverhead = 320, kAttemptOverhead = 96;

Message MakeReply(Kind kind, const Message& request) {
  Message reply;
  reply.kind = kind;
  reply.operation = request.operation;
  reply.ballot = request.ballot;
  return reply;
}

Message MakeNack(const Message& request, Nack why, const Ballot& promised = {}) {
  Message reply = MakeReply(Kind::kNack, request);
  reply.version = request.kind == Kind::kAccept ? request.version : 0;
  reply.nack = why;
  reply.promised = promised;
  return reply;
}

}  // namespace

std::size_t RecordReplica::MemorySize(const std::string& operation, const RecordState& state) {
  std::size_t weight = kRecordOverhead + operation.size() + state.value.size();
  for (const AttemptRecord& attempt : state.attempts) weight += kAttemptOverhead + attempt.server.size();
  return weight;
}

Message RecordReplica::ReplyWithState(TimePoint now, Kind kind, const Message& request,
                                      const StoredRecord& record) const {
  Message reply = MakeReply(kind, request);
  reply.accepted = record.accepted;
  reply.version = record.version;
  reply.state = record.state;
  reply.copied = record.copied;
  reply.generations = GenerationsOf(request.operation);
  if (!record.state.attempts.empty()) reply.age = now - record.first_attempt;
  return reply;
}

Message RecordReplica::Handle(TimePoint now, const Message& request) {
  if (!MayVote(now, request.operation)) return MakeNack(request, Nack::kRecovering);
  auto at = stored_.find(request.operation);
  bool is_new = at == stored_.end();
  if (request.kind == Kind::kRead)
    return ReplyWithState(now, Kind::kReadResult, request, is_new ? StoredRecord{} : at->second);
  if (!is_new) {
    const StoredRecord& record = at->second;
    const Ballot& highest = std::max(record.promised, record.accepted);
    // Round 0 works without promises: only the proposer that wrote first may continue.
    bool own = record.version > 0 && record.accepted == request.ballot && record.promised.round == 0;
    bool allowed = request.ballot.round == 0 ? own : request.ballot >= highest;
    if (!allowed) return MakeNack(request, Nack::kPreempted, highest);
  } else if (request.kind == Kind::kPrepare && request.ballot.round == 0) {
    return MakeNack(request, Nack::kPreempted);  // round 0 cannot be promised
  }
  std::size_t before = is_new ? 0 : MemorySize(request.operation, at->second.state);
  std::size_t after = MemorySize(request.operation, request.kind == Kind::kAccept ? request.state
                                                    : is_new                      ? RecordState{}
                                                                                  : at->second.state);
  if (bytes_ - before + after > limits_.bytes && after > before) return MakeNack(request, Nack::kFull);
  StoredRecord& record = stored_[request.operation];
  record.last_change = now;
  record.promised = std::max(record.promised, request.ballot);
  if (request.kind == Kind::kPrepare) {
    if (is_new) bytes_ += after;
    return ReplyWithState(now, Kind::kPromise, request, record);
  }
  // A repeated or late write is also acknowledged after a later write of the same ballot, since the later
  // state was derived from it.
  bool newer = record.version == 0 || record.accepted != request.ballot || record.version < request.version;
  if (newer) {
    bool had_attempts = !record.state.attempts.empty();
    record.accepted = request.ballot;
    record.version = request.version;
    record.state = request.state;
    TimePoint first = now - request.age;
    if (!request.state.attempts.empty())
      record.first_attempt = had_attempts ? std::min(record.first_attempt, first) : first;
    bytes_ = bytes_ - before + after;
  }
  record.copied = false;
  Message reply = MakeReply(Kind::kAccepted, request);
  reply.version = record.version;
  reply.generations = GenerationsOf(request.operation);
  return reply;
}

// ---- State transfer -----------------------------------------------------------------------------------

bool RecordReplica::HasSynced(const std::string& sender, const std::string& third) const {
  auto at = completed_syncs_.find(sender);
  return at != completed_syncs_.end() && (at->second.contains("*") || at->second.contains(third));
}

bool RecordReplica::MayVote(TimePoint now, const std::string& operation) const {
  if (!recovering(now)) return true;
  if (!replicas_for_) return false;
  auto replicas = replicas_for_(operation);
  auto own = static_cast<std::size_t>(std::ranges::find(replicas, self_) - replicas.begin());
  if (own == kReplicas) return false;
  const std::string &one = replicas[(own + 1) % kReplicas], &other = replicas[(own + 2) % kReplicas];
  return HasSynced(one, other) && HasSynced(other, one);
}

Generations RecordReplica::GenerationsOf(const std::string& operation) const {
  Generations generations{};
  if (!replicas_for_) return generations;
  auto replicas = replicas_for_(operation);
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    auto noted = known_generations_.find(replicas[replica]);
    generations[replica] = replicas[replica] == self_          ? generation_
                           : noted == known_generations_.end() ? 0
                                                               : noted->second;
  }
  return generations;
}

std::vector<Message> RecordReplica::AnswerSync(TimePoint now, const Message& request) {
  const Proposer& requester = request.ballot.proposer;
  std::uint64_t& noted = known_generations_[requester.name];
  noted = std::max(noted, requester.generation);
  Message done = MakeReply(Kind::kSyncDone, request);
  done.promised.round = noted;
  std::vector<Message> all{done};
  if (noted > requester.generation) return all;  // the requester must first raise its generation
  if (!recovering(now)) {
    all[0].complete_for.push_back("*");
  } else if (auto own = completed_syncs_.find(requester.name); own != completed_syncs_.end()) {
    for (const auto& [third, its] : completed_syncs_) {
      if (third != requester.name && HasSynced(requester.name, third) && HasSynced(third, requester.name))
        all[0].complete_for.push_back(third);
    }
  }
  for (const auto& [operation, record] : stored_) {
    auto replicas = replicas_for_(operation);
    if (std::ranges::find(replicas, requester.name) == replicas.end()) continue;
    Message of = request;
    of.operation = operation;
    all.push_back(ReplyWithState(now, Kind::kSyncRecord, of, record));
    all.back().promised = record.promised;
  }
  all[0].version = static_cast<std::uint32_t>(all.size() - 1);
  return all;
}

Message RecordReplica::RequestSync(TimePoint now) {
  Message ask;
  ask.kind = Kind::kSyncRequest;
  ask.ballot.proposer = {self_, generation_, ++last_sync_request_};
  incoming_syncs_.clear();
  sync_requested_at_ = now;
  return ask;
}

void RecordReplica::HandleSync(TimePoint now, const std::string& from, const Message& message) {
  if (message.ballot.proposer != Proposer{self_, generation_, last_sync_request_} || !recovering(now)) return;
  IncomingSync& incoming = incoming_syncs_[from];
  if (message.kind == Kind::kSyncDone) {
    // The clock went back, so the generation must be raised. Safe while this process has not voted in it.
    if (message.promised.round > generation_) {
      if (completed_syncs_.empty()) generation_ = message.promised.round + 1;
      return;
    }
    incoming.done = message;
  } else {
    incoming.records[message.operation] = message;
  }
  if (!incoming.done || incoming.records.size() < incoming.done->version) return;
  for (const auto& [operation, copy] : incoming.records) {
    // Where it may vote, both transfers are already merged and the copy may be outdated.
    if (!MayVote(now, operation)) MergeCopy(now, copy);
  }
  auto& synced = completed_syncs_[from];
  synced.insert(incoming.done->complete_for.begin(), incoming.done->complete_for.end());
  incoming_syncs_.erase(from);
}

void RecordReplica::MergeCopy(TimePoint now, const Message& copy) {
  auto [at, is_new] = stored_.try_emplace(copy.operation);
  StoredRecord& record = at->second;
  bytes_ -= is_new ? 0 : MemorySize(copy.operation, record.state);
  record.promised = std::max(record.promised, copy.promised);
  record.last_change = now;
  record.copied = true;
  if (!copy.state.attempts.empty()) {
    TimePoint first = sync_requested_at_ - copy.age;
    record.first_attempt = record.state.attempts.empty() ? first : std::min(record.first_attempt, first);
  }
  bool differ = record.version > 0 && copy.version > 0 && record.accepted != copy.accepted;
  if (differ && record.accepted.round == 0 && copy.accepted.round == 0) {
    record.state = MergeConcurrent(record.state, copy.state);
    record.accepted = {0, {self_, generation_, ~std::uint64_t{0}}};  // a ballot that no proposer uses
    record.version = 1;
  } else if (copy.version > 0 && (record.version == 0 || std::tie(copy.accepted, copy.version) >
                                                             std::tie(record.accepted, record.version))) {
    record.accepted = copy.accepted;
    record.version = copy.version;
    record.state = copy.state;
  }
  bytes_ += MemorySize(copy.operation, record.state);
}

void RecordReplica::AppendState(std::string& into) const {
  failover::AppendState(into, static_cast<std::uint64_t>(started_.count()));
  failover::AppendState(into, generation_);
  failover::AppendState(into, last_sync_request_);
  failover::AppendState(into, static_cast<std::uint64_t>(sync_requested_at_.count()));
  for (const auto& [name, generation] : known_generations_)
    failover::AppendState(into, name), failover::AppendState(into, generation);
  for (const auto& [name, thirds] : completed_syncs_) {
    failover::AppendState(into, name);
    for (const std::string& third : thirds) failover::AppendState(into, third);
  }
  for (const auto& [name, incoming] : incoming_syncs_) {
    failover::AppendState(into, name);
    if (incoming.done) failover::AppendState(into, *incoming.done);
    for (const auto& [operation, copy] : incoming.records) failover::AppendState(into, copy);
  }
  for (const auto& [operation, record] : stored_) {
    failover::AppendState(into, operation);
    failover::AppendState(into, record.promised);
    failover::AppendState(into, record.accepted);
    failover::AppendState(into, record.version);
    failover::AppendState(into, record.state);
    failover::AppendState(into, static_cast<std::uint64_t>(record.first_attempt.count()));
    failover::AppendState(into, record.copied);
  }
}

void RecordReplica::DropExpired(TimePoint now) {
  std::erase_if(stored_, [&](const auto& one) {
    if (now - one.second.last_change < limits_.lifetime) return false;
    bytes_ -= MemorySize(one.first, one.second.state);
    return true;
  });
}

}  // namespace peatbend::failover

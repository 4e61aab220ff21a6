#include "rations/owned_shard.h"

#include <algorithm>

namespace peatbend::rations {
namespace {

void AddUnique(std::vector<std::string>& all, const std::string& one) {
  if (std::ranges::find(all, one) == all.end()) all.push_back(one);
}

}  // namespace

void OwnedShard::SetTable(const QuotaTable& table, ShardLimits limits, Time now, std::int64_t unix_s) {
  // Requests queued during the election may refer to a previous table, in which quotas are numbered
  // differently.
  std::erase_if(queued_,
                [&](const auto& one) { return one.second.request.fingerprint != table.fingerprint; });
  if (table_ != nullptr) {
    queued_.clear();
    batches_.clear();
    // Sequence numbers are kept, so that late requests of the previous table are not granted under this one.
    for (auto& [nonce, requester] : requesters_) {
      requester.confirmed = true;
      for (Entry& entry : requester.grant.entries) entry.tokens = 0;
    }
  }
  table_ = &table;
  max_requesters_ = limits.requesters;
  buckets_.emplace(table, limits, now, unix_s);
}

std::optional<Message> OwnedShard::HandleRequest(Time now, const std::string& from, const Message& request) {
  auto known = requesters_.find(request.requester);
  if (known != requesters_.end() && request.sequence <= known->second.sequence) {
    Requester& requester = known->second;
    if (request.sequence < requester.sequence || requester.grant.fingerprint != request.fingerprint)
      return std::nullopt;
    if (requester.confirmed) return requester.grant;
    AddUnique(requester.routers, from);
    return std::nullopt;
  }
  QueuedRequest& queued = queued_[request.requester];
  if (queued.request.sequence > request.sequence) return std::nullopt;
  if (queued.request.sequence < request.sequence) queued = {request, {}};
  AddUnique(queued.from, from);
  next_batch_at = std::min(next_batch_at, now);
  return std::nullopt;
}

OwnedShard::Requester& OwnedShard::FindOrCreate(Time now, std::uint64_t nonce) {
  auto at = requesters_.find(nonce);
  if (at == requesters_.end()) {
    if (requesters_.size() >= max_requesters_)
      requesters_.erase(
          std::ranges::min_element(requesters_, {}, [](const auto& one) { return one.second.last_used; }));
    at = requesters_.try_emplace(nonce).first;
  }
  at->second.last_used = now;
  return at->second;
}

std::uint64_t OwnedShard::GrantQueued(Time now, std::int64_t unix_s, unsigned signs,
                                      std::vector<ShardOwnership::Request>& out) {
  next_batch_at = Time::max();
  if (queued_.empty()) return 0;
  std::vector<std::vector<Entry>> requests;
  Batch batch{0, now, {}};
  for (auto& [nonce, queued] : queued_) {
    Message& request = queued.request;
    Requester& requester = FindOrCreate(now, nonce);
    requester.sequence = request.sequence;
    requester.confirmed = false;
    requester.routers = std::move(queued.from);
    requester.grant = {};
    requester.grant.kind = MessageKind::kGrant;
    requester.grant.shard = shard_;
    requester.grant.ballot = ownership.ballot();
    requester.grant.sequence = request.sequence;
    requester.grant.requester = request.requester;
    requester.grant.fingerprint = request.fingerprint;
    for (Entry& entry : request.entries) {
      if (ShardOf(entry.chain) != shard_) entry.tokens = 0;
    }
    requests.push_back(std::move(request.entries));
    batch.requesters.push_back(nonce);
  }
  queued_.clear();
  buckets_->SetTime(now, unix_s, signs);
  auto grants = buckets_->GrantAll(requests);
  batch.confirmation = ownership.RequestConfirmation(out);
  std::uint64_t tokens = 0;
  for (std::size_t i = 0; i < grants.size(); ++i) {
    for (const Entry& entry : grants[i]) tokens += entry.tokens;
    auto at = requesters_.find(batch.requesters[i]);
    if (at == requesters_.end()) continue;  // evicted: one batch exceeded the limit of requesters
    at->second.grant.entries = std::move(grants[i]);
    at->second.confirmation = batch.confirmation;
  }
  last_sent_at = now;
  batches_.push_back(std::move(batch));
  return tokens;
}

std::vector<Outgoing> OwnedShard::TakeConfirmedGrants() {
  std::vector<Outgoing> grants;
  while (!batches_.empty() && batches_.front().confirmation <= ownership.confirmed_sequence()) {
    for (std::uint64_t nonce : batches_.front().requesters) {
      auto at = requesters_.find(nonce);
      if (at == requesters_.end() || at->second.confirmation != batches_.front().confirmation) continue;
      at->second.confirmed = true;
      for (const std::string& router : at->second.routers) grants.push_back({router, at->second.grant});
    }
    batches_.pop_front();
  }
  return grants;
}

void OwnedShard::AppendState(std::string& into) const {
  rations::AppendState(into, requesters_.size());
  for (const auto& [nonce, requester] : requesters_) {
    for (std::uint64_t each :
         {nonce, requester.sequence, requester.confirmation, std::uint64_t{requester.confirmed}})
      rations::AppendState(into, each);
    for (const std::string& router : requester.routers) rations::AppendState(into, router);
    rations::AppendState(into, requester.grant);
  }
  for (const auto& [nonce, queued] : queued_) {
    for (const std::string& router : queued.from) rations::AppendState(into, router);
    rations::AppendState(into, queued.request);
  }
  for (const Batch& batch : batches_) {
    rations::AppendState(into, batch.confirmation);
    for (std::uint64_t nonce : batch.requesters) rations::AppendState(into, nonce);
  }
}

std::optional<Time> OwnedShard::unconfirmed_since() const {
  return batches_.empty() ? std::nullopt : std::optional(batches_.front().granted_at);
}

}  // namespace peatbend::rations

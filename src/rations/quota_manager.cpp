#include "rations/quota_manager.h"

#include <algorithm>
#include <span>

namespace peatbend::rations {
namespace {

using namespace std::chrono_literals;

constexpr Span kEvictInterval = 1s;
constexpr Span kMaxResendGap = 500ms;  // between resends of a request; a longer gap restarts its waiting time
constexpr Span kOwnerSilence = 30ms;   // before the first replica starts an election
constexpr Span kElectionStagger = 30ms;  // added for each replica before this one
constexpr Span kPrematureDecay = 10s;    // after which one premature election is forgotten
constexpr int kMaxPatienceDoublings = 6;
constexpr int kUnansweredBeforeBroadcast = 1;
constexpr Span kBatchInterval = 10ms;
constexpr std::size_t kMaxForwarded = 256;  // also of stalled requests
constexpr int kMaxRedirects = 2;

}  // namespace

QuotaManager::QuotaManager(QuotaManagerOptions options, failover::ReplicaSet replicas, std::string self,
                           std::uint64_t nonce, std::uint64_t random, std::shared_ptr<const QuotaTable> table,
                           Time now, std::function<bool(const std::string&)> present)
    : options_(options),
      replicas_(std::move(replicas)),
      self_(std::move(self)),
      nonce_(nonce),
      random_(static_cast<std::minstd_rand::result_type>(random ^ random >> 32 ^ 1)),
      present_(std::move(present)),
      table_(std::move(table)),
      ledger_(std::make_unique<CreditLedger>(*table_, options_.ledger, nonce_, random, now)),
      shards_(kShards),
      evict_at_(now + kEvictInterval) {
  for (std::uint32_t number = 0; number < kShards; ++number) {
    Shard& shard = shards_[number];
    // Hashed to choose the replicas: with another text routers of two versions would choose different ones.
    auto chosen = replicas_.ReplicasFor("ration shard " + std::to_string(number));
    // All shards order their replicas by name: the fewer routers own shards, the fewer a router has to ask.
    std::ranges::sort(chosen);
    for (std::size_t index = 0; index < kReplicasPerShard; ++index) {
      shard.replicas[index] = replicas_.all()[chosen[index]].router;
      if (shard.replicas[index] != self_ || !options_.is_replica) continue;
      shard.own_index = index;
      shard.replica.emplace(nonce_);
    }
  }
}

void QuotaManager::SetTable(Time now, std::shared_ptr<const QuotaTable> table) {
  ledger_ = std::make_unique<CreditLedger>(*table, options_.ledger, nonce_, random_(), now,
                                           ledger_->last_sequence());
  for (Shard& shard : shards_) {
    if (shard.owned && shard.owned->is_owner()) shard.owned->SetTable(*table, options_.limits, now, unix_s_);
  }
  table_ = std::move(table);
}

Span QuotaManager::RandomUpTo(Span span) {
  return Span(static_cast<Span::rep>(static_cast<double>(random_()) / static_cast<double>(random_.max()) *
                                     static_cast<double>(span.count())));
}

std::size_t QuotaManager::owned_shards() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      shards_, [](const Shard& shard) { return shard.owned && shard.owned->is_owner(); }));
}

std::size_t QuotaManager::owned_buckets() const {
  std::size_t sum = 0;
  for (const Shard& shard : shards_)
    sum += shard.owned && shard.owned->is_owner() ? shard.owned->buckets()->buckets() : 0;
  return sum;
}

const std::string& QuotaManager::FirstPresent(const Shard& shard) const {
  auto up = [this](const std::string& name) { return name == self_ ? options_.is_replica : present_(name); };
  auto at = std::ranges::find_if(shard.replicas, up);
  return at == shard.replicas.end() ? shard.replicas[0] : *at;
}

// ---- Messages ---------------------------------------------------------------------------------------------

void QuotaManager::Send(const std::string& to, Message message) {
  (to == self_ ? local_ : out_).push_back({to, std::move(message)});
}

void QuotaManager::SendToReplicas(const Shard& shard, std::vector<ShardOwnership::Request> out) {
  for (ShardOwnership::Request& one : out) Send(shard.replicas[one.replica], std::move(one.message));
}

// Handles messages of this router to itself.
void QuotaManager::DeliverLocal(Time now) {
  while (!local_.empty()) {
    std::vector<Outgoing> messages = std::exchange(local_, {});
    for (const Outgoing& one : messages) Handle(now, self_, one.message);
  }
}

Verdict QuotaManager::Admit(Time now, const RequestAttributes& asked) { return ledger_->Admit(now, asked); }

void QuotaManager::Receive(Time now, const std::string& from, const Message& message) {
  Handle(now, from, message);
  DeliverLocal(now);
}

void QuotaManager::Handle(Time now, const std::string& from, const Message& message) {
  if (message.shard >= kShards) return;
  Shard& shard = shards_[message.shard];
  switch (message.kind) {
    case MessageKind::kPrepare:
    case MessageKind::kConfirm: {
      if (!shard.replica) return;
      Message response = shard.replica->Handle(message);
      if (response.kind != MessageKind::kDenied) OnOwnerHeard(now, shard);
      return Send(from, std::move(response));
    }
    case MessageKind::kPromise:
    case MessageKind::kConfirmed:
    case MessageKind::kDenied:
      return HandleResponse(now, shard, from, message);
    case MessageKind::kTokenRequest:
      return HandleRequest(now, shard, from, message);
    case MessageKind::kGrant:
      if (message.requester != nonce_) {
        auto forwarded = shard.forwarded.find(message.requester);
        if (forwarded == shard.forwarded.end() || forwarded->second.second != message.sequence) return;
        Send(forwarded->second.first, message);
        shard.forwarded.erase(forwarded);
        if (shard.replica && message.ballot == shard.replica->promised()) OnOwnerHeard(now, shard);
        return;
      }
      if (!ledger_->HandleGrant(now, message)) return;
      shard.owner = message.ballot.router;
      shard.unanswered = shard.redirects = 0;
      return;
    case MessageKind::kRedirect:
      if (message.sequence != shard.last_sequence || message.fingerprint != table_->fingerprint) return;
      if (std::ranges::find(shard.replicas, message.other_ballot.router) == shard.replicas.end()) return;
      // While the request is sent to all replicas, a redirect adds nothing.
      if (shard.unanswered >= kUnansweredBeforeBroadcast || shard.redirects++ >= kMaxRedirects) return;
      shard.owner = message.other_ballot.router;
      shard.redirected = true;
      return ledger_->ResendNow(message.shard);
  }
}

void QuotaManager::SendRedirect(const Shard& shard, const std::string& to, const Message& request) {
  Message redirect;
  redirect.kind = MessageKind::kRedirect;
  redirect.shard = request.shard;
  redirect.sequence = request.sequence;
  redirect.requester = request.requester;
  redirect.fingerprint = table_->fingerprint;
  redirect.other_ballot.router = OtherOwner(shard);
  ++metrics_.redirects;
  Send(to, std::move(redirect));
}

// ---- Token requests of this router ------------------------------------------------------------------------

void QuotaManager::SendTokenRequests(Time now) {
  std::vector<Message> requests;
  ledger_->CollectRequests(now, requests);
  for (Message& request : requests) {
    Shard& shard = shards_[request.shard];
    if (shard.last_sequence != request.sequence) {
      shard.last_sequence = request.sequence;
      shard.unanswered = shard.redirects = 0;
      shard.redirected = false;
    } else if (!std::exchange(shard.redirected, false)) {
      ++shard.unanswered;
      shard.redirects = 0;
    }
    if (shard.unanswered >= kUnansweredBeforeBroadcast) {
      request.other_ballot.router = shard.owner;
      for (const std::string& replica : shard.replicas) Send(replica, request);
      continue;
    }
    bool known = !shard.owner.empty() && (shard.owner == self_ || present_(shard.owner));
    Send(known ? shard.owner : FirstPresent(shard), std::move(request));
  }
}

// ---- Ownership --------------------------------------------------------------------------------------------

void QuotaManager::HandleRequest(Time now, Shard& shard, const std::string& from, const Message& request) {
  if (request.fingerprint != table_->fingerprint) {
    ++metrics_.config_mismatches;
    return SendRedirect(shard, from, request);
  }
  if (!shard.owned && (!shard.replica || !ShouldStartElection(now, shard, request)))
    return Forward(shard, from, request) ? void() : SendRedirect(shard, from, request);
  if (!shard.owned) StartElection(now, request.shard);
  if (auto known = shard.owned->HandleRequest(now, from, request)) Send(from, std::move(*known));
  shard.owned->next_batch_at = std::max(shard.owned->next_batch_at, last_batch_ + kBatchInterval);
}

// Returns the most likely owner other than this router; empty if this router should own the shard.
const std::string& QuotaManager::OtherOwner(const Shard& shard) const {
  static const std::string kNone;
  if (shard.replica && shard.replica->promised().round > 0 && shard.replica->promised().router != self_)
    return shard.replica->promised().router;
  if (!shard.owner.empty() && shard.owner != self_) return shard.owner;
  const std::string& first = FirstPresent(shard);
  return first == self_ ? kNone : first;
}

// Forwards a request to the owner for a router that cannot reach it. Returns whether it did.
bool QuotaManager::Forward(Shard& shard, const std::string& from, const Message& request) {
  const std::string& owner = UnreachableOwner(shard, request);
  if (request.other_ballot.router != owner || owner.empty() || from == self_ || from == owner) return false;
  if (shard.forwarded.size() >= kMaxForwarded) shard.forwarded.clear();
  shard.forwarded[request.requester] = {from, request.sequence};
  Message forwarded = request;
  forwarded.other_ballot = {};
  Send(owner, std::move(forwarded));
  return true;
}

// Returns the other router that owns the shard, as far as the requester or this router knows.
const std::string& QuotaManager::UnreachableOwner(const Shard& shard, const Message& request) const {
  const std::string& named = request.other_ballot.router;
  bool other = named != self_ && std::ranges::find(shard.replicas, named) != shard.replicas.end();
  return other ? named : OtherOwner(shard);
}

void QuotaManager::OnOwnerHeard(Time now, Shard& shard) {
  shard.owner_heard = now;
  shard.stalled.clear();
}

// This router deposed a healthy owner, or was one and was deposed: elections start sooner than messages
// arrive. Without longer waits, replicas would depose each other's owners in turn.
void QuotaManager::OnPrematureElection(Time now, Shard& shard) {
  shard.premature_elections = std::min(RecentPremature(now, shard) + 1, kMaxPatienceDoublings);
  shard.premature_at = now;
}

int QuotaManager::RecentPremature(Time now, const Shard& shard) {
  return shard.premature_elections -
         static_cast<int>(
             std::min<std::int64_t>((now - shard.premature_at) / kPrematureDecay, shard.premature_elections));
}

// Whether a replica that received a token request for a shard it does not own starts an election. The first
// present replica owns the shard; the others take over, in order, if the request keeps coming although
// another router should have answered it and they have not heard from that router either.
bool QuotaManager::ShouldStartElection(Time now, Shard& shard, const Message& request) {
  if (shard.stalled.size() >= kMaxForwarded) shard.stalled.clear();
  auto& stalled =
      shard.stalled.try_emplace(request.requester, Shard::Stalled{request.sequence, now, now}).first->second;
  if (stalled.sequence != request.sequence || now - kMaxResendGap > stalled.last_seen)
    stalled = {request.sequence, now, now};
  stalled.last_seen = now;
  const std::string& owner = UnreachableOwner(shard, request);
  if (now < shard.next_election) return false;
  bool first = FirstPresent(shard) == self_;
  if (owner.empty()) return true;
  if (first && !present_(owner) && shard.owner_heard < now - kOwnerSilence) return true;
  auto before = std::ranges::count_if(std::span(shard.replicas).first(shard.own_index),
                                      [&owner](const std::string& replica) { return replica != owner; });
  return now - stalled.first_seen >=
         (kOwnerSilence + static_cast<int>(before) * kElectionStagger) * (1 << RecentPremature(now, shard));
}

void QuotaManager::StartElection(Time now, std::uint32_t number) {
  Shard& shard = shards_[number];
  shard.deposed = OtherOwner(shard);
  std::uint64_t round = std::max(shard.highest_round, shard.replica->promised().round) + 1;
  std::vector<ShardOwnership::Request> out;
  shard.owned = std::make_unique<OwnedShard>(number, Ballot{round, self_, nonce_, ++elections_}, now, out);
  ++metrics_.elections;
  SendToReplicas(shard, std::move(out));
}

void QuotaManager::TakeOwnership(Time now, Shard& shard) {
  if (!shard.owned->ownership.TakeOwnership()) return;
  ++metrics_.elections_won;
  shard.owner = self_;
  shard.owned->SetTable(*table_, options_.limits, now, unix_s_);
}

// Ends an election or ownership and redirects the queued requesters. The next election starts after a random
// delay of half to one and a half times `pause` at the earliest.
void QuotaManager::GiveUp(Time now, Shard& shard, Span pause) {
  std::unique_ptr<OwnedShard> owned = std::move(shard.owned);
  ++metrics_.ballots_lost;
  shard.next_election = now + pause / 2 + RandomUpTo(pause);
  shard.highest_round = std::max(shard.highest_round, owned->ownership.highest_round());
  shard.owner = owned->ownership.highest_ballot().router;
  for (const auto& [nonce, queued] : owned->queued()) {
    for (const std::string& from : queued.from) SendRedirect(shard, from, queued.request);
  }
}

void QuotaManager::HandleResponse(Time now, Shard& shard, const std::string& from, const Message& response) {
  auto replica = std::ranges::find(shard.replicas, from);
  if (!shard.owned || replica == shard.replicas.end()) return;
  OwnedShard& owned = *shard.owned;
  bool was_owner = owned.is_owner();
  if (response.kind == MessageKind::kConfirmed && from != self_) last_confirmer_ = from;
  owned.ownership.Handle(static_cast<std::size_t>(replica - shard.replicas.begin()), response);
  if (response.kind == MessageKind::kPromise && from == shard.deposed) {
    shard.deposed.clear();
    OnPrematureElection(now, shard);
  }
  if (owned.ownership.phase() == ShardOwnership::Phase::kLost) {
    if (was_owner) OnPrematureElection(now, shard);
    return GiveUp(now, shard, options_.resend_interval);
  }
  if (owned.ownership.phase() == ShardOwnership::Phase::kElecting &&
      owned.ownership.promises() == kReplicasPerShard)
    TakeOwnership(now, shard);
  for (Outgoing& grant : owned.TakeConfirmedGrants()) {
    ++metrics_.grants;
    Send(grant.router, std::move(grant.message));
  }
}

// Two confirmations suffice: keeps the requests to this router and to the replica that confirmed last, of any
// shard, so that all shards ask the same one. Resend includes the others.
void QuotaManager::SelectMajority(const Shard& shard, std::vector<ShardOwnership::Request>& out) const {
  if (out.size() <= kMajority) return;
  auto key = [&](const ShardOwnership::Request& one) {
    const std::string& replica = shard.replicas[one.replica];
    return replica == self_ ? 0 : replica == last_confirmer_ ? 1 : 2;
  };
  std::ranges::stable_sort(out, {}, key);
  out.erase(out.begin() + kMajority, out.end());
}

void QuotaManager::TickOwned(Time now, Shard& shard) {
  OwnedShard& owned = *shard.owned;
  bool electing = owned.ownership.phase() == ShardOwnership::Phase::kElecting;
  if (electing && owned.ownership.promises() >= kMajority &&
      now >= owned.election_started_at + options_.third_promise_wait)
    TakeOwnership(now, shard);
  std::vector<ShardOwnership::Request> out;
  if (owned.is_owner() && now >= owned.next_batch_at) {
    metrics_.tokens += owned.GrantQueued(now, unix_s_, signs_, out);
    SelectMajority(shard, out);
  }
  auto since = owned.is_owner() ? owned.unconfirmed_since() : owned.election_started_at;
  if (since && now >= *since + options_.give_up_after) return GiveUp(now, shard, options_.give_up_after);
  if (since && now >= owned.last_sent_at + options_.resend_interval) {
    owned.last_sent_at = now;
    owned.ownership.Resend(out);
  }
  SendToReplicas(shard, std::move(out));
}

// ---- Time -------------------------------------------------------------------------------------------------

void QuotaManager::Tick(Time now, std::int64_t unix_s, unsigned signs) {
  unix_s_ = unix_s;
  signs_ = signs;
  SendTokenRequests(now);
  DeliverLocal(now);
  // When the batch of one shard is due, all shards with queued requests grant theirs, so that one message to
  // a replica asks for all confirmations.
  bool batch = std::ranges::any_of(shards_, [now](const Shard& one) {
    return one.owned && one.owned->is_owner() && now >= one.owned->next_batch_at;
  });
  if (batch) last_batch_ = now;
  for (Shard& shard : shards_) {
    if (shard.owned && batch && !shard.owned->queued().empty()) shard.owned->next_batch_at = now;
    if (shard.owned) TickOwned(now, shard);
    if (now >= evict_at_ && shard.owned && shard.owned->is_owner()) {
      shard.owned->buckets()->SetTime(now, unix_s, signs);
      shard.owned->buckets()->EvictRefilled();
    }
  }
  if (now >= evict_at_) evict_at_ = now + kEvictInterval;
  DeliverLocal(now);
}

std::optional<Time> QuotaManager::NextDue() const {
  std::optional<Time> due = ledger_->NextDue();
  auto sooner = [&](Time at) { due = due ? std::min(*due, at) : at; };
  for (const Shard& shard : shards_) {
    if (!shard.owned) continue;
    const OwnedShard& owned = *shard.owned;
    auto since = owned.is_owner() ? owned.unconfirmed_since() : owned.election_started_at;
    if (since)
      sooner(std::min(*since + options_.give_up_after, owned.last_sent_at + options_.resend_interval));
    if (!owned.is_owner() && owned.ownership.promises() >= kMajority)
      sooner(owned.election_started_at + options_.third_promise_wait);
    if (owned.is_owner()) {
      sooner(owned.next_batch_at);
      if (owned.buckets()->buckets() > 0) sooner(evict_at_);
    }
  }
  return due;
}

}  // namespace peatbend::rations

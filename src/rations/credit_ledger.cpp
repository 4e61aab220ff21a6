#include "rations/credit_ledger.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace peatbend::rations {
namespace {

using namespace std::chrono_literals;

constexpr double kDemandDecayS = 0.5;  // time constant
// The delay of urgent debts adapts per quota: it grows by a small factor with each debt that is paid in time
// and is halved when the credit limit hindered a request that an earlier token request would have let
// through, which balances at about one such debt in a hundred. It grows faster until the limit is first hit.
constexpr double kMinUrgentDelayS = 0.025, kDelayGrowth = 1.007, kDelayReduction = 0.5,
                 kInitialDelayGrowth = 1.05;
constexpr std::size_t kMaxRequestBuckets = 80;  // over all chains of one token request, to fit a datagram
constexpr std::size_t kMaxSlotProbes = 64;      // accounts examined to find one that may be evicted
constexpr Span kMinRetryAfter = 10ms, kMaxRetryAfter = 5s, kDefaultRetryAfter = 150ms;
constexpr Span kMaxPartialGrantDelay = 20ms, kMinResendInterval = 15ms;

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }
Span FromSeconds(double s) { return Span(static_cast<Span::rep>(s * 1e9)); }

}  // namespace

CreditLedger::CreditLedger(const QuotaTable& table, Options options, std::uint64_t nonce,
                           std::uint64_t random, Time, std::uint64_t last)
    : table_(table),
      options_(options),
      nonce_(nonce),
      last_sequence_(last),
      random_(static_cast<std::minstd_rand::result_type>(random ^ random >> 32)),
      min_urgent_delay_s_(std::min(kMinUrgentDelayS, 2 * Seconds(options.request_interval))),
      urgent_delays_(table.quotas.size(), UrgentDelay{min_urgent_delay_s_}),
      shards_(kShards) {
  for (std::size_t i = 0; i < table.quotas.size(); ++i)
    credit_limits_.push_back(static_cast<std::uint32_t>(std::min(CreditLimit(table.MaxRate(i)), 1e9)));
}

// A random duration between half and one and a half times `span`.
Span CreditLedger::Jitter(Span span) {
  double part = 0.5 + static_cast<double>(random_() - random_.min()) /
                          static_cast<double>(random_.max() - random_.min());
  return std::clamp(FromSeconds(Seconds(span) * part), kMinRetryAfter, kMaxRetryAfter);
}

// ---- Accounts ---------------------------------------------------------------------------------------------

CreditLedger::Account* CreditLedger::FindOrCreate(Time now, const BucketPath& chain) {
  Slot at = SlotOf(chain.buckets[0]);
  return at != HashIndex::kNone ? &accounts_[at] : Create(now, chain);
}

// Creates the missing accounts of the chain, outermost first. Returns the innermost, or null if there is no
// room.
CreditLedger::Account* CreditLedger::Create(Time now, const BucketPath& chain) {
  std::uint32_t shard = ShardOf(chain);
  Account* parent = nullptr;
  for (std::size_t i = chain.size; i-- > 0;) {
    Slot at = SlotOf(chain.buckets[i]);
    if (at != HashIndex::kNone) {
      parent = &accounts_[at];
      continue;
    }
    if (parent != nullptr) ++parent->children;  // keeps FreeSlot from evicting it
    auto slot = FreeSlot();
    if (!slot) {
      if (parent != nullptr) --parent->children;
      return nullptr;
    }
    Account& account = accounts_[*slot] = {};
    account.bucket = chain.buckets[i];
    account.slot = *slot;
    account.parent = parent;
    account.credit_limit = credit_limits_[account.bucket.quota];
    account.shard = static_cast<std::uint8_t>(shard);
    account.demand_at = now;
    index_.Insert(HashOf(account.bucket), *slot);
    parent = &account;
  }
  return parent;
}

// Returns a slot for a new account: an unused one, or that of an evicted account without debt, pending
// request or children.
std::optional<CreditLedger::Slot> CreditLedger::FreeSlot() {
  if (accounts_.size() < options_.buckets) {
    accounts_.emplace_back();
    return static_cast<Slot>(accounts_.size() - 1);
  }
  for (std::size_t n = 0; n < std::min(kMaxSlotProbes, accounts_.size()); ++n) {
    Slot slot = next_candidate_++ % static_cast<Slot>(accounts_.size());
    Account& account = accounts_[slot];
    if (account.debt > 0 || account.requested || account.queued || account.children > 0) continue;
    index_.Erase(HashOf(account.bucket), slot);
    if (account.parent != nullptr) --account.parent->children;
    return slot;
  }
  return std::nullopt;
}

std::uint32_t CreditLedger::debt(const Bucket& bucket) const {
  Slot at = SlotOf(bucket);
  return at == HashIndex::kNone ? 0 : accounts_[at].debt;
}

// Whether the remaining credit may be used up before the next token request is answered, even if that is lost
// once.
bool CreditLedger::IsUrgent(const Account& account) const {
  Span span = 2 * options_.request_interval + options_.resend_interval;
  double mean = account.demand / kDemandDecayS * Seconds(span), left = account.credit_limit - account.debt;
  return left < 1 + mean || (left - 1 - mean) * (left - 1 - mean) < 4 * mean;
}

// How long an urgent debt waits for others to share the token request: the adaptive delay of its quota,
// divided by its recent demand. The first request to a shard is not delayed.
Span CreditLedger::UrgentDelayOf(const Account& account) const {
  if (!shards_[account.shard].owner_answered) return Span{};
  return FromSeconds(urgent_delays_[account.bucket.quota].seconds /
                     std::max(1.0, static_cast<double>(account.demand) - 1));
}

void CreditLedger::UpdateUrgentDelay(const Account& account, bool paid_in_full) {
  UrgentDelay& delay = urgent_delays_[account.bucket.quota];
  bool reduce = !paid_in_full || account.limited;
  delay.limited = delay.limited || reduce;
  delay.seconds *= reduce ? kDelayReduction : delay.limited ? kDelayGrowth : kInitialDelayGrowth;
  delay.seconds = std::clamp(delay.seconds, min_urgent_delay_s_,
                             std::max(min_urgent_delay_s_, Seconds(options_.idle_request_delay)));
}

void CreditLedger::Enqueue(Account& account, Time at) {
  Shard& shard = shards_[account.shard];
  if (!std::exchange(account.queued, true)) shard.queued.push_back(account.slot);
  shard.due = std::min(shard.due, std::max(at, account.not_before));
  due_ = std::min(due_, DueOf(shard));
}

// ---- Requests ---------------------------------------------------------------------------------------------

Verdict CreditLedger::Admit(Time now, const RequestAttributes& asked) {
  Verdict verdict;
  BucketPath chain = table_.BucketPathOf(asked);
  if (chain.size == 0) return verdict;
  verdict.counted = true;
  verdict.quota = chain.buckets[0].quota;
  verdict.over = table_.quotas[verdict.quota].over_limit;
  Account* leaf = FindOrCreate(now, chain);
  if (leaf == nullptr) {
    verdict.within_quota = false;
    verdict.retry_after = Jitter(kDefaultRetryAfter);
    ++metrics_.over_quota;
    return verdict;
  }
  Time retry_at{};
  for (Account* one = leaf; one != nullptr; one = one->parent) {
    if (now > one->demand_at) {
      one->demand *= static_cast<float>(std::exp(-Seconds(now - one->demand_at) / kDemandDecayS));
      one->demand_at = now;
    }
    one->demand += 1;
    if (one->debt < one->credit_limit) continue;
    verdict.within_quota = false;
    one->limited = true;
    retry_at = std::max(retry_at, one->retry_at);
    if (!one->requested) Enqueue(*one, now);
  }
  for (Account* one = leaf; verdict.within_quota && one != nullptr; one = one->parent) {
    ++one->debt;
    ++debt_;
    if (one->requested) continue;
    bool urgent = IsUrgent(*one) || !shards_[one->shard].owner_answered;
    if (urgent || !one->queued)
      Enqueue(*one, now + (urgent ? UrgentDelayOf(*one) : options_.idle_request_delay));
  }
  if (!verdict.within_quota && !AdmitWithoutOwner(now, *leaf, verdict))
    verdict.retry_after = Jitter(retry_at > now ? retry_at - now : shards_[leaf->shard].response_time);
  ++(verdict.within_quota ? metrics_.within_quota : metrics_.over_quota);
  return verdict;
}

// Applies the rules of soft quotas while the owner is unreachable. Returns whether the request is admitted.
bool CreditLedger::AdmitWithoutOwner(Time now, Account& leaf, Verdict& verdict) {
  if (!owner_unreachable(now, leaf.shard)) return false;
  Time since = shards_[leaf.shard].first_sent + options_.unreachable_after;
  for (Account* one = &leaf; one != nullptr; one = one->parent) {
    const Quota& quota = table_.quotas[one->bucket.quota];
    if (quota.hard || quota.when_unreachable == WhenUnreachable::kReject) return false;
    if (quota.when_unreachable == WhenUnreachable::kAdmit) continue;
    if (one->own_share_at < since) {
      one->own_share = 0;
      one->own_share_at = since;
    }
    double routers = std::max(options_.routers, 1);
    double burst = std::max(1.0, quota.rate.burst / routers), rate = quota.rate.per_second / routers;
    one->own_share = std::min(burst, one->own_share + rate * Seconds(now - one->own_share_at));
    one->own_share_at = now;
    if (one->own_share >= 1) continue;
    one->retry_at = now + (rate > 0 ? std::min(kMaxRetryAfter, FromSeconds((1 - one->own_share) / rate))
                                    : kMaxRetryAfter);
    return false;
  }
  for (Account* one = &leaf; one != nullptr; one = one->parent) {
    if (table_.quotas[one->bucket.quota].when_unreachable == WhenUnreachable::kOwnShare) one->own_share -= 1;
  }
  ++metrics_.without_owner;
  return verdict.within_quota = true;
}

bool CreditLedger::owner_unreachable(Time now, std::uint32_t shard) const {
  const Shard& one = shards_[shard];
  return one.outstanding && now >= one.first_sent + options_.unreachable_after;
}

// ---- Token requests ---------------------------------------------------------------------------------------

Time CreditLedger::DueOf(const Shard& shard) const {
  if (shard.outstanding) return ResendAt(shard);
  return shard.queued.empty() ? Time::max() : std::max(shard.next_request, shard.due);
}

void CreditLedger::UpdateDue() {
  due_ = Time::max();
  for (const Shard& shard : shards_) due_ = std::min(due_, DueOf(shard));
}

void CreditLedger::CollectRequests(Time now, std::vector<Message>& requests) {
  if (now < due_) return;
  bool some =
      std::ranges::any_of(shards_, [&](const Shard& one) { return !one.outstanding && now >= DueOf(one); });
  for (std::uint32_t number = 0; number < kShards; ++number) {
    Shard& shard = shards_[number];
    if (shard.outstanding && now >= ResendAt(shard)) {
      ++metrics_.resends;
      shard.last_sent = now;
      requests.push_back(*shard.outstanding);
    } else if (some && !shard.outstanding && !shard.queued.empty() && now >= shard.next_request &&
               now + options_.idle_request_delay / 2 >= shard.due) {
      BuildRequest(now, number, requests);  // sent together with those that are due
    }
  }
  UpdateDue();
}

void CreditLedger::BuildRequest(Time now, std::uint32_t number, std::vector<Message>& requests) {
  Shard& shard = shards_[number];
  Message request;
  std::vector<Slot> queued = std::exchange(shard.queued, {});
  std::size_t buckets = 0;
  shard.due = Time::max();
  request.entries.reserve(std::min(queued.size(), kMaxRequestBuckets));
  for (Slot slot : queued) {
    Account& account = accounts_[slot];
    if (buckets + kMaxQuotaDepth > kMaxRequestBuckets || account.not_before > now) {
      shard.queued.push_back(slot);
      shard.due = std::min(shard.due, std::max(now, account.not_before));
      continue;
    }
    account.queued = false;
    account.requested = true;
    Entry& entry = request.entries.emplace_back();
    for (const Account* one = &account; one != nullptr; one = one->parent)
      entry.chain.buckets[entry.chain.size++] = one->bucket;
    entry.tokens = account.debt;
    buckets += entry.chain.size;
    shard.slots.push_back(slot);
  }
  shard.next_request = now + options_.request_interval;
  if (request.entries.empty()) return;
  request.kind = MessageKind::kTokenRequest;
  request.shard = number;
  request.sequence = ++last_sequence_;
  request.requester = nonce_;
  request.fingerprint = table_.fingerprint;
  shard.last_sent = shard.first_sent = now;
  shard.outstanding = request;
  ++metrics_.token_requests;
  requests.push_back(std::move(request));
}

bool CreditLedger::HandleGrant(Time now, const Message& grant) {
  if (grant.shard >= kShards) return false;
  Shard& shard = shards_[grant.shard];
  bool ours = grant.kind == MessageKind::kGrant && shard.outstanding &&
              grant.sequence == shard.outstanding->sequence && grant.requester == nonce_ &&
              grant.fingerprint == table_.fingerprint &&
              grant.entries.size() == shard.outstanding->entries.size();
  for (std::size_t i = 0; ours && i < grant.entries.size(); ++i)
    ours = grant.entries[i].chain == shard.outstanding->entries[i].chain;
  if (!ours) {
    ++metrics_.void_grants;
    return false;
  }
  shard.owner_answered = true;
  Message request = std::move(*shard.outstanding);
  std::vector<Slot> slots = std::exchange(shard.slots, {});
  shard.outstanding.reset();
  shard.response_time =
      std::clamp((shard.response_time * 7 + (now - shard.first_sent)) / 8, Span{1ms}, Span{1s});
  for (std::size_t i = 0; i < slots.size(); ++i)
    ApplyGrant(now, shard.first_sent, slots[i], request.entries[i], grant.entries[i]);
  UpdateDue();
  return true;
}

// Tokens beyond the debt at the time of the request are discarded.
void CreditLedger::ApplyGrant(Time now, Time requested_at, Slot slot, const Entry& requested,
                              const Entry& granted) {
  Account& account = accounts_[slot];
  std::uint32_t paid = std::min(granted.tokens, requested.tokens);
  account.requested = false;
  account.debt -= paid;
  debt_ -= paid;
  metrics_.granted += paid;
  account.retry_at = account.not_before = {};
  UpdateUrgentDelay(account, paid == requested.tokens);
  account.limited = false;
  if (paid < requested.tokens) {
    Span wait = granted.retry_after_ms * 1ms;
    account.retry_at = now + wait;
    bool in_demand = now - account.demand_at < 1s;
    account.not_before =
        paid > 0 ? std::max(now, requested_at + PartialGrantDelay(account, requested.tokens / paid))
                 : now + std::min(Jitter(wait), in_demand ? kDefaultRetryAfter : kMaxRetryAfter);
  }
  if (account.debt > 0) Enqueue(account, IsUrgent(account) ? now : now + options_.idle_request_delay);
}

// How long after a request that was granted in part the rest is requested again: until a good part of the
// credit limit can have been refilled, and up to three times as long if many share the bucket, so that only
// one token in `ratio` was granted.
Span CreditLedger::PartialGrantDelay(const Account& account, std::uint32_t ratio) const {
  TokenRate most = table_.MaxRate(account.bucket.quota);
  if (most.per_second <= 0) return kMaxPartialGrantDelay;
  Span delay = std::min(kMaxPartialGrantDelay,
                        FromSeconds(0.4 * std::min(account.credit_limit / most.per_second, 1.0)));
  return delay * std::clamp<std::uint32_t>(ratio / 7, 1, 3);
}

Time CreditLedger::ResendAt(const Shard& shard) const {
  return shard.last_sent +
         std::min(options_.resend_interval, std::max(kMinResendInterval, 4 * shard.response_time));
}

void CreditLedger::ResendNow(std::uint32_t shard) {
  if (shard >= kShards || !shards_[shard].outstanding) return;
  shards_[shard].last_sent = Time::min() / 2;
  UpdateDue();
}

void CreditLedger::AppendState(std::string& into) const {
  rations::AppendState(into, last_sequence_);
  for (const Account& one : accounts_) {
    for (std::uint64_t each :
         {std::uint64_t{one.bucket.quota}, one.bucket.key_hash, std::uint64_t{one.debt},
          std::uint64_t{one.limited} * 4 + std::uint64_t{one.queued} * 2 + one.requested})
      rations::AppendState(into, each);
  }
  for (const UrgentDelay& delay : urgent_delays_)
    rations::AppendState(into, std::bit_cast<std::uint64_t>(delay.seconds) ^ std::uint64_t{delay.limited});
  for (const Shard& shard : shards_) {
    rations::AppendState(into, std::uint64_t{shard.outstanding.has_value()});
    if (shard.outstanding) rations::AppendState(into, *shard.outstanding);
    for (Time at : {shard.last_sent, shard.first_sent, shard.next_request, shard.due})
      rations::AppendState(into, static_cast<std::uint64_t>(at.count()));
  }
}

}  // namespace peatbend::rations

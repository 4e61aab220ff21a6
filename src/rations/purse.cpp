#include "rations/purse.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace peatbend::rations {
namespace {

using namespace std::chrono_literals;

constexpr double kFadeS = 0.5;  // of what is wanted
// One debt in a hundred hinders a request that a draw in time would have let through: a ration's debts wait
// longer with each that did not, and less with each that did.
constexpr double kShortestS = 0.025, kLonger = 1.007, kLess = 0.5, kAtFirst = 1.05;
constexpr std::size_t kDrawn = 80;  // buckets in one draw's chains: what fits a datagram
constexpr std::size_t kLook = 64;   // accounts, for one that may be dropped
constexpr Span kLeastWait = 10ms, kMostWait = 5s, kAskAnew = 150ms, kMostPause = 20ms, kLeastAgain = 15ms;

double Seconds(Span span) { return std::chrono::duration<double>(span).count(); }
Span FromSeconds(double s) { return Span(static_cast<Span::rep>(s * 1e9)); }

}  // namespace

Purse::Purse(const QuotaTable& table, Options options, std::uint64_t nonce, std::uint64_t random, Time,
             std::uint64_t last)
    : table_(table),
      options_(options),
      nonce_(nonce),
      last_(last),
      random_(static_cast<std::minstd_rand::result_type>(random ^ random >> 32)),
      shortest_s_(std::min(kShortestS, 2 * Seconds(options.draw_every))),
      eases_(table.quotas.size(), Ease{shortest_s_}),
      shards_(kShards) {
  for (std::size_t i = 0; i < table.quotas.size(); ++i)
    most_.push_back(static_cast<std::uint32_t>(std::min(CreditLimit(table.MaxRate(i)), 1e9)));
}

Span Purse::Spread(Span span) {
  double part = 0.5 + static_cast<double>(random_() - random_.min()) /
                          static_cast<double>(random_.max() - random_.min());
  return std::clamp(FromSeconds(Seconds(span) * part), kLeastWait, kMostWait);
}

// ---- Accounts ---------------------------------------------------------------------------------------------

Purse::Account* Purse::Find(Time now, const BucketPath& chain) {
  Slot at = SlotOf(chain.buckets[0]);
  return at != Slots::kNone ? &all_[at] : Make(now, chain);
}

// Of the chain's buckets those that are not there, from the outermost on. Null: there is no room.
Purse::Account* Purse::Make(Time now, const BucketPath& chain) {
  std::uint32_t shard = ShardOf(chain);
  Account* above = nullptr;
  for (std::size_t i = chain.size; i-- > 0;) {
    Slot at = SlotOf(chain.buckets[i]);
    if (at != Slots::kNone) {
      above = &all_[at];
      continue;
    }
    if (above != nullptr) ++above->users;  // held, while room is made
    auto slot = Room();
    if (!slot) {
      if (above != nullptr) --above->users;
      return nullptr;
    }
    Account& account = all_[*slot] = {};
    account.bucket = chain.buckets[i];
    account.slot = *slot;
    account.above = above;
    account.most = most_[account.bucket.quota];
    account.shard = static_cast<std::uint8_t>(shard);
    account.wanted_at = now;
    at_.Insert(HashOf(account.bucket), *slot);
    above = &account;
  }
  return above;
}

// A slot for a bucket that is new here: one in which nothing is owed and nothing on its way, and in which no
// other lies.
std::optional<Purse::Slot> Purse::Room() {
  if (all_.size() < options_.buckets) {
    all_.emplace_back();
    return static_cast<Slot>(all_.size() - 1);
  }
  for (std::size_t n = 0; n < std::min(kLook, all_.size()); ++n) {
    Slot slot = hand_++ % static_cast<Slot>(all_.size());
    Account& account = all_[slot];
    if (account.owed > 0 || account.out || account.listed || account.users > 0) continue;
    at_.Erase(HashOf(account.bucket), slot);
    if (account.above != nullptr) --account.above->users;
    return slot;
  }
  return std::nullopt;
}

std::uint32_t Purse::owed(const Bucket& bucket) const {
  Slot at = SlotOf(bucket);
  return at == Slots::kNone ? 0 : all_[at].owed;
}

// Whether what it may still owe might be used up before the next draw is answered, though that be lost once.
bool Purse::Presses(const Account& account) const {
  Span span = 2 * options_.draw_every + options_.again_every;
  double mean = account.wanted / kFadeS * Seconds(span), left = account.most - account.owed;
  return left < 1 + mean || (left - 1 - mean) * (left - 1 - mean) < 4 * mean;
}

// So long it may wait for others to go along, though it presses: by what its ration has learned, and its own
// demand of late. The first of a shard waits for nobody.
Span Purse::Slack(const Account& account) const {
  if (!shards_[account.shard].met) return Span{};
  return FromSeconds(eases_[account.bucket.quota].wait_s /
                     std::max(1.0, static_cast<double>(account.wanted) - 1));
}

// A debt was paid: `whole`, or there was not so much.
void Purse::Learn(const Account& account, bool whole) {
  Ease& ease = eases_[account.bucket.quota];
  bool less = !whole || account.hindered;
  ease.hindered = ease.hindered || less;
  ease.wait_s *= less ? kLess : ease.hindered ? kLonger : kAtFirst;
  ease.wait_s = std::clamp(ease.wait_s, shortest_s_, std::max(shortest_s_, Seconds(options_.idle)));
}

void Purse::List(Account& account, Time at) {
  Shard& shard = shards_[account.shard];
  if (!std::exchange(account.listed, true)) shard.listed.push_back(account.slot);
  shard.due = std::min(shard.due, std::max(at, account.not_before));
  due_ = std::min(due_, DueOf(shard));
}

// ---- A request --------------------------------------------------------------------------------------------

Verdict Purse::Take(Time now, const RequestAttributes& asked) {
  Verdict verdict;
  BucketPath chain = table_.BucketPathOf(asked);
  if (chain.size == 0) return verdict;
  verdict.counted = true;
  verdict.ration = chain.buckets[0].quota;
  verdict.over = table_.quotas[verdict.ration].over_limit;
  Account* leaf = Find(now, chain);
  if (leaf == nullptr) {
    verdict.within = false;
    verdict.come_back = Spread(kAskAnew);
    ++figures_.over;
    return verdict;
  }
  Time wait_until{};
  for (Account* one = leaf; one != nullptr; one = one->above) {
    if (now > one->wanted_at) {
      one->wanted *= static_cast<float>(std::exp(-Seconds(now - one->wanted_at) / kFadeS));
      one->wanted_at = now;
    }
    one->wanted += 1;
    if (one->owed < one->most) continue;
    verdict.within = false;
    one->hindered = true;
    wait_until = std::max(wait_until, one->wait_until);
    if (!one->out) List(*one, now);
  }
  for (Account* one = leaf; verdict.within && one != nullptr; one = one->above) {
    ++one->owed;
    ++owed_;
    if (one->out) continue;
    bool presses = Presses(*one) || !shards_[one->shard].met;
    if (presses || !one->listed) List(*one, now + (presses ? Slack(*one) : options_.idle));
  }
  if (!verdict.within && !Alone(now, *leaf, verdict))
    verdict.come_back = Spread(wait_until > now ? wait_until - now : shards_[leaf->shard].answered);
  ++(verdict.within ? figures_.within : figures_.over);
  return verdict;
}

// What soft rations do while nobody answers. True if it is within them.
bool Purse::Alone(Time now, Account& leaf, Verdict& verdict) {
  if (!alone(now, leaf.shard)) return false;
  Time since = shards_[leaf.shard].since + options_.alone_after;
  for (Account* one = &leaf; one != nullptr; one = one->above) {
    const Quota& ration = table_.quotas[one->bucket.quota];
    if (ration.hard || ration.when_unreachable == rations::WhenUnreachable::kReject) return false;
    if (ration.when_unreachable == rations::WhenUnreachable::kAdmit) continue;
    if (one->own_at < since) {
      one->own = 0;
      one->own_at = since;
    }
    double routers = std::max(options_.routers, 1);
    double burst = std::max(1.0, ration.rate.burst / routers), rate = ration.rate.per_second / routers;
    one->own = std::min(burst, one->own + rate * Seconds(now - one->own_at));
    one->own_at = now;
    if (one->own >= 1) continue;
    one->wait_until = now + (rate > 0 ? std::min(kMostWait, FromSeconds((1 - one->own) / rate)) : kMostWait);
    return false;
  }
  for (Account* one = &leaf; one != nullptr; one = one->above) {
    if (table_.quotas[one->bucket.quota].when_unreachable == rations::WhenUnreachable::kOwnShare)
      one->own -= 1;
  }
  ++figures_.alone;
  return verdict.within = true;
}

bool Purse::alone(Time now, std::uint32_t shard) const {
  const Shard& one = shards_[shard];
  return one.out && now >= one.since + options_.alone_after;
}

// ---- Draws ------------------------------------------------------------------------------------------------

Time Purse::DueOf(const Shard& shard) const {
  if (shard.out) return Again(shard);
  return shard.listed.empty() ? Time::max() : std::max(shard.next, shard.due);
}

void Purse::Reckon() {
  due_ = Time::max();
  for (const Shard& shard : shards_) due_ = std::min(due_, DueOf(shard));
}

void Purse::Due(Time now, std::vector<Message>& draws) {
  if (now < due_) return;
  bool some = std::ranges::any_of(shards_, [&](const Shard& one) { return !one.out && now >= DueOf(one); });
  for (std::uint32_t number = 0; number < kShards; ++number) {
    Shard& shard = shards_[number];
    if (shard.out && now >= Again(shard)) {
      ++figures_.again;
      shard.sent = now;
      draws.push_back(*shard.out);
    } else if (some && !shard.out && !shard.listed.empty() && now >= shard.next &&
               now + options_.idle / 2 >= shard.due) {
      Ask(now, number, draws);  // those that are due soon go along
    }
  }
  Reckon();
}

void Purse::Ask(Time now, std::uint32_t number, std::vector<Message>& draws) {
  Shard& shard = shards_[number];
  Message draw;
  std::vector<Slot> listed = std::exchange(shard.listed, {});
  std::size_t drawn = 0;
  shard.due = Time::max();
  draw.entries.reserve(std::min(listed.size(), kDrawn));
  for (Slot slot : listed) {
    Account& account = all_[slot];
    if (drawn + kMaxQuotaDepth > kDrawn || account.not_before > now) {
      shard.listed.push_back(slot);
      shard.due = std::min(shard.due, std::max(now, account.not_before));
      continue;
    }
    account.listed = false;
    account.out = true;
    Entry& entry = draw.entries.emplace_back();
    for (const Account* one = &account; one != nullptr; one = one->above)
      entry.chain.buckets[entry.chain.size++] = one->bucket;
    entry.want = account.owed;
    drawn += entry.chain.size;
    shard.slots.push_back(slot);
  }
  shard.next = now + options_.draw_every;
  if (draw.entries.empty()) return;
  draw.kind = MessageKind::kDraw;
  draw.shard = number;
  draw.number = ++last_;
  draw.drawer = nonce_;
  draw.print = table_.fingerprint;
  shard.sent = shard.since = now;
  shard.out = draw;
  ++figures_.draws;
  draws.push_back(std::move(draw));
}

bool Purse::Take(Time now, const Message& grant) {
  if (grant.shard >= kShards) return false;
  Shard& shard = shards_[grant.shard];
  bool ours = grant.kind == MessageKind::kGrant && shard.out && grant.number == shard.out->number &&
              grant.drawer == nonce_ && grant.print == table_.fingerprint &&
              grant.entries.size() == shard.out->entries.size();
  for (std::size_t i = 0; ours && i < grant.entries.size(); ++i)
    ours = grant.entries[i].chain == shard.out->entries[i].chain;
  if (!ours) {
    ++figures_.void_grants;
    return false;
  }
  shard.met = true;
  Message draw = std::move(*shard.out);
  std::vector<Slot> slots = std::exchange(shard.slots, {});
  shard.out.reset();
  shard.answered = std::clamp((shard.answered * 7 + (now - shard.since)) / 8, Span{1ms}, Span{1s});
  for (std::size_t i = 0; i < slots.size(); ++i)
    Settle(now, shard.since, slots[i], draw.entries[i], grant.entries[i]);
  Reckon();
  return true;
}

// The router has no use for more than it owed when it drew: whatever else is granted is lost.
void Purse::Settle(Time now, Time drawn_at, Slot slot, const Entry& drawn, const Entry& granted) {
  Account& account = all_[slot];
  std::uint32_t given = std::min(granted.want, drawn.want);
  account.out = false;
  account.owed -= given;
  owed_ -= given;
  figures_.granted += given;
  account.wait_until = account.not_before = {};
  Learn(account, given == drawn.want);
  account.hindered = false;
  if (given < drawn.want) {
    Span wait = granted.wait_ms * 1ms;
    account.wait_until = now + wait;
    bool in_demand = now - account.wanted_at < 1s;
    account.not_before = given > 0 ? std::max(now, drawn_at + Pause(account, drawn.want / given))
                                   : now + std::min(Spread(wait), in_demand ? kAskAnew : kMostWait);
  }
  if (account.owed > 0) List(account, Presses(account) ? now : now + options_.idle);
}

// Who got less than it owed asks again when a good part of what it may owe can have been filled; who shares
// it with many, and got one in `part`, later.
Span Purse::Pause(const Account& account, std::uint32_t part) const {
  TokenRate most = table_.MaxRate(account.bucket.quota);
  if (most.per_second <= 0) return kMostPause;
  Span pause = std::min(kMostPause, FromSeconds(0.4 * std::min(account.most / most.per_second, 1.0)));
  return pause * std::clamp<std::uint32_t>(part / 7, 1, 3);
}

Time Purse::Again(const Shard& shard) const {
  return shard.sent + std::min(options_.again_every, std::max(kLeastAgain, 4 * shard.answered));
}

void Purse::AskAgain(std::uint32_t shard) {
  if (shard >= kShards || !shards_[shard].out) return;
  shards_[shard].sent = Time::min() / 2;
  Reckon();
}

void Purse::Put(std::string& into) const {
  rations::Put(into, last_);
  for (const Account& one : all_) {
    for (std::uint64_t each : {std::uint64_t{one.bucket.quota}, one.bucket.key_hash, std::uint64_t{one.owed},
                               std::uint64_t{one.hindered} * 4 + std::uint64_t{one.listed} * 2 + one.out})
      rations::Put(into, each);
  }
  for (const Ease& ease : eases_)
    rations::Put(into, std::bit_cast<std::uint64_t>(ease.wait_s) ^ std::uint64_t{ease.hindered});
  for (const Shard& shard : shards_) {
    rations::Put(into, std::uint64_t{shard.out.has_value()});
    if (shard.out) rations::Put(into, *shard.out);
    for (Time at : {shard.sent, shard.since, shard.next, shard.due})
      rations::Put(into, static_cast<std::uint64_t>(at.count()));
  }
}

}  // namespace peatbend::rations

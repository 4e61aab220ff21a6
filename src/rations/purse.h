// What one router owes to the keepers. A request within its rations goes through at once, on account; the
// tokens for it are drawn afterwards, and no more than were owed. What is owed in a bucket never passes
// CreditLimit, so no request waits for anybody, nothing lies in a hand that does not use it, and all routers
// together admit at most what was released and CreditLimit of each process. A debt is forgotten only with the
// process: a bucket without one may be dropped, and where there is no room for another there is no credit.
// Free of I/O and clocks; one owner, one thread.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "rations/message.h"
#include "rations/quota_table.h"
#include "rations/slots.h"

namespace peatbend::rations {

struct Verdict {
  bool within = true;                                  // no ration counts it, or it went on account
  bool counted = false;                                // a ration counts it
  OverLimitAction over = OverLimitAction::kCountOnly;  // not within: what its ration says of it
  Span come_back{};                                    // not within: when to ask again, spread over requests
  std::uint32_t ration = 0;
};

class Purse {
 public:
  struct Options {
    int routers = 1;                                    // of the fleet, for `own share`
    Span draw_every = std::chrono::milliseconds{20};    // of a shard, at the most
    Span again_every = std::chrono::milliseconds{40};   // an unanswered draw, under the same number; sooner
                                                        // where answers come sooner
    Span alone_after = std::chrono::milliseconds{300};  // unanswered: soft rations do as they say
    Span idle = std::chrono::seconds{1};  // a debt that hinders nobody is drawn for after so long
    std::size_t buckets = 100'000;
  };
  // `table` outlives it. `nonce`: of the process. `random`: a seed, for spreading. `last`: of the former
  // purse of this process, lastNumber(): no number is used twice under one nonce.
  Purse(const QuotaTable& table, Options options, std::uint64_t nonce, std::uint64_t random, Time now,
        std::uint64_t last = 0);

  // Under a microsecond; allocates only for a bucket that is new here.
  Verdict Take(Time now, const RequestAttributes& asked);
  // What is to be asked of the keepers now: draws that are due, and those to be said again. The caller knows
  // who keeps a shard, and fills in the receiver.
  void Due(Time now, std::vector<Message>& draws);
  // A grant; any but the first to the draw that is out is void. True if it was taken.
  bool Take(Time now, const Message& grant);
  // The draw that is out is asked again at once: of another keeper.
  void AskAgain(std::uint32_t shard);
  std::optional<Time> NextDue() const { return due_ == Time::max() ? std::nullopt : std::optional(due_); }

  std::uint64_t owed() const { return owed_; }  // of all buckets
  std::uint32_t owed(const Bucket& bucket) const;
  bool alone(Time now, std::uint32_t shard) const;
  std::uint64_t lastNumber() const { return last_; }
  std::size_t buckets() const { return at_.size(); }
  struct Figures {
    std::uint64_t within = 0, over = 0, alone = 0, draws = 0, again = 0, granted = 0, void_grants = 0;
  };
  const Figures& figures() const { return figures_; }
  void Put(std::string& into) const;

 private:
  using Slot = Slots::Slot;
  struct Account {  // of a bucket; what a request looks at first
    Bucket bucket;
    Account* above = nullptr;  // of the bucket that this one lies in
    std::uint32_t users = 0;   // buckets that lie in this one
    std::uint32_t owed = 0, most = 1;
    float wanted = 0;  // requests of late, fading
    Slot slot = 0;     // its own
    std::uint8_t shard = 0;
    bool out = false, listed = false;  // drawn for; to be drawn for
    bool hindered = false;             // a request found it at its most, since it was paid last
    Time wanted_at{}, not_before{}, wait_until{};
    double own = 0;  // own share, while alone
    Time own_at = Time::min();
  };
  struct Ease {     // of a ration
    double wait_s;  // that a debt which may hinder the next request waits for others to go along
    bool hindered = false;
  };
  struct Shard {
    std::optional<Message> out;
    std::vector<Slot> slots;                        // of its entries
    Time sent{}, since{}, next{};                   // last said; first said; not before
    Time due = Time::max();                         // of what is listed
    Span answered = std::chrono::milliseconds{10};  // after so long, of late
    std::vector<Slot> listed;
    bool met = false;  // its keeper
  };

  static std::uint64_t HashOf(const Bucket& bucket) {
    return (bucket.key_hash ^ bucket.quota) * 0x9e3779b97f4a7c15u >> 32;
  }
  Slot SlotOf(const Bucket& bucket) const {
    return at_.Find(HashOf(bucket), [&](Slot slot) { return all_[slot].bucket == bucket; });
  }
  Account* Find(Time now, const BucketPath& chain);
  Account* Make(Time now, const BucketPath& chain);
  std::optional<Slot> Room();
  bool Presses(const Account& account) const;
  Span Slack(const Account& account) const;
  void Learn(const Account& account, bool whole);
  void List(Account& account, Time at);
  Span Pause(const Account& account, std::uint32_t part) const;
  Time Again(const Shard& shard) const;
  Time DueOf(const Shard& shard) const;
  void Reckon();  // due_ anew
  void Ask(Time now, std::uint32_t number, std::vector<Message>& draws);
  void Settle(Time now, Time drawn_at, Slot slot, const Entry& drawn, const Entry& granted);
  bool Alone(Time now, Account& leaf, Verdict& verdict);
  Span Spread(Span span);

  const QuotaTable& table_;
  Options options_;
  std::uint64_t nonce_, last_;
  std::minstd_rand random_;
  std::uint64_t owed_ = 0;
  std::deque<Account> all_;
  Slots at_;
  Slot hand_ = 0;                    // where Room looks next
  std::vector<std::uint32_t> most_;  // by ration: owed
  double shortest_s_;                // that a debt waits
  std::vector<Ease> eases_;          // by ration
  Time due_ = Time::max();           // the soonest of all shards
  std::vector<Shard> shards_;
  Figures figures_;
};

}  // namespace peatbend::rations

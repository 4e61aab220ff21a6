// All that one router does for rations: its purse, its seats in the fences of shards, and the shards that it
// keeps itself. Decides when to ask, to try to keep, to give up; what must hold is the fence's and the
// purse's. Free of I/O and clocks; one owner, one thread. What is to be said is gathered until it is taken.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "failover/replica_set.h"
#include "rations/fence.h"
#include "rations/keeper.h"
#include "rations/kept.h"
#include "rations/purse.h"

namespace peatbend::rations {

struct OfficeOptions {
  bool sits = true;  // false: this process is no seat, whatever its name
  Purse::Options purse;
  KeeperLimits keeper;
  Span third_promise = std::chrono::milliseconds{10};  // two have promised: waited for the third
  Span ask_again = std::chrono::milliseconds{10};
  Span give_up = std::chrono::milliseconds{
      400};  // a go without two promises, or without confirmation; tried again, spread
};

class Office {
 public:
  // `seats`: may keep shards; the same at all routers. `nonce`: drawn at the process's start, never used
  // before. `present`: whether that router is there, as far as is known; only says whom to ask and when to
  // try.
  Office(OfficeOptions options, failover::ReplicaSet seats, std::string self, std::uint64_t nonce,
         std::uint64_t random, std::shared_ptr<const QuotaTable> table, Time now,
         std::function<bool(const std::string&)> present);

  // Another book: what is in hand and kept of the former is void.
  void SetTable(Time now, std::shared_ptr<const QuotaTable> table);
  Verdict Take(Time now, const RequestAttributes& asked);
  void Take(Time now, const std::string& from, const Message& message);
  // `unix_s`, `signs`: for the paces of the shards that are kept here.
  void Tick(Time now, std::int64_t unix_s, unsigned signs);
  std::optional<Time> Due() const;
  std::vector<Out> TakeOut() { return std::exchange(out_, {}); }

  const QuotaTable& table() const { return *table_; }
  struct Figures {
    std::uint64_t goes = 0, begun = 0, lost = 0, grants = 0, tokens = 0, other_book = 0, elsewhere = 0;
  };
  const Figures& figures() const { return figures_; }
  const Purse& purse() const { return *purse_; }
  std::size_t kept() const;  // shards
  std::size_t bucketsKept() const;

 private:
  struct Place {  // a shard, as seen from here
    std::array<std::string, kSeats> seats;
    std::size_t rank = kSeats;  // of this router among them
    std::optional<Seat> seat;
    std::unique_ptr<Kept> kept;  // also while it is tried for
    std::uint64_t round = 0;     // the highest met
    Time try_at = Time::min();   // not before
    Time heard = Time::min();    // last, of the keeper that this seat has promised
    std::string deposed;         // believed keeper when this router tried, until it is heard of
    int hasty = 0;               // goes that deposed one that was well, fading; when the last was
    Time hasty_at{};
    // Draws that have come here since, though another should have answered them: by drawer.
    struct Waiting {
      std::uint64_t number;
      Time since, last;
    };
    std::map<std::uint64_t, Waiting> waiting;
    // Draws that were carried on to the keeper for those who do not hear it: by drawer, the router and the
    // number.
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> carried;
    // For the own draws.
    std::string keeper;  // believed
    std::uint64_t last_draw = 0;
    int unanswered = 0, led_on = 0;  // times it was said again; sent elsewhere, since it was said
    bool led = false;                // the next is said because of that
  };

  const std::string& FirstPresent(const Place& place) const;
  void Say(const std::string& to, Message message);
  void Post(const Place& place, std::vector<Fence::To> out);
  void Settle(Time now);
  void Hear(Time now, const std::string& from, const Message& message);
  void Drawn(Time now, Place& place, const std::string& from, const Message& draw);
  void Elsewhere(const Place& place, const std::string& to, const Message& draw);
  const std::string& KeeperElsewhere(const Place& place) const;
  static void Heard(Time now, Place& place);
  static void Hasty(Time now, Place& place);
  static int HastyOfLate(Time now, const Place& place);
  bool ShallTry(Time now, Place& place, const Message& draw);
  const std::string& Silent(const Place& place, const Message& draw) const;
  bool Carry(Place& place, const std::string& from, const Message& draw);
  void Try(Time now, std::uint32_t shard);
  void Begin(Time now, Place& place);
  void Answered(Time now, Place& place, const std::string& from, const Message& answer);
  void Drop(Time now, Place& place, Span pause);
  void TickKept(Time now, Place& place);
  void Fewest(const Place& place, std::vector<Fence::To>& out) const;
  void AskKeepers(Time now);
  Span Any(Span span);

  OfficeOptions options_;
  failover::ReplicaSet seats_;
  std::string self_;
  std::uint64_t nonce_;
  std::minstd_rand random_;
  std::function<bool(const std::string&)> present_;
  std::vector<Out> out_, local_;
  std::shared_ptr<const QuotaTable> table_;
  std::unique_ptr<Purse> purse_;
  std::string confirms_;  // the other seat that has confirmed last
  std::vector<Place> places_;
  std::uint64_t goes_ = 0;
  std::int64_t unix_s_ = 0;
  unsigned signs_ = kNoCondition;
  Time forget_at_;
  Time turned_ = Time::min() / 2;  // when draws were reckoned last, of any shard
  Figures figures_;
};

}  // namespace peatbend::rations

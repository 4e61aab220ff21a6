// One shard's three seats and the routers that keep it and draw from it, all of them the real code, in a
// place where messages are delivered in any order, twice, or never, processes die and are started again,
// seats start anew with nothing in memory, and time passes. One bucket, filled by one token a tick, and in
// some settings another inside it. What was handed out and admitted is counted by the tick in which it
// happened, and judged by that alone.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "orders/orders.h"
#include "orders/rations_router.h"

namespace peatbend::orders {

class RationsTown {
 public:
  static constexpr int kMostTicks = 8;
  static constexpr int kAhead = 1;

  struct Event {
    enum class What : std::uint8_t { kDelivered, kKept, kToFormer, kActs, kStarted, kSeatAnew, kTick } what;
    std::uint8_t who = 0;  // the router or the seat; of a message: its place
    Act act{};
    std::uint64_t of = 0;
    ParcelPtr parcel;
    std::string Text() const;
  };

  explicit RationsTown(const RationsSetup& setup);

  std::vector<Event> Events() const;
  RationsTown After(const Event& event) const;
  std::uint64_t Print() const;

  const std::string& broken() const { return broken_; }
  int now() const { return now_; }
  int handed() const { return Sum(handed_, 0, now_); }
  int admitted() const { return Sum(admitted_, 0, now_); }

 private:
  using Counts = std::array<std::uint8_t, kMostTicks + 1>;  // by tick
  struct SeatState {
    rations::Seat seat;
    std::optional<rations::Seat> former;  // kTwoLives
    std::uint64_t print;
  };
  using SeatPtr = std::shared_ptr<const SeatState>;
  struct Answered {
    SeatPtr seat;
    ParcelPtr answer;
    bool promised;  // another than before
  };
  struct World {  // of all states
    RationsSetup setup;
    std::shared_ptr<const rations::QuotaTable> table;
    mutable Memo<Did> did{1u << 14};
    mutable Memo<Answered> answered{1u << 14};
    mutable Memo<bool> tells{1u << 15};
  };

  const RationsSetup& setup() const { return world_->setup; }
  bool Is(Careless careless) const { return setup().careless == careless; }
  RouterPtr Fresh(std::size_t self, std::uint64_t start) const;
  static SeatPtr Of(SeatState seat);
  static int Sum(const Counts& counts, int from, int to) {
    int sum = 0;
    for (int t = from; t <= to; ++t) sum += counts[static_cast<std::size_t>(t)];
    return sum;
  }

  void Do(std::size_t r, Act act, std::uint64_t of = 0, const ParcelPtr& parcel = nullptr);
  void Insert(const ParcelPtr& parcel);
  void Prune();
  bool Matters(const Parcel& parcel, const ParcelPtr& shared) const;
  bool TellsAnything(const ParcelPtr& answer) const;
  std::shared_ptr<const Answered> Ask(const ParcelPtr& asked, bool former) const;
  rations::Message Answer(rations::Seat& seat, const rations::Message& asked) const;
  void Deliver(std::size_t i, bool keep, bool to_former);
  void SeatAnew(std::size_t s);
  void Tick();
  void BeginWith(int seats);
  void HearSeats();
  void Judge();

  std::shared_ptr<const World> world_;
  int restarts_, deaths_, starts_, twice_, again_;
  int processes_;
  int now_ = 0;
  std::array<SeatPtr, kSeats> seats_;
  std::array<RouterPtr, 3> routers_;
  std::vector<ParcelPtr> bag_;
  Counts handed_{}, admitted_{}, inside_{};  // inside: admitted of the inner ration
  std::string broken_;
};

}  // namespace peatbend::orders

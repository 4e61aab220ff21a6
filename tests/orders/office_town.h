// Three routers, each with all that one does for rations (Office), seats among it, while messages come in any
// order, twice or never, processes die and are started again, and each takes the next book at a time of its
// own. Of the first book's ration one token a tick; what was admitted under it is counted by the tick of its
// request, and judged by that alone. A state is what each router has been through.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "orders/orders.h"
#include "rations/office.h"

namespace peatbend::orders {

// What the next book says of the first one's ration: the same; or nothing, and another of ten times the pace
// stands in its place.
enum class NextBook { kNone, kSame, kOther };

struct OfficeSetup {
  NextBook next = NextBook::kSame;
  int books = 3;     // routers that take the next
  int requests = 2;  // of each process
  int ticks = 2;
  int twice = 0, deaths = 0, starts = 0;
  bool kept = false;    // one keeps already
  bool prompt = false;  // no tick passes while messages are on their way; turns may be late
};

class OfficeTown {
 public:
  static constexpr std::size_t kRouters = 3;
  static constexpr int kMostTicks = 6, kAhead = 1, kBurst = 1;
  static rations::Time At(int tick) { return tick * std::chrono::milliseconds(250); }

  struct Parcel {
    std::size_t from, to;
    rations::Message message;
    std::uint64_t print;  // of all of it
  };
  using ParcelPtr = std::shared_ptr<const Parcel>;
  struct Event {
    enum class What : std::uint8_t { kRequest, kTurns, kBook, kDies, kStarts, kHears, kTwice, kTick } what;
    std::size_t who = 0;  // the router; of a message: its place
    ParcelPtr parcel;
    std::string Text() const;
  };

  explicit OfficeTown(const OfficeSetup& setup);
  std::vector<Event> Events() const;
  OfficeTown After(const Event& event) const;
  std::uint64_t Print() const;
  const std::string& broken() const { return broken_; }
  int admitted() const;
  int now() const { return now_; }

 private:
  using Call = std::function<bool(rations::Office&)>;
  struct Router {
    std::uint64_t nonce = 0, history = 0;
    bool alive = true, next_book = false;
    int requests = 0;
    std::vector<std::shared_ptr<const Call>> calls;  // it is copied by playing them anew
    std::shared_ptr<const rations::Office> office;
  };
  struct Did {
    std::shared_ptr<const Router> router;
    std::vector<ParcelPtr> posts;
    bool admitted = false;
  };
  struct World {  // of all states
    OfficeSetup setup;
    std::shared_ptr<const rations::QuotaTable> books[2];
    failover::ReplicaSet seats{{{"r0", "a"}, {"r1", "b"}, {"r2", "c"}}};
    mutable Memo<Did> did{1u << 14};
  };

  std::shared_ptr<rations::Office> NewOffice(std::size_t r, std::uint64_t nonce) const;
  std::shared_ptr<const Router> Fresh(std::size_t r, std::uint64_t start) const;
  Did DidOf(std::size_t r, Event::What what, const ParcelPtr& parcel) const;
  void Do(std::size_t r, Event::What what, const ParcelPtr& parcel);
  void Judge();

  std::shared_ptr<const World> world_;
  int now_ = 0, books_, twice_, deaths_, starts_, processes_ = kRouters;
  std::array<std::shared_ptr<const Router>, kRouters> routers_;
  std::vector<ParcelPtr> bag_;  // by print
  std::array<int, kMostTicks + 1> admitted_{};
  std::string broken_;
};

}  // namespace peatbend::orders

// One router of the rations' town: its purse, and the shard that it keeps or tries to keep, by the code that
// routers run. What it does hangs on what it was, on what happens to it, and on the tick alone.
#pragma once

#include <xxhash.h>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rations/kept.h"
#include "rations/purse.h"

namespace peatbend::orders {

using rations::Fence;
using rations::Go;
using rations::kSeats;
using rations::MessageKind;

// What a careless build would be.
enum class Careless {
  kNone,
  kTimed,           // a token that was handed out a while ago counts as unused
  kDeadAgain,       // so do the tokens of a router that has died
  kFull,            // the bucket begins full
  kFilledSinceAsk,  // or fills from the time of the ask on
  kUnconfirmed,     // hands out what it has reckoned at once
  kOldConfirm,      // or once a confirm that was sent before has come
  kOneSeat,         // the word of one seat is enough
  kAnyLife,         // a seat confirms what a former life of it promised
  kSameLife,        // a seat that starts anew has its former life's number
  kOpenSet,         // seats that promise after the beginning are added
  kPromisesAll,     // a later ask does not depose
  kLatestAsk,       // the latest ask is promised, not the highest
  kTwoLives,        // a seat's former life goes on answering beside the next
  kDebtForgotten,   // a bucket is dropped though something is owed in it
  kBeside,          // more is drawn than is owed, and used beside what may be owed
  kSameNonce,       // a process that is started again has its former nonce
  kInsideAlone      // a token of a ration inside another is not counted in that
};

struct RationsSetup {
  int routers = 2, goes = 1;  // goes: of each process; 0: seats are heard at once
  int begun =
      0;  // seats that have promised the first router, which keeps already; 0: it does not.
          // Not all: the others' asks are still on their way, and these once more, as far as `twice` goes
  int restarts = 0;  // of seats
  int deaths = 0, starts = 0;
  int twice = 0;  // messages that are delivered twice
  int ticks = 3;
  int burst = 1;
  int requests = 0;  // of each process; 0: keepers hand out to nobody in particular
  int again = 0;     // draws that are said again, to whomever
  int nested = 0;  // tokens that a ration inside gets in two ticks; each request is of both, or of the outer
  std::size_t drawers = 4096;  // that a keeper knows
  Careless careless = Careless::kNone;
};

inline rations::Time At(int tick) { return tick * std::chrono::milliseconds(250); }
// Of a token a tick; `nested`: with one inside, for tenant 0.
std::shared_ptr<const rations::QuotaTable> RationsOf(int burst, int nested);

inline rations::BucketPath OneChain() {
  rations::BucketPath chain;
  chain.size = 1;
  return chain;
}

struct Parcel {
  enum class Way { kToSeat, kFromSeat, kBetween } way;
  std::size_t router, other;  // other: the seat; between: to whom
  rations::Message message;
  std::uint64_t print;  // without `other`
  bool Same(const Parcel& one) const { return print == one.print && other == one.other; }
  std::string Text() const;
};
using ParcelPtr = std::shared_ptr<const Parcel>;
ParcelPtr ParcelOf(Parcel::Way way, std::size_t router, std::size_t other, rations::Message message);

inline std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

// A router's purse. Copied by playing its calls anew.
class Wallet {
 public:
  // `last`: the former wallet's.
  Wallet(std::shared_ptr<const rations::QuotaTable> table, std::uint64_t nonce, std::uint64_t last = 0);
  bool Request(int now, bool inside);  // true: within
  bool due(int now) const { return purse_->NextDue().value_or(rations::Time::max()) <= At(now); }
  bool out() const { return out_; }  // a draw
  // `again`: at once, if one is out.
  std::optional<rations::Message> Draw(int now, bool again);
  void Grant(int now, const rations::Message& grant);
  bool Waits(const rations::Message& grant) const { return out_ && grant.number == purse_->lastNumber(); }
  std::uint64_t last() const { return purse_->lastNumber(); }
  bool owes() const { return purse_->owed() > 0; }
  void Put(std::string& into) const {
    purse_->Put(into);
    rations::Put(into, static_cast<std::uint64_t>(beside_));
  }
  // kBeside: a grant holds one more than was owed.
  void Beside() { ++beside_; }

 private:
  using Call = std::function<bool(rations::Purse&)>;
  bool Do(Call call);

  std::shared_ptr<const rations::QuotaTable> table_;
  std::uint64_t nonce_, last_;
  std::vector<std::shared_ptr<const Call>> calls_;
  int beside_ = 0;
  std::shared_ptr<const rations::Purse> purse_;
  bool out_ = false;
};

struct Router {
  struct Pending {  // reckoned, not yet handed out
    int reckoned;
    std::uint64_t number;  // of the confirm; 0: not yet sent
    int tokens;
  };
  std::size_t self = 0;
  std::uint64_t nonce = 0;
  bool alive = true;
  int goes = 0, requests = 0;
  std::uint64_t tried = 0, number = 0, met = 0;
  std::optional<rations::Kept> kept;
  int tokens = 0;  // in the bucket
  std::vector<Pending> pending;
  std::map<std::uint64_t, int> given;  // kTimed, kDeadAgain: by drawer
  int given_at = 0;
  int taken_back = 0;                                         // tokens that it hands out once more
  std::array<std::vector<rations::Message>, kSeats> answers;  // kOpenSet
  std::uint64_t one_said = 0;                                 // kOneSeat
  std::optional<Wallet> wallet;

  std::uint64_t print = 0;
  std::array<std::uint64_t, kSeats> of_seat{};
  const Fence* fence() const { return kept ? &kept->fence : nullptr; }
  bool keeps() const { return alive && kept && kept->fence.phase() == Fence::Phase::kKeeping; }
};
using RouterPtr = std::shared_ptr<const Router>;
RouterPtr Sealed(Router router, bool nested);  // with its prints

// What may happen to one router by itself, or by a message.
enum class Act : std::uint8_t {
  kTry,
  kBegin,
  kReckon,
  kAskToConfirm,
  kTurn,      // reckons its draws
  kTakeBack,  // a careless keeper: of the drawer `of`
  kRequest,
  kRequestInside,
  kDraw,  // of the router `of`
  kDrawAgain,
  kDropDebt,  // a careless purse
  kDie,
  kTick,
  kTake  // a message
};

// What a router has become, and what came of it.
struct Did {
  RouterPtr router;
  std::vector<ParcelPtr> posts;
  std::vector<std::pair<int, int>> handed;  // in which tick, how many
  int admitted = 0;
};

class Step {
 public:
  Step(const RationsSetup& setup, std::shared_ptr<const rations::QuotaTable> table, int now, Router router)
      : setup_(setup), table_(std::move(table)), now_(now), router_(std::move(router)) {}
  Did Do(Act act, std::uint64_t of, const Parcel* parcel);

 private:
  bool Is(Careless careless) const { return setup_.careless == careless; }
  void Try();
  void Begin();
  void Reckon();
  void AskToConfirm();
  void Draw(std::size_t to, bool again);
  void Take(const Parcel& parcel);
  void Heard(std::size_t seat, const rations::Message& answer);
  void HandOut();
  void TakeDraw(std::size_t from, rations::Message draw);
  void Tick();

  const RationsSetup& setup_;
  std::shared_ptr<const rations::QuotaTable> table_;
  int now_;
  Router router_;
  std::vector<Fence::To> out_;
  Did did_;
};

}  // namespace peatbend::orders

// All the work that one router has in hand, and its seat in the records of others. Decides when to ask again,
// when to wait for another, when to take over and when to give up; whether that may happen is Custody's. Free
// of I/O and clocks; one owner, one thread. What is to be sent to seats and said to the router is gathered
// until it is taken.
//
//   fresh --Want--> asked --stands--> out (an attempt may run) --Finish--> ending --stands--> said
//   asked --another has it--> watching --its end stands--> said
//   watching --its owner is gone, or has let go--> asked
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "takeover/custody.h"
#include "takeover/holder.h"
#include "takeover/look.h"
#include "takeover/seats.h"

namespace peatbend::takeover {

struct DeskOptions {
  Span send_within = std::chrono::milliseconds{200};
  Span stands_within = std::chrono::milliseconds{250};  // a record; else the router is alone
  Span ends_within = std::chrono::milliseconds{500};    // the record of an end
  Span again_every = std::chrono::milliseconds{40}, look_every = std::chrono::milliseconds{50};
  Span words_every = std::chrono::milliseconds{200};  // asked for after a start
  Span margin = std::chrono::milliseconds{15};        // before the deadline, for the answer's way
  bool serve_alone = false;             // else new work is rejected where no majority can be had
  std::size_t value_bytes = 16u << 10;  // of an end that is kept
  Keep keep;
};

class Desk {
 public:
  // Names a request of this router.
  using Number = std::uint32_t;
  struct Out {
    std::string router;
    Message message;
  };
  struct Say {
    Number number = 0;
    enum class What { kSend, kEnd } what = What::kSend;
    End end = End::kNone;
    std::string value;
    bool alone = false;  // no majority could be had
    bool stands =
        false;  // it is the end for all who ask; else only this one's patience, or its reach, is over
  };
  struct Figures {
    std::uint64_t covered = 0, uncovered = 0, taken_over = 0, joined = 0, ended_by_other = 0, alone = 0,
                  refused = 0, late = 0, value = 0, failed = 0, rejected = 0, let_go = 0, not_kept = 0,
                  untold = 0;
  };

  // `life`: of this process, higher than any that the fleet knows of its name; 0 while that is not sure, and
  // then no record is asked and no word. It may move on. `gone`: whether that process is known to be no more;
  // only says when to try.
  Desk(DeskOptions options, Seats seats, std::string self, std::uint64_t life, Time now,
       std::function<bool(const Author&)> gone);

  void SetLife(std::uint64_t life);
  // No seat can be reached from now on: who waits for a word is given it uncovered. Nothing is asked after
  // it.
  void Release(Time now);
  void Open(Time now, Number number, std::string work, const ClassSettings& cls, Time deadline);
  // An attempt at that server is wanted: Say::kSend, or an end, follows.
  void Want(Time now, Number number, const std::string& server);
  // The attempt that was sent last has ended, without a value.
  void Ended(Time now, Number number, bool may_have_run);
  // The end is wanted; Say::kEnd follows, which may be another.
  void Finish(Time now, Number number, End end, std::string value = {});
  // Nobody waits any more. Nothing is said after it.
  void Left(Time now, Number number);

  // From that router.
  void Take(Time now, const std::string& from, const Message& message);
  void Tick(Time now);
  std::optional<Time> Due() const;

  std::vector<Out> TakeOut() { return std::exchange(out_, {}); }
  std::vector<Say> TakeSaid() { return std::exchange(said_, {}); }

  const Seats& seats() const { return seats_; }
  const Holder& holder() const { return holder_; }
  const Figures& figures() const { return figures_; }
  std::size_t open() const { return errands_.size(); }

 private:
  enum class Phase { kFresh, kAsked, kOut, kEnding, kWatching, kTaking, kBare };
  struct Errand {
    Errand(const std::string& work, const Author& author, const Author& looker, Span send_within)
        : custody(work, author, send_within), look(work, looker) {}
    Custody custody;
    Look look;
    Number number = 0;
    ClassSettings cls;
    std::array<std::size_t, kSeats> seats{};
    Phase phase = Phase::kFresh;
    std::string server;  // wanted
    bool heard = true;   // somebody waits for the end
    bool joined = false;
    Time deadline{}, since{}, due{};
  };
  using Errands = std::map<std::uint64_t, Errand>;  // by go

  Errand* Find(Number number);
  bool Over(Time now, const Errand& errand) const { return now >= errand.deadline - options_.margin; }
  void SetDue(Errand& errand, Time due);
  // The same, and in time for its last word.
  void SetNext(Time now, Errand& errand, Span in);
  void Post(const Errand& errand, std::vector<Claim::Out> out);
  // Hands what is for the own seat to it, and its answers on.
  void Settle(Time now);
  void Heard(Time now, Errand& errand, std::size_t seat, const Message& message);
  void TickOne(Time now, Errand& errand);
  void AskForWords(Time now);
  Next Allowed(Time now, const Errand& errand) const;
  // In that phase, for an answer to `out`; to be seen to again after so long.
  void Wait(Time now, Errand& errand, Phase phase, std::vector<Claim::Out> out, Span again);
  void Ask(Time now, Errand& errand);
  void Write(Time now, Errand& errand, End end, std::string value);
  void Lost(Time now, Errand& errand);
  void Watch(Time now, Errand& errand);
  void Watched(Time now, Errand& errand);
  void TakeOver(Time now, Errand& errand);
  void Alone(Time now, Errand& errand);
  void Tell(Time now, Errand& errand, const State& state);
  // The last word on it; the errand is gone then.
  void Close(Time now, Errand& errand, End end, std::string value, bool alone = false, bool stands = false);

  DeskOptions options_;
  Seats seats_;
  std::string self_;
  std::uint64_t life_;
  std::function<bool(const Author&)> gone_;
  Holder holder_;
  Errands errands_;
  std::map<Number, std::uint64_t> gos_;
  std::set<std::pair<Time, std::uint64_t>> due_;  // an errand's time, and its go
  std::uint64_t last_go_ = 0;
  bool asks_ = false;  // for the others' word: after a start, if this is a seat
  Time forget_at_, words_at_;
  std::vector<Out> out_, local_;
  std::vector<Say> said_;
  Figures figures_;
};

}  // namespace peatbend::takeover

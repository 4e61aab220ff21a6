// One of the three that keep a record: it promises, accepts and refuses. It never forgets a promise within a
// record's life, and a process that has just started, which may have forgotten some, votes for nothing until
// no record of before its start can be alive. One owner, one thread.
#pragma once

#include <map>
#include <string>

#include "takeover/record.h"

namespace peatbend::takeover {

struct Keep {
  Span life =
      std::chrono::seconds{20};  // of a record, from when it was last written: longest deadline and linger
  std::size_t bytes = 4u << 20;  // of all records together
};

class Holder {
 public:
  // `now`: of the process's start.
  Holder(Keep keep, Time now) : keep_(keep), started_(now) {}

  // The answer to a prepare, an accept or a look.
  Message Take(Time now, const Message& asked);
  // Drops the records whose life is over; to be called now and then.
  void Forget(Time now);

  bool young(Time now) const { return now - started_ < keep_.life; }
  std::size_t records() const { return slots_.size(); }
  std::size_t bytes() const { return bytes_; }
  struct Slot {
    Ballot promised, kept;
    std::uint32_t version = 0;
    State state;
    Time first{};  // when the first step stood, as far as is known here
    Time last{};   // written or promised
  };
  const std::map<std::string, Slot>& slots() const { return slots_; }
  void Put(std::string& into) const;  // see Claim::Put; but for when records end

 private:
  Message Tell(Time now, Kind kind, const Message& asked, const Slot& slot) const;
  static std::size_t Weight(const std::string& work, const State& state);
  Keep keep_;
  Time started_;
  std::map<std::string, Slot> slots_;
  std::size_t bytes_ = 0;
};

}  // namespace peatbend::takeover

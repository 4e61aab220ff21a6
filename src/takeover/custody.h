// One router's side of one piece of work: nothing is sent and no end told before the record of it stands.
// What is to be sent, whether again, and with what it ends, is decided elsewhere; here is only whether it may
// happen. Free of I/O and clocks; one owner, one thread.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "peatbend/balancer.h"
#include "takeover/claim.h"

namespace peatbend::takeover {

// What may be done with work that was read, by what its record proves.
enum class Next {
  kSend,    // nothing has run
  kRepeat,  // something may have run, and may be repeated: at servers that the class names
  kFail,    // something may have run, and may not be repeated
  kTell     // it has ended
};

// `age`: since the first step was recorded, at the least. `unsure`: how much longer ago, or how much later
// than recorded, an attempt may have been sent.
Next NextOf(const State& state, const ClassSettings& cls, Span age, Span unsure);

class Custody {
 public:
  enum class Verdict {
    kNothing,
    kSend,  // the step that was asked for stands: send it now, from within this call's turn
    kLate,  // it stands, but too long after it was asked for: decide anew, as after kRead
    kTell,  // the end stands: state() is what everybody is told
    kRead,  // the work is this one's to go on with, once it writes: see state()
    kLost   // refused, or no majority to be had: see taken()
  };
  // `send_within`: a permission that comes later than this after it was asked for is asked for anew, so that
  // a process that stood still, or was cut off, sends nothing on the strength of old knowledge.
  Custody(std::string work, Author author, Span send_within)
      : claim_(std::move(work), std::move(author)), send_within_(send_within) {}

  // An attempt at that server is wanted: on work that is new, or after kRead, or after an outcome. Nothing
  // happens where the work has ended.
  void Want(Time now, const std::string& server, std::vector<Claim::Out>& out);
  // The attempt that was permitted last turned out to never have run.
  void NeverRan();
  // The end is wanted. Where the work was lost meanwhile it is taken back first, if nobody has ended it.
  // `kept`: the value is written too, not only that there is one.
  void Finish(Time now, End end, std::string value, std::vector<Claim::Out>& out, bool kept = true);
  // Nothing more is done for it here; whoever asks may take it over at once.
  void LetGo(Time now, std::vector<Claim::Out>& out);
  // Tries to take the work over, or to learn its end.
  void TakeOver(Time now, std::vector<Claim::Out>& out);
  // Once more to those who have not answered.
  void Again(Time now, std::vector<Claim::Out>& out) const { claim_.Again(now, out); }
  Verdict Take(Time now, std::size_t seat, const Message& answer, std::vector<Claim::Out>& out);

  const Claim& claim() const { return claim_; }
  const State& state() const { return claim_.state(); }
  // What stands, with what this process knows of its own steps beyond it.
  State Known() const;
  // Whether an attempt may have run, as far as is known here: the one that is wanted now has not.
  bool MayHaveRun() const;
  bool taken() const { return claim_.taken(); }
  bool RanElsewhere() const;  // by others, or may have
  // The end that is wanted; and whether the one that stands is this.
  End end() const { return end_; }
  const std::string& value() const { return value_; }
  bool own_end() const { return own_end_; }
  void Put(std::string& into) const;  // see Claim::Put; without what belongs to a seat

 private:
  Claim claim_;
  Span send_within_;
  std::string server_;  // wanted and not yet permitted
  End end_ = End::kNone;
  std::string value_;
  bool kept_ = true, own_end_ = false;
  std::uint32_t number_ = 0, sent_ = 0;
  std::set<std::uint32_t> may_have_run_;  // own steps that were permitted
};

}  // namespace peatbend::takeover

// Who of a fleet's routers is there: SWIM (Das, Gupta, Motivala, 2002) with suspicion, indirect probes and
// the local health of Lifeguard (Dadgar, Phillips, Currey, 2017). Free of I/O and clocks: time is passed in,
// chance comes from a seed, and what is to be sent is handed out. One owner, one thread. docs/design/peers.md
// has the argument; docs/peers.md is for operators.
//
//   joining --a seed answered, or there is none--> member --Leave--> left
//   joining, member --the name is used elsewhere--> contest --no answer there--> member
//   contest --it lives, and is the older--> refused --after a while--> joining
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "peers/message.h"
#include "peers/record.h"

namespace peatbend::peers {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // on a clock that goes on while the process stands still

using namespace std::chrono_literals;

struct Options {
  std::string fleet;
  Span probe = 200ms, timeout = 100ms;  // between probes; until an answer is asked for by way of others
  int helpers = 3;                      // others that are asked then
  Span gossip = 100ms;                  // between rounds, while there is news
  int fanout = 3;
  Span suspicion_least = 700ms, suspicion_most = 1400ms;  // with confirmations, without
  Span stall = 400ms;       // a gap between two steps that is taken for standing still
  Span join = 500ms;        // between attempts at a seed while joining; four times that as a member
  Span contest = 1s;        // for who uses the same name to answer
  Span refused = 5s;        // until a refused process tries again
  Span visit = 500ms;       // between probes of those held for dead
  Span differ = 600ms;      // after which a difference of views is worth a table; a table each double that
  Span forget = 3600s;      // after which the dead are forgotten
  std::size_t most = 1024;  // names that are remembered
};

// Whether this process may act on what it believes of itself and others. Sure: somebody has confirmed, lately
// and since it last stood still, that it is held for present. A confirmation
// holds for `suspicion_least`: who is cut off is unsure before others can have taken it for dead. Alone: it
// is a member and knows no other. Later parts ask before they act; what is to happen once may not rest on the
// answer alone.
enum class Standing { kSure, kAlone, kUnsure, kOut };
constexpr const char* kStandingNames[] = {"sure", "alone", "unsure", "out"};

struct Outgoing {
  std::string to;  // ADDRESS:PORT
  Message message;
  bool stream = false;  // join and table: over a stream, answered on it with a table
};

// How a message came: by itself, on a stream that its sender has opened, or as the answer on a stream of
// one's own.
enum class Via { kDatagram, kStream, kAnswer };

struct Figures {
  std::uint64_t probes = 0, missed = 0, suspected = 0, refuted = 0, deaths = 0, rebirths = 0, stalls = 0,
                replayed = 0, former = 0, joins = 0, tables = 0, over = 0;
};

class Membership {
 public:
  enum class Phase { kJoining, kMember, kContest, kRefused, kLeft };
  // What others may want to hear: a member as it was, if it was known, and as it is now.
  using Heard = std::function<void(const Record* before, const Record& now)>;
  // A line for the log.
  using Say = std::function<void(const std::string& text)>;

  // `self` names the process; its life is that of this start, higher than that of any start before. `seeds`
  // are addresses that a fleet may be found at; its own among them is passed over.
  Membership(Options options, Record self, std::vector<std::string> seeds, std::uint64_t random, Time now,
             Heard heard = {}, Say say = {});

  // Carries out what is due, and sees how long it has been since it was last called.
  void Step(Time now, std::vector<Outgoing>& out);
  // When Step is due next, at the latest.
  Time Due() const;
  // What came in; the answer that belongs on the same stream, if it came on one.
  std::optional<Message> Take(Time now, const Message& message, Via via, std::vector<Outgoing>& out);
  // Tells everyone; nothing is probed after it. Step is still to be called for a while.
  void Leave(Time now, std::vector<Outgoing>& out);
  void SetNote(std::string note);

  Standing StandingAt(Time now) const;
  Phase phase() const { return phase_; }
  const Record& self() const { return self_; }
  struct Member {
    Record record;
    Time heard{};  // directly, since the process last stood still; zero: not yet
    Time since{};  // in this state
    Time until{};  // suspect: held for dead from then on
    std::set<std::string> accusers;
    std::uint64_t highest = 0, window = 0;  // message numbers of this life that were taken
  };
  const std::map<std::string, Member>& members() const { return members_; }  // without itself
  std::size_t present() const { return present_; }   // itself counted, if it is a member
  std::uint64_t Digest() const { return digest_; }   // of all that are present
  std::size_t news() const { return news_.size(); }  // yet to be told
  const Figures& figures() const { return figures_; }
  int health() const { return health_; }  // 0: well; each step makes it slower to judge

 private:
  struct Probe {
    std::string name;
    std::uint64_t life = 0;
    Time ask{}, end{};
    bool asked = false;  // others, to ask in turn
    int silent = 0;      // of those, so many have said nothing
    bool main = false;   // the round's own; others check a suspicion
  };
  struct Relay {  // a ping sent for another
    std::string to;
    std::uint64_t probe = 0;
    Time end{};
  };
  struct News {
    Record record;
    int sent = 0;
  };
  struct Rival {  // another process under this one's name
    Record record;
    bool member = false;  // this one was a member when it heard of it
    Time until{}, again{};
  };

  bool Awake(Time now);
  void Changed();           // after any change of who is there, or of this one
  Message Make(Kind kind);  // without news
  Message MakeNews(Kind kind);
  void Post(std::vector<Outgoing>& out, const std::string& to, Message message);
  void Fill(Message& message);
  void Tell(const Record& record);
  void TellSelf();
  int MostSends() const;
  Span Slowed(Span span) const { return span * (1 + health_); }
  void Health(int step);

  void StepProbes(Time now, std::vector<Outgoing>& out);
  void StepGossip(Time now, std::vector<Outgoing>& out);
  void StepSuspects(Time now);
  void StepJoin(Time now, std::vector<Outgoing>& out);
  void StepRival(Time now, std::vector<Outgoing>& out);
  void StepVisits(Time now, std::vector<Outgoing>& out);
  void StartProbe(Time now, const Member& member, bool main, std::vector<Outgoing>& out);
  void Suspect(Time now, const std::string& name, std::uint64_t life);
  std::vector<const Member*> Some(std::size_t count, const std::string& but);

  void Merge(Time now, const Record& record);
  void MergeSelf(Time now, const Record& record);
  void Confirm(Member& member, const std::string& by);
  void SetUntil(Member& member);
  void Replace(Time now, Member& member, const Record& record);
  void Begin(Time now);
  void Reborn(std::uint64_t above);
  void Contest(Time now, const Record& record);
  void Refuse(Time now);
  void FromOwnName(Time now, const Message& message);
  // What the sender is held for; nothing where the message was taken before.
  std::optional<You> Known(const Message& message, Via via);
  void Answer(Time now, const Message& message, std::vector<Outgoing>& out);
  void Compare(Time now, const Message& message, std::vector<Outgoing>& out);
  Message Table(Kind kind);
  void Line(const std::string& text) const {
    if (say_) say_(text);
  }
  std::uint64_t Below(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }

  Options options_;
  Record self_;
  std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  Heard heard_;
  Say say_;
  Phase phase_ = Phase::kJoining;
  std::map<std::string, Member> members_;
  std::map<std::string, News> news_;  // by whom it is about
  std::vector<std::string> turns_;    // whom to probe, in a shuffled order
  std::map<std::uint64_t, Probe> probes_;
  std::map<std::uint64_t, Relay> relays_;
  std::set<std::string> doubted_;  // freshly suspected by others: looked at next
  std::optional<Rival> rival_;
  Figures figures_;
  std::uint64_t digest_ = 0;
  std::size_t present_ = 0, suspects_ = 0;
  int health_ = 0;
  std::uint64_t number_ = 0, last_probe_ = 0;
  std::size_t next_seed_ = 0;
  std::string last_seed_;
  Time last_step_, probe_at_, gossip_at_, join_at_, visit_at_, refused_until_{}, table_at_{};
  Time confirmed_{-1}, differs_{-1};
};

}  // namespace peatbend::peers

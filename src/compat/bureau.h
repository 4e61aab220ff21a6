// A router's part in the register of what is published: its seat, if it is one of the three; the changes that
// it brings, one after another; and what it knows of the catalogue. Decides when to say again, when to begin
// anew and whom to ask; what is accepted is Change's and RecordReplica's. Free of I/O and clocks; one owner,
// one thread. What is to be sent, also to itself, is gathered until it is taken.
//
// A seat's answers may leave only once memory() is kept where the process's end does not reach it, if there
// is such a place: see unsaved().
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "compat/catalogue.h"
#include "compat/register.h"
#include "compat/wire.h"
#include "failover/replica_set.h"

namespace peatbend::compat {

using failover::Duration;
using failover::TimePoint;

struct BureauOptions {
  Duration again = std::chrono::milliseconds{100};  // to seats that have not answered
  Duration anew = std::chrono::seconds{2};          // of a go that does not come to its end
  // Before the next go of a change that was outrun: drawn up to the first, doubled each time up to the
  // second.
  Duration pause_least = std::chrono::milliseconds{40}, pause_most = std::chrono::seconds{2};
  // Asked for by a seat that has started anew: at first, then more seldom, so that a slow answer is awaited.
  Duration words = std::chrono::milliseconds{300}, words_most = std::chrono::seconds{5};
  Duration news = std::chrono::seconds{2};  // what is known is told to one other
  Duration lag = std::chrono::seconds{1};   // a seat keeps what it has not heard to stand: it reads
  std::size_t queue = 64;                   // changes that wait
  Catalogue::Bounds bounds;
};

class Bureau {
 public:
  using Then = std::function<void(const Answer&)>;
  struct Out {
    std::string router;
    Say say;
  };
  struct Told {
    std::string label;
    Answer answer;
    Then then;
  };
  struct Figures {
    std::uint64_t changes = 0, refused = 0, goes = 0, outrun = 0, fetched = 0, words = 0;
  };

  // `life`: as failover::RecordReplica's; 0 while it is not sure, and then nothing is brought or voted.
  // `nonce`: of no other start of any process. `others`: the routers that seem to be there; only says whom to
  // ask.
  Bureau(BureauOptions options, const failover::ReplicaSet& seats, std::string self, std::uint64_t life,
         std::uint64_t nonce, TimePoint now, std::function<std::vector<std::string>()> others);

  // Takes its seat, if it has one, with the memory of the former start where that was kept. Before it, it
  // answers nothing as a seat.
  void Sit(TimePoint now, const std::optional<Memory>& memory);
  void SetLife(std::uint64_t life);
  // An operator's word: the register is new. The seat votes once both the others, told the same, have noted
  // it; never again, once it has voted.
  void Found(TimePoint now);
  void Bring(TimePoint now, std::string label, Change::Command command, Then then);
  // From that router; also what this one has said to itself.
  void Take(TimePoint now, const std::string& from, const Say& say);
  void Tick(TimePoint now);
  TimePoint Due() const;

  std::vector<Out> TakeOut() { return std::exchange(out_, {}); }
  std::vector<Told> TakeTold() { return std::exchange(told_, {}); }

  const Catalogue& known() const { return known_; }
  std::uint64_t news() const { return news_; }
  bool seated() const { return own_ < failover::kReplicas; }
  bool votes(TimePoint now) const { return seated() && replica_.MayVote(now, kWork); }
  bool founding() const { return founds_ && !barred_; }
  // The word to found is refused: the others know of this seat from before.
  bool barred() const { return barred_; }
  std::size_t waiting() const { return queue_.size(); }
  const Figures& figures() const { return figures_; }

  // Whether memory() has changed since Saved().
  bool unsaved() const { return unsaved_; }
  void Saved() { unsaved_ = false; }
  Memory memory() const;

 private:
  static constexpr const char* kWork = "catalogue";
  struct Errand {
    std::string label;
    Change::Command command;
    Then then;
  };
  failover::RecordReplica::ReplicasFor ReplicasFor() const;
  void Remember(TimePoint now, const Memory& memory);
  std::size_t SeatOf(const std::string& router) const;
  void Post(std::vector<failover::RecordProposer::Outgoing> out);
  void Send(const std::string& to, SayKind kind, std::uint64_t number = 0);
  void SendMessage(const std::string& to, const failover::Message& message);
  void TellNews(const std::string& to);
  void Begin(TimePoint now);
  void Answered(TimePoint now, std::size_t seat, const failover::Message& answer);
  void TakeMessage(TimePoint now, const std::string& from, const failover::Message& message);
  void Asked(TimePoint now, const std::string& from, const failover::Message& message);
  void TakeFounding(TimePoint now, const std::string& from, const Say& say);
  void TakeNews(const std::string& from, const Say& say);
  void AskToSit(TimePoint now);
  void Learn(const failover::Ballot& ballot, Catalogue catalogue, std::string bytes);

  BureauOptions options_;
  std::array<std::string, failover::kReplicas> seats_;
  std::uint64_t print_;  // of the seats
  std::string self_;
  std::size_t own_ = failover::kReplicas;  // of seats_; kReplicas: none, or not taken yet
  std::uint64_t life_, nonce_, go_ = 0;
  std::mt19937_64 random_;
  std::function<std::vector<std::string>()> others_;

  failover::RecordReplica replica_;
  std::map<std::string, std::uint64_t> words_, foundings_;
  bool founds_ = false, barred_ = false, unsaved_ = false;
  std::uint64_t founding_ = 0;
  std::array<bool, failover::kReplicas> agreed_{};  // to this one's founding

  std::deque<Errand> queue_;  // the first is under way where there is a change
  std::optional<Change> change_;
  failover::Ballot met_, written_;
  int goes_ = 0, asked_to_sit_ = 0;
  bool paused_ = false;
  TimePoint now_, begun_{}, again_at_{}, words_at_{}, news_at_{}, lag_since_{};

  Catalogue known_;
  std::string known_bytes_;
  failover::Ballot known_at_;
  std::uint64_t known_print_ = 0, news_ = 0;

  std::vector<Out> out_;
  std::vector<Told> told_;
  Figures figures_;
};

}  // namespace peatbend::compat

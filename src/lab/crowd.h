// The clients of a day: each planned request is sent when it is due, given up after its time, and tried again
// as clients do. Free of I/O: a carrier brings the tries to routers and tells what came back.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "lab/plan.h"
#include "lab/referee.h"
#include "lab/tally.h"
#include "world/random.h"

namespace peatbend::lab {

struct Try {
  std::string id;
  std::size_t request = 0;  // in the plan
  int number = 0;           // 0: the first
  int router = 0;
  Time sent{};
  Span waits{};             // until the client gives this try up
  std::string facts;        // the list of names and values that it sends
  std::string idempotency;  // of a keyed request
  std::string work;         // what is to be done once, whatever the ids; empty: nothing is
};

class Carrier {
 public:
  virtual ~Carrier() = default;
  virtual void Send(const Try& one) = 0;
};

class Crowd {
 public:
  Crowd(world::Agenda& agenda, const Scenario& scenario, const Plan& plan, Referee& referee, Carrier& carrier,
        std::uint64_t seed);
  void Start();

  // What came of a try.
  void Served(const Try& one, std::string_view value);
  void Rejected(const Try& one, Span come_back);
  void Failed(const Try& one);
  // The router could not be reached, or ended before it took the request.
  void Unreachable(const Try& one);
  // The connection ended after the request was taken, without a whole answer.
  void Cut(const Try& one);

  // What the front knows of routers; it notices late.
  void RouterDown(int router, Span notices);
  void RouterUp(int router);

  const std::vector<Outcome>& outcomes() const { return outcomes_; }
  // Writes that lost their router with 2 s left or more, and came back; and those of them that were served.
  std::pair<std::uint64_t, std::uint64_t> returned() const { return {returned_, returned_served_}; }
  std::uint64_t open() const { return open_; }  // requests planned so far and not over

 private:
  // `id`: that of a try before, which is asked again as it was.
  void Begin(std::size_t request, int number, const std::string& id = {});
  void GiveUp(const Try& one);
  void Unanswered(const Try& one);
  // `harmless`: whatever the class, trying again does no harm.
  void Again(const Try& one, Outcome::What last, Span wait, bool harmless, bool same = false);
  void End(std::size_t request, Outcome::What what);
  bool Over(const Try& one) const {
    return state_[one.request].current != one.number || state_[one.request].over;
  }

  struct State {
    int current = -1;  // the number of the try that is out
    bool over = false;
    bool returned = false;  // lost its router with time left, where work outlives that
    Time first_sent{};
  };
  world::Agenda& agenda_;
  const Scenario& scenario_;
  const Plan& plan_;
  Referee& referee_;
  Carrier& carrier_;
  world::Random random_;
  std::vector<State> state_;
  std::vector<Outcome> outcomes_;
  std::vector<bool> known_down_;
  std::vector<std::uint64_t> front_turn_;
  std::unordered_map<std::string, bool> settled_;     // tries that have an end: by id
  std::unordered_map<std::string, int> asked_again_;  // ids that were: the last try's number
  std::uint64_t open_ = 0, returned_ = 0, returned_served_ = 0;
};

}  // namespace peatbend::lab

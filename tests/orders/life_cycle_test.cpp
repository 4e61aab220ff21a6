// The life cycle under all sequences of what may happen to it, against plain facts of what has happened.
#include "router/life_cycle.h"

#include "doctest/doctest.h"
#include "orders/interleavings.h"

namespace peatbend::net {
namespace {

struct Life {
  LifeCycle cycle;
  bool list_held = false, left = false, stopped = false, successor = false;
  bool late_over = false;  // since it was told to leave or to stop

  void Check(const std::string& after) {
    INFO(after);
    CHECK(cycle.stopping() == stopped);
    CHECK(cycle.takes_clients() == (list_held && !stopped && !successor));
    CHECK(cycle.away() == (left && !stopped && !successor));
    CHECK(cycle.welcome() == (!left && (successor || (list_held && !stopped))));
    Doors::Rest closes = (left || stopped) && late_over ? Doors::Rest::kCloses : Doors::Rest::kStays;
    CHECK(cycle.rest() == (successor ? Doors::Rest::kGoesToSuccessor : closes));
  }
};

TEST_CASE("orders: the life cycle is what has happened to it, whatever the sequence") {
  std::vector<orders::NamedEvent<Life>> events = {
      {"list held", [](Life& life) { life.cycle.ServerListHeld(), life.list_held = true; }},
      {"LEAVE",
       [](Life& life) {
         if (life.cycle.Leave()) life.left = true, life.late_over = false;
       }},
      {"JOIN",
       [](Life& life) {
         if (life.cycle.Join()) life.left = false;
       }},
      {"late clients over",
       [](Life& life) {
         life.cycle.LateClientsOver();
         // Handing over, clients move; told to leave before, what is left is closed once that is undone.
         if (!life.successor || life.stopped) life.late_over = life.late_over || life.left || life.stopped;
       }},
      {"successor ready", [](Life& life) { life.cycle.SuccessorReady(), life.successor = true; }},
      {"successor lost", [](Life& life) { life.cycle.SuccessorLost(), life.successor = false; }},
      {"stop",
       [](Life& life) {
         if (life.cycle.Stop()) life.stopped = true, life.late_over = life.successor;
       }},
  };
  std::size_t sequences = 0;
  for (std::size_t length : {1, 2, 3, 4, 5, 6}) {
    sequences += orders::ForEachSequence(events, length, [&](const auto& sequence) {
      Life life;
      for (const auto& event : sequence) event.apply(life);
      life.Check(orders::EventNames(sequence));
    });
  }
  MESSAGE(sequences, " sequences");
}

}  // namespace
}  // namespace peatbend::net

// The decision module under all orders of a few events, two routers on one tiny fleet. Each order is played
// within one moment, a moment apart, and so far apart that a drain's grace is over in between; then time
// passes until all must be answered.
#include <chrono>
#include <iostream>

#include "orders/interleavings.h"
#include "orders/router_simulation.h"

namespace peatbend::orders {
namespace {

using Events = std::vector<NamedEvent<RouterSimulation>>;
const Key kKey{11};

ServerEntry At(ServerEntry entry, TimePoint started) {
  entry.started = started;
  return entry;
}
ServerEntry Origin(const std::string& name) {
  ServerEntry entry = Entry("origin");
  entry.id.name = name;
  return entry;
}
NamedEvent<RouterSimulation> Asks(std::string name, int router, unsigned id, int cls,
                                  Duration remaining = 1s) {
  return {std::move(name), [=](RouterSimulation& play) { play.Ask(router, id, kKey, cls, remaining); }};
}
NamedEvent<RouterSimulation> Ends(std::string name, int router, Result result) {
  return {std::move(name), [=](RouterSimulation& play) { play.SettleOldest(router, result); }};
}
NamedEvent<RouterSimulation> Lists(std::string name, ServerEntry entry) {
  return {std::move(name), [=](RouterSimulation& play) { play.List({entry}, Scope::kDelta); }};
}
// Started at the moment at which it is told.
NamedEvent<RouterSimulation> Starts(std::string name, std::string server) {
  return {std::move(name),
          [=](RouterSimulation& play) { play.List({At(Entry(server), play.now)}, Scope::kDelta); }};
}

// The sanitizers look at what is touched: there each order is played once, with one of the three spaces
// between.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kOneOf = 3;
#else
constexpr std::size_t kOneOf = 1;
#endif

void PlayAll(const std::string& about, const Events& events, const Settings& settings = BasicSettings(),
             double capacity = 0, const std::function<void(RouterSimulation&)>& before = {}) {
  auto from = std::chrono::steady_clock::now();
  std::size_t orders = 0, sends = 0, failures = 0, turn = 0;
  for (Duration apart : {Duration(0ms), Duration(35ms), Duration(560ms)}) {
    std::size_t at = turn++;
    ForEachPermutation(events, [&](const Events& order) {
      if (at++ % kOneOf != 0) return;
      ++orders;
      RouterSimulation play(settings, 2, 7, capacity);
      play.List({Entry("a"), Entry("b"), Entry("origin")});
      if (before) before(play);
      for (const auto& event : order) {
        event.apply(play);
        play.Pass(apart);
      }
      play.Pass(settings.classes[kRead].deadline + 100ms);
      sends += play.checker.sends();
      if (play.checker.open() == 0 && play.checker.broken().empty()) return;
      std::string rule =
          play.checker.broken().empty() ? "a request without an answer" : play.checker.broken().front();
      if (++failures <= 3) {
        ADD_FAILURE() << rule << " in: " << EventNames(order) << ", " << apart.count() / 1000000
                      << " ms apart; did " << play.log.str();
      }
    });
  }
  EXPECT_GT(sends, orders);
  EXPECT_EQ(failures, 0u);
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << about << ": " << orders << " orders, " << sends << " sends, " << took.count() << " s\n";
}

TEST(Orders, ADrainAmidRequestsOfThreeClasses) {
  PlayAll("drain", {Asks("ask", 0, 1, kRead),
                    Asks("ask keyed", 0, 2, kKeyedWrite),
                    Asks("ask unsafe", 1, 3, kUnsafeWrite),
                    Lists("a drains", Entry("a", ServerState::kDraining)),
                    Ends("bad", 0, Result::kBad),
                    Ends("reset", 1, Result::kReset),
                    {"client leaves", [](RouterSimulation& play) { play.Leave(0, 1); }}});
}

TEST(Orders, AServerGoesAndIsBackAnew) {
  PlayAll("gone and back", {Asks("ask", 0, 1, kRead), Asks("ask there", 1, 2, kRead),
                            Lists("a gone", Entry("a", ServerState::kGone)), Starts("a new", "a"),
                            Lists("a as it was", Entry("a")), Ends("miss", 0, Result::kMiss),
                            Ends("no connection", 1, Result::kNoConn)});
}

TEST(Orders, TheOriginIsReplacedUnderWrites) {
  PlayAll("origin", {Asks("ask", 0, 1, kRead), Asks("ask keyed", 0, 2, kKeyedWrite),
                     Asks("ask unsafe", 1, 3, kUnsafeWrite), Starts("origin new", "origin"),
                     Lists("origin gone", Entry("origin", ServerState::kGone)),
                     Ends("full", 1, Result::kFull), Ends("miss", 0, Result::kMiss)});
}

// The place of a server that has gone is another's within the same moment.
TEST(Orders, OneGoesAsAnotherComes) {
  PlayAll("places", {Asks("ask", 0, 1, kRead), Asks("ask keyed", 0, 2, kKeyedWrite),
                     Lists("a gone", Entry("a", ServerState::kGone)), Lists("c comes", Entry("c")),
                     Lists("origin gone", Entry("origin", ServerState::kGone)),
                     Lists("origin comes", Origin("origin-2")), Ends("good", 0, Result::kGood)});
}

TEST(Orders, OneFetchIsSharedByManyAskers) {
  PlayAll("one fetch", {Asks("ask for 60 ms", 0, 1, kRead, 60ms),
                        Asks("ask", 0, 2, kRead),
                        Asks("ask too", 0, 3, kRead, 300ms),
                        Ends("miss", 0, Result::kMiss),
                        Ends("miss", 0, Result::kMiss),
                        Ends("bad", 0, Result::kBad),
                        {"first leaves", [](RouterSimulation& play) { play.Leave(0, 1); }}});
}

TEST(Orders, ListsThatAreLateOrFail) {
  Settings settings = BasicSettings();
  settings.must_subscribe = true;
  settings.subscribe_interval = 2s;
  PlayAll("late lists",
          {Asks("ask", 0, 1, kRead),
           Asks("ask unsafe", 1, 2, kUnsafeWrite),
           Starts("a new", "a"),
           {"an old list",
            [](RouterSimulation& play) {
              play.List({Entry("a"), Entry("origin")});
            }},
           {"an empty list", [](RouterSimulation& play) { play.List({}); }},
           {"watch lost", [](RouterSimulation& play) { play.List({}, Scope::kFailed); }},
           Ends("reset", 0, Result::kReset)},
          settings);
}

// Both routers' sends to a cold server, when all ask for a key that is its own; and the older start that a
// late list tells in between.
TEST(Orders, AColdServerGetsItsBudgetFromAllTogether) {
  Settings settings = BasicSettings();
  settings.routers = 2;
  auto answered = [](RouterSimulation& play) {  // what each has seen of warm servers: two a second
    for (unsigned id = 1000; id < 1040; ++id) {
      play.Ask(id % 2, id, Key{id}, kRead);
      play.SettleOldest(id % 2, Result::kGood);
      play.Pass(250ms);
    }
    play.List({At(Entry("a"), play.now), At(Entry("b"), play.now)}, Scope::kDelta);
  };
  auto burst = [](std::string name, int router, unsigned first) -> NamedEvent<RouterSimulation> {
    return {std::move(name), [=](RouterSimulation& play) {
              for (unsigned id = first; id < first + 5; ++id) {
                play.Ask(router, id, kKey, kRead);
                play.SettleOldest(router, Result::kGood);
              }
            }};
  };
  PlayAll("cold",
          {burst("burst 1", 0, 1), burst("burst 2", 0, 11), burst("burst 3", 1, 21), burst("burst 4", 1, 31),
           Lists("an older start", Entry("a")), Ends("miss", 0, Result::kMiss)},
          settings, 2, answered);
}

}  // namespace
}  // namespace peatbend::orders

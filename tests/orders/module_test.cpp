// The balancer under all interleavings of a few events, with two routers and a small fleet. Each interleaving
// is run with all events at once, with events a moment apart, and with events so far apart that a drain grace
// ends in between; then time passes until every request must have been answered.
#include <chrono>
#include <iostream>

#include "orders/interleavings.h"
#include "orders/router_simulation.h"

namespace peatbend::orders {
namespace {

using Events = std::vector<NamedEvent<RouterSimulation>>;
const Key kKey{11};

ServerEntry WithStart(ServerEntry entry, TimePoint started) {
  entry.started = started;
  return entry;
}
ServerEntry OriginNamed(const std::string& name) {
  ServerEntry entry = MakeEntry("origin");
  entry.id.name = name;
  return entry;
}
NamedEvent<RouterSimulation> SendRequest(std::string name, int router, unsigned id, int cls,
                                         Duration remaining = 1s) {
  return {std::move(name),
          [=](RouterSimulation& simulation) { simulation.SendRequest(router, id, kKey, cls, remaining); }};
}
NamedEvent<RouterSimulation> EndOldestAttempt(std::string name, int router, Result result) {
  return {std::move(name),
          [=](RouterSimulation& simulation) { simulation.FinishOldestAttempt(router, result); }};
}
NamedEvent<RouterSimulation> ListEntry(std::string name, ServerEntry entry) {
  return {std::move(name),
          [=](RouterSimulation& simulation) { simulation.UpdateServers({entry}, Scope::kDelta); }};
}
// The server starts at the time of its announcement.
NamedEvent<RouterSimulation> StartServer(std::string name, std::string server) {
  return {std::move(name), [=](RouterSimulation& simulation) {
            simulation.UpdateServers({WithStart(MakeEntry(server), simulation.now)}, Scope::kDelta);
          }};
}

// Under the sanitizers each interleaving is run once, with one of the three spacings, to save time.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kRunOneOf = 3;
#else
constexpr std::size_t kRunOneOf = 1;
#endif

void RunAllInterleavings(const std::string& title, const Events& events,
                         const Settings& settings = BasicSettings(), double capacity = 0,
                         const std::function<void(RouterSimulation&)>& before = {}) {
  auto started_at = std::chrono::steady_clock::now();
  std::size_t interleavings = 0, sends = 0, failures = 0, offset = 0;
  for (Duration spacing : {Duration(0ms), Duration(35ms), Duration(560ms)}) {
    std::size_t at = offset++;
    ForEachPermutation(events, [&](const Events& interleaving) {
      if (at++ % kRunOneOf != 0) return;
      ++interleavings;
      RouterSimulation simulation(settings, 2, 7, capacity);
      simulation.UpdateServers({MakeEntry("a"), MakeEntry("b"), MakeEntry("origin")});
      if (before) before(simulation);
      for (const auto& event : interleaving) {
        event.apply(simulation);
        simulation.AdvanceTime(spacing);
      }
      simulation.AdvanceTime(settings.classes[kRead].deadline + 100ms);
      sends += simulation.checker.sends();
      if (simulation.checker.open() == 0 && simulation.checker.violations().empty()) return;
      std::string rule = simulation.checker.violations().empty() ? "a request without a final answer"
                                                                 : simulation.checker.violations().front();
      if (++failures <= 3) {
        ADD_FAILURE() << rule << " in: " << EventNames(interleaving) << ", " << spacing.count() / 1000000
                      << " ms apart; actions: " << simulation.action_log.str();
      }
    });
  }
  EXPECT_GT(sends, interleavings);
  EXPECT_EQ(failures, 0u);
  std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - started_at;
  std::cout << title << ": " << interleavings << " interleavings, " << sends << " sends, " << elapsed.count()
            << " s\n";
}

TEST(Interleavings, ADrainDuringRequestsOfThreeClasses) {
  RunAllInterleavings(
      "drain", {SendRequest("ask", 0, 1, kRead),
                SendRequest("ask keyed", 0, 2, kKeyedWrite),
                SendRequest("ask unsafe", 1, 3, kUnsafeWrite),
                ListEntry("a drains", MakeEntry("a", ServerState::kDraining)),
                EndOldestAttempt("bad", 0, Result::kBad),
                EndOldestAttempt("reset", 1, Result::kReset),
                {"client leaves", [](RouterSimulation& simulation) { simulation.ClientLeaves(0, 1); }}});
}

TEST(Interleavings, AServerLeavesAndRestarts) {
  RunAllInterleavings("gone and back",
                      {SendRequest("ask", 0, 1, kRead), SendRequest("ask there", 1, 2, kRead),
                       ListEntry("a gone", MakeEntry("a", ServerState::kGone)), StartServer("a new", "a"),
                       ListEntry("a as it was", MakeEntry("a")), EndOldestAttempt("miss", 0, Result::kMiss),
                       EndOldestAttempt("no connection", 1, Result::kNoConn)});
}

TEST(Interleavings, TheOriginIsReplacedUnderWrites) {
  RunAllInterleavings(
      "origin", {SendRequest("ask", 0, 1, kRead), SendRequest("ask keyed", 0, 2, kKeyedWrite),
                 SendRequest("ask unsafe", 1, 3, kUnsafeWrite), StartServer("origin new", "origin"),
                 ListEntry("origin gone", MakeEntry("origin", ServerState::kGone)),
                 EndOldestAttempt("full", 1, Result::kFull), EndOldestAttempt("miss", 0, Result::kMiss)});
}

// The internal entry of a removed server is reused at the same time.
TEST(Interleavings, OneServerLeavesAsAnotherJoins) {
  RunAllInterleavings(
      "places",
      {SendRequest("ask", 0, 1, kRead), SendRequest("ask keyed", 0, 2, kKeyedWrite),
       ListEntry("a gone", MakeEntry("a", ServerState::kGone)), ListEntry("c comes", MakeEntry("c")),
       ListEntry("origin gone", MakeEntry("origin", ServerState::kGone)),
       ListEntry("origin comes", OriginNamed("origin-2")), EndOldestAttempt("good", 0, Result::kGood)});
}

TEST(Interleavings, OneFetchIsSharedByManyRequests) {
  RunAllInterleavings(
      "one fetch", {SendRequest("ask for 60 ms", 0, 1, kRead, 60ms),
                    SendRequest("ask", 0, 2, kRead),
                    SendRequest("ask too", 0, 3, kRead, 300ms),
                    EndOldestAttempt("miss", 0, Result::kMiss),
                    EndOldestAttempt("miss", 0, Result::kMiss),
                    EndOldestAttempt("bad", 0, Result::kBad),
                    {"first leaves", [](RouterSimulation& simulation) { simulation.ClientLeaves(0, 1); }}});
}

TEST(Interleavings, DelayedListsAndFailingDiscovery) {
  Settings settings = BasicSettings();
  settings.must_subscribe = true;
  settings.subscribe_interval = 2s;
  RunAllInterleavings(
      "late lists",
      {SendRequest("ask", 0, 1, kRead),
       SendRequest("ask unsafe", 1, 2, kUnsafeWrite),
       StartServer("a new", "a"),
       {"an old list",
        [](RouterSimulation& simulation) {
          simulation.UpdateServers({MakeEntry("a"), MakeEntry("origin")});
        }},
       {"an empty list", [](RouterSimulation& simulation) { simulation.UpdateServers({}); }},
       {"watch lost", [](RouterSimulation& simulation) { simulation.UpdateServers({}, Scope::kFailed); }},
       EndOldestAttempt("reset", 0, Result::kReset)},
      settings);
}

// The sends of both routers to a cold server when all requests are for one of its keys, and a delayed list
// with an older start.
TEST(Interleavings, AColdServersLimitHoldsOverAllRouters) {
  Settings settings = BasicSettings();
  settings.routers = 2;
  auto answered =
      [](RouterSimulation& simulation) {  // each router has seen two answers per second from warm servers
        for (unsigned id = 1000; id < 1040; ++id) {
          simulation.SendRequest(id % 2, id, Key{id}, kRead);
          simulation.FinishOldestAttempt(id % 2, Result::kGood);
          simulation.AdvanceTime(250ms);
        }
        simulation.UpdateServers(
            {WithStart(MakeEntry("a"), simulation.now), WithStart(MakeEntry("b"), simulation.now)},
            Scope::kDelta);
      };
  auto burst = [](std::string name, int router, unsigned first) -> NamedEvent<RouterSimulation> {
    return {std::move(name), [=](RouterSimulation& simulation) {
              for (unsigned id = first; id < first + 5; ++id) {
                simulation.SendRequest(router, id, kKey, kRead);
                simulation.FinishOldestAttempt(router, Result::kGood);
              }
            }};
  };
  RunAllInterleavings(
      "cold",
      {burst("burst 1", 0, 1), burst("burst 2", 0, 11), burst("burst 3", 1, 21), burst("burst 4", 1, 31),
       ListEntry("an older start", MakeEntry("a")), EndOldestAttempt("miss", 0, Result::kMiss)},
      settings, 2, answered);
}

}  // namespace
}  // namespace peatbend::orders

// A few routers' decision modules, played against a tiny fleet on a passed-in clock: what comes is said by
// the test, time-outs and timers by the clock, and the rules are checked after each event.
#pragma once

#include <deque>
#include <sstream>

#include "harness.h"
#include "orders/checker.h"

namespace peatbend::orders {

class RouterSimulation {
 public:
  explicit RouterSimulation(const Settings& settings, int routers = 1, std::uint64_t seed = 7,
                            double capacity = 0)
      : set(settings), checker(settings, capacity) {
    for (int i = 0; i < routers; ++i)
      routers_.push_back({Balancer(settings, seed + static_cast<unsigned>(i)), {}});
  }

  void Take(int number, const Event& event) {
    Router& router = routers_[static_cast<std::size_t>(number)];
    checker.Told(number, now, event);
    std::vector<Action> actions;
    router.balancer.Handle(now, event, actions);
    checker.Did(number, now, actions);
    checker.Clock(now);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        log << "S" << static_cast<unsigned>(send->id) << send->server.name << ' ';
      }
      if (const auto* reject = std::get_if<Reject>(&action))
        log << "R" << static_cast<unsigned>(reject->id) << ' ';
      if (const auto* fail = std::get_if<Fail>(&action)) log << "F" << static_cast<unsigned>(fail->id) << ' ';
      if (const auto* timer = std::get_if<SetTimer>(&action)) router.timers.push_back(now + timer->delay);
    }
  }

  void Ask(int router, unsigned id, std::optional<Key> key, int cls,
           Duration remaining = std::chrono::seconds(1)) {
    RequestEvent event;
    event.id = RequestId{id};
    event.key = key;
    event.cls = cls;
    event.write = cls != kRead;
    event.remaining = remaining;
    Take(router, event);
  }
  void List(int router, const std::vector<ServerEntry>& entries, Scope scope = Scope::kFull) {
    Take(router, MembershipEvent{scope, entries});
  }
  // To all of them.
  void List(const std::vector<ServerEntry>& entries, Scope scope = Scope::kFull) {
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) List(i, entries, scope);
  }
  void Leave(int router, unsigned id) {
    if (checker.IsOpen(router, RequestId{id})) Take(router, ClientGoneEvent{RequestId{id}});
  }
  void Settle(const Checker::Flight& out, Result result) { Settle(out, result, now - out.sent); }
  void Settle(Checker::Flight flight, Result result, Duration elapsed) {
    OutcomeEvent event;
    event.id = flight.id;
    event.attempt = flight.attempt;
    event.server = flight.server;
    event.result = result;
    event.elapsed = elapsed;
    event.done = result == Result::kGood || !checker.IsOpen(flight.router, flight.id);
    Take(flight.router, event);
  }
  // The oldest attempt that is out of this router, if there is one; at this server, if one is named.
  void SettleOldest(int router, Result result, const std::string& server = "") {
    for (const Checker::Flight& flight : checker.flights) {
      if (flight.router == router && (server.empty() || flight.server == server))
        return Settle(flight, result);
    }
  }

  // Time goes on, tick by tick; time-outs come first, then the timers.
  void Pass(Duration time) {
    for (TimePoint until = now + time; now < until;) {
      now = std::min(until, now + set.tick);
      for (bool more = true; std::exchange(more, false);) {
        for (const Checker::Flight& flight : checker.flights) {
          if (flight.give_up > now) continue;
          Settle(flight, Result::kLate);
          more = true;
          break;
        }
      }
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        if (std::erase_if(routers_[i].timers, [&](TimePoint at) { return at <= now; }) > 0) {
          Take(static_cast<int>(i), TimerEvent{});
        }
      }
      checker.Clock(now);
    }
  }

  Settings set;
  Checker checker;
  TimePoint now{std::chrono::seconds(100)};
  std::ostringstream log;  // what was sent, refused and failed

 private:
  struct Router {
    Balancer balancer;
    std::vector<TimePoint> timers;
  };
  std::vector<Router> routers_;
};

}  // namespace peatbend::orders

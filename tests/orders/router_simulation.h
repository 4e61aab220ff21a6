// Balancers of a few routers in front of a small simulated fleet, on a simulated clock. The test supplies the
// events, the clock supplies timeouts and timers, and RuleChecker checks the rules after each event.
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
      : settings(settings), checker(settings, capacity) {
    for (int i = 0; i < routers; ++i)
      routers_.push_back({Balancer(settings, seed + static_cast<unsigned>(i)), {}});
  }

  void Handle(int router_number, const Event& event) {
    Router& router = routers_[static_cast<std::size_t>(router_number)];
    checker.OnEvent(router_number, now, event);
    std::vector<Action> actions;
    router.balancer.Handle(now, event, actions);
    checker.OnAction(router_number, now, actions);
    checker.CheckDeadlines(now);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        action_log << "S" << static_cast<unsigned>(send->id) << send->server.name << ' ';
      }
      if (const auto* reject = std::get_if<Reject>(&action))
        action_log << "R" << static_cast<unsigned>(reject->id) << ' ';
      if (const auto* fail = std::get_if<Fail>(&action))
        action_log << "F" << static_cast<unsigned>(fail->id) << ' ';
      if (const auto* timer = std::get_if<SetTimer>(&action)) router.timers.push_back(now + timer->delay);
    }
  }

  void SendRequest(int router, unsigned id, std::optional<Key> key, int cls,
                   Duration remaining = std::chrono::seconds(1)) {
    RequestEvent event;
    event.id = RequestId{id};
    event.key = key;
    event.cls = cls;
    event.write = cls != kRead;
    event.remaining = remaining;
    Handle(router, event);
  }
  void UpdateServers(int router, const std::vector<ServerEntry>& entries, Scope scope = Scope::kFull) {
    Handle(router, MembershipEvent{scope, entries});
  }
  // Updates all routers.
  void UpdateServers(const std::vector<ServerEntry>& entries, Scope scope = Scope::kFull) {
    for (int i = 0; i < static_cast<int>(routers_.size()); ++i) UpdateServers(i, entries, scope);
  }
  void ClientLeaves(int router, unsigned id) {
    if (checker.IsOpen(router, RequestId{id})) Handle(router, ClientGoneEvent{RequestId{id}});
  }
  void FinishAttempt(const RuleChecker::OutstandingAttempt& out, Result result) {
    FinishAttempt(out, result, now - out.sent);
  }
  void FinishAttempt(RuleChecker::OutstandingAttempt flight, Result result, Duration elapsed) {
    OutcomeEvent event;
    event.id = flight.id;
    event.attempt = flight.attempt;
    event.server = flight.server;
    event.result = result;
    event.elapsed = elapsed;
    event.done = result == Result::kGood || !checker.IsOpen(flight.router, flight.id);
    Handle(flight.router, event);
  }
  // Ends the oldest outstanding attempt of this router, at this server if one is named; does nothing if there
  // is none.
  void FinishOldestAttempt(int router, Result result, const std::string& server = "") {
    for (const RuleChecker::OutstandingAttempt& flight : checker.outstanding) {
      if (flight.router == router && (server.empty() || flight.server == server))
        return FinishAttempt(flight, result);
    }
  }

  // Advances the clock tick by tick. Timeouts come first, then timers.
  void AdvanceTime(Duration duration) {
    for (TimePoint until = now + duration; now < until;) {
      now = std::min(until, now + settings.tick);
      for (bool found = true; std::exchange(found, false);) {
        for (const RuleChecker::OutstandingAttempt& flight : checker.outstanding) {
          if (flight.give_up > now) continue;
          FinishAttempt(flight, Result::kLate);
          found = true;
          break;
        }
      }
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        if (std::erase_if(routers_[i].timers, [&](TimePoint at) { return at <= now; }) > 0) {
          Handle(static_cast<int>(i), TimerEvent{});
        }
      }
      checker.CheckDeadlines(now);
    }
  }

  Settings settings;
  RuleChecker checker;
  TimePoint now{std::chrono::seconds(100)};
  std::ostringstream action_log;  // sends (S), rejections (R) and failures (F)

 private:
  struct Router {
    Balancer balancer;
    std::vector<TimePoint> timers;
  };
  std::vector<Router> routers_;
};

}  // namespace peatbend::orders

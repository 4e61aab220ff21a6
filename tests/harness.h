// Test harness of the balancer: settings, events and the actions that follow. Models no servers.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend {

using namespace std::chrono_literals;

// Classes of BasicSettings.
enum TestClass { kRead = 0, kKeyedWrite = 1, kUnsafeWrite = 2 };

inline Settings BasicSettings() {
  Settings s;
  s.classes.resize(3);
  for (ClassSettings& cls : s.classes) {
    cls.aim = 500ms;
    cls.deadline = 1s;
  }
  s.classes[kKeyedWrite].effect = Effect::kKeyed;
  s.classes[kKeyedWrite].dedup_window = 400ms;
  s.classes[kUnsafeWrite].effect = Effect::kUnsafe;
  s.cache_aside = true;
  s.origin_kind = 1;
  s.try_limit = 4;
  s.start_capacity = 0.2;
  s.warm_after = 10s;
  s.drain_grace = 500ms;
  s.overload_multiple = 3;
  s.overload_duration = 2s;
  s.tick = 5ms;
  s.answer_grace = 20ms;
  return s;
}

inline ServerEntry MakeEntry(const std::string& name, ServerState state = ServerState::kReady) {
  ServerEntry entry;
  entry.id = {name};
  entry.state = state;
  entry.kind = name == "origin" ? 1 : 0;
  return entry;
}

// A Balancer on a clock that the test sets. Records the actions it returns.
class TestRouter {
 public:
  explicit TestRouter(const Settings& settings = BasicSettings(), std::uint64_t seed = 7)
      : balancer(settings, seed) {}

  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions;
    balancer.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        last_attempt[send->id] = {send->server.name, attempt_counts[send->id]++};
      }
      all_actions.push_back(action);
    }
    return actions;
  }
  std::vector<Action> UpdateServers(const std::vector<ServerEntry>& entries, Scope scope = Scope::kFull) {
    return Handle(MembershipEvent{scope, entries});
  }
  std::vector<Action> SendRequest(unsigned id, std::uint64_t key, int cls = kRead, Duration remaining = 1s) {
    RequestEvent event;
    event.id = RequestId{id};
    event.key = Key{key};
    event.cls = cls;
    event.write = cls != kRead;
    event.remaining = remaining;
    return Handle(event);
  }
  // Ends the last attempt of the request with this result.
  std::vector<Action> FinishAttempt(unsigned id, Result result, Duration elapsed = 20ms) {
    const auto& [server, attempt] = last_attempt.at(RequestId{id});
    OutcomeEvent event;
    event.id = RequestId{id};
    event.server = server;
    event.attempt = attempt;
    event.result = result;
    event.done = result == Result::kGood;
    event.elapsed = elapsed;
    return Handle(event);
  }
  std::vector<Action> FireTimerAfter(Duration delay) {
    now += delay;
    return Handle(TimerEvent{});
  }

  Balancer balancer;
  TimePoint now{100s};
  std::map<RequestId, std::pair<std::string, int>> last_attempt;
  std::map<RequestId, int> attempt_counts;
  std::vector<Action> all_actions;
};

// The actions of type T, in order.
template <typename T>
std::vector<T> ActionsOf(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const auto* one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}
// The server of the first Send; empty if there is none.
inline std::string SentTo(const std::vector<Action>& actions) {
  auto sends = ActionsOf<Send>(actions);
  return sends.empty() ? "" : sends.front().server.name;
}

// Settings of one router of a large tier.
inline Settings SettingsForRouters(int routers = 500) {
  Settings s = BasicSettings();
  s.routers = routers;
  return s;
}

// Cache servers cache-10, cache-11 and so on, and the origin last.
inline std::vector<ServerEntry> MakeServerList(int caches) {
  std::vector<ServerEntry> list;
  for (int i = 0; i < caches; ++i) list.push_back(MakeEntry("cache-" + std::to_string(10 + i)));
  list.push_back(MakeEntry("origin"));
  return list;
}

}  // namespace peatbend

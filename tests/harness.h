// A hand for the tests: settings, events and the actions they led to. It models no servers.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend {

using namespace std::chrono_literals;

enum Cls { kRead = 0, kKeyedWrite = 1, kUnsafeWrite = 2 };

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

inline ServerEntry Entry(const std::string& name, ServerState state = ServerState::kReady) {
  ServerEntry entry;
  entry.id = {name};
  entry.state = state;
  entry.kind = name == "origin" ? 1 : 0;
  return entry;
}

class Proxy {
 public:
  explicit Proxy(const Settings& settings = BasicSettings(), std::uint64_t seed = 7)
      : balancer(settings, seed) {}

  std::vector<Action> Take(const Event& event) {
    std::vector<Action> actions;
    balancer.Handle(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        last[send->id] = {send->server.name, attempts[send->id]++};
      }
      all.push_back(action);
    }
    return actions;
  }
  std::vector<Action> List(const std::vector<ServerEntry>& entries, Scope scope = Scope::kFull) {
    return Take(MembershipEvent{scope, entries});
  }
  std::vector<Action> Ask(unsigned id, std::uint64_t key, int cls = kRead, Duration remaining = 1s) {
    RequestEvent event;
    event.id = RequestId{id};
    event.key = Key{key};
    event.cls = cls;
    event.write = cls != kRead;
    event.remaining = remaining;
    return Take(event);
  }
  // The outcome of the request's last attempt.
  std::vector<Action> Answer(unsigned id, Result result, Duration elapsed = 20ms) {
    const auto& [server, attempt] = last.at(RequestId{id});
    OutcomeEvent event;
    event.id = RequestId{id};
    event.server = server;
    event.attempt = attempt;
    event.result = result;
    event.done = result == Result::kGood;
    event.elapsed = elapsed;
    return Take(event);
  }
  std::vector<Action> Tick(Duration later) {
    now += later;
    return Take(TimerEvent{});
  }

  Balancer balancer;
  TimePoint now{100s};
  std::map<RequestId, std::pair<std::string, int>> last;
  std::map<RequestId, int> attempts;
  std::vector<Action> all;
};

template <typename T>
std::vector<T> Only(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const auto* one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}
inline std::string SentTo(const std::vector<Action>& actions) {
  auto sends = Only<Send>(actions);
  return sends.empty() ? "" : sends.front().server.name;
}

// Settings of one proxy among many.
inline Settings ManyProxies(int routers = 500) {
  Settings s = BasicSettings();
  s.routers = routers;
  return s;
}

inline std::vector<ServerEntry> Fleet(int caches) {
  std::vector<ServerEntry> list;
  for (int i = 0; i < caches; ++i) list.push_back(Entry("cache-" + std::to_string(10 + i)));
  list.push_back(Entry("origin"));
  return list;
}

}  // namespace peatbend

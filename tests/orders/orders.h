// All orders of a few events. Events that are alike (the same name) are not told apart, so that no order is
// played twice.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

namespace peatbend::orders {

template <typename Play>
struct Happening {
  std::string name;
  std::function<void(Play&)> happens;
};

// Calls `play` with the events in each of their orders; returns how many there were.
template <typename Play, typename Then>
std::size_t ForEachOrder(std::vector<Happening<Play>> events, Then play) {
  auto before = [](const auto& one, const auto& other) { return one.name < other.name; };
  std::sort(events.begin(), events.end(), before);
  std::size_t orders = 0;
  do {
    play(events);
    ++orders;
  } while (std::next_permutation(events.begin(), events.end(), before));
  return orders;
}

// Calls `play` with each sequence of so many events, any of them as often as it likes; returns how many there
// were.
template <typename Play, typename Then>
std::size_t ForEachSequence(const std::vector<Happening<Play>>& events, std::size_t length, Then play,
                            std::vector<Happening<Play>> begun = {}) {
  if (begun.size() == length) return play(begun), 1;
  std::size_t sequences = 0;
  for (const auto& event : events) {
    begun.push_back(event);
    sequences += ForEachSequence(events, length, play, begun);
    begun.pop_back();
  }
  return sequences;
}

// Looks at each state that can be reached from `start`, once, whatever the ways that lead there. `events`: of
// a state, those that may happen next, by name, with the state that each leads to; it must come to an end on
// each way. `print`: equal for equal states. `look`: false ends all. Returns how many there were.
template <typename State, typename Events, typename Print, typename Look>
std::size_t ForEachState(const State& start, Events events, Print print, Look look,
                         std::size_t most = ~std::size_t{0}) {
  std::unordered_set<std::uint64_t> seen{print(start)};
  std::vector<typename decltype(events(start))::value_type::first_type> way;
  bool goes_on = look(start, way);
  std::function<void(const State&)> go = [&](const State& state) {
    for (auto& [name, next] : events(state)) {
      if (!goes_on || seen.size() >= most) return;
      if (!seen.insert(print(next)).second) continue;
      way.push_back(name);
      goes_on = look(next, way);
      go(next);
      way.pop_back();
    }
  };
  if (goes_on) go(start);
  return seen.size();
}

template <typename Play>
std::string Names(const std::vector<Happening<Play>>& events) {
  std::string names;
  for (const auto& event : events) names += (names.empty() ? "" : ", ") + event.name;
  return names;
}

}  // namespace peatbend::orders

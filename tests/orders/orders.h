// All orders of a few events. Events that are alike (the same name) are not told apart, so that no order is
// played twice.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
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

template <typename Play>
std::string Names(const std::vector<Happening<Play>>& events) {
  std::string names;
  for (const auto& event : events) names += (names.empty() ? "" : ", ") + event.name;
  return names;
}

}  // namespace peatbend::orders

// All orders of a few events. Events that are alike (the same name) are not told apart, so that no order is
// played twice.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
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

// Prints that have been seen: eight bytes for each and, at the least, a quarter of that for room.
class Prints {
 public:
  // False: it was there.
  bool Insert(std::uint64_t print) {
    if ((size_ + 1) * 4 > slots_.size() * 3) Grow();
    if (!Put(print == kNone ? 1 : print)) return false;
    return ++size_, true;
  }
  std::size_t size() const { return size_; }

 private:
  static constexpr std::uint64_t kNone = 0;
  bool Put(std::uint64_t print) {
    std::size_t at = print & (slots_.size() - 1);
    while (slots_[at] != kNone && slots_[at] != print) at = (at + 1) & (slots_.size() - 1);
    return std::exchange(slots_[at], print) == kNone;
  }
  void Grow() {
    std::vector<std::uint64_t> former = std::exchange(slots_, std::vector<std::uint64_t>(2 * slots_.size()));
    for (std::uint64_t print : former)
      if (print != kNone) Put(print);
  }

  std::vector<std::uint64_t> slots_ = std::vector<std::uint64_t>(1024);
  std::size_t size_ = 0;
};

// What something came to that hangs on two values that are not changed any more, and on a number. It is
// remembered until another takes its place: of a bounded size, whatever is asked of it.
template <typename Value>
class Memo {
 public:
  explicit Memo(std::size_t places) : places_(std::bit_ceil(places)) {}
  template <typename One, typename Other, typename Make>
  std::shared_ptr<const Value> Of(const std::shared_ptr<const One>& one,
                                  const std::shared_ptr<const Other>& other, std::uint64_t number,
                                  Make make) {
    std::uint64_t hash = number;
    for (const void* each : {static_cast<const void*>(one.get()), static_cast<const void*>(other.get())})
      hash = (hash ^ reinterpret_cast<std::uintptr_t>(each) >> 4) * 0x9e3779b97f4a7c15u, hash ^= hash >> 29;
    Place& place = places_[hash & (places_.size() - 1)];
    if (place.value && place.one.get() == one.get() && place.other.get() == other.get() &&
        place.number == number)
      return place.value;
    auto value = std::make_shared<const Value>(make());
    place = {one, other, number, value};
    return value;
  }

 private:
  struct Place {
    std::shared_ptr<const void> one, other;  // kept, so that no other value comes to lie where they lie
    std::uint64_t number = 0;
    std::shared_ptr<const Value> value;
  };
  std::vector<Place> places_;
};

// Looks at each state that can be reached from `start`, once, whatever the ways that lead there. `events`: of
// a state and its print, those that may happen next; it must come to an end on each way. `after`: the state
// that an event leads to. `print`: equal for equal states. `look`: at a state, by its way and print; false
// ends all. Returns how many there were.
template <typename State, typename Events, typename After, typename Print, typename Look>
std::size_t ForEachState(const State& start, Events events, After after, Print print, Look look,
                         std::size_t most = ~std::size_t{0}) {
  Prints seen;
  std::uint64_t first = print(start);
  seen.Insert(first);
  std::vector<typename decltype(events(start, std::uint64_t{}))::value_type> way;
  bool goes_on = look(start, way, first);
  auto go = [&](const auto& self, const State& state, std::uint64_t from) -> void {
    for (auto& event : events(state, from)) {
      if (!goes_on || seen.size() >= most) return;
      const State next = after(state, event);
      std::uint64_t to = print(next);
      if (!seen.Insert(to)) continue;
      way.push_back(std::move(event));
      goes_on = look(next, way, to);
      self(self, next, to);
      way.pop_back();
    }
  };
  if (goes_on) go(go, start, first);
  return seen.size();
}

// All states of a town, in an order of events that hangs on `seed`; 0: that of their names. `see` is shown
// each state and its print; the first that is broken ends it, and how it came to that is told.
template <typename Town, typename See>
std::size_t ExploreTown(const Town& start, std::size_t most, std::uint64_t seed, std::string& broken,
                        std::string& way, See see) {
  return ForEachState(
      start,
      [seed](const Town& town, std::uint64_t print) {
        auto next = town.Events();
        if (seed != 0) std::ranges::shuffle(next, std::minstd_rand(static_cast<std::uint32_t>(print ^ seed)));
        return next;
      },
      [](const Town& town, const typename Town::Event& event) { return town.After(event); },
      [](const Town& town) { return town.Print(); },
      [&](const Town& town, const std::vector<typename Town::Event>& events, std::uint64_t print) {
        see(town, print);
        if (town.broken().empty()) return true;
        broken = town.broken();
        for (const typename Town::Event& event : events) way += "\n  " + event.Text();
        return false;
      },
      most);
}

// So many distinct states, or as many as PEATBEND_LONG says, or all there are; or less, where beginnings have
// much in common. The first half from one beginning, the rest from several, each of them followed for a
// while. `explore`: with a seed of the order in which events are tried, 0 for that of their names, and the
// most states; puts their prints into the set; the number of states, or nothing once something was found.
struct Sample {
  std::size_t states = 0, distinct = 0, beginnings = 0;
  bool all = false;
  std::string Text() const {
    return std::to_string(states) + " states, " + std::to_string(distinct) + " of them distinct" +
           (all ? ", all there are, " : ", from ") + std::to_string(beginnings) + " beginnings";
  }
};
template <typename Explore>
Sample FromSeveralBeginnings(std::size_t most, Explore explore, std::size_t beginnings = 24) {
  constexpr std::size_t kLongest = 100'000;
  const char* more = std::getenv("PEATBEND_LONG");
  if (more != nullptr) most = std::strtoull(more, nullptr, 10);
  std::size_t each = most / 2;
  Sample sample;
  Prints distinct;
  while (!sample.all && distinct.size() < most && sample.states < 3 * most) {
    std::size_t before = distinct.size();
    std::optional<std::size_t> states = explore(std::uint64_t{sample.beginnings++}, each, distinct);
    if (!states) break;
    sample.states += *states;
    sample.all = *states < each;
    sample.distinct = distinct.size();
    if (more != nullptr) std::cout << "  so far " << sample.Text() << std::endl;
    if (sample.beginnings == 1) {
      each = std::min(each / beginnings, kLongest);
    } else if (2 * (distinct.size() - before) < *states) {
      each = std::min(2 * each, most);  // too much of it had been seen
    }
  }
  return sample;
}

template <typename Play>
std::string Names(const std::vector<Happening<Play>>& events) {
  std::string names;
  for (const auto& event : events) names += (names.empty() ? "" : ", ") + event.name;
  return names;
}

}  // namespace peatbend::orders

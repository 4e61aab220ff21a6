// Exhaustive exploration for tests: all interleavings of a few events, and all reachable states of a model.
// Events of the same name are interchangeable, so that no interleaving is run twice.
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

template <typename Model>
struct NamedEvent {
  std::string name;
  std::function<void(Model&)> apply;
};

// Calls `run` with the events in each of their permutations; returns the number of permutations.
template <typename Model, typename Run>
std::size_t ForEachPermutation(std::vector<NamedEvent<Model>> events, Run run) {
  auto before = [](const auto& one, const auto& other) { return one.name < other.name; };
  std::sort(events.begin(), events.end(), before);
  std::size_t permutations = 0;
  do {
    run(events);
    ++permutations;
  } while (std::next_permutation(events.begin(), events.end(), before));
  return permutations;
}

// Calls `run` with each sequence of `length` events, repetitions allowed; returns the number of sequences.
template <typename Model, typename Run>
std::size_t ForEachSequence(const std::vector<NamedEvent<Model>>& events, std::size_t length, Run run,
                            std::vector<NamedEvent<Model>> prefix = {}) {
  if (prefix.size() == length) return run(prefix), 1;
  std::size_t sequences = 0;
  for (const auto& event : events) {
    prefix.push_back(event);
    sequences += ForEachSequence(events, length, run, prefix);
    prefix.pop_back();
  }
  return sequences;
}

// A set of fingerprints by open addressing, at most three quarters full.
class FingerprintSet {
 public:
  // Returns false if the fingerprint is already in the set.
  bool Insert(std::uint64_t fingerprint) {
    if ((size_ + 1) * 4 > slots_.size() * 3) Grow();
    if (!Put(fingerprint == kEmptySlot ? 1 : fingerprint)) return false;
    return ++size_, true;
  }
  std::size_t size() const { return size_; }

 private:
  static constexpr std::uint64_t kEmptySlot = 0;
  bool Put(std::uint64_t fingerprint) {
    std::size_t at = fingerprint & (slots_.size() - 1);
    while (slots_[at] != kEmptySlot && slots_[at] != fingerprint) at = (at + 1) & (slots_.size() - 1);
    return std::exchange(slots_[at], fingerprint) == kEmptySlot;
  }
  void Grow() {
    std::vector<std::uint64_t> former = std::exchange(slots_, std::vector<std::uint64_t>(2 * slots_.size()));
    for (std::uint64_t fingerprint : former)
      if (fingerprint != kEmptySlot) Put(fingerprint);
  }

  std::vector<std::uint64_t> slots_ = std::vector<std::uint64_t>(1024);
  std::size_t size_ = 0;
};

// A direct-mapped cache of bounded size for results that depend on two immutable objects and a number. A
// result stays until another takes its slot.
template <typename Value>
class BoundedCache {
 public:
  explicit BoundedCache(std::size_t slots) : slots_(std::bit_ceil(slots)) {}
  template <typename One, typename Other, typename Compute>
  std::shared_ptr<const Value> GetOrCompute(const std::shared_ptr<const One>& one,
                                            const std::shared_ptr<const Other>& other, std::uint64_t number,
                                            Compute compute) {
    std::uint64_t hash = number;
    for (const void* each : {static_cast<const void*>(one.get()), static_cast<const void*>(other.get())})
      hash = (hash ^ reinterpret_cast<std::uintptr_t>(each) >> 4) * 0x9e3779b97f4a7c15u, hash ^= hash >> 29;
    Slot& slot = slots_[hash & (slots_.size() - 1)];
    if (slot.value && slot.one.get() == one.get() && slot.other.get() == other.get() && slot.number == number)
      return slot.value;
    auto value = std::make_shared<const Value>(compute());
    slot = {one, other, number, value};
    return value;
  }

 private:
  struct Slot {
    std::shared_ptr<const void> one, other;  // owned, so that their addresses cannot be reused
    std::uint64_t number = 0;
    std::shared_ptr<const Value> value;
  };
  std::vector<Slot> slots_;
};

// Visits each state that is reachable from `start` once, depth first, until `max_states` have been visited.
// `events` returns the events that are possible in a state, given its fingerprint, and must be empty at the
// end of each path. `after` returns the state that follows an event. `fingerprint` is equal for equal states.
// `visit` gets a state, the events that led to it and its fingerprint; false ends the search. Returns the
// number of states visited.
template <typename State, typename Events, typename After, typename Fingerprint, typename Visit>
std::size_t ForEachState(const State& start, Events events, After after, Fingerprint fingerprint, Visit visit,
                         std::size_t max_states = ~std::size_t{0}) {
  FingerprintSet seen;
  std::uint64_t first = fingerprint(start);
  seen.Insert(first);
  std::vector<typename decltype(events(start, std::uint64_t{}))::value_type> path;
  bool goes_on = visit(start, path, first);
  auto explore = [&](const auto& self, const State& state, std::uint64_t from) -> void {
    for (auto& event : events(state, from)) {
      if (!goes_on || seen.size() >= max_states) return;
      const State next = after(state, event);
      std::uint64_t to = fingerprint(next);
      if (!seen.Insert(to)) continue;
      path.push_back(std::move(event));
      goes_on = visit(next, path, to);
      self(self, next, to);
      path.pop_back();
    }
  };
  if (goes_on) explore(explore, start, first);
  return seen.size();
}

// Explores the states of a model. `seed` shuffles the order in which events are tried; 0 keeps the model's
// own. `visit` gets each state and its fingerprint. The first state that breaks a rule ends the search:
// `broken` gets the rule and `path` the events that led to it, one per line.
template <typename Model, typename Visit>
std::size_t ExploreModel(const Model& start, std::size_t max_states, std::uint64_t seed, std::string& broken,
                         std::string& path, Visit visit) {
  return ForEachState(
      start,
      [seed](const Model& model, std::uint64_t fingerprint) {
        auto next = model.Events();
        if (seed != 0)
          std::ranges::shuffle(next, std::minstd_rand(static_cast<std::uint32_t>(fingerprint ^ seed)));
        return next;
      },
      [](const Model& model, const typename Model::Event& event) { return model.After(event); },
      [](const Model& model) { return model.Print(); },
      [&](const Model& model, const std::vector<typename Model::Event>& events, std::uint64_t fingerprint) {
        visit(model, fingerprint);
        if (model.broken().empty()) return true;
        broken = model.broken();
        for (const typename Model::Event& event : events) path += "\n  " + event.Text();
        return false;
      },
      max_states);
}

struct ExplorationSummary {
  std::size_t states = 0, distinct = 0, seeds = 0;
  bool complete = false;  // all reachable states were visited
  std::string Text() const {
    return std::to_string(states) + " states, " + std::to_string(distinct) + " of them distinct" +
           (complete ? ", all reachable states, from " : ", from ") + std::to_string(seeds) + " seeds";
  }
};
// Explores until `max_states` distinct states have been seen, or as many as PEATBEND_LONG says, or all there
// are. It stops earlier, after three times as many visits, where the searches overlap much. The first search
// may visit half of them, the others, each with a seed of its own, a share that grows when they find little
// new. `explore` takes the seed (0: the model's order of events), the most states to visit and the set that
// gets their fingerprints; it returns the number of states visited, or nothing once a broken rule was found.
template <typename Explore>
ExplorationSummary ExploreFromSeveralSeeds(std::size_t max_states, Explore explore, std::size_t seeds = 24) {
  constexpr std::size_t kMaxStatesPerSeed = 100'000;
  const char* more = std::getenv("PEATBEND_LONG");
  if (more != nullptr) max_states = std::strtoull(more, nullptr, 10);
  std::size_t each = max_states / 2;
  ExplorationSummary summary;
  FingerprintSet distinct;
  while (!summary.complete && distinct.size() < max_states && summary.states < 3 * max_states) {
    std::size_t before = distinct.size();
    std::optional<std::size_t> states = explore(std::uint64_t{summary.seeds++}, each, distinct);
    if (!states) break;
    summary.states += *states;
    summary.complete = *states < each;
    summary.distinct = distinct.size();
    if (more != nullptr) std::cout << "  so far " << summary.Text() << std::endl;
    if (summary.seeds == 1) {
      each = std::min(each / seeds, kMaxStatesPerSeed);
    } else if (2 * (distinct.size() - before) < *states) {
      each = std::min(2 * each, max_states);  // most of these states had been seen
    }
  }
  return summary;
}

template <typename Model>
std::string EventNames(const std::vector<NamedEvent<Model>>& events) {
  std::string names;
  for (const auto& event : events) names += (names.empty() ? "" : ", ") + event.name;
  return names;
}

}  // namespace peatbend::orders

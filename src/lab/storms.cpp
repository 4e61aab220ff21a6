// Faults drawn from the day's seed.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "lab/scenario_reading.h"
#include "world/random.h"

namespace peatbend::lab {
namespace {

using world::FromSeconds;

constexpr std::pair<const char*, Storm::Kind> kKinds[] = {{"kill", Storm::Kind::kKill},
                                                          {"stall", Storm::Kind::kStall},
                                                          {"cut", Storm::Kind::kCut},
                                                          {"one-way", Storm::Kind::kOneWay},
                                                          {"split", Storm::Kind::kSplit}};
// After a fault's end a router is let alone until the others know that it is well.
constexpr Span kMends = std::chrono::milliseconds(1000);

class Draw {
 public:
  Draw(Scenario& day, const Storm& storm, world::Random& random)
      : day_(day),
        storm_(storm),
        random_(random),
        well_at_(static_cast<std::size_t>(day.routers), Time::min()) {}

  void Fault(Time at) {
    Storm::Kind kind = storm_.kinds[random_.Below(static_cast<std::uint32_t>(storm_.kinds.size()))];
    std::string text = kKinds[static_cast<std::size_t>(kind)].first;
    std::vector<int> ails, others;
    if (kind == Storm::Kind::kSplit) {
      for (int r = 0; r < day_.routers; ++r) (random_.Chance(0.5) ? ails : others).push_back(r);
    } else {
      std::vector<int> may = Candidates(at);
      if (may.empty()) return;
      ails = {may[random_.Below(static_cast<std::uint32_t>(may.size()))]};
      for (int r = 0; r < day_.routers; ++r) {
        if (r != ails[0]) others.push_back(r);
      }
      text += fmt::format(" of {}", ails[0]);
    }
    if (ails.empty() || others.empty()) return;
    for (int router : ails) well_at_[static_cast<std::size_t>(router)] = at + storm_.each + kMends;
    using What = LinkEvent::What;
    switch (kind) {
      case Storm::Kind::kKill:
        day_.router_events.push_back({RouterEvent::What::kKill, at, storm_.each, {}, ails});
        break;
      case Storm::Kind::kStall:
        day_.router_events.push_back({RouterEvent::What::kStall, at, storm_.each, {}, ails});
        break;
      case Storm::Kind::kOneWay:
        if (random_.Chance(0.5)) std::swap(ails, others);
        day_.link_events.push_back({What::kOneWay, at, storm_.each, ails, others});
        break;
      case Storm::Kind::kCut:
      case Storm::Kind::kSplit:
        day_.link_events.push_back({What::kCut, at, storm_.each, ails, others});
        break;
    }
    day_.marks.push_back({at, text});
  }

 private:
  // Routers that nothing ails; without the seats where one more of these would be too many.
  std::vector<int> Candidates(Time at) const {
    auto ails = [&](int router) { return well_at_[static_cast<std::size_t>(router)] > at; };
    const std::vector<int>& seats = day_.rations.seats;
    auto ill = std::ranges::count_if(seats, ails);
    bool spare = !storm_.any && 2 * (ill + 1) >= std::ssize(seats);
    std::vector<int> may;
    for (int r = 0; r < day_.routers; ++r) {
      bool seat = std::ranges::find(seats, r) != seats.end();
      if (!ails(r) && !(spare && seat)) may.push_back(r);
    }
    return may;
  }

  Scenario& day_;
  const Storm& storm_;
  world::Random& random_;
  std::vector<Time> well_at_;
};

}  // namespace

void ScenarioReading::StormEvent(ScenarioTable& t, Storm read) {
  std::vector<std::string> names, words;
  for (const auto& [word, kind] : kKinds) words.emplace_back(word);
  t.Words("kinds", names, words);
  t.Sec("every_s", read.every, 0.1, 600);
  t.Ms("each_ms", read.each, 10, 600000);
  t.Yes("any", read.any);
  for (const std::string& name : names) {
    for (const auto& [word, kind] : kKinds) {
      if (name == word) read.kinds.push_back(kind);
    }
  }
  if (names.empty()) t.Fault(nullptr, "kinds", "missing");
  using enum Storm::Kind;
  bool links = std::ranges::any_of(read.kinds, [](Storm::Kind kind) { return kind >= kCut; });
  if (links && !scenario.peers) t.Fault(nullptr, "kinds", "of links: need on = true in [peers]");
  Mark(read.at, "storm");
  scenario.storms.push_back(std::move(read));
}

Scenario WithStorms(const Scenario& scenario, std::uint64_t seed) {
  Scenario day = scenario;
  world::Random random(seed, 0x57);
  for (const Storm& storm : scenario.storms) {
    Draw draw(day, storm, random);
    for (Time at = storm.at; at < storm.at + storm.lasts && at < scenario.lasts; at += storm.every)
      draw.Fault(at);
  }
  std::ranges::stable_sort(day.marks, {}, &Scenario::Mark::at);
  return day;
}

}  // namespace peatbend::lab

#include "processes/schedules.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <thread>

#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::processes {
namespace {

using namespace std::chrono_literals;

constexpr auto kJoinWithin = 20s, kAgreeWithin = 15s, kNoticeWithin = 5s;

void Sleep(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

class Play {
 public:
  explicit Play(const Setup& setup)
      : setup_(setup),
        fleet_(setup.program, setup.folder, setup.processes, setup.seed),
        random_(setup.seed, 1) {
    outcome_.seed = setup.seed;
    links::Faults usual;
    usual.loss = setup.loss;
    usual_ = usual;
    fleet_.links().SetAll(usual);
    for (std::size_t i = 0; i < fleet_.size(); ++i) fleet_.Start(i);
    if (!fleet_.Agree(kJoinWithin)) outcome_.broken.push_back("never joined: " + fleet_.Difference());
    Lives(lives_);
    begun_ = Clock::now();
    for (std::size_t i = 0; i < fleet_.size(); ++i) cpu_before_ += fleet_.Used(i).cpu_s;
  }
  PeerFleet& fleet() { return fleet_; }
  world::Random& random() { return random_; }
  Outcome& outcome() { return outcome_; }
  const links::Faults& usual() const { return usual_; }

  // Processes that are held for dead by another life than the one they had at the start.
  void CountFalseDeaths(const std::vector<std::size_t>& but) {
    std::map<std::string, std::uint64_t> now;
    Lives(now);
    for (const auto& [name, life] : lives_) {
      bool disturbed = std::ranges::any_of(but, [&](std::size_t i) { return PeerFleet::NameOf(i) == name; });
      if (!disturbed && now[name] != life) ++outcome_.false_deaths;
    }
  }
  Outcome End(bool agree = true) {
    if (agree) {
      if (auto took = fleet_.Agree(kAgreeWithin)) {
        outcome_.agreed_s = *took;
      } else {
        outcome_.difference = fleet_.Difference();
      }
    }
    outcome_.crashed = fleet_.Crashed();
    double cpu = -cpu_before_;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      auto used = fleet_.Used(i);
      cpu += used.cpu_s;
      outcome_.peak_mb = std::max(outcome_.peak_mb, used.peak_mb);
      outcome_.descriptors = std::max(outcome_.descriptors, used.descriptors);
    }
    double lasted = std::chrono::duration<double>(Clock::now() - begun_).count();
    outcome_.cpu_percent = 100 * cpu / lasted / static_cast<double>(fleet_.size());
    outcome_.worst_late_ms = static_cast<double>(fleet_.links().counts().worst_late.count()) / 1e6;
    return outcome_;
  }

 private:
  void Lives(std::map<std::string, std::uint64_t>& into) {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      if (auto view = fleet_.Ask(i)) into[PeerFleet::NameOf(i)] = view->life;
    }
  }
  Setup setup_;
  PeerFleet fleet_;
  world::Random random_;
  links::Faults usual_;
  Outcome outcome_;
  std::map<std::string, std::uint64_t> lives_;
  Clock::time_point begun_;
  double cpu_before_ = 0;
};

}  // namespace

Outcome PlayCalm(const Setup& setup) {
  Play play(setup);
  Sleep(setup.seconds);
  play.CountFalseDeaths({});
  return play.End();
}

Outcome PlayKill(const Setup& setup) {
  Play play(setup);
  PeerFleet& fleet = play.fleet();
  std::size_t gone = play.random().Below(static_cast<std::uint32_t>(fleet.size()));
  Sleep(0.5 + play.random().Unit());
  auto at = Clock::now();
  fleet.Kill(gone);
  std::this_thread::sleep_for(kNoticeWithin);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (i == gone) continue;
    auto view = fleet.Ask(i);
    View::Of of = view ? view->members[PeerFleet::NameOf(gone)] : View::Of{};
    if (of.state != "dead") {
      play.outcome().all_noticed = false;
      continue;
    }
    double since = std::chrono::duration<double, std::milli>(view->asked - at).count();
    play.outcome().noticed_ms.push_back(since - of.for_ms);
  }
  play.CountFalseDeaths({gone});
  return play.End();
}

Outcome PlayStall(const Setup& setup) {
  Play play(setup);
  for (auto until = Clock::now() + std::chrono::duration<double>(setup.seconds); Clock::now() < until;) {
    play.fleet().Stall(0, true);
    Sleep(1);
    play.fleet().Stall(0, false);
    Sleep(2);
  }
  play.CountFalseDeaths({0});
  return play.End();
}

Outcome PlaySplit(const Setup& setup) {
  Play play(setup);
  std::vector<std::size_t> even, odd;
  for (std::size_t i = 0; i < setup.processes; ++i) (i % 2 == 0 ? even : odd).push_back(i);
  play.fleet().Split(even, odd, true);
  Sleep(setup.seconds);
  play.fleet().Split(even, odd, false);
  play.fleet().links().SetAll(play.usual());
  return play.End();
}

Outcome PlayRandom(const Setup& setup) {
  Play play(setup);
  PeerFleet& fleet = play.fleet();
  world::Random& random = play.random();
  auto count = static_cast<std::uint32_t>(fleet.size());
  world::Agenda agenda;
  world::Time end = world::FromSeconds(setup.seconds);
  for (world::Time at{}; (at += world::FromSeconds(random.Exponential(0.6))) < end;) {
    std::size_t a = random.Below(count), b = random.Below(count);
    world::Time over = std::min(end, at + world::FromSeconds(random.Between(0.05, 3)));
    auto link = [&](links::Faults faults, bool both) {
      if (a == b) return;
      agenda.At(at, [&fleet, a, b, faults, both] {
        fleet.links().Set(a, b, faults);
        if (both) fleet.links().Set(b, a, faults);
      });
      agenda.At(over, [&fleet, &play, a, b] {
        fleet.links().Set(a, b, play.usual());
        fleet.links().Set(b, a, play.usual());
      });
    };
    links::Faults cut, hold, slow;
    cut.cut = true;
    hold.hold = true;
    slow.delay = 80ms;
    slow.spread = 40ms;
    slow.duplicate = 0.2;
    switch (random.Below(7)) {
      case 0:
      case 1: {
        bool at_once = random.Chance(0.3);
        agenda.At(at, [&fleet, a] {
          if (fleet.up(a)) fleet.Kill(a);
        });
        agenda.At(at_once ? at : over, [&fleet, a] {
          if (!fleet.up(a)) fleet.Start(a);
        });
        break;
      }
      case 2:
        agenda.At(at, [&fleet, a] { fleet.Stall(a, true); });
        agenda.At(over, [&fleet, a] { fleet.Stall(a, false); });
        break;
      case 3:
        link(cut, true);
        break;
      case 4:
        link(cut, false);
        break;
      case 5:
        link(random.Chance(0.5) ? hold : slow, false);
        break;
      case 6:
        agenda.At(at, [&fleet, a, b] { fleet.links().Reset(a, b); });
        break;
    }
  }
  for (auto from = Clock::now(); Clock::now() - from < end;) {
    agenda.RunUntil(Clock::now() - from);
    std::this_thread::sleep_for(5ms);
  }
  agenda.RunUntil(end);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (!fleet.up(i)) fleet.Start(i);
    fleet.Stall(i, false);
  }
  fleet.links().SetAll(play.usual());
  return play.End();
}

}  // namespace peatbend::processes

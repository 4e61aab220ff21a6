#include "twin/schedules.h"

#include <xxhash.h>

namespace peatbend::twin {
namespace {

using namespace std::chrono_literals;

constexpr Duration kJoined = 5s;    // from the first agreement on, for the news to have been told
constexpr Duration kTold = 60s;     // at most, for all of it
constexpr Duration kLook = 20ms;    // how often it is asked whether views agree
constexpr Duration kSettled = 15s;  // that random faults leave at the end
constexpr Duration kSplit = 30s;

// Until the views agree, or `until` is past; the time that took, or -1.
double UntilAgreed(Fleet& fleet, TimePoint until) {
  TimePoint from = fleet.now();
  while (!fleet.Agreed()) {
    if (fleet.now() >= until) return -1;
    fleet.agenda().RunUntil(fleet.now() + kLook);
  }
  return world::Seconds(fleet.now() - from);
}

void Halves(Fleet& fleet, bool cut) {
  for (std::size_t a = 0; a < fleet.size(); ++a) {
    for (std::size_t b = 0; b < fleet.size(); ++b) {
      if (a % 2 != b % 2) fleet.Cut(a, b, cut);
    }
  }
}

void Disorder(Fleet& fleet, TimePoint until) {
  auto& random = fleet.random();
  auto nodes = static_cast<std::uint32_t>(fleet.size());
  for (TimePoint at = fleet.now(); at < until;) {
    at += world::FromSeconds(random.Exponential(0.8));
    if (at >= until) break;
    std::size_t a = random.Below(nodes), b = random.Below(nodes);
    Duration span = world::FromSeconds(random.Between(0.05, 4));
    TimePoint end = std::min(at + span, until);
    switch (random.Below(6)) {
      case 0:
        fleet.agenda().At(at, [&fleet, a] { fleet.Kill(a); });
        fleet.agenda().At(end, [&fleet, a] { fleet.Start(a); });
        break;
      case 1:
        fleet.agenda().At(at, [&fleet, a, span = end - at] { fleet.Stall(a, span); });
        break;
      case 2:
        fleet.agenda().At(at, [&fleet, a, b] { fleet.Cut(a, b, true); });
        fleet.agenda().At(end, [&fleet, a, b] { fleet.Cut(a, b, false); });
        break;
      case 3:  // cut off from all
        for (std::size_t other = 0; other < nodes; ++other) {
          fleet.agenda().At(at, [&fleet, a, other] { fleet.Cut(a, other, true), fleet.Cut(other, a, true); });
          fleet.agenda().At(end,
                            [&fleet, a, other] { fleet.Cut(a, other, false), fleet.Cut(other, a, false); });
        }
        break;
      case 4:  // back before anybody can have noticed
        fleet.agenda().At(at, [&fleet, a] { fleet.Kill(a), fleet.Start(a); });
        break;
      case 5:
        fleet.agenda().At(at, [&fleet, a] { fleet.Leave(a); });
        fleet.agenda().At(std::max(end, at + 600ms), [&fleet, a] { fleet.Start(a); });
        break;
    }
  }
}

}  // namespace

Outcome Play(const Setup& setup, Schedule schedule, Duration length,
             const std::function<void(const std::string&)>& trace) {
  Outcome outcome;
  outcome.seed = setup.seed;
  Fleet fleet(setup);
  std::uint64_t fingerprint = 0;
  fleet.Trace([&](const std::string& line) {
    fingerprint = XXH3_64bits_withSeed(line.data(), line.size(), fingerprint);
    if (trace) trace(line);
  });
  if (!trace && setup.nodes > 20) fleet.Trace({});  // as fast as it goes
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    Duration after = world::FromMs(fleet.random().Between(0, 500));
    fleet.agenda().In(after, [&fleet, i] { fleet.Start(i); });
  }
  fleet.agenda().RunUntil(fleet.now() + 500ms);
  outcome.join_s = UntilAgreed(fleet, fleet.now() + 30s);
  fleet.agenda().RunUntil(fleet.now() + kJoined);
  // A large fleet that starts at once has much to tell; under loss there is always something.
  TimePoint tells = fleet.now() + kTold;
  while (setup.links.loss == 0 && !fleet.Quiet() && fleet.now() < tells)
    fleet.agenda().RunUntil(fleet.now() + kLook);
  TimePoint begin = fleet.now();
  Fleet::Traffic before = fleet.traffic();
  std::size_t noticed_before = fleet.noticed().size();

  switch (schedule) {
    case Schedule::kCalm:
      fleet.agenda().RunUntil(begin + length);
      break;
    case Schedule::kKill: {
      std::size_t gone = fleet.random().Below(static_cast<std::uint32_t>(fleet.size()));
      fleet.Kill(gone);
      fleet.agenda().RunUntil(begin + length);
      for (std::size_t i = noticed_before; i < fleet.noticed().size(); ++i)
        outcome.noticed_ms.push_back(world::Ms(fleet.noticed()[i]));
      outcome.all_noticed = outcome.noticed_ms.size() == fleet.size() - 1;
      break;
    }
    case Schedule::kStall:
      for (TimePoint at = begin; at < begin + length; at += 3s)
        fleet.agenda().At(at, [&fleet] { fleet.Stall(0, 1s); });
      fleet.agenda().RunUntil(begin + length);
      break;
    case Schedule::kSplit:
      Halves(fleet, true);
      fleet.agenda().RunUntil(begin + kSplit);
      Halves(fleet, false);
      outcome.agreed_s = UntilAgreed(fleet, fleet.now() + length);
      break;
    case Schedule::kRandom:
      Disorder(fleet, begin + length);
      fleet.agenda().RunUntil(begin + length);
      for (std::size_t i = 0; i < fleet.size(); ++i) fleet.Start(i);
      outcome.agreed_s = UntilAgreed(fleet, fleet.now() + kSettled);
      fleet.agenda().RunUntil(fleet.now() + 2s);
      if (outcome.agreed_s >= 0 && !fleet.Agreed()) {
        fleet.agenda().RunUntil(fleet.now() + 5s);
        if (!fleet.Agreed()) outcome.agreed_s = -1;
      }
      break;
  }
  double node_seconds = world::Seconds(fleet.now() - begin) * static_cast<double>(fleet.size());
  outcome.datagrams_s = static_cast<double>(fleet.traffic().datagrams - before.datagrams) / node_seconds;
  outcome.bytes_s = static_cast<double>(fleet.traffic().bytes - before.bytes) / node_seconds;
  outcome.false_deaths = fleet.false_deaths().size();
  outcome.broken = fleet.broken();
  outcome.difference = fleet.Difference();
  outcome.fingerprint = fingerprint;
  return outcome;
}

}  // namespace peatbend::twin

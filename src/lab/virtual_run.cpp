#include "lab/virtual_run.h"

#include <memory>
#include <vector>

#include "lab/virtual_router.h"
#include "lab/warm.h"

namespace peatbend::lab {
namespace {

using world::Agenda;
using world::Fleet;
using world::FromMs;
using world::Listing;

class VirtualDay : public Carrier {
 public:
  VirtualDay(const Scenario& given, std::uint64_t seed)
      : scenario(given),
        plan(DrawPlan(given, seed)),
        fleet(agenda, given.fleet, seed),
        referee(given),
        crowd(agenda, given, plan, referee, *this, seed) {
    Wire();
    VirtualRouter::Day day{scenario, plan, agenda, fleet, referee, crowd, counter};
    for (int r = 0; r < scenario.routers; ++r)
      routers.push_back(std::make_unique<VirtualRouter>(day, r, seed * 1000 + static_cast<std::uint64_t>(r)));
    FillCaches(fleet, scenario, plan);
    fleet.Plan(scenario.troubles);
    for (const RouterEvent& event : scenario.router_events) PlanRouters(event);
  }

  DayResult Run(std::uint64_t seed) {
    for (auto& router : routers) router->Start();
    crowd.Start();
    agenda.RunUntil(scenario.lasts + LongestDeadline(scenario) + FromMs(scenario.grace_ms + 500));
    return Reckon(scenario, seed, plan, crowd.outcomes(), referee, counter.Read(fleet));
  }

  void Send(const Try& one) override {
    auto& router = *routers[static_cast<std::size_t>(one.router)];
    if (!router.up()) {
      agenda.In(kToRouter * 2, [this, one] { crowd.Unreachable(one); });
      return;
    }
    agenda.In(kToRouter, [this, one] {
      auto& at = *routers[static_cast<std::size_t>(one.router)];
      if (!at.up()) return crowd.Unreachable(one);
      at.Take(one);
    });
    agenda.In(one.waits + FromMs(scenario.grace_ms),
              [this, one] { routers[static_cast<std::size_t>(one.router)]->ClientGone(one.id); });
  }

  const Scenario& scenario;
  Agenda agenda;
  Plan plan;
  Fleet fleet;
  Referee referee;
  Crowd crowd;
  LoadCounter counter;
  std::vector<std::unique_ptr<VirtualRouter>> routers;

 private:
  void Wire() {
    fleet.on_change = [this](int place, world::Change change) {
      if (change != world::Change::kDied) return;
      for (auto& router : routers) router->ServerDied(place);
    };
    fleet.on_fall = [this](int place) { referee.Fell(place, agenda.now()); };
    fleet.on_origin_fall = [this](double share) { referee.OriginFell(share, agenda.now()); };
    fleet.discovery().on_change = [this](const Listing& listing) {
      referee.Listed(listing.name, listing.status == Listing::Status::kServing, agenda.now());
      for (auto& router : routers) router->Changed(listing);
    };
    auto lost = [this] {
      for (auto& router : routers) router->WatchLost();
    };
    fleet.discovery().on_down = lost;
    fleet.on_discovery_move = lost;
  }

  void PlanRouters(const RouterEvent& event) {
    using What = RouterEvent::What;
    if (event.what == What::kHup || event.what == What::kUpgrade) return;  // the module is not told of it
    if (event.what == What::kStall) return;                                // no processes to stand still
    for (std::size_t i = 0; i < event.routers.size(); ++i) {
      int number = event.routers[i];
      agenda.At(event.at + static_cast<int>(i) * event.every, [this, number, event] {
        // A planned stop answers what it took; the virtual one is simply away for clients that come later.
        auto& router = *routers[static_cast<std::size_t>(number)];
        referee.RouterEnded(number);
        router.Kill();
        crowd.RouterDown(number, event.what == RouterEvent::What::kTerm
                                     ? FromMs(300)
                                     : world::FromSeconds(scenario.front_notices_s));
        agenda.In(event.back, [this, number] {
          routers[static_cast<std::size_t>(number)]->Start();
          referee.RouterBack(number);
          crowd.RouterUp(number);
        });
      });
    }
  }
};

}  // namespace

DayResult RunVirtually(const Scenario& scenario, std::uint64_t seed) {
  return VirtualDay(scenario, seed).Run(seed);
}

}  // namespace peatbend::lab

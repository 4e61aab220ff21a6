#include "lab/plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace peatbend::lab {

Plan DrawPlan(const Scenario& scenario, std::uint64_t seed) {
  using world::Random;
  using world::Weighted;
  Plan plan;
  Random names(seed, 1), times(seed, 2), whats(seed, 3), drift(seed, 4), whose(seed, 5), payloads(seed, 6);
  for (int i = 0; i < scenario.keys; ++i) plan.keys.push_back(fmt::format("{:016x}", names.Word()));
  std::vector<int> ranks(plan.keys.size());
  std::iota(ranks.begin(), ranks.end(), 0);
  Weighted by_rank = Weighted::Zipf(plan.keys.size(), scenario.zipf);
  std::vector<double> class_shares, tenant_shares;
  for (const ClassOfRequests& cls : scenario.classes) class_shares.push_back(cls.share);
  for (const Tenant& tenant : scenario.tenants) tenant_shares.push_back(tenant.share);
  Weighted by_class(class_shares), by_tenant(tenant_shares);

  Weighted by_client =
      Weighted::Zipf(static_cast<std::size_t>(std::max(1, scenario.clients)), scenario.client_zipf);
  bool even = scenario.routers_skew == 0 && scenario.router_weights.empty();
  Weighted by_router = scenario.router_weights.empty()
                           ? Weighted::Zipf(static_cast<std::size_t>(scenario.routers), scenario.routers_skew)
                           : Weighted(scenario.router_weights);

  auto factor = [&](Time at) {
    double now = 1;
    for (const Step& step : scenario.steps) {
      if (step.at <= at) now = step.factor;
    }
    return now;
  };
  std::vector<double> version_shares{0}, reader_shares{1};  // no version is drawn, but no reader is
  for (const auto& version : scenario.publish.versions) version_shares.push_back(version.share);
  for (const auto& reader : scenario.publish.readers) {
    reader_shares.push_back(reader.share);
    reader_shares[0] -= reader.share;
  }
  Weighted by_version(version_shares), by_reader(reader_shares);
  Time at{}, drifted{};
  // Thinned from the highest rate, so that a step falls where it should.
  double highest = 1;
  for (const Step& step : scenario.steps) highest = std::max(highest, step.factor);
  for (;;) {
    at += world::FromSeconds(times.Exponential(1 / (scenario.rate * highest)));
    if (at >= scenario.lasts) break;
    while (scenario.drift_per_s > 0 && drifted < at) {
      drifted += world::FromSeconds(0.1);
      auto count =
          static_cast<int>(scenario.drift_per_s * 0.1 * static_cast<double>(ranks.size()) + drift.Unit());
      for (int i = 0; i < count; ++i) {
        auto size = static_cast<std::uint32_t>(ranks.size());
        std::swap(ranks[drift.Below(size)], ranks[drift.Below(size)]);
      }
    }
    if (!times.Chance(factor(at) / highest)) continue;
    Planned one;
    one.at = at;
    one.key = ranks[by_rank.Draw(whats)];
    one.cls = static_cast<int>(by_class.Draw(whats));
    one.tenant = static_cast<int>(by_tenant.Draw(whats));
    one.router = static_cast<int>(whats.Below(static_cast<std::uint32_t>(scenario.routers)));
    if (!even) one.router = static_cast<int>(by_router.Draw(whose));
    if (scenario.clients > 0) one.client = static_cast<int>(by_client.Draw(whose));
    const ClassOfRequests& cls = scenario.classes[static_cast<std::size_t>(one.cls)];
    one.work_ms = whats.Between(cls.work_least_ms, cls.work_most_ms);
    if (scenario.publish.Covers(one.cls, one.tenant)) {
      int reader = cls.write ? -1 : static_cast<int>(by_reader.Draw(payloads)) - 1;
      if (cls.write) one.payload.version = static_cast<int>(by_version.Draw(payloads));
      if (reader >= 0 && scenario.publish.readers[static_cast<std::size_t>(reader)].from <= at)
        one.payload.reader = reader;
    }
    plan.requests.push_back(one);
  }
  return plan;
}

}  // namespace peatbend::lab

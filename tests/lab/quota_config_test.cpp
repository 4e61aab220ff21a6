// The referee does not parse the quota configuration language, so scenarios state each limit twice: as
// configuration text and as keys. This test compares the two.
#include "rations/quota_config.h"

#include "doctest/doctest.h"
#include "lab/scenario.h"

namespace peatbend::lab::test {
namespace {

TEST_CASE("the quota configuration of a scenario equals its limits") {
  for (const char* name : {"rations-few", "rations", "rations-split", "rations-tenant"}) {
    CAPTURE(name);
    Scenario scenario = ReadScenario(std::string(PEATBEND_SOURCE "/scenarios/") + name + ".toml");
    rations::QuotaTable table =
        rations::ParseQuotaConfig(scenario.rations.book, SettingsFor(scenario, 0), name);
    REQUIRE(table.quotas.size() == scenario.rations.limits.size());
    for (std::size_t i = 0; i < table.quotas.size(); ++i) {
      const rations::Quota& quota = table.quotas[i];
      const RationLimit& limit = scenario.rations.limits[i];
      CAPTURE(limit.name);
      CHECK(quota.name == limit.name);
      CHECK(quota.rate == rations::TokenRate{limit.rate, limit.burst});
      CHECK(quota.tenants == limit.tenants);
      CHECK(quota.classes == limit.classes);
      CHECK(static_cast<int>(quota.access) == static_cast<int>(limit.kind));
      CHECK(quota.bucket_key ==
            (limit.each == RationLimit::Each::kClient ? rations::kPerClient : rations::kSingleBucket));
      CHECK(quota.hard);
    }
  }
}

}  // namespace
}  // namespace peatbend::lab::test

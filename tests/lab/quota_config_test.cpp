// The referee knows nothing of the book's language, so scenarios state each limit twice: here both are held
// together.
#include "rations/quota_config.h"

#include "doctest/doctest.h"
#include "lab/scenario.h"

namespace peatbend::lab::test {
namespace {

TEST_CASE("what a scenario's book says is what its limits say") {
  for (const char* name : {"rations-few", "rations", "rations-split", "rations-tenant"}) {
    CAPTURE(name);
    Scenario scenario = ReadScenario(std::string(PEATBEND_SOURCE "/scenarios/") + name + ".toml");
    rations::QuotaTable book =
        rations::ParseQuotaConfig(scenario.rations.book, SettingsFor(scenario, 0), name);
    REQUIRE(book.quotas.size() == scenario.rations.limits.size());
    for (std::size_t i = 0; i < book.quotas.size(); ++i) {
      const rations::Quota& ration = book.quotas[i];
      const RationLimit& limit = scenario.rations.limits[i];
      CAPTURE(limit.name);
      CHECK(ration.name == limit.name);
      CHECK(ration.rate == rations::TokenRate{limit.rate, limit.burst});
      CHECK(ration.tenants == limit.tenants);
      CHECK(ration.classes == limit.classes);
      CHECK(static_cast<int>(ration.access) == static_cast<int>(limit.kind));
      CHECK(ration.bucket_key ==
            (limit.each == RationLimit::Each::kClient ? rations::kPerClient : rations::kSingleBucket));
      CHECK(ration.hard);
    }
  }
}

}  // namespace
}  // namespace peatbend::lab::test

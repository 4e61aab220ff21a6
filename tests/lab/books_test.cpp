// The referee knows nothing of the book's language, so scenarios state each limit twice: here both are held
// together.
#include "doctest/doctest.h"
#include "lab/scenario.h"
#include "rations/book.h"

namespace peatbend::lab::test {
namespace {

TEST_CASE("what a scenario's book says is what its limits say") {
  for (const char* name : {"rations-few", "rations", "rations-split", "rations-tenant"}) {
    CAPTURE(name);
    Scenario scenario = ReadScenario(std::string(PEATBEND_SOURCE "/scenarios/") + name + ".toml");
    rations::Table book = rations::ReadBook(scenario.rations.book, SettingsFor(scenario, 0), name);
    REQUIRE(book.rations.size() == scenario.rations.limits.size());
    for (std::size_t i = 0; i < book.rations.size(); ++i) {
      const rations::Ration& ration = book.rations[i];
      const RationLimit& limit = scenario.rations.limits[i];
      CAPTURE(limit.name);
      CHECK(ration.name == limit.name);
      CHECK(ration.pace == rations::Pace{limit.rate, limit.burst});
      CHECK(ration.tenants == limit.tenants);
      CHECK(ration.classes == limit.classes);
      CHECK(static_cast<int>(ration.kind) == static_cast<int>(limit.kind));
      CHECK(ration.per ==
            (limit.each == RationLimit::Each::kClient ? rations::kPerClient : rations::kTogether));
      CHECK(ration.hard);
    }
  }
}

}  // namespace
}  // namespace peatbend::lab::test

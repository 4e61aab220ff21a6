// Semantic checks on a compiled table, for contradictions between statements that are valid on their own.
#pragma once

#include <vector>

#include "rations/quota_config_ast.h"

namespace peatbend::rations::book {

struct RateLocations {
  SourceLocation location, rate,
      burst;  // location: of the override's statement; unused for the quota's own rate
};
// Source locations of the parts of a quota.
struct QuotaLocations {
  SourceLocation name;
  RateLocations rate;
  std::vector<RateLocations> overrides;
};

// Adds an error for each contradiction. `error_free`: for each quota whether it compiled without errors; the
// others are skipped.
void CheckQuotaTable(const QuotaTable& table, const std::vector<QuotaLocations>& locations,
                     const std::vector<bool>& error_free, const Settings& settings, ErrorList& errors);

}  // namespace peatbend::rations::book

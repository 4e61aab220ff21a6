// Compiles rates, bursts and rate overrides.
#pragma once

#include <cstddef>
#include <optional>

#include "rations/quota_config_checks.h"
#include "rations/quota_config_times.h"

namespace peatbend::rations::book {

class OverrideCompiler {
 public:
  // `errors` must outlive the compiler. Without `time_zone` local times are UTC.
  OverrideCompiler(const std::optional<LocatedText>& time_zone, ErrorList& errors);

  // Both return the value, after adding an error if it is out of range.
  double CheckedRate(const LocatedNumber& rate);
  double CheckedBurst(const LocatedNumber& burst);
  // Appends the overrides of `statement` to `quota`. Returns false if the limit on overrides was exceeded;
  // the caller must not add more to this quota.
  bool Add(const Statement& statement, Quota& quota, QuotaLocations& locations);

 private:
  bool CheckTimes(const Statement& statement);
  bool AddOne(const Statement& statement, const RateOverride& rate_override, Quota& quota,
              QuotaLocations& locations);
  bool AddDaily(const Statement& statement, RateOverride rate_override, Quota& quota,
                QuotaLocations& locations);

  ErrorList& errors_;
  std::optional<TimeZone> time_zone_;
  std::size_t total_overrides_ = 0;
};

}  // namespace peatbend::rations::book

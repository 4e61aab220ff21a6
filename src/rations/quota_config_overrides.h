// Amounts, and when they are others: a ration's statements of them as paces and changes of the table.
#pragma once

#include <cstddef>
#include <optional>

#include "rations/quota_config_checks.h"
#include "rations/quota_config_times.h"

namespace peatbend::rations::book {

class ChangeReader {
 public:
  // `faults` must outlive it. No zone stated: UTC.
  ChangeReader(const std::optional<Word>& zone, Faults& faults);

  double Rate(const Amount& amount);
  double Burst(const Amount& amount);
  // False where there are too many, and no more are to be read.
  bool Add(const Statement& statement, Quota& ration, RationPlaces& places);

 private:
  bool GoodTimes(const Statement& statement);
  bool AddOne(const Statement& statement, const RateOverride& change, Quota& ration, RationPlaces& places);
  bool AddDaily(const Statement& statement, RateOverride change, Quota& ration, RationPlaces& places);

  Faults& faults_;
  std::optional<Zone> zone_;
  std::size_t changes_ = 0;
};

}  // namespace peatbend::rations::book

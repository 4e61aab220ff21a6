// What a book may not say though each of its statements can be read.
#pragma once

#include <vector>

#include "rations/quota_config_ast.h"

namespace peatbend::rations::book {

struct PacePlace {
  Place at, rate, burst;  // at: of a change
};
// Where the parts of a table's ration stand in the book.
struct RationPlaces {
  Place name;
  PacePlace pace;
  std::vector<PacePlace> changes;
};

// `whole`: of each ration, whether it was read without a fault; the others are passed over.
void CheckTable(const QuotaTable& table, const std::vector<RationPlaces>& places,
                const std::vector<bool>& whole, const Settings& settings, Faults& faults);

}  // namespace peatbend::rations::book

// Schema resolution by the rules of Avro 1.11: whether data written with one schema can be read with another,
// for every value that the writer's schema allows.
#pragma once

#include <string>
#include <vector>

#include "compat/schema.h"

namespace peatbend::compat {

enum class Rule : std::uint8_t {
  kType,     // types that differ and cannot be promoted
  kName,     // records, enums or fixed with different names
  kDefault,  // a field that the writer lacks, without a default
  kSymbol,   // a symbol that the reader lacks, without a default
  kSize,     // fixed with different sizes
  kBranch,   // no branch of the reader's union matches
  kAlias,    // two fields of the writer match one of the reader
  kWork      // too many pairs of types to compare
};
constexpr const char* kRuleNames[] = {"type", "name", "default", "symbol", "size", "branch", "alias", "work"};

struct Difference {
  // From "$", with the reader's names: .field, [] items, {} values, <i> the i-th branch of the writer's
  // union, >i the i-th branch of the reader's.
  std::string path;
  Rule rule;
  std::string what;
  auto operator<=>(const Difference&) const = default;
};

// Empty if the data is readable. The order depends on the two schemas alone. Each pair of types is compared
// once, and the number of differences is limited.
std::vector<Difference> Resolve(const Schema& writer, const Schema& reader);

}  // namespace peatbend::compat

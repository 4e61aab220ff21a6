// Checks that the default of a field is a value of its type, and normalizes it.
#pragma once

#include <string>
#include <vector>

#include "compat/schema.h"

namespace peatbend::compat {

class DefaultChecker {
 public:
  explicit DefaultChecker(std::vector<Node>& nodes) : nodes_(nodes) {}
  // Normalizes the default of that field: converts numbers to the field's type and removes keys that a record
  // does not define. Returns an error, or an empty string.
  std::string Normalize(NodeId record, std::size_t field);
  // Checks that a default does not contain itself through the defaults of the fields that it leaves out. All
  // defaults have been normalized. Returns an error, or an empty string.
  std::string CheckFinite(NodeId record, std::size_t field);

 private:
  std::string NormalizeValue(NodeId type, nlohmann::json& value);
  std::string CheckFiniteValue(NodeId type, const nlohmann::json& value);

  std::vector<Node>& nodes_;
  enum class State { kInProgress, kDone };
  std::map<std::pair<NodeId, std::size_t>, State> states_;
};

}  // namespace peatbend::compat

// Resolves names in a quota configuration, and suggests similar names for unknown ones.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "rations/quota_config_ast.h"

namespace peatbend::rations::book {

// The error message for an unknown name. `kind`: what is named, such as "class".
std::string UnknownNameMessage(const char* kind, const std::string& name,
                               const std::vector<std::string>& all);

// Maps the settings' names of one kind to their indexes.
class NameIndex {
 public:
  template <typename T>
  NameIndex(const char* kind, const std::vector<T>& items) : kind_(kind) {
    for (std::size_t i = 0; i < items.size(); ++i) {
      auto [entry, added] = indexes_.try_emplace(items[i].name, static_cast<int>(i));
      if (!added) entry->second = -1;
      all_.push_back(items[i].name);
    }
  }

  // Returns the indexes in the order of `names`, or nothing after adding an error for each name that is
  // unknown, ambiguous or repeated.
  std::optional<std::vector<int>> Resolve(const std::vector<LocatedText>& names, ErrorList& errors) const;

 private:
  const char* kind_;
  std::unordered_map<std::string, int> indexes_;  // -1: several items have the name
  std::vector<std::string> all_;
};

}  // namespace peatbend::rations::book

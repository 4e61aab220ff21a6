// Names in a book, and the known ones nearest to those that are not known.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "rations/quota_config_ast.h"

namespace peatbend::rations::book {

// `sort`: "class", as messages call it.
std::string UnknownName(const char* sort, const std::string& name, const std::vector<std::string>& all);

// The settings' names of one sort, with their numbers.
class Names {
 public:
  template <typename T>
  Names(const char* sort, const std::vector<T>& of) : sort_(sort) {
    for (std::size_t i = 0; i < of.size(); ++i) {
      auto [at, added] = numbers_.try_emplace(of[i].name, static_cast<int>(i));
      if (!added) at->second = -1;
      all_.push_back(of[i].name);
    }
  }

  // In the order of the words; nothing where one is at fault.
  std::optional<std::vector<int>> Find(const std::vector<Word>& words, Faults& faults) const;

 private:
  const char* sort_;
  std::unordered_map<std::string, int> numbers_;  // -1: of several
  std::vector<std::string> all_;
};

}  // namespace peatbend::rations::book

#include "rations/quota_config_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace peatbend::rations::book {
namespace {

std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0u);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i + 1);
    for (std::size_t j = 0; j < b.size(); ++j) {
      std::size_t changed = diagonal + (a[i] != b[j] ? 1 : 0);
      diagonal = row[j + 1];
      row[j + 1] = std::min({changed, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

// Returns the most similar of `names`, or an empty string if none is similar.
std::string MostSimilar(std::string_view name, const std::vector<std::string>& names) {
  std::string best;
  name = name.substr(0, 100);
  std::size_t best_distance = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& one : names) {
    std::size_t length_difference = std::max(one.size(), name.size()) - std::min(one.size(), name.size());
    if (length_difference >= best_distance) continue;
    std::size_t distance = EditDistance(name, one);
    if (distance < best_distance) best_distance = distance, best = one;
  }
  return best;
}

}  // namespace

std::string UnknownNameMessage(const char* kind, const std::string& name,
                               const std::vector<std::string>& all) {
  std::string text = fmt::format("no {} of the name '{}' is known", kind, name.substr(0, 100));
  std::string similar = MostSimilar(name, all);
  if (!similar.empty()) return text + fmt::format("; '{}' expected?", similar);
  if (all.empty()) return text + "; there are none";
  text += "; expected one of";
  for (std::size_t i = 0; i < all.size() && i < 5; ++i)
    text += fmt::format("{} '{}'", i == 0 ? "" : ",", all[i]);
  return all.size() > 5 ? text + fmt::format(" and {} more", all.size() - 5) : text;
}

std::optional<std::vector<int>> NameIndex::Resolve(const std::vector<LocatedText>& names,
                                                   ErrorList& errors) const {
  std::vector<int> resolved;
  std::unordered_set<int> seen;
  bool valid = true;
  for (const LocatedText& name : names) {
    if (errors.full()) return std::nullopt;
    auto entry = indexes_.find(name.text);
    if (entry == indexes_.end()) {
      valid = false;
      errors.Add(name.location, UnknownNameMessage(kind_, name.text, all_));
    } else if (entry->second < 0) {
      valid = false;
      errors.Add(
          name.location,
          fmt::format("the settings have more than one {} of the name '{}'; an unambiguous name expected",
                      kind_, name.text));
    } else if (!seen.insert(entry->second).second) {
      valid = false;
      errors.Add(name.location, fmt::format("{} '{}' is listed twice; once expected", kind_, name.text));
    } else {
      resolved.push_back(entry->second);
    }
  }
  if (!valid) return std::nullopt;
  return resolved;
}

}  // namespace peatbend::rations::book

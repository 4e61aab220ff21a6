#include "rations/quota_config_names.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace peatbend::rations::book {
namespace {

std::size_t Distance(std::string_view a, std::string_view b) {
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

// The one of `names` that is nearest to `name`; empty if none is near.
std::string Nearest(std::string_view name, const std::vector<std::string>& names) {
  std::string best;
  name = name.substr(0, 100);
  std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
  for (const std::string& one : names) {
    std::size_t apart = std::max(one.size(), name.size()) - std::min(one.size(), name.size());
    if (apart >= least) continue;
    std::size_t distance = Distance(name, one);
    if (distance < least) least = distance, best = one;
  }
  return best;
}

}  // namespace

std::string UnknownName(const char* sort, const std::string& name, const std::vector<std::string>& all) {
  std::string text = fmt::format("no {} of the name '{}' is known", sort, name.substr(0, 100));
  std::string nearest = Nearest(name, all);
  if (!nearest.empty()) return text + fmt::format("; '{}' expected?", nearest);
  if (all.empty()) return text + "; there are none";
  text += "; expected one of";
  for (std::size_t i = 0; i < all.size() && i < 5; ++i)
    text += fmt::format("{} '{}'", i == 0 ? "" : ",", all[i]);
  return all.size() > 5 ? text + fmt::format(" and {} more", all.size() - 5) : text;
}

std::optional<std::vector<int>> Names::Find(const std::vector<Word>& words, Faults& faults) const {
  std::vector<int> found;
  std::unordered_set<int> met;
  bool good = true;
  for (const Word& word : words) {
    if (faults.full()) return std::nullopt;
    auto at = numbers_.find(word.text);
    if (at == numbers_.end()) {
      good = false;
      faults.Add(word.at, UnknownName(sort_, word.text, all_));
    } else if (at->second < 0) {
      good = false;
      faults.Add(word.at,
                 fmt::format("the settings have more than one {} of the name '{}'; a name of one expected",
                             sort_, word.text));
    } else if (!met.insert(at->second).second) {
      good = false;
      faults.Add(word.at, fmt::format("{} '{}' stands in the list twice; once expected", sort_, word.text));
    } else {
      found.push_back(at->second);
    }
  }
  if (!good) return std::nullopt;
  return found;
}

}  // namespace peatbend::rations::book

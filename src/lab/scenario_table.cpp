#include "lab/scenario_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "config/keys.h"

namespace peatbend::lab {
namespace {

// To be taken out after two releases.
constexpr RenamedKey kRenamed[] = {
    {"takeover", "failover"},
    {"takeover.on", "failover.on"},
    {"takeover.alone", "failover.no_quorum"},
    {"takeover.linger_ms", "failover.retain_ms"},
};

}  // namespace

std::span<const RenamedKey> RenamedScenarioKeys() { return kRenamed; }

ScenarioTable::~ScenarioTable() {
  if (table_ == nullptr) return;
  for (auto&& [name, node] : *table_) {
    std::string key(name.str());
    if (std::ranges::find(known_, key) == known_.end() && !FaultIfRenamed(node, key)) {
      Fault(&node, key, "not known; the nearest known name is " + Nearest(key, known_));
    }
  }
}

bool ScenarioTable::FaultIfRenamed(const toml::node& node, const std::string& key) {
  std::string path = path_.empty() ? key : path_ + "." + key;
  const RenamedKey* renamed = std::ranges::find(kRenamed, path, &RenamedKey::old_name);
  if (renamed == std::end(kRenamed)) return false;
  Fault(&node, key, fmt::format("renamed to {}", renamed->new_name));
  if (const toml::table* table = node.as_table()) {
    for (auto&& [name, item] : *table) FaultIfRenamed(item, fmt::format("{}.{}", key, name.str()));
  }
  return true;
}

std::optional<double> ScenarioTable::Within(const char* key, double least, double most, bool whole) {
  const toml::node* node = Take(key);
  if (node == nullptr) return std::nullopt;
  auto value = node->value<double>();
  if (!value || !(*value >= least && *value <= most) || (whole && *value != std::floor(*value))) {
    Fault(node, key, fmt::format("{} to {} expected", least, most));
    return std::nullopt;
  }
  return value;
}

void ScenarioTable::Ms(const char* key, world::Span& field, double least, double most) {
  double ms = world::Ms(field);
  Number(key, ms, least, most);
  field = world::FromMs(ms);
}

void ScenarioTable::Sec(const char* key, world::Span& field, double least, double most) {
  double seconds = world::Seconds(field);
  Number(key, seconds, least, most);
  field = world::FromSeconds(seconds);
}

void ScenarioTable::Range(const char* key, double& low, double& high, double least, double most) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  const toml::array* pair = node->as_array();
  auto one = [&](std::size_t i) { return pair->get(i)->value<double>().value_or(std::nan("")); };
  if (pair == nullptr || pair->size() != 2 || !(one(0) >= least && one(0) <= one(1) && one(1) <= most)) {
    return Fault(node, key, fmt::format("[low, high] within {} to {} expected", least, most));
  }
  low = one(0);
  high = one(1);
}

void ScenarioTable::Word(const char* key, std::string& field, const std::vector<std::string>& words) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  auto value = node->value_exact<std::string>();
  if (!value || (!words.empty() && std::ranges::find(words, *value) == words.end())) {
    return Fault(node, key,
                 words.empty() ? "text expected" : fmt::format("{} expected", fmt::join(words, " or ")));
  }
  field = *value;
}

void ScenarioTable::Words(const char* key, std::vector<std::string>& field,
                          const std::vector<std::string>& words) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  const toml::array* list = node->as_array();
  bool fine = list != nullptr;
  for (std::size_t i = 0; fine && i < list->size(); ++i) {
    auto word = list->get(i)->value_exact<std::string>();
    fine = word && (words.empty() || std::ranges::find(words, *word) != words.end());
    if (fine) field.push_back(*word);
  }
  if (!fine)
    Fault(node, key,
          words.empty() ? "a list of texts expected"
                        : fmt::format("a list of {} expected", fmt::join(words, ", ")));
}

void ScenarioTable::Numbers(const char* key, std::vector<double>& field, double least, double most) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  const toml::array* list = node->as_array();
  bool fine = list != nullptr;
  for (std::size_t i = 0; fine && i < list->size(); ++i) {
    auto value = list->get(i)->value<double>();
    fine = value && *value >= least && *value <= most;
    if (fine) field.push_back(*value);
  }
  if (!fine) Fault(node, key, fmt::format("a list of numbers from {} to {} expected", least, most));
}

void ScenarioTable::Yes(const char* key, bool& field) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  if (auto value = node->value_exact<bool>()) {
    field = *value;
  } else {
    Fault(node, key, "true or false expected");
  }
}

void ScenarioTable::Places(const char* key, std::vector<int>& field, int all) {
  const toml::node* node = Take(key);
  if (node == nullptr) return;
  if (auto share = node->value<double>(); share && *share > 0 && *share <= 1 && !node->is_integer()) {
    int count = static_cast<int>(std::ceil(*share * all));
    for (int i = 0; i < count; ++i) field.push_back(i * all / count);
    return;
  }
  const toml::array* list = node->as_array();
  bool fine = list != nullptr;
  for (std::size_t i = 0; fine && i < list->size(); ++i) {
    auto place = list->get(i)->value_exact<std::int64_t>();
    fine = place && *place >= 0 && *place < all;
    if (fine) field.push_back(static_cast<int>(*place));
  }
  if (!fine) Fault(node, key, fmt::format("a share such as 0.15, or places from 0 to {} expected", all - 1));
}

const toml::table* ScenarioTable::Child(const char* key) {
  const toml::node* node = Take(key);
  if (node != nullptr && !node->is_table()) Fault(node, key, "a table expected");
  return node == nullptr ? nullptr : node->as_table();
}

std::vector<const toml::table*> ScenarioTable::Children(const char* key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Take(key);
  if (node == nullptr) return tables;
  if (const toml::array* array = node->as_array()) {
    for (auto&& item : *array) {
      if (const toml::table* table = item.as_table()) tables.push_back(table);
    }
    if (tables.size() == array->size()) return tables;
  }
  Fault(node, key, "a list of tables expected");
  return {};
}

void ScenarioTable::Fault(const toml::node* node, const std::string& key, const std::string& what) {
  int line = static_cast<int>(node != nullptr     ? node->source().begin.line
                              : table_ != nullptr ? table_->source().begin.line
                                                  : 0);
  faults_.push_back(
      fmt::format("{}:{}: {}{}{}: {}", file_, line, path_, path_.empty() ? "" : ".", key, what));
}

const toml::node* ScenarioTable::Take(const char* key) {
  known_.emplace_back(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

}  // namespace peatbend::lab

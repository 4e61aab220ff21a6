// A TOML table's keys read into fields and checked. A key that is missing leaves its field as it is; a fault
// is a line "FILE:LINE: key: what is wrong".
#pragma once

#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <optional>
#include <span>
#include <string>
#include <type_traits>
#include <vector>

#include "config/keys.h"
#include "world/agenda.h"

namespace peatbend::lab {

// Keys and tables of scenarios that were renamed. Each old name is an error that tells the new one.
std::span<const RenamedKey> RenamedScenarioKeys();

class ScenarioTable {
 public:
  // `table` may be null: no key is there. `file` and `faults` outlive this.
  ScenarioTable(const toml::table* table, std::string path, const std::string& file,
                std::vector<std::string>& faults)
      : table_(table), path_(std::move(path)), file_(file), faults_(faults) {}
  ~ScenarioTable();  // what nobody has asked for is not known: a fault each
  ScenarioTable(const ScenarioTable&) = delete;
  ScenarioTable& operator=(const ScenarioTable&) = delete;

  template <typename T>
  void Number(const char* key, T& field, double least, double most) {
    if (auto value = Within(key, least, most, std::is_integral_v<T>)) field = static_cast<T>(*value);
  }
  void Ms(const char* key, world::Span& field, double least, double most);
  void Sec(const char* key, world::Span& field, double least, double most);
  void Range(const char* key, double& low, double& high, double least, double most);
  void Word(const char* key, std::string& field, const std::vector<std::string>& words = {});
  void Words(const char* key, std::vector<std::string>& field, const std::vector<std::string>& words = {});
  void Numbers(const char* key, std::vector<double>& field, double least, double most);
  void Yes(const char* key, bool& field);
  // Places: a list of them, or the share of `all`, spread evenly.
  void Places(const char* key, std::vector<int>& field, int all);
  const toml::table* Child(const char* key);
  std::vector<const toml::table*> Children(const char* key);
  void Fault(const toml::node* node, const std::string& key, const std::string& what);

 private:
  // True if `key` was renamed: then `node`, and what was renamed in it, are an error each.
  bool FaultIfRenamed(const toml::node& node, const std::string& key);
  const toml::node* Take(const char* key);
  std::optional<double> Within(const char* key, double least, double most, bool whole);

  const toml::table* table_;
  std::string path_;
  const std::string& file_;
  std::vector<std::string>& faults_;
  std::vector<std::string> known_;
};

}  // namespace peatbend::lab

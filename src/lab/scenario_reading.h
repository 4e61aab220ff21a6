// A scenario while it is read: what was found so far, and each fault. Of scenario*.cpp alone.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "lab/scenario.h"
#include "lab/scenario_table.h"

namespace peatbend::lab {

struct ScenarioReading {
  Scenario scenario;
  std::string file;
  std::vector<std::string> faults;

  void All(const toml::table& table);
  // Its parts; each in a function that reads all keys of one table, null where the file has none.
  void Load(const toml::table* table);
  void Class(const toml::table* table);
  void Fleet(const toml::table* table);
  void World(ScenarioTable& root);
  void Event(const toml::table* table);
  void StormEvent(ScenarioTable& t, Storm read);
  void Rations(const toml::table* table);
  void Limit(const toml::table* table);
  void Publish(const toml::table* table);
  std::string Book(ScenarioTable& t);
  void Link(ScenarioTable& t, const std::string& what, LinkEvent read);  // an event between routers
  void Mark(Time at, std::string text) { scenario.marks.push_back({at, std::move(text)}); }
};

// Names into the numbers of `all`.
template <typename All, typename NameOf>
void Numbers(ScenarioTable& t, const char* key, const std::vector<std::string>& names, const All& all,
             NameOf&& name_of, std::vector<int>& into) {
  for (const std::string& name : names) {
    int at = -1;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (name_of(all[i]) == name) at = static_cast<int>(i);
    }
    if (at < 0) t.Fault(nullptr, key, "no such name: " + name);
    into.push_back(at);
  }
}

}  // namespace peatbend::lab

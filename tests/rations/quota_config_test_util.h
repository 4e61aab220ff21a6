// Settings and small books that the tests of the language share.
#pragma once

#include <fmt/format.h>

#include <string>

#include "rations/quota_config.h"

namespace peatbend::rations::test {

inline Settings Shop() {
  Settings settings;
  for (const char* name : {"page", "campaign-send", "order", "thumb nail"})
    settings.classes.push_back({.name = name});
  for (const char* name : {"north", "south", "isles"}) settings.tenants.push_back({.name = name});
  return settings;
}

inline QuotaTable Read(const std::string& text) { return ParseQuotaConfig(text, Shop(), "b"); }

// The faults, each "LINE:COLUMN: what", a line each; empty for a good book.
inline std::string FaultsOf(const std::string& text) {
  try {
    Read(text);
    return "";
  } catch (const InvalidQuotaConfig& refused) {
    std::string all;
    for (const QuotaConfigError& error : refused.errors()) {
      all += fmt::format("{}{}:{}: {}", all.empty() ? "" : "\n", error.line, error.column, error.message);
    }
    return all;
  }
}

inline const std::string kHead = "book reads 1\ntime zone Europe/Athens\n";
// A ration of its own with that statement besides the amounts, which stand in the lines before it.
inline std::string With(const std::string& statement) {
  return kHead + "ration r {\n counts everything;\n rate 100 a second; burst 200;\n " + statement + "\n}\n";
}
inline std::string Amounts(double rate, double burst) {
  return fmt::format("rate {} a second; burst {};", rate, burst);
}

}  // namespace peatbend::rations::test

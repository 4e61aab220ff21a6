// Settings and small configurations shared by the tests of the quota configuration language.
#pragma once

#include <fmt/format.h>

#include <string>

#include "rations/quota_config.h"

namespace peatbend::rations::test {

inline Settings TestSettings() {
  Settings settings;
  for (const char* name : {"page", "campaign-send", "order", "thumb nail"})
    settings.classes.push_back({.name = name});
  for (const char* name : {"north", "south", "isles"}) settings.tenants.push_back({.name = name});
  return settings;
}

inline QuotaTable Parse(const std::string& text) { return ParseQuotaConfig(text, TestSettings(), "b"); }

// Returns the errors as lines "LINE:COLUMN: message", or an empty string for a valid configuration.
inline std::string ErrorsOf(const std::string& text) {
  try {
    Parse(text);
    return "";
  } catch (const InvalidQuotaConfig& invalid) {
    std::string all;
    for (const QuotaConfigError& error : invalid.errors()) {
      all += fmt::format("{}{}:{}: {}", all.empty() ? "" : "\n", error.line, error.column, error.message);
    }
    return all;
  }
}

inline const std::string kHeader = "book reads 1\ntime zone Europe/Athens\n";
// A configuration of one ration with that statement in line 6, after the required ones.
inline std::string WithStatement(const std::string& statement) {
  return kHeader + "ration r {\n counts everything;\n rate 100 a second; burst 200;\n " + statement + "\n}\n";
}
inline std::string RateAndBurst(double rate, double burst) {
  return fmt::format("rate {} a second; burst {};", rate, burst);
}

}  // namespace peatbend::rations::test

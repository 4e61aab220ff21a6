// Compiles the quota configuration language into a QuotaTable, and formats a table in one canonical form.
// docs/rations.md specifies the language. Does not read clocks; time zones come from the system's tzdata.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "peatbend/balancer.h"
#include "rations/quota_table.h"

namespace peatbend::rations {

// The latest supported version of the language; earlier ones are supported too. Version 2 added 'retire'.
constexpr int kQuotaLanguageVersion = 2;
constexpr std::size_t kMaxQuotaConfigBytes = 1u << 20;
constexpr std::size_t kMaxQuotas = 4096;
constexpr std::size_t kMaxRetiredReaders = 1024;
constexpr std::size_t kMaxRetiredTextBytes = 128;    // of a retired reader's name or reason
constexpr std::size_t kMaxOverridesPerQuota = 1000;  // a daily override counts once for each day
constexpr std::size_t kMaxOverrides = 10'000;        // of all quotas together
constexpr std::size_t kMaxQuotaConfigErrors =
    100;  // reported for one configuration; further ones are dropped

struct QuotaConfigError {
  int line = 1, column = 1;  // both from 1; the column in bytes
  std::string message;       // what is wrong and what was expected
  bool operator==(const QuotaConfigError&) const = default;
};

// Thrown for an invalid configuration; what() has a line "FILE:LINE:COLUMN: message" for each error.
class InvalidQuotaConfig : public std::runtime_error {
 public:
  InvalidQuotaConfig(const std::string& file, std::vector<QuotaConfigError> errors);
  const std::vector<QuotaConfigError>& errors() const { return errors_; }

 private:
  std::vector<QuotaConfigError> errors_;
};

// Throws InvalidQuotaConfig with all errors found, sorted by location; after syntax errors nothing else is
// checked. `file` is used in messages only. `max_language_version`: the latest version to accept, at most
// kQuotaLanguageVersion.
QuotaTable ParseQuotaConfig(std::string_view text, const Settings& settings, const std::string& file,
                            int max_language_version = kQuotaLanguageVersion);

// Returns the canonical form, which is the same for equal tables. ParseQuotaConfig gives an equal table with
// the same fingerprint for it under the same settings. Throws std::out_of_range if the table was made for
// other settings.
std::string FormatQuotaConfig(const QuotaTable& table, const Settings& settings);

}  // namespace peatbend::rations

// The language of a book of rations: from its text to the table that the program uses, and back in one
// canonical form. docs/rations.md says what each statement means. Free of clocks; time zones are read from
// the system's tzdata.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "peatbend/balancer.h"
#include "rations/quota_table.h"

namespace peatbend::rations {

// The last version of the language that this program reads; it reads those before it too. 2: 'retire'.
constexpr int kQuotaLanguageVersion = 2;
constexpr std::size_t kMaxQuotaConfigBytes = 1u << 20;
constexpr std::size_t kMaxQuotas = 4096;
constexpr std::size_t kMaxRetiredReaders = 1024,
                      kMaxRetiredTextBytes = 128;    // readers; bytes of a name or reason
constexpr std::size_t kMaxOverridesPerQuota = 1000;  // of one ration, daily hours counted by the day
constexpr std::size_t kMaxOverrides = 10'000;        // of all
constexpr std::size_t kMaxQuotaConfigErrors = 100;   // told of one book; the others are dropped

struct QuotaConfigError {
  int line = 1, column = 1;  // both from 1; the column in bytes
  std::string message;       // what is wrong and what was expected
  bool operator==(const QuotaConfigError&) const = default;
};

// A book that is refused; what() has a line for each error: FILE:LINE:COLUMN: what.
class InvalidQuotaConfig : public std::runtime_error {
 public:
  InvalidQuotaConfig(const std::string& file, std::vector<QuotaConfigError> errors);
  const std::vector<QuotaConfigError>& errors() const { return errors_; }

 private:
  std::vector<QuotaConfigError> errors_;
};

// Throws BookRefused with every error found, in the order of their places; where the text does not follow the
// grammar, with those errors alone. `file` is only for the messages. `reads`: the last version of the
// language that is taken, kBookReads at the most.
QuotaTable ParseQuotaConfig(std::string_view text, const Settings& settings, const std::string& file,
                            int reads = kQuotaLanguageVersion);

// The canonical form: equal for equal tables, whatever they were read from. ReadBook gives the same table and
// print for it under the same settings. Throws std::out_of_range for a table of other settings.
std::string FormatQuotaConfig(const QuotaTable& table, const Settings& settings);

}  // namespace peatbend::rations

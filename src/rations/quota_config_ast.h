// The abstract syntax tree of a quota configuration: the parser's output and the compiler's input. Names are
// not resolved yet, and every node keeps its source location for error messages. Internal to the
// quota_config* files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rations/quota_config.h"

namespace peatbend::rations::book {

struct SourceLocation {
  int line = 1, column = 1;
};
struct LocatedText {
  SourceLocation location;
  std::string text;
};
struct LocatedNumber {
  SourceLocation location;
  double value = 0;
};
struct Date {
  SourceLocation location;
  int year = 0, month = 0, day = 0;
};
struct TimeOfDay {  // local time
  SourceLocation location;
  int hour = 0, minute = 0, second = 0;
};

// The items of a `counts` statement.
enum class SelectorKind : std::uint8_t {
  kEverything,
  kReads,
  kWrites,
  kFirstTries,
  kRetries,
  kClasses,
  kTenants,
  kEachTenant,
  kEachClass,
  kEachClient,
  kEachKeyPrefix
};
struct Selector {
  SelectorKind kind{};
  SourceLocation location;
  std::vector<LocatedText> names;  // of kClasses, kTenants
  LocatedNumber prefix_length;     // of kEachKeyPrefix, in characters
};

enum class StatementKind : std::uint8_t {
  kCounts,
  kRate,
  kBurst,
  kHard,
  kSoft,
  kBorrows,
  kOverLimit,
  kPeriod,  // this and the kinds below override the rate
  kUntil,
  kDaily,
  kWhile
};
struct Statement {
  StatementKind kind{};
  SourceLocation location;
  std::vector<Selector> selectors;
  LocatedNumber rate, burst;     // rate: tokens per second
  std::vector<Date> dates;       // kPeriod: start and, if given, end; kUntil: end; kDaily: first and last day
  std::vector<TimeOfDay> times;  // kPeriod, kUntil: of the dates above; kDaily: start and end on each day
  unsigned conditions = kNoCondition;
  WhenUnreachable when_unreachable{};
  OverLimitAction over_limit{};
};

struct QuotaDefinition {
  LocatedText name;
  std::optional<LocatedText> parent;
  std::vector<Statement> statements;
};

struct RetireDefinition {
  LocatedText reader, reason;
  std::uint64_t statement = 0;
};

struct QuotaConfigAst {
  int language_version = 1;
  std::optional<LocatedText> time_zone;
  std::vector<RetireDefinition> retired_readers;
  std::vector<QuotaDefinition> quotas;
};

// Collects the errors of a configuration; keeps the first kMaxQuotaConfigErrors.
class ErrorList {
 public:
  bool full() const { return entries.size() >= kMaxQuotaConfigErrors; }
  void Add(SourceLocation location, std::string message) {
    ++total;
    if (!full()) entries.push_back({location.line, location.column, std::move(message)});
  }
  std::vector<QuotaConfigError> entries;
  std::size_t total = 0;  // including the errors that were not kept
};

// Checks the syntax only. The result is valid only if no error was added.
QuotaConfigAst ParseAst(std::string_view text, ErrorList& errors, int max_language_version);

// QuotaTable::fingerprint of a table with that canonical form; never 0.
std::uint64_t FingerprintOf(const QuotaTable& table, const Settings& settings, const std::string& canonical);

}  // namespace peatbend::rations::book

// A book as it is written: statements with their places, names not resolved. Between the grammar and the
// compiler; of no use to others.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rations/quota_config.h"

namespace peatbend::rations::book {

struct Place {
  int line = 1, column = 1;
};
struct Word {
  Place at;
  std::string text;
};
struct Amount {
  Place at;
  double value = 0;
};
struct Day {
  Place at;
  int year = 0, month = 0, day = 0;
};
struct Hour {  // of a day, on a clock on the wall
  Place at;
  int hour = 0, minute = 0, second = 0;
};

enum class Item : std::uint8_t {
  kEverything,
  kReads,
  kWrites,
  kFirsts,
  kRepeats,
  kClasses,
  kTenants,
  kEachTenant,
  kEachClass,
  kEachClient,
  kEachKeyGroup
};
struct Counted {
  Item item{};
  Place at;
  std::vector<Word> names;  // of kClasses, kTenants
  Amount characters;        // of kEachKeyGroup
};

enum class Says : std::uint8_t {
  kCounts,
  kRate,
  kBurst,
  kHard,
  kSoft,
  kBorrows,
  kOver,
  kPeriod,
  kUntil,
  kDaily,
  kWhile
};
struct Statement {
  Says says{};
  Place at;
  std::vector<Counted> counted;
  Amount rate, burst;       // rate: tokens a second
  std::vector<Day> days;    // kPeriod: from, to; kUntil: to; kDaily: the first and the last
  std::vector<Hour> hours;  // the same
  unsigned signs = kNoCondition;
  WhenUnreachable alone{};
  OverLimitAction over{};
};

struct RationText {
  Word name;
  std::optional<Word> inside;
  std::vector<Statement> statements;
};

struct RetiredText {
  Word reader, why;
  std::uint64_t statement = 0;
};

struct BookText {
  int reads = 1;
  std::optional<Word> zone;
  std::vector<RetiredText> retired;
  std::vector<RationText> rations;
};

// What is found wrong, kMostBookErrors at the most.
class Faults {
 public:
  bool full() const { return list.size() >= kMaxQuotaConfigErrors; }
  void Add(Place at, std::string what) {
    ++found;
    if (!full()) list.push_back({at.line, at.column, std::move(what)});
  }
  std::vector<QuotaConfigError> list;
  std::size_t found = 0;  // with those that are not in the list
};

// By the grammar alone. What comes back is of use only if there are no faults.
BookText ParseBook(std::string_view text, Faults& faults, int reads);

// Table::print of a table with that canonical form; never 0.
std::uint64_t FingerprintOf(const QuotaTable& table, const Settings& settings, const std::string& canonical);

}  // namespace peatbend::rations::book

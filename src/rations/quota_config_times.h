// Local times of a book's time zone as Unix time, by the system's tzdata.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "rations/quota_config_ast.h"

namespace date {
class time_zone;
}

namespace peatbend::rations::book {

// tzdata as it is installed lists changes of clocks up to then; without them later times would be off.
constexpr int kFirstYear = 1970, kLastYear = 2037;

class Zone {
 public:
  // Null if there is none of that name.
  static std::optional<Zone> Named(const std::string& name);
  static std::vector<std::string> Names();

  // A local time that clocks put forward leave out is the moment at which they are; of two that are the same
  // since clocks were put back, it is the first. The hour may be 24:00.
  std::int64_t UnixOf(const Day& day, const Hour& hour) const;

 private:
  explicit Zone(const date::time_zone* zone) : zone_(zone) {}
  const date::time_zone* zone_;  // lives as long as the process; null: UTC
};

bool IsDay(const Day& day);
Day DayAfter(const Day& day);
// "2027-04-26 06:00", in UTC, with seconds if there are any.
std::string UtcText(std::int64_t unix_s);

}  // namespace peatbend::rations::book

// Converts local dates and times of a quota configuration's time zone to Unix time, using the system's
// tzdata.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "rations/quota_config_ast.h"

namespace date {
class time_zone;
}

namespace peatbend::rations::book {

// The installed tzdata lists clock changes up to 2037 only; later times would be off by them.
constexpr int kFirstYear = 1970, kLastYear = 2037;

class TimeZone {
 public:
  // Returns nothing if the name is unknown.
  static std::optional<TimeZone> Find(const std::string& name);
  static std::vector<std::string> AllNames();

  // A local time skipped when clocks are put forward maps to the moment of the change. Of the two moments
  // with the same local time when clocks are put back, returns the first. The time may be 24:00.
  std::int64_t ToUnixSeconds(const Date& day, const TimeOfDay& time) const;

 private:
  explicit TimeZone(const date::time_zone* zone) : zone_(zone) {}
  const date::time_zone* zone_;  // static lifetime; null: UTC
};

bool IsValidDate(const Date& day);
Date NextDate(const Date& day);
// Formats as "2027-04-26 06:00" in UTC, with seconds only if they are not 0.
std::string FormatUtc(std::int64_t unix_s);

}  // namespace peatbend::rations::book

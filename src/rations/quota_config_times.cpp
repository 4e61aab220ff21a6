#include "rations/quota_config_times.h"

#include <date/tz.h>
#include <fmt/format.h>

#include <chrono>
#include <stdexcept>

namespace peatbend::rations::book {
namespace {

using std::chrono::seconds;

date::year_month_day ToYearMonthDay(const Date& day) {
  return date::year{day.year} / static_cast<unsigned>(day.month) / static_cast<unsigned>(day.day);
}

}  // namespace

std::optional<TimeZone> TimeZone::Find(const std::string& name) {
  if (name == "UTC") return TimeZone(nullptr);  // does not need tzdata
  try {
    const date::time_zone* zone = date::locate_zone(name);
    zone->get_info(date::sys_seconds{});  // loads the zone file, which may fail
    return TimeZone(zone);
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

std::vector<std::string> TimeZone::AllNames() {
  std::vector<std::string> names;
  try {
    for (const auto& zone : date::get_tzdb().zones) names.push_back(zone.name());
  } catch (const std::runtime_error&) {
    // No tzdata is installed: no zone is known.
  }
  return names;
}

std::int64_t TimeZone::ToUnixSeconds(const Date& day, const TimeOfDay& time) const {
  date::local_seconds local =
      date::local_days(ToYearMonthDay(day)) + seconds(time.hour * 3600 + time.minute * 60 + time.second);
  if (zone_ == nullptr) return local.time_since_epoch().count();
  date::local_info info = zone_->get_info(local);
  if (info.result == date::local_info::nonexistent) return info.first.end.time_since_epoch().count();
  return (local.time_since_epoch() - info.first.offset).count();
}

bool IsValidDate(const Date& day) {
  return day.year >= kFirstYear && day.year <= kLastYear && ToYearMonthDay(day).ok();
}

Date NextDate(const Date& day) {
  date::year_month_day next = date::sys_days(ToYearMonthDay(day)) + date::days(1);
  return {day.location, static_cast<int>(next.year()), static_cast<int>(static_cast<unsigned>(next.month())),
          static_cast<int>(static_cast<unsigned>(next.day()))};
}

std::string FormatUtc(std::int64_t unix_s) {
  date::sys_seconds at{seconds(unix_s)};
  auto days = date::floor<date::days>(at);
  date::year_month_day day(days);
  date::hh_mm_ss<seconds> time(at - days);
  std::string text = fmt::format("{:04}-{:02}-{:02} {:02}:{:02}", static_cast<int>(day.year()),
                                 static_cast<unsigned>(day.month()), static_cast<unsigned>(day.day()),
                                 time.hours().count(), time.minutes().count());
  if (time.seconds().count() != 0) text += fmt::format(":{:02}", time.seconds().count());
  return text;
}

}  // namespace peatbend::rations::book

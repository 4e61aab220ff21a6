#include "rations/quota_config_times.h"

#include <date/tz.h>
#include <fmt/format.h>

#include <chrono>
#include <stdexcept>

namespace peatbend::rations::book {
namespace {

using std::chrono::seconds;

date::year_month_day DateOf(const Day& day) {
  return date::year{day.year} / static_cast<unsigned>(day.month) / static_cast<unsigned>(day.day);
}

}  // namespace

std::optional<Zone> Zone::Named(const std::string& name) {
  if (name == "UTC") return Zone(nullptr);  // needs no tzdata
  try {
    const date::time_zone* zone = date::locate_zone(name);
    zone->get_info(date::sys_seconds{});  // reads its file
    return Zone(zone);
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

std::vector<std::string> Zone::Names() {
  std::vector<std::string> names;
  try {
    for (const auto& zone : date::get_tzdb().zones) names.push_back(zone.name());
  } catch (const std::runtime_error&) {
    // No tzdata: none is known.
  }
  return names;
}

std::int64_t Zone::UnixOf(const Day& day, const Hour& hour) const {
  date::local_seconds local =
      date::local_days(DateOf(day)) + seconds(hour.hour * 3600 + hour.minute * 60 + hour.second);
  if (zone_ == nullptr) return local.time_since_epoch().count();
  date::local_info info = zone_->get_info(local);
  if (info.result == date::local_info::nonexistent) return info.first.end.time_since_epoch().count();
  return (local.time_since_epoch() - info.first.offset).count();
}

bool IsDay(const Day& day) { return day.year >= kFirstYear && day.year <= kLastYear && DateOf(day).ok(); }

Day DayAfter(const Day& day) {
  date::year_month_day next = date::sys_days(DateOf(day)) + date::days(1);
  return {day.at, static_cast<int>(next.year()), static_cast<int>(static_cast<unsigned>(next.month())),
          static_cast<int>(static_cast<unsigned>(next.day()))};
}

std::string UtcText(std::int64_t unix_s) {
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

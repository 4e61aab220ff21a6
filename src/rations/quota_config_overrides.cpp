#include "rations/quota_config_overrides.h"

#include <fmt/format.h>

#include "rations/quota_config_names.h"

namespace peatbend::rations::book {
namespace {

constexpr double kMinRate = 0.0001, kMaxRate = 1e9, kMaxBurst = 1e9;

}  // namespace

OverrideCompiler::OverrideCompiler(const std::optional<LocatedText>& time_zone, ErrorList& errors)
    : errors_(errors) {
  std::string name = time_zone ? time_zone->text : "UTC";
  time_zone_ = TimeZone::Find(name);
  if (!time_zone_)
    errors_.Add(time_zone ? time_zone->location : SourceLocation{},
                UnknownNameMessage("time zone", name, TimeZone::AllNames()));
}

double OverrideCompiler::CheckedRate(const LocatedNumber& rate) {
  if (!(rate.value >= kMinRate && rate.value <= kMaxRate)) {
    errors_.Add(rate.location,
                fmt::format("a rate above 0 expected, from {} to {:.0f} a second", kMinRate, kMaxRate));
  }
  return rate.value;
}
double OverrideCompiler::CheckedBurst(const LocatedNumber& burst) {
  if (!(burst.value >= 1 && burst.value <= kMaxBurst)) {
    errors_.Add(burst.location, fmt::format("a burst of 1 or more expected, up to {:.0f}", kMaxBurst));
  }
  return burst.value;
}

bool OverrideCompiler::CheckTimes(const Statement& statement) {
  bool valid = time_zone_.has_value();
  for (const Date& day : statement.dates) {
    if (IsValidDate(day)) continue;
    valid = false;
    errors_.Add(day.location,
                fmt::format("no such day; a date in the years {} to {} expected", kFirstYear, kLastYear));
  }
  for (const TimeOfDay& time : statement.times) {
    bool midnight = time.hour == 24 && time.minute == 0 && time.second == 0;
    if (midnight || (time.hour < 24 && time.minute < 60 && time.second < 60)) continue;
    valid = false;
    errors_.Add(time.location, "no such time of day; 00:00 to 24:00 expected");
  }
  return valid;
}

bool OverrideCompiler::Add(const Statement& statement, Quota& quota, QuotaLocations& locations) {
  RateOverride rate_override{.conditions = statement.conditions,
                             .rate = {CheckedRate(statement.rate), CheckedBurst(statement.burst)}};
  if (!CheckTimes(statement)) return true;
  const std::vector<Date>& dates = statement.dates;
  const std::vector<TimeOfDay>& times = statement.times;
  if (statement.kind == StatementKind::kUntil) {
    rate_override.to_s = time_zone_->ToUnixSeconds(dates[0], times[0]);
  } else if (statement.kind == StatementKind::kPeriod) {
    rate_override.from_s = time_zone_->ToUnixSeconds(dates[0], times[0]);
    if (dates.size() > 1) {
      rate_override.to_s = time_zone_->ToUnixSeconds(dates[1], times[1]);
      if (rate_override.to_s <= rate_override.from_s) {
        errors_.Add(dates[1].location, "the period does not end after it begins; a later end expected");
        return true;
      }
    }
  } else if (statement.kind == StatementKind::kDaily) {
    return AddDaily(statement, rate_override, quota, locations);
  }
  return AddOne(statement, rate_override, quota, locations);
}

bool OverrideCompiler::AddOne(const Statement& statement, const RateOverride& rate_override, Quota& quota,
                              QuotaLocations& locations) {
  if (quota.overrides.size() == kMaxOverridesPerQuota || total_overrides_ == kMaxOverrides) {
    errors_.Add(statement.location,
                fmt::format("too many changes, with one for each day of daily hours; at most {} of a ration "
                            "and {} of a book expected",
                            kMaxOverridesPerQuota, kMaxOverrides));
    return false;
  }
  ++total_overrides_;
  quota.overrides.push_back(rate_override);
  locations.overrides.push_back({statement.location, statement.rate.location, statement.burst.location});
  return true;
}

bool OverrideCompiler::AddDaily(const Statement& statement, RateOverride rate_override, Quota& quota,
                                QuotaLocations& locations) {
  const TimeOfDay &from = statement.times[0], &to = statement.times[1];
  auto seconds = [](const TimeOfDay& h) { return (h.hour * 60 + h.minute) * 60 + h.second; };
  auto ordinal = [](const Date& d) { return (d.year * 16 + d.month) * 32 + d.day; };
  if (seconds(to) <= seconds(from)) {
    errors_.Add(to.location, "the hours do not end after they begin; a later end expected, up to 24:00");
    return true;
  }
  if (ordinal(statement.dates[1]) < ordinal(statement.dates[0])) {
    errors_.Add(statement.dates[1].location,
                "the days end before they begin; the same day or a later one expected");
    return true;
  }
  bool added = false;
  for (Date day = statement.dates[0]; ordinal(day) <= ordinal(statement.dates[1]); day = NextDate(day)) {
    rate_override.from_s = time_zone_->ToUnixSeconds(day, from);
    rate_override.to_s = time_zone_->ToUnixSeconds(day, to);
    if (rate_override.to_s <= rate_override.from_s) continue;  // the change of clocks skips all of it
    added = true;
    if (!AddOne(statement, rate_override, quota, locations)) return false;
  }
  if (!added)
    errors_.Add(from.location,
                "clocks are put forward over these hours on each of the days; other hours expected");
  return true;
}

}  // namespace peatbend::rations::book

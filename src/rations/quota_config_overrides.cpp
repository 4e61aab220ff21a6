#include "rations/quota_config_overrides.h"

#include <fmt/format.h>

#include "rations/quota_config_names.h"

namespace peatbend::rations::book {
namespace {

constexpr double kLeastRate = 0.0001, kMostRate = 1e9, kMostBurst = 1e9;

}  // namespace

ChangeReader::ChangeReader(const std::optional<Word>& zone, Faults& faults) : faults_(faults) {
  std::string name = zone ? zone->text : "UTC";
  zone_ = Zone::Named(name);
  if (!zone_) faults_.Add(zone ? zone->at : Place{}, UnknownName("time zone", name, Zone::Names()));
}

double ChangeReader::Rate(const Amount& amount) {
  if (!(amount.value >= kLeastRate && amount.value <= kMostRate)) {
    faults_.Add(amount.at,
                fmt::format("a rate above 0 expected, from {} to {:.0f} a second", kLeastRate, kMostRate));
  }
  return amount.value;
}
double ChangeReader::Burst(const Amount& amount) {
  if (!(amount.value >= 1 && amount.value <= kMostBurst)) {
    faults_.Add(amount.at, fmt::format("a burst of 1 or more expected, up to {:.0f}", kMostBurst));
  }
  return amount.value;
}

bool ChangeReader::GoodTimes(const Statement& statement) {
  bool good = zone_.has_value();
  for (const Day& day : statement.days) {
    if (IsDay(day)) continue;
    good = false;
    faults_.Add(day.at,
                fmt::format("no such day; one of the years {} to {} expected", kFirstYear, kLastYear));
  }
  for (const Hour& hour : statement.hours) {
    bool end = hour.hour == 24 && hour.minute == 0 && hour.second == 0;
    if (end || (hour.hour < 24 && hour.minute < 60 && hour.second < 60)) continue;
    good = false;
    faults_.Add(hour.at, "no such time of day; 00:00 to 24:00 expected");
  }
  return good;
}

bool ChangeReader::Add(const Statement& statement, Quota& ration, RationPlaces& places) {
  RateOverride change{.conditions = statement.signs, .rate = {Rate(statement.rate), Burst(statement.burst)}};
  if (!GoodTimes(statement)) return true;
  const std::vector<Day>& days = statement.days;
  const std::vector<Hour>& hours = statement.hours;
  if (statement.says == Says::kUntil) {
    change.to_s = zone_->UnixOf(days[0], hours[0]);
  } else if (statement.says == Says::kPeriod) {
    change.from_s = zone_->UnixOf(days[0], hours[0]);
    if (days.size() > 1) {
      change.to_s = zone_->UnixOf(days[1], hours[1]);
      if (change.to_s <= change.from_s) {
        faults_.Add(days[1].at, "the time ends before it begins, or as it does; a later end expected");
        return true;
      }
    }
  } else if (statement.says == Says::kDaily) {
    return AddDaily(statement, change, ration, places);
  }
  return AddOne(statement, change, ration, places);
}

bool ChangeReader::AddOne(const Statement& statement, const RateOverride& change, Quota& ration,
                          RationPlaces& places) {
  if (ration.overrides.size() == kMaxOverridesPerQuota || changes_ == kMaxOverrides) {
    faults_.Add(statement.at,
                fmt::format("too many changes, daily hours counted by the day; at most {} of a ration "
                            "and {} of a book expected",
                            kMaxOverridesPerQuota, kMaxOverrides));
    return false;
  }
  ++changes_;
  ration.overrides.push_back(change);
  places.changes.push_back({statement.at, statement.rate.at, statement.burst.at});
  return true;
}

bool ChangeReader::AddDaily(const Statement& statement, RateOverride change, Quota& ration,
                            RationPlaces& places) {
  const Hour &from = statement.hours[0], &to = statement.hours[1];
  auto clock = [](const Hour& h) { return (h.hour * 60 + h.minute) * 60 + h.second; };
  auto date = [](const Day& d) { return (d.year * 16 + d.month) * 32 + d.day; };
  if (clock(to) <= clock(from)) {
    faults_.Add(to.at, "the hours end before they begin, or as they do; a later end expected, up to 24:00");
    return true;
  }
  if (date(statement.days[1]) < date(statement.days[0])) {
    faults_.Add(statement.days[1].at, "the days end before they begin; the same day or a later one expected");
    return true;
  }
  bool any = false;
  for (Day day = statement.days[0]; date(day) <= date(statement.days[1]); day = DayAfter(day)) {
    change.from_s = zone_->UnixOf(day, from);
    change.to_s = zone_->UnixOf(day, to);
    if (change.to_s <= change.from_s) continue;  // clocks are put forward over all of it
    any = true;
    if (!AddOne(statement, change, ration, places)) return false;
  }
  if (!any) faults_.Add(from.at, "clocks are put forward over these hours; hours that there are expected");
  return true;
}

}  // namespace peatbend::rations::book

#include "rations/quota_config_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>

#include "rations/quota_config_times.h"

namespace peatbend::rations::book {
namespace {

// Returns the first element that both sorted lists have, or -1 if there is none. An empty list stands for all
// elements: the result is the first element of the other list then, or -2 if both are empty.
int FirstCommon(const std::vector<int>& a, const std::vector<int>& b) {
  if (a.empty() || b.empty()) return !a.empty() ? a[0] : !b.empty() ? b[0] : -2;
  for (std::size_t i = 0, j = 0; i < a.size() && j < b.size();) {
    if (a[i] == b[j]) return a[i];
    a[i] < b[j] ? ++i : ++j;
  }
  return -1;
}

// Describes a request that both quotas count; empty if there is none.
std::string DescribeCommonRequest(const Quota& a, const Quota& b, const Settings& settings) {
  if (a.access != AccessKind::kAny && b.access != AccessKind::kAny && a.access != b.access) return "";
  if (a.try_kind != TryKind::kAny && b.try_kind != TryKind::kAny && a.try_kind != b.try_kind) return "";
  int cls = FirstCommon(a.classes, b.classes), tenant = FirstCommon(a.tenants, b.tenants);
  if (cls == -1 || tenant == -1) return "";
  bool write = a.access == AccessKind::kWrites || b.access == AccessKind::kWrites;
  bool retry = a.try_kind == TryKind::kRetry || b.try_kind == TryKind::kRetry;
  std::string text = fmt::format("a {} {}", retry ? "repeated" : "first", write ? "write" : "read");
  text += cls >= 0 ? fmt::format(" of class '{}'", settings.classes[cls].name) : " of any class";
  return text + (tenant >= 0 ? fmt::format(" of franchisee '{}'", settings.tenants[tenant].name)
                             : " of any franchisee");
}

class Checker {
 public:
  Checker(const QuotaTable& table, const std::vector<QuotaLocations>& locations,
          const std::vector<bool>& error_free, const Settings& settings, ErrorList& errors)
      : quotas_(table.quotas),
        locations_(locations),
        error_free_(error_free),
        settings_(settings),
        errors_(errors) {}

  void Check() {
    for (std::size_t i = 0; i < quotas_.size(); ++i) {
      const Quota& quota = quotas_[i];
      double inf = std::numeric_limits<double>::infinity();
      TokenRate unlimited{inf, inf};
      parent_rates_.push_back(quota.parent < 0 ? unlimited : max_rates_[quota.parent]);
      TokenRate max_rate = quota.rate;
      for (const RateOverride& rate_override : quota.overrides) {
        max_rate.per_second = std::max(max_rate.per_second, rate_override.rate.per_second);
        max_rate.burst = std::max(max_rate.burst, rate_override.rate.burst);
      }
      max_rates_.push_back(quota.borrows ? parent_rates_.back() : max_rate);
      if (error_free_[i]) CheckOverrides(i);
      if (!error_free_[i] || quota.parent < 0 || !error_free_[quota.parent]) continue;
      if (!quota.borrows) CheckRatesWithinParent(i);
      CheckParentReachable(i);
    }
    CheckNesting();
  }

 private:
  void CheckRatesWithinParent(std::size_t i) {
    auto check = [&](const TokenRate& rate, const RateLocations& location) {
      const std::string& parent = quotas_[quotas_[i].parent].name;
      if (rate.per_second > parent_rates_[i].per_second) {
        errors_.Add(location.rate,
                    fmt::format("the rate is larger than '{}', which '{}' is inside of, ever gives ({} a "
                                "second); at most that expected, or 'borrows'",
                                parent, quotas_[i].name, parent_rates_[i].per_second));
      }
      if (rate.burst > parent_rates_[i].burst) {
        errors_.Add(location.burst,
                    fmt::format("the burst is larger than that of '{}', which '{}' is inside of, ever is "
                                "({}); at most that expected, or 'borrows'",
                                parent, quotas_[i].name, parent_rates_[i].burst));
      }
    };
    check(quotas_[i].rate, locations_[i].rate);
    for (std::size_t c = 0; c < quotas_[i].overrides.size(); ++c) {
      check(quotas_[i].overrides[c].rate, locations_[i].overrides[c]);
    }
  }

  // The parent has no effect if this quota counts the same requests in the same buckets and never admits more
  // than the parent does.
  void CheckParentReachable(std::size_t i) {
    const Quota& quota = quotas_[i];
    const Quota& parent = quotas_[quota.parent];
    if (quota.tenants != parent.tenants || quota.classes != parent.classes || quota.access != parent.access ||
        quota.try_kind != parent.try_kind || quota.bucket_key != parent.bucket_key ||
        quota.key_prefix_length != parent.key_prefix_length) {
      return;
    }
    if (quota.borrows || quota.over_limit != OverLimitAction::kReject ||
        (!quota.hard && quota.when_unreachable != WhenUnreachable::kReject))
      return;
    TokenRate min_rate = parent.rate;
    for (const RateOverride& rate_override : parent.overrides) {
      min_rate.per_second = std::min(min_rate.per_second, rate_override.rate.per_second);
      min_rate.burst = std::min(min_rate.burst, rate_override.rate.burst);
    }
    if (max_rates_[i].per_second > min_rate.per_second || max_rates_[i].burst > min_rate.burst) return;
    errors_.Add(
        locations_[i].name,
        fmt::format(
            "'{}' counts the same requests as '{}', into the same buckets, and never gives more, so '{}' "
            "has no effect; other requests or other buckets expected, or one ration of the two",
            quota.name, parent.name, parent.name));
  }

  void CheckOverrides(std::size_t i) {
    const std::vector<RateOverride>& overrides = quotas_[i].overrides;
    std::vector<std::size_t> order(overrides.size());
    std::iota(order.begin(), order.end(), 0u);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return std::pair(overrides[a].conditions, overrides[a].from_s) <
             std::pair(overrides[b].conditions, overrides[b].from_s);
    });
    std::vector<bool> reported(overrides.size());
    // Of the preceding overrides with the same conditions, the one that ends last.
    std::size_t latest_end = 0;
    for (std::size_t n = 1; n < order.size(); ++n) {
      std::size_t a = order[latest_end], b = order[n];
      if (overrides[a].conditions == overrides[b].conditions && overrides[a].to_s > overrides[b].from_s) {
        std::size_t later = std::max(a, b), earlier = std::min(a, b);
        reported[later] = true;
        SourceLocation other = locations_[i].overrides[earlier].location;
        errors_.Add(locations_[i].overrides[later].location,
                    fmt::format("the time overlaps that of the change at line {}, column {}, under the same "
                                "conditions; separate times expected",
                                other.line, other.column));
      }
      if (overrides[a].conditions != overrides[b].conditions || overrides[b].to_s >= overrides[a].to_s)
        latest_end = n;
    }
    for (std::size_t b = 1; b < overrides.size(); ++b) {
      for (std::size_t a = 0; a < b && !reported[b]; ++a) {
        const RateOverride &first = overrides[a], &second = overrides[b];
        if (first.conditions == second.conditions || (first.conditions & ~second.conditions) != 0) continue;
        if (first.from_s > second.from_s || first.to_s < second.to_s) continue;
        reported[b] = true;
        SourceLocation other = locations_[i].overrides[a].location;
        errors_.Add(
            locations_[i].overrides[b].location,
            fmt::format(
                "never in force: the change at line {}, column {} holds whenever this one would, and the "
                "first that holds counts; this one before it expected",
                other.line, other.column));
      }
    }
  }

  // Two quotas that count one request must be nested. A quota's requests are counted by its parents too, so
  // only quotas with the same parent need to be compared.
  void CheckNesting() {
    std::map<int, std::vector<std::size_t>> siblings_by_parent;
    for (std::size_t i = 0; i < quotas_.size(); ++i) {
      if (error_free_[i]) siblings_by_parent[quotas_[i].parent].push_back(i);
    }
    for (const auto& [parent, siblings] : siblings_by_parent) {
      for (std::size_t b = 1; b < siblings.size(); ++b) {
        for (std::size_t a = 0; a < b; ++a) {
          const Quota &first = quotas_[siblings[a]], &second = quotas_[siblings[b]];
          std::string common = DescribeCommonRequest(first, second, settings_);
          if (common.empty()) continue;
          errors_.Add(
              locations_[siblings[b]].name,
              fmt::format(
                  "'{}' and '{}' (line {}) may both count one request, such as {}, and neither is inside the "
                  "other; one inside the other expected, or disjoint requests",
                  second.name, first.name, locations_[siblings[a]].name.line, common));
          break;
        }
        if (errors_.full()) return;
      }
    }
  }

  const std::vector<Quota>& quotas_;
  const std::vector<QuotaLocations>& locations_;
  const std::vector<bool>& error_free_;
  const Settings& settings_;
  ErrorList& errors_;
  std::vector<TokenRate> max_rates_, parent_rates_;  // of each quota, including overrides; of its parent
};

}  // namespace

void CheckQuotaTable(const QuotaTable& table, const std::vector<QuotaLocations>& locations,
                     const std::vector<bool>& error_free, const Settings& settings, ErrorList& errors) {
  Checker(table, locations, error_free, settings, errors).Check();
}

}  // namespace peatbend::rations::book

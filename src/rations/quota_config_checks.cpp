#include "rations/quota_config_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>

#include "rations/quota_config_times.h"

namespace peatbend::rations::book {
namespace {

// The first number that both lists have; -1 if there is none. An empty list has all: then the other's first,
// or -2 if both have all.
int Shared(const std::vector<int>& a, const std::vector<int>& b) {
  if (a.empty() || b.empty()) return !a.empty() ? a[0] : !b.empty() ? b[0] : -2;
  for (std::size_t i = 0, j = 0; i < a.size() && j < b.size();) {
    if (a[i] == b[j]) return a[i];
    a[i] < b[j] ? ++i : ++j;
  }
  return -1;
}

// A request that both count, in words; empty if there is none.
std::string Both(const Quota& a, const Quota& b, const Settings& settings) {
  if (a.access != AccessKind::kAny && b.access != AccessKind::kAny && a.access != b.access) return "";
  if (a.try_kind != TryKind::kAny && b.try_kind != TryKind::kAny && a.try_kind != b.try_kind) return "";
  int cls = Shared(a.classes, b.classes), tenant = Shared(a.tenants, b.tenants);
  if (cls == -1 || tenant == -1) return "";
  bool write = a.access == AccessKind::kWrites || b.access == AccessKind::kWrites;
  bool repeat = a.try_kind == TryKind::kRetry || b.try_kind == TryKind::kRetry;
  std::string text = fmt::format("a {} {}", repeat ? "repeated" : "first", write ? "write" : "read");
  text += cls >= 0 ? fmt::format(" of class '{}'", settings.classes[cls].name) : " of any class";
  return text + (tenant >= 0 ? fmt::format(" of franchisee '{}'", settings.tenants[tenant].name)
                             : " of any franchisee");
}

class Checker {
 public:
  Checker(const QuotaTable& table, const std::vector<RationPlaces>& places, const std::vector<bool>& whole,
          const Settings& settings, Faults& faults)
      : rations_(table.quotas), places_(places), whole_(whole), settings_(settings), faults_(faults) {}

  void Check() {
    for (std::size_t i = 0; i < rations_.size(); ++i) {
      const Quota& r = rations_[i];
      double inf = std::numeric_limits<double>::infinity();
      TokenRate none{inf, inf};
      above_.push_back(r.parent < 0 ? none : most_[r.parent]);
      TokenRate most = r.rate;
      for (const RateOverride& change : r.overrides) {
        most.per_second = std::max(most.per_second, change.rate.per_second);
        most.burst = std::max(most.burst, change.rate.burst);
      }
      most_.push_back(r.borrows ? above_.back() : most);
      if (whole_[i]) CheckChanges(i);
      if (!whole_[i] || r.parent < 0 || !whole_[r.parent]) continue;
      if (!r.borrows) CheckAmounts(i);
      CheckUseful(i);
    }
    CheckOrder();
  }

 private:
  void CheckAmounts(std::size_t i) {
    auto check = [&](const TokenRate& pace, const PacePlace& at) {
      const std::string& above = rations_[rations_[i].parent].name;
      if (pace.per_second > above_[i].per_second) {
        faults_.Add(at.rate,
                    fmt::format("the rate is larger than '{}', which '{}' is inside of, ever gives ({} a "
                                "second); at most that expected, or 'borrows'",
                                above, rations_[i].name, above_[i].per_second));
      }
      if (pace.burst > above_[i].burst) {
        faults_.Add(at.burst,
                    fmt::format("the burst is larger than that of '{}', which '{}' is inside of, ever is "
                                "({}); at most that expected, or 'borrows'",
                                above, rations_[i].name, above_[i].burst));
      }
    };
    check(rations_[i].rate, places_[i].pace);
    for (std::size_t c = 0; c < rations_[i].overrides.size(); ++c) {
      check(rations_[i].overrides[c].rate, places_[i].changes[c]);
    }
  }

  // The ration around is of no effect if all its requests meet this one first, in the same buckets, and this
  // one never lets through more than it does.
  void CheckUseful(std::size_t i) {
    const Quota& in = rations_[i];
    const Quota& around = rations_[in.parent];
    if (in.tenants != around.tenants || in.classes != around.classes || in.access != around.access ||
        in.try_kind != around.try_kind || in.bucket_key != around.bucket_key ||
        in.key_prefix_length != around.key_prefix_length) {
      return;
    }
    if (in.borrows || in.over_limit != OverLimitAction::kReject ||
        (!in.hard && in.when_unreachable != WhenUnreachable::kReject))
      return;
    TokenRate least = around.rate;
    for (const RateOverride& change : around.overrides) {
      least.per_second = std::min(least.per_second, change.rate.per_second);
      least.burst = std::min(least.burst, change.rate.burst);
    }
    if (most_[i].per_second > least.per_second || most_[i].burst > least.burst) return;
    faults_.Add(
        places_[i].name,
        fmt::format(
            "'{}' counts the same requests as '{}', into the same buckets, and never gives more, so '{}' "
            "is never met; other requests or other buckets expected, or one ration of the two",
            in.name, around.name, around.name));
  }

  void CheckChanges(std::size_t i) {
    const std::vector<RateOverride>& changes = rations_[i].overrides;
    std::vector<std::size_t> order(changes.size());
    std::iota(order.begin(), order.end(), 0u);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return std::pair(changes[a].conditions, changes[a].from_s) <
             std::pair(changes[b].conditions, changes[b].from_s);
    });
    std::vector<bool> overlaps(changes.size());
    std::size_t longest = 0;  // of those with the same signs so far, the one that ends last
    for (std::size_t n = 1; n < order.size(); ++n) {
      std::size_t a = order[longest], b = order[n];
      if (changes[a].conditions == changes[b].conditions && changes[a].to_s > changes[b].from_s) {
        std::size_t later = std::max(a, b), earlier = std::min(a, b);
        overlaps[later] = true;
        Place other = places_[i].changes[earlier].at;
        faults_.Add(places_[i].changes[later].at,
                    fmt::format("the time overlaps that of the change at line {}, column {}, under the same "
                                "conditions; times apart expected",
                                other.line, other.column));
      }
      if (changes[a].conditions != changes[b].conditions || changes[b].to_s >= changes[a].to_s) longest = n;
    }
    for (std::size_t b = 1; b < changes.size(); ++b) {
      for (std::size_t a = 0; a < b && !overlaps[b]; ++a) {
        const RateOverride &first = changes[a], &second = changes[b];
        if (first.conditions == second.conditions || (first.conditions & ~second.conditions) != 0) continue;
        if (first.from_s > second.from_s || first.to_s < second.to_s) continue;
        overlaps[b] = true;
        Place other = places_[i].changes[a].at;
        faults_.Add(
            places_[i].changes[b].at,
            fmt::format(
                "never in force: the change at line {}, column {} holds whenever this one would, and the "
                "first that holds counts; this one before it expected",
                other.line, other.column));
      }
    }
  }

  // What two rations both count, the rations around them count too: so it is enough to look at those that are
  // inside of the same one.
  void CheckOrder() {
    std::map<int, std::vector<std::size_t>> inside;
    for (std::size_t i = 0; i < rations_.size(); ++i) {
      if (whole_[i]) inside[rations_[i].parent].push_back(i);
    }
    for (const auto& [around, list] : inside) {
      for (std::size_t b = 1; b < list.size(); ++b) {
        for (std::size_t a = 0; a < b; ++a) {
          const Quota &first = rations_[list[a]], &second = rations_[list[b]];
          std::string both = Both(first, second, settings_);
          if (both.empty()) continue;
          faults_.Add(
              places_[list[b]].name,
              fmt::format(
                  "'{}' and '{}' (line {}) may both count one request, such as {}, and neither is inside the "
                  "other; one inside the other expected, or requests apart",
                  second.name, first.name, places_[list[a]].name.line, both));
          break;
        }
        if (faults_.full()) return;
      }
    }
  }

  const std::vector<Quota>& rations_;
  const std::vector<RationPlaces>& places_;
  const std::vector<bool>& whole_;
  const Settings& settings_;
  Faults& faults_;
  std::vector<TokenRate> most_, above_;  // what each can ever give, and what the one around it can
};

}  // namespace

void CheckTable(const QuotaTable& table, const std::vector<RationPlaces>& places,
                const std::vector<bool>& whole, const Settings& settings, Faults& faults) {
  Checker(table, places, whole, settings, faults).Check();
}

}  // namespace peatbend::rations::book

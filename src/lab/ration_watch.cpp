#include "lab/ration_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace peatbend::lab {
namespace {

using world::FromSeconds;

constexpr std::array<int, 2> kWindowsS = {1, 10};

std::size_t SecondOf(Time at) {
  return static_cast<std::size_t>(std::max(0.0, std::floor(world::Seconds(at))));
}

void Count(std::vector<std::uint32_t>& by_second, Time at) {
  std::size_t second = SecondOf(at);
  if (by_second.size() <= second) by_second.resize(second + 1);
  ++by_second[second];
}

std::uint32_t At(const std::vector<std::uint32_t>& by_second, std::size_t second) {
  return second < by_second.size() ? by_second[second] : 0;
}

bool Among(const std::vector<int>& list, int one) {
  return list.empty() || std::ranges::find(list, one) != list.end();
}

}  // namespace

RationWatch::RationWatch(const Scenario& scenario)
    : scenario_(scenario), limits_(scenario.rations.limits.size()) {}

bool RationWatch::Counts(const Scenario& scenario, const RationLimit& limit, const Asked& asked) {
  bool write = scenario.classes[static_cast<std::size_t>(asked.cls)].write;
  if (limit.kind == RationLimit::Kind::kReads && write) return false;
  if (limit.kind == RationLimit::Kind::kWrites && !write) return false;
  return Among(limit.tenants, asked.tenant) && Among(limit.classes, asked.cls);
}

int RationWatch::BucketOf(const RationLimit& limit, const Asked& asked) {
  switch (limit.each) {
    case RationLimit::Each::kTenant:
      return asked.tenant;
    case RationLimit::Each::kClient:
      return asked.client;
    case RationLimit::Each::kTogether:
      break;
  }
  return 0;
}

void RationWatch::Offered(const Asked& asked, Time at) {
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    const RationLimit& limit = scenario_.rations.limits[i];
    if (Counts(scenario_, limit, asked)) Count(limits_[i].buckets[BucketOf(limit, asked)].offered_s, at);
  }
}

void RationWatch::Admitted(const Asked& asked, Time at) {
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    const RationLimit& limit = scenario_.rations.limits[i];
    if (!Counts(scenario_, limit, asked)) continue;
    Bucket& bucket = limits_[i].buckets[BucketOf(limit, asked)];
    bucket.admitted.push_back(at);
    Count(bucket.admitted_s, at);
  }
}

double RationWatch::Constant(const RationLimit& limit, Time end, Span window) const {
  if (limit.constant) return *limit.constant;
  Time begin = end - window - world::FromMs(scenario_.rations.slack_ms);
  auto started = std::ranges::count_if(starts_, [&](Time at) { return at >= begin && at <= end; });
  return static_cast<double>(scenario_.routers + started) *
         std::max(1.0, std::min(limit.rate * 0.1, limit.burst));
}

// Of all windows of that length the fullest ends with an arrival, so each of these is looked at.
template <typename Then>
void RationWatch::Windows(const RationLimit& limit, const Bucket& bucket, Span window, Then&& then) const {
  double fixed = limit.burst + limit.rate * (world::Seconds(window) + scenario_.rations.slack_ms / 1000);
  std::vector<Time> arrivals = bucket.admitted;
  std::ranges::sort(arrivals);
  std::size_t first = 0;
  for (std::size_t last = 0; last < arrivals.size(); ++last) {
    while (arrivals[first] < arrivals[last] - window) ++first;
    then(Full{arrivals[last], last - first + 1, fixed + Constant(limit, arrivals[last], window)});
  }
}

std::vector<RationWatch::Breach> RationWatch::Judge() const {
  std::vector<Breach> breaches;
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    const RationLimit& limit = scenario_.rations.limits[i];
    for (const auto& [of, bucket] : limits_[i].buckets) {
      std::string name = limit.name;
      if (limit.each == RationLimit::Each::kTenant)
        name += " of " + scenario_.tenants[static_cast<std::size_t>(of)].name;
      if (limit.each == RationLimit::Each::kClient) name += fmt::format(" of client {}", of);
      for (int seconds : kWindowsS) {
        Full worst;
        auto end = [&] {
          if (worst.held == 0) return;
          breaches.push_back({worst.at, name,
                              fmt::format("{}: {} admitted in {} s, at most {:.4g} allowed", name, worst.held,
                                          seconds, worst.allowed)});
          worst = {};
        };
        Windows(limit, bucket, FromSeconds(seconds), [&](const Full& full) {
          if (full.part() <= 1) return end();
          if (worst.held == 0 || full.part() > worst.part()) worst = full;
        });
        end();
      }
    }
  }
  std::ranges::stable_sort(breaches, {}, &Breach::at);
  return breaches;
}

std::vector<LimitResult> RationWatch::Results() const {
  std::vector<LimitResult> results;
  std::size_t seconds = SecondOf(scenario_.lasts), from = SecondOf(scenario_.warm_up);
  for (std::size_t i = 0; i < limits_.size(); ++i) {
    const RationLimit& limit = scenario_.rations.limits[i];
    LimitResult one;
    one.name = limit.name;
    one.rate = limit.rate;
    one.offered_s.resize(seconds);
    one.admitted_s.resize(seconds);
    one.buckets = limits_[i].buckets.size();
    std::vector<double> due(seconds), got(seconds);  // of buckets with demand beyond the limit
    for (const auto& [of, bucket] : limits_[i].buckets) {
      one.admitted += bucket.admitted.size();
      for (std::uint32_t offered : bucket.offered_s) one.offered += offered;
      for (std::size_t s = 0; s < seconds; ++s) {
        one.offered_s[s] += At(bucket.offered_s, s);
        one.admitted_s[s] += At(bucket.admitted_s, s);
        if (s < from || At(bucket.offered_s, s) <= limit.rate) continue;
        due[s] += limit.rate;
        got[s] += At(bucket.admitted_s, s);
        ++one.hungry_s;
      }
      for (std::size_t w = 0; w < kWindowsS.size(); ++w) {
        Windows(limit, bucket, FromSeconds(kWindowsS[w]),
                [&](const Full& full) { one.nearest[w] = std::max(one.nearest[w], full.part()); });
      }
    }
    auto least = [&](std::size_t window) {
      double share = std::numeric_limits<double>::infinity();
      for (std::size_t s = from; s + window <= seconds; ++s) {
        double all = 0, used = 0;
        bool each = true;
        for (std::size_t k = s; k < s + window; ++k) {
          each = each && due[k] > 0;
          all += due[k];
          used += got[k];
        }
        if (each) share = std::min(share, used / all);
      }
      return std::isinf(share) ? 0.0 : share;
    };
    double all = 0, used = 0;
    for (std::size_t s = from; s < seconds; ++s) {
      all += due[s];
      used += got[s];
    }
    one.used = all > 0 ? used / all : 0;
    one.least_1s = least(1);
    one.least_10s = least(10);
    results.push_back(std::move(one));
  }
  return results;
}

}  // namespace peatbend::lab

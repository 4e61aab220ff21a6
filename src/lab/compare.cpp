#include "lab/compare.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>

namespace peatbend::lab {

namespace {

// The half width of the 95 % interval of these values' mean.
double Half(const std::vector<double>& values, double mean) {
  auto n = static_cast<double>(values.size());
  double squares = 0;
  for (double value : values) squares += std::pow(value - mean, 2);
  double t = boost::math::quantile(boost::math::students_t(n - 1), 0.975);
  return t * std::sqrt(squares / (n - 1)) / std::sqrt(n);
}

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

struct Measure {
  std::string name;
  std::function<double(const DayResult&)> of;
};

// Rows of a limit's figures, by its place in the day's list.
void OfLimit(std::vector<Measure>& measures, const std::string& name, std::size_t at) {
  auto row = [&](const char* what, double (*of)(const LimitResult&)) {
    measures.push_back({name + what, [at, of](const DayResult& r) { return of(r.limits[at]); }});
  };
  row(", used", [](const LimitResult& l) { return l.used; });
  row(", least in 10 s", [](const LimitResult& l) { return l.least_10s; });
  row(", fullest 1 s", [](const LimitResult& l) { return l.nearest[0]; });
  row(", fullest 10 s", [](const LimitResult& l) { return l.nearest[1]; });
}

void Note(Comparison& comparison, char side, const DayResult& day) {
  for (const auto& rule : day.rules) {
    if (rule.count.times == 0) continue;
    const Referee::Breach& first = rule.count.first.front();
    comparison.breaches.push_back(fmt::format("{}, seed {}: {} {} times, first at {:.2f} s: {} {} {}", side,
                                              day.seed, rule.name, rule.count.times, world::Seconds(first.at),
                                              first.request, first.member, first.what));
  }
}

}  // namespace

Difference Interval(const std::string& name, const std::vector<double>& a, const std::vector<double>& b) {
  Difference result;
  result.name = name;
  result.mean_a = Mean(a);
  result.mean_b = Mean(b);
  result.difference = result.mean_b - result.mean_a;
  result.half_a = Half(a, result.mean_a);
  result.half_b = Half(b, result.mean_b);
  std::vector<double> each(a.size());
  std::ranges::transform(b, a, each.begin(), std::minus<>());
  result.half_width = Half(each, result.difference);
  return result;
}

Comparison Compare(const RunDay& a, const RunDay& b, int pairs, std::uint64_t first_seed) {
  std::vector<Measure> measures = {
      {"worth", [](const DayResult& r) { return r.worth; }},
      {"worth, whole day", [](const DayResult& r) { return r.whole; }},
      {"worth, worst 10 s", [](const DayResult& r) { return r.worst_window; }},
      {"attempts a request", [](const DayResult& r) { return r.attempts_per_request; }},
      {"crossings a request", [](const DayResult& r) { return r.crossings_per_request; }},
      {"inverted", [](const DayResult& r) { return r.inverted; }},
      {"origin's load", [](const DayResult& r) { return r.origin_load; }},
      {"first class p50 ms", [](const DayResult& r) { return r.classes[0].latency.p50; }},
      {"first class p99 ms", [](const DayResult& r) { return r.classes[0].latency.p99; }},
      {"CPU us a request",
       [](const DayResult& r) {
         double us = 0, requests = 1;
         for (const auto& router : r.routers) {
           us += router.cpu_us_per_request * static_cast<double>(router.requests);
           requests += static_cast<double>(router.requests);
         }
         return us / requests;
       }},
      {"least used of a limit", [](const DayResult& r) {
         double least = r.limits.empty() ? 0 : r.limits[0].used;
         for (const LimitResult& limit : r.limits) least = std::min(least, limit.used);
         return least;
       }}};
  Comparison comparison;
  comparison.pairs = pairs;
  std::vector<std::vector<double>> of_a, of_b;
  for (int i = 0; i < pairs; ++i) {
    std::uint64_t seed = first_seed + static_cast<std::uint64_t>(i);
    // In turns, so that a machine that grows slower favours neither.
    DayResult one, other;
    if (i % 2 == 0) {
      one = a(seed);
      other = b(seed);
    } else {
      other = b(seed);
      one = a(seed);
    }
    if (i == 0) {
      bool alike = std::ranges::equal(one.limits, other.limits, {}, &LimitResult::name, &LimitResult::name);
      for (std::size_t l = 0; alike && l < one.limits.size(); ++l) OfLimit(measures, one.limits[l].name, l);
      of_a.resize(measures.size());
      of_b.resize(measures.size());
    }
    comparison.broken_a += one.broken;
    comparison.broken_b += other.broken;
    Note(comparison, 'A', one);
    Note(comparison, 'B', other);
    comparison.lag_ms = std::max({comparison.lag_ms, one.worst_lag_ms, other.worst_lag_ms});
    for (std::size_t m = 0; m < measures.size(); ++m) {
      of_a[m].push_back(measures[m].of(one));
      of_b[m].push_back(measures[m].of(other));
    }
  }
  for (std::size_t m = 0; m < measures.size(); ++m)
    comparison.differences.push_back(Interval(measures[m].name, of_a[m], of_b[m]));
  return comparison;
}

std::string Describe(const Comparison& comparison) {
  std::string text =
      fmt::format("{} pairs, means with their 95 % intervals, and B - A with its own\n", comparison.pairs);
  for (const Difference& d : comparison.differences) {
    text += fmt::format(
        "  {:<26} A {:>9.4f} +- {:<8.4f} B {:>9.4f} +- {:<8.4f} difference {:>+9.4f} +- {:.4f}{}\n", d.name,
        d.mean_a, d.half_a, d.mean_b, d.half_b, d.difference, d.half_width, d.clear() ? "  *" : "");
  }
  text += fmt::format("  rules broken: A {}, B {}\n", comparison.broken_a, comparison.broken_b);
  for (const std::string& line : comparison.breaches) text += "    " + line + "\n";
  return text + fmt::format("  the lab was {:.0f} ms late at the worst\n", comparison.lag_ms);
}

}  // namespace peatbend::lab

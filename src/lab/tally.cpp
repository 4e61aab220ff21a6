#include "lab/tally.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>

namespace peatbend::lab {
namespace {

namespace bh = boost::histogram;
constexpr double kLeastMs = 0.01, kMostMs = 1e5;
// Bins 2 % wide: their middle is at most 1 % off.
const int kBins = static_cast<int>(std::ceil(std::log(kMostMs / kLeastMs) / std::log(1.02)));

double Earned(const ClassSettings& cls, const Planned& planned, const Outcome& outcome) {
  if (outcome.what != Outcome::What::kServed) return 0;
  Span took = outcome.at - planned.at;
  if (took <= cls.aim) return 1;
  return took <= cls.deadline ? cls.late_share : 0;
}

struct Share {
  double asked = 0, earned = 0;
  double value() const { return asked > 0 ? earned / asked : 1; }
};

}  // namespace

struct LatencyHistogram::Axis {
  decltype(bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(1, 1, 2))) counts =
      bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(kBins, kLeastMs, kMostMs));
};
LatencyHistogram::LatencyHistogram() : axis_(std::make_unique<Axis>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;
void LatencyHistogram::Add(double ms) { axis_->counts(std::clamp(ms, kLeastMs, kMostMs * 0.999)); }

Latencies LatencyHistogram::Read() const {
  double all = bh::algorithm::sum(axis_->counts);
  auto quantile = [&](double q) {
    double seen = 0;
    for (auto&& bin : bh::indexed(axis_->counts)) {
      seen += *bin;
      if (all > 0 && seen >= q * all) return std::sqrt(bin.bin().lower() * bin.bin().upper());
    }
    return 0.0;
  };
  return {quantile(0.5), quantile(0.9), quantile(0.99), quantile(0.999)};
}

namespace {

double Inverted(const Scenario& scenario, const Plan& plan, const std::vector<Outcome>& outcomes) {
  struct Ends {
    std::uint64_t served = 0, rejected = 0;
  };
  std::map<std::int64_t, std::map<double, Ends>> seconds;  // by worth
  for (std::size_t i = 0; i < plan.requests.size(); ++i) {
    double worth = scenario.classes[static_cast<std::size_t>(plan.requests[i].cls)].rules.worth;
    Ends& ends = seconds[outcomes[i].at / std::chrono::seconds{1}][worth];
    if (outcomes[i].what == Outcome::What::kServed) ++ends.served;
    if (outcomes[i].what == Outcome::What::kRejected) ++ends.rejected;
  }
  std::uint64_t pairs = 0;
  for (const auto& [second, worths] : seconds) {
    std::uint64_t served = 0;  // of what is worth less, and in no pair yet
    for (const auto& [worth, ends] : worths) {
      std::uint64_t more = std::min(served, ends.rejected);
      pairs += more;
      served += ends.served - more;
    }
  }
  return static_cast<double>(pairs) / std::max<double>(1, static_cast<double>(plan.requests.size()));
}

}  // namespace

DayResult Reckon(const Scenario& scenario, std::uint64_t seed, const Plan& plan,
                 const std::vector<Outcome>& outcomes, const Referee& referee, const WorldCounts& counts) {
  DayResult result;
  result.scenario = scenario.name;
  result.seed = seed;
  result.marks = scenario.marks;
  auto seconds = static_cast<std::size_t>(std::ceil(world::Seconds(scenario.lasts)));
  std::vector<Share> by_second(seconds), by_class(scenario.classes.size()),
      by_tenant(scenario.tenants.size());
  std::vector<LatencyHistogram> second_times(seconds), class_times(scenario.classes.size()),
      tenant_times(scenario.tenants.size());
  result.classes.resize(scenario.classes.size());
  result.tenants.resize(scenario.tenants.size());
  result.timeline.resize(seconds);
  Share whole;
  for (std::size_t i = 0; i < plan.requests.size(); ++i) {
    const Planned& planned = plan.requests[i];
    const Outcome& outcome = outcomes[i];
    auto c = static_cast<std::size_t>(planned.cls), t = static_cast<std::size_t>(planned.tenant);
    auto s = std::min(seconds - 1, static_cast<std::size_t>(world::Seconds(planned.at)));
    ++result.timeline[s].asked;
    const ClassSettings& cls = scenario.classes[c].rules;
    double asked = cls.worth * planned.work_ms, share = Earned(cls, planned, outcome);
    if (planned.at >= scenario.warm_up) {
      for (Share* one : {&whole, &by_second[s], &by_class[c], &by_tenant[t]}) {
        one->asked += asked;
        one->earned += asked * share;
      }
    }
    for (GroupResult* group : {&result.classes[c], &result.tenants[t]}) {
      ++group->asked;
      if (outcome.what == Outcome::What::kServed) ++(share == 1 ? group->in_time : group->late);
      if (outcome.what == Outcome::What::kRejected) ++group->rejected;
      if (outcome.what == Outcome::What::kFailed || outcome.what == Outcome::What::kOpen) ++group->failed;
    }
    if (outcome.what == Outcome::What::kServed) {
      double ms = world::Ms(outcome.at - planned.at);
      class_times[c].Add(ms);
      tenant_times[t].Add(ms);
      second_times[s].Add(ms);
    }
  }
  result.whole = whole.value();
  result.worst_class = result.worst_tenant = result.worst_window = 1;
  for (std::size_t c = 0; c < by_class.size(); ++c) {
    result.classes[c].name = scenario.classes[c].rules.name;
    result.classes[c].worth = by_class[c].value();
    result.classes[c].latency = class_times[c].Read();
    result.worst_class = std::min(result.worst_class, by_class[c].value());
  }
  for (std::size_t t = 0; t < by_tenant.size(); ++t) {
    result.tenants[t].name = scenario.tenants[t].name;
    result.tenants[t].worth = by_tenant[t].value();
    result.tenants[t].latency = tenant_times[t].Read();
    result.worst_tenant = std::min(result.worst_tenant, by_tenant[t].value());
  }
  for (std::size_t s = 0; s < seconds; ++s) {
    Second& second = result.timeline[s];
    second.second = static_cast<int>(s);
    second.worth = by_second[s].value();
    Latencies times = second_times[s].Read();
    second.p50 = times.p50;
    second.p99 = times.p99;
    if (s < counts.origin.size()) second.origin = counts.origin[s];
    if (s < counts.members.size()) second.member_load = counts.members[s];
    if (s < counts.dials.size()) second.member_dials = counts.dials[s];
  }
  std::size_t window = std::min<std::size_t>(10, seconds);
  for (std::size_t from = 0; from + window <= seconds; ++from) {
    Share sum;
    for (std::size_t s = from; s < from + window; ++s) {
      sum.asked += by_second[s].asked;
      sum.earned += by_second[s].earned;
    }
    result.worst_window = std::min(result.worst_window, sum.value());
  }
  double first_tries = std::max<double>(1, static_cast<double>(plan.requests.size()));
  double work = std::accumulate(plan.requests.begin(), plan.requests.end(), 0.0,
                                [](double sum, const Planned& one) { return sum + one.work_ms; });
  result.attempts_per_request = static_cast<double>(referee.attempts()) / first_tries;
  result.crossings_per_request = static_cast<double>(referee.crossings()) / first_tries;
  result.origin_load = static_cast<double>(referee.to_origin()) / world::Seconds(scenario.lasts) /
                       scenario.fleet.origin.per_second;
  result.inverted = Inverted(scenario, plan, outcomes);
  result.waste = world::Ms(counts.wasted) / std::max(1.0, work);
  result.worth = 0.6 * result.whole + 0.1 * result.worst_window + 0.2 * result.worst_class +
                 0.1 * result.worst_tenant - 0.16 * result.crossings_per_request - 0.3 * result.waste;
  for (std::size_t i = 0; i < kRules; ++i) {
    Rule rule = static_cast<Rule>(i);
    result.rules.push_back({std::string(RuleName(rule)), referee.count(rule)});
  }
  result.broken = referee.broken();
  result.limits = referee.rations().Results();
  result.published = referee.published().Results();
  return result;
}

std::string ToJson(const DayResult& r) {
  using json = nlohmann::ordered_json;
  auto round = [](double value) { return std::round(value * 1e5) / 1e5; };
  auto times = [&](const Latencies& l) {
    return json{{"p50", round(l.p50)}, {"p90", round(l.p90)}, {"p99", round(l.p99)}, {"p999", round(l.p999)}};
  };
  auto groups = [&](const std::vector<GroupResult>& all) {
    json object = json::object();
    for (const GroupResult& g : all) {
      object[g.name] = {{"asked", g.asked},       {"in_time", g.in_time}, {"late", g.late},
                        {"rejected", g.rejected}, {"failed", g.failed},   {"worth", round(g.worth)},
                        {"ms", times(g.latency)}};
    }
    return object;
  };
  json rules = json::object(), timeline = json::array(), routers = json::array(), marks = json::array();
  for (const auto& rule : r.rules) {
    json first = json::array();
    for (const auto& one : rule.count.first) {
      first.push_back({{"at_s", round(world::Seconds(one.at))},
                       {"request", one.request},
                       {"member", one.member},
                       {"what", one.what}});
    }
    rules[rule.name] = {{"count", rule.count.times}, {"first", first}};
  }
  for (const Second& s : r.timeline) {
    timeline.push_back({{"second", s.second},
                        {"asked", s.asked},
                        {"worth", round(s.worth)},
                        {"p50_ms", round(s.p50)},
                        {"p99_ms", round(s.p99)},
                        {"origin", s.origin},
                        {"members", s.member_load},
                        {"dials", s.member_dials}});
  }
  for (const auto& one : r.routers) {
    routers.push_back({{"cpu_us_per_request", round(one.cpu_us_per_request)},
                       {"peak_mb", round(one.peak_mb)},
                       {"descriptors", one.descriptors},
                       {"requests", one.requests}});
  }
  json limits = json::object();
  for (const LimitResult& one : r.limits) {
    limits[one.name] = {{"rate", one.rate},
                        {"buckets", one.buckets},
                        {"offered", one.offered},
                        {"admitted", one.admitted},
                        {"used", round(one.used)},
                        {"least_used_1s", round(one.least_1s)},
                        {"least_used_10s", round(one.least_10s)},
                        {"hungry_s", one.hungry_s},
                        {"nearest_1s", round(one.nearest[0])},
                        {"nearest_10s", round(one.nearest[1])},
                        {"offered_by_second", one.offered_s},
                        {"admitted_by_second", one.admitted_s}};
  }
  json published = json::object();
  for (const PublishResult& one : r.published)
    published[one.name] = {{"asked", one.asked}, {"reached", one.reached}};
  for (const auto& mark : r.marks) marks.push_back({{"at_s", world::Seconds(mark.at)}, {"what", mark.text}});
  json all{{"scenario", r.scenario},
           {"seed", r.seed},
           {"worth",
            {{"figure", round(r.worth)},
             {"whole", round(r.whole)},
             {"worst_window", round(r.worst_window)},
             {"worst_class", round(r.worst_class)},
             {"worst_tenant", round(r.worst_tenant)},
             {"waste", round(r.waste)}}},
           {"broken", r.broken},
           {"rules", rules},
           {"classes", groups(r.classes)},
           {"tenants", groups(r.tenants)},
           {"attempts_per_request", round(r.attempts_per_request)},
           {"inverted", r.inverted},
           {"crossings_per_request", round(r.crossings_per_request)},
           {"origin_load", round(r.origin_load)},
           {"worst_lag_ms", round(r.worst_lag_ms)},
           {"routers", routers},
           {"figures", r.figures},
           {"limits", limits},
           {"published", published},
           {"events", marks},
           {"timeline", timeline}};
  return all.dump(2);
}

std::string Summary(const DayResult& r) {
  std::string text = fmt::format(
      "{}  seed {}  worth {:.3f}  (whole {:.3f}, worst 10 s {:.3f}, worst class {:.3f}, worst tenant {:.3f}, "
      "waste {:.3f})\n",
      r.scenario, r.seed, r.worth, r.whole, r.worst_window, r.worst_class, r.worst_tenant, r.waste);
  for (const GroupResult& g : r.classes) {
    text += fmt::format(
        "  {:<16} asked {:>6}  in time {:5.1f} %  late {:>4}  rejected {:>4}  failed {:>4}  "
        "p50 {:.0f}  p99 {:.0f} ms\n",
        g.name, g.asked,
        100.0 * static_cast<double>(g.in_time) / std::max<double>(1, static_cast<double>(g.asked)), g.late,
        g.rejected, g.failed, g.latency.p50, g.latency.p99);
  }
  if (r.tenants.size() > 1) {
    text += "  worth by tenant:";
    for (const GroupResult& g : r.tenants) text += fmt::format(" {} {:.3f}", g.name, g.worth);
    text += "\n";
  }
  text += fmt::format("  attempts a request {:.3f}, crossings {:.3f}, origin at {:.0f} % of its capacity\n",
                      r.attempts_per_request, r.crossings_per_request, 100 * r.origin_load);
  text += fmt::format("  rejected while what is worth less was served: {:.2f} % of all\n", 100 * r.inverted);
  for (const LimitResult& one : r.limits) {
    text += fmt::format("  {:<16} {:g}/s{}: offered {}, admitted {}, ", one.name, one.rate,
                        one.buckets > 1 ? fmt::format(" each of {}", one.buckets) : "", one.offered,
                        one.admitted);
    text += one.hungry_s > 0 ? fmt::format("used {:.3f} of rate x time (least 1 s {:.2f}, 10 s {:.3f}), ",
                                           one.used, one.least_1s, one.least_10s)
                             : "never wanted more, ";
    text += fmt::format("at most {:.2f} in 1 s and {:.2f} in 10 s of what is allowed\n", one.nearest[0],
                        one.nearest[1]);
  }
  for (const PublishResult& one : r.published)
    text += fmt::format("  {:<16} asked {}, reached a server {}\n", one.name, one.asked, one.reached);
  if (!r.routers.empty()) {
    using Router = DayResult::Router;
    std::vector<double> each;
    double us = 0, requests = 0;
    for (const Router& one : r.routers) {
      if (one.requests > 0) each.push_back(one.cpu_us_per_request);
      us += one.cpu_us_per_request * std::max<double>(1, static_cast<double>(one.requests));
      requests += static_cast<double>(one.requests);
    }
    if (each.empty()) each.push_back(0);
    auto [least, most] = std::ranges::minmax(each);
    auto peak = std::ranges::max(r.routers, {}, &Router::peak_mb);
    auto held = std::ranges::max(r.routers, {}, &Router::descriptors);
    text += fmt::format(
        "  {} routers: {:.0f} us of CPU a request ({:.0f} to {:.0f}), peak {:.1f} MB, at most {} "
        "descriptors\n",
        r.routers.size(), us / std::max(1.0, requests), least, most, peak.peak_mb, held.descriptors);
  }
  if (r.returned > 0) {
    text += fmt::format(
        "  {} writes lost their router with 2 s left or more and came back; {} of them were served\n",
        r.returned, r.returned_served);
  }
  if (r.worst_lag_ms > 50) {
    text += fmt::format("  the lab was {:.0f} ms late once: the machine is too busy for exact figures\n",
                        r.worst_lag_ms);
  }
  if (r.broken == 0) return text + "  no rule broken\n";
  for (const auto& rule : r.rules) {
    if (rule.count.times == 0) continue;
    const Referee::Breach& one = rule.count.first.front();
    text += fmt::format("  BROKEN {}: {} times, first at {:.2f} s: {} {} {}\n", rule.name, rule.count.times,
                        world::Seconds(one.at), one.request, one.member, one.what);
  }
  return text;
}

}  // namespace peatbend::lab

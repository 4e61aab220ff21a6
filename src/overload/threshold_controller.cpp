#include "overload/threshold_controller.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace peatbend::overload {

struct ThresholdController::FleetLoad {  // work per second, us/s, except as named
  std::array<double, kPriorityBins> arrived{};
  double all = 0, served = 0, late = 0, no_room = 0, delay_ms = 0, headroom = 0, weight = 0;
  std::map<int, double> tenants;
  std::size_t routers = 0;
};

bool ThresholdController::Handle(TimePoint now, const LoadSignal& signal) {
  auto at = sources_.find(signal.process);
  if (at == sources_.end()) {
    if (sources_.size() >= options_.max_processes) return false;
    at = sources_.emplace(signal.process, Source{}).first;
  }
  Source& source = at->second;
  auto older =
      std::ranges::find_if(source.signals, [&](const LoadSignal& s) { return s.window <= signal.window; });
  if (older != source.signals.end() && older->window == signal.window) return false;
  if (!source.signals.empty() && source.signals.front().window >= signal.window + options_.windows)
    return false;
  if (older == source.signals.begin()) source.last_heard = now;
  source.signals.insert(older, signal);
  while (source.signals.front().window >= source.signals.back().window + options_.windows)
    source.signals.pop_back();
  return true;
}

ThresholdController::FleetLoad ThresholdController::Aggregate(TimePoint now) const {
  FleetLoad load;
  for (const auto& [process, source] : sources_) {
    double fade_duration = static_cast<double>((options_.expire_after - options_.fade_after).count());
    double weight = std::clamp(
        static_cast<double>((source.last_heard + options_.expire_after - now).count()) / fade_duration, 0.0,
        1.0);
    if (weight <= 0) continue;
    double duration_s = 0;
    for (const LoadSignal& signal : source.signals) duration_s += signal.duration_ms / 1e3;
    double per_s = weight / duration_s, served = 0, delay = 0, arrived = 0;
    for (const LoadSignal& signal : source.signals) {
      for (std::size_t i = 0; i < kPriorityBins; ++i) {
        double bin_work = static_cast<double>(signal.Arrived(i)) * per_s;
        load.arrived[i] += bin_work;
        arrived += bin_work;
      }
      served += static_cast<double>(signal.served) * per_s;
      load.late += static_cast<double>(signal.late) * per_s;
      load.no_room += static_cast<double>(signal.no_room) * per_s;
      for (const TenantWork& tenant : signal.tenants)
        load.tenants[tenant.tenant] += tenant.work * 1e3 * per_s;
    }
    // The minimum of the last two windows, since a queue that is already gone needs no draining.
    const auto& signals = source.signals;
    delay = signals.size() > 1 ? std::min(signals[0].queue_delay_us, signals[1].queue_delay_us)
                               : signals[0].queue_delay_us;
    if (source.signals.front().window <= options_.startup_windows) served = std::max(served, arrived);
    load.served += served;
    load.delay_ms += delay / 1e3 * served;
    load.headroom += weight * signals.front().headroom / 1e3;
    load.weight += weight;
    ++load.routers;
  }
  for (double bin : load.arrived) load.all += bin;
  if (load.served > 0) load.delay_ms /= load.served;
  return load;
}

const SheddingState& ThresholdController::Update(TimePoint now) {
  std::erase_if(sources_,
                [&](const auto& one) { return now - one.second.last_heard >= options_.expire_after; });
  FleetLoad load = Aggregate(now);
  state_.arrived = load.all;
  state_.served = load.served;
  state_.routers = load.routers;
  state_.tenant_thresholds.clear();
  double mean_headroom = load.weight > 0 ? load.headroom / load.weight : options_.max_headroom;
  bool in_time = load.late <= options_.max_late * (load.late + load.served);
  bool was_overloaded = state_.overloaded;
  double headroom = UpdateHeadroom(now, Pressure(load), in_time, mean_headroom);
  state_.headroom = std::clamp(headroom, options_.min_headroom, options_.max_headroom);
  if (state_.overloaded && !was_overloaded)
    capacity_goal_ = options_.capacity_recovery_goal * std::max(capacity_, load.served);
  capacity_ *= state_.overloaded ? options_.capacity_decay_overloaded : options_.capacity_decay;
  if (!state_.overloaded && capacity_ < capacity_goal_)
    capacity_ = std::min(capacity_goal_, capacity_ * options_.capacity_growth);
  capacity_ = std::max(capacity_, load.served);
  double budget =
      std::max({state_.headroom * capacity_, options_.min_admitted * load.all, options_.min_work});
  state_.threshold = ComputeThreshold(load, budget);
  if (state_.threshold > 0) ApplyTenantShares(load, budget);
  return state_;
}

// Returns the fraction of the served work by which admission must be reduced. For a queue it is the fraction
// that drains the excess delay within `drain_time`; rejections for lack of room and late replies only show
// that there is too much work.
double ThresholdController::Pressure(const FleetLoad& load) const {
  double queue = (load.delay_ms - static_cast<double>(options_.delay_aim.count()) / 1e6) /
                 (static_cast<double>(options_.drain_time.count()) / 1e6);
  double no_room = load.no_room / std::max(options_.min_reference, load.all) - options_.max_no_room;
  double late = load.late / std::max(options_.min_reference, load.late + load.served) - options_.max_late;
  return std::max({0.0, queue, no_room, late});
}

double ThresholdController::UpdateHeadroom(TimePoint now, double pressure, bool in_time, double headroom) {
  if (state_.threshold > 0) no_shedding_since_.reset();
  if (state_.threshold == 0 && !no_shedding_since_) no_shedding_since_ = now;
  if (pressure < tolerated_pressure_) tolerated_pressure_ = std::max(pressure, tolerated_pressure_ * 0.999);
  state_.overloaded = pressure > tolerated_pressure_;
  if (!state_.overloaded) {
    overloaded_since_.reset();
    probing_ = false;
    return headroom + options_.probe_step;
  }
  auto begin = [&](bool probing) {
    probing_ = probing;
    overloaded_since_ = now;
    initial_pressure_ = max_pressure_ = pressure;
  };
  if (!overloaded_since_) begin(false);
  max_pressure_ = std::max(max_pressure_, pressure);
  bool no_worse = in_time && pressure <= 1.3 * initial_pressure_ + 0.01;
  if (probing_ && !no_worse) begin(false);
  if (probing_ && no_shedding_since_ &&
      now - std::max(*no_shedding_since_, *overloaded_since_) >= options_.patience / 3) {
    tolerated_pressure_ = 1.25 * max_pressure_ + 0.01;
    probing_ = false;
  }
  if (!probing_ && now - *overloaded_since_ >= options_.patience)
    begin(in_time && pressure > 0.7 * initial_pressure_);
  if (probing_) return std::max(1.0, headroom) + options_.probe_step;
  double reduction = std::clamp(pressure - tolerated_pressure_, options_.min_drain, 1.0);
  return 0.5 * std::min(headroom, 1.0) + 0.5 * (1 - reduction);
}

double ThresholdController::ComputeThreshold(const FleetLoad& load, double budget) {
  double shed = load.all - budget;
  if (shed <= 0 || budget <= 0) return 0;
  for (std::size_t i = 0; i < kPriorityBins; ++i) {
    if (shed < load.arrived[i]) return (static_cast<double>(i) + shed / load.arrived[i]) / kPriorityBins;
    shed -= load.arrived[i];
  }
  return 1;
}

// Distributes the budget by max-min fairness: what a tenant does not use goes to the others. A tenant's
// threshold moves only within the band that contains the common threshold, and the admitted work of that band
// stays the same. Otherwise work would be shed both by the threshold and by the shares; less would be served,
// the next budget would be smaller, and the fleet would spiral down.
void ThresholdController::ApplyTenantShares(const FleetLoad& load, double budget) {
  struct TenantDemand {
    double work, share, kept_share;
    int tenant;
  };
  std::vector<TenantDemand> demands;
  double shares = 0, work = 0;
  for (const auto& [tenant, wanted] : load.tenants) {
    auto index = static_cast<std::size_t>(tenant);
    if (wanted <= 0 || index >= shares_.size() || shares_[index] <= 0) continue;
    demands.push_back({wanted, shares_[index], 1, tenant});
    shares += shares_[index];
    work += wanted;
  }
  if (options_.bands <= 0 || demands.empty() || state_.threshold >= 1) return;
  std::ranges::sort(demands, {}, [](const TenantDemand& one) { return one.work / one.share; });
  for (TenantDemand& one : demands) {
    one.kept_share = std::min(1.0, budget * one.share / shares / one.work);
    budget -= std::min(one.work, budget * one.share / shares);
    shares -= one.share;
  }
  double band = std::floor(state_.threshold * options_.bands),
         admitted_in_band = band + 1 - state_.threshold * options_.bands;
  // Bisection for the factor with which the admitted work of the band is the same as without shares.
  double low = 0, high = 1e6;
  for (int i = 0; i < 60; ++i) {
    double factor = (low + high) / 2, kept_work = 0;
    for (const TenantDemand& one : demands) kept_work += one.work * std::min(1.0, factor * one.kept_share);
    (kept_work < admitted_in_band * work ? low : high) = factor;
  }
  for (const TenantDemand& one : demands)
    state_.tenant_thresholds[one.tenant] = (band + 1 - std::min(1.0, high * one.kept_share)) / options_.bands;
}

}  // namespace peatbend::overload

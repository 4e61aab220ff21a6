#include "overload/priority.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <stdexcept>
#include <string>

namespace peatbend::overload {
namespace {

constexpr std::uint64_t kPrioritySalt = 1;
constexpr double kMinWorth = 1e-9;

double HashToUnit(std::uint64_t id, std::uint64_t salt) {
  return static_cast<double>(XXH3_64bits_withSeed(&id, sizeof id, salt) >> 11) * 0x1p-53;
}
double Milliseconds(Duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

}  // namespace

std::size_t PriorityBin(double priority) {
  return std::min(kPriorityBins - 1, static_cast<std::size_t>(std::max(0.0, priority) * kPriorityBins));
}

PriorityOrder::PriorityOrder(const Settings& settings, std::span<const Duration> work)
    : worth_by_work_(settings.worth_by_work) {
  if (settings.classes.empty()) throw std::invalid_argument("classes: at least one expected");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    double worth = settings.classes[i].worth;
    if (!(worth >= 0) || std::isinf(worth))
      throw std::invalid_argument("classes." + std::to_string(i) + ".worth: 0 or more expected");
    double work_ms = i < work.size() ? Milliseconds(work[i]) : 0;
    if (work_ms < 0) throw std::invalid_argument("work." + std::to_string(i) + ": 0 or more expected");
    classes_.push_back({worth, work_ms});
    levels_.push_back(ValueOf(classes_.back(), work_ms));
  }
  std::ranges::sort(levels_);
  levels_.erase(std::ranges::unique(levels_).begin(), levels_.end());
  if (levels_.size() > kMaxLevels) {  // too many to distinguish: spread evenly over their range
    double low = levels_.front(), step = (levels_.back() - low) / (kMaxLevels - 1);
    levels_.clear();
    for (std::size_t i = 0; i < kMaxLevels; ++i) levels_.push_back(low + step * static_cast<double>(i));
  }
  level_slots_ = std::bit_ceil(levels_.size());
}

double PriorityOrder::ValueOf(const Class& cls, double work_ms) const {
  bool by_work = !worth_by_work_ && cls.work_ms > 0 && work_ms > 0;
  return std::log(std::max(kMinWorth, by_work ? cls.worth / work_ms : cls.worth));
}

std::size_t PriorityOrder::LevelOf(const PriorityInput& input) const {
  const Class& cls = classes_.at(static_cast<std::size_t>(input.cls));
  double value = ValueOf(cls, input.work > Duration{} ? Milliseconds(input.work) : cls.work_ms);
  auto above = std::ranges::lower_bound(levels_, value);
  if (above == levels_.end()) return levels_.size() - 1;
  if (above != levels_.begin() && value - *(above - 1) < *above - value) --above;
  return static_cast<std::size_t>(above - levels_.begin());
}

double PriorityOrder::PriorityOf(const PriorityInput& input) const {
  std::size_t band = input.over_quota ? 0 : 1;
  band = band * level_slots_ + LevelOf(input);
  band = band * 2 + (input.retry ? 0 : 1);
  // At most 32 bands, a power of two: the result is exact in a double and never rounded up to the next band.
  return (static_cast<double>(band) + std::min(HashToUnit(input.id, kPrioritySalt), 1 - 0x1p-40)) / bands();
}

std::uint64_t PriorityOrder::WorkOf(const PriorityInput& input) const {
  double ms = input.work > Duration{} ? Milliseconds(input.work)
                                      : classes_.at(static_cast<std::size_t>(input.cls)).work_ms;
  return ms > 0 ? std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::llround(ms * 1000))) : 1000;
}

std::uint64_t HashId(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

}  // namespace peatbend::overload

#include "overload/load_window.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace peatbend::overload {
namespace {

constexpr std::size_t kMaxCountedTenants = 4096;  // more tenants are not counted in a window
// Replies needed for an estimate of the queueing delay, and windows from which they are taken.
constexpr std::size_t kMinReplies = 8, kMaxDelayWindows = 5;

}  // namespace

void LoadWindow::OnArrival(double priority, std::uint64_t work, int tenant) {
  arrived_[PriorityBin(priority)] += work;
  if (tenant < 0 || tenant > 0xffff) return;
  auto id = static_cast<std::uint16_t>(tenant);
  if (tenants_.size() < kMaxCountedTenants || tenants_.contains(id)) tenants_[id] += work;
}

void LoadWindow::OnServed(std::uint64_t work, bool late) {
  served_ += work;
  if (late) late_ += work;
}

void LoadWindow::OnQueueDelay(DelayLocation location, Duration delay) {
  DelayStats& delays = delays_[static_cast<std::size_t>(location)].front();
  delays.min = std::min(delays.min, std::max(Duration{}, delay));
  ++delays.replies;
}

// A few replies are not enough for an estimate, so earlier windows are included. The delay at the origin is
// scaled by its fraction of the replies: shedding also hits requests that cache servers would answer, so a
// queue at the origin does not justify shedding that much of all work.
Duration LoadWindow::QueueDelay() const {
  std::array<std::size_t, 2> replies{};
  std::array<Duration, 2> delays{};
  for (std::size_t location = 0; location < delays_.size(); ++location) {
    DelayStats all;
    for (const DelayStats& one : delays_[location]) {
      replies[location] += one.replies;
      if (all.replies < kMinReplies) all = {std::min(all.min, one.min), all.replies + one.replies};
    }
    if (all.replies > 0) delays[location] = std::max(Duration{}, all.min - loop_delay_);
  }
  auto [origin, members] = replies;
  double part = static_cast<double>(origin) / static_cast<double>(std::max<std::size_t>(1, origin + members));
  Duration at_origin{static_cast<Duration::rep>(part * static_cast<double>(delays[0].count()))};
  return std::max(at_origin, delays[1]);
}

std::optional<LoadSignal> LoadWindow::Close(TimePoint now) {
  if (now < due()) return std::nullopt;
  LoadSignal signal;
  signal.process = process_;
  signal.window = ++window_;
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_).count();
  signal.duration_ms = static_cast<std::uint32_t>(std::min<std::int64_t>(ms, 3'600'000));
  std::uint64_t max_work = *std::ranges::max_element(arrived_);
  while (max_work >> signal.shift > 0xffff) ++signal.shift;
  for (std::size_t i = 0; i < kPriorityBins; ++i)
    signal.arrived[i] = static_cast<std::uint16_t>(arrived_[i] >> signal.shift);
  signal.served = served_;
  signal.late = late_;
  signal.no_room = no_room_;
  signal.queue_delay_us =
      static_cast<std::uint32_t>(std::min<std::int64_t>(QueueDelay().count() / 1000, 0xffffffff));
  std::vector<std::pair<std::uint64_t, std::uint16_t>> largest;
  for (const auto& [tenant, work] : tenants_) largest.emplace_back(work, tenant);
  std::ranges::sort(largest, std::greater<>());
  if (largest.size() > kMaxTenants) largest.resize(kMaxTenants);
  for (const auto& [work, tenant] : largest)
    signal.tenants.push_back(
        {tenant, static_cast<std::uint32_t>(std::min<std::uint64_t>(work / 1000, 0xffffffff))});
  LoadWindow next(process_, now);
  next.window_ = window_;
  next.delays_ = std::move(delays_);
  for (auto& windows : next.delays_) {
    if (windows.size() == kMaxDelayWindows) windows.pop_back();
    windows.emplace_front();
  }
  *this = std::move(next);
  return signal;
}

}  // namespace peatbend::overload

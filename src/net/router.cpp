#include "net/router.h"

#include <algorithm>

namespace peatbend::net {
namespace {
// Descriptors that are no sockets of clients or members: standard streams, the loop's, the listener, the
// watch.
constexpr std::int64_t kOtherDescriptors = 16;
// After SIGTERM connections still come for up to 0.4 s.
constexpr auto kKeepListening = std::chrono::milliseconds(550);
// Longest wait for what was taken after that, beyond the longest deadline.
constexpr auto kStopSlack = std::chrono::milliseconds(100);
}  // namespace

Router::Router(event_base* base, const Config& config)
    : settings_(config.settings),
      log_(config.name, clock_),
      sockets_{static_cast<std::size_t>(config.sockets - kOtherDescriptors)},
      connections_(base, settings_, sockets_, clock_, log_, counters_),
      decision_(
          base, settings_, config.seed, connections_, [this] { pool_.Watch(); }, clock_, log_, counters_),
      pool_(base, config.discovery, settings_, config.known.index, log_, counters_,
            [this](Scope scope, std::vector<PoolEntry> entries) {
              decision_.PoolNews(scope, std::move(entries));
            }),
      listener_(base, config.listen, decision_, settings_, sockets_, log_, counters_),
      stop_listening_(base, [this] { listener_.Stop(then_); }),
      stop_at_last_(base, [this] { then_(); }) {
  decision_.PoolNews(Scope::kCached, config.known.entries);
  log_.Line("start", "listening on " + config.listen + ", " + std::to_string(config.known.entries.size()) +
                         " pool entries known");
}

Duration Router::LongestDeadline() const {
  Duration longest{};
  for (const ClassSettings& cls : settings_.classes) longest = std::max(longest, cls.deadline);
  return longest;
}

void Router::Stop(std::function<void()> then) {
  if (std::exchange(stopping_, true)) return;
  log_.Line("stopping", std::to_string(decision_.transactions()) + " transactions open");
  then_ = std::move(then);
  stop_listening_.Set(kKeepListening);
  stop_at_last_.Set(kKeepListening + LongestDeadline() + kStopSlack);
}

}  // namespace peatbend::net

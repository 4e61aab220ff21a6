#include "router/router.h"

#include <algorithm>

namespace peatbend::net {
namespace {
// Descriptors that are no sockets of clients or members: standard streams, the loop's, the listener, the
// watch.
constexpr std::int64_t kOtherDescriptors = 16;
constexpr double kMegabyte = 1024.0 * 1024;
}  // namespace

Router::Router(event_base* base, const Config& config)
    : running_(config),
      log_(config.name, config.tuning.log, clock_),
      sockets_{static_cast<std::size_t>(config.sockets - kOtherDescriptors)},
      connections_(base, running_.settings, running_.tuning.members, sockets_, clock_, log_, counters_),
      decision_(
          base, running_.settings, config.seed, connections_, [this] { pool_.Watch(); }, clock_, log_,
          counters_),
      pool_(base, config.discovery, running_.settings, running_.tuning.pool, config.known.index, log_,
            counters_,
            [this](Scope scope, std::vector<PoolEntry> entries) {
              decision_.PoolNews(scope, std::move(entries));
            }),
      listener_(base, config.listen, decision_, running_.settings, running_.tuning.clients, sockets_,
                static_cast<std::size_t>(static_cast<double>(config.memory_mb) * kMegabyte *
                                         config.tuning.memory.unread_share),
                clock_, log_, counters_),
      stop_listening_(base, [this] { listener_.Stop(then_); }),
      stop_at_last_(base, [this] { then_(); }) {
  running_.known = {};  // read once, below; the list moves on without it
  decision_.PoolNews(Scope::kCached, config.known.entries);
  log_.Line("start", "listening on " + config.listen + ", " + std::to_string(config.known.entries.size()) +
                         " pool entries known");
}

void Router::Reload(const std::function<Config()>& load) {
  if (stopping_) return;
  Config config;
  try {
    config = load();
  } catch (const std::exception& error) {  // the running configuration stays, whole
    ++counters_.reloads_refused;
    return log_.Line("reload refused", error.what());
  }
  ++counters_.reloads;
  if (config.discovery == running_.discovery) {
    log_.Line("reload", "discovery stays at " + config.discovery);
  } else {
    log_.Line("reload", "discovery is now at " + config.discovery);
    running_.discovery = config.discovery;
    pool_.MoveTo(config.discovery);
  }
  auto at_next_start = [this](bool differs, std::string_view key) {
    if (differs) log_.Line("reload", std::string(key) + ": differs, holds from the next start");
  };
  at_next_start(config.name != running_.name, "name");
  at_next_start(config.listen != running_.listen, "listen");
  at_next_start(config.cores != running_.cores || config.memory_mb != running_.memory_mb ||
                    config.sockets != running_.sockets,
                "limits");
  at_next_start(config.tuning != running_.tuning, "tuning");
  at_next_start(config.settings != running_.settings, "settings");
}

Duration Router::LongestDeadline() const {
  Duration longest{};
  for (const ClassSettings& cls : running_.settings.classes) longest = std::max(longest, cls.deadline);
  return longest;
}

void Router::Stop(std::function<void()> then) {
  if (std::exchange(stopping_, true)) return;
  log_.Line("stopping", std::to_string(decision_.transactions()) + " transactions open");
  then_ = std::move(then);
  stop_listening_.Set(running_.tuning.stop.keep_listening);
  stop_at_last_.Set(running_.tuning.stop.keep_listening + LongestDeadline() + running_.tuning.stop.slack);
}

}  // namespace peatbend::net

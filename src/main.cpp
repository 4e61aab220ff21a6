// peatbend: the router. Wires configuration, stages and signals together.
#include <sys/resource.h>

#include <csignal>
#include <cstdio>
#include <exception>

#include "base/event_handles.h"
#include "config/config.h"
#include "router/router.h"

namespace {

// The configuration, with as many sockets as the system allows.
peatbend::Config Load() {
  peatbend::Config config = peatbend::LoadConfig();
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_cur < static_cast<rlim_t>(config.sockets)) {  // as many as may be held, if that is allowed
    files.rlim_cur = std::min(files.rlim_max, static_cast<rlim_t>(config.sockets));
    setrlimit(RLIMIT_NOFILE, &files);
    config.sockets = std::min(config.sockets, static_cast<std::int64_t>(files.rlim_cur));
  }
  return config;
}

int Run() {
  peatbend::Config config = Load();
  std::signal(SIGPIPE, SIG_IGN);

  using namespace peatbend::net;
  event_config* options = event_config_new();
  event_config_set_flag(options, EVENT_BASE_FLAG_PRECISE_TIMER | EVENT_BASE_FLAG_NO_CACHE_TIME);
  EventBasePtr base(event_base_new_with_config(options));
  event_config_free(options);
  if (!base) throw std::runtime_error("no event loop");

  Router router(base.get(), config);
  auto stop = [&] { router.Stop([&] { event_base_loopbreak(base.get()); }); };
  Signal on_term(base.get(), SIGTERM, stop);
  Signal on_interrupt(base.get(), SIGINT, stop);
  Signal on_hangup(base.get(), SIGHUP, [&] { router.Reload(Load); });
  Signal on_usr1(base.get(), SIGUSR1, [&] { router.PrintCounters(); });
  event_base_dispatch(base.get());
  router.PrintCounters();
  return 0;
}

}  // namespace

int main() {
  try {
    return Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "peatbend: %s\n", error.what());
    return 1;
  }
}

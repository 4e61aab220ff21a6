#include "lab/router_lives.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "lab/dial.h"

namespace peatbend::lab {
namespace {

using processes::FreePort;
using processes::RouterProcess;
using standin::Pulse;
using world::FromSeconds;

constexpr Span kFrontAtStop = std::chrono::milliseconds(300);  // it is told of a planned stop
constexpr auto kReadyWithin = std::chrono::seconds(20);
constexpr auto kSampleEvery = std::chrono::milliseconds(500);

}  // namespace

RouterLives::RouterLives(const Day& day)
    : day_(day),
      on_child_(day.pulse.base(), SIGCHLD, [this] { Reap(); }),
      probe_(day.pulse.base(), [this] { Probe(); }),
      sample_(day.pulse.base(), [this] { Sample(); }) {}

RouterLives::~RouterLives() {
  for (const Retiring& one : retiring_) {
    kill(one.pid, SIGKILL);
    waitpid(one.pid, nullptr, 0);
  }
}

void RouterLives::Plan() {
  for (const RouterEvent& event : day_.scenario.router_events) PlanEvent(event);
}

void RouterLives::Add(const std::string& own_config, const std::string& address) {
  std::string folder = fmt::format("{}/router-{}", day_.options.folder, routers_.size());
  routers_.push_back(std::make_unique<RouterProcess>(day_.options.router, own_config, folder, address));
  lives_.emplace_back();
}

void RouterLives::StartAll() {
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    Configure(static_cast<int>(r), true);
    routers_[r]->Start();
    Await(r);
  }
  auto limit = std::chrono::steady_clock::now() + kReadyWithin;
  while (!waiting_.empty()) {
    event_base_loop(day_.pulse.base(), EVLOOP_ONCE);
    if (!problem_.empty()) throw std::runtime_error(problem_);
    if (std::chrono::steady_clock::now() > limit)
      throw std::runtime_error("router " + std::to_string(waiting_.begin()->first) +
                               " did not answer PING; its log is in " + day_.options.folder);
  }
  sample_.Set(kSampleEvery);
}

void RouterLives::Reload() {
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    Configure(static_cast<int>(r), false);
    routers_[r]->Signal(SIGHUP);
  }
}

// `starts`: for a process that starts, which gets an operators' address of its own.
void RouterLives::Configure(int r, bool starts) {
  auto& router = *routers_[static_cast<std::size_t>(r)];
  std::string host = router.address().substr(0, router.address().rfind(':'));
  if (starts) admins_[r] = fmt::format("{}:{}", host, FreePort(host));
  nlohmann::json config{
      {"admin", admins_[r]},
      {"name", fmt::format("n{}", r)},
      {"listen", router.address()},
      {"discovery", day_.discovery.AddressFor(r)},
      {"seed", fmt::format("{:x}", day_.seed * 100 + static_cast<std::uint64_t>(r))},
      {"limits",
       {{"cores", 1.0}, {"memory_mb", day_.scenario.memory_mb}, {"sockets", day_.scenario.sockets}}},
      {"known", nlohmann::json::parse(day_.discovery.Whole(r))},
      {"settings", nlohmann::json::parse(SettingsJson(day_.scenario, r))}};
  router.Write(config.dump());
}

void RouterLives::PlanEvent(const RouterEvent& event) {
  for (std::size_t i = 0; i < event.routers.size(); ++i) {
    auto r = static_cast<std::size_t>(event.routers[i]);
    day_.pulse.agenda.At(event.at + static_cast<int>(i) * event.every, [this, r, event] {
      if (!routers_[r]->running()) return;
      Sample();
      if (event.what == RouterEvent::What::kStall) return Stall(r, event.back);
      if (event.what == RouterEvent::What::kUpgrade) return Upgrade(r, event.back);
      if (event.what == RouterEvent::What::kHup) {
        Configure(static_cast<int>(r), false);
        return routers_[r]->Signal(SIGHUP);
      }
      bool planned = event.what == RouterEvent::What::kTerm;
      lives_[r] = {true, planned, event.back};
      if (!planned) day_.referee.RouterEnded(static_cast<int>(r));
      routers_[r]->Signal(planned ? SIGTERM : SIGKILL);
      day_.crowd.RouterDown(static_cast<int>(r),
                            planned ? kFrontAtStop : FromSeconds(day_.scenario.front_notices_s));
    });
  }
}

// What it held while it stood still is excused.
void RouterLives::Stall(std::size_t r, Span lasts) {
  int router = static_cast<int>(r);
  day_.referee.RouterEnded(router);
  routers_[r]->Signal(SIGSTOP);
  day_.crowd.RouterDown(router, FromSeconds(day_.scenario.front_notices_s));
  day_.pulse.agenda.In(lasts, [this, r, router] {
    routers_[r]->Signal(SIGCONT);
    day_.referee.RouterBack(router);
    day_.crowd.RouterUp(router);
  });
}

// A new process beside the running one, as operators do it: the old one is told to end once HEALTH of the
// new one's address says yes.
void RouterLives::Upgrade(std::size_t r, Span keeps) {
  Configure(static_cast<int>(r), true);
  pid_t before = routers_[r]->Retire();
  retiring_.push_back({static_cast<int>(r), before});
  routers_[r]->Start();
  day_.referee.RouterStarted(day_.pulse.agenda.now());
  Await(r);
  Awaited& awaited = waiting_[static_cast<int>(r)];
  awaited.before = before;
  awaited.keeps = keeps;
}

void RouterLives::EndRetiring(pid_t pid) {
  for (Retiring& one : retiring_) {
    if (one.pid != pid) continue;
    one.told = true;
    kill(pid, SIGTERM);
  }
}

void RouterLives::ReapRetiring() {
  std::erase_if(retiring_, [this](const Retiring& one) {
    int status = 0;
    if (waitpid(one.pid, &status, WNOHANG) != one.pid) return false;
    if (!one.told || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
      day_.referee.RouterCrashed(one.router, day_.pulse.agenda.now(), "while it handed over");
    return true;
  });
}

void RouterLives::Reap() {
  Pulse::Beat beat(day_.pulse);
  ReapRetiring();
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    int status = 0;
    if (!routers_[r]->running() || waitpid(routers_[r]->pid(), &status, WNOHANG) != routers_[r]->pid())
      continue;
    routers_[r]->Ended();
    std::string how = WIFEXITED(status) ? fmt::format("exit status {}", WEXITSTATUS(status))
                                        : fmt::format("signal {}", WTERMSIG(status));
    Life life = std::exchange(lives_[r], {});
    if (waiting_.contains(static_cast<int>(r)))
      problem_ = fmt::format("router {} ended at its start: {}", r, how);
    bool fine = life.expected && (!life.planned || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
    if (!fine) day_.referee.RouterCrashed(static_cast<int>(r), day_.pulse.agenda.now(), how);
    if (!life.expected) {
      day_.crowd.RouterDown(static_cast<int>(r), FromSeconds(day_.scenario.front_notices_s));
      continue;  // it stays down: the rule is broken
    }
    day_.pulse.agenda.In(life.back, [this, r] {
      Configure(static_cast<int>(r), true);
      routers_[r]->Start();
      day_.referee.RouterStarted(day_.pulse.agenda.now());
      Await(r);
      waiting_[static_cast<int>(r)].day = true;
    });
  }
}

void RouterLives::Await(std::size_t r) {
  waiting_[static_cast<int>(r)] = {};
  probe_.Set(std::chrono::milliseconds(20));
}

// Asks each router that is awaited for PING, on a connection of its own each time.
void RouterLives::Probe() {
  Pulse::Beat beat(day_.pulse);
  for (auto at = waiting_.begin(); at != waiting_.end();) {
    auto& [r, awaited] = *at;
    if (awaited.socket) {
      evbuffer* in = bufferevent_get_input(awaited.socket.get());
      if (awaited.before >= 0 && net::Contents(in).starts_with("ok")) {
        day_.pulse.agenda.In(awaited.keeps, [this, pid = awaited.before] { EndRetiring(pid); });
        at = waiting_.erase(at);
        continue;
      }
      if (net::Contents(in).starts_with("+PONG")) {
        if (awaited.day) {
          day_.referee.RouterBack(r);
          day_.crowd.RouterUp(r);
        }
        at = waiting_.erase(at);
        continue;
      }
    }
    bool beside = awaited.before >= 0;
    awaited.socket =
        Dial(day_.pulse.base(), beside ? admins_[r] : routers_[static_cast<std::size_t>(r)]->address());
    if (awaited.socket) {
      bufferevent_enable(awaited.socket.get(), EV_READ | EV_WRITE);
      std::string_view call = beside ? "HEALTH\n" : "*1\r\n$4\r\nPING\r\n";
      bufferevent_write(awaited.socket.get(), call.data(), call.size());
    }
    ++at;
  }
  if (!waiting_.empty()) probe_.Set(std::chrono::milliseconds(50));
}

void RouterLives::PrintCounters() {
  for (auto& router : routers_) router->Signal(SIGUSR1);
}

void RouterLives::Sample() {
  for (auto& router : routers_) router->Sample();
  sample_.Set(kSampleEvery);
}

}  // namespace peatbend::lab

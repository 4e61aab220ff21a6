#include "lab/socket_run.h"

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>

#include "lab/client_sockets.h"
#include "lab/dial.h"
#include "lab/peer_day.h"
#include "lab/warm.h"
#include "processes/router_process.h"
#include "standin/discovery_standin.h"
#include "standin/member_standin.h"
#include "standin/origin_standin.h"

namespace peatbend::lab {
namespace {

using processes::FreePort;
using processes::RouterProcess;
using standin::Pulse;
using world::FromMs;
using world::FromSeconds;
using world::Listing;

constexpr Span kOldDiscovery = std::chrono::milliseconds(1500);
constexpr Span kFrontAtStop = std::chrono::milliseconds(300);  // it is told of a planned stop
constexpr auto kReadyWithin = std::chrono::seconds(20);
constexpr auto kSampleEvery = std::chrono::milliseconds(500);

class SocketDay : public Carrier, public standin::Witness {
 public:
  SocketDay(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options)
      : scenario_(scenario),
        seed_(seed),
        options_(options),
        loop_(net::NewEventBase()),
        pulse_(loop_.get()),
        plan_(DrawPlan(scenario, seed)),
        fleet_(pulse_.agenda, scenario.fleet, seed),
        referee_(scenario),
        crowd_(pulse_.agenda, scenario, plan_, referee_, *this, seed),
        clients_(pulse_, scenario, plan_, referee_),
        tries_(static_cast<std::size_t>(scenario.routers)),
        lives_(static_cast<std::size_t>(scenario.routers)),
        on_child_(loop_.get(), SIGCHLD, [this] { Reap(); }),
        probe_(loop_.get(), [this] { Probe(); }),
        sample_(loop_.get(), [this] { Sample(); }) {
    clients_.Attach(crowd_);
    std::vector<int> zones;
    for (int r = 0; r < scenario.routers; ++r) zones.push_back(RouterZone(scenario, r));
    for (int place = 0; place < fleet_.places(); ++place)
      members_.push_back(std::make_unique<standin::MemberStandin>(pulse_, fleet_, place, zones, *this));
    origin_ = std::make_unique<standin::OriginStandin>(pulse_, fleet_, zones, *this);
    discovery_ = std::make_unique<standin::DiscoveryStandin>(
        pulse_, fleet_, scenario.routers,
        [this](int place, int router) {
          return place < 0 ? origin_->AddressFor(router)
                           : members_[static_cast<std::size_t>(place)]->AddressFor(router);
        },
        *this);
    Wire();
    FillCaches(fleet_, scenario, plan_);
    fleet_.Plan(scenario.troubles);
    for (const RouterEvent& event : scenario.router_events) PlanRouters(event);
    for (const Strangers& strangers : scenario.strangers) clients_.Let(strangers);
    std::vector<std::string> hosts, relays;
    for (int r = 0; r < scenario.routers; ++r) {
      // A host of this process's own: a router that is down must find its port again, whoever else plays a
      // day.
      std::string host = standin::LoopbackHost(10 + r, 100 + getpid() % 150, 4);
      std::string address = fmt::format("{}:{}", host, FreePort(host));
      hosts.push_back(host);
      relays.push_back(standin::LoopbackHost(10 + r, 100 + getpid() % 150, 5));
      std::string own =
          scenario.peers ? fmt::format("{}/router-{}.toml", options.folder, r) : options.own_config;
      routers_.push_back(std::make_unique<RouterProcess>(
          options.router, own, fmt::format("{}/router-{}", options.folder, r), address));
      clients_.RouterAt(r, address);
    }
    if (scenario.peers) {
      peers_ = std::make_unique<PeerDay>(pulse_.agenda, scenario, hosts, relays, seed);
      for (int r = 0; r < scenario.routers; ++r)
        std::ofstream(fmt::format("{}/router-{}.toml", options.folder, r))
            << peers_->FileFor(r, options.own_config);
    }
  }
  ~SocketDay() override {
    for (const Retiring& one : retiring_) {
      kill(one.pid, SIGKILL);
      waitpid(one.pid, nullptr, 0);
    }
    discovery_->EndWatches();
    members_.clear();
  }

  DayResult Run() {
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      Configure(static_cast<int>(r), true);
      routers_[r]->Start();
      Await(r);
    }
    auto limit = std::chrono::steady_clock::now() + kReadyWithin;
    while (!waiting_.empty()) {
      event_base_loop(loop_.get(), EVLOOP_ONCE);
      if (!problem_.empty()) throw std::runtime_error(problem_);
      if (std::chrono::steady_clock::now() > limit)
        throw std::runtime_error("router " + std::to_string(waiting_.begin()->first) +
                                 " did not answer PING; its log is in " + options_.folder);
    }
    crowd_.Start();
    pulse_.agenda.At(scenario_.lasts + LongestDeadline(scenario_) + FromMs(scenario_.grace_ms + 300),
                     [this] { event_base_loopbreak(loop_.get()); });
    for (int second = 1; options_.progress && FromSeconds(second) <= scenario_.lasts; ++second) {
      pulse_.agenda.At(FromSeconds(second), [this, second] {
        auto planned = std::ranges::count_if(plan_.requests,
                                             [&](const Planned& p) { return p.at < FromSeconds(second); });
        options_.progress(second, static_cast<std::uint64_t>(planned), crowd_.open());
      });
    }
    sample_.Set(kSampleEvery);
    pulse_.Begin();
    event_base_dispatch(loop_.get());
    Sample();
    if (peers_) {
      std::string difference = PeerDay::Difference(admins_);
      if (!difference.empty()) referee_.PeersDiffer(scenario_.lasts, difference);
    }
    DayResult result = Reckon(scenario_, seed_, plan_, crowd_.outcomes(), referee_, counter_.Read(fleet_));
    std::tie(result.returned, result.returned_served) = crowd_.returned();
    for (std::size_t r = 0; r < routers_.size(); ++r) {
      auto used = routers_[r]->Used();
      result.routers.push_back({1e6 * used.cpu_s / std::max<double>(1, static_cast<double>(tries_[r])),
                                used.peak_mb, used.descriptors});
    }
    result.worst_lag_ms = std::max(world::Ms(pulse_.worst_lag), peers_ ? peers_->worst_late_ms() : 0.0);
    return result;
  }

  // From the crowd.
  void Send(const Try& one) override {
    known_[one.id] = {one.request, one.idempotency};
    ++tries_[static_cast<std::size_t>(one.router)];
    clients_.Send(one);
  }

  // From the stand-ins.
  std::optional<world::Ask> Know(std::string_view id, std::string_view key, bool write) override {
    auto found = known_.find(std::string(id));
    if (found == known_.end()) return std::nullopt;
    const Planned& planned = plan_.requests[found->second.request];
    const ClassOfRequests& cls = scenario_.classes[static_cast<std::size_t>(planned.cls)];
    if (key != plan_.keys[static_cast<std::size_t>(planned.key)] || write != cls.write) return std::nullopt;
    world::Ask ask;
    ask.id = id;
    ask.key = key;
    ask.idempotency = found->second.idempotency;
    ask.write = write;
    ask.work = FromMs(planned.work_ms);
    ask.bytes = scenario_.value_bytes;
    return ask;
  }
  std::size_t Begun(std::string_view id, int place, int router, Time first_byte) override {
    counter_.Count(place, pulse_.agenda.now());
    return referee_.Attempt(std::string(id), place, place < 0 ? "origin" : fleet_.server(place).name(),
                            router, first_byte);
  }
  void Whole(std::size_t attempt, int place) override {
    referee_.AttemptWhole(attempt, pulse_.agenda.now(), place < 0 ? 0 : fleet_.server(place).zone());
  }
  void NeverRan(std::size_t attempt) override { referee_.AttemptNeverRan(attempt); }
  std::string Value(std::string_view key, std::string_view id, std::string_view server) override {
    return MakeValue(key, id, server, scenario_.value_bytes);
  }
  void Told(int router, const Listing& listing) override {
    referee_.Told(router, listing.name, listing.status == Listing::Status::kServing, pulse_.agenda.now());
  }

 private:
  struct Known {
    std::size_t request;
    std::string idempotency;
  };
  // A router that was started and has not answered PING yet.
  struct Awaited {
    net::BuffereventPtr socket;
    bool day = false;   // started again in the day
    pid_t before = -1;  // started beside this process, which ends when it has said yes
    Span keeps{};       // and so much time has gone
  };
  // A process whose successor has started.
  struct Retiring {
    int router;
    pid_t pid;
    bool told = false;
  };
  struct Life {
    bool expected = false;  // its end is the day's doing
    bool planned = false;   // SIGTERM: it must end with 0
    Span back{};
  };

  void Wire() {
    fleet_.on_change = [this](int place, world::Change change) {
      members_[static_cast<std::size_t>(place)]->Changed(change);
    };
    fleet_.on_fall = [this](int place) { referee_.Fell(place, pulse_.agenda.now()); };
    fleet_.on_origin_fall = [this](double share) { referee_.OriginFell(share, pulse_.agenda.now()); };
    fleet_.discovery().on_change = [this](const Listing& listing) {
      referee_.Listed(listing.name, listing.status == Listing::Status::kServing, pulse_.agenda.now());
      discovery_->Changed(listing);
    };
    fleet_.discovery().on_down = [this] { discovery_->EndWatches(); };
    fleet_.on_discovery_move = [this] {
      discovery_->Move(kOldDiscovery);
      for (std::size_t r = 0; r < routers_.size(); ++r) {
        Configure(static_cast<int>(r), false);
        routers_[r]->Signal(SIGHUP);
      }
    };
  }

  // `starts`: for a process that starts, which gets an operators' address of its own.
  void Configure(int r, bool starts) {
    auto& router = *routers_[static_cast<std::size_t>(r)];
    std::string host = router.address().substr(0, router.address().rfind(':'));
    if (starts) admins_[r] = fmt::format("{}:{}", host, FreePort(host));
    nlohmann::json config{
        {"admin", admins_[r]},
        {"name", fmt::format("n{}", r)},
        {"listen", router.address()},
        {"discovery", discovery_->AddressFor(r)},
        {"seed", fmt::format("{:x}", seed_ * 100 + static_cast<std::uint64_t>(r))},
        {"limits", {{"cores", 1.0}, {"memory_mb", scenario_.memory_mb}, {"sockets", scenario_.sockets}}},
        {"known", nlohmann::json::parse(discovery_->Whole(r))},
        {"settings", nlohmann::json::parse(SettingsJson(scenario_, r))}};
    router.Write(config.dump());
  }

  void PlanRouters(const RouterEvent& event) {
    for (std::size_t i = 0; i < event.routers.size(); ++i) {
      auto r = static_cast<std::size_t>(event.routers[i]);
      pulse_.agenda.At(event.at + static_cast<int>(i) * event.every, [this, r, event] {
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
        if (!planned) referee_.RouterEnded(static_cast<int>(r));
        routers_[r]->Signal(planned ? SIGTERM : SIGKILL);
        crowd_.RouterDown(static_cast<int>(r),
                          planned ? kFrontAtStop : FromSeconds(scenario_.front_notices_s));
      });
    }
  }

  // What it held while it stood still is excused.
  void Stall(std::size_t r, Span lasts) {
    int router = static_cast<int>(r);
    referee_.RouterEnded(router);
    routers_[r]->Signal(SIGSTOP);
    crowd_.RouterDown(router, FromSeconds(scenario_.front_notices_s));
    pulse_.agenda.In(lasts, [this, r, router] {
      routers_[r]->Signal(SIGCONT);
      referee_.RouterBack(router);
      crowd_.RouterUp(router);
    });
  }

  // A new process beside the running one, as operators do it: the old one is told to end once HEALTH of the
  // new one's address says yes.
  void Upgrade(std::size_t r, Span keeps) {
    Configure(static_cast<int>(r), true);
    pid_t before = routers_[r]->Retire();
    retiring_.push_back({static_cast<int>(r), before});
    routers_[r]->Start();
    Await(r);
    Awaited& awaited = waiting_[static_cast<int>(r)];
    awaited.before = before;
    awaited.keeps = keeps;
  }

  void EndRetiring(pid_t pid) {
    for (Retiring& one : retiring_) {
      if (one.pid != pid) continue;
      one.told = true;
      kill(pid, SIGTERM);
    }
  }

  void ReapRetiring() {
    std::erase_if(retiring_, [this](const Retiring& one) {
      int status = 0;
      if (waitpid(one.pid, &status, WNOHANG) != one.pid) return false;
      if (!one.told || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
        referee_.RouterCrashed(one.router, pulse_.agenda.now(), "while it handed over");
      return true;
    });
  }

  void Reap() {
    Pulse::Beat beat(pulse_);
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
      if (!fine) referee_.RouterCrashed(static_cast<int>(r), pulse_.agenda.now(), how);
      if (!life.expected) {
        crowd_.RouterDown(static_cast<int>(r), FromSeconds(scenario_.front_notices_s));
        continue;  // it stays down: the rule is broken
      }
      pulse_.agenda.In(life.back, [this, r] {
        Configure(static_cast<int>(r), true);
        routers_[r]->Start();
        Await(r);
        waiting_[static_cast<int>(r)].day = true;
      });
    }
  }

  void Await(std::size_t r) {
    waiting_[static_cast<int>(r)] = {};
    probe_.Set(std::chrono::milliseconds(20));
  }

  // Asks each router that is awaited for PING, on a connection of its own each time.
  void Probe() {
    Pulse::Beat beat(pulse_);
    for (auto at = waiting_.begin(); at != waiting_.end();) {
      auto& [r, awaited] = *at;
      if (awaited.socket) {
        evbuffer* in = bufferevent_get_input(awaited.socket.get());
        if (awaited.before >= 0 && net::Contents(in).starts_with("ok")) {
          pulse_.agenda.In(awaited.keeps, [this, pid = awaited.before] { EndRetiring(pid); });
          at = waiting_.erase(at);
          continue;
        }
        if (net::Contents(in).starts_with("+PONG")) {
          if (awaited.day) {
            referee_.RouterBack(r);
            crowd_.RouterUp(r);
          }
          at = waiting_.erase(at);
          continue;
        }
      }
      bool beside = awaited.before >= 0;
      awaited.socket =
          Dial(loop_.get(), beside ? admins_[r] : routers_[static_cast<std::size_t>(r)]->address());
      if (awaited.socket) {
        bufferevent_enable(awaited.socket.get(), EV_READ | EV_WRITE);
        std::string_view call = beside ? "HEALTH\n" : "*1\r\n$4\r\nPING\r\n";
        bufferevent_write(awaited.socket.get(), call.data(), call.size());
      }
      ++at;
    }
    if (!waiting_.empty()) probe_.Set(std::chrono::milliseconds(50));
  }

  void Sample() {
    for (auto& router : routers_) router->Sample();
    sample_.Set(kSampleEvery);
  }

  const Scenario& scenario_;
  std::uint64_t seed_;
  const SocketOptions& options_;
  net::EventBasePtr loop_;
  Pulse pulse_;
  Plan plan_;
  world::Fleet fleet_;
  Referee referee_;
  Crowd crowd_;
  ClientSockets clients_;
  LoadCounter counter_;
  std::unordered_map<std::string, Known> known_;
  std::vector<std::uint64_t> tries_;
  std::vector<Life> lives_;
  std::map<int, Awaited> waiting_;
  std::map<int, std::string> admins_;  // the operators' address that each router was last given
  std::vector<Retiring> retiring_;
  std::string problem_;
  std::vector<std::unique_ptr<standin::MemberStandin>> members_;
  std::unique_ptr<standin::OriginStandin> origin_;
  std::unique_ptr<standin::DiscoveryStandin> discovery_;
  std::vector<std::unique_ptr<RouterProcess>> routers_;
  std::unique_ptr<PeerDay> peers_;
  net::Signal on_child_;
  net::Timer probe_, sample_;
};

}  // namespace

DayResult RunOnSockets(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options) {
  RaiseDescriptors();
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(options.folder);
  return SocketDay(scenario, seed, options).Run();
}

}  // namespace peatbend::lab

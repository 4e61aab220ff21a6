#include "lab/socket_run.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <unordered_map>

#include "lab/client_sockets.h"
#include "lab/dial.h"
#include "lab/peer_day.h"
#include "lab/ration_shares.h"
#include "lab/router_lives.h"
#include "lab/warm.h"
#include "processes/peer_view.h"
#include "standin/discovery_standin.h"
#include "standin/member_standin.h"
#include "standin/origin_standin.h"

namespace peatbend::lab {
namespace {

using processes::FreePort;
using standin::Pulse;
using world::FromMs;
using world::FromSeconds;
using world::Listing;

constexpr Span kOldDiscovery = std::chrono::milliseconds(1500);

// The hosts of this process's routers, 127.x.network.host and the next: its own for each of 15,000 processes
// that run at the same time. Networks below 100 are the stand-ins'.
struct HostLane {
  int network = 100 + getpid() % 150;
  int host = 4 + 2 * (getpid() / 150 % 100);
};

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
        shares_(scenario) {
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
    routers_ = std::make_unique<RouterLives>(
        RouterLives::Day{scenario, seed, options, pulse_, referee_, crowd_, *discovery_});
    Wire();
    FillCaches(fleet_, scenario, plan_);
    fleet_.Plan(scenario.troubles);
    routers_->Plan();
    for (const Strangers& strangers : scenario.strangers) clients_.Let(strangers);
    std::vector<std::string> hosts, relays;
    const HostLane lane;
    for (int r = 0; r < scenario.routers; ++r) {
      // A host of this process's own: a router that is down must find its port again, whoever else plays a
      // day.
      std::string host = standin::LoopbackHost(10 + r, lane.network, lane.host);
      std::string address = fmt::format("{}:{}", host, FreePort(host));
      hosts.push_back(host);
      relays.push_back(standin::LoopbackHost(10 + r, lane.network, lane.host + 1));
      std::string own =
          scenario.peers ? fmt::format("{}/router-{}.toml", options.folder, r) : options.own_config;
      routers_->Add(own, address);
      clients_.RouterAt(r, address);
    }
    if (scenario.peers) {
      peers_ = std::make_unique<PeerDay>(pulse_.agenda, scenario, hosts, relays, seed);
      for (int r = 0; r < scenario.routers; ++r)
        std::ofstream(fmt::format("{}/router-{}.toml", options.folder, r))
            << peers_->FileFor(r, options.own_config)
            << RationsFor(scenario, fmt::format("{}/book", options.folder))
            << PublicationsFor(scenario, Schemas(r), fmt::format("{}/register-{}", options.folder, r));
      if (scenario.publish.on) WriteSchemas();
      if (scenario.rations.play == RationDay::Play::kOn)
        std::ofstream(fmt::format("{}/book", options.folder)) << scenario.rations.book;
    }
  }
  ~SocketDay() override {
    discovery_->EndWatches();
    members_.clear();
  }

  DayResult Run() {
    routers_->StartAll();
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
    pulse_.Begin();
    event_base_dispatch(loop_.get());
    routers_->Sample();
    if (peers_) {
      std::string difference = PeerDay::Difference(routers_->admins());
      if (!difference.empty()) referee_.PeersDiffer(scenario_.lasts, difference);
    }
    referee_.JudgeRations();
    DayResult result = Reckon(scenario_, seed_, plan_, crowd_.outcomes(), referee_, counter_.Read(fleet_));
    if (peers_) result.figures = Figures();
    std::tie(result.returned, result.returned_served) = crowd_.returned();
    for (std::size_t r = 0; r < routers_->size(); ++r) {
      auto used = routers_->Used(r);
      result.routers.push_back({1e6 * used.cpu_s / std::max<double>(1, static_cast<double>(tries_[r])),
                                used.peak_mb, used.descriptors, tries_[r]});
    }
    result.worst_lag_ms = std::max(world::Ms(pulse_.worst_lag), peers_ ? peers_->worst_late_ms() : 0.0);
    return result;
  }

  // From the crowd.
  void Send(const Try& one) override {
    known_[one.id] = {one.request, one.idempotency};
    if (scenario_.rations.play == RationDay::Play::kShares) {
      const Planned& planned = plan_.requests[one.request];
      auto over =
          shares_.Over({planned.tenant, planned.cls, planned.client}, one.router, pulse_.agenda.now());
      if (over) {
        pulse_.agenda.In(Span{}, [this, one, wait = *over] { crowd_.Rejected(one, wait); });
        return;
      }
    }
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
  void Dialled(int place, int) override { counter_.CountDial(place, pulse_.agenda.now()); }
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

  // Sums of what the routers that answer count.
  std::map<std::string, std::uint64_t> Figures() {
    routers_->PrintCounters();  // done by the time at which they answer
    std::map<std::string, std::uint64_t> sums;
    for (const auto& [router, admin] : routers_->admins()) {
      try {
        for (const auto& [name, value] : processes::AskFigures(admin)) sums[name] += value;
      } catch (const std::runtime_error&) {  // it is down
      }
    }
    return sums;
  }

  std::string Schemas(int router) const { return fmt::format("{}/schemas-{}", options_.folder, router); }

  // Each version in the folders of who proposes it, when it does.
  void WriteSchemas() {
    std::vector<int> all(static_cast<std::size_t>(scenario_.routers));
    std::iota(all.begin(), all.end(), 0);
    for (int router : all) {
      std::filesystem::create_directories(Schemas(router));
      std::filesystem::create_directories(fmt::format("{}/register-{}", options_.folder, router));
    }
    for (std::size_t i = 0; i < scenario_.publish.versions.size(); ++i) {
      const PublishDay::Version& version = scenario_.publish.versions[i];
      auto write = [this, i, by = version.by.empty() ? all : version.by] {
        for (int router : by)
          std::ofstream(fmt::format("{}/{}.avsc", Schemas(router), i + 1))
              << scenario_.publish.versions[i].schema;
      };
      version.from > Time{} ? pulse_.agenda.At(version.from, write) : write();
    }
  }

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
      routers_->Reload();
    };
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
  RationShares shares_;
  std::vector<std::unique_ptr<standin::MemberStandin>> members_;
  std::unique_ptr<standin::OriginStandin> origin_;
  std::unique_ptr<standin::DiscoveryStandin> discovery_;
  std::unique_ptr<RouterLives> routers_;
  std::unique_ptr<PeerDay> peers_;
};

}  // namespace

DayResult RunOnSockets(const Scenario& scenario, std::uint64_t seed, const SocketOptions& options) {
  RaiseDescriptors();
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::create_directories(options.folder);
  Scenario day = WithStorms(scenario, seed);
  return SocketDay(day, seed, options).Run();
}

}  // namespace peatbend::lab

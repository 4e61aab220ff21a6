// A fleet of quota managers under demand, on simulated links and clocks. The same seed gives the same run.
// Admitted requests are counted by the simulation's own clock, independently of what the managers report.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rations/quota_manager.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::rations::test {

using namespace std::chrono_literals;

struct FleetSetup {
  std::size_t routers = 20;
  std::uint64_t seed = 1;
  double loss = 0.05, duplicate = 0.05;
  Span detection_delay = 1200ms;  // until other routers notice a crash or a stall
  TokenRate pace{1000, 1000};
  bool hard = true;
};

class FleetSimulation {
 public:
  explicit FleetSimulation(FleetSetup setup)
      : setup_(setup), random_(setup.seed, 5), replicas_(Names(setup.routers)) {
    auto table = std::make_shared<QuotaTable>();
    table->fingerprint = 1;
    Quota all;
    all.rate = setup.pace;
    all.hard = setup.hard;
    table->quotas.push_back(all);
    table->BuildIndex(1, 1);
    table_ = table;
    current_.resize(setup.routers);
    for (std::size_t r = 0; r < setup.routers; ++r) Start(r);
  }

  world::Agenda& agenda() { return agenda_; }
  world::Random& random() { return random_; }
  Time now() const { return agenda_.now(); }
  std::size_t size() const { return setup_.routers; }

  // Starts another process under that router's name. A process that already runs under it keeps running
  // beside it; messages to the name reach either, as the sender's route says.
  void Start(std::size_t r) {
    auto process = std::make_unique<Process>();
    process->router = r;
    process->nonce = random_.Word() | 1;
    process->started = now();
    process->clock_offset = Span(static_cast<Span::rep>(random_.Between(0, 3600e9)));
    auto present = [this](const std::string& router) {
      const Process& one = *processes_[current_[std::stoul(router.substr(1))]];
      Time silent_since = one.manager ? one.stalled_at : one.ended;
      bool down = !one.manager || one.stalled_until > now();
      return !down || now() < silent_since + setup_.detection_delay;
    };
    current_[r] = processes_.size();
    processes_.push_back(std::move(process));
    Process& made = *processes_.back();
    QuotaManagerOptions options;
    options.ledger.routers = static_cast<int>(setup_.routers);
    made.manager = std::make_unique<QuotaManager>(options, replicas_, Name(r), made.nonce, random_.Word(),
                                                  table_, now() + made.clock_offset, present);
  }
  void Kill(std::size_t process) {
    Process& one = *processes_[process];
    if (!one.manager) return;
    one.manager.reset();
    one.deferred.clear();
    one.ended = now();
  }
  void Stall(std::size_t process, Span span) {
    Process& one = *processes_[process];
    if (one.stalled_until <= now()) one.stalled_at = now();
    one.stalled_until = std::max(one.stalled_until, now() + span);
    ScheduleResume(process);
  }
  void Cut(std::size_t from, std::size_t to, bool cut) {
    cut ? (void)cuts_.insert({from, to}) : (void)cuts_.erase({from, to});
  }
  // Delays every message sent from now on by so much more.
  void SetExtraDelay(Span delay) { extra_delay_ = delay; }
  std::size_t current(std::size_t r) const { return current_[r]; }
  bool up(std::size_t r) const {
    const Process& one = *processes_[current_[r]];
    return one.manager && one.stalled_until <= now();
  }
  // The first router that owns a shard; size() if there is none.
  std::size_t Owner() const {
    for (std::size_t r = 0; r < size(); ++r) {
      if (up(r) && processes_[current_[r]]->manager->owned_shards() > 0) return r;
    }
    return size();
  }

  // Sends a request to that process and records whether it was admitted.
  void Request(std::size_t process) {
    WhenRunning(process, [this, process] {
      AdmitByFixedShare(processes_[process]->router);
      Verdict verdict = processes_[process]->manager->Admit(LocalTime(process), {0, 0, false, false, 0, {}});
      ++requests;
      if (verdict.within_quota) admitted_.push_back(now());
      Flush(process);
    });
  }
  // Poisson demand of that rate until then. `at`: chooses the router of each request; requests to a router
  // that is down go to another.
  void Demand(double per_second, Time until, std::function<std::size_t()> at) {
    agenda_.In(world::FromSeconds(random_.Exponential(1 / per_second)), [this, per_second, until, at] {
      if (now() >= until) return;
      std::size_t r = at();
      for (int n = 0; n < 50 && !up(r); ++n) r = random_.Below(static_cast<std::uint32_t>(size()));
      Request(current_[r]);
      Demand(per_second, until, at);
    });
  }

  // Checks the bound in all windows of that length. `over`: windows in which more was admitted than the
  // bound; `max_credit_used`: the largest excess over burst + rate x T, relative to the credit of the
  // processes that ran in the window.
  struct BoundCheck {
    std::size_t windows = 0, over = 0;
    double max_credit_used = -1e9;
  };
  BoundCheck CheckBound(Span window) const {
    BoundCheck check;
    double credit = std::max(1.0, std::min(setup_.pace.per_second * 0.1, setup_.pace.burst));
    std::size_t end = 0;
    for (std::size_t i = 0; i < admitted_.size(); ++i) {
      Time from = admitted_[i], to = from + window;
      while (end < admitted_.size() && admitted_[end] <= to) ++end;
      auto processes = std::ranges::count_if(processes_, [&](const auto& one) {
        return one->started <= to && (one->manager || one->ended >= from);
      });
      double excess =
          static_cast<double>(end - i) - setup_.pace.burst - setup_.pace.per_second * world::Seconds(window);
      ++check.windows;
      check.over += excess > credit * static_cast<double>(processes) + 1e-6 ? 1 : 0;
      check.max_credit_used =
          std::max(check.max_credit_used, excess / (credit * static_cast<double>(processes)));
    }
    return check;
  }
  std::size_t Admitted(Time from, Time to) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(admitted_, [&](Time at) { return at >= from && at < to; }));
  }
  std::uint64_t Debt() const {
    std::uint64_t sum = 0;
    for (const auto& one : processes_) sum += one->manager ? one->manager->ledger().debt() : 0;
    return sum;
  }
  const QuotaManager& manager(std::size_t r) const { return *processes_[current_[r]]->manager; }
  QuotaManager::Metrics TotalMetrics() const {
    QuotaManager::Metrics sum;
    for (const auto& one : processes_) {
      if (!one->manager) continue;
      sum.elections += one->manager->metrics().elections;
      sum.elections_won += one->manager->metrics().elections_won;
      sum.ballots_lost += one->manager->metrics().ballots_lost;
      sum.tokens += one->manager->metrics().tokens;
      sum.redirects += one->manager->metrics().redirects;
    }
    return sum;
  }
  // How many of the same requests would be admitted if each router had a fixed share of the quota.
  std::uint64_t by_fixed_shares = 0;
  std::uint64_t messages = 0, requests = 0;
  bool routes_differ = false;  // senders reach different processes of one name

 private:
  struct Process {
    std::size_t router = 0;
    std::uint64_t nonce = 0;
    Span clock_offset{};
    std::unique_ptr<QuotaManager> manager;
    Time started{}, ended{-1}, stalled_at{}, stalled_until{}, armed{};
    std::vector<std::function<void()>> deferred;
  };

  static std::string Name(std::size_t r) { return fmt::format("r{:03}", r); }
  static std::vector<failover::ReplicaName> Names(std::size_t routers) {
    std::vector<failover::ReplicaName> names;
    for (std::size_t r = 0; r < routers; ++r) names.push_back({Name(r), r % 2 == 0 ? "east" : "west"});
    return names;
  }
  void AdmitByFixedShare(std::size_t r) {
    auto& [tokens, at] = shares_[r];
    double routers = static_cast<double>(size());
    tokens = std::min(std::max(1.0, setup_.pace.burst / routers),
                      tokens + setup_.pace.per_second / routers * world::Seconds(now() - at));
    at = now();
    if (tokens < 1) return;
    tokens -= 1;
    ++by_fixed_shares;
  }
  Time LocalTime(std::size_t process) const { return now() + processes_[process]->clock_offset; }

  // Runs `what` now or, if the process is stalled, when it resumes.
  void WhenRunning(std::size_t process, std::function<void()> what) {
    Process& one = *processes_[process];
    if (!one.manager) return;
    if (one.stalled_until > now()) {
      if (one.deferred.size() < 2000) one.deferred.push_back(std::move(what));
      return;
    }
    what();
  }
  void ScheduleResume(std::size_t process) {
    agenda_.At(processes_[process]->stalled_until, [this, process] {
      Process& one = *processes_[process];
      if (one.stalled_until > now() || !one.manager) return;
      for (auto& what : std::exchange(one.deferred, {})) WhenRunning(process, std::move(what));
      Arm(process, now());
    });
  }
  void Arm(std::size_t process, Time at) {
    Process& one = *processes_[process];
    one.armed = at;
    agenda_.At(at, [this, process, at] {
      if (processes_[process]->armed != at) return;
      WhenRunning(process, [this, process] {
        Process& one = *processes_[process];
        one.armed = Time::max();
        one.manager->Tick(LocalTime(process), LocalTime(process) / 1s, kNoCondition);
        Flush(process);
      });
    });
  }
  void Flush(std::size_t process) {
    Process& one = *processes_[process];
    for (Outgoing& out : one.manager->DrainOutgoing()) Send(process, out);
    auto due = one.manager->NextDue();
    if (!due) return;
    Time at = std::max(*due - one.clock_offset, now());
    if (one.armed > now() && one.armed <= at) return;
    Arm(process, at);
  }
  void Send(std::size_t from, const Outgoing& out) {
    std::size_t router = std::stoul(out.router.substr(1));
    std::size_t sender = processes_[from]->router;
    ++messages;
    int copies = random_.Chance(setup_.loss) ? 0 : random_.Chance(setup_.duplicate) ? 2 : 1;
    if (cuts_.contains({sender, router})) copies = 0;
    for (int i = 0; i < copies; ++i) {
      // Most messages take less than a millisecond, some very long.
      Span delay = 300us + extra_delay_ + world::FromMs(random_.Unit() * 0.7);
      if (random_.Chance(0.01)) delay += world::FromMs(random_.Exponential(800));
      agenda_.In(delay, [this, from, sender, router, message = out.message] {
        std::size_t to = Route(from, router);
        WhenRunning(to, [this, to, sender, message] {
          processes_[to]->manager->Receive(LocalTime(to), Name(sender), message);
          Flush(to);
        });
      });
    }
  }
  std::size_t Route(std::size_t from, std::size_t router) const {
    if (!routes_differ || from % 2 == 0) return current_[router];
    for (std::size_t p = 0; p < processes_.size(); ++p) {
      if (processes_[p]->router == router && processes_[p]->manager) return p;
    }
    return current_[router];
  }

  FleetSetup setup_;
  world::Agenda agenda_{1s};
  world::Random random_;
  failover::ReplicaSet replicas_;
  std::shared_ptr<const QuotaTable> table_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::size_t> current_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  Span extra_delay_{};
  std::map<std::size_t, std::pair<double, Time>> shares_;
  std::vector<Time> admitted_;
};

}  // namespace peatbend::rations::test

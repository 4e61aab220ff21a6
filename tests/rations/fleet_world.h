// Routers' offices on simulated links and clocks, under demand. The same seed gives the same run. What was
// admitted is counted apart from all that the offices know: by the world's own clock, from the requests'
// facts alone.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "rations/office.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::rations::test {

using namespace std::chrono_literals;

struct FleetSetup {
  std::size_t routers = 20;
  std::uint64_t seed = 1;
  double loss = 0.05, duplicate = 0.05;
  Span notice = 1200ms;  // a death or a stall, until it is known
  TokenRate pace{1000, 1000};
  bool hard = true;
};

class FleetWorld {
 public:
  explicit FleetWorld(FleetSetup setup)
      : setup_(setup), random_(setup.seed, 5), seats_(Names(setup.routers)) {
    auto table = std::make_shared<QuotaTable>();
    table->fingerprint = 1;
    Quota all;
    all.rate = setup.pace;
    all.hard = setup.hard;
    table->quotas.push_back(all);
    table->BuildIndex(1, 1);
    table_ = table;
    serving_.resize(setup.routers);
    for (std::size_t r = 0; r < setup.routers; ++r) Start(r);
  }

  world::Agenda& agenda() { return agenda_; }
  world::Random& random() { return random_; }
  Time now() const { return agenda_.now(); }
  std::size_t size() const { return setup_.routers; }

  // Another process of that name; the former one, if it runs, is a twin from now on: it has demand of its
  // own, and of what is said to the name each hears what its sender's route says.
  void Start(std::size_t r) {
    auto process = std::make_unique<Process>();
    process->name = r;
    process->nonce = random_.Word() | 1;
    process->began = now();
    process->clock = Span(static_cast<Span::rep>(random_.Between(0, 3600e9)));
    auto sees = [this](const std::string& router) {
      const Process& one = *processes_[serving_[std::stoul(router.substr(1))]];
      Time quiet = one.office ? one.stalled_at : one.ended;
      bool down = !one.office || one.still_until > now();
      return !down || now() < quiet + setup_.notice;
    };
    serving_[r] = processes_.size();
    processes_.push_back(std::move(process));
    Process& made = *processes_.back();
    OfficeOptions options;
    options.purse.routers = static_cast<int>(setup_.routers);
    made.office = std::make_unique<Office>(options, seats_, Name(r), made.nonce, random_.Word(), table_,
                                           now() + made.clock, sees);
  }
  void Kill(std::size_t process) {
    Process& one = *processes_[process];
    if (!one.office) return;
    one.office.reset();
    one.waiting.clear();
    one.ended = now();
  }
  void Stall(std::size_t process, Span span) {
    Process& one = *processes_[process];
    if (one.still_until <= now()) one.stalled_at = now();
    one.still_until = std::max(one.still_until, now() + span);
    Wake(process);
  }
  void Cut(std::size_t from, std::size_t to, bool cut) {
    cut ? (void)cuts_.insert({from, to}) : (void)cuts_.erase({from, to});
  }
  // Everything that is said from now on takes so much longer.
  void Slow(Span by) { slow_ = by; }
  std::size_t serving(std::size_t r) const { return serving_[r]; }
  bool up(std::size_t r) const {
    const Process& one = *processes_[serving_[r]];
    return one.office && one.still_until <= now();
  }
  // The router whose process keeps that shard; none: size().
  std::size_t Keeper() const {
    for (std::size_t r = 0; r < size(); ++r) {
      if (up(r) && processes_[serving_[r]]->office->kept() > 0) return r;
    }
    return size();
  }

  // A request at that process, and whether it was admitted.
  void Ask(std::size_t process) {
    On(process, [this, process] {
      Share(processes_[process]->name);
      Verdict verdict = processes_[process]->office->Take(Local(process), {0, 0, false, false, 0, {}});
      ++asked;
      if (verdict.within) admitted_.push_back(now());
      Flush(process);
    });
  }
  // Demand of so many a second until then; a router that is down passes its own to another. `at`: whose it
  // is.
  void Demand(double per_second, Time until, std::function<std::size_t()> at) {
    agenda_.In(world::FromSeconds(random_.Exponential(1 / per_second)), [this, per_second, until, at] {
      if (now() >= until) return;
      std::size_t r = at();
      for (int n = 0; n < 50 && !up(r); ++n) r = random_.Below(static_cast<std::uint32_t>(size()));
      Ask(serving_[r]);
      Demand(per_second, until, at);
    });
  }

  // The windows of that length in which more was admitted than may be, and the most tokens that any had
  // beyond burst + rate x T, in parts of what its processes may have ahead.
  struct Judged {
    std::size_t windows = 0, over = 0;
    double most = -1e9;
  };
  Judged Judge(Span window) const {
    Judged judged;
    double ahead = std::max(1.0, std::min(setup_.pace.per_second * 0.1, setup_.pace.burst));
    std::size_t end = 0;
    for (std::size_t i = 0; i < admitted_.size(); ++i) {
      Time from = admitted_[i], to = from + window;
      while (end < admitted_.size() && admitted_[end] <= to) ++end;
      auto processes = std::ranges::count_if(processes_, [&](const auto& one) {
        return one->began <= to && (one->office || one->ended >= from);
      });
      double beyond =
          static_cast<double>(end - i) - setup_.pace.burst - setup_.pace.per_second * world::Seconds(window);
      ++judged.windows;
      judged.over += beyond > ahead * static_cast<double>(processes) + 1e-6 ? 1 : 0;
      judged.most = std::max(judged.most, beyond / (ahead * static_cast<double>(processes)));
    }
    return judged;
  }
  std::size_t Admitted(Time from, Time to) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(admitted_, [&](Time at) { return at >= from && at < to; }));
  }
  std::uint64_t Owed() const {
    std::uint64_t sum = 0;
    for (const auto& one : processes_) sum += one->office ? one->office->purse().owed() : 0;
    return sum;
  }
  const Office& office(std::size_t r) const { return *processes_[serving_[r]]->office; }
  Office::Figures Sum() const {
    Office::Figures sum;
    for (const auto& one : processes_) {
      if (!one->office) continue;
      sum.goes += one->office->figures().goes;
      sum.begun += one->office->figures().begun;
      sum.lost += one->office->figures().lost;
      sum.tokens += one->office->figures().tokens;
      sum.elsewhere += one->office->figures().elsewhere;
    }
    return sum;
  }
  // By a fixed share of the ration for each router, of the same requests: what it would admit.
  std::uint64_t by_shares = 0;
  std::uint64_t messages = 0, asked = 0;
  bool routes_differ = false;  // of twins' names, from sender to sender

 private:
  struct Process {
    std::size_t name = 0;
    std::uint64_t nonce = 0;
    Span clock{};
    std::unique_ptr<Office> office;
    Time began{}, ended{-1}, stalled_at{}, still_until{}, armed{};
    std::vector<std::function<void()>> waiting;
  };

  static std::string Name(std::size_t r) { return fmt::format("r{:03}", r); }
  static std::vector<failover::ReplicaName> Names(std::size_t routers) {
    std::vector<failover::ReplicaName> names;
    for (std::size_t r = 0; r < routers; ++r) names.push_back({Name(r), r % 2 == 0 ? "east" : "west"});
    return names;
  }
  void Share(std::size_t r) {
    auto& [tokens, at] = shares_[r];
    double routers = static_cast<double>(size());
    tokens = std::min(std::max(1.0, setup_.pace.burst / routers),
                      tokens + setup_.pace.per_second / routers * world::Seconds(now() - at));
    at = now();
    if (tokens < 1) return;
    tokens -= 1;
    ++by_shares;
  }
  Time Local(std::size_t process) const { return now() + processes_[process]->clock; }

  // Once that process runs.
  void On(std::size_t process, std::function<void()> what) {
    Process& one = *processes_[process];
    if (!one.office) return;
    if (one.still_until > now()) {
      if (one.waiting.size() < 2000) one.waiting.push_back(std::move(what));
      return;
    }
    what();
  }
  void Wake(std::size_t process) {
    agenda_.At(processes_[process]->still_until, [this, process] {
      Process& one = *processes_[process];
      if (one.still_until > now() || !one.office) return;
      for (auto& what : std::exchange(one.waiting, {})) On(process, std::move(what));
      Arm(process, now());
    });
  }
  void Arm(std::size_t process, Time at) {
    Process& one = *processes_[process];
    one.armed = at;
    agenda_.At(at, [this, process, at] {
      if (processes_[process]->armed != at) return;
      On(process, [this, process] {
        Process& one = *processes_[process];
        one.armed = Time::max();
        one.office->Tick(Local(process), Local(process) / 1s, kNoCondition);
        Flush(process);
      });
    });
  }
  void Flush(std::size_t process) {
    Process& one = *processes_[process];
    for (Out& out : one.office->TakeOut()) Send(process, out);
    auto due = one.office->Due();
    if (!due) return;
    Time at = std::max(*due - one.clock, now());
    if (one.armed > now() && one.armed <= at) return;
    Arm(process, at);
  }
  void Send(std::size_t from, const Out& out) {
    std::size_t name = std::stoul(out.router.substr(1));
    std::size_t sender = processes_[from]->name;
    ++messages;
    int copies = random_.Chance(setup_.loss) ? 0 : random_.Chance(setup_.duplicate) ? 2 : 1;
    if (cuts_.contains({sender, name})) copies = 0;
    for (int i = 0; i < copies; ++i) {
      // Most within a millisecond, some very late.
      Span way = 300us + slow_ + world::FromMs(random_.Unit() * 0.7);
      if (random_.Chance(0.01)) way += world::FromMs(random_.Exponential(800));
      agenda_.In(way, [this, from, sender, name, message = out.message] {
        std::size_t to = Route(from, name);
        On(to, [this, to, sender, message] {
          processes_[to]->office->Take(Local(to), Name(sender), message);
          Flush(to);
        });
      });
    }
  }
  std::size_t Route(std::size_t from, std::size_t name) const {
    if (!routes_differ || from % 2 == 0) return serving_[name];
    for (std::size_t p = 0; p < processes_.size(); ++p) {
      if (processes_[p]->name == name && processes_[p]->office) return p;
    }
    return serving_[name];
  }

  FleetSetup setup_;
  world::Agenda agenda_{1s};
  world::Random random_;
  failover::ReplicaSet seats_;
  std::shared_ptr<const QuotaTable> table_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<std::size_t> serving_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  Span slow_{};
  std::map<std::size_t, std::pair<double, Time>> shares_;
  std::vector<Time> admitted_;
};

}  // namespace peatbend::rations::test

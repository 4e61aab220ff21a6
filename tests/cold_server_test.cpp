// What a cache server in slow start gets from all proxies of a tier together: in no span of tip_after more
// than it can take, and yet its part of the traffic. The proxies share nothing.
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>

#include "harness.h"

namespace peatbend {
namespace {

constexpr Duration kStep = 10ms, kAnswersIn = 20ms;
constexpr int kServers = 12;
constexpr TimePoint kRestarted{200s};  // the cold server
const std::string kCold = "cache-15";

struct Load {
  int routers = 3;
  double capacity = 12;  // requests a second that a warm server can take
  double use = 0.7;      // of the capacity of all of them
  double start_capacity = 0.14;
  Duration warm_after = 24s;
  bool uneven = false;         // a fifth of the proxies get half of the traffic
  bool idle_before = false;    // hardly any traffic until the burst
  bool restart_all = false;    // all proxies start anew within the burst
  bool restart_twice = false;  // the server starts once more
  Duration burst_after{};      // from its start: for 2 s each proxy gets many requests for its keys
  bool rare_keys = false;      // nobody asks for its keys until the burst
};

Settings TierSettings(const Load& load, int index) {
  Settings settings = BasicSettings();
  settings.routers = load.routers;
  settings.router_index = index;
  settings.start_capacity = load.start_capacity;
  settings.warm_after = load.warm_after;
  return settings;
}

class Tier {
 public:
  explicit Tier(const Load& load) : load_(load), random_(71) {
    list_ = Fleet(kServers);
    for (int index = 0; index < load.routers; ++index) StartProxy(index);
    for (std::uint64_t key = 1; key < 5000; ++key) {  // as a warm server gets them
      Proxy& probe = proxies_.front()->proxy;
      bool its = SentTo(probe.Ask(++id_, key)) == kCold;
      probe.Answer(id_, Result::kGood);
      (its ? keys_ : others_).push_back(key);
    }
    proxies_.clear();
    for (int index = 0; index < load.routers; ++index) StartProxy(index);
  }

  // Plays from a time before the server's start to the end of its warm-up.
  void Play() {
    now_ = kRestarted - 15s;
    for (; now_ < std::min(Burst() + 4s, kRestarted + load_.warm_after); now_ += kStep) {
      if (now_ == kRestarted) RestartServer(kRestarted);
      if (load_.restart_twice && now_ == kRestarted + 3s) RestartServer(now_);
      if (load_.restart_all && now_ == Burst() + 100ms) {
        for (int index = 0; index < load_.routers; ++index) StartProxy(index);
      }
      bool burst = now_ >= Burst() && now_ < Burst() + 2s && (now_ - Burst()) % 100ms == 0ms;
      if (burst) AskAllForItsKeys();
      for (auto& one : proxies_) Step(*one);
    }
  }

  // By how many sends it got too much in the worst span, which ends with a send; below zero: too few to
  // matter.
  double WorstExcess() const {
    double worst = -1e9;
    for (std::size_t last = 0, first = 0; last < sent_.size(); ++last) {
      while (sent_[first] <= sent_[last] - TierSettings(load_, 0).overload_duration) ++first;
      double count = static_cast<double>(last - first + 1);
      worst = std::max(worst, count - Bound(sent_[last] - TierSettings(load_, 0).overload_duration / 2));
    }
    return worst;
  }
  // Of the requests for its keys that were sent anywhere; the burst's are not counted.
  double Share() const { return asked_ > 0 ? static_cast<double>(served_) / static_cast<double>(asked_) : 0; }
  std::size_t sent() const { return sent_.size(); }

 private:
  struct Answer {
    TimePoint at{};
    unsigned id = 0;
    Result result = Result::kGood;
  };
  struct One {
    explicit One(const Settings& settings, std::uint64_t seed) : proxy(settings, seed) {}
    Proxy proxy;
    int index = 0;
    std::deque<Answer> answers;  // in order of time
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> bells;
  };

  TimePoint Burst() const { return kRestarted + load_.burst_after; }

  double Warmed(TimePoint at) const {
    if (started_ == TimePoint{} || at - started_ >= load_.warm_after) return 1;
    auto since = static_cast<double>(std::max(Duration{}, at - started_).count());
    double share = since / static_cast<double>(load_.warm_after.count());
    return load_.start_capacity + (1 - load_.start_capacity) * share;
  }

  double Bound(TimePoint at) const {
    double n = 3 * Warmed(at) * load_.capacity * 2;
    return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
  }

  void StartProxy(int index) {
    auto one = std::make_unique<One>(TierSettings(load_, index), ++seed_);
    one->index = index;
    one->proxy.now = now_;
    Do(*one, one->proxy.List(list_));
    auto place = static_cast<std::size_t>(index);
    if (place < proxies_.size()) {
      proxies_[place] = std::move(one);
    } else {
      proxies_.push_back(std::move(one));
    }
  }

  void RestartServer(TimePoint at) {
    started_ = at;
    sent_.clear();
    for (ServerEntry& entry : list_) {
      if (entry.id.name == kCold) entry.started = at;
    }
    for (auto& one : proxies_) {
      one->proxy.now = now_;
      Do(*one, one->proxy.List(list_));
    }
  }

  void Do(One& one, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        one.answers.push_back({now_ + kAnswersIn, static_cast<unsigned>(send->id), Take(send->server.name)});
        if (send->server.name == kCold && started_ != TimePoint{}) sent_.push_back(now_);
        if (send->server.name == kCold && counted_) ++served_;
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        one.bells.push(now_ + std::max(timer->delay, Duration(kStep)));
      }
    }
  }

  // A server answers what it can take, of which half a second's may come at once, and turns the rest away.
  Result Take(const std::string& server) {
    if (server == "origin") return Result::kGood;
    double can = load_.capacity * (server == kCold ? Warmed(now_) : 1);
    auto [at, fresh] = room_.try_emplace(server, can / 2, now_);
    auto& [left, since] = at->second;
    left = std::min(can / 2, left + can * static_cast<double>((now_ - since).count()) / 1e9);
    since = now_;
    if (left < 1) return Result::kFull;
    left -= 1;
    return Result::kGood;
  }

  double RateOf(int index) const {
    double all = load_.use * load_.capacity * kServers;
    if (load_.idle_before && now_ < Burst()) all *= 0.02;
    if (!load_.uneven) return all / load_.routers;
    int busy = std::max(1, load_.routers / 5);
    return index < busy ? all / 2 / busy : all / 2 / (load_.routers - busy);
  }

  void Step(One& one) {
    one.proxy.now = now_;
    while (!one.answers.empty() && one.answers.front().at <= now_) {
      Answer answer = one.answers.front();
      one.answers.pop_front();
      Do(one, one.proxy.Answer(answer.id, answer.result, kAnswersIn));
    }
    while (!one.bells.empty() && one.bells.top() <= now_) {
      one.bells.pop();
      Do(one, one.proxy.Take(TimerEvent{}));
    }
    std::poisson_distribution<int> arrivals(RateOf(one.index) * 0.01);
    for (int more = arrivals(random_); more > 0; --more) {
      bool its = random_() % kServers == 0 && !(load_.rare_keys && started_ != TimePoint{});
      std::uint64_t key = its ? keys_[random_() % keys_.size()] : others_[random_() % others_.size()];
      counted_ = its && started_ != TimePoint{} && now_ < started_ + load_.warm_after;
      asked_ += counted_ ? 1 : 0;
      Do(one, one.proxy.Ask(++id_, key));
      counted_ = false;
    }
  }

  void AskAllForItsKeys() {
    for (auto& one : proxies_) {
      one->proxy.now = now_;
      for (std::size_t i = 0; i < 10; ++i) Do(*one, one->proxy.Ask(++id_, keys_[random_() % keys_.size()]));
    }
  }

  Load load_;
  std::mt19937_64 random_;
  std::vector<ServerEntry> list_;
  std::vector<std::unique_ptr<One>> proxies_;
  std::vector<std::uint64_t> keys_, others_;  // of the cold server; of all others
  TimePoint now_{100s}, started_{};
  std::vector<TimePoint> sent_;  // to it, since its last start
  std::map<std::string, std::pair<double, TimePoint>> room_;
  std::uint64_t seed_ = 0;
  unsigned id_ = 0;
  bool counted_ = false;
  std::size_t asked_ = 0, served_ = 0;
};

std::string Text(const Load& load) {
  return std::to_string(load.routers) + " proxies, " + std::to_string(load.capacity) + "/s at use " +
         std::to_string(load.use) + ", from " + std::to_string(load.start_capacity) + ", burst after " +
         std::to_string(load.burst_after / 1ms) + " ms, warm after " + std::to_string(load.warm_after / 1s) +
         (load.uneven ? ", uneven" : "") + (load.idle_before ? ", idle before" : "") +
         (load.restart_all ? ", all proxies restarted" : "") +
         (load.restart_twice ? ", server restarted twice" : "") +
         (load.rare_keys ? ", keys not asked for before" : "");
}

// N at the start is 8, 15 and 40; the longer the warm-up, the more may be saved up while N is small.
std::vector<Load> Sizes(int routers) {
  using WarmAndBurst = std::pair<Duration, Duration>;
  std::vector<Load> loads;
  for (double capacity : {10.0, 18.0, 48.0}) {
    for (auto [warm, burst] : {WarmAndBurst(24s, 100ms), {24s, 6s}, {90s, 8s}, {300s, 20s}}) {
      Load load;
      load.routers = routers;
      load.capacity = capacity;
      load.warm_after = warm;
      load.burst_after = burst;
      loads.push_back(load);
    }
  }
  return loads;
}

class ColdFleet : public testing::TestWithParam<int> {
 protected:
  void Check(const Load& load) {
    Tier tier(load);
    tier.Play();
    worst_ = std::max(worst_, tier.WorstExcess());
    EXPECT_LE(tier.WorstExcess(), 0) << Text(load);
    EXPECT_GT(tier.sent(), 0u) << Text(load);
  }
  void TearDown() override { RecordProperty("worst", std::to_string(worst_)); }
  double worst_ = -1e9;
};

TEST_P(ColdFleet, SteadyDemandAndABurst) {
  for (Load load : Sizes(GetParam())) Check(load);
}

TEST_P(ColdFleet, UnevenDemandAndABurst) {
  for (Load load : Sizes(GetParam())) {
    load.uneven = load.rare_keys = true;
    Check(load);
  }
}

TEST_P(ColdFleet, KeysThatNobodyAsksForUntilABurst) {
  for (Load load : Sizes(GetParam())) {
    load.rare_keys = true;
    Check(load);
    load.use = 1;
    Check(load);
  }
}

TEST_P(ColdFleet, AllServersInFullUseAndABurst) {
  for (Load load : Sizes(GetParam())) {
    load.use = 1;
    Check(load);
  }
}

TEST_P(ColdFleet, IdleAndThenABurst) {
  for (Load load : Sizes(GetParam())) {
    load.idle_before = true;
    Check(load);
  }
}

TEST_P(ColdFleet, AllProxiesRestartedWithinABurst) {
  for (Load load : Sizes(GetParam())) {
    load.restart_all = load.rare_keys = true;
    Check(load);
  }
}

TEST_P(ColdFleet, AServerRestartedTwiceAndABurst) {
  for (Load load : Sizes(GetParam())) {
    load.restart_twice = true;
    load.burst_after += 3s;
    Check(load);
  }
}

// Its keys come to it as it warms: half of them on the average, were none held back.
TEST_P(ColdFleet, ItGetsItsPart) {
  for (double capacity : {12.0, 48.0}) {
    Load load;
    load.routers = GetParam();
    load.capacity = capacity;
    load.burst_after = 60s;
    Tier tier(load);
    tier.Play();
    RecordProperty("share" + std::to_string(static_cast<int>(capacity)), std::to_string(tier.Share()));
    EXPECT_GE(tier.Share(), 0.3) << Text(load);
  }
}

INSTANTIATE_TEST_SUITE_P(Proxies, ColdFleet, testing::Values(3, 10, 30));

}  // namespace
}  // namespace peatbend

// Slow start of a cache server, over all routers of a tier together: within any overload_duration it gets no
// more than it can take, and yet its share of the traffic. The routers exchange no information.
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>

#include "harness.h"

namespace peatbend {
namespace {

constexpr Duration kStep = 10ms, kAnswerTime = 20ms;
constexpr int kServers = 12;
constexpr TimePoint kRestarted{200s};  // start of the cold server
const std::string kColdServer = "cache-15";

struct Scenario {
  int routers = 3;
  double capacity = 12;     // requests per second that a warm server can answer
  double load_share = 0.7;  // offered load, as a share of the capacity of all servers
  double start_capacity = 0.14;
  Duration warm_after = 24s;
  bool uneven = false;         // a fifth of the routers get half of the traffic
  bool idle_before = false;    // 2% of the traffic until the burst
  bool restart_all = false;    // all routers restart within the burst
  bool restart_twice = false;  // the server restarts a second time
  // When after the start a burst of 2 s begins, with many requests at each router for the keys of the server.
  Duration burst_after{};
  bool rare_keys = false;  // no requests for the keys of the server until the burst
};

Settings TierSettings(const Scenario& scenario, int index) {
  Settings settings = BasicSettings();
  settings.routers = scenario.routers;
  settings.router_index = index;
  settings.start_capacity = scenario.start_capacity;
  settings.warm_after = scenario.warm_after;
  return settings;
}

class Tier {
 public:
  explicit Tier(const Scenario& scenario) : scenario_(scenario), random_(71) {
    list_ = MakeServerList(kServers);
    for (int index = 0; index < scenario.routers; ++index) StartRouter(index);
    for (std::uint64_t key = 1; key < 5000; ++key) {  // the keys that the server gets when warm
      TestRouter& probe = routers_.front()->router;
      bool for_cold_server = SentTo(probe.SendRequest(++id_, key)) == kColdServer;
      probe.FinishAttempt(id_, Result::kGood);
      (for_cold_server ? cold_keys_ : other_keys_).push_back(key);
    }
    routers_.clear();
    for (int index = 0; index < scenario.routers; ++index) StartRouter(index);
  }

  // Runs from 15 s before the server's start to the end of its warm-up.
  void Run() {
    now_ = kRestarted - 15s;
    for (; now_ < std::min(BurstStart() + 4s, kRestarted + scenario_.warm_after); now_ += kStep) {
      if (now_ == kRestarted) RestartServer(kRestarted);
      if (scenario_.restart_twice && now_ == kRestarted + 3s) RestartServer(now_);
      if (scenario_.restart_all && now_ == BurstStart() + 100ms) {
        for (int index = 0; index < scenario_.routers; ++index) StartRouter(index);
      }
      bool burst = now_ >= BurstStart() && now_ < BurstStart() + 2s && (now_ - BurstStart()) % 100ms == 0ms;
      if (burst) BurstForColdKeys();
      for (auto& one : routers_) Step(*one);
    }
  }

  // The largest excess of sends to the cold server over what it can take in any overload_duration that ends
  // with a send; negative if the limit was always kept.
  double WorstExcess() const {
    double worst = -1e9;
    for (std::size_t last = 0, first = 0; last < cold_sends_.size(); ++last) {
      while (cold_sends_[first] <= cold_sends_[last] - TierSettings(scenario_, 0).overload_duration) ++first;
      double count = static_cast<double>(last - first + 1);
      worst = std::max(
          worst, count - MaxSends(cold_sends_[last] - TierSettings(scenario_, 0).overload_duration / 2));
    }
    return worst;
  }
  // Share of the requests for its keys that the cold server got, without those of the burst.
  double Share() const {
    return counted_requests_ > 0
               ? static_cast<double>(counted_sends_) / static_cast<double>(counted_requests_)
               : 0;
  }
  std::size_t sent() const { return cold_sends_.size(); }

 private:
  struct Answer {
    TimePoint at{};
    unsigned id = 0;
    Result result = Result::kGood;
  };
  struct RouterState {
    explicit RouterState(const Settings& settings, std::uint64_t seed) : router(settings, seed) {}
    TestRouter router;
    int index = 0;
    std::deque<Answer> answers;  // in order of time
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> timers;
  };

  TimePoint BurstStart() const { return kRestarted + scenario_.burst_after; }

  double WarmFractionAt(TimePoint at) const {
    if (started_ == TimePoint{} || at - started_ >= scenario_.warm_after) return 1;
    auto since = static_cast<double>(std::max(Duration{}, at - started_).count());
    double share = since / static_cast<double>(scenario_.warm_after.count());
    return scenario_.start_capacity + (1 - scenario_.start_capacity) * share;
  }

  double MaxSends(TimePoint at) const {
    double n = 3 * WarmFractionAt(at) * scenario_.capacity * 2;
    return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
  }

  void StartRouter(int index) {
    auto one = std::make_unique<RouterState>(TierSettings(scenario_, index), ++seed_);
    one->index = index;
    one->router.now = now_;
    CarryOut(*one, one->router.UpdateServers(list_));
    auto place = static_cast<std::size_t>(index);
    if (place < routers_.size()) {
      routers_[place] = std::move(one);
    } else {
      routers_.push_back(std::move(one));
    }
  }

  void RestartServer(TimePoint at) {
    started_ = at;
    cold_sends_.clear();
    for (ServerEntry& entry : list_) {
      if (entry.id.name == kColdServer) entry.started = at;
    }
    for (auto& one : routers_) {
      one->router.now = now_;
      CarryOut(*one, one->router.UpdateServers(list_));
    }
  }

  void CarryOut(RouterState& one, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        one.answers.push_back(
            {now_ + kAnswerTime, static_cast<unsigned>(send->id), AnswerOf(send->server.name)});
        if (send->server.name == kColdServer && started_ != TimePoint{}) cold_sends_.push_back(now_);
        if (send->server.name == kColdServer && counting_) ++counted_sends_;
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        one.timers.push(now_ + std::max(timer->delay, Duration(kStep)));
      }
    }
  }

  // A server answers requests at its capacity, with a burst of half a second's worth, and rejects the rest as
  // full.
  Result AnswerOf(const std::string& server) {
    if (server == "origin") return Result::kGood;
    double server_capacity = scenario_.capacity * (server == kColdServer ? WarmFractionAt(now_) : 1);
    auto [at, inserted] = capacity_tokens_.try_emplace(server, server_capacity / 2, now_);
    auto& [tokens, since] = at->second;
    tokens = std::min(server_capacity / 2,
                      tokens + server_capacity * static_cast<double>((now_ - since).count()) / 1e9);
    since = now_;
    if (tokens < 1) return Result::kFull;
    tokens -= 1;
    return Result::kGood;
  }

  double RateOf(int index) const {
    double all = scenario_.load_share * scenario_.capacity * kServers;
    if (scenario_.idle_before && now_ < BurstStart()) all *= 0.02;
    if (!scenario_.uneven) return all / scenario_.routers;
    int busy = std::max(1, scenario_.routers / 5);
    return index < busy ? all / 2 / busy : all / 2 / (scenario_.routers - busy);
  }

  void Step(RouterState& one) {
    one.router.now = now_;
    while (!one.answers.empty() && one.answers.front().at <= now_) {
      Answer answer = one.answers.front();
      one.answers.pop_front();
      CarryOut(one, one.router.FinishAttempt(answer.id, answer.result, kAnswerTime));
    }
    while (!one.timers.empty() && one.timers.top() <= now_) {
      one.timers.pop();
      CarryOut(one, one.router.Handle(TimerEvent{}));
    }
    std::poisson_distribution<int> arrivals(RateOf(one.index) * 0.01);
    for (int more = arrivals(random_); more > 0; --more) {
      bool for_cold_server = random_() % kServers == 0 && !(scenario_.rare_keys && started_ != TimePoint{});
      std::uint64_t key = for_cold_server ? cold_keys_[random_() % cold_keys_.size()]
                                          : other_keys_[random_() % other_keys_.size()];
      counting_ = for_cold_server && started_ != TimePoint{} && now_ < started_ + scenario_.warm_after;
      counted_requests_ += counting_ ? 1 : 0;
      CarryOut(one, one.router.SendRequest(++id_, key));
      counting_ = false;
    }
  }

  void BurstForColdKeys() {
    for (auto& one : routers_) {
      one->router.now = now_;
      for (std::size_t i = 0; i < 10; ++i)
        CarryOut(*one, one->router.SendRequest(++id_, cold_keys_[random_() % cold_keys_.size()]));
    }
  }

  Scenario scenario_;
  std::mt19937_64 random_;
  std::vector<ServerEntry> list_;
  std::vector<std::unique_ptr<RouterState>> routers_;
  std::vector<std::uint64_t> cold_keys_, other_keys_;  // keys of the cold server; of all others
  TimePoint now_{100s}, started_{};
  std::vector<TimePoint> cold_sends_;  // sends to the cold server since its last start
  std::map<std::string, std::pair<double, TimePoint>> capacity_tokens_;
  std::uint64_t seed_ = 0;
  unsigned id_ = 0;
  bool counting_ = false;
  std::size_t counted_requests_ = 0, counted_sends_ = 0;
};

std::string Describe(const Scenario& scenario) {
  return std::to_string(scenario.routers) + " routers, " + std::to_string(scenario.capacity) + "/s at load " +
         std::to_string(scenario.load_share) + ", from " + std::to_string(scenario.start_capacity) +
         ", burst after " + std::to_string(scenario.burst_after / 1ms) + " ms, warm after " +
         std::to_string(scenario.warm_after / 1s) + (scenario.uneven ? ", uneven" : "") +
         (scenario.idle_before ? ", idle before" : "") +
         (scenario.restart_all ? ", all routers restarted" : "") +
         (scenario.restart_twice ? ", server restarted twice" : "") +
         (scenario.rare_keys ? ", keys not requested before" : "");
}

// At the start N, the sends that the server can take, is 8, 15 and 40. A longer warm-up leaves more time to
// save up sends while N is small.
std::vector<Scenario> ScenariosOfAllSizes(int routers) {
  using WarmAndBurst = std::pair<Duration, Duration>;
  std::vector<Scenario> scenarios;
  for (double capacity : {10.0, 18.0, 48.0}) {
    for (auto [warm, burst] : {WarmAndBurst(24s, 100ms), {24s, 6s}, {90s, 8s}, {300s, 20s}}) {
      Scenario scenario;
      scenario.routers = routers;
      scenario.capacity = capacity;
      scenario.warm_after = warm;
      scenario.burst_after = burst;
      scenarios.push_back(scenario);
    }
  }
  return scenarios;
}

class ColdFleet : public testing::TestWithParam<int> {
 protected:
  void Check(const Scenario& scenario) {
    Tier tier(scenario);
    tier.Run();
    worst_ = std::max(worst_, tier.WorstExcess());
    EXPECT_LE(tier.WorstExcess(), 0) << Describe(scenario);
    EXPECT_GT(tier.sent(), 0u) << Describe(scenario);
  }
  void TearDown() override { RecordProperty("worst", std::to_string(worst_)); }
  double worst_ = -1e9;
};

TEST_P(ColdFleet, SteadyDemandAndABurst) {
  for (Scenario scenario : ScenariosOfAllSizes(GetParam())) Check(scenario);
}

TEST_P(ColdFleet, UnevenDemandAndABurst) {
  for (Scenario scenario : ScenariosOfAllSizes(GetParam())) {
    scenario.uneven = scenario.rare_keys = true;
    Check(scenario);
  }
}

TEST_P(ColdFleet, KeysWithoutRequestsUntilABurst) {
  for (Scenario scenario : ScenariosOfAllSizes(GetParam())) {
    scenario.rare_keys = true;
    Check(scenario);
    scenario.load_share = 1;
    Check(scenario);
  }
}

TEST_P(ColdFleet, AllServersInFullUseAndABurst) {
  for (Scenario scenario : ScenariosOfAllSizes(GetParam())) {
    scenario.load_share = 1;
    Check(scenario);
  }
}

TEST_P(ColdFleet, IdleAndThenABurst) {
  for (Scenario scenario : ScenariosOfAllSizes(GetParam())) {
    scenario.idle_before = true;
    Check(scenario);
  }
}

TEST_P(ColdFleet, AllRoutersRestartedWithinABurst) {
  for (Scenario scenario : ScenariosOfAllSizes(GetParam())) {
    scenario.restart_all = scenario.rare_keys = true;
    Check(scenario);
  }
}

TEST_P(ColdFleet, AServerRestartedTwiceAndABurst) {
  for (Scenario scenario : ScenariosOfAllSizes(GetParam())) {
    scenario.restart_twice = true;
    scenario.burst_after += 3s;
    Check(scenario);
  }
}

// Keys move to the server as it warms up: on average half of them, if none were held back.
TEST_P(ColdFleet, ItGetsItsShareOfTheTraffic) {
  for (double capacity : {12.0, 48.0}) {
    Scenario scenario;
    scenario.routers = GetParam();
    scenario.capacity = capacity;
    scenario.burst_after = 60s;
    Tier tier(scenario);
    tier.Run();
    RecordProperty("share" + std::to_string(static_cast<int>(capacity)), std::to_string(tier.Share()));
    EXPECT_GE(tier.Share(), 0.3) << Describe(scenario);
  }
}

INSTANTIATE_TEST_SUITE_P(Routers, ColdFleet, testing::Values(3, 10, 30));

}  // namespace
}  // namespace peatbend

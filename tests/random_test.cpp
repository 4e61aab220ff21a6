// Long random but legal input: the four rules hold whatever happens, and the same events give the
// same actions. Outcomes are drawn, no server is modelled.
#include <algorithm>
#include <random>
#include <sstream>

#include "harness.h"

namespace peatbend {
namespace {

struct Open {
  int cls = 0;
  TimePoint deadline;
  struct Try {
    std::string server;
    int zone = 0, cell = 0;
    TimePoint sent, give_up;
    bool open = true, may_have_run = true, missed = false;
  };
  std::vector<Try> tries;
};

class World {
 public:
  World(Settings settings, std::uint32_t seed) : set_(settings), rng_(seed), proxy_(settings, seed) {}

  std::string Run(int steps) {
    Relist(Scope::kCached);
    for (int step = 0; step < steps; ++step) {
      proxy_.now += set_.tick * (1 + Draw(3));
      EndOverdue();
      if (timer_ <= proxy_.now) {
        timer_ = TimePoint::max();
        Take(TimerEvent{});
      }
      for (unsigned i = Draw(4); i > 0; --i) Arrive();
      std::vector<std::uint32_t> words(Draw(6), Draw(3));
      if (set_.peers && Draw(10) == 0) Take(PeerEvent{words});
      for (unsigned i = Draw(5); i > 0; --i) Settle();
      if (Draw(60) == 0) Relist(Draw(5) == 0 ? Scope::kFailed : Scope::kFull);
      if (Draw(40) == 0 && !open_.empty()) HangUp();
    }
    return log_.str();
  }

 private:
  unsigned Draw(unsigned below) { return rng_() % below; }

  void Relist(Scope scope) {
    std::vector<ServerEntry> list;
    if (scope != Scope::kFailed) {
      for (int i = 0; i < 7; ++i) {
        unsigned how = Draw(12);
        ServerEntry entry = Entry(i == 0 ? "origin" : "cache-" + std::to_string(i));
        entry.listed = how == 0 ? Listed::kDraining : Listed::kReady;
        entry.zone = i % 2;
        entry.cell = i % 3;
        if (how == 1) started_[i] = proxy_.now;
        entry.started = started_[i];
        if (how != 2) list.push_back(entry);
      }
      zones_.clear();
      ready_.clear();
      for (const auto& entry : list) {
        zones_[entry.id.name] = {entry.zone, entry.cell};
        if (entry.listed == Listed::kReady) ready_.push_back(entry.id.name);
      }
    }
    Take(MembershipEvent{scope, list});
  }

  void Arrive() {
    RequestEvent event;
    event.id = RequestId{next_++};
    if (Draw(10) > 0) event.key = Key{Draw(12)};
    event.cls = static_cast<int>(Draw(3));
    event.write = event.cls != kRead;
    event.remaining = milliseconds(Draw(900));
    open_[event.id] = {event.cls, proxy_.now + event.remaining, {}};
    taken_.push_back(proxy_.now);
    Take(event);
  }

  void Settle() {
    if (flights_.empty()) return;
    auto at = flights_.begin() + Draw(static_cast<unsigned>(flights_.size()));
    Finish(at, static_cast<Result>(Draw(9)));
  }

  void Finish(std::vector<std::pair<RequestId, int>>::iterator at, Result result) {
    auto [id, attempt] = *at;
    flights_.erase(at);
    OutcomeEvent event;
    event.id = id;
    event.attempt = attempt;
    event.result = result;
    event.elapsed = milliseconds(1 + Draw(200));
    std::string server = servers_.at({id, attempt});
    if (result == Result::kNeverSent) {
      std::erase_if(further_, [&](const auto& one) {
        return std::get<1>(one) == id && std::get<2>(one) == static_cast<std::size_t>(attempt);
      });
    }
    event.server = server;
    auto held = open_.find(id);
    if (held == open_.end()) {
      event.done = true;
    } else {
      auto& tried = held->second.tries[attempt];
      tried.open = false;
      tried.may_have_run = result != Result::kFull && result != Result::kNoConn &&
                           result != Result::kNeverSent && result != Result::kMiss;
      tried.missed = result == Result::kMiss;
      if (result == Result::kGood) {
        event.done = true;
        open_.erase(held);
      }
    }
    Take(event);
  }

  void HangUp() {
    auto at = open_.begin();
    std::advance(at, Draw(static_cast<unsigned>(open_.size())));
    RequestId id = at->first;
    open_.erase(at);
    Take(GoneEvent{id});
  }

  // A time-out comes at its time; a request without attempts must have been answered by its
  // deadline.
  void EndOverdue() {
    for (std::size_t i = 0; i < flights_.size();) {
      auto held = open_.find(flights_[i].first);
      if (held != open_.end() && held->second.tries[flights_[i].second].give_up <= proxy_.now) {
        Finish(flights_.begin() + static_cast<long>(i), Result::kLate);
        i = 0;
      } else {
        ++i;
      }
    }
    for (const auto& [id, held] : open_) {
      EXPECT_LE(proxy_.now, held.deadline + set_.answer_grace) << "no final answer in time";
    }
  }

  void Take(const Event& event) {
    for (const Action& action : proxy_.Take(event)) {
      if (const auto* send = std::get_if<Send>(&action)) Check(*send);
      if (const auto* refuse = std::get_if<Refuse>(&action)) Check(*refuse);
      if (const auto* fail = std::get_if<Fail>(&action)) {
        EXPECT_EQ(open_.erase(fail->id), 1u) << "a second final answer";
        log_ << "F" << static_cast<unsigned>(fail->id) << ' ';
      }
      if (const auto* timer = std::get_if<SetTimer>(&action)) {
        timer_ = std::min(timer_, proxy_.now + timer->in);
      }
    }
  }

  void Check(const Send& send) {
    log_ << "S" << static_cast<unsigned>(send.id) << send.server.name << ' ';
    auto at = open_.find(send.id);
    ASSERT_NE(at, open_.end()) << "a send after the end";
    Open& request = at->second;
    const ClassSettings& cls = set_.classes[request.cls];
    EXPECT_NE(std::find(ready_.begin(), ready_.end(), send.server.name), ready_.end());
    EXPECT_LT(request.tries.size(), static_cast<std::size_t>(set_.try_limit));
    auto [zone, cell] = zones_.at(send.server.name);
    for (const auto& tried : request.tries) {
      if (!set_.second_copies) {
        EXPECT_FALSE(tried.open) << "two attempts out";
      }
      if (!tried.may_have_run || cls.effect == Effect::kSafe) continue;
      EXPECT_NE(cls.effect, Effect::kUnsafe);
      EXPECT_LE(proxy_.now - tried.sent, cls.window);
      if (cls.group == Group::kZone) {
        EXPECT_EQ(zone, tried.zone);
      }
      if (cls.group == Group::kCell) {
        EXPECT_EQ(cell, tried.cell);
      }
    }
    if (set_.attempt_window && !request.tries.empty() && !request.tries.back().missed) {
      further_.push_back({proxy_.now, send.id, request.tries.size()});
      auto in_window = [&](TimePoint at) { return proxy_.now - at < *set_.attempt_window; };
      auto taken = std::count_if(taken_.begin(), taken_.end(), in_window);
      auto further = std::count_if(further_.begin(), further_.end(),
                                   [&](const auto& one) { return in_window(std::get<0>(one)); });
      EXPECT_LE(static_cast<double>(further),
                *set_.free_resends + *set_.extra_per_request * static_cast<double>(taken));
    }
    int attempt = static_cast<int>(request.tries.size());
    TimePoint give_up = std::min(request.deadline, proxy_.now + send.give_up_after);
    request.tries.push_back({send.server.name, zone, cell, proxy_.now, give_up, true, true});
    servers_[{send.id, attempt}] = send.server.name;
    flights_.push_back({send.id, attempt});
  }

  void Check(const Refuse& refuse) {
    log_ << "R" << static_cast<unsigned>(refuse.id) << ' ';
    auto at = open_.find(refuse.id);
    ASSERT_NE(at, open_.end()) << "a second final answer";
    const ClassSettings& cls = set_.classes[at->second.cls];
    for (const auto& tried : at->second.tries) {
      if (!tried.may_have_run || cls.effect == Effect::kSafe) continue;
      EXPECT_TRUE(cls.effect == Effect::kKeyed && cls.group == Group::kAll);
    }
    open_.erase(at);
  }

  using milliseconds = std::chrono::milliseconds;
  Settings set_;
  std::mt19937 rng_;
  Proxy proxy_;
  std::map<RequestId, Open> open_;
  std::vector<std::pair<RequestId, int>> flights_;
  std::map<std::pair<RequestId, int>, std::string> servers_;
  std::map<std::string, std::pair<int, int>> zones_;
  std::vector<std::string> ready_;
  TimePoint started_[7] = {};
  TimePoint timer_ = TimePoint::max();
  unsigned next_ = 1;
  std::vector<TimePoint> taken_;
  std::vector<std::tuple<TimePoint, RequestId, std::size_t>> further_;
  std::ostringstream log_;
};

TEST(Random, TheRulesHoldAndEqualEventsGiveEqualActions) {
  for (std::uint32_t seed = 1; seed <= 24; ++seed) {
    SCOPED_TRACE(seed);
    Settings settings = BasicSettings();
    settings.aside = seed % 2 == 0;
    settings.must_subscribe = seed % 3 == 0;
    settings.ask_every = 2s;
    settings.second_copies = seed % 4 == 0;
    settings.may_cancel = seed % 5 != 0;
    settings.classes[kKeyedWrite].group = static_cast<Group>(seed % 3);
    if (seed % 2 == 1) {
      settings.attempt_window = 3s;
      settings.free_resends = 1;
      settings.extra_per_request = 0.1;
    }
    settings.proxies = seed % 3 == 1 ? 500 : 1;
    settings.peers = seed % 6 == 1;
    settings.connection_price = settings.handshake_price = seed % 4 == 1 ? 0.03 : 0;
    std::string once = World(settings, seed).Run(1500);
    EXPECT_GT(once.size(), 1000u);
    EXPECT_EQ(once, World(settings, seed).Run(1500));
  }
}

}  // namespace
}  // namespace peatbend

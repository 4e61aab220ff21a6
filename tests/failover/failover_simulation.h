// Simulates a fleet of ownership managers on simulated links and clocks, with clients that retry and a server
// that counts executions. Deterministic for a seed. The rules are checked on what the server and the clients
// observe.
#pragma once

#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "failover/ownership_manager.h"
#include "failover/wire.h"
#include "lab/rules.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::failover::test {

using namespace std::chrono_literals;

struct SimulationSetup {
  std::size_t routers = 20;
  std::uint64_t seed = 1;
  double loss = 0, duplicate = 0;
  bool serve_untracked = false, off = false;
  Duration death_notice_delay = 1200ms;  // from the death of a process until the others know of it
};

class FailoverSimulation {
 public:
  static constexpr Duration kDeadline = 2500ms, kWindow = 1500ms;

  explicit FailoverSimulation(SimulationSetup setup)
      : setup_(setup), random_(setup.seed, 3), replica_set_(Names(setup.routers)) {
    routers_.resize(setup.routers);
    for (std::size_t r = 0; r < routers_.size(); ++r) Start(r, -1h);
  }

  world::Agenda& agenda() { return agenda_; }
  world::Random& random() { return random_; }
  TimePoint now() const { return agenda_.now(); }

  void Kill(std::size_t r) {
    Router& router = routers_[r];
    if (!router.manager) return;
    dead_[{router.name, router.generation}] = now();
    router.manager.reset();
    std::vector<std::size_t> operations_of_router;
    for (auto& [number, operation_index] : router.requests) operations_of_router.push_back(operation_index);
    router.requests.clear();
    for (std::size_t operation_index : operations_of_router) ClientLost(operation_index);
  }
  void Start(std::size_t r, TimePoint now) {
    Router& router = routers_[r];
    if (router.manager) return;
    router.name = Name(r);
    router.generation = ++last_generation_;
    router.timer_at = {};
    router.stalled_tasks.clear();
    router.stalled_until = {};
    OwnershipOptions options;
    options.serve_untracked = setup_.serve_untracked;
    options.limits.lifetime = 8s;
    router.manager = std::make_unique<OwnershipManager>(
        options, replica_set_, router.name, router.generation, now, [this](const Proposer& proposer) {
          auto at = dead_.find({proposer.name, proposer.generation});
          return at != dead_.end() && this->now() >= at->second + setup_.death_notice_delay;
        });
  }
  bool up(std::size_t r) const { return routers_[r].manager != nullptr; }
  void Stall(std::size_t r, Duration span) {
    routers_[r].stalled_until = now() + span;
    Wake(r);
  }
  void SetLinkCut(std::size_t from, std::size_t to, bool is_cut) {
    is_cut ? (void)cut_links_.insert({from, to}) : (void)cut_links_.erase({from, to});
  }

  // Submits a client's operation to a random router. If that router dies, the client retries at another.
  void Submit(Effect effect) {
    Operation operation;
    operation.cls.effect = effect;
    operation.cls.dedup_window = kWindow;
    operation.submitted_at = now();
    operation.deadline = now() + kDeadline;
    operation.id = fmt::format("w{}", operations_.size());
    operations_.push_back(std::move(operation));
    SubmitAt(operations_.size() - 1, RandomLiveRouter());
  }
  // Submits the same operation to two random routers at once.
  void SubmitTwice(Effect effect) {
    Submit(effect);
    SubmitAt(operations_.size() - 1, RandomLiveRouter());
  }

  struct Outcome {
    std::size_t submitted = 0, completed = 0, lost_router = 0, lost_router_completed = 0, unsafe_twice = 0,
                keyed_late = 0, keyed_unbounded = 0, conflicting_outcomes = 0, unanswered = 0,
                late_answers = 0, values = 0, failed = 0, rejected = 0;
  };
  Outcome Summarize() const {
    Outcome sum = totals_;
    for (const Operation& operation : operations_) {
      ++sum.submitted;
      bool completed = !operation.outcome.empty();
      sum.completed += completed ? 1 : 0;
      sum.lost_router += operation.router_lost ? 1 : 0;
      sum.lost_router_completed += operation.router_lost && completed ? 1 : 0;
      sum.values += operation.outcome.starts_with("value") ? 1 : 0;
      sum.failed += operation.outcome.starts_with("failed") ? 1 : 0;
      sum.rejected += operation.rejects;
    }
    for (const auto& router : routers_) sum.unanswered += router.requests.size();
    return sum;
  }
  std::size_t size() const { return routers_.size(); }
  std::uint64_t messages = 0, bytes = 0;
  std::vector<Duration> answered_after;  // from the kill of an operation's router to its outcome

 private:
  struct Router {
    std::string name;
    std::uint64_t generation = 0;
    std::unique_ptr<OwnershipManager> manager;
    OwnershipManager::RequestNumber last = 0;
    // Open requests, and the index of the operation of each.
    std::map<OwnershipManager::RequestNumber, std::size_t> requests;
    std::map<OwnershipManager::RequestNumber, TimePoint> deadlines;
    TimePoint stalled_until{};
    TimePoint timer_at{};
    std::vector<std::function<void()>> stalled_tasks;
  };
  struct Operation {
    std::string id;
    ClassSettings cls;
    TimePoint submitted_at{}, deadline{}, first_ran{-1}, lost_at{-1};
    int ran = 0, rejects = 0, submissions = 0;
    bool router_lost = false;
    std::string outcome;
  };

  static std::string Name(std::size_t r) { return fmt::format("r{:03}", r); }
  static std::vector<ReplicaName> Names(std::size_t routers) {
    std::vector<ReplicaName> names;
    for (std::size_t r = 0; r < routers; ++r) names.push_back({Name(r), r % 2 == 0 ? "east" : "west"});
    return names;
  }
  std::size_t RandomLiveRouter() {
    for (int i = 0; i < 1000; ++i) {
      auto r = static_cast<std::size_t>(random_.Unit() * static_cast<double>(routers_.size()));
      if (r < routers_.size() && routers_[r].manager && routers_[r].stalled_until <= now()) return r;
    }
    return 0;
  }

  void SubmitAt(std::size_t w, std::size_t r) {
    Router& router = routers_[r];
    Operation& operation = operations_[w];
    if (!router.manager || now() >= operation.deadline) return;
    ++operation.submissions;
    OwnershipManager::RequestNumber number = ++router.last;
    router.requests[number] = w;
    router.deadlines[number] = operation.deadline;
    router.manager->Open(now(), number, operation.id, operation.cls, operation.deadline);
    router.manager->RequestAttempt(now(), number, "m" + std::to_string(w % 5));
    // The decision module gives up like this at the client's deadline.
    agenda_.At(operation.deadline - 5ms, [this, r, number, generation = router.generation] {
      RunOn(r, generation, [this, r, number] {
        if (!routers_[r].requests.contains(number)) return;
        routers_[r].manager->Finish(now(), number, OperationOutcome::kFailed);
        Flush(r);
      });
    });
    agenda_.At(operation.deadline + 60ms, [this, r, number, generation = router.generation] {
      Router& one = routers_[r];
      if (one.generation == generation && one.manager && one.requests.contains(number) &&
          one.stalled_until + 100ms < now())
        ++totals_.late_answers;
    });
    Flush(r);
  }

  // The router of the operation was killed: the client asks another after a short delay.
  void ClientLost(std::size_t w) {
    Operation& operation = operations_[w];
    if (operation.deadline - now() >= 2s && operation.outcome.empty())
      operation.router_lost = true, operation.lost_at = now();
    agenda_.In(20ms + RandomDelay(80ms), [this, w] { SubmitAt(w, RandomLiveRouter()); });
  }
  Duration RandomDelay(Duration most) {
    return Duration(static_cast<Duration::rep>(random_.Unit() * static_cast<double>(most.count())));
  }

  void Wake(std::size_t r) {
    agenda_.At(routers_[r].stalled_until, [this, r, generation = routers_[r].generation] {
      Router& one = routers_[r];
      if (one.generation != generation || !one.manager || one.stalled_until > now()) return;
      for (auto& each : std::exchange(one.stalled_tasks, {})) each();
      one.manager->Tick(now());
      Flush(r);
    });
  }
  // Runs `task` on the router's event loop: now, or when its stall ends.
  void RunOn(std::size_t r, std::uint64_t generation, std::function<void()> task) {
    Router& router = routers_[r];
    if (!router.manager || router.generation != generation) return;
    if (router.stalled_until > now()) return router.stalled_tasks.push_back(std::move(task));
    task();
  }

  void Flush(std::size_t r) {
    Router& router = routers_[r];
    if (!router.manager) return;
    std::map<std::string, std::vector<Message>> batches;
    for (OwnershipManager::Outgoing& out : router.manager->DrainOutgoing())
      batches[out.router].push_back(std::move(out.message));
    for (auto& [to, all] : batches) Send(r, to, all);
    for (OwnershipManager::Result& result : router.manager->DrainResults()) OnResult(r, result);
    auto due = router.manager->Due();
    if (!due || (router.timer_at > now() && router.timer_at <= *due)) return;
    router.timer_at = std::max(*due, now() + 1ms);
    agenda_.At(router.timer_at, [this, r, generation = router.generation] {
      RunOn(r, generation, [this, r] {
        routers_[r].manager->Tick(now());
        Flush(r);
      });
    });
  }

  void Send(std::size_t from, const std::string& to_name, const std::vector<Message>& all) {
    std::size_t to = std::stoul(to_name.substr(1));
    std::string text = Encode(replica_set_.fingerprint(), all);
    ++messages;
    bytes += text.size();
    int copies = random_.Unit() < setup_.loss ? 0 : random_.Unit() < setup_.duplicate ? 2 : 1;
    if (cut_links_.contains({from, to})) copies = 0;
    for (int i = 0; i < copies; ++i) {
      agenda_.In(300us + RandomDelay(700us), [this, from, to, text] {
        if (!routers_[to].manager) return;
        RunOn(to, routers_[to].generation, [this, from, to, text] {
          std::vector<Message> messages;
          if (Decode(text, replica_set_.fingerprint(), messages) != DecodeError::kNone) std::abort();
          for (const Message& message : messages) routers_[to].manager->Handle(now(), Name(from), message);
          Flush(to);
        });
      });
    }
  }

  void OnResult(std::size_t r, const OwnershipManager::Result& result) {
    Router& router = routers_[r];
    auto at = router.requests.find(result.number);
    if (at == router.requests.end()) return;
    std::size_t w = at->second;
    Operation& operation = operations_[w];
    if (result.what == OwnershipManager::Result::What::kSend) {
      // Some attempts fail to connect and never run; the others run and are answered after the service time.
      std::uint64_t generation = router.generation;
      bool repeat = operation.cls.effect == Effect::kKeyed && operation.first_ran >= TimePoint{};
      if (repeat && result.deliver_by > operation.first_ran + kWindow) ++totals_.keyed_unbounded;
      if (random_.Unit() < 0.02) {
        agenda_.In(5ms, [this, r, generation, number = result.number, w] {
          RunOn(r, generation, [this, r, number, w] {
            routers_[r].manager->OnAttemptEnded(now(), number, false);
            routers_[r].manager->RequestAttempt(now(), number, "m" + std::to_string(w % 5));
            Flush(r);
          });
        });
        return;
      }
      OnServerRan(operation);
      std::string value =
          fmt::format("{}/{}", operation.id, operation.cls.effect == Effect::kKeyed ? 1 : operation.ran);
      agenda_.In(90ms + RandomDelay(90ms), [this, r, generation, number = result.number, value] {
        RunOn(r, generation, [this, r, number, value] {
          routers_[r].manager->Finish(now(), number, OperationOutcome::kValue, value);
          Flush(r);
        });
      });
      return;
    }
    router.requests.erase(at);
    if (result.outcome == OperationOutcome::kRejected) {
      ++operation.rejects;
      if (operation.outcome.empty() && operation.submissions < 20)
        agenda_.In(100ms, [this, w] { SubmitAt(w, RandomLiveRouter()); });
      return;
    }
    bool own = !result.committed;  // not a statement about the operation
    std::string text = result.outcome == OperationOutcome::kValue ? "value " + result.value : "failed";
    if (!own && !operation.outcome.empty() && operation.outcome != text && operation.outcome != "failed late")
      ++totals_.conflicting_outcomes;
    if (operation.outcome.empty()) {
      operation.outcome = own ? "failed late" : text;
      if (operation.router_lost) answered_after.push_back(now() - operation.lost_at);
    }
  }

  void OnServerRan(Operation& operation) {
    ++operation.ran;
    if (operation.first_ran < TimePoint{}) operation.first_ran = now();
    if (operation.ran == 1) return;
    auto judged = lab::JudgeRepeat(operation.cls, now() - operation.first_ran, 0ms, true);
    if (judged == lab::Repeat::kNever) ++totals_.unsafe_twice;
    if (judged == lab::Repeat::kTooLate) ++totals_.keyed_late;
  }

  SimulationSetup setup_;
  world::Agenda agenda_{1s};
  world::Random random_;
  ReplicaSet replica_set_;
  std::vector<Router> routers_;
  std::vector<Operation> operations_;
  std::map<std::pair<std::string, std::uint64_t>, TimePoint> dead_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::uint64_t last_generation_ = 0;
  Outcome totals_;
};

}  // namespace peatbend::failover::test

// Routers' ownership managers on simulated links and clocks, with clients that come back and one server that
// counts effects. The same seed gives the same run. The rules are checked on what the server and the clients
// see.
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

struct WorldSetup {
  std::size_t routers = 20;
  std::uint64_t seed = 1;
  double loss = 0, duplicate = 0;
  bool serve_untracked = false, off = false;
  Span notice = 1200ms;  // a death, until it is known
};

class FailoverSimulation {
 public:
  static constexpr Span kDeadline = 2500ms, kWindow = 1500ms;

  explicit FailoverSimulation(WorldSetup setup)
      : setup_(setup), random_(setup.seed, 3), replica_set_(Names(setup.routers)) {
    routers_.resize(setup.routers);
    for (std::size_t r = 0; r < routers_.size(); ++r) Start(r, -1h);
  }

  world::Agenda& agenda() { return agenda_; }
  world::Random& random() { return random_; }
  Time now() const { return agenda_.now(); }

  void Kill(std::size_t r) {
    Router& router = routers_[r];
    if (!router.manager) return;
    dead_[{router.name, router.life}] = now();
    router.manager.reset();
    std::vector<std::size_t> left;
    for (auto& [number, asker] : router.askers) left.push_back(asker);
    router.askers.clear();
    for (std::size_t asker : left) ClientLost(asker);
  }
  void Start(std::size_t r, Time now) {
    Router& router = routers_[r];
    if (router.manager) return;
    router.name = Name(r);
    router.life = ++lives_;
    router.armed = {};
    router.waiting.clear();
    router.still_until = {};
    OwnershipOptions options;
    options.serve_untracked = setup_.serve_untracked;
    options.limits.lifetime = 8s;
    router.manager = std::make_unique<OwnershipManager>(
        options, replica_set_, router.name, router.life, now, [this](const Proposer& proposer) {
          auto at = dead_.find({proposer.name, proposer.life});
          return at != dead_.end() && this->now() >= at->second + setup_.notice;
        });
  }
  bool up(std::size_t r) const { return routers_[r].manager != nullptr; }
  void Stall(std::size_t r, Span span) {
    routers_[r].still_until = now() + span;
    Wake(r);
  }
  void Cut(std::size_t from, std::size_t to, bool cut) {
    cut ? (void)cuts_.insert({from, to}) : (void)cuts_.erase({from, to});
  }

  // A client's operation; it comes back to another router when the one that it asked is lost, as its class
  // allows.
  void Ask(Effect effect) {
    Operation operation;
    operation.cls.effect = effect;
    operation.cls.dedup_window = kWindow;
    operation.at = now();
    operation.left = now() + kDeadline;
    operation.id = fmt::format("w{}", operations_.size());
    operations_.push_back(std::move(operation));
    AskAt(operations_.size() - 1, Live());
  }
  // Asked for a second time at the same moment, at another router.
  void AskTwice(Effect effect) {
    Ask(effect);
    AskAt(operations_.size() - 1, Live());
  }

  struct Outcome {
    std::size_t asked = 0, ended = 0, lost_router = 0, of_lost_ended = 0, unsafe_twice = 0, keyed_late = 0,
                two_ends = 0, unanswered = 0, late = 0, values = 0, failed = 0, rejected = 0;
  };
  Outcome Reckon() const {
    Outcome sum = sum_;
    for (const Operation& operation : operations_) {
      ++sum.asked;
      bool ended = !operation.outcome.empty();
      sum.ended += ended ? 1 : 0;
      sum.lost_router += operation.router_lost ? 1 : 0;
      sum.of_lost_ended += operation.router_lost && ended ? 1 : 0;
      sum.values += operation.outcome.starts_with("value") ? 1 : 0;
      sum.failed += operation.outcome.starts_with("failed") ? 1 : 0;
      sum.rejected += operation.rejects;
    }
    for (const auto& router : routers_) sum.unanswered += router.askers.size();
    return sum;
  }
  std::size_t size() const { return routers_.size(); }
  std::uint64_t messages = 0, bytes = 0;
  std::vector<Span> answered_after;  // a kill, in the operations that it hit

 private:
  struct Router {
    std::string name;
    std::uint64_t life = 0;
    std::unique_ptr<OwnershipManager> manager;
    OwnershipManager::Number last = 0;
    std::map<OwnershipManager::Number, std::size_t> askers;  // the operation of each open request
    std::map<OwnershipManager::Number, Time> until;
    Time still_until{};
    Time armed{};
    std::vector<std::function<void()>> waiting;
  };
  struct Operation {
    std::string id;
    ClassSettings cls;
    Time at{}, left{}, first_ran{-1}, lost_at{-1};
    int ran = 0, rejects = 0, tries = 0;
    bool router_lost = false;
    std::string outcome;
  };

  static std::string Name(std::size_t r) { return fmt::format("r{:03}", r); }
  static std::vector<ReplicaName> Names(std::size_t routers) {
    std::vector<ReplicaName> names;
    for (std::size_t r = 0; r < routers; ++r) names.push_back({Name(r), r % 2 == 0 ? "east" : "west"});
    return names;
  }
  std::size_t Live() {
    for (int i = 0; i < 1000; ++i) {
      auto r = static_cast<std::size_t>(random_.Unit() * static_cast<double>(routers_.size()));
      if (r < routers_.size() && routers_[r].manager && routers_[r].still_until <= now()) return r;
    }
    return 0;
  }

  void AskAt(std::size_t w, std::size_t r) {
    Router& router = routers_[r];
    Operation& operation = operations_[w];
    if (!router.manager || now() >= operation.left) return;
    ++operation.tries;
    OwnershipManager::Number number = ++router.last;
    router.askers[number] = w;
    router.until[number] = operation.left;
    router.manager->Open(now(), number, operation.id, operation.cls, operation.left);
    router.manager->Want(now(), number, "m" + std::to_string(w % 5));
    // As the module does when the client's time is over.
    agenda_.At(operation.left - 5ms, [this, r, number, life = router.life] {
      On(r, life, [this, r, number] {
        if (!routers_[r].askers.contains(number)) return;
        routers_[r].manager->Finish(now(), number, OperationOutcome::kFailed);
        Flush(r);
      });
    });
    agenda_.At(operation.left + 60ms, [this, r, number, life = router.life] {
      Router& one = routers_[r];
      if (one.life == life && one.manager && one.askers.contains(number) && one.still_until + 100ms < now())
        ++sum_.late;
    });
    Flush(r);
  }

  // Its router was killed: it asks another a little later.
  void ClientLost(std::size_t w) {
    Operation& operation = operations_[w];
    if (operation.left - now() >= 2s && operation.outcome.empty())
      operation.router_lost = true, operation.lost_at = now();
    agenda_.In(20ms + Any(80ms), [this, w] { AskAt(w, Live()); });
  }
  Span Any(Span most) {
    return Span(static_cast<Span::rep>(random_.Unit() * static_cast<double>(most.count())));
  }

  void Wake(std::size_t r) {
    agenda_.At(routers_[r].still_until, [this, r, life = routers_[r].life] {
      Router& one = routers_[r];
      if (one.life != life || !one.manager || one.still_until > now()) return;
      for (auto& each : std::exchange(one.waiting, {})) each();
      one.manager->Tick(now());
      Flush(r);
    });
  }
  // On the router's own loop, or once it goes on.
  void On(std::size_t r, std::uint64_t life, std::function<void()> what) {
    Router& router = routers_[r];
    if (!router.manager || router.life != life) return;
    if (router.still_until > now()) return router.waiting.push_back(std::move(what));
    what();
  }

  void Flush(std::size_t r) {
    Router& router = routers_[r];
    if (!router.manager) return;
    std::map<std::string, std::vector<Message>> parcels;
    for (OwnershipManager::Outgoing& out : router.manager->DrainOutgoing())
      parcels[out.router].push_back(std::move(out.message));
    for (auto& [to, all] : parcels) Send(r, to, all);
    for (OwnershipManager::Result& result : router.manager->DrainResults()) OnResult(r, result);
    auto due = router.manager->Due();
    if (!due || (router.armed > now() && router.armed <= *due)) return;
    router.armed = std::max(*due, now() + 1ms);
    agenda_.At(router.armed, [this, r, life = router.life] {
      On(r, life, [this, r] {
        routers_[r].manager->Tick(now());
        Flush(r);
      });
    });
  }

  void Send(std::size_t from, const std::string& to_name, const std::vector<Message>& all) {
    std::size_t to = std::stoul(to_name.substr(1));
    std::string text = Encode(replica_set_.print(), all);
    ++messages;
    bytes += text.size();
    int copies = random_.Unit() < setup_.loss ? 0 : random_.Unit() < setup_.duplicate ? 2 : 1;
    if (cuts_.contains({from, to})) copies = 0;
    for (int i = 0; i < copies; ++i) {
      agenda_.In(300us + Any(700us), [this, from, to, text] {
        if (!routers_[to].manager) return;
        On(to, routers_[to].life, [this, from, to, text] {
          std::vector<Message> messages;
          if (Decode(text, replica_set_.print(), messages) != DecodeError::kNone) std::abort();
          for (const Message& message : messages) routers_[to].manager->Take(now(), Name(from), message);
          Flush(to);
        });
      });
    }
  }

  void OnResult(std::size_t r, const OwnershipManager::Result& result) {
    Router& router = routers_[r];
    auto at = router.askers.find(result.number);
    if (at == router.askers.end()) return;
    std::size_t w = at->second;
    Operation& operation = operations_[w];
    if (result.what == OwnershipManager::Result::What::kSend) {
      // The server has it after a moment, and answers after its time; some dials fail.
      std::uint64_t life = router.life;
      if (random_.Unit() < 0.02) {
        agenda_.In(5ms, [this, r, life, number = result.number, w] {
          On(r, life, [this, r, number, w] {
            routers_[r].manager->Ended(now(), number, false);
            routers_[r].manager->Want(now(), number, "m" + std::to_string(w % 5));
            Flush(r);
          });
        });
        return;
      }
      Ran(operation);
      std::string value =
          fmt::format("{}/{}", operation.id, operation.cls.effect == Effect::kKeyed ? 1 : operation.ran);
      agenda_.In(90ms + Any(90ms), [this, r, life, number = result.number, value] {
        On(r, life, [this, r, number, value] {
          routers_[r].manager->Finish(now(), number, OperationOutcome::kValue, value);
          Flush(r);
        });
      });
      return;
    }
    router.askers.erase(at);
    if (result.outcome == OperationOutcome::kRejected) {
      ++operation.rejects;
      if (operation.outcome.empty() && operation.tries < 20)
        agenda_.In(100ms, [this, w] { AskAt(w, Live()); });
      return;
    }
    bool own = !result.committed;  // says nothing of the operation
    std::string text = result.outcome == OperationOutcome::kValue ? "value " + result.value : "failed";
    if (!own && !operation.outcome.empty() && operation.outcome != text && operation.outcome != "failed late")
      ++sum_.two_ends;
    if (operation.outcome.empty()) {
      operation.outcome = own ? "failed late" : text;
      if (operation.router_lost) answered_after.push_back(now() - operation.lost_at);
    }
  }

  void Ran(Operation& operation) {
    ++operation.ran;
    if (operation.first_ran < Time{}) operation.first_ran = now();
    if (operation.ran == 1) return;
    auto judged = lab::JudgeRepeat(operation.cls, now() - operation.first_ran, 0ms, true);
    if (judged == lab::Repeat::kNever) ++sum_.unsafe_twice;
    if (judged == lab::Repeat::kTooLate) ++sum_.keyed_late;
  }

  WorldSetup setup_;
  world::Agenda agenda_{1s};
  world::Random random_;
  ReplicaSet replica_set_;
  std::vector<Router> routers_;
  std::vector<Operation> operations_;
  std::map<std::pair<std::string, std::uint64_t>, Time> dead_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::uint64_t lives_ = 0;
  Outcome sum_;
};

}  // namespace peatbend::failover::test

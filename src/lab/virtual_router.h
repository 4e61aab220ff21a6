// One router of a day in simulated time: the decision module, its timers, requests and connections, with the
// world as its network. One owner; everything happens on the day's agenda.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/crowd.h"
#include "lab/tally.h"
#include "lab/warm.h"

namespace peatbend::lab {

constexpr Span kToRouter = std::chrono::microseconds(100);  // a client's way to its router

class VirtualRouter {
 public:
  struct Day {  // what outlives this
    const Scenario& scenario;
    const Plan& plan;
    world::Agenda& agenda;
    world::Fleet& fleet;
    Referee& referee;
    Crowd& crowd;
    LoadCounter& counter;
  };
  VirtualRouter(const Day& day, int number, std::uint64_t seed);
  // From its clients, the world, and discovery.
  void Take(const Try& one);
  void ClientGone(const std::string& id);
  void Changed(const world::Listing& listing);
  void WatchLost();
  void ServerDied(int place);
  void Start();
  // Ends it; answers nothing any more.
  void Kill() {
    balancer_.reset(), ++life_, attempts_.clear(), open_.clear(), idle_.clear(), watching_ = false;
  }
  bool up() const { return balancer_ != nullptr; }

 private:
  struct Attempt {
    RequestId id{};
    int number = 0;
    std::string member;
    int place = 0;
    Time sent{};
    bool written = false, done = false;
    world::JobPtr job;
    std::size_t seen = 0;  // the referee's number
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  struct Request {
    Try one;
    Time deadline{};
    bool finished = false;
    int out = 0;
    std::vector<AttemptPtr> attempts;
  };

  void Ask(const Event& event);
  void Do(const Reject& reject);
  void Do(const Fail& fail);
  void Do(const Cancel& cancel);
  void Do(const SetTimer& timer);
  void Do(const Subscribe&);
  void Do(const CloseIdleConnections& release);
  void Do(const Log&) {}
  void Do(const ReportTrial&) {}
  void Tell(Scope scope, const std::vector<world::Listing>& listings);
  void Forget(RequestId id);
  // The final answer without a value, on its way to the client.
  void Finish(RequestId id, std::function<void(const Try&)> tell);
  // What is put down for this router's present life alone.
  void Later(Span in, std::function<void()> what);
  // What becomes of a send: virtual_attempts.cpp.
  void Do(const Send& send);
  void Carry(const AttemptPtr& attempt);
  void Dial(const AttemptPtr& attempt, Span way);
  void Arrive(const AttemptPtr& attempt, Span way);
  void Answered(const AttemptPtr& attempt, world::Verdict verdict);
  void Ended(const AttemptPtr& attempt, Result result, CacheStatus note = CacheStatus::kNone);

  const Day day_;
  int number_;
  std::uint64_t seed_, life_ = 0;
  Settings settings_;
  std::unique_ptr<Balancer> balancer_;
  std::uint32_t last_id_ = 0;
  std::map<RequestId, Request> open_;
  std::map<std::string, RequestId> by_try_;
  std::vector<AttemptPtr> attempts_;
  std::map<int, std::vector<Time>> idle_;  // by place: since when, the last used last
  std::map<std::string, int> places_;      // by name, as told
  bool watching_ = false;
};

}  // namespace peatbend::lab

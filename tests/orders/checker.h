// Checks the rules that balancers must keep, on the events they get and the actions they return. Knows
// nothing of how they decide. Several routers may share one fleet: the load of a cold server is summed over
// all of them.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "lab/rules.h"
#include "peatbend/balancer.h"

namespace peatbend::orders {

class RuleChecker {
 public:
  struct OutstandingAttempt {
    int router = 0;
    RequestId id{};
    int attempt = 0;
    std::string server;
    TimePoint sent{}, give_up{};
  };

  // `capacity`: requests per second that a warm cache server can answer; zero: the limit of cold servers is
  // not checked.
  explicit RuleChecker(const Settings& settings, double capacity = 0)
      : settings_(settings), capacity_(capacity) {}

  // Records an event before the router's balancer handles it.
  void OnEvent(int router, TimePoint now, const Event& event) {
    if (const auto* update = std::get_if<MembershipEvent>(&event)) OnEvent(routers_[router], now, *update);
    if (const auto* request = std::get_if<RequestEvent>(&event)) {
      routers_[router].open[request->id] = {request->cls, request->write, now + request->remaining, {}};
      routers_[router].arrivals.push_back(now);
    }
    if (const auto* outcome = std::get_if<OutcomeEvent>(&event)) OnEvent(routers_[router], *outcome);
    if (const auto* gone = std::get_if<ClientGoneEvent>(&event)) routers_[router].open.erase(gone->id);
  }

  // Checks the actions that the balancer returned.
  void OnAction(int router, TimePoint now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) OnAction(router, now, *send);
      if (const auto* reject = std::get_if<Reject>(&action)) OnAction(routers_[router], *reject);
      if (const auto* fail = std::get_if<Fail>(&action)) OnFinalAnswer(routers_[router], fail->id);
    }
  }

  // Checks that no request is overdue.
  void CheckDeadlines(TimePoint now) {
    for (const auto& [router_number, router] : routers_) {
      for (const auto& [id, request] : router.open) {
        if (now > request.deadline + settings_.answer_grace) AddViolation("no final answer in time");
      }
    }
  }

  bool IsOpen(int router, RequestId id) { return routers_[router].open.contains(id); }
  std::size_t open() const {
    std::size_t sum = 0;
    for (const auto& [router_number, router] : routers_) sum += router.open.size();
    return sum;
  }
  std::size_t sends() const { return sends_; }
  const std::vector<std::string>& violations() const { return violations_; }
  std::vector<OutstandingAttempt> outstanding;  // oldest first

 private:
  struct AttemptRecord {
    std::string server;
    int zone = 0, cell = 0;
    TimePoint sent{};
    bool open = true, may_have_run = true, missed = false;
  };
  struct OpenRequest {
    int cls = 0;
    bool write = false;
    TimePoint deadline{};
    std::vector<AttemptRecord> attempts;
  };
  struct ListedServer {
    ServerEntry entry;
    TimePoint leaving_since = TimePoint::max();  // announced as draining or gone
  };
  struct Router {
    std::map<std::string, ListedServer> list;
    std::map<RequestId, OpenRequest> open;
    std::vector<TimePoint> arrivals;
    // Attempts that count toward the limit on extra attempts.
    std::vector<std::tuple<TimePoint, RequestId, int>> extra_attempts;
  };

  void AddViolation(const std::string& rule) { violations_.push_back(rule); }

  void OnEvent(Router& router, TimePoint now, const MembershipEvent& update) {
    if (update.scope == Scope::kFailed) return;
    std::set<std::string> named;
    for (const ServerEntry& entry : update.entries) {
      named.insert(entry.id.name);
      ListedServer& listing = router.list[entry.id.name];
      TimePoint started = std::max(listing.entry.started, entry.started);  // all machines share one clock
      listing.entry = entry;
      listing.entry.started = started;
      bool serves = entry.state == ServerState::kReady;
      listing.leaving_since = serves ? TimePoint::max() : std::min(listing.leaving_since, now);
    }
    if (update.scope == Scope::kDelta) return;
    for (auto& [name, listing] : router.list) {
      if (!named.contains(name)) listing.leaving_since = std::min(listing.leaving_since, now);
    }
  }

  void OnEvent(Router& router, const OutcomeEvent& event) {
    std::erase_if(outstanding, [&](const OutstandingAttempt& flight) {
      return &routers_[flight.router] == &router && flight.id == event.id && flight.attempt == event.attempt;
    });
    if (event.result == Result::kNeverSent) {
      std::erase_if(router.extra_attempts, [&](const auto& one) {
        return std::get<1>(one) == event.id && std::get<2>(one) == event.attempt;
      });
    }
    auto at = router.open.find(event.id);
    if (at == router.open.end()) return;
    AttemptRecord& previous = at->second.attempts.at(static_cast<std::size_t>(event.attempt));
    previous.open = false;
    previous.missed = event.result == Result::kMiss;
    previous.may_have_run = !previous.missed && event.result != Result::kFull &&
                            event.result != Result::kNoConn && event.result != Result::kNeverSent;
    if (event.done) router.open.erase(at);
  }

  void OnAction(int router_number, TimePoint now, const Send& send) {
    ++sends_;
    Router& router = routers_[router_number];
    auto at = router.open.find(send.id);
    if (at == router.open.end()) return AddViolation("an attempt after the final answer");
    OpenRequest& request = at->second;
    auto listed = router.list.find(send.server.name);
    if (listed == router.list.end()) return AddViolation("an attempt at a server that is in no list");
    const ServerEntry& server = listed->second.entry;
    if (listed->second.leaving_since != TimePoint::max() &&
        now > listed->second.leaving_since + settings_.drain_grace) {
      AddViolation("an attempt at a draining or gone server after drain_grace");
    }
    bool at_origin = settings_.cache_aside && server.kind == settings_.origin_kind;
    if (settings_.cache_aside && request.write && !at_origin) AddViolation("a write to a cache server");
    int attempt = static_cast<int>(request.attempts.size());
    if (attempt >= settings_.try_limit) AddViolation("more attempts than allowed");
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(request.cls)];
    for (const AttemptRecord& previous : request.attempts) {
      if (previous.open && !settings_.concurrent_attempts) AddViolation("two attempts in flight at once");
      if (!previous.may_have_run) continue;
      bool same_group = cls.dedup_group == DedupGroup::kAll ||
                        (cls.dedup_group == DedupGroup::kZone ? server.zone == previous.zone
                                                              : server.cell == previous.cell);
      switch (lab::JudgeRepeat(cls, now - previous.sent, Duration{}, same_group)) {
        case lab::Repeat::kFine:
          break;
        case lab::Repeat::kNever:
          AddViolation("an unsafe request repeated");
          break;
        case lab::Repeat::kTooLate:
          AddViolation("a keyed request repeated after its deduplication window");
          break;
        case lab::Repeat::kOutsideGroup:
          AddViolation("a keyed request repeated outside its deduplication group");
          break;
      }
    }
    if (settings_.attempt_window && attempt > 0 && !request.attempts.back().missed) {
      router.extra_attempts.push_back({now, send.id, attempt});
      auto in_window = [&](TimePoint time) { return now - time < *settings_.attempt_window; };
      auto arrivals = std::count_if(router.arrivals.begin(), router.arrivals.end(), in_window);
      auto extra_attempts = std::count_if(router.extra_attempts.begin(), router.extra_attempts.end(),
                                          [&](const auto& one) { return in_window(std::get<0>(one)); });
      double max_extra =
          *settings_.free_resends + *settings_.extra_per_request * static_cast<double>(arrivals);
      if (static_cast<double>(extra_attempts) > max_extra) AddViolation("more extra attempts than allowed");
    }
    if (!at_origin) CheckColdServer(server, now);
    request.attempts.push_back({send.server.name, server.zone, server.cell, now});
    TimePoint give_up = send.give_up_after > Duration{} ? now + send.give_up_after : request.deadline;
    outstanding.push_back(
        {router_number, send.id, attempt, send.server.name, now, std::min(request.deadline, give_up)});
  }

  // The limit of a cold server, over all routers that know of its start: overload_multiple times its current
  // capacity within any overload_duration, plus one for chance. Its misses that reach the origin are among
  // these sends, so the limit also bounds the load that cold servers cause there.
  void CheckColdServer(const ServerEntry& server, TimePoint now) {
    Duration age = now - server.started;
    if (capacity_ <= 0 || server.started == TimePoint{} || age >= settings_.warm_after) return;
    auto& sent = cold_sends_[server.id.name];
    sent.push_back(now);
    while (now - sent.front() > settings_.overload_duration) sent.pop_front();
    double warm_share = static_cast<double>(age.count()) / static_cast<double>(settings_.warm_after.count());
    double current_capacity =
        capacity_ * (settings_.start_capacity + (1 - settings_.start_capacity) * warm_share);
    double span = std::chrono::duration<double>(settings_.overload_duration).count();
    if (static_cast<double>(sent.size()) > settings_.overload_multiple * current_capacity * span + 1) {
      AddViolation("a cold server got more than its limit");
    }
  }

  void OnAction(Router& router, const Reject& reject) {
    auto at = router.open.find(reject.id);
    if (at != router.open.end()) {
      const OpenRequest& request = at->second;
      bool may_have_run_before =
          std::any_of(request.attempts.begin(), request.attempts.end(),
                      [](const AttemptRecord& previous) { return previous.may_have_run; });
      if (may_have_run_before &&
          !lab::HarmlessToAskAgain(settings_.classes[static_cast<std::size_t>(request.cls)])) {
        AddViolation("a rejection of a request that may have run");
      }
    }
    OnFinalAnswer(router, reject.id);
  }

  void OnFinalAnswer(Router& router, RequestId id) {
    if (router.open.erase(id) == 0) AddViolation("a second final answer");
  }

  Settings settings_;
  double capacity_;
  std::map<int, Router> routers_;
  std::map<std::string, std::deque<TimePoint>> cold_sends_;
  std::vector<std::string> violations_;
  std::size_t sends_ = 0;
};

}  // namespace peatbend::orders

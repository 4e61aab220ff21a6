// The rules, checked on what decision modules are told and what they do, after each event. Knows nothing of
// how they decide. Several routers may share one fleet: what a cold server gets is summed up over all.
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

class Checker {
 public:
  struct Flight {  // an attempt that is out
    int router = 0;
    RequestId id{};
    int attempt = 0;
    std::string server;
    TimePoint sent{}, give_up{};
  };

  // `capacity`: requests a second that a warm cache server can answer; zero: the cold rule is not checked.
  explicit Checker(const Settings& settings, double capacity = 0) : set_(settings), capacity_(capacity) {}

  // An event, before the router's module takes it.
  void Told(int router, TimePoint now, const Event& event) {
    if (const auto* news = std::get_if<MembershipEvent>(&event)) Told(routers_[router], now, *news);
    if (const auto* request = std::get_if<RequestEvent>(&event)) {
      routers_[router].open[request->id] = {request->cls, request->write, now + request->remaining, {}};
      routers_[router].taken.push_back(now);
    }
    if (const auto* outcome = std::get_if<OutcomeEvent>(&event)) Told(routers_[router], *outcome);
    if (const auto* gone = std::get_if<ClientGoneEvent>(&event)) routers_[router].open.erase(gone->id);
  }

  // What the module did then.
  void Did(int router, TimePoint now, const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) Did(router, now, *send);
      if (const auto* reject = std::get_if<Reject>(&action)) Did(routers_[router], *reject);
      if (const auto* fail = std::get_if<Fail>(&action)) Ended(routers_[router], fail->id);
    }
  }

  // It is `now`.
  void Clock(TimePoint now) {
    for (const auto& [number, router] : routers_) {
      for (const auto& [id, request] : router.open) {
        if (now > request.deadline + set_.answer_grace) Broken("no final answer in time");
      }
    }
  }

  bool IsOpen(int router, RequestId id) { return routers_[router].open.contains(id); }
  std::size_t open() const {
    std::size_t sum = 0;
    for (const auto& [number, router] : routers_) sum += router.open.size();
    return sum;
  }
  std::size_t sends() const { return sends_; }
  const std::vector<std::string>& broken() const { return broken_; }
  std::vector<Flight> flights;  // the oldest first

 private:
  struct Try {
    std::string server;
    int zone = 0, cell = 0;
    TimePoint sent{};
    bool open = true, may_have_run = true, missed = false;
  };
  struct Open {
    int cls = 0;
    bool write = false;
    TimePoint deadline{};
    std::vector<Try> tries;
  };
  struct Listing {
    ServerEntry entry;
    TimePoint leaving = TimePoint::max();  // told so
  };
  struct Router {
    std::map<std::string, Listing> list;
    std::map<RequestId, Open> open;
    std::vector<TimePoint> taken;
    std::vector<std::tuple<TimePoint, RequestId, int>> further;  // attempts that count for the allowance
  };

  void Broken(const std::string& rule) { broken_.push_back(rule); }

  void Told(Router& router, TimePoint now, const MembershipEvent& news) {
    if (news.scope == Scope::kFailed) return;
    std::set<std::string> named;
    for (const ServerEntry& entry : news.entries) {
      named.insert(entry.id.name);
      Listing& listing = router.list[entry.id.name];
      TimePoint started = std::max(listing.entry.started, entry.started);  // one clock, read by all machines
      listing.entry = entry;
      listing.entry.started = started;
      bool serves = entry.state == ServerState::kReady;
      listing.leaving = serves ? TimePoint::max() : std::min(listing.leaving, now);
    }
    if (news.scope == Scope::kDelta) return;
    for (auto& [name, listing] : router.list) {
      if (!named.contains(name)) listing.leaving = std::min(listing.leaving, now);
    }
  }

  void Told(Router& router, const OutcomeEvent& event) {
    std::erase_if(flights, [&](const Flight& flight) {
      return &routers_[flight.router] == &router && flight.id == event.id && flight.attempt == event.attempt;
    });
    if (event.result == Result::kNeverSent) {
      std::erase_if(router.further, [&](const auto& one) {
        return std::get<1>(one) == event.id && std::get<2>(one) == event.attempt;
      });
    }
    auto at = router.open.find(event.id);
    if (at == router.open.end()) return;
    Try& tried = at->second.tries.at(static_cast<std::size_t>(event.attempt));
    tried.open = false;
    tried.missed = event.result == Result::kMiss;
    tried.may_have_run = !tried.missed && event.result != Result::kFull && event.result != Result::kNoConn &&
                         event.result != Result::kNeverSent;
    if (event.done) router.open.erase(at);
  }

  void Did(int number, TimePoint now, const Send& send) {
    ++sends_;
    Router& router = routers_[number];
    auto at = router.open.find(send.id);
    if (at == router.open.end()) return Broken("an attempt after the final answer");
    Open& request = at->second;
    auto listed = router.list.find(send.server.name);
    if (listed == router.list.end()) return Broken("an attempt at a server that no list has named");
    const ServerEntry& server = listed->second.entry;
    if (listed->second.leaving != TimePoint::max() && now > listed->second.leaving + set_.drain_grace) {
      Broken("an attempt at a draining or gone server after the grace");
    }
    bool at_origin = set_.cache_aside && server.kind == set_.origin_kind;
    if (set_.cache_aside && request.write && !at_origin) Broken("a write to a server that only stores");
    int attempt = static_cast<int>(request.tries.size());
    if (attempt >= set_.try_limit) Broken("more attempts than allowed");
    const ClassSettings& cls = set_.classes[static_cast<std::size_t>(request.cls)];
    for (const Try& tried : request.tries) {
      if (tried.open && !set_.concurrent_attempts) Broken("two attempts out at once");
      if (!tried.may_have_run) continue;
      bool same =
          cls.dedup_group == DedupGroup::kAll ||
          (cls.dedup_group == DedupGroup::kZone ? server.zone == tried.zone : server.cell == tried.cell);
      switch (lab::JudgeRepeat(cls, now - tried.sent, Duration{}, same)) {
        case lab::Repeat::kFine:
          break;
        case lab::Repeat::kNever:
          Broken("an unsafe request repeated");
          break;
        case lab::Repeat::kTooLate:
          Broken("a keyed request repeated after its window");
          break;
        case lab::Repeat::kOutsideGroup:
          Broken("a keyed request repeated outside its group");
          break;
      }
    }
    if (set_.attempt_window && attempt > 0 && !request.tries.back().missed) {
      router.further.push_back({now, send.id, attempt});
      auto in_window = [&](TimePoint time) { return now - time < *set_.attempt_window; };
      auto taken = std::count_if(router.taken.begin(), router.taken.end(), in_window);
      auto further = std::count_if(router.further.begin(), router.further.end(),
                                   [&](const auto& one) { return in_window(std::get<0>(one)); });
      double most = *set_.free_resends + *set_.extra_per_request * static_cast<double>(taken);
      if (static_cast<double>(further) > most) Broken("more further attempts than the allowance");
    }
    if (!at_origin) CheckCold(server, now);
    request.tries.push_back({send.server.name, server.zone, server.cell, now});
    TimePoint give_up = send.give_up_after > Duration{} ? now + send.give_up_after : request.deadline;
    flights.push_back({number, send.id, attempt, send.server.name, now, std::min(request.deadline, give_up)});
  }

  // The budget of a cold server, over all routers that were told of its start: the multiple of what it can do
  // now, in any span of the time after which it falls over; and one for chance. Misses there that reach the
  // origin are a part of these sends, so the bound holds for what cold servers make of its load too.
  void CheckCold(const ServerEntry& server, TimePoint now) {
    Duration age = now - server.started;
    if (capacity_ <= 0 || server.started == TimePoint{} || age >= set_.warm_after) return;
    auto& sent = cold_[server.id.name];
    sent.push_back(now);
    while (now - sent.front() > set_.overload_duration) sent.pop_front();
    double grown = static_cast<double>(age.count()) / static_cast<double>(set_.warm_after.count());
    double can = capacity_ * (set_.start_capacity + (1 - set_.start_capacity) * grown);
    double span = std::chrono::duration<double>(set_.overload_duration).count();
    if (static_cast<double>(sent.size()) > set_.overload_multiple * can * span + 1) {
      Broken("a cold server was sent more than its budget");
    }
  }

  void Did(Router& router, const Reject& reject) {
    auto at = router.open.find(reject.id);
    if (at != router.open.end()) {
      const Open& request = at->second;
      bool ran = std::any_of(request.tries.begin(), request.tries.end(),
                             [](const Try& tried) { return tried.may_have_run; });
      if (ran && !lab::HarmlessToAskAgain(set_.classes[static_cast<std::size_t>(request.cls)])) {
        Broken("a refusal of what may have run");
      }
    }
    Ended(router, reject.id);
  }

  void Ended(Router& router, RequestId id) {
    if (router.open.erase(id) == 0) Broken("a second final answer");
  }

  Settings set_;
  double capacity_;
  std::map<int, Router> routers_;
  std::map<std::string, std::deque<TimePoint>> cold_;
  std::vector<std::string> broken_;
  std::size_t sends_ = 0;
};

}  // namespace peatbend::orders

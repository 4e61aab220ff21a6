// Regression tests for findings F13 and F15 of docs/review-findings.md.
#include <algorithm>
#include <variant>

#include "doctest/doctest.h"
#include "peatbend/balancer.h"

namespace peatbend {
namespace {

using std::chrono::milliseconds;

// A balancer with a class of reads, a class of writes, one cache server and the origin.
struct SmallFleet {
  Settings settings = [] {
    Settings settings;
    settings.classes.resize(2);
    for (ClassSettings& cls : settings.classes) {
      cls.aim = milliseconds(500);
      cls.deadline = milliseconds(1000);
    }
    settings.cache_aside = true;
    settings.origin_kind = 1;
    settings.try_limit = 4;
    settings.start_capacity = 0.14;
    settings.warm_after = std::chrono::seconds(24);
    settings.overload_multiple = 3;
    settings.overload_duration = std::chrono::seconds(2);
    settings.tick = milliseconds(5);
    return settings;
  }();
  Balancer balancer{settings, 7};
  TimePoint now{std::chrono::seconds(100)};
  std::vector<Action> actions;

  void Handle(const Event& event) {
    actions.clear();
    balancer.Handle(now, event, actions);
  }
  void List(Scope scope, const std::vector<ServerEntry>& entries) { Handle(MembershipEvent{scope, entries}); }
  static ServerEntry Entry(const std::string& name, TimePoint started = {}) {
    ServerEntry entry;
    entry.id = {name};
    entry.kind = name == "origin" ? 1 : 0;
    entry.started = started;
    return entry;
  }
  // The cache server has answered the request successfully after `elapsed`.
  void Answer(unsigned id, Duration elapsed) {
    OutcomeEvent good;
    good.id = RequestId{id};
    good.server = "box";
    good.elapsed = elapsed;
    good.done = true;
    Handle(good);
  }
  // Sends a request to the balancer; returns the number of resulting Send actions.
  std::size_t Request(unsigned id, bool write, Duration remaining) {
    RequestEvent event;
    event.id = RequestId{id};
    event.key = Key{id};
    event.cls = write ? 1 : 0;
    event.write = write;
    event.remaining = remaining;
    Handle(event);
    return static_cast<std::size_t>(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<Send>(action);
    }));
  }
};

// F13. Only cache servers need time to warm up after a start, not the origin.
TEST_CASE("open: an origin that has just started is sent as many requests as later") {
  SmallFleet fleet;
  fleet.List(Scope::kFull, {SmallFleet::Entry("box"), SmallFleet::Entry("origin", fleet.now)});
  std::size_t sent = 0;
  for (unsigned id = 1; id <= 6; ++id) sent += fleet.Request(id, true, milliseconds(900));
  CHECK(sent == 6);
}

// F15. A request with less time than any server has ever needed is rejected at once and costs no server any
// work.
TEST_CASE("open: a request with too little time for any server is not sent") {
  SmallFleet fleet;
  fleet.List(Scope::kFull, {SmallFleet::Entry("box"), SmallFleet::Entry("origin")});
  for (unsigned id = 1; id <= 100; ++id) {
    REQUIRE(fleet.Request(id, false, milliseconds(900)) == 1);
    fleet.now += milliseconds(30);
    fleet.Answer(id, milliseconds(30));
  }
  CHECK(fleet.Request(1000, false, milliseconds(5)) == 0);
  CHECK(std::ranges::count_if(
            fleet.actions, [](const Action& action) { return std::holds_alternative<Reject>(action); }) == 1);
}

// F15, the opposite case: half the time that servers have needed may suffice, and so may any time once no
// server has answered for long.
TEST_CASE("open: a request whose time may suffice is sent") {
  SmallFleet fleet;
  fleet.List(Scope::kFull, {SmallFleet::Entry("box"), SmallFleet::Entry("origin")});
  CHECK(fleet.Request(1, false, milliseconds(5)) == 1);  // no server has answered yet
  OutcomeEvent late;
  late.id = RequestId{1};
  late.server = "box";
  late.result = Result::kLate;
  late.elapsed = milliseconds(5);
  late.done = true;
  fleet.Handle(late);
  for (unsigned id = 2; id <= 100; ++id) {
    REQUIRE(fleet.Request(id, false, milliseconds(900)) == 1);
    fleet.now += milliseconds(30);
    fleet.Answer(id, milliseconds(30));
  }
  CHECK(fleet.Request(1000, false, milliseconds(15)) == 1);
  CHECK(fleet.Request(1001, true, milliseconds(5)) == 1);  // another class, without any answers so far
  fleet.now += std::chrono::seconds(60);
  CHECK(fleet.Request(1002, false, milliseconds(5)) == 1);
}

// A stream has no deadline once it has started, so its duration does not count as the time that a request
// needs.
TEST_CASE("open: long streams do not cause rejections") {
  SmallFleet fleet;
  fleet.List(Scope::kFull, {SmallFleet::Entry("box"), SmallFleet::Entry("origin")});
  for (unsigned id = 1; id <= 20; ++id) {
    REQUIRE(fleet.Request(id, false, milliseconds(900)) == 1);
    fleet.now += milliseconds(30);
    fleet.Handle(StreamStartEvent{RequestId{id}, 0});
    fleet.now += std::chrono::seconds(20);
    fleet.Answer(id, std::chrono::seconds(20));
  }
  CHECK(fleet.Request(1000, false, milliseconds(900)) == 1);
}

}  // namespace
}  // namespace peatbend

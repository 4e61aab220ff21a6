// Findings F13 and F15 of docs/review-findings.md, which were open for a while. Each test states what has to
// hold.
#include <algorithm>
#include <variant>

#include "doctest/doctest.h"
#include "peatbend/balancer.h"

namespace peatbend {
namespace {

using std::chrono::milliseconds;

// One class of reads, one of writes; a cache server and the origin.
struct Small {
  Settings set = [] {
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
  Balancer balancer{set, 7};
  TimePoint now{std::chrono::seconds(100)};
  std::vector<Action> did;

  void Take(const Event& event) {
    did.clear();
    balancer.Handle(now, event, did);
  }
  void List(Scope scope, const std::vector<ServerEntry>& entries) { Take(MembershipEvent{scope, entries}); }
  static ServerEntry Entry(const std::string& name, TimePoint started = {}) {
    ServerEntry entry;
    entry.id = {name};
    entry.kind = name == "origin" ? 1 : 0;
    entry.started = started;
    return entry;
  }
  // The cache server has answered this request, after so long.
  void AnswerGood(unsigned id, Duration elapsed) {
    OutcomeEvent good;
    good.id = RequestId{id};
    good.server = "box";
    good.elapsed = elapsed;
    good.done = true;
    Take(good);
  }
  // So many sends as it led to.
  std::size_t Ask(unsigned id, bool write, Duration remaining) {
    RequestEvent event;
    event.id = RequestId{id};
    event.key = Key{id};
    event.cls = write ? 1 : 0;
    event.write = write;
    event.remaining = remaining;
    Take(event);
    return static_cast<std::size_t>(std::count_if(
        did.begin(), did.end(), [](const Action& action) { return std::holds_alternative<Send>(action); }));
  }
};

// F13. The warm-up is the cache servers'; nobody says that the origin has one.
TEST_CASE("open: an origin that has just started takes as many as it will a moment later") {
  Small small;
  small.List(Scope::kFull, {Small::Entry("box"), Small::Entry("origin", small.now)});
  std::size_t sent = 0;
  for (unsigned id = 1; id <= 6; ++id) sent += small.Ask(id, true, milliseconds(900));
  CHECK(sent == 6);
}

// F15. What no server has ever answered in is too short: told at once, it costs nobody's work.
TEST_CASE("open: a request whose time is too short for any server is not sent") {
  Small small;
  small.List(Scope::kFull, {Small::Entry("box"), Small::Entry("origin")});
  for (unsigned id = 1; id <= 100; ++id) {
    REQUIRE(small.Ask(id, false, milliseconds(900)) == 1);
    small.now += milliseconds(30);
    small.AnswerGood(id, milliseconds(30));
  }
  CHECK(small.Ask(1000, false, milliseconds(5)) == 0);
  CHECK(std::ranges::count_if(
            small.did, [](const Action& action) { return std::holds_alternative<Reject>(action); }) == 1);
}

// F15, the other side: half of what servers have answered in may do, and so may anything once no server has
// answered for long.
TEST_CASE("open: a request whose time may do is sent") {
  Small small;
  small.List(Scope::kFull, {Small::Entry("box"), Small::Entry("origin")});
  CHECK(small.Ask(1, false, milliseconds(5)) == 1);  // no server has answered yet
  OutcomeEvent late;
  late.id = RequestId{1};
  late.server = "box";
  late.result = Result::kLate;
  late.elapsed = milliseconds(5);
  late.done = true;
  small.Take(late);
  for (unsigned id = 2; id <= 100; ++id) {
    REQUIRE(small.Ask(id, false, milliseconds(900)) == 1);
    small.now += milliseconds(30);
    small.AnswerGood(id, milliseconds(30));
  }
  CHECK(small.Ask(1000, false, milliseconds(15)) == 1);
  CHECK(small.Ask(1001, true, milliseconds(5)) == 1);  // another class, of which nothing is known
  small.now += std::chrono::seconds(60);
  CHECK(small.Ask(1002, false, milliseconds(5)) == 1);
}

// A stream has no deadline once it has started: its length says nothing of what a request needs.
TEST_CASE("open: long streams rule out no request") {
  Small small;
  small.List(Scope::kFull, {Small::Entry("box"), Small::Entry("origin")});
  for (unsigned id = 1; id <= 20; ++id) {
    REQUIRE(small.Ask(id, false, milliseconds(900)) == 1);
    small.now += milliseconds(30);
    small.Take(StreamStartEvent{RequestId{id}, 0});
    small.now += std::chrono::seconds(20);
    small.AnswerGood(id, std::chrono::seconds(20));
  }
  CHECK(small.Ask(1000, false, milliseconds(900)) == 1);
}

}  // namespace
}  // namespace peatbend

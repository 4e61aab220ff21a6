// The latest time at which an attempt may begin, on connections that are established with a delay.
#include <chrono>

#include "net/attempt_fixture.h"
#include "net/delayed_port.h"

namespace peatbend::net::test {
namespace {

constexpr std::chrono::milliseconds kTooShort{50}, kLongEnough{1900};

struct DelayedAttemptFixture : AttemptFixture {
  DelayedAttemptFixture() { SetServer(server.port); }
  DelayedPort server{stage.base.get(), Stage::Says(Value("x"))};
};

// The outcome must not count against the server, since the attempt had too little time.
TEST_CASE("begin by: an attempt whose connection is not established in time is given up unsent") {
  DelayedAttemptFixture fixture;
  fixture.Start(kTooShort);
  fixture.WaitForOutcome();
  CHECK(fixture.outcome == Result::kNeverSent);
  CHECK(fixture.counters.dials == 1);
  fixture.server.Open();
  End& later = fixture.stage.clients.emplace_back(fixture.stage.base.get(), -1);
  later.Connect(fixture.server.port);
  later.Say("later");
  fixture.stage.Until([&] { return fixture.server.Count("later") == 1; });
  CHECK(fixture.server.Count("OBJ.GET") == 0);
  CHECK(fixture.counters.dispatches == 0);
  CHECK(fixture.outcomes == 1);
}

TEST_CASE("begin by: an attempt whose connection is established in time is sent") {
  DelayedAttemptFixture fixture;
  fixture.Start(kLongEnough);
  fixture.server.Open();
  fixture.WaitForOutcome();
  CHECK(fixture.outcome == Result::kGood);
  CHECK(fixture.server.Count("OBJ.GET") == 1);
}

TEST_CASE("begin by: an attempt that starts too late does not dial") {
  DelayedAttemptFixture fixture;
  fixture.Start(-kTooShort);
  fixture.WaitForOutcome();
  CHECK(fixture.outcome == Result::kNeverSent);
  CHECK(fixture.counters.dials == 0);
  CHECK(fixture.outcomes == 1);
}

}  // namespace
}  // namespace peatbend::net::test

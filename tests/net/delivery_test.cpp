// Attempts whose server takes the request slowly. An attempt counts once its last byte has arrived, so that
// what the router has given up must not arrive later, also where the kernel has taken all of it.
#include <chrono>
#include <string>

#include "net/attempt_fixture.h"
#include "net/raw_server.h"
#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kReceiveBuffer = 64 * 1024;  // bytes, of the servers
// Bytes: a value that the kernel takes whole though the server has not, and one that it does not take whole.
constexpr std::size_t kTakenByKernel = 256 * 1024, kNotTakenByKernel = resp::kMaxBody;
constexpr std::size_t kKeyedClass = 1;  // of Stage
constexpr milliseconds kWindow{1000};
constexpr milliseconds kEnoughToBegin{500};  // for an attempt, also on a busy machine

// Reads what comes until the request is whole or cannot become so any more. Returns whether it came whole.
bool ArrivesWhole(Stage& stage, RawServer& server, const std::string& end) {
  bool whole = false;
  stage.Until([&] { return (whole = server.Got(end)) || server.ended; });
  return whole;
}

// Guards against a double effect: a repeat that began inside the window, and whose origin took it slowly,
// came whole after the window and was applied once more.
TEST_CASE("delivery: a keyed repeat that its origin takes slowly does not arrive after the window") {
  std::size_t size = 0;
  SUBCASE("the kernel has taken all of it") { size = kTakenByKernel; }
  SUBCASE("the kernel has taken a part of it") { size = kNotTakenByKernel; }
  const std::string value(size, 'v');
  RawServer origin(kReceiveBuffer);
  Stage stage({}, {}, "", 1024, 192, "",
              [](Config& config) { config.settings.classes[kKeyedClass].dedup_window = kWindow; });
  Moves(stage, Member("origin", origin.port));
  End& client = stage.Client(Set(kKey, "c=keyed,d=1900,k=1", value));
  stage.Until([&] { return origin.Accepted() && origin.Got(value); });
  auto window_ends = steady_clock::now() + kWindow;  // counted from later than the router does
  origin.Say("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
  stage.Until([&] { return Outcomes(stage, Result::kBad) == 1; });
  origin.Close();
  stage.Until([&] { return origin.Accepted(); });
  stage.Until([&] { return steady_clock::now() > window_ends; });
  CHECK(stage.router.counters().dispatches == (size == kTakenByKernel ? 2 : 1));
  CHECK_FALSE(ArrivesWhole(stage, origin, value));
  CHECK(client.got == "-BUSY 500\r\n");
}

// A single attempt that writes a value to a cache server, which reads nothing until it is asked whether the
// request arrives.
struct SlowServerFixture : AttemptFixture {
  explicit SlowServerFixture(std::size_t size = kTakenByKernel) {
    SetServer(server.port);
    SetValue(std::string(size, 'v'));
  }
  bool RequestArrivesWhole() {
    REQUIRE(server.Accepted());
    return ArrivesWhole(stage, server, "v\r\n");
  }
  RawServer server{kReceiveBuffer};
};

// The same at a cache server, over RESP.
TEST_CASE(
    "delivery: an attempt that its cache server has not received in time is given up and never arrives") {
  std::size_t size = 0;
  SUBCASE("the kernel has taken all of it") { size = kTakenByKernel; }
  SUBCASE("the kernel has taken a part of it") { size = kNotTakenByKernel; }
  SlowServerFixture fixture(size);
  fixture.Start({.timeout = kAttemptTimeout, .deliver_by = fixture.Now() + kEnoughToBegin});
  fixture.WaitForOutcome();
  CHECK(fixture.outcome == Result::kCancelled);
  CHECK(fixture.elapsed < kAttemptTimeout);
  CHECK(fixture.counters.undelivered == 1);
  CHECK_FALSE(fixture.RequestArrivesWhole());
}

// Guards against an effect after the request was given up: the close left the kernel to deliver what it had
// taken.
TEST_CASE("delivery: an attempt that is out of time, or is cancelled, does not arrive later") {
  SlowServerFixture fixture;
  SUBCASE("out of time") { fixture.Start({.timeout = kEnoughToBegin}); }
  SUBCASE("cancelled") {
    fixture.Start({.timeout = kAttemptTimeout});
    fixture.stage.Until([&] { return fixture.counters.dispatches == 1; });
    fixture.attempt().Cancel();
  }
  fixture.WaitForOutcome();
  fixture.stage.Rest();  // a connection is closed in the next turn of the loop
  CHECK(fixture.counters.dispatches == 1);
  CHECK_FALSE(fixture.RequestArrivesWhole());
}

// Guards against a second copy: the connection of an attempt that was answered early was kept, and the rest
// of the request arrived behind the answer.
TEST_CASE("delivery: an attempt answered before its server has received it does not arrive later") {
  SlowServerFixture fixture;
  fixture.Start({.timeout = kAttemptTimeout});
  fixture.stage.Until([&] { return fixture.counters.dispatches == 1 && fixture.server.Accepted(); });
  fixture.server.Say("-ERR failed\r\n");
  fixture.WaitForOutcome();
  CHECK(fixture.outcome == Result::kBad);
  CHECK_FALSE(fixture.RequestArrivesWhole());
}

// Guards against a double effect: a client gives up and asks again by the same idempotency key, while its
// first request was written on and arrived after the window of the second.
TEST_CASE("delivery: what a server has not received soon after its client left does not arrive later") {
  constexpr milliseconds kAllowedAfterLeave{100};
  std::size_t size = 0;
  SUBCASE("the kernel has taken all of it") { size = kTakenByKernel; }
  SUBCASE("the kernel has taken a part of it") { size = kNotTakenByKernel; }
  const std::string value(size, 'v');
  RawServer origin(kReceiveBuffer);
  Stage stage;
  Moves(stage, Member("origin", origin.port));
  End& client = stage.Client(Set(kKey, "c=keyed,d=1900,k=1", value));
  stage.Until([&] { return stage.router.counters().attempts_to_origin == 1 && origin.Accepted(); });
  stage.Rest();
  CHECK(stage.router.counters().dispatches == (size == kTakenByKernel ? 1 : 0));
  client.Hang();
  stage.Until([&] { return stage.router.counters().requests_abandoned == 1; });
  auto left = steady_clock::now();
  stage.Until([&] { return steady_clock::now() > left + 2 * kAllowedAfterLeave; });
  CHECK(Outcomes(stage, Result::kCancelled) == 1);
  CHECK_FALSE(ArrivesWhole(stage, origin, value));
}

// The limit is on the delivery alone: a server that has the request may work on it for longer.
TEST_CASE("delivery: an attempt delivered in time may be answered later") {
  AttemptFixture fixture;
  RawServer server;
  fixture.SetServer(server.port);
  fixture.SetValue("v");
  TimePoint deliver_by = fixture.Now() + kEnoughToBegin;
  fixture.Start({.timeout = kAttemptTimeout, .deliver_by = deliver_by});
  fixture.stage.Until([&] { return server.Accepted() && server.Got("v\r\n"); });
  fixture.stage.Until([&] { return fixture.Now() > deliver_by + milliseconds(20); });
  CHECK(fixture.outcomes == 0);
  server.Say(Value("x"));
  fixture.WaitForOutcome();
  CHECK(fixture.outcome == Result::kGood);
  CHECK(fixture.counters.undelivered == 0);
}

TEST_CASE("delivery: an attempt that could no longer be delivered in time does not begin") {
  AttemptFixture fixture;
  RawServer server;
  fixture.SetServer(server.port);
  fixture.Start({.timeout = kAttemptTimeout, .deliver_by = fixture.Now() - milliseconds(1)});
  fixture.WaitForOutcome();
  CHECK(fixture.outcome == Result::kNeverSent);
  CHECK(fixture.counters.dials == 0);
}

}  // namespace
}  // namespace peatbend::net::test

// An attempt that waits for its send permit has exactly one outcome, whatever happens first.
#include <memory>
#include <string>

#include "base/address.h"
#include "net/rules_stage.h"
#include "stage/balancer_driver.h"

namespace peatbend::net::test {
namespace {

// A BalancerDriver with a scripted operation tracker and a client that counts its answers.
class HeldAttempt : public OperationTracker, public AnswerSink {
 public:
  HeldAttempt() {
    ServerListEntry entry;
    entry.entry.id.name = "origin";
    entry.entry.kind = settings.origin_kind;
    entry.address = "127.0.0.1:" + std::to_string(stage.origin.port);
    ParseAddress(entry.address, entry.to, entry.to_size);
    driver.ServerListChanged(Scope::kFull, {entry});
    driver.SetOperationTracker(this);
  }

  RequestId Admit() {
    auto request = std::make_unique<Request>();
    request->text = "c=keyed,d=2000,k=1";
    request->facts = request->text;
    request->command = "OBJ.SET";
    request->key = request->id = "1000";
    request->write = true;
    request->cls = 1;
    request->remaining = std::chrono::seconds(2);
    return driver.Admit(std::move(request), *this, 0).value();
  }

  bool Tracks(const Request&) const override { return true; }
  void StartTracking(RequestId, const Request&, Duration) override {}
  void RequestSendPermit(RequestId, const std::string&) override { ++permit_requests; }
  void OnAttemptEnded(RequestId, bool) override {}
  void RecordOutcome(RequestId, failover::OperationOutcome, std::string) override {}
  void StopTracking(RequestId) override { ++stops; }

  void Serve(std::uint64_t, evbuffer*) override { ++answers; }
  void Reject(std::uint64_t, Duration) override { ++answers; }
  void Fail(std::uint64_t) override { ++answers; }
  void HoldValue(std::uint64_t, std::size_t) override {}
  TimePoint NextSince() const override { return {}; }
  std::size_t CommandsBehind(std::uint64_t) const override { return 0; }
  void BeginValue(std::uint64_t, std::size_t) override {}
  bool AppendChunk(std::uint64_t, evbuffer*) override { return true; }
  void EndValue(std::uint64_t, bool) override {}
  bool IsNext(std::uint64_t) const override { return true; }

  Stage stage;
  Settings settings = stage.Configured().settings;
  Counters counters;
  Clock clock;
  Log log{"test", {}, clock};
  Tuning::Members tuning;
  SocketBudget sockets;
  MemoryBudget memory;
  MemberConnections connections{stage.base.get(), settings, tuning, sockets, memory, clock, log, counters};
  BalancerDriver driver{stage.base.get(), settings, 7, connections, [] {}, clock, log, counters};
  int permit_requests = 0, stops = 0, answers = 0;
};

// Guards against a leak of requests, and of their in-flight slots at the server: the tracker does not reply
// after the client has left, so the outcome of the attempt was never reported.
TEST_CASE("held attempt: one whose client leaves is reported as never sent, and its request is released") {
  HeldAttempt held;
  RequestId id = held.Admit();
  held.stage.Until([&] { return held.permit_requests == 1; });
  held.driver.ClientLeft(id);
  held.stage.Until([&] { return held.driver.transactions() == 0; });
  CHECK(held.stops == 1);
  CHECK(held.answers == 0);
  CHECK(held.counters.outcomes[static_cast<std::size_t>(Result::kNeverSent)] == 1);
  held.driver.PermitSend(id);  // too late to have an effect
  held.stage.Rest();
  CHECK(held.counters.attempts == 0);
  CHECK(held.stage.origin.ends.empty());
}

// Guards against a repeat that arrives after the window of another router's attempt: only the record tells of
// that one, and the permit did not say by when the server must have received the repeat.
TEST_CASE("held attempt: one that could not be delivered before its permit ends does not begin") {
  HeldAttempt held;
  RequestId id = held.Admit();
  held.stage.Until([&] { return held.permit_requests == 1; });
  held.driver.PermitSend(id, -std::chrono::milliseconds(1));
  held.stage.Until([&] { return held.counters.outcomes[static_cast<std::size_t>(Result::kNeverSent)] == 1; });
  CHECK(held.counters.attempts == 0);
  CHECK(held.stage.origin.ends.empty());
}

}  // namespace
}  // namespace peatbend::net::test

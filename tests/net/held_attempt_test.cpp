// An attempt that waits for the record of its work, which outlives a router: it has one outcome, whatever
// comes first.
#include <memory>
#include <string>

#include "base/address.h"
#include "net/rules_stage.h"
#include "stage/decision.h"

namespace peatbend::net::test {
namespace {

// The decisions alone, with records that answer when a test says so and a client that counts its answers.
class HeldAttempt : public Keeping, public AnswerSink {
 public:
  HeldAttempt() {
    ServerListEntry entry;
    entry.entry.id.name = "origin";
    entry.entry.kind = settings.origin_kind;
    entry.address = "127.0.0.1:" + std::to_string(stage.origin.port);
    ParseAddress(entry.address, entry.to, entry.to_size);
    decision.ServerListChanged(Scope::kFull, {entry});
    decision.Keep(this);
  }

  RequestId Take() {
    auto request = std::make_unique<Request>();
    request->text = "c=keyed,d=2000,k=1";
    request->facts = request->text;
    request->command = "OBJ.SET";
    request->key = request->id = "1000";
    request->write = true;
    request->cls = 1;
    request->remaining = std::chrono::seconds(2);
    return decision.Take(std::move(request), *this, 0).value();
  }

  bool Tracks(const Request&) const override { return true; }
  void Opened(RequestId, const Request&, Duration) override {}
  void Want(RequestId, const std::string&) override { ++wants; }
  void FlowEnded(RequestId, bool) override {}
  void Finish(RequestId, failover::OperationOutcome, std::string) override {}
  void Left(RequestId) override { ++lefts; }  // nothing follows

  void Serve(std::uint64_t, evbuffer*) override { ++answers; }
  void Reject(std::uint64_t, Duration) override { ++answers; }
  void Fail(std::uint64_t) override { ++answers; }
  void BeginValue(std::uint64_t, std::size_t) override {}
  bool AppendChunk(std::uint64_t, evbuffer*) override { return true; }
  void EndValue(std::uint64_t, bool) override {}

  Stage stage;
  Settings settings = stage.Configured().settings;
  Counters counters;
  Clock clock;
  Log log{"test", {}, clock};
  Tuning::Members tuning;
  SocketBudget sockets;
  MemberConnections connections{stage.base.get(), settings, tuning, sockets, clock, log, counters};
  Decision decision{stage.base.get(), settings, 7, connections, [] {}, clock, log, counters};
  int wants = 0, lefts = 0, answers = 0;
};

// Guards against requests kept for good, and places at the server with them: its records say nothing after
// the client has left, and so the attempt's outcome was never told.
TEST_CASE("held attempt: one whose client leaves is told as never sent, and nothing of it stays") {
  HeldAttempt held;
  RequestId id = held.Take();
  held.stage.Until([&] { return held.wants == 1; });
  held.decision.ClientLeft(id);
  held.stage.Until([&] { return held.decision.transactions() == 0; });
  CHECK(held.lefts == 1);
  CHECK(held.answers == 0);
  CHECK(held.counters.outcomes[static_cast<std::size_t>(Result::kNeverSent)] == 1);
  held.decision.MaySend(id);  // too late to matter
  held.stage.Rest();
  CHECK(held.counters.attempts == 0);
  CHECK(held.stage.origin.ends.empty());
}

}  // namespace
}  // namespace peatbend::net::test

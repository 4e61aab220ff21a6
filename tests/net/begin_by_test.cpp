// The latest time at which an attempt may begin, on connections that come up late.
#include <chrono>
#include <optional>
#include <string>

#include "base/address.h"
#include "net/late_port.h"
#include "net/rules_stage.h"
#include "stage/server_side_flow.h"

namespace peatbend::net::test {
namespace {

constexpr std::chrono::milliseconds kAtOnce{50}, kLongEnough{1900}, kFlowWaits{2000};

// Attempts of a scripted module at a server whose connections come up after a second.
class Flows : public FlowOwner {
 public:
  Flows() {
    settings_.dial_timeout = 2 * kFlowWaits;
    settings_.drain_grace = std::chrono::milliseconds(250);
    request_.text = std::string(kKey);
    request_.command = "OBJ.GET";
    request_.key = request_.id = request_.text;
    request_.facts = "c=read,d=2000";
    PoolEntry entry;
    entry.entry.id.name = "box-1";
    entry.address = "127.0.0.1:" + std::to_string(late.port);
    ReadAddress(entry.address, entry.to, entry.to_size);
    connections_.Learn(Scope::kFull, {entry});
  }
  void FlowEnded(ServerSideFlow&, FlowReply reply) override {
    ++ends;
    outcome = reply.result;
  }
  bool FlowBegan(ServerSideFlow&, std::size_t) override { return false; }
  Next FlowPiece(ServerSideFlow&, evbuffer*) override { return Next::kNotWanted; }

  // An attempt that must begin within that time.
  void Start(Duration begin_within) {
    flow_.emplace(*this, stage.base.get(), clock_, RequestId{1}, 0, "box-1");
    flow_->Start(connections_, request_, kFlowWaits, clock_.Now() + begin_within);
  }
  void UntilItsOutcome() {
    stage.Until([&] { return ends > 0; });
  }

  Stage stage;
  LatePort late{stage.base.get(), Stage::Says(Value("x"))};
  int ends = 0;
  std::optional<Result> outcome;
  Counters counters;

 private:
  Settings settings_;
  Tuning::Members tuning_;
  SocketBudget sockets_;
  Clock clock_;
  Log log_{"test", {}, clock_};
  MemberConnections connections_{stage.base.get(), settings_, tuning_, sockets_, clock_, log_, counters};
  Request request_;
  std::optional<ServerSideFlow> flow_;
};

// The figure for its server tells nothing of that server: the attempt had too little time.
TEST_CASE("begin by: an attempt whose connection is not up by then is given up, and never ran") {
  Flows flows;
  flows.Start(kAtOnce);
  flows.UntilItsOutcome();
  CHECK(flows.outcome == Result::kNeverSent);
  CHECK(flows.counters.dials == 1);
  flows.late.Open();
  End& later = flows.stage.clients.emplace_back(flows.stage.base.get(), -1);
  later.Connect(flows.late.port);
  later.Say("later");
  flows.stage.Until([&] { return flows.late.Count("later") == 1; });
  CHECK(flows.late.Count("OBJ.GET") == 0);
  CHECK(flows.counters.dispatches == 0);
  CHECK(flows.ends == 1);
}

TEST_CASE("begin by: an attempt whose connection comes up in time begins") {
  Flows flows;
  flows.Start(kLongEnough);
  flows.late.Open();
  flows.UntilItsOutcome();
  CHECK(flows.outcome == Result::kGood);
  CHECK(flows.late.Count("OBJ.GET") == 1);
}

TEST_CASE("begin by: an attempt that starts too late is not even dialled") {
  Flows flows;
  flows.Start(-kAtOnce);
  flows.UntilItsOutcome();
  CHECK(flows.outcome == Result::kNeverSent);
  CHECK(flows.counters.dials == 0);
  CHECK(flows.ends == 1);
}

}  // namespace
}  // namespace peatbend::net::test

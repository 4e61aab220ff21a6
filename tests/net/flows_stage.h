// Attempts of a scripted module, on real connections: the flows of the stage without its decisions.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "base/address.h"
#include "net/rules_stage.h"
#include "stage/server_side_flow.h"

namespace peatbend::net::test {

inline constexpr std::chrono::milliseconds kFlowWaits{2000};

// One attempt after another at the server that stands at a port, and their outcomes.
class Flows : public FlowOwner {
 public:
  Flows() {
    settings_.dial_timeout = 2 * kFlowWaits;
    settings_.drain_grace = std::chrono::milliseconds(250);
    request_.text = std::string(kKey);
    request_.command = "OBJ.GET";
    request_.key = request_.id = request_.text;
    request_.facts = "c=read,d=2000";
  }
  // The server stands there.
  void Serve(int port) {
    ServerListEntry entry;
    entry.entry.id.name = "box-1";
    entry.address = "127.0.0.1:" + std::to_string(port);
    ParseAddress(entry.address, entry.to, entry.to_size);
    connections_.Learn(Scope::kFull, {entry});
  }
  void FlowEnded(ServerSideFlow& flow, FlowReply reply) override {
    ++ends;
    elapsed = flow.elapsed();
    outcome = reply.result;
  }
  bool FlowBegan(ServerSideFlow&, std::size_t) override { return false; }
  Next FlowPiece(ServerSideFlow&, evbuffer*) override { return Next::kNotWanted; }

  // An attempt that must begin within that time.
  void Start(Duration begin_within = kFlowWaits, Duration limit = kFlowWaits) {
    flow_.emplace(*this, stage.base.get(), clock_, RequestId{1}, 0, "box-1");
    flow_->Start(connections_, request_, limit, clock_.Now() + begin_within);
  }
  void UntilItsOutcome() {
    stage.Until([&] { return ends > 0; });
  }

  Stage stage;
  int ends = 0;
  std::optional<Result> outcome;
  Duration elapsed{};  // to its outcome
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

}  // namespace peatbend::net::test

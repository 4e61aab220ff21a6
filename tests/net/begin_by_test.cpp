// The latest time at which an attempt may begin, on connections that come up late.
#include <chrono>

#include "net/flows_stage.h"
#include "net/late_port.h"

namespace peatbend::net::test {
namespace {

constexpr std::chrono::milliseconds kAtOnce{50}, kLongEnough{1900};

struct LateFlows : Flows {
  LateFlows() { Serve(late.port); }
  LatePort late{stage.base.get(), Stage::Says(Value("x"))};
};

// The figure for its server tells nothing of that server: the attempt had too little time.
TEST_CASE("begin by: an attempt whose connection is not up by then is given up, and never ran") {
  LateFlows flows;
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
  LateFlows flows;
  flows.Start(kLongEnough);
  flows.late.Open();
  flows.UntilItsOutcome();
  CHECK(flows.outcome == Result::kGood);
  CHECK(flows.late.Count("OBJ.GET") == 1);
}

TEST_CASE("begin by: an attempt that starts too late is not even dialled") {
  LateFlows flows;
  flows.Start(-kAtOnce);
  flows.UntilItsOutcome();
  CHECK(flows.outcome == Result::kNeverSent);
  CHECK(flows.counters.dials == 0);
  CHECK(flows.ends == 1);
}

}  // namespace
}  // namespace peatbend::net::test

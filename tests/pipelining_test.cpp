// Which commands of a client are sent on, and when a large value is written.
#include <chrono>

#include "gtest/gtest.h"
#include "peatbend/balancer.h"

namespace peatbend {
namespace {

using std::chrono::milliseconds;

// A value that is next, with one command behind it, whose client waits for 2 s.
LargeValueFacts Facts() {
  LargeValueFacts facts;
  facts.commands_behind = 1;
  facts.limit = milliseconds(2000);
  return facts;
}

TEST(Pipelining, AValueWithNothingBehindItIsPassedOnAsItArrives) {
  LargeValueFacts facts = Facts();
  facts.commands_behind = 0;
  for (bool next : {false, true}) {
    facts.next = next;
    EXPECT_EQ(DecideDelivery(facts).delivery, ValueDelivery::kPassOn);
  }
}

TEST(Pipelining, AValueBehindAnotherAnswerTakesNoMemoryUntilItIsNext) {
  LargeValueFacts facts = Facts();
  facts.next = false;
  EXPECT_EQ(DecideDelivery(facts).delivery, ValueDelivery::kLeaveUnread);
  facts.waited = milliseconds(5000);
  EXPECT_EQ(DecideDelivery(facts).delivery, ValueDelivery::kLeaveUnread);
}

// The value's own answer is timed by its first byte, which must not come when its client has gone.
TEST(Pipelining, AValueWithCommandsBehindItIsHeldForAShareOfItsTimeAtMost) {
  LargeValueFacts facts = Facts();
  ValueDecision decision = DecideDelivery(facts);
  EXPECT_EQ(decision.delivery, ValueDelivery::kHold);
  EXPECT_LT(decision.decide_again, facts.limit);
  facts.waited = decision.decide_again - milliseconds(1);
  EXPECT_EQ(DecideDelivery(facts).delivery, ValueDelivery::kHold);
  facts.waited = decision.decide_again;
  EXPECT_EQ(DecideDelivery(facts).delivery, ValueDelivery::kPassOn);
}

TEST(Pipelining, ACommandBehindAValueThatMayBreakOffIsNotSentOn) {
  EXPECT_EQ(DecideCommand({.value_unfinished = false}), CommandDecision::kForward);
  EXPECT_EQ(DecideCommand({.value_unfinished = true}), CommandDecision::kLeaveUnread);
}

}  // namespace
}  // namespace peatbend

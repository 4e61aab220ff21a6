// Pipelined commands, large values and memory for them: which commands are sent on, and when a value's bytes
// are written, so that what was sent on can be answered whatever becomes of the value.
#include "module/balancer_impl.h"

namespace peatbend {

// Share of its time for which a client waits for the first byte of a value that is held until it is whole.
constexpr double kMaxHoldShare = 0.6;

ValueDecision DecideDelivery(const LargeValueFacts& facts) {
  if (facts.commands_behind == 0) return {ValueDelivery::kPassOn};
  if (!facts.next) return {ValueDelivery::kLeaveUnread};
  Duration most = Scale(facts.limit, kMaxHoldShare);
  if (facts.waited >= most) return {ValueDelivery::kPassOn};
  return {ValueDelivery::kHold, most - facts.waited};
}

// Behind a value that may yet break off, a command might never be answered.
CommandDecision DecideCommand(const PipelineFacts& facts) {
  return facts.value_unfinished ? CommandDecision::kLeaveUnread : CommandDecision::kForward;
}

// Share of its time for which a value waits for memory: its client still has time for a retry.
constexpr double kMaxRoomWaitShare = 0.47;

RoomDecision DecideRoom(const RoomFacts& facts) {
  bool over = facts.ends || facts.waited >= Scale(facts.limit, kMaxRoomWaitShare);
  return over ? RoomDecision::kRefuse : RoomDecision::kWait;
}

}  // namespace peatbend

// The planned end of a router: from SIGTERM to the last answer.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "router/router.h"

namespace peatbend::net {
namespace {
// After SIGTERM the platform waits for the longest deadline, and for this at most, before it kills. The last
// answers are given so long before the program ends.
constexpr std::chrono::milliseconds kLongestWait{3000}, kForLastAnswers{50};
// How often it is looked again whether all that was handed on has left.
constexpr std::chrono::milliseconds kEndAgain{5};
// How often it is looked again at what is still delivered after the requests' time.
constexpr std::chrono::milliseconds kDeliveriesEvery{50};
}  // namespace

void Router::Stop(std::function<void()> then) {
  if (life_.stopping()) return;
  log_.Line("stopping", std::to_string(decision_.transactions()) + " transactions open");
  then_ = std::move(then);
  stopped_at_ = clock_.Now();
  life_.Stop();
  const Tuning::Stop& stop = running_.tuning.stop;
  late_clients_over_.Set(stop.keep_listening);
  stop_at_last_.Set(stop.keep_listening + LongestDeadline() + stop.slack);
  // What is read late still has half of the time that its class may have.
  Duration wait = std::min<Duration>(LongestDeadline(), kLongestWait);
  TimePoint answer_by = clock_.Now() + stop.keep_listening + wait + stop.slack - kForLastAnswers;
  listener_.EndSoon(answer_by - wait / 2, answer_by);
  if (peers_) peers_->Leave();
  Moved();
}

// Once no session is left; what was handed on leaves first, and what the process before still has comes
// first.
void Router::End() {
  if (listener_.sessions() > 0) return;  // taken back from a successor: the listener calls again after them
  if (!successor_.idle() || predecessor_keeps_ > 0) return end_.Set(kEndAgain);
  EndProgram("nothing is left");
}

// Requests have had their time, which values may outlast: what is still delivered goes on, within the bounds
// of values.
void Router::StopAtLast() {
  Listener::Deliveries deliveries = listener_.EndAllButDeliveries();
  if (deliveries.cut > 0)
    log_.Line("stopping", std::to_string(deliveries.cut) + " clients were too slow, or their servers: cut");
  bool first = !std::exchange(delivers_at_last_, true);
  if (first && deliveries.open > 0)
    log_.Line("stopping", std::to_string(deliveries.open) + " clients are still given answers");
  bool hands_on = first && !successor_.idle();
  if (deliveries.open > 0 || hands_on) return stop_at_last_.Set(kDeliveriesEvery);
  EndProgram("its time is over");
}

void Router::EndProgram(std::string_view why) {
  if (std::exchange(ended_, true)) return;
  auto since_stop = std::chrono::duration_cast<Milliseconds>(clock_.Now() - stopped_at_);
  log_.Line(
      "stopped",
      fmt::format("{}, {} ms after the signal: {} clients, {} transactions, {} bytes of answers "
                  "not taken",
                  why, since_stop.count(), listener_.sessions(), decision_.transactions(),
                  memory_.used_by(MemoryUse::kUnsentAnswers) + memory_.used_by(MemoryUse::kQueuedAnswers)));
  then_();
}

Duration Router::LongestDeadline() const {
  Duration longest{};
  for (const ClassSettings& cls : running_.settings.classes) longest = std::max(longest, cls.deadline);
  return longest;
}

}  // namespace peatbend::net

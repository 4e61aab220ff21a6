// Coordinates trial requests to ejected members. One router makes each trial and reports the result in its
// load signal, so the number of trials does not grow with the fleet. The router is selected by rendezvous
// hashing of (member, epoch) among the routers present; if it sends no news, the next in that order takes
// its place. Trials start at regular intervals, whether or not the previous one has ended, and a turn
// that is passed goes to another router. There is no agreement protocol: routers with different views may
// make a trial twice. Contains no I/O and reads no clock; not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "overload/load_signal.h"

namespace peatbend::overload {

class Trials {
 public:
  struct Options {
    // Between trials: after the first failure, and doubled at each further one up to `max_interval`.
    Duration min_interval = std::chrono::milliseconds{500};
    Duration max_interval = std::chrono::seconds{1};
    // Without news for this long, the next router in order makes the trial.
    Duration silence_timeout = std::chrono::milliseconds{400};
    Duration trial_timeout = std::chrono::seconds{1};  // the next turn comes even if the trial has not ended
    std::size_t max_members = 4096;                    // more are not tracked
  };
  explicit Trials(std::string self, Options options)
      : options_(options), self_(std::move(self)), present_{self_} {}

  // Sets the routers that are believed to be running; this one is always included.
  void SetPresent(std::vector<std::string> present);
  // This router saw the member fail, so it is ejected. Returns false if too many members are tracked.
  bool OnFailure(TimePoint now, std::string_view member);
  // The member was removed from the server list.
  void Forget(std::string_view member) { members_.erase(MemberId(member)); }
  // The member is a new process with no known failures. This is not announced.
  void OnRestart(std::string_view member);
  // Returns true if this router must make a trial now. It then reports the result by OnTrialEnded or
  // OnTurnPassed.
  bool TryBegin(TimePoint now, std::string_view member);
  void OnTrialEnded(TimePoint now, std::string_view member, bool good);
  // This router had no request for its trial; another router has a turn.
  void OnTurnPassed(TimePoint now, std::string_view member);
  // Handles an item of the signal of `process`. Returns the step if it was news.
  std::optional<TrialStep> Handle(TimePoint now, const TrialUpdate& update, std::uint64_t process);
  bool IsEjected(std::string_view member) const { return FindEjected(member) != nullptr; }
  // When this router learned that the member is ejected; none if it is not.
  std::optional<TimePoint> EjectedSince(std::string_view member) const;
  // True if the member is ejected and at least two other routers saw it fail since it was last good.
  bool EjectedByTwo(std::string_view member) const;
  // Returns the items for this router's next signal, newest first. Call exactly once for each signal.
  std::vector<TrialUpdate> DrainUpdates();

  static std::uint32_t MemberId(std::string_view member);

 private:
  struct Member {
    std::uint32_t epoch = 0;  // of the last known trial
    TrialStep step = TrialStep::kGood;
    std::uint32_t failures = 0;           // in a row
    TimePoint ejected_since{};            // when it was ejected, as far as is known here
    TimePoint turn_at{}, next_turn_at{};  // of this trial and the next, at regular intervals
    TimePoint next_opens_at{};            // when the first router in order may start the next trial
    std::uint32_t rank = 0;               // of this router in the order of the next trial
    // Signals sent since this router announced something; at kMaxReports or above: nothing to announce.
    std::uint32_t reports = ~0u;
    std::uint64_t announced = 0;      // sequence number of the announcement
    std::uint64_t first_witness = 0;  // first process that reported a failure since the member was last good
    bool second_witness = false;      // a second process reported a failure
  };
  // Returns null if the member is unknown or not ejected.
  const Member* FindEjected(std::string_view member) const;
  Member* FindEjected(std::string_view member) {
    return const_cast<Member*>(std::as_const(*this).FindEjected(member));
  }
  void Apply(TimePoint now, std::uint32_t id, Member& member, TrialUpdate update);
  void Announce(TimePoint now, std::string_view name, Member& member, std::uint32_t epoch, TrialStep step);
  std::uint32_t RankInTrial(std::uint32_t id, std::uint32_t epoch) const;

  Options options_;
  std::string self_;
  std::vector<std::string> present_;
  std::map<std::uint32_t, Member> members_;
  std::uint64_t announcements_ = 0;
};

}  // namespace peatbend::overload

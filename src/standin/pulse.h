// Ties the world's agenda to an event loop: the world's time is that of the steady clock, counted from the
// day's beginning, and what is due happens when it is due. One a loop; each callback from a socket holds a
// Beat.
#pragma once

#include <chrono>

#include "base/event_handles.h"
#include "world/agenda.h"

namespace peatbend::standin {

class Pulse {
 public:
  // Until Begin the world's time is before zero.
  explicit Pulse(event_base* base)
      : agenda(kBefore),
        base_(base),
        zero_(std::chrono::steady_clock::now() - kBefore),
        timer_(base, [this] { Catch(); }) {
    timer_.Set({});
  }
  // The day begins now; what was put down for earlier happens first.
  void Begin() {
    zero_ = std::chrono::steady_clock::now();
    unix_zero_ = std::chrono::system_clock::now();
    Beat beat(*this);  // what is overdue now was put down for before the day: no lag
  }
  world::Time Now() const { return std::chrono::steady_clock::now() - zero_; }
  // A moment of the day in Unix milliseconds, as discovery's list states it; 0 stays 0.
  std::int64_t UnixMs(world::Time at) const {
    if (at == world::Time{}) return 0;
    auto unix_at = unix_zero_ + std::chrono::duration_cast<std::chrono::system_clock::duration>(at);
    return std::chrono::duration_cast<std::chrono::milliseconds>(unix_at.time_since_epoch()).count();
  }
  event_base* base() const { return base_; }

  // Brings the world's time up to now, and sees to what comes next when it goes.
  class Beat {
   public:
    explicit Beat(Pulse& pulse) : pulse_(pulse) { pulse_.agenda.RunUntil(pulse_.Now()); }
    ~Beat() { pulse_.Arm(); }
    Beat(const Beat&) = delete;
    Beat& operator=(const Beat&) = delete;

   private:
    Pulse& pulse_;
  };

  world::Agenda agenda;
  // How far the world was behind its clock at the worst: a machine too busy to be trusted shows here.
  world::Span worst_lag{};

 private:
  static constexpr world::Time kBefore = -std::chrono::hours(1);
  void Catch() {
    if (auto next = agenda.Next(); next && zero_ + *next < std::chrono::steady_clock::now() && began())
      worst_lag = std::max(worst_lag, Now() - *next);
    Beat beat(*this);
  }
  bool began() const { return unix_zero_ != std::chrono::system_clock::time_point{}; }
  void Arm() {
    if (auto next = agenda.Next()) timer_.Set(*next - Now());
  }
  event_base* base_;
  std::chrono::steady_clock::time_point zero_;
  std::chrono::system_clock::time_point unix_zero_{};
  net::Timer timer_;
};

}  // namespace peatbend::standin

// What is to happen, in order of time. The world knows no clock: whoever drives it says how late it is,
// whether that is a simulated time that leaps from event to event or a real one that an event loop reads.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace peatbend::world {

using Span = std::chrono::nanoseconds;
using Time = std::chrono::nanoseconds;  // since the day began

inline Span FromMs(double ms) { return Span(static_cast<Span::rep>(ms * 1e6)); }
inline Span FromSeconds(double s) { return Span(static_cast<Span::rep>(s * 1e9)); }
inline double Ms(Span span) { return static_cast<double>(span.count()) / 1e6; }
inline double Seconds(Span span) { return static_cast<double>(span.count()) / 1e9; }

class Agenda {
 public:
  // `start`: the first now(); before zero, while a day is being prepared.
  explicit Agenda(Time start = {}) : now_(start) {}
  Agenda(const Agenda&) = delete;
  Agenda& operator=(const Agenda&) = delete;

  Time now() const { return now_; }
  // Things at one time happen in the order in which they were put down. What lies in the past happens next.
  void At(Time when, std::function<void()> what) { things_.push({when, next_++, std::move(what)}); }
  void In(Span span, std::function<void()> what) { At(now_ + span, std::move(what)); }
  std::optional<Time> Next() const {
    return things_.empty() ? std::nullopt : std::optional(things_.top().when);
  }
  // Lets everything up to `until` happen, what it leads to included; now() is `until` afterwards.
  void RunUntil(Time until) {
    while (!things_.empty() && things_.top().when <= until) {
      auto thing = std::move(const_cast<Thing&>(things_.top()));
      things_.pop();
      now_ = std::max(now_, thing.when);
      thing.what();
    }
    now_ = std::max(now_, until);
  }

 private:
  struct Thing {
    Time when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Thing& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  Time now_;
  std::uint64_t next_ = 0;
  std::priority_queue<Thing> things_;
};

}  // namespace peatbend::world

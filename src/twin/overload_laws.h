// Published ways of one router to shed, as far as they fit a model without the server's help, to be measured
// beside the fleet's cut. One owner, one thread; simulated time.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

#include "overload/priority.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::twin {

enum class Law {
  kTakeAll,
  kBound,    // a bound on requests in flight, each router its part
  kAccepts,  // adaptive throttling (Beyer et al., Site Reliability Engineering, 2016, chapter 21), K = 2
  kCodel,  // CoDel's law (Nichols and Jacobson, 2012) on the wait at the origin: sheds ever more often while
           // it stands
  kDagor,  // levels (Zhou et al., Overload Control for Scaling WeChat Microservices, 2018): -5 % and +1 % a
           // window
  kBreakwater,  // credits (Cho et al., 2020): one pool at the origin, dealt to routers by what they ask for
  kAlone,       // this project's cut, each router by its own signs
  kFleet
};

// What one router keeps for Law kAccepts to kBreakwater.
class Shedder {
 public:
  Shedder(Law law, std::uint64_t seed, std::uint64_t stream) : law_(law), random_(seed, stream) {}

  bool Shed(world::Time now, double rank, double work, int in_flight);
  void Accepted() { accepts_ += 1; }  // a value, in time
  void Waited(world::Span wait);
  // Each 100 ms.
  void Window(world::Time now);
  // Breakwater: requests of the last window, and what may be in flight.
  double asked() const { return asked_; }
  void SetCredits(double credits) { credits_ = credits; }

 private:
  Law law_;
  world::Random random_;
  double requests_ = 0, accepts_ = 0, asked_ = 0, asking_ = 0, credits_ = 1e9;
  std::array<double, overload::kPriorityBins> came_{};
  double taken_ = 0, cut_ = 0;
  std::optional<world::Span> least_, last_least_;
  double waits_ = 0, waited_ms_ = 0;
  world::Time drop_next_{};
  double drops_ = 0;
};

inline constexpr double kAimMs = 20;  // of the wait, for all of them

inline bool Shedder::Shed(world::Time now, double rank, double work, int in_flight) {
  requests_ += 1;
  asking_ += 1;
  bool shed = false;
  if (law_ == Law::kAccepts) shed = random_.Unit() < (requests_ - 2 * accepts_) / (requests_ + 1);
  if (law_ == Law::kBreakwater) shed = in_flight >= credits_;
  if (law_ == Law::kDagor) {
    came_[overload::PriorityBin(rank)] += work;
    shed = rank < cut_;
    if (!shed) taken_ += work;
  }
  if (law_ == Law::kCodel && drops_ > 0 && now >= drop_next_) {
    drops_ += 1;
    drop_next_ = std::max(drop_next_, now - world::FromMs(100)) + world::FromMs(100 / std::sqrt(drops_));
    shed = true;
  }
  return shed;
}

inline void Shedder::Waited(world::Span wait) {
  least_ = std::min(least_.value_or(wait), wait);
  waits_ += 1;
  waited_ms_ += world::Ms(wait);
}

inline void Shedder::Window(world::Time now) {
  asked_ = std::exchange(asking_, 0);
  requests_ *= 0.95, accepts_ *= 0.95;  // some 2 s
  if (law_ == Law::kCodel && least_) {
    bool stands = world::Ms(*least_) > kAimMs;
    if (stands && drops_ == 0) drops_ = 1, drop_next_ = now;
    if (!stands) drops_ = 0;
  }
  if (law_ == Law::kDagor) {
    double all = 0;
    for (double bin : came_) all += bin;
    bool over = waits_ > 0 && waited_ms_ / waits_ > kAimMs;
    double shed = all - taken_ * (over ? 0.95 : 1.01);
    if (!over && shed <= 0.005 * all) shed = 0;
    cut_ = 0;
    for (std::size_t i = 0; shed > 0 && i < overload::kPriorityBins; ++i) {
      cut_ =
          (static_cast<double>(i) + std::min(1.0, shed / std::max(1e-9, came_[i]))) / overload::kPriorityBins;
      shed -= came_[i];
    }
    came_ = {};
    taken_ = 0;
  }
  least_.reset();
  waits_ = waited_ms_ = 0;
}

}  // namespace peatbend::twin

// The origin: few workers, a queue, and a stop of some seconds when it is asked for too much for too long.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <unordered_map>

#include "world/agenda.h"
#include "world/job.h"
#include "world/random.h"

namespace peatbend::world {

struct OriginTraits {
  double per_second = 60;  // requests that it can answer
  int workers = 4;
  int waiting = 200;
  double fall_multiple = 2.5;  // asked for more than this multiple of its capacity
  Span fall_after = FromSeconds(3), down = FromSeconds(4);
  Span idempotency = FromMs(1500);
};

class Origin {
 public:
  Origin(Agenda& agenda, const OriginTraits& traits, std::uint64_t seed);

  // `cold`: the fetch is for a miss at a cold cache server. kBusy: never ran; kFailed: may have.
  JobPtr Begin(Ask ask, bool cold, Answer answer);
  void Cancel(const JobPtr& job) {
    if (job) job->over = true;
  }
  // Answers nothing for so long; what waits is lost.
  void Stall(Span span);
  bool stalled() const { return agenda_.now() < stalled_until_; }

  // Called as it stops by itself, with the share of the load that misses at cold servers made.
  std::function<void(double)> on_fall;
  std::uint64_t taken = 0, answered = 0, turned_away = 0, repeats = 0, falls = 0;
  double capacity() const { return traits_.per_second; }

 private:
  void StartNext();

  Agenda& agenda_;
  OriginTraits traits_;
  Random random_;
  Time stalled_until_{};
  std::uint64_t life_ = 0;
  int running_ = 0;
  std::deque<JobPtr> queue_;
  std::unordered_map<std::string, Time> seen_;
  struct Arrival {
    Time at;
    bool cold;
  };
  std::deque<Arrival> lately_;
};

}  // namespace peatbend::world

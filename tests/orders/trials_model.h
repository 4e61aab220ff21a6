// A model of one ejected member and the routers that make trials of it, running the real code, while signals
// are reordered, lost or duplicated, routers stall and die, and time passes in ticks. A state is identified
// by the history of each router, so two different states are never taken for the same one.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "overload/trials.h"

namespace peatbend::orders {

// Deliberate faults. The search must find a violation for each.
enum class TrialsMutant {
  kNone,
  kByAll,         // each router makes its own trials
  kByOne,         // only the router that saw the failure makes trials
  kReportedOnce,  // an update is in only one signal
  kKeptTurn       // a router without a request keeps its turn, and the next one waits for it
};

struct TrialsModelSetup {
  // A tick ends only after each router has checked its turn and received all signals that are not lost, and
  // no trial ends after the next may have begun.
  bool connected = true;
  int saw_failure = 1;  // routers that see the member fail
  int ticks = 6;
  int ends = 2;           // trials that end
  int turn_passes = 0;    // turns that are passed
  int silence_ticks = 1;  // ticks without news after which the next router in order makes the trial
  int losses = 0, duplicates = 0, deaths = 0;
  int dies_at = 0;  // first tick in which a router may die
  TrialsMutant mutant = TrialsMutant::kNone;
};

class TrialsModel {
 public:
  static constexpr std::size_t kRouters = 3;
  static constexpr int kEndsWithin = 2;  // ticks
  static constexpr const char* kMember = "m";
  static overload::TimePoint At(int tick) { return tick * std::chrono::milliseconds(400); }
  static overload::Trials::Options Options(int silence_ticks) {
    return {.min_interval = At(1),
            .max_interval = At(2),
            .silence_timeout = At(silence_ticks),
            .trial_timeout = At(kEndsWithin)};
  }

  struct Event {
    enum class What : std::uint8_t {
      kSeesFailure,
      kChecksTurn,
      kSendsSignal,
      kGood,
      kFailed,
      kPassesTurn,
      kDies,
      kReceives,
      kReceivesAndKeeps,
      kLost,
      kTick
    };
    What what;
    std::size_t who = 0;  // the router, or the index of the signal in flight
    std::string Text() const;
  };

  explicit TrialsModel(const TrialsModelSetup& setup);
  std::vector<Event> Events() const;
  TrialsModel After(const Event& event) const;
  std::uint64_t Print() const;
  const std::string& broken() const { return violation_; }
  int begun() const { return trials_begun_; }

 private:
  struct Router {
    overload::Trials trials;
    bool alive = true, saw_failure = false, in_trial = false, checked_turn = false, sent_signal = false;
    int began = -1;                   // tick
    std::uint32_t highest_epoch = 0;  // the highest epoch received or begun
    std::uint64_t history = 0;        // hash of all events of this router
  };
  struct InFlightSignal {
    std::size_t to, from;
    std::vector<overload::TrialUpdate> updates;
    std::uint64_t fingerprint;
  };

  template <typename What>
  void Apply(std::size_t r, Event::What event, std::uint64_t of, What what);
  void CheckTurn(std::size_t r);
  void SendSignal(std::size_t r);
  void EndTrial(std::size_t r, bool good);
  void ReceiveSignal(std::size_t i, bool keep);
  void Tick();
  bool MayTick() const;
  void ReportViolation(const std::string& rule) {
    if (violation_.empty()) violation_ = rule;
  }

  std::shared_ptr<const TrialsModelSetup> setup_;
  int now_ = 0, ends_, turn_passes_, losses_, duplicates_, deaths_;
  std::array<std::shared_ptr<const Router>, kRouters> routers_;
  std::vector<std::shared_ptr<const InFlightSignal>> in_flight_;  // sorted by fingerprint
  std::vector<std::uint32_t> epochs_;                             // of the trials begun, with repetitions
  int trials_begun_ = 0, trials_succeeded_ = 0;                   // trials begun, and those that succeeded
  int passed_turn_at_ = -1;  // tick in which a turn was passed and no trial begun since; -1: none
  int last_action_ = 0;      // last tick with an event other than receiving
  std::string violation_;
};

}  // namespace peatbend::orders

#include "router/life_cycle.h"

namespace peatbend::net {

bool LifeCycle::Move(State to) {
  if (state_ == to) return false;
  state_ = to;
  return true;
}

bool LifeCycle::ServerListHeld() {
  server_list_held_ = true;
  return state_ == State::kStarting && Move(State::kServing);
}

bool LifeCycle::Leave() {
  return (state_ == State::kStarting || state_ == State::kServing) && Move(State::kLeaving);
}

bool LifeCycle::LateClientsOver() {
  if (state_ == State::kLeaving) return Move(State::kEmptying);
  return state_ == State::kStopping && Move(State::kFinishing);
}

bool LifeCycle::Join() { return away() && Move(server_list_held_ ? State::kServing : State::kStarting); }

bool LifeCycle::SuccessorReady() {
  if (stopping()) {  // it came in time to take what is left
    handed_over_ = true;
    return false;
  }
  if (state_ == State::kHandingOver) return false;
  before_ = state_;
  return Move(State::kHandingOver);
}

bool LifeCycle::SuccessorLost() {
  handed_over_ = false;
  return state_ == State::kHandingOver &&
         Move(before_ == State::kStarting && server_list_held_ ? State::kServing : before_);
}

bool LifeCycle::Stop() {
  if (stopping()) return false;
  handed_over_ = state_ == State::kHandingOver;
  if (!handed_over_) before_ = state_;
  return Move(handed_over_ ? State::kFinishing : State::kStopping);
}

std::string_view LifeCycle::name() const {
  switch (state_) {
    case State::kStarting:
      return "starting";
    case State::kServing:
      return "serving";
    case State::kLeaving:
    case State::kEmptying:
      return "leaving";
    case State::kHandingOver:
      return "handing over";
    case State::kStopping:
    case State::kFinishing:
      break;
  }
  return "stopping";
}

bool LifeCycle::takes_clients() const { return server_list_held_ && (state_ == State::kServing || away()); }

// With a successor the two are one router, which takes clients unless it was told not to.
bool LifeCycle::welcome() const {
  bool as_before =
      rest() == Rest::kGoesToSuccessor && (before_ == State::kServing || before_ == State::kStarting);
  return state_ == State::kServing || as_before;
}

Doors::Rest LifeCycle::rest() const {
  if (state_ == State::kHandingOver || handed_over_) return Rest::kGoesToSuccessor;
  bool closes = state_ == State::kEmptying || state_ == State::kFinishing;
  return closes ? Rest::kCloses : Rest::kStays;
}

}  // namespace peatbend::net

// Where the program stands between its start and its end: one state, moved by what happens to it. Free of I/O
// and clocks; the router carries out what a move means.
//
//   starting --list held--> serving <--LEAVE/JOIN--> leaving --late clients over--> emptying
//   serving, leaving, emptying --successor ready--> handing over --successor lost--> where it was
//   any --stop--> stopping --late clients over--> finishing (at once where a successor has the clients)
#pragma once

#include <string_view>

#include "front/doors.h"

namespace peatbend::net {

class LifeCycle : public Doors {
 public:
  enum class State { kStarting, kServing, kLeaving, kEmptying, kHandingOver, kStopping, kFinishing };

  // Each returns whether the state moved.
  bool ServerListHeld();
  bool Leave();
  bool LateClientsOver();
  bool Join();
  bool SuccessorReady();
  bool SuccessorLost();
  bool Stop();

  State state() const { return state_; }
  std::string_view name() const;
  // Whether this process takes clients: it accepts and holds a server list.
  bool takes_clients() const;
  // Whether it was told to send clients away, as it hands on to a successor.
  bool away() const { return state_ == State::kLeaving || state_ == State::kEmptying; }

  bool stopping() const { return state_ == State::kStopping || state_ == State::kFinishing; }

  bool welcome() const override;
  Rest rest() const override;

 private:
  bool Move(State to);
  bool server_list_held_ = false;   // there is one: what JOIN goes back to
  State before_ = State::kServing;  // handing over or stopping: where it was
  bool handed_over_ = false;        // stopping: a successor has the clients
  State state_ = State::kStarting;
};

}  // namespace peatbend::net

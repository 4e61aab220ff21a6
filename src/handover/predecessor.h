// In a starting process: the process that runs already, if there is one, and what it hands on.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "handover/channel.h"

namespace peatbend::net::handover {

// Where the process that serves `listen` (ADDRESS:PORT) waits for its successor: in the folder that $TMPDIR
// names. Empty where it names none, or the port is 0 (each start has its own).
std::string PathFor(const char* tmpdir, const std::string& listen);

struct Inheritance {
  FileHandle channel;
  FileHandle listener;                                 // the clients' listening socket, shared with it
  std::string discovery;                               // that told the list; empty: not said
  std::int64_t index = 0;                              // of the server list
  nlohmann::json endpoints = nlohmann::json::array();  // the server list, in discovery's form
  std::int64_t keeps = 0;                              // descriptors that it may still hold
  std::int64_t memory = 0;                             // bytes of large values that it may still hold
  bool away = false;                                   // it was told to send clients away
};

// Asks at `path`, and waits no longer than `patience` in all. Nothing where nobody serves there or the answer
// cannot be used; `say` is told why, unless there simply is nobody.
std::optional<Inheritance> AskPredecessor(const std::string& path, std::chrono::milliseconds patience,
                                          const std::function<void(std::string_view)>& say);

// A client's connection on its way from one process to the other.
struct ClientHandle {
  FileHandle socket;
  std::string begun;                       // bytes of a command that is not whole
  std::chrono::milliseconds begun_ago{0};  // when the first of them came
  bool asked = false;                      // it has sent a whole command before
};

// A client as the packet that carries it. Reading throws nlohmann::json::exception where a field has another
// type.
Packet WriteClient(ClientHandle client);
ClientHandle ReadClient(Packet packet);

class Predecessor {
 public:
  struct Calls {
    std::function<void(ClientHandle)> client;
    // From now on it holds no more than that: descriptors, bytes of large values. 0: it has gone.
    std::function<void(std::int64_t keeps, std::int64_t memory)> keeps;
  };
  Predecessor(event_base* base, FileHandle channel, Calls calls);
  // Clients are taken from now on: it hands on what it has.
  void Ready();

 private:
  void Take(Packet packet);

  Calls calls_;
  Channel channel_;
};

}  // namespace peatbend::net::handover

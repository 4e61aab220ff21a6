// In a running process: waits for the process that follows, and hands on what is there to hand on.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "handover/predecessor.h"

namespace peatbend::net::handover {

class Successor {
 public:
  // What this process may still hold: descriptors, bytes of large values.
  struct Keeps {
    std::int64_t descriptors = 0, memory = 0;
  };
  struct Offer {
    int listener = -1;       // stays the caller's; -1: there is none any more
    std::string discovery;   // that told the server list
    std::int64_t index = 0;  // and its version there
    Keeps keeps;
    std::vector<nlohmann::json> endpoints;
    bool away = false;
  };
  struct Calls {
    std::function<Offer()> offer;
    std::function<void()> ready;  // it takes clients now
    // It has ended, or said nothing for too long after the offer. The clients were handed on and have not
    // left this process.
    std::function<void(std::vector<ClientHandle>)> lost;
    std::function<void()> room;  // it has taken clients, and takes more
  };
  // Does nothing before Open.
  Successor(event_base* base, Log& log, Calls calls);
  ~Successor();
  // Waits at `path` from now on; what else waited there is no longer found. Where that fails, it is logged.
  void Open(const std::string& path);

  // Whether a further client can be handed on now.
  bool takes() const;
  // `keeps`: from now on.
  void Send(ClientHandle client, const Keeps& keeps);
  void TellKeeps(const Keeps& keeps);
  // All that was handed on has left this process.
  bool idle() const { return !channel_ || channel_->waiting() == 0; }

 private:
  void Called();
  void Take(Packet packet);
  void MakeOffer();
  void Lost();
  std::vector<ClientHandle> TakeBackClients();
  void CloseDoor();

  event_base* base_;
  Log& log_;
  Calls calls_;
  std::string path_;
  FileHandle door_;
  std::uint64_t inode_ = 0;  // of the file that this process made
  std::unique_ptr<Channel> channel_;
  std::int64_t on_the_way_ = 0;
  bool ready_ = false;
  Timer silence_;
  EventPtr called_;
};

}  // namespace peatbend::net::handover

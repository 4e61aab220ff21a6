// A successor whose every message is written and read by the test: one that stops reading, or ends, at
// exactly the moment that a test needs.
#pragma once

#include <sys/ioctl.h>

#include <optional>
#include <string>

#include "net/operations_stage.h"

namespace peatbend::net::test {

class SuccessorPeer {
 public:
  // Connects to the running process of `stage` and waits for its offer. It is not told `ready` yet.
  SuccessorPeer(Stage& stage, const std::string& door) : stage_(stage), socket_(handover::Dial(door)) {
    REQUIRE(socket_);
    Send({{"type", "hello"}, {"version", handover::kVersion}});
    stage_.Until([this] { return Next() && packet.type() == "offer"; });
  }
  void Send(nlohmann::json head) { REQUIRE(handover::SendPacket(socket_.get(), {std::move(head), "", {}})); }
  // Says that it takes clients, and waits until the running process hands on.
  void Ready() {
    Send({{"type", "ready"}});
    stage_.Until([this] { return stage_.router.life().rest() == Doors::Rest::kGoesToSuccessor; });
  }
  // Reads one packet into `packet`; false if none is there.
  bool Next() { return handover::ReceivePacket(socket_.get(), packet) == handover::Got::kPacket; }
  // Reads on to the next client.
  bool NextClient() { return Next() && packet.type() == "client"; }
  // Bytes of all packets that were written to it and that it has not read.
  std::size_t Unread() const {
    int bytes = 0;
    REQUIRE(ioctl(socket_.get(), FIONREAD, &bytes) == 0);
    return static_cast<std::size_t>(bytes);
  }
  // Ends as a killed process does.
  void Die() {
    packet = {};
    socket_ = {};
  }

  handover::Packet packet;

 private:
  Stage& stage_;
  handover::FileHandle socket_;
};

}  // namespace peatbend::net::test

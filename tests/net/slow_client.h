// Clients that are slow to read, and large values for them.
#pragma once

#include <sys/socket.h>

#include <chrono>
#include <string>

#include "base/listen.h"
#include "net/stage.h"

namespace peatbend::net::test {

// Bytes that differ, so that a piece lost or twice shows.
inline std::string Large(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t i = 0; i < size; ++i) text[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
  return text;
}

// Time enough for all that a test asks for, on a machine of any speed: nothing is refused for want of it.
inline const std::string kAmpleTime = "d=19000";
inline void GiveAmpleTime(Config& config) {
  for (ClassSettings& cls : config.settings.classes) {
    cls.aim = std::chrono::seconds(10);
    cls.deadline = std::chrono::seconds(20);
  }
}

// A client whose socket takes little and who reads nothing.
inline End& Deaf(Stage& stage, const std::string& text) {
  int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int size = 4096;
  setsockopt(made, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  sockaddr_in to = Loopback(stage.router.port());
  REQUIRE(connect(made, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  evutil_make_socket_nonblocking(made);
  End& client = stage.clients.emplace_back(stage.base.get(), made);
  client.Listens(false);
  client.Say(text);
  return client;
}

// The router's system holds little of what it writes on connections that it accepts from now on.
inline void HoldLittleUnsent(int port) {
  constexpr int kMostDescriptors = 256, kBytes = 4096;
  for (int socket = 0; socket < kMostDescriptors; ++socket) {
    int listens = 0;
    socklen_t size = sizeof listens;
    getsockopt(socket, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size);
    if (listens != 0 && BoundPort(socket) == port)
      setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &kBytes, sizeof kBytes);
  }
}

}  // namespace peatbend::net::test

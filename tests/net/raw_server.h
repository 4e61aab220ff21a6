// A server on loopback that does with its connections, at the system's calls, what a test says.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>

#include "net/stage.h"

namespace peatbend::net::test {

class RawServer {
 public:
  // `receive_buffer`: of its connections, in bytes; 0: as the system has it.
  explicit RawServer(int receive_buffer = 0)
      : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in any = Loopback(0);
    socklen_t size = sizeof any;
    if (receive_buffer > 0)
      setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&any), sizeof any) == 0);
    REQUIRE(listen(listener_, kBacklog) == 0);
    REQUIRE(getsockname(listener_, reinterpret_cast<sockaddr*>(&any), &size) == 0);
    port = ntohs(any.sin_port);
  }
  ~RawServer() {
    Close();
    close(listener_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Whether it holds a connection, the next one that has come if there was none.
  bool Accepted() {
    if (connection_ < 0) connection_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    return connection_ >= 0;
  }
  // Whether what has come on it ends like this, having read what there is.
  bool Got(std::string_view end) {
    char piece[4096];
    ssize_t size = 0;
    while ((size = recv(connection_, piece, sizeof piece, 0)) > 0)
      got.append(piece, static_cast<std::size_t>(size));
    ended = ended || size == 0 || (errno != EAGAIN && errno != EINTR);
    return got.ends_with(end);
  }
  void Say(std::string_view text) {
    REQUIRE(send(connection_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  void Close() {
    if (connection_ >= 0) close(std::exchange(connection_, -1));
    got.clear();
    ended = false;
  }
  // The other end sees a reset, not an end.
  void Reset() {
    linger now{1, 0};
    REQUIRE(setsockopt(connection_, SOL_SOCKET, SO_LINGER, &now, sizeof now) == 0);
    Close();
  }

  int port = 0;
  std::string got;     // on the connection held
  bool ended = false;  // it was closed or reset by the other end, as Got has seen

 private:
  static constexpr int kBacklog = 16;
  int listener_, connection_ = -1;
};

}  // namespace peatbend::net::test

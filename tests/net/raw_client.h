// A client on a plain socket, outside the loop: what it sends is in the router's system at once, and it can
// tell a reset from an orderly end.
#pragma once

#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <string_view>

#include "net/stage.h"

namespace peatbend::net::test {

class RawClient {
 public:
  // `receive_buffer`: bytes that its system takes unread; 0: as many as usual.
  explicit RawClient(int port, int receive_buffer = 0)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    std::signal(SIGPIPE, SIG_IGN);  // as the program has it: the router writes to clients that have gone
    if (receive_buffer > 0)
      setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    sockaddr_in to = Loopback(port);
    connected = connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  ~RawClient() { close(socket_); }

  bool Send(std::string_view text) {
    return send(socket_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  // Reads what is there.
  RawClient& Receive() {
    char piece[16 * 1024];
    while (!closed) {
      ssize_t size = recv(socket_, piece, sizeof piece, MSG_DONTWAIT);
      if (size < 0 && (errno == EAGAIN || errno == EINTR)) break;
      if (size < 0) reset_ = true;
      if (size <= 0) closed = true;
      if (size > 0) got.append(piece, static_cast<std::size_t>(size));
    }
    return *this;
  }
  // Whether the router's system reset the connection: it was closed over bytes that nobody had read.
  bool WasReset() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    reset_ = reset_ || error != 0;
    return reset_;
  }

  int handle() const { return socket_; }

  bool connected = false;
  bool closed = false;  // the router has ended its sending, or the connection
  std::string got;

 private:
  int socket_;
  bool reset_ = false;
};

}  // namespace peatbend::net::test

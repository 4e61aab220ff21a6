// A loopback port whose connections are always established with a delay.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <list>
#include <string_view>

#include "net/stage.h"

namespace peatbend::net::test {

// Its accept queue has room for one connection and is full, so the kernel drops the SYNs of further
// connections. They are retransmitted after a second at the earliest (RFC 6298), and the connection is
// established then if the port is open.
class DelayedPort {
 public:
  explicit DelayedPort(event_base* base, std::function<void(End&)> on_read = {})
      : base_(base), on_read_(std::move(on_read)) {
    socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in any = Loopback(0);
    socklen_t size = sizeof any;
    REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&any), sizeof any) == 0);
    REQUIRE(listen(socket_, 0) == 0);
    REQUIRE(getsockname(socket_, reinterpret_cast<sockaddr*>(&any), &size) == 0);
    port = ntohs(any.sin_port);
    filler_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    REQUIRE(connect(filler_, reinterpret_cast<sockaddr*>(&any), sizeof any) == 0);
    pollfd waits{socket_, POLLIN, 0};
    REQUIRE(poll(&waits, 1, kFillWithinMs) == 1);  // the filler is in the accept queue
  }
  ~DelayedPort() {
    close(filler_);
    if (!listener_) close(socket_);
  }
  DelayedPort(const DelayedPort&) = delete;
  DelayedPort& operator=(const DelayedPort&) = delete;

  // Accepts connections from now on.
  void Open() {
    listener_.reset(evconnlistener_new(
        base_,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
          auto* port = static_cast<DelayedPort*>(self);
          port->ends.emplace_back(port->base_, socket).on_read = port->on_read_;
        },
        this, LEV_OPT_CLOSE_ON_FREE, kOpenBacklog, socket_));
    REQUIRE(listener_ != nullptr);
  }
  std::size_t Count(std::string_view word) const {
    return static_cast<std::size_t>(std::count_if(
        ends.begin(), ends.end(), [&](const End& end) { return end.got.find(word) != std::string::npos; }));
  }

  int port = 0;
  std::list<End> ends;  // including the filler's

 private:
  static constexpr int kFillWithinMs = 5000, kOpenBacklog = 64;
  event_base* base_;
  std::function<void(End&)> on_read_;
  int socket_ = -1, filler_ = -1;
  ListenerPtr listener_;
};

}  // namespace peatbend::net::test

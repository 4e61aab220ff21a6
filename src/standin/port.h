// A port on a loopback address that can be what a machine's port can be: open, refusing, or silent.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "base/event_handles.h"

namespace peatbend::standin {

// "127.A.B.C"; the host part as three numbers.
std::string LoopbackHost(int a, int b, int c);

class Port {
 public:
  using OnAccept = std::function<void(evutil_socket_t)>;
  // Listens at a port that the system picks. Throws std::runtime_error.
  Port(event_base* base, const std::string& host, OnAccept on_accept);
  ~Port();
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;

  // "HOST:PORT", the same for good.
  std::string address() const { return host_ + ":" + std::to_string(port_); }
  const std::string& host() const { return host_; }
  int port() const { return port_; }

  void Refuse();  // as a machine does whose process has died
  // As a machine that has vanished: connections never come up. Its queue of connections not accepted is one
  // long and filled by the port itself, so the system drops what asks for more.
  void Silence();
  void Open();   // again, after either: what had asked to connect meanwhile is reset
  void Speak();  // again, after Silence: what asks once more is taken

 private:
  void Bind();
  event_base* base_;
  std::string host_;
  int port_ = 0;
  OnAccept on_accept_;
  evutil_socket_t socket_ = -1;
  net::EventPtr readable_;
  std::vector<evutil_socket_t> fillers_;
};

// Closes it so that the other end sees a reset.
void CloseWithReset(evutil_socket_t socket);

}  // namespace peatbend::standin

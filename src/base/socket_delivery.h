// What a connected socket has not delivered to its peer yet, and what becomes of it when the socket is
// closed.
#pragma once

#include <event2/util.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstddef>

namespace peatbend::net {

// The bytes written to the socket that the peer has not acknowledged; 0 if the kernel does not tell.
inline std::size_t UnacknowledgedBytes(evutil_socket_t socket) {
  int bytes = 0;
  bool known = ioctl(socket, SIOCOUTQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

// Whether closing the socket resets the connection and discards what the peer has not received. Otherwise the
// kernel goes on delivering what it has taken, for as long as the peer needs.
inline void SetResetOnClose(evutil_socket_t socket, bool reset) {
  linger option{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

}  // namespace peatbend::net

// What a connected socket has not delivered to its peer yet.
#pragma once

#include <event2/util.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <cstddef>

namespace peatbend::net {

// The bytes written to the socket that the peer has not acknowledged; 0 if the kernel does not tell.
inline std::size_t UnacknowledgedBytes(evutil_socket_t socket) {
  int bytes = 0;
  bool known = ioctl(socket, SIOCOUTQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

}  // namespace peatbend::net

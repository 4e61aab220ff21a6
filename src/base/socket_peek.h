// Queries of a connected socket that do not consume its input.
#pragma once

#include <event2/util.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstddef>

namespace peatbend::net {

enum class SocketInput {
  kNothing,
  kBytes,
  kEnd,  // the peer has closed or reset the connection
};

// What the next read would return. Asks the kernel, since the event loop may not have read pending input yet.
inline SocketInput PeekInput(evutil_socket_t socket) {
  char byte = 0;
  ssize_t got = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return SocketInput::kBytes;
  bool nothing = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return nothing ? SocketInput::kNothing : SocketInput::kEnd;
}

// The bytes that the kernel holds unread; 0 if it does not tell.
inline std::size_t UnreadBytes(evutil_socket_t socket) {
  int bytes = 0;
  bool known = ioctl(socket, SIOCINQ, &bytes) == 0;
  return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

// Whether the peer has closed or reset the connection, even if input is still unread.
inline bool PeerClosed(evutil_socket_t socket) {
  pollfd end{socket, POLLRDHUP, 0};
  return poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace peatbend::net

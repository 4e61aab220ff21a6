// What a socket shows of the process at its other end.
#pragma once

#include <event2/util.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace peatbend::net {

enum class Unread {
  kNothing,
  kBytes,
  kEnd,  // the other end has closed the connection, or reset it
};

// What would be read next. Asks the socket, since the loop may not have got round to reading what is there.
inline Unread PeekUnread(evutil_socket_t socket) {
  char byte = 0;
  ssize_t got = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) return Unread::kBytes;
  bool nothing = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return nothing ? Unread::kNothing : Unread::kEnd;
}

// Whether it has closed or reset the connection, whatever is still to be read.
inline bool Ended(evutil_socket_t socket) {
  pollfd end{socket, POLLRDHUP, 0};
  return poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace peatbend::net

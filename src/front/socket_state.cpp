#include "front/socket_state.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace peatbend::net {

// Where the system can't tell, nothing waits: a close goes on as it would without asking.
bool HasUnread(evutil_socket_t socket) {
  int bytes = 0;
  return ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0;
}

bool HasUnacknowledged(evutil_socket_t socket) {
  int bytes = 0;
  return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

bool PeerHasClosed(evutil_socket_t socket) {
  pollfd state{socket, POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace peatbend::net

#include "front/socket_state.h"

#include <linux/sockios.h>
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

}  // namespace peatbend::net

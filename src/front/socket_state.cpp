#include "front/socket_state.h"

#include "base/socket_delivery.h"
#include "base/socket_peek.h"

namespace peatbend::net {

// Where the system can't tell, nothing waits: a close goes on as it would without asking.
bool HasUnread(evutil_socket_t socket) { return UnreadBytes(socket) > 0; }
bool HasUnacknowledged(evutil_socket_t socket) { return UnacknowledgedBytes(socket) > 0; }

}  // namespace peatbend::net

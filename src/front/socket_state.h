// What the system holds of a connection beside what has been read and written.
#pragma once

#include <event2/util.h>

namespace peatbend::net {

// Whether bytes from the peer wait to be read. A close over them resets the connection.
bool HasUnread(evutil_socket_t socket);
// Whether the peer's system has not acknowledged all that was written. A reset gives that up.
bool HasUnacknowledged(evutil_socket_t socket);

}  // namespace peatbend::net

// Listening sockets.
#pragma once

#include <string>

namespace peatbend::net {

// A non-blocking socket, SOCK_STREAM or SOCK_DGRAM, bound to ADDRESS:PORT; as below. A datagram's address is
// its alone: reused, a second process could take it.
int BindTo(const std::string& address, int type, bool shared);
// A non-blocking listening socket on ADDRESS:PORT, the caller's to close; -1 and errno where it cannot be
// had. `shared`: another process may listen there too (SO_REUSEPORT on both).
int ListenOn(const std::string& address, int backlog, bool shared);
// Whether another socket is bound there now.
bool Taken(const std::string& address);
// The port that a socket is bound to.
int PortOf(int socket);

}  // namespace peatbend::net

// Bound and listening sockets.
#pragma once

#include <string>

namespace peatbend::net {

// Opens a non-blocking socket of `type` SOCK_STREAM or SOCK_DGRAM and binds it to ADDRESS:PORT; results and
// `shared` as for ListenOn. SO_REUSEADDR is set on stream sockets only: on datagram sockets it would let a
// second process take over the address.
int BindSocket(const std::string& address, int type, bool shared);
// Opens a non-blocking listening socket on ADDRESS:PORT, owned by the caller. Returns -1 and sets errno on
// failure. `shared` sets SO_REUSEPORT, so that another process that sets it too may listen on the same
// address.
int ListenOn(const std::string& address, int backlog, bool shared);
// Whether another socket is bound to the address now.
bool AddressInUse(const std::string& address);
// The local port of a bound socket.
int BoundPort(int socket);

}  // namespace peatbend::net

// Conversion of socket addresses from text, and a hash of a connection's remote address.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <string>

namespace peatbend::net {

// Parses a numeric address and port such as "10.1.0.18:6379" or "[::1]:6379". `size` receives the size of the
// address in `address`. Throws std::invalid_argument if `text` is not of that form.
void ParseAddress(const std::string& text, sockaddr_storage& address, int& size);
// A hash of the remote IPv4 address without its port, equal in every process. 0 if the socket is not
// connected or does not use IPv4.
std::uint64_t HashPeerAddress(int socket);

}  // namespace peatbend::net

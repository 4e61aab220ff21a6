#include "base/listen.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "base/address.h"

namespace peatbend::net {

int BindTo(const std::string& address, int type, bool shared) {
  sockaddr_storage to{};
  int size = 0;
  ReadAddress(address, to, size);
  int made = socket(to.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (made < 0) return -1;
  int yes = 1;
  if (type == SOCK_STREAM) setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (shared) setsockopt(made, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
  if (bind(made, reinterpret_cast<sockaddr*>(&to), static_cast<socklen_t>(size)) == 0) return made;
  int why = errno;
  close(made);
  errno = why;
  return -1;
}

int ListenOn(const std::string& address, int backlog, bool shared) {
  int made = BindTo(address, SOCK_STREAM, shared);
  if (made < 0 || listen(made, backlog) == 0) return made;
  int why = errno;
  close(made);
  errno = why;
  return -1;
}

bool Taken(const std::string& address) {
  int made = BindTo(address, SOCK_STREAM, false);
  if (made >= 0) close(made);
  return made < 0 && errno == EADDRINUSE;
}

int PortOf(int socket) {
  sockaddr_storage bound{};
  socklen_t size = sizeof bound;
  getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.ss_family == AF_INET ? reinterpret_cast<sockaddr_in&>(bound).sin_port
                                          : reinterpret_cast<sockaddr_in6&>(bound).sin6_port);
}

}  // namespace peatbend::net

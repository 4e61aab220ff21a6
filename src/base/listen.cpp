#include "base/listen.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "base/address.h"

namespace peatbend::net {

int BindSocket(const std::string& address, int type, bool shared) {
  sockaddr_storage socket_address{};
  int size = 0;
  ParseAddress(address, socket_address, size);
  int fd = socket(socket_address.ss_family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  int on = 1;
  if (type == SOCK_STREAM) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (shared) setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (bind(fd, reinterpret_cast<sockaddr*>(&socket_address), static_cast<socklen_t>(size)) == 0) return fd;
  int saved_errno = errno;
  close(fd);
  errno = saved_errno;
  return -1;
}

int ListenOn(const std::string& address, int backlog, bool shared) {
  int fd = BindSocket(address, SOCK_STREAM, shared);
  if (fd < 0 || listen(fd, backlog) == 0) return fd;
  int saved_errno = errno;
  close(fd);
  errno = saved_errno;
  return -1;
}

bool AddressInUse(const std::string& address) {
  int fd = BindSocket(address, SOCK_STREAM, false);
  if (fd >= 0) close(fd);
  return fd < 0 && errno == EADDRINUSE;
}

int BoundPort(int socket) {
  sockaddr_storage bound{};
  socklen_t size = sizeof bound;
  getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.ss_family == AF_INET ? reinterpret_cast<sockaddr_in&>(bound).sin_port
                                          : reinterpret_cast<sockaddr_in6&>(bound).sin6_port);
}

}  // namespace peatbend::net

// Loaded into a process, it refuses Unix sockets, as some platforms do.
#include <dlfcn.h>
#include <sys/socket.h>

#include <cerrno>

extern "C" int socket(int domain, int type, int protocol) noexcept {
  if (domain == AF_UNIX) return errno = EAFNOSUPPORT, -1;
  using Real = int (*)(int, int, int);
  static const auto real = reinterpret_cast<Real>(dlsym(RTLD_NEXT, "socket"));
  return real(domain, type, protocol);
}

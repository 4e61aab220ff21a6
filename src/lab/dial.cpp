#include "lab/dial.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace peatbend::lab {

void RaiseDescriptors() {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
}

std::string Bulk(std::string_view text) { return fmt::format("${}\r\n{}\r\n", text.size(), text); }

net::BuffereventPtr Dial(event_base* base, const std::string& address, const std::string& from) {
  std::size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  int own = -1;
  if (!from.empty()) {
    own = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (own < 0) return nullptr;
    int yes = 1;
    setsockopt(own, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &yes, sizeof yes);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, from.c_str(), &at.sin_addr);
    if (bind(own, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
      close(own);
      return nullptr;
    }
  }
  net::BuffereventPtr socket(bufferevent_socket_new(base, own, BEV_OPT_CLOSE_ON_FREE));
  if (socket && bufferevent_socket_connect(socket.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    socket.reset();
  if (socket) {
    int yes = 1;
    setsockopt(bufferevent_getfd(socket.get()), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  }
  return socket;
}

}  // namespace peatbend::lab

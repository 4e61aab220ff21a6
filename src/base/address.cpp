#include "base/address.h"

#include <event2/util.h>
#include <netinet/in.h>
#include <xxhash.h>

#include <stdexcept>

#include "base/text.h"

namespace peatbend::net {

void ParseAddress(const std::string& text, sockaddr_storage& address, int& size) {
  size = sizeof address;
  std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon);
  // Parsed here because evutil_parse_sockaddr_port rejects port 0, which tests use for an ephemeral port.
  std::uint16_t port = 0;
  bool valid = colon != std::string::npos && host.find_first_of("[]:") == host.find('[') &&
               ParseNumber(std::string_view(text).substr(colon + 1), port) &&
               evutil_parse_sockaddr_port(host.c_str(), reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!valid) throw std::invalid_argument("address: ADDRESS:PORT expected, found '" + text + "'");
  if (address.ss_family == AF_INET) {
    reinterpret_cast<sockaddr_in&>(address).sin_port = htons(port);
  } else {
    reinterpret_cast<sockaddr_in6&>(address).sin6_port = htons(port);
  }
}

std::uint64_t HashPeerAddress(int socket) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  bool known = getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
  return known && peer.sin_family == AF_INET ? XXH3_64bits(&peer.sin_addr, sizeof peer.sin_addr) : 0;
}

}  // namespace peatbend::net

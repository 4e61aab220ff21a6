// Addresses as text.
#pragma once

#include <sys/socket.h>

#include <string>

namespace peatbend::net {

// "10.1.0.18:6379"; throws std::invalid_argument.
void ReadAddress(const std::string& text, sockaddr_storage& to, int& size);

}  // namespace peatbend::net

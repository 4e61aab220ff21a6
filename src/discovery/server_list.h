// The server list of discovery and its JSON format.
#pragma once

#include <sys/socket.h>

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend::net {

struct ServerListEntry {
  ServerEntry entry;
  std::string address;
  sockaddr_storage to{};
  int to_size = 0;
};

struct ServerList {
  std::int64_t index = 0;  // version
  bool snapshot = false;   // the full list; otherwise changes only
  std::vector<ServerListEntry> entries;
};

// Both throw std::invalid_argument that names the faulty key.
ServerList ReadServerList(const nlohmann::json& json, const Settings& settings);
ServerList ParseServerList(std::string_view text, const Settings& settings);
// The entry in discovery's JSON format.
nlohmann::json WriteServerListEntry(const ServerListEntry& entry, const Settings& settings);

}  // namespace peatbend::net

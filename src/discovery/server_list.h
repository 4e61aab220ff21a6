// Discovery's list in its JSON form.
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
  std::int64_t index = 0;
  bool snapshot = false;
  std::vector<ServerListEntry> entries;
};

// Throws std::invalid_argument, naming the key at fault.
ServerList ReadServerList(const nlohmann::json& json, const Settings& settings);
ServerList ParseServerList(std::string_view text, const Settings& settings);
// The entry as discovery would state it.
nlohmann::json WriteServerListEntry(const ServerListEntry& entry, const Settings& settings);

}  // namespace peatbend::net

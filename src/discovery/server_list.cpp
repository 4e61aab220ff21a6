#include "discovery/server_list.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "base/address.h"

namespace peatbend::net {
namespace {

using nlohmann::json;

// A field of `object`; throws std::invalid_argument if it has another type or is missing without a fallback.
template <typename T>
T Field(const json& object, const char* name, const T* fallback = nullptr) {
  auto at = object.find(name);
  if (at == object.end() || at->is_null()) {
    if (fallback != nullptr) return *fallback;
    throw std::invalid_argument(std::string(name) + ": missing");
  }
  try {
    return at->get<T>();
  } catch (const json::exception&) {
    throw std::invalid_argument(std::string(name) + ": wrong type");
  }
}
template <typename T>
T FieldOr(const json& object, const char* name, const T& fallback) {
  return Field<T>(object, name, &fallback);
}

// The index of `name`; names.size() if it is not in the settings.
int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

ServerListEntry ReadEntry(const json& object, const Settings& settings) {
  if (!object.is_object()) throw std::invalid_argument("endpoints: an object expected");
  ServerListEntry entry;
  entry.entry.id.name = Field<std::string>(object, "name");
  if (entry.entry.id.name.empty()) throw std::invalid_argument("name: empty");
  auto status = Field<std::string>(object, "status");
  if (status == "SERVING") {
    entry.entry.state = ServerState::kReady;
  } else if (status == "DRAINING") {
    entry.entry.state = ServerState::kDraining;
  } else if (status == "DELETED") {
    entry.entry.state = ServerState::kGone;
  } else {
    throw std::invalid_argument("status: unknown value: " + status);
  }
  bool deleted = entry.entry.state == ServerState::kGone;
  std::string empty;
  entry.address = Field<std::string>(object, "address", deleted ? &empty : nullptr);
  if (!entry.address.empty()) ParseAddress(entry.address, entry.to, entry.to_size);
  entry.entry.zone = IndexOf(settings.zones, FieldOr<std::string>(object, "zone", ""));
  entry.entry.kind = IndexOf(settings.kinds, FieldOr<std::string>(object, "type", ""));
  entry.entry.cell = FieldOr<int>(object, "group", 0);
  entry.entry.weight = FieldOr<double>(object, "weight", 1.0);
  // The balancer's clock counts Unix time (clock.h); 0 means that the start time is unknown, long ago.
  double since = FieldOr<double>(object, "since_ms", 0.0);
  if (!(since >= 0 && since < 9e12)) throw std::invalid_argument("since_ms: out of range");
  entry.entry.started = TimePoint{std::chrono::milliseconds(std::llround(since))};
  return entry;
}

}  // namespace

nlohmann::json WriteServerListEntry(const ServerListEntry& entry, const Settings& settings) {
  auto name_of = [](const std::vector<std::string>& names, int index) {
    return index >= 0 && index < static_cast<int>(names.size()) ? names[static_cast<std::size_t>(index)] : "";
  };
  const ServerEntry& server = entry.entry;
  auto since = std::chrono::duration_cast<std::chrono::milliseconds>(server.started.time_since_epoch());
  return {{"name", server.id.name},
          {"address", entry.address},
          {"zone", name_of(settings.zones, server.zone)},
          {"type", name_of(settings.kinds, server.kind)},
          {"group", server.cell},
          {"status", server.state == ServerState::kReady ? "SERVING" : "DRAINING"},
          {"weight", server.weight},
          {"since_ms", since.count()}};
}

ServerList ReadServerList(const json& object, const Settings& settings) {
  if (!object.is_object()) throw std::invalid_argument("an object expected");
  ServerList list;
  list.index = Field<std::int64_t>(object, "index");
  list.snapshot = FieldOr<bool>(object, "snapshot", false);
  auto entries = object.find("endpoints");
  if (entries == object.end() || !entries->is_array())
    throw std::invalid_argument("endpoints: a list expected");
  for (const json& entry : *entries) list.entries.push_back(ReadEntry(entry, settings));
  return list;
}

ServerList ParseServerList(std::string_view text, const Settings& settings) {
  json object = json::parse(text, nullptr, false);
  if (object.is_discarded()) throw std::invalid_argument("not JSON");
  return ReadServerList(object, settings);
}

}  // namespace peatbend::net

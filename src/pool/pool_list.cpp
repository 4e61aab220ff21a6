#include "pool/pool_list.h"

#include <event2/util.h>
#include <netinet/in.h>

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "base/text.h"

namespace peatbend::net {
namespace {

using nlohmann::json;

// A field of an entry; throws if it is of another type, or missing and needed.
template <typename T>
T Field(const json& object, const char* name, const T* otherwise = nullptr) {
  auto at = object.find(name);
  if (at == object.end() || at->is_null()) {
    if (otherwise != nullptr) return *otherwise;
    throw std::invalid_argument(std::string(name) + ": missing");
  }
  try {
    return at->get<T>();
  } catch (const json::exception&) {
    throw std::invalid_argument(std::string(name) + ": of the wrong type");
  }
}
template <typename T>
T FieldOr(const json& object, const char* name, const T& otherwise) {
  return Field<T>(object, name, &otherwise);
}

// Its index; names that the settings do not have get one that none of them has.
int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

PoolEntry ReadEntry(const json& object, const Settings& settings) {
  if (!object.is_object()) throw std::invalid_argument("endpoints: an object expected");
  PoolEntry entry;
  entry.entry.id.name = Field<std::string>(object, "name");
  if (entry.entry.id.name.empty()) throw std::invalid_argument("name: empty");
  auto status = Field<std::string>(object, "status");
  if (status == "SERVING") {
    entry.entry.listed = Listed::kReady;
  } else if (status == "DRAINING") {
    entry.entry.listed = Listed::kDraining;
  } else if (status == "DELETED") {
    entry.entry.listed = Listed::kGone;
  } else {
    throw std::invalid_argument("status: not known: " + status);
  }
  bool gone = entry.entry.listed == Listed::kGone;
  std::string none;
  entry.address = Field<std::string>(object, "address", gone ? &none : nullptr);
  if (!entry.address.empty()) ReadAddress(entry.address, entry.to, entry.to_size);
  entry.entry.zone = IndexOf(settings.zones, FieldOr<std::string>(object, "zone", ""));
  entry.entry.kind = IndexOf(settings.kinds, FieldOr<std::string>(object, "type", ""));
  entry.entry.cell = FieldOr<int>(object, "group", 0);
  entry.entry.weight = FieldOr<double>(object, "weight", 1.0);
  // The module's clock shows Unix time (clock.h), and 0 means long ago to both.
  double since = FieldOr<double>(object, "since_ms", 0.0);
  if (!(since >= 0 && since < 9e12)) throw std::invalid_argument("since_ms: out of range");
  entry.entry.started = TimePoint{std::chrono::milliseconds(std::llround(since))};
  return entry;
}

}  // namespace

void ReadAddress(const std::string& text, sockaddr_storage& to, int& size) {
  size = sizeof to;
  std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon);
  std::uint16_t port = 0;  // 0, which the parser of libevent refuses, lets a test listen where there is room
  bool fine = colon != std::string::npos && host.find_first_of("[]:") == host.find('[') &&
              ParseNumber(std::string_view(text).substr(colon + 1), port) &&
              evutil_parse_sockaddr_port(host.c_str(), reinterpret_cast<sockaddr*>(&to), &size) == 0;
  if (!fine) throw std::invalid_argument("address: ADDRESS:PORT expected, found '" + text + "'");
  if (to.ss_family == AF_INET) {
    reinterpret_cast<sockaddr_in&>(to).sin_port = htons(port);
  } else {
    reinterpret_cast<sockaddr_in6&>(to).sin6_port = htons(port);
  }
}

PoolList ReadPoolList(const json& object, const Settings& settings) {
  if (!object.is_object()) throw std::invalid_argument("an object expected");
  PoolList list;
  list.index = Field<std::int64_t>(object, "index");
  list.snapshot = FieldOr<bool>(object, "snapshot", false);
  auto entries = object.find("endpoints");
  if (entries == object.end() || !entries->is_array())
    throw std::invalid_argument("endpoints: a list expected");
  for (const json& entry : *entries) list.entries.push_back(ReadEntry(entry, settings));
  return list;
}

PoolList ParsePoolList(std::string_view text, const Settings& settings) {
  json object = json::parse(text, nullptr, false);
  if (object.is_discarded()) throw std::invalid_argument("not JSON");
  return ReadPoolList(object, settings);
}

}  // namespace peatbend::net

#include "config/config.h"

#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "base/text.h"

namespace peatbend {
namespace {

using nlohmann::json;

std::string Text(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// The settings as the paths and texts of the simulator's first message.
void Apply(Settings& settings, const json& value, const std::string& path) {
  if (value.is_null()) return;
  if (value.is_object()) {
    for (const auto& [name, item] : value.items())
      Apply(settings, item, path.empty() ? name : path + "." + name);
  } else if (value.is_array() && !value.empty() && value[0].is_object()) {
    SetByPath(settings, path + ".count", std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) Apply(settings, value[i], path + "." + std::to_string(i));
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) joined.append(joined.empty() ? "" : ",").append(Text(item));
    SetByPath(settings, path, joined);
  } else {
    SetByPath(settings, path, Text(value));
  }
}

class Reader {
 public:
  Reader(const json& root, const std::function<const char*(const char*)>& variable)
      : root_(root), variable_(variable) {}

  std::string String(const char* variable, const char* key, const char* otherwise) const {
    auto at = root_.find(key);
    if (at == root_.end() || at->is_null()) {
      if (const char* text = variable_(variable); text != nullptr && *text != '\0') return text;
      if (otherwise != nullptr) return otherwise;
      throw ConfigError(std::string(key) + ": missing, and " + variable + " is not set");
    }
    if (!at->is_string()) throw ConfigError(std::string(key) + ": a string expected");
    return at->get<std::string>();
  }

  template <typename T>
  T Limit(const char* key, T otherwise, T least) const {
    auto limits = root_.find("limits");
    if (limits == root_.end() || limits->is_null()) return otherwise;
    if (!limits->is_object()) throw ConfigError("limits: an object expected");
    auto at = limits->find(key);
    if (at == limits->end() || at->is_null()) return otherwise;
    if (!at->is_number() || at->template get<T>() < least) {
      throw ConfigError(std::string("limits.") + key + ": a number of at least " + std::to_string(least) +
                        " expected, found " + at->dump());
    }
    return at->template get<T>();
  }

  // 16 hex digits, or a number. Without one each start draws its own.
  std::uint64_t Seed() const {
    auto at = root_.find("seed");
    if (at == root_.end() || at->is_null()) return std::random_device{}();
    if (at->is_number_unsigned()) return at->get<std::uint64_t>();
    std::uint64_t seed = 0;
    std::string text = at->is_string() ? at->get<std::string>() : "";
    if (!ParseNumber(text, seed, 16)) {
      throw ConfigError("seed: hex digits expected, found " + at->dump());
    }
    return seed;
  }

 private:
  const json& root_;
  const std::function<const char*(const char*)>& variable_;
};

void CheckAddress(const char* key, const std::string& text) {
  sockaddr_storage to{};
  int size = 0;
  try {
    net::ReadAddress(text, to, size);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string(key) + ": " + error.what());
  }
}

}  // namespace

Config ReadConfig(std::string_view text, const std::function<const char*(const char*)>& variable) {
  json root = json::parse(text, nullptr, false);
  if (root.is_discarded() || !root.is_object()) throw ConfigError("the configuration is not a JSON object");
  Reader reader(root, variable);
  Config config;
  config.name = reader.String("BALANCER_NAME", "name", "peatbend");
  config.listen = reader.String("BALANCER_LISTEN", "listen", nullptr);
  config.discovery = reader.String("BALANCER_DISCOVERY", "discovery", nullptr);
  CheckAddress("listen", config.listen);
  CheckAddress("discovery", config.discovery);
  config.seed = reader.Seed();
  config.cores = reader.Limit<double>("cores", 1.0, 0.0);
  config.memory_mb = reader.Limit<std::int64_t>("memory_mb", 192, 16);
  config.sockets = reader.Limit<std::int64_t>("sockets", 1024, 64);
  auto settings = root.find("settings");
  if (settings == root.end() || !settings->is_object()) throw ConfigError("settings: an object expected");
  try {
    Apply(config.settings, *settings, "");
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string("settings.") + error.what());
  }
  try {
    CheckSettings(config.settings);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(error.what());
  }
  auto known = root.find("known");
  if (known != root.end() && !known->is_null()) {
    try {
      config.known = net::ReadPoolList(*known, config.settings);
    } catch (const std::invalid_argument& error) {
      throw ConfigError(std::string("known.") + error.what());
    }
  }
  return config;
}

Config LoadConfig() {
  const char* path = std::getenv("BALANCER_CONFIG");
  if (path == nullptr || *path == '\0') throw ConfigError("BALANCER_CONFIG: not set");
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    throw ConfigError(std::string("BALANCER_CONFIG: cannot read ") + path);
  return ReadConfig(text.str(), [](const char* name) -> const char* { return std::getenv(name); });
}

}  // namespace peatbend

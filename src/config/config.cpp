#include "config/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "base/address.h"
#include "base/text.h"
#include "config/file.h"
#include "config/subjects.h"
#include "failover/replica_set.h"
#include "rations/quota_config.h"

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
  // `own` stands in for what neither `root` nor a variable states.
  Reader(const json& root, const json& own, const std::function<const char*(const char*)>& variable)
      : root_(root), own_(own), variable_(variable) {}

  std::string String(const char* variable, const char* key, const char* otherwise) const {
    const json* at = Find(root_, key);
    if (at == nullptr) {
      if (const char* text = variable_(variable); text != nullptr && *text != '\0') return text;
      at = Find(own_, key);
    }
    if (at == nullptr) {
      if (otherwise != nullptr) return otherwise;
      throw ConfigError(std::string(key) + ": missing, and " + variable + " is not set");
    }
    if (!at->is_string()) throw ConfigError(std::string(key) + ": a string expected");
    return at->get<std::string>();
  }

  template <typename T>
  T Limit(const char* key, T otherwise, T least) const {
    const json* limits = Find(root_, "limits");
    if (limits != nullptr && !limits->is_object()) throw ConfigError("limits: an object expected");
    const json* at = limits == nullptr ? nullptr : Find(*limits, key);
    if (at == nullptr && (limits = Find(own_, "limits")) != nullptr) at = Find(*limits, key);
    if (at == nullptr) return otherwise;
    if (!at->is_number() || at->template get<T>() < least) {
      throw ConfigError(std::string("limits.") + key + ": a number of at least " + std::to_string(least) +
                        " expected, found " + at->dump());
    }
    return at->template get<T>();
  }

  // 16 hex digits, or a number. Without one each start draws its own.
  std::uint64_t Seed() const {
    const json* at = Find(root_, "seed");
    if (at == nullptr) at = Find(own_, "seed");
    if (at == nullptr) return std::random_device{}();
    if (at->is_number_unsigned()) return at->get<std::uint64_t>();
    std::uint64_t seed = 0;
    std::string text = at->is_string() ? at->get<std::string>() : "";
    if (!ParseNumber(text, seed, 16)) {
      throw ConfigError("seed: hex digits expected, found " + at->dump());
    }
    return seed;
  }

 private:
  // Null where the key is missing or null.
  static const json* Find(const json& object, const char* key) {
    auto at = object.find(key);
    return at == object.end() || at->is_null() ? nullptr : &*at;
  }
  const json& root_;
  const json& own_;
  const std::function<const char*(const char*)>& variable_;
};

void CheckAddress(const char* key, const std::string& text) {
  sockaddr_storage to{};
  int size = 0;
  try {
    net::ParseAddress(text, to, size);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string(key) + ": " + error.what());
  }
}

void ReadPeers(const json& own, Config& config) {
  if (own.is_null()) return;
  auto text = [&own](const char* key) { return own.value(key, std::string()); };
  config.peers.fleet = text("fleet");
  config.peers.listen = text("listen");
  config.peers.advertise = own.value("advertise", config.peers.listen);
  config.peers.seeds = own.value("seeds", std::vector<std::string>());
  if (config.peers.listen.empty())
    throw ConfigError("peers.listen: missing, though other keys of [peers] are set");
  if (config.peers.fleet.empty() || config.peers.fleet.size() > 64)
    throw ConfigError("peers.fleet: the fleet's name expected, of up to 64 bytes");
  CheckAddress("peers.listen", config.peers.listen);
  CheckAddress("peers.advertise", config.peers.advertise);
  if (config.peers.advertise.starts_with("0.0.0.0:"))
    throw ConfigError("peers.advertise: needed where peers.listen is 0.0.0.0");
  for (const std::string& seed : config.peers.seeds) CheckAddress("peers.seeds", seed);
  if (config.name.empty() || config.name.size() > 64)
    throw ConfigError("name: of 1 to 64 bytes expected where [peers] is set");
  const net::Tuning::Peers& times = config.tuning.peers;
  if (times.timeout >= times.probe) throw ConfigError("peers.timeout_ms: less than peers.probe_ms expected");
  if (times.suspicion_least > times.suspicion_most)
    throw ConfigError("peers.suspicion_least_ms: at most peers.suspicion_most_ms expected");
}

std::string ReadWhole(const std::string& path, const char* whose) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()) || text.str().empty())
    throw ConfigError(std::string(whose) + ": cannot read " + path);
  return text.str();
}

void CheckSeats(const std::string& key, const std::vector<std::string>& seats) {
  std::set<std::string> names;
  for (const std::string& seat : seats) {
    std::string name = failover::ParseReplica(seat).router;
    if (name.empty() || name.size() > 64)
      throw ConfigError(key + ": \"NAME/ZONE\" expected, not \"" + seat + "\"");
    if (!names.insert(name).second) throw ConfigError(key + ": " + name + " twice");
  }
  if (names.size() < 3) throw ConfigError(key + ": three or more expected");
}

void ReadFailover(const json& own, Config& config) {
  if (own.is_null()) return;
  config.failover.replicas = own.value("replicas", std::vector<std::string>());
  config.failover.no_quorum = own.value("no_quorum", config.failover.no_quorum);
  if (config.failover.no_quorum != "reject" && config.failover.no_quorum != "serve")
    throw ConfigError("failover.no_quorum: \"reject\" or \"serve\" expected");
  if (config.failover.replicas.empty())
    throw ConfigError("failover.replicas: missing, though other keys of [failover] are set");
  if (config.peers.listen.empty())
    throw ConfigError("failover: needs [peers], by which routers reach each other");
  CheckSeats("failover.replicas", config.failover.replicas);
}

std::vector<std::string> WithoutAddresses(std::vector<std::string> seats) {
  for (std::string& seat : seats) seat.resize(std::min(seat.size(), seat.rfind('@')));
  return seats;
}

void ReadRations(const json& own, Config& config) {
  if (own.is_null()) return;
  config.rations.book = own.value("book", std::string());
  config.rations.seats = own.value("seats", config.failover.replicas);
  if (config.rations.book.empty())
    throw ConfigError("rations.book: missing, though other keys of [rations] are set");
  if (config.peers.listen.empty())
    throw ConfigError("rations: needs [peers], by which routers reach each other");
  for (const std::string& seat : config.rations.seats) {
    std::size_t at = seat.rfind('@');
    if (at != std::string::npos) CheckAddress("rations.seats", seat.substr(at + 1));
  }
  CheckSeats("rations.seats", WithoutAddresses(config.rations.seats));
  auto reads = own.value("reads", std::int64_t{rations::kQuotaLanguageVersion});
  if (reads < 1 || reads > rations::kQuotaLanguageVersion)
    throw ConfigError(fmt::format("rations.reads: 1 to {} expected", rations::kQuotaLanguageVersion));
  config.rations.reads = static_cast<int>(reads);
  config.rations.text = ReadWhole(config.rations.book, "rations.book");
  config.rations.table = std::make_shared<const rations::QuotaTable>(rations::ParseQuotaConfig(
      config.rations.text, config.settings, config.rations.book, config.rations.reads));
}

void ReadPublications(const json& own, Config& config) {
  if (own.is_null()) return;
  config.publications.seats = own.value("seats", std::vector<std::string>());
  config.publications.folder = own.value("folder", std::string());
  config.publications.found = own.value("found", false);
  if (config.publications.seats.empty())
    throw ConfigError("publications.seats: missing, though other keys of [publications] are set");
  if (config.peers.listen.empty())
    throw ConfigError("publications: needs [peers], by which routers reach each other");
  CheckSeats("publications.seats", config.publications.seats);
  if (config.publications.seats.size() != 3) throw ConfigError("publications.seats: three expected");
}

// The further attempts of all routers together are at most a tenth, since those of each are.
void ReadOverload(const json& own, Config& config) {
  if (own.is_null()) return;
  config.overload.on = own.value("on", false);
  const auto& otherwise = config.rations.seats.empty() ? config.failover.replicas : config.rations.seats;
  config.overload.seats = own.value("seats", WithoutAddresses(otherwise));
  if (!config.overload.on) return;
  if (config.peers.listen.empty())
    throw ConfigError("overload: needs [peers], by which routers reach each other");
  CheckSeats("overload.seats", config.overload.seats);
  config.settings.shared_trials = true;
  if (config.settings.attempt_window) return;
  config.settings.attempt_window = std::chrono::seconds{10};
  config.settings.free_resends = 0;
  config.settings.extra_per_request = 0.1;
}

}  // namespace

ConfigError::ConfigError(std::vector<std::string> faults)
    : std::runtime_error(fmt::format("{}", fmt::join(faults, "; "))), faults_(std::move(faults)) {}

Config ReadConfig(const ConfigText& text, const std::function<const char*(const char*)>& variable) {
  std::vector<std::string> faults;
  // Goes on after a fault, so that all are told at once.
  auto attempt = [&faults](const char* prefix, const auto& step) {
    try {
      step();
    } catch (const std::exception& error) {
      faults.push_back(prefix + std::string(error.what()));
    }
  };
  json root = json::parse(text.json, nullptr, false);
  if (root.is_discarded() || !root.is_object()) {
    faults.emplace_back("the configuration is not a JSON object");
    root = json::object();
  }
  ConfigFile own = ReadConfigFile(text.toml, text.toml_name, faults);
  Reader reader(root, own.router, variable);
  Config config;
  config.tuning = own.tuning;
  attempt("", [&] { config.name = reader.String("BALANCER_NAME", "name", "peatbend"); });
  attempt("", [&] {
    CheckAddress("listen", config.listen = reader.String("BALANCER_LISTEN", "listen", nullptr));
  });
  attempt("", [&] {
    CheckAddress("discovery", config.discovery = reader.String("BALANCER_DISCOVERY", "discovery", nullptr));
  });
  attempt("", [&] {
    config.admin = reader.String("BALANCER_ADMIN", "admin", "");
    if (!config.admin.empty()) CheckAddress("admin", config.admin);
  });
  attempt("", [&] { config.seed = reader.Seed(); });
  attempt("", [&] { config.cores = reader.Limit<double>("cores", 1.0, 0.0); });
  attempt("", [&] { config.memory_mb = reader.Limit<std::int64_t>("memory_mb", 192, 16); });
  attempt("", [&] { config.sockets = reader.Limit<std::int64_t>("sockets", 1024, 64); });
  auto settings = root.find("settings");
  bool told = settings != root.end() && settings->is_object();
  if (!told && own.deployment.is_null()) {
    faults.emplace_back("settings: an object expected");
  } else {
    std::size_t before = faults.size();
    attempt("settings.", [&] { Apply(config.settings, told ? *settings : own.deployment, ""); });
    if (faults.size() == before) attempt("", [&] { CheckSettings(config.settings); });
  }
  attempt("", [&] { ReadPeers(own.peers, config); });
  attempt("", [&] { ReadFailover(own.failover, config); });
  attempt("", [&] { ReadRations(own.rations, config); });
  attempt("", [&] { ReadPublications(own.publications, config); });
  attempt("", [&] { ReadOverload(own.overload, config); });
  attempt("", [&] {
    config.subjects = ReadSubjects(own.subjects, config.settings);
    if (!config.subjects.empty() && config.publications.seats.empty())
      throw ConfigError("publications.subjects: need publications.seats, which agree on what is accepted");
  });
  const json* barred = told && settings->contains("ceilings") ? &(*settings)["ceilings"] : nullptr;
  if (!config.peers.listen.empty() && barred != nullptr && barred->is_object() &&
      !barred->value("peers", true))
    faults.emplace_back("peers: this deployment bars talk among routers (settings.ceilings.peers is false)");
  auto known = root.find("known");
  if (known != root.end() && !known->is_null()) {
    attempt("known.", [&] { config.known = net::ReadServerList(*known, config.settings); });
  }
  if (!faults.empty()) throw ConfigError(std::move(faults));
  return config;
}

Config LoadConfig(const std::string& own) {
  ConfigText text;
  const char* path = std::getenv("BALANCER_CONFIG");
  bool platform = path != nullptr && *path != '\0';
  if (!platform && own.empty()) throw ConfigError("BALANCER_CONFIG: not set, and no --config FILE is given");
  if (platform) text.json = ReadWhole(path, "BALANCER_CONFIG");
  if (!own.empty()) {
    text.toml = ReadWhole(own, "--config");
    text.toml_name = own;
  }
  return ReadConfig(text, [](const char* name) -> const char* { return std::getenv(name); });
}

ConfigText ReadOneFile(const std::string& path) {
  ConfigText text;
  if (path.ends_with(".toml")) {
    text.toml = ReadWhole(path, "check");
    text.toml_name = path;
  } else {
    text.json = ReadWhole(path, "check");
  }
  return text;
}

}  // namespace peatbend

// The router's own configuration file, in TOML (https://toml.io/en/v1.0.0): [router], the tuning keys, and
// [deployment], which says what the platform's JSON says under "settings".
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/tuning.h"

namespace peatbend {

struct ConfigFile {
  net::Tuning tuning;
  nlohmann::json router;        // name, listen, discovery, seed, limits: as in the platform's JSON
  nlohmann::json peers;         // fleet, listen, advertise, seeds; null where the file has none
  nlohmann::json failover;      // replicas, no_quorum; null where the file has none
  nlohmann::json rations;       // book, seats, reads; null where the file has none
  nlohmann::json publications;  // seats, folder, found; null where the file has none
  nlohmann::json overload;      // on, seats; null where the file has none
  nlohmann::json subjects;      // of [[publications.subjects]], a list; null where the file has none
  nlohmann::json deployment;    // as "settings" there, times in nanoseconds; null where the file has none
};

// Appends one line a fault, "NAME:LINE: KEY: what is wrong", and leaves the default where one is found.
// `name` is what the file is called in those lines.
ConfigFile ReadConfigFile(std::string_view text, const std::string& name, std::vector<std::string>& faults);

}  // namespace peatbend

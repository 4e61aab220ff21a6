// The one place where the configuration is read, checked and given defaults, at the start and on a reload:
// the JSON file that BALANCER_CONFIG names, and the environment.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "peatbend/balancer.h"
#include "pool/pool_list.h"

namespace peatbend {

// Says which variable or key is at fault.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name = "peatbend";
  std::string listen, discovery;  // ADDRESS:PORT
  std::uint64_t seed = 0;
  double cores = 1;
  std::int64_t memory_mb = 192, sockets = 1024;
  net::PoolList known;
  Settings settings;
};

// `text` is the file's; `variable` gives an environment variable or null. What the file says goes before the
// variables, at the start and on a reload alike: it can be replaced while the program runs, they cannot.
Config ReadConfig(std::string_view text, const std::function<const char*(const char*)>& variable);
// From this process's environment.
Config LoadConfig();

}  // namespace peatbend

// The one place where the configuration is read, checked and given defaults, at the start and on a reload:
// the platform's JSON (BALANCER_CONFIG), the environment, and a TOML file of the router's own. All end in one
// Config. Where several state a key, the platform's JSON goes first, then a variable, then the TOML file.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/tuning.h"
#include "compat/schema_check.h"
#include "discovery/server_list.h"
#include "peatbend/balancer.h"
#include "rations/quota_table.h"

namespace peatbend {

// Says which variables or keys are at fault: each has a line in faults(), and what() joins them.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(const std::string& fault) : ConfigError(std::vector<std::string>{fault}) {}
  explicit ConfigError(std::vector<std::string> faults);
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::vector<std::string> faults_;
};

struct Config {
  std::string name = "peatbend";
  std::string listen, discovery;  // ADDRESS:PORT
  std::string admin;              // the operators' address; empty: none
  std::uint64_t seed = 0;
  double cores = 1;
  std::int64_t memory_mb = 192, sockets = 1024;
  net::ServerList known;
  net::Tuning tuning;
  Settings settings;
  struct Peers {  // off where `listen` is empty
    std::string fleet, listen, advertise;
    std::vector<std::string> seeds;
    bool operator==(const Peers&) const = default;
  } peers;
  struct Failover {                     // off where no replicas are set
    std::vector<std::string> replicas;  // NAME/ZONE
    std::string no_quorum = "reject";   // or "serve"
    bool operator==(const Failover&) const = default;
  } failover;
  struct Rations {                                     // off where there is no book
    std::string book;                                  // the file's path
    std::vector<std::string> seats;                    // NAME/ZONE
    int reads = 0;                                     // the last version of the language that is taken
    std::string text;                                  // of the file when it was read, and
    std::shared_ptr<const rations::QuotaTable> table;  // what it says
    bool operator==(const Rations& other) const {
      return book == other.book && seats == other.seats && reads == other.reads;
    }
  } rations;
  struct Publications {              // off where there are no seats
    std::vector<std::string> seats;  // NAME/ZONE, three
    std::string folder;              // of this router's seat; empty: none
    bool found = false;              // an operator's word that the register is new
    bool operator==(const Publications&) const = default;
  } publications;
  struct Overload {
    bool on = false;
    std::vector<std::string> seats;  // NAME/ZONE: routers that read signs for all, the first that is there
    bool operator==(const Overload&) const = default;
  } overload;
  std::vector<compat::SubjectConfig> subjects;  // of payloads; empty: none is covered
};

struct ConfigText {
  std::string json = "{}";  // the platform's file
  std::string toml = {};    // the router's own file
  std::string toml_name = "peatbend.toml";
};

// `variable` gives an environment variable or null. What a file says on the platform's side goes before the
// variables, at the start and on a reload alike: it can be replaced while the program runs, they cannot.
// Throws ConfigError with every fault found.
Config ReadConfig(const ConfigText& text, const std::function<const char*(const char*)>& variable);
// From this process's environment, and the TOML file at `own` (empty: none). A file that is named must be
// there.
Config LoadConfig(const std::string& own = "");
// The texts of one file alone, by its ending: .toml, or else the platform's JSON.
ConfigText ReadOneFile(const std::string& path);

}  // namespace peatbend

// Selects the three replicas that store the record of an operation: by rendezvous hashing, in different zones
// if there are enough zones. The result depends only on the configuration, so all routers select the same
// replicas whatever their view of the fleet.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "failover/record.h"

namespace peatbend::failover {

struct ReplicaName {
  std::string router, zone;
  bool operator==(const ReplicaName&) const = default;
};

// Parses "NAME/ZONE", or "NAME" with an empty zone.
ReplicaName ParseReplica(const std::string& line);

class ReplicaSet {
 public:
  // Each line as for ParseReplica. Throws as the constructor does.
  static ReplicaSet Parse(const std::vector<std::string>& lines);
  // Throws std::invalid_argument if there are fewer than three replicas, or a name is empty or repeated.
  explicit ReplicaSet(std::vector<ReplicaName> all);
  // Returns indices into all(), by descending preference.
  std::array<std::size_t, kReplicas> ReplicasFor(const std::string& operation) const;
  std::array<std::string, kReplicas> NamesFor(const std::string& operation) const;
  const std::vector<ReplicaName>& all() const { return all_; }
  // Hash of the configuration. Messages with another fingerprint must be ignored.
  std::uint64_t fingerprint() const { return fingerprint_; }

 private:
  std::vector<ReplicaName> all_;  // sorted by name
  std::vector<std::uint64_t> hashes_;
  std::uint64_t fingerprint_ = 0;
};

}  // namespace peatbend::failover

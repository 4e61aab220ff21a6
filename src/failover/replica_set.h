// Which three replicas store the record of an operation: the highest by rendezvous hashing, in different
// zones where there are as many. A function of the settings alone, so that all routers find the same ones
// whatever they believe of each other.
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

// NAME/ZONE, or NAME alone.
ReplicaName ParseReplica(const std::string& line);

class ReplicaSet {
 public:
  // Of lines as ParseReplica takes them.
  static ReplicaSet Parse(const std::vector<std::string>& lines);
  // Throws std::invalid_argument: three at the least are needed, and no name twice.
  explicit ReplicaSet(std::vector<ReplicaName> all);
  // Indices into all(), in the order in which they are to go on with the operation when its owner has ended.
  std::array<std::size_t, kReplicas> ReplicasFor(const std::string& operation) const;
  std::array<std::string, kReplicas> NamesFor(const std::string& operation) const;
  const std::vector<ReplicaName>& all() const { return all_; }
  // Equal for equal settings: who states another is not to be listened to.
  std::uint64_t print() const { return print_; }

 private:
  std::vector<ReplicaName> all_;  // by name
  std::vector<std::uint64_t> hashes_;
  std::uint64_t print_ = 0;
};

}  // namespace peatbend::failover

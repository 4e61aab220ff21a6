#include "failover/replica_set.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <stdexcept>
#include <utility>

namespace peatbend::failover {

ReplicaSet::ReplicaSet(std::vector<ReplicaName> all) : all_(std::move(all)) {
  std::ranges::sort(all_, {}, &ReplicaName::router);
  if (all_.size() < kReplicas) throw std::invalid_argument("at least three replicas expected");
  std::string bytes;
  for (std::size_t i = 0; i < all_.size(); ++i) {
    const std::string& name = all_[i].router;
    if (name.empty()) throw std::invalid_argument("a replica has no name");
    if (i > 0 && all_[i - 1].router == name)
      throw std::invalid_argument("replica " + name + " is listed twice");
    hashes_.push_back(XXH3_64bits(name.data(), name.size()));
    AppendState(bytes, name);
    AppendState(bytes, all_[i].zone);
  }
  fingerprint_ = XXH3_64bits(bytes.data(), bytes.size());
}

ReplicaName ParseReplica(const std::string& line) {
  std::size_t slash = line.rfind('/');
  return {line.substr(0, slash), slash == std::string::npos ? "" : line.substr(slash + 1)};
}

ReplicaSet ReplicaSet::Parse(const std::vector<std::string>& lines) {
  std::vector<ReplicaName> replicas;
  for (const std::string& line : lines) replicas.push_back(ParseReplica(line));
  return ReplicaSet(std::move(replicas));
}

std::array<std::size_t, kReplicas> ReplicaSet::ReplicasFor(const std::string& operation) const {
  std::uint64_t operation_hash = XXH3_64bits(operation.data(), operation.size());
  std::vector<std::pair<std::uint64_t, std::size_t>> order;
  for (std::size_t i = 0; i < all_.size(); ++i) {
    std::uint64_t both[2] = {operation_hash, hashes_[i]};
    order.emplace_back(XXH3_64bits(both, sizeof both), i);
  }
  std::ranges::sort(order, std::greater<>());
  std::array<std::size_t, kReplicas> chosen{};
  for (std::size_t n = 0; n < kReplicas; ++n) {
    // Prefers the highest-ranked replica of a zone that has none yet, else the highest-ranked one that is
    // left.
    auto has = [&](auto same) {
      return std::any_of(chosen.begin(), chosen.begin() + static_cast<long>(n), same);
    };
    auto taken = [&](const auto& one) { return has([&](std::size_t i) { return i == one.second; }); };
    auto is_new = [&](const auto& one) {
      return !has([&](std::size_t i) { return all_[i].zone == all_[one.second].zone; });
    };
    auto best = std::ranges::find_if(order, is_new);
    if (best == order.end()) best = std::ranges::find_if_not(order, taken);
    chosen[n] = best->second;
  }
  return chosen;
}

std::array<std::string, kReplicas> ReplicaSet::NamesFor(const std::string& operation) const {
  std::array<std::string, kReplicas> names;
  auto indices = ReplicasFor(operation);
  for (std::size_t replica = 0; replica < kReplicas; ++replica)
    names[replica] = all_[indices[replica]].router;
  return names;
}

}  // namespace peatbend::failover

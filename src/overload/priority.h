// The shedding priority of requests: a number in [0, 1), the lowest shed first. It depends only on the
// settings and the request, so all routers compute the same priority. Contains no I/O and reads no clock;
// immutable, and so safe to use from any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend::overload {

constexpr std::size_t kPriorityBins = 64;  // histogram bins of priorities; no bin contains parts of two bands
std::size_t PriorityBin(double priority);

struct PriorityInput {
  int cls = 0;
  Duration work{};  // estimated work; zero: as configured for the class
  bool over_quota = false;
  bool retry = false;  // a retry by the client
  // HashId of the request's id, else of its key: the same at all routers and on each retry.
  std::uint64_t id = 0;
};

class PriorityOrder {
 public:
  static constexpr std::size_t kMaxLevels = 8;  // distinct levels of worth per work

  // `work`: estimated work by class; where it is missing or zero, the work of its requests does not affect
  // the priority. Throws std::invalid_argument, naming the field.
  explicit PriorityOrder(const Settings& settings, std::span<const Duration> work = {});

  // Shed first: requests over their quota, then those with a low worth per work, then retries. Requests equal
  // in all of these form a band and are ordered by a hash of the id. Tenant shares move the threshold within
  // a band.
  double PriorityOf(const PriorityInput& input) const;
  // Returns the work of a request in microseconds: its own or that of its class, else 1000.
  std::uint64_t WorkOf(const PriorityInput& input) const;
  double bands() const { return static_cast<double>(4 * level_slots_); }
  std::size_t LevelOf(const PriorityInput& input) const;  // 0: the lowest worth per work

 private:
  struct Class {
    double worth, work_ms;  // work_ms 0: unknown
  };
  double ValueOf(const Class& cls, double work_ms) const;

  bool worth_by_work_;
  std::vector<Class> classes_;
  std::vector<double> levels_;   // logarithms of worth per work, ascending
  std::size_t level_slots_ = 1;  // levels rounded up to a power of two
};

// Stable hash of a name as it appears on the wire.
std::uint64_t HashId(std::string_view name);

}  // namespace peatbend::overload

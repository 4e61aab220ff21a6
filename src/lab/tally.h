// What a day was worth: each planned request counted once, whatever its client's retries, with its time from
// the moment at which the client meant to send it (no coordinated omission).
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/plan.h"
#include "lab/ration_watch.h"
#include "lab/referee.h"

namespace peatbend::lab {

struct Latencies {
  double p50 = 0, p90 = 0, p99 = 0, p999 = 0;  // ms; at most 1 % off
};

// Times on a logarithmic axis, at most 1 % off, from 10 us to 100 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;
  void Add(double ms);
  Latencies Read() const;

 private:
  struct Axis;
  std::unique_ptr<Axis> axis_;
};

struct Outcome {
  enum class What { kOpen, kServed, kRejected, kFailed };
  What what = What::kOpen;
  Time at{};
  int tries = 0;
};

struct GroupResult {
  std::string name;
  std::uint64_t asked = 0, in_time = 0, late = 0, rejected = 0, failed = 0;
  double worth = 0;  // share of what was asked for
  Latencies latency;
};

struct Second {
  int second = 0;
  std::uint64_t asked = 0;  // planned in it
  double worth = 0;
  double p50 = 0, p99 = 0;
  std::uint64_t origin = 0;          // requests that the origin took
  std::vector<double> member_load;   // requests that each place took
  std::vector<double> member_dials;  // connections that each place accepted
};

struct DayResult {
  std::string scenario;
  std::uint64_t seed = 0;
  // The brief's mix: 60 % the whole run, 10 % the worst 10 s, 20 % the worst class, 10 % the worst tenant,
  // less 0.16 for each request that crosses data centres once and 0.3 for work wasted as a share of work
  // asked for.
  double worth = 0;
  double whole = 0, worst_window = 0, worst_class = 0, worst_tenant = 0, waste = 0;
  std::vector<GroupResult> classes, tenants;
  double attempts_per_request = 0, crossings_per_request = 0, origin_load = 0;
  // Of all requests: pairs of one that was rejected for good and one of a class worth less that was served in
  // the same second, each request in one pair.
  double inverted = 0;
  std::vector<Second> timeline;
  struct Router {
    double cpu_us_per_request = 0, peak_mb = 0;
    int descriptors = 0;
    std::uint64_t requests = 0;  // that it was sent, clients' repeats too
  };
  std::vector<Router> routers;
  std::map<std::string, std::uint64_t> figures;  // of all routers that stand at the end, where they are peers
  struct RuleResult {
    std::string name;
    Referee::Count count;
  };
  std::uint64_t returned = 0, returned_served = 0;  // see Crowd::returned
  std::vector<LimitResult> limits;
  std::vector<PublishResult> published;  // by version, then by reader
  std::vector<RuleResult> rules;
  std::uint64_t broken = 0;
  std::vector<Scenario::Mark> marks;
  double worst_lag_ms = 0;  // how far the lab itself was behind at the worst; 0 in simulated time
};

struct WorldCounts {  // by second
  std::vector<std::uint64_t> origin;
  std::vector<std::vector<double>> members, dials;
  Span worked{}, wasted{};
};

DayResult Reckon(const Scenario& scenario, std::uint64_t seed, const Plan& plan,
                 const std::vector<Outcome>& outcomes, const Referee& referee, const WorldCounts& counts);
std::string ToJson(const DayResult& result);
// A few lines for a terminal.
std::string Summary(const DayResult& result);

}  // namespace peatbend::lab

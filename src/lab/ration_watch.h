// Counts what clients offer and what routers admit against the limits of a day, and judges each stretch of 1
// s and of 10 s. Admitted is a request whose first attempt came at a server: what a router said yes to, as
// far as anyone but the router can see it. Shares no code with the routers' rations. Times are the lab's, and
// never go back.
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "lab/scenario.h"

namespace peatbend::lab {

// One limit's day.
struct LimitResult {
  std::string name;
  double rate = 0;  // of one bucket
  std::uint64_t offered = 0, admitted = 0;
  std::size_t buckets = 0;  // that anything was offered to
  // The share of rate x time that was admitted: over the seconds, of each bucket, in which more was offered
  // than the rate; the whole day's after the warm-up, and the least of any such 1 s and 10 s of all buckets.
  double used = 0, least_1s = 0, least_10s = 0;
  double hungry_s = 0;                        // bucket-seconds so counted; 0: demand never passed the limit
  std::array<double, 2> nearest{};            // the most that any 1 s, 10 s came to, of what is allowed
  std::vector<double> offered_s, admitted_s;  // by second, all buckets
};

class RationWatch {
 public:
  struct Asked {
    int tenant = 0, cls = 0, client = 0;
  };
  // `scenario` outlives it.
  explicit RationWatch(const Scenario& scenario);

  void Offered(const Asked& asked, Time at);
  void Admitted(const Asked& asked, Time at);
  // A router process beyond the first of its address: it may have tokens in hand too.
  void Started(Time at) { starts_.push_back(at); }

  struct Breach {
    Time at{};  // the window's end
    std::string limit, what;
  };
  // Each stretch of arrivals over which windows of one length hold too many counts once, by the fullest of
  // them.
  std::vector<Breach> Judge() const;
  std::vector<LimitResult> Results() const;

  // Tokens allowed beyond the burst and the rate's in the window of that length that ends at `end`.
  double Constant(const RationLimit& limit, Time end, Span window) const;
  static bool Counts(const Scenario& scenario, const RationLimit& limit, const Asked& asked);
  // Which of a limit's buckets counts it.
  static int BucketOf(const RationLimit& limit, const Asked& asked);

 private:
  struct Bucket {
    std::vector<Time> admitted;
    std::vector<std::uint32_t> offered_s, admitted_s;  // by second
  };
  struct Counted {
    std::map<int, Bucket> buckets;
  };
  struct Full {  // of a window, against what is allowed
    Time at{};
    std::size_t held = 0;
    double allowed = 1;
    double part() const { return static_cast<double>(held) / allowed; }
  };
  template <typename Then>
  void Windows(const RationLimit& limit, const Bucket& bucket, Span window, Then&& then) const;

  const Scenario& scenario_;
  std::vector<Counted> limits_;
  std::vector<Time> starts_;
};

}  // namespace peatbend::lab

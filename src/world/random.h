// All chance in the world: PCG (M. E. O'Neill, "PCG: A Family of Simple Fast Space-Efficient Statistically
// Good Algorithms for Random Number Generation", 2014), one stream for each purpose, so that a draw more in
// one part of the world moves nothing in another.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

namespace peatbend::world {

class Random {
 public:
  Random(std::uint64_t seed, std::uint64_t stream) : engine_(seed, stream) {}

  double Unit() { return static_cast<double>(engine_()) * 0x1p-32; }  // [0, 1)
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  std::uint32_t Below(std::uint32_t bound) { return engine_(bound); }
  bool Chance(double share) { return Unit() < share; }
  double Exponential(double mean) { return -mean * std::log1p(-Unit()); }
  std::uint64_t Word() { return std::uint64_t{engine_()} << 32 | engine_(); }

 private:
  pcg32 engine_;
};

// Ranks 0..n-1 with weights 1/(rank+1)^s; also any list of weights.
class Weighted {
 public:
  static Weighted Zipf(std::size_t n, double s) {
    std::vector<double> weights(n);
    for (std::size_t i = 0; i < n; ++i) weights[i] = std::pow(static_cast<double>(i + 1), -s);
    return Weighted(weights);
  }
  explicit Weighted(const std::vector<double>& weights) {
    double sum = 0;
    for (double weight : weights) sums_.push_back(sum += weight);
  }
  std::size_t Draw(Random& random) const {
    double at = random.Unit() * sums_.back();
    auto found = std::upper_bound(sums_.begin(), sums_.end(), at);
    return std::min(static_cast<std::size_t>(found - sums_.begin()), sums_.size() - 1);
  }

 private:
  std::vector<double> sums_;
};

}  // namespace peatbend::world

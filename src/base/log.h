// Log lines on standard error, as text (`peatbend NAME: KIND: text`) or as one JSON object per line. Each
// kind is limited to a number of lines per window; further lines are suppressed, and their count is added to
// the next line of that kind. Lines are written synchronously through spdlog.
#pragma once

#include <spdlog/logger.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "base/tuning.h"

namespace peatbend::net {

class Log {
 public:
  Log(std::string name, const Tuning::LogLines& tuning, const Clock& clock);
  void Line(std::string_view kind, std::string_view text);
  // Writes a line of named numbers: "a=1 b=2", or the member "counts" of the JSON object.
  using Count = std::pair<std::string, std::uint64_t>;
  void Metrics(std::string_view kind, std::span<const Count> counts);

 private:
  struct RateLimit {
    TimePoint window_start{};
    std::int64_t lines = 0;
    std::uint64_t suppressed = 0;
  };
  void Write(std::string_view kind, std::string_view text, std::span<const Count> counts);

  std::string name_;
  Tuning::LogLines tuning_;
  const Clock& clock_;
  spdlog::logger logger_;
  std::map<std::string, RateLimit, std::less<>> rate_limits_;
};

}  // namespace peatbend::net

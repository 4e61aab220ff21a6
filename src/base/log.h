// Log lines on standard error, as text (`peatbend NAME: KIND: text`) or one JSON object a line with the same
// kinds. Each kind may write so many lines in a window; what is beyond is suppressed and counted, and the
// count is written with the next line of that kind. Written through spdlog, at once and in order.
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
  // A line of names and numbers: "a=1 b=2", or fields of the JSON object.
  using Count = std::pair<std::string, std::uint64_t>;
  void Metrics(std::string_view kind, std::span<const Count> counts);

 private:
  struct Bound {
    TimePoint from{};
    std::int64_t lines = 0;
    std::uint64_t suppressed = 0;
  };
  void Write(std::string_view kind, std::string_view text, std::span<const Count> counts);

  std::string name_;
  Tuning::LogLines tuning_;
  const Clock& clock_;
  spdlog::logger out_;
  std::map<std::string, Bound, std::less<>> bounds_;
};

}  // namespace peatbend::net

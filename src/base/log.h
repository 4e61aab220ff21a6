// Log lines on standard error: `peatbend NAME: KIND: text`. Each kind may write so many lines in ten seconds;
// what is beyond is counted, and the count told with the next line of that kind.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace peatbend::net {

class Log {
 public:
  Log(std::string name, const Clock& clock) : name_(std::move(name)), clock_(clock) {}
  void Line(std::string_view kind, std::string_view text);

 private:
  struct Bound {
    TimePoint from{};
    int lines = 0;
    unsigned long held_back = 0;
  };
  std::string name_;
  const Clock& clock_;
  std::map<std::string, Bound, std::less<>> bounds_;
};

}  // namespace peatbend::net

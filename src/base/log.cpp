#include "base/log.h"

#include <cstdio>

namespace peatbend::net {
namespace {
constexpr int kLinesOfAKind = 20;
constexpr auto kBoundTime = std::chrono::seconds(10);
}  // namespace

void Log::Line(std::string_view kind, std::string_view text) {
  Bound& bound = bounds_.try_emplace(std::string(kind)).first->second;
  TimePoint now = clock_.Now();
  if (now - bound.from >= kBoundTime) {
    bound.from = now;
    bound.lines = 0;
  }
  if (++bound.lines > kLinesOfAKind) {
    ++bound.held_back;
    return;
  }
  std::string line = "peatbend " + name_ + ": ";
  line.append(kind).append(": ").append(text);
  if (bound.held_back > 0) line += " (" + std::to_string(bound.held_back) + " lines of this kind held back)";
  bound.held_back = 0;
  for (char& c : line) {
    if (static_cast<unsigned char>(c) < ' ') c = ' ';  // what a stranger sent must not forge a line
  }
  line += '\n';
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace peatbend::net

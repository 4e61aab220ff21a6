#include "protocol/facts.h"

#include <algorithm>

namespace peatbend::net {
namespace {

// Calls `each` with the name, the value and the offset of every name=value part.
template <typename F>
void ForEachFact(std::string_view facts, F each) {
  for (std::size_t at = 0; at < facts.size();) {
    std::size_t end = std::min(facts.find(',', at), facts.size());
    std::string_view part = facts.substr(at, end - at);
    std::size_t equals = std::min(part.find('='), part.size());
    each(part.substr(0, equals), part.substr(std::min(equals + 1, part.size())), at);
    at = end + 1;
  }
}

}  // namespace

bool FindFact(std::string_view facts, std::string_view name, std::string_view& value) {
  bool found = false;
  ForEachFact(facts, [&](std::string_view fact_name, std::string_view fact_value, std::size_t) {
    if (fact_name != name || found) return;
    value = fact_value;
    found = true;
  });
  return found;
}

std::string WithRemainingTime(std::string_view facts, Duration remaining) {
  auto ms =
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count());
  std::string text, number = std::to_string(ms);
  std::string_view old;
  if (!FindFact(facts, "d", old))
    return text.append(facts).append(facts.empty() ? "d=" : ",d=").append(number);
  auto at = static_cast<std::size_t>(old.data() - facts.data());
  return text.append(facts.substr(0, at)).append(number).append(facts.substr(at + old.size()));
}

}  // namespace peatbend::net

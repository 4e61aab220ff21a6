// Parsing of numbers and separated fields.
#pragma once

#include <charconv>
#include <cmath>
#include <string_view>
#include <type_traits>

namespace peatbend {

// Parses the whole text as one number. Returns false, with `value` unspecified, unless the number is finite
// and in the range of its type.
template <typename T>
bool ParseNumber(std::string_view text, T& value, int base = 10) {
  const char* end = text.data() + text.size();
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), end, value);
    if (result.ec == std::errc() && !std::isfinite(value)) return false;
  } else {
    result = std::from_chars(text.data(), end, value, base);
  }
  return result.ec == std::errc() && result.ptr == end && !text.empty();
}

// Returns the text before the next `separator`, or all of it, and removes it and the separator from `text`.
inline std::string_view NextField(std::string_view& text, char separator) {
  std::size_t end = text.find(separator);
  std::string_view field = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return field;
}

}  // namespace peatbend

// Reading numbers and parts out of text.
#pragma once

#include <charconv>
#include <cmath>
#include <string_view>
#include <type_traits>

namespace peatbend {

// Whether the whole text is one number, finite and in range.
template <typename T>
bool ParseNumber(std::string_view text, T& value, int base = 10) {
  const char* end = text.data() + text.size();
  std::from_chars_result got{};
  if constexpr (std::is_floating_point_v<T>) {
    got = std::from_chars(text.data(), end, value);
    if (got.ec == std::errc() && !std::isfinite(value)) return false;
  } else {
    got = std::from_chars(text.data(), end, value, base);
  }
  return got.ec == std::errc() && got.ptr == end && !text.empty();
}

// Takes what stands before the next `separator` off the front of `text`.
inline std::string_view Cut(std::string_view& text, char separator) {
  std::size_t at = text.find(separator);
  std::string_view head = text.substr(0, at);
  text.remove_prefix(at == std::string_view::npos ? text.size() : at + 1);
  return head;
}

}  // namespace peatbend

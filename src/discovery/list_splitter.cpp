#include "discovery/list_splitter.h"

#include <utility>

namespace peatbend::net {

ListSplitter::Found ListSplitter::Next(std::string_view& text) {
  if (!error_.empty()) return Found::kBad;
  if (depth_ == 0) {
    if (Found found = Between(text); found != Found::kNothing) return found;
  }
  return text.empty() ? Found::kNothing : Within(text);
}

std::string ListSplitter::TakeList() { return std::exchange(list_, {}); }

// Up to a list's first brace, which stays.
ListSplitter::Found ListSplitter::Between(std::string_view& text) {
  while (!text.empty() && text.front() != '{') {
    char c = text.front();
    if (c != ' ' && c != '\t' && c != '\r' && c != '\n') {
      error_ = c == '}' ? "a closing brace too many" : "text outside of a list";
      return Found::kBad;
    }
    text.remove_prefix(1);
    if (c == '\n' && !std::exchange(after_list_, false)) return Found::kHeartbeat;
  }
  return Found::kNothing;
}

ListSplitter::Found ListSplitter::Within(std::string_view& text) {
  std::size_t size = 0;
  bool whole = false;
  while (!whole && size < text.size()) whole = Ends(text[size++]);
  if (list_.size() + size > most_) {
    list_ = {};
    error_ = "a list over " + std::to_string(most_ / 1024) + " KiB (discovery.list_kb)";
    return Found::kBad;
  }
  list_.append(text.substr(0, size));
  text.remove_prefix(size);
  if (whole) after_list_ = true;
  return whole ? Found::kList : Found::kNothing;
}

bool ListSplitter::Ends(char c) {
  if (in_string_) {
    if (escaped_) {
      escaped_ = false;
    } else if (c == '\\') {
      escaped_ = true;
    } else if (c == '"') {
      in_string_ = false;
    }
    return false;
  }
  if (c == '"') in_string_ = true;
  if (c == '{') ++depth_;
  return c == '}' && --depth_ == 0;
}

}  // namespace peatbend::net

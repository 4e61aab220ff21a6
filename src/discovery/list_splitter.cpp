#include "discovery/list_splitter.h"

#include <utility>

namespace peatbend::net {

ListSplitter::Result ListSplitter::Next(std::string_view& text) {
  if (!error_.empty()) return Result::kMalformed;
  if (depth_ == 0) {
    if (Result result = ScanGap(text); result != Result::kIncomplete) return result;
  }
  return text.empty() ? Result::kIncomplete : ScanList(text);
}

std::string ListSplitter::TakeList() { return std::exchange(list_, {}); }

// Scans the text between lists, up to but excluding the opening brace.
ListSplitter::Result ListSplitter::ScanGap(std::string_view& text) {
  while (!text.empty() && text.front() != '{') {
    char c = text.front();
    if (c != ' ' && c != '\t' && c != '\r' && c != '\n') {
      error_ = c == '}' ? "unbalanced closing brace" : "unexpected text outside a list";
      return Result::kMalformed;
    }
    text.remove_prefix(1);
    if (c == '\n' && !std::exchange(after_list_, false)) return Result::kHeartbeat;
  }
  return Result::kIncomplete;
}

ListSplitter::Result ListSplitter::ScanList(std::string_view& text) {
  std::size_t size = 0;
  bool complete = false;
  while (!complete && size < text.size()) complete = EndsList(text[size++]);
  if (list_.size() + size > max_bytes_) {
    list_ = {};
    error_ = "list is larger than " + std::to_string(max_bytes_ / 1024) + " KiB (discovery.list_kb)";
    return Result::kMalformed;
  }
  list_.append(text.substr(0, size));
  text.remove_prefix(size);
  if (complete) after_list_ = true;
  return complete ? Result::kList : Result::kIncomplete;
}

bool ListSplitter::EndsList(char c) {
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

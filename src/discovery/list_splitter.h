// Splits the byte stream of a discovery watch into lists. A list is a JSON object on any number of lines; the
// JSON parser checks the rest. Incremental: scans each byte once, however small the parts are that it gets.
// Performs no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace peatbend::net {

class ListSplitter {
 public:
  enum class Result { kIncomplete, kHeartbeat, kList, kMalformed };
  // `max_bytes`: limit for one list.
  explicit ListSplitter(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Consumes `text` up to the end of the first list or heartbeat, or all of it. A heartbeat is a blank line
  // outside a list; the rest of the line on which a list ended does not count as one.
  Result Next(std::string_view& text);

  // After kList: moves that list out, from its first brace to its last.
  std::string TakeList();
  // Bytes received of an incomplete list; 0 between lists.
  std::size_t partial_bytes() const { return depth_ > 0 ? list_.size() : 0; }
  // The reason for kMalformed, which is permanent.
  const std::string& error() const { return error_; }

 private:
  Result ScanGap(std::string_view& text);
  Result ScanList(std::string_view& text);
  bool EndsList(char c);  // whether `c` closes the list

  std::size_t max_bytes_;
  std::string list_, error_;
  std::size_t depth_ = 0;  // open braces outside strings
  bool in_string_ = false, escaped_ = false;
  bool after_list_ = false;  // on the line where a list ended
};

}  // namespace peatbend::net

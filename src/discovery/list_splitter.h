// Where each of discovery's lists begins and ends in the bytes of a watch. A list is a JSON object on any
// number of lines; what else it must be is the JSON parser's to say. Keeps its state between pieces: each
// byte is looked at once, however small the pieces are. No I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace peatbend::net {

class ListSplitter {
 public:
  enum class Found { kNothing, kHeartbeat, kList, kBad };
  // `most`: bytes that one list may have.
  explicit ListSplitter(std::size_t most) : most_(most) {}

  // Takes from the front of `text` up to the first thing found, or all of it. A heartbeat is a line of no or
  // white space only, outside of a list; the rest of the line on which a list ended is none.
  Found Next(std::string_view& text);

  // After kList: that list, from its first brace to its last. The caller's, once.
  std::string TakeList();
  // Bytes that have come of a list that is not whole; 0 between lists.
  std::size_t begun() const { return depth_ > 0 ? list_.size() : 0; }
  // After kBad, which is for good: what was wrong.
  const std::string& error() const { return error_; }

 private:
  Found Between(std::string_view& text);
  Found Within(std::string_view& text);
  bool Ends(char c);  // the list, with this character of it

  std::size_t most_;
  std::string list_, error_;
  std::size_t depth_ = 0;  // braces open outside of strings
  bool in_string_ = false, escaped_ = false;
  bool after_list_ = false;  // on the line on which a list ended
};

}  // namespace peatbend::net

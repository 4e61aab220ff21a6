// Many reads at once on one connection, and the answers that they get.
#pragma once

#include <string>
#include <string_view>

#include "net/stage.h"

namespace peatbend::net::test {

// Reads of the keys from `first` on, which have five figures.
inline std::string FloodOf(int commands, int first = 10000) {
  std::string text;
  for (int i = 0; i < commands; ++i) text += Get(std::to_string(first + i), "c=read,d=2000");
  return text;
}

// Answers each whole read with its own key, as they come.
inline void AnswerWithKey(End& end) {
  const std::string before = "OBJ.GET\r\n$5\r\n";
  for (std::size_t at; (at = end.got.find(before)) != std::string::npos;) {
    std::size_t key = at + before.size();
    std::size_t facts = end.got.find("c=read", key);
    std::size_t whole = facts == std::string::npos ? facts : end.got.find("\r\n", facts);
    if (whole == std::string::npos) return;
    end.Say(Value(end.got.substr(key, 5)));
    end.got.erase(0, whole);
  }
}

// How many answers stand at the front of `text`, each the value of its own command's key or a refusal.
inline int AnswersInOrder(std::string_view text) {
  for (int count = 0;; ++count) {
    std::string value = Bulk(std::to_string(10000 + count));
    bool refused = text.starts_with("-BUSY");
    if (!refused && !text.starts_with(value)) return count;
    text.remove_prefix(refused ? text.find('\n') + 1 : value.size());
  }
}

}  // namespace peatbend::net::test

// The answers that a connection has carried, so that a second copy of one is not taken for another request's.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend::net {

// RESP and HTTP name no request in an answer: a server that writes an answer again, late, answers whatever is
// asked next on the connection. Answers are remembered by a hash of their content.
class AnswerHistory {
 public:
  struct Answer {
    std::uint64_t fingerprint, key;  // of its content, and of the key that was asked for
    TimePoint at;
  };
  bool empty() const { return answers_.empty(); }
  // The latest answer with this content that a copy may still come of.
  std::optional<Answer> WithContent(std::uint64_t fingerprint, TimePoint now) const {
    return Find(now, [fingerprint](const Answer& answer) { return answer.fingerprint == fingerprint; });
  }
  // The latest answer for the key.
  std::optional<Answer> ForKey(std::uint64_t key, TimePoint now) const {
    return Find(now, [key](const Answer& answer) { return answer.key == key; });
  }
  void Add(const Answer& answer) {
    std::erase_if(answers_,
                  [&answer](const Answer& earlier) { return answer.at - earlier.at >= kCopyWithin; });
    answers_.push_back(answer);
  }
  // No further answer can be remembered, so that none may come on the connection.
  bool full() const { return answers_.size() >= kMostAnswers; }

 private:
  static constexpr std::size_t kMostAnswers = 256;
  static constexpr std::chrono::seconds kCopyWithin{30};  // after the answer
  template <typename Matches>
  std::optional<Answer> Find(TimePoint now, Matches matches) const {
    auto at = std::find_if(answers_.rbegin(), answers_.rend(), [&](const Answer& answer) {
      return matches(answer) && now - answer.at < kCopyWithin;
    });
    return at == answers_.rend() ? std::nullopt : std::optional(*at);
  }
  std::vector<Answer> answers_;
};

}  // namespace peatbend::net

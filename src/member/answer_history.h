// The answers that a connection has carried, so that a second copy of one is not taken for another request's.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend::net {

// RESP and HTTP name no request in an answer: a server that writes an answer again, late, answers whatever is
// asked next on the connection. Answers are remembered by a hash of their content.
class AnswerHistory {
 public:
  bool Contains(std::uint64_t fingerprint, TimePoint now) const {
    return std::ranges::any_of(answers_, [&](const Answer& answer) {
      return answer.fingerprint == fingerprint && now - answer.at < kCopyWithin;
    });
  }
  void Add(std::uint64_t fingerprint, TimePoint now) {
    std::erase_if(answers_, [now](const Answer& answer) { return now - answer.at >= kCopyWithin; });
    answers_.push_back({fingerprint, now});
  }
  // No further answer can be remembered, so that none may come on the connection.
  bool full() const { return answers_.size() >= kMostAnswers; }

 private:
  static constexpr std::size_t kMostAnswers = 256;
  static constexpr std::chrono::seconds kCopyWithin{30};  // after the answer
  struct Answer {
    std::uint64_t fingerprint;
    TimePoint at;
  };
  std::vector<Answer> answers_;
};

}  // namespace peatbend::net

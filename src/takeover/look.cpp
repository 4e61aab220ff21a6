#include "takeover/look.h"

#include <algorithm>
#include <tuple>

namespace peatbend::takeover {

void Look::Ask(std::vector<Claim::Out>& out) {
  ++round_;
  seen_ = {};
  Message message;
  message.kind = Kind::kLook;
  message.work = work_;
  message.ballot = {round_, author_};
  for (std::size_t seat = 0; seat < kSeats; ++seat) out.push_back({seat, message});
}

bool Look::Waits(std::size_t seat, const Message& answer) const {
  return seat < kSeats && !seen_[seat] && answer.kind == Kind::kSeen && answer.work == work_ &&
         answer.ballot == Ballot{round_, author_};
}

void Look::Take(std::size_t seat, const Message& answer) {
  if (Waits(seat, answer)) seen_[seat] = answer;
}

const State* Look::End() const {
  for (std::size_t one = 0; one < kSeats; ++one) {
    for (std::size_t other = one + 1; other < kSeats; ++other) {
      if (!seen_[one] || !seen_[other] || !seen_[one]->state.final() || !seen_[other]->state.final())
        continue;
      if (seen_[one]->copied || seen_[other]->copied || seen_[one]->kept != seen_[other]->kept) continue;
      if (Agree(one, seen_[one]->lives, other, seen_[other]->lives)) return &seen_[one]->state;
    }
  }
  return nullptr;
}

const Message* Look::Highest() const {
  const Message* highest = nullptr;
  for (const auto& seen : seen_) {
    if (!seen || seen->version == 0) continue;
    if (highest == nullptr || std::tie(seen->kept, seen->version) > std::tie(highest->kept, highest->version))
      highest = &*seen;
  }
  return highest;
}

std::optional<Author> Look::Owner() const {
  const Message* highest = Highest();
  if (highest == nullptr) return std::nullopt;
  return highest->kept.author;
}

bool Look::LetGo() const {
  const Message* highest = Highest();
  return highest != nullptr && highest->state.let_go;
}

bool Look::Free() const {
  auto told = std::ranges::count_if(seen_, [](const auto& seen) { return seen.has_value(); });
  bool held = std::ranges::any_of(seen_, [](const auto& seen) {
    return seen && seen->version > 0 && seen->state.end != takeover::End::kRejected;
  });
  return told >= static_cast<long>(kMajority) && !held;
}

}  // namespace peatbend::takeover

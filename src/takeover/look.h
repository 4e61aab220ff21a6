// Looks at a record without taking part: asks nobody for a promise, so it hinders nobody. For who waits for
// work that another has in hand.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "takeover/claim.h"

namespace peatbend::takeover {

class Look {
 public:
  // `author` tells one look from another: of one process, no two have the same.
  Look(std::string work, Author author) : work_(std::move(work)), author_(std::move(author)) {}

  // Asks all seats; what they said before is forgotten.
  void Ask(std::vector<Claim::Out>& out);
  void Take(std::size_t seat, const Message& answer);
  bool Waits(std::size_t seat, const Message& answer) const;

  // The end, if it stands: two seats keep one that is final, under one ballot. Such a state is never
  // replaced.
  const State* End() const;
  // Whose work it is, as far as two seats have told; nothing where they know of none, or have not told.
  std::optional<Author> Owner() const;
  bool LetGo() const;  // by that owner
  // Two seats have told, and neither knows of such work, or it was rejected: it may be begun anew.
  bool Free() const;

 private:
  const Message* Highest() const;

  std::string work_;
  Author author_;
  std::uint64_t round_ = 0;  // of asking
  std::array<std::optional<Message>, kSeats> seen_;
};

}  // namespace peatbend::takeover

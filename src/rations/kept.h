// A shard that this process keeps, or tries to keep: its go, its buckets, and who has drawn what. Draws are
// gathered until a turn, reckoned together, and answered once the fence has confirmed it. Free of I/O and
// clocks; one owner, one thread.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rations/fence.h"
#include "rations/keeper.h"

namespace peatbend::rations {

class Kept {
 public:
  Kept(std::uint32_t shard, Go go, Time now, std::vector<Fence::To>& out)
      : shard_(shard), asked_at(now), said_at(now), fence(shard, std::move(go), out) {}

  // `table` outlives it. After Fence::Begin; or another book, and then all that was of the former is void.
  void SetTable(const QuotaTable& table, KeeperLimits limits, Time now, std::int64_t unix_s);
  // Gathers it; one that was answered already is answered alike. One that came before another is nothing.
  std::optional<Message> Draw(Time now, const std::string& from, const Message& draw);
  // Reckons what was gathered, and asks for the confirmation. So many tokens were given.
  std::uint64_t Turn(Time now, std::int64_t unix_s, unsigned signs, std::vector<Fence::To>& out);
  // The answers that are confirmed, and were not yet when it was called last.
  std::vector<Out> Confirmed();

  struct Gathered {
    Message draw;
    std::vector<std::string> from;  // its own router, and others that carried it
  };
  const std::map<std::uint64_t, Gathered>& gathered() const { return gathered_; }
  bool keeping() const { return keeper_ && fence.phase() == Fence::Phase::kKeeping; }
  std::optional<Time> waiting() const;  // for a confirmation, since
  Keeper* keeper() { return keeper_ ? &*keeper_ : nullptr; }
  const Keeper* keeper() const { return keeper_ ? &*keeper_ : nullptr; }
  // Who has drawn what, as bytes, for tests; without the fence and the buckets.
  void Put(std::string& into) const;

 private:
  struct Drawer {
    std::uint64_t number = 0;   // of the last draw that was reckoned
    std::uint64_t confirm = 0;  // after which its answer may be told
    Message answer;
    std::vector<std::string> to;
    bool told = false;
    Time at{};
  };
  struct Batch {
    std::uint64_t confirm;
    Time at;
    std::vector<std::uint64_t> drawers;
  };
  Drawer& Find(Time now, std::uint64_t drawer);

  std::uint32_t shard_;
  const QuotaTable* table_ = nullptr;
  std::size_t most_drawers_ = 0;
  std::optional<Keeper> keeper_;
  std::map<std::uint64_t, Drawer> drawers_;  // by its process's nonce
  std::map<std::uint64_t, Gathered> gathered_;
  std::deque<Batch> batches_;  // not confirmed yet

 public:
  Time asked_at, said_at;      // the go; the last question
  Time turn_at = Time::max();  // the caller may set it later, so that more are gathered
  Fence fence;
};

}  // namespace peatbend::rations

// The Maglev table: which server a key belongs to.
#include "module/balancer_impl.h"

namespace peatbend {

// Of the fill: turns a round of a server in this proxy's zone, where a far one has one. Each crossing has its
// price; a far server keeps a part, so that the zone's share of the traffic need not fit into its own
// servers. A server listed with the mean weight has kTurns, one with more or less its part, kMostParts times
// at most.
constexpr int kNearTurns = 4, kTurns = 4, kMostParts = 4;

static std::uint64_t HashId(std::string_view id, std::uint64_t salt) {  // FNV-1a, then mixed
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ salt;
  for (unsigned char c : id) hash = (hash ^ c) * 0x100000001b3ULL;
  return Mix(hash);
}

std::vector<std::uint16_t> BuildMaglevTable(std::span<const std::string_view> sorted_ids,
                                            std::span<const int> turns) {
  if (sorted_ids.empty()) return {};
  constexpr std::uint16_t kEmpty = 0xffff;
  std::vector<std::uint16_t> table(kTableSize, kEmpty);
  std::vector<std::uint32_t> at, skip;
  for (std::string_view id : sorted_ids) {
    at.push_back(static_cast<std::uint32_t>(HashId(id, 1) % kTableSize));
    skip.push_back(static_cast<std::uint32_t>(HashId(id, 2) % (kTableSize - 1)) + 1);
  }
  for (std::uint32_t filled = 0; filled < kTableSize;) {
    for (std::size_t i = 0; i < at.size(); ++i) {
      for (int turn = turns.empty() ? 1 : turns[i]; turn > 0 && filled < kTableSize; --turn, ++filled) {
        while (table[at[i]] != kEmpty) {
          at[i] += skip[i];
          if (at[i] >= kTableSize) at[i] -= kTableSize;
        }
        table[at[i]] = static_cast<std::uint16_t>(i);
      }
    }
  }
  return table;
}

// Rebuilt when the membership has changed and a request needs it. Not later, though a moment may bring many
// changes: the place of a server that has gone may be another's by then.
void Balancer::Impl::RefreshTable() {
  if (!stale_) return;
  stale_ = false;
  ready_.clear();
  origin_ = -1;
  for (const auto& [id, index] : by_id_) {  // sorted by id
    if (servers_[index].state != ServerState::kReady) continue;
    if (!servers_[index].origin) ready_.push_back(index);
    if (servers_[index].origin && origin_ < 0) origin_ = index;
  }
  ++tables_built_;
  std::vector<std::string_view> ids;
  std::vector<int> turns;
  double mean = 0;
  for (int index : ready_) mean += servers_[index].weight / Ready();
  for (int index : ready_) {
    const Server& server = servers_[index];
    double part = mean > 0 ? server.weight / mean : 1;
    double most = kTurns * (server.zone == set_.zone ? kNearTurns : 1);
    ids.push_back(server.id);
    turns.push_back(static_cast<int>(std::clamp(std::round(part * most), 1.0, kMostParts * most)));
  }
  table_ = BuildMaglevTable(ids, turns);
  for (std::uint16_t& slot : table_) slot = static_cast<std::uint16_t>(ready_[slot]);
}

}  // namespace peatbend

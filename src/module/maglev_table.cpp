// The Maglev table, which assigns keys to servers (Eisenbud et al., NSDI 2016), with weights.
#include "module/balancer_impl.h"

namespace peatbend {

// Slots that a server claims per round of the fill. A server of mean weight claims kSlotsPerRound, others in
// proportion, up to kMaxWeightRatio times as many; servers in this router's zone claim kLocalZoneFactor times
// as many, since traffic between zones has a price. Far servers keep a part, so that a zone whose traffic
// exceeds its own servers still works.
constexpr int kLocalZoneFactor = 4, kSlotsPerRound = 4, kMaxWeightRatio = 4;

static std::uint64_t HashServerId(std::string_view id, std::uint64_t salt) {  // FNV-1a, then MixBits
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ salt;
  for (unsigned char c : id) hash = (hash ^ c) * 0x100000001b3ULL;
  return MixBits(hash);
}

std::vector<std::uint16_t> BuildMaglevTable(std::span<const std::string_view> sorted_ids,
                                            std::span<const int> slots_per_round) {
  if (sorted_ids.empty()) return {};
  constexpr std::uint16_t kEmpty = 0xffff;
  std::vector<std::uint16_t> table(kTableSize, kEmpty);
  std::vector<std::uint32_t> next, skip;
  for (std::string_view id : sorted_ids) {
    next.push_back(static_cast<std::uint32_t>(HashServerId(id, 1) % kTableSize));
    skip.push_back(static_cast<std::uint32_t>(HashServerId(id, 2) % (kTableSize - 1)) + 1);
  }
  for (std::uint32_t filled = 0; filled < kTableSize;) {
    for (std::size_t i = 0; i < next.size(); ++i) {
      for (int claims = slots_per_round.empty() ? 1 : slots_per_round[i]; claims > 0 && filled < kTableSize;
           --claims, ++filled) {
        while (table[next[i]] != kEmpty) {
          next[i] += skip[i];
          if (next[i] >= kTableSize) next[i] -= kTableSize;
        }
        table[next[i]] = static_cast<std::uint16_t>(i);
      }
    }
  }
  return table;
}

// Rebuilds the table if the membership has changed, when a request needs it. It must not be deferred further:
// the entry of a removed server in servers_ may be reused.
void Balancer::Impl::RefreshTable() {
  if (!table_stale_) return;
  table_stale_ = false;
  ready_caches_.clear();
  origin_index_ = -1;
  for (const auto& [id, index] : by_id_) {  // sorted by id
    if (servers_[index].state != ServerState::kReady) continue;
    if (!servers_[index].origin) ready_caches_.push_back(index);
    if (servers_[index].origin && origin_index_ < 0) origin_index_ = index;
  }
  ++tables_built_;
  std::vector<std::string_view> ids;
  std::vector<int> slots_per_round;
  double mean = 0;
  for (int index : ready_caches_) mean += servers_[index].weight / ReadyServers();
  for (int index : ready_caches_) {
    const Server& server = servers_[index];
    double relative_weight = mean > 0 ? server.weight / mean : 1;
    double slots = kSlotsPerRound * (server.zone == settings_.zone ? kLocalZoneFactor : 1);
    ids.push_back(server.id);
    slots_per_round.push_back(
        static_cast<int>(std::clamp(std::round(relative_weight * slots), 1.0, kMaxWeightRatio * slots)));
  }
  table_ = BuildMaglevTable(ids, slots_per_round);
  for (std::uint16_t& slot : table_) slot = static_cast<std::uint16_t>(ready_caches_[slot]);
}

}  // namespace peatbend

// Properties of the Maglev table: its size, even and weighted fill, and few moved slots after a removal.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "peatbend/balancer.h"

namespace peatbend {
namespace {

std::vector<std::string> ServerNames(int count) {
  std::vector<std::string> names;
  for (int i = 0; i < count; ++i) names.push_back("node." + std::to_string(1000 + i * 37));
  std::sort(names.begin(), names.end());
  return names;
}
std::vector<std::uint16_t> Build(const std::vector<std::string>& names) {
  std::vector<std::string_view> views(names.begin(), names.end());
  return BuildMaglevTable(views);
}

TEST(MaglevTable, SizeIsPrimeAndEverySlotFilledEvenly) {
  for (int count : {1, 2, 3, 12, 47, 130, 160}) {
    auto table = Build(ServerNames(count));
    for (std::size_t d = 2; d * d <= table.size(); ++d) ASSERT_NE(table.size() % d, 0u);
    std::vector<int> slots(count, 0);
    for (std::uint16_t owner : table) {
      ASSERT_LT(owner, count);
      ++slots[owner];
    }
    auto [low, high] = std::minmax_element(slots.begin(), slots.end());
    EXPECT_LE(*high - *low, 1) << count;
    EXPECT_GE(table.size(), 100u * static_cast<unsigned>(count));
  }
}

TEST(MaglevTable, WeightedFillIsProportionalAndMovesLittleOnARemoval) {
  auto names = ServerNames(8);
  std::vector<int> slots_per_round{4, 1, 4, 1, 4, 1, 4, 1};
  auto build = [&] {
    std::vector<std::string_view> views(names.begin(), names.end());
    return BuildMaglevTable(views, slots_per_round);
  };
  auto before = build(), kept = before;
  std::vector<int> slots(8, 0);
  for (std::uint16_t owner : before) ++slots[owner];
  for (int i = 0; i < 8; ++i)
    EXPECT_NEAR(slots[i], static_cast<int>(before.size()) * slots_per_round[i] / 20, 5) << i;
  auto names_before = names;
  names.erase(names.begin() + 3);
  slots_per_round.erase(slots_per_round.begin() + 3);
  auto after = build();
  std::size_t moved = 0;
  for (std::size_t slot = 0; slot < before.size(); ++slot) {
    if (before[slot] != 3 && names_before[before[slot]] != names[after[slot]]) ++moved;
  }
  EXPECT_LT(moved, before.size() / 10);
}

TEST(MaglevTable, NoServersGiveAnEmptyTable) { EXPECT_TRUE(Build({}).empty()); }

TEST(MaglevTable, RemovalMovesLittleBeyondTheLostShare) {
  auto names = ServerNames(12);
  auto before = Build(names);
  auto fewer = names;
  fewer.erase(fewer.begin() + 5);
  auto after = Build(fewer);
  std::size_t moved = 0;
  for (std::size_t slot = 0; slot < before.size(); ++slot) {
    if (before[slot] != 5 && names[before[slot]] != fewer[after[slot]]) ++moved;
  }
  EXPECT_LT(moved, before.size() / 10);
}

}  // namespace
}  // namespace peatbend

// All that routers do for rations together, in all orders of what can happen, while the book changes.
#include <gtest/gtest.h>

#include <iostream>

#include "orders/office_town.h"

namespace peatbend::orders {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMost = 1'000;
#else
constexpr std::size_t kMost = 30'000;
#endif

void HoldsIn(const std::string& name, const OfficeSetup& setup) {
  const OfficeTown start(setup);
  std::size_t admitted = 0;
  std::string broken, way;
  ExplorationSummary sample = ExploreFromSeveralSeeds(
      kMost,
      [&](std::uint64_t seed, std::size_t most, FingerprintSet& distinct) {
        std::size_t states =
            ExploreModel(start, most, seed, broken, way, [&](const OfficeTown& town, std::uint64_t print) {
              distinct.Insert(print);
              admitted += town.admitted() > 0 ? 1 : 0;
            });
        return broken.empty() ? std::optional(states) : std::nullopt;
      },
      120);
  std::cout << name << ": " << sample.Text() << ", " << admitted << " with some admitted" << std::endl;
  EXPECT_EQ(broken, "") << way;
  EXPECT_TRUE(kMost < 10'000 || admitted > 0);
}

TEST(Office, OneBook) { HoldsIn("one book", {.next = NextBook::kNone, .requests = 3, .prompt = true}); }
TEST(Office, TheBookChangesAndTheRationStays) {
  HoldsIn("the ration stays", {.requests = 3, .twice = 1, .kept = true, .prompt = true});
}
TEST(Office, TheBookChangesAndAnotherRationStandsInItsPlace) {
  HoldsIn("another in its place",
          {.next = NextBook::kOther, .books = 1, .requests = 3, .kept = true, .prompt = true});
}
TEST(Office, TheBookChangesBeforeAnybodyKeeps) {
  HoldsIn("before anybody keeps",
          {.next = NextBook::kOther, .books = 1, .requests = 2, .ticks = 1, .prompt = true});
}
TEST(Office, TheBookChangesAndARouterIsStartedAgain) {
  HoldsIn("started again", {.requests = 3, .deaths = 1, .starts = 1, .kept = true});
}

// One schedule of these, too rare to be met by chance: draws of the former book wait for a go to begin, and
// its router takes the next book meanwhile.
TEST(Office, DrawsThatWaitForAGoAreNotReckonedByAnotherBook) {
  using What = OfficeTown::Event::What;
  OfficeTown town({.next = NextBook::kOther, .ticks = 1});
  auto happens = [&](What what, std::size_t who) {
    for (const OfficeTown::Event& event : town.Events()) {
      if (event.what != what || event.who != who) continue;
      town = town.After(event);
      return;
    }
  };
  auto heard = [&](rations::MessageKind kind) {
    for (bool some = true; some;) {
      some = false;
      for (const OfficeTown::Event& event : town.Events()) {
        if (event.what != What::kHears || event.parcel->message.kind != kind) continue;
        town = town.After(event);
        some = true;
        break;
      }
    }
  };
  std::size_t keeper = OfficeTown::kRouters;
  for (std::size_t r = 0; r < OfficeTown::kRouters; ++r) {
    happens(What::kRequest, r);
    happens(What::kTurns, r);
    for (const OfficeTown::Event& event : town.Events())
      if (event.parcel && event.parcel->message.kind == rations::MessageKind::kDraw)
        keeper = event.parcel->to;
  }
  ASSERT_LT(keeper, OfficeTown::kRouters);
  heard(rations::MessageKind::kDraw);
  happens(What::kBook, keeper);
  heard(rations::MessageKind::kAsk);
  heard(rations::MessageKind::kPromise);
  happens(What::kTick, 0);
  happens(What::kTurns, keeper);
  heard(rations::MessageKind::kConfirm);
  heard(rations::MessageKind::kConfirmed);
  heard(rations::MessageKind::kGrant);
  for (std::size_t r = 0; r < OfficeTown::kRouters; ++r) happens(What::kRequest, r);
  EXPECT_EQ(town.now(), 1);
  EXPECT_EQ(town.broken(), "") << town.admitted() << " admitted in tick 1";
}

}  // namespace
}  // namespace peatbend::orders

// Quota managers in all interleavings of their events, while the quota configuration changes.
#include "orders/quota_manager_model.h"

#include <gtest/gtest.h>

#include <iostream>

namespace peatbend::orders {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t kMaxStates = 1'000;
#else
constexpr std::size_t kMaxStates = 30'000;
#endif

void ExpectBounds(const std::string& name, const QuotaManagerModelSetup& setup) {
  const QuotaManagerModel start(setup);
  std::size_t admitted = 0;
  std::string broken, path;
  ExplorationSummary sample = ExploreFromSeveralSeeds(
      kMaxStates,
      [&](std::uint64_t seed, std::size_t max_states, FingerprintSet& distinct) {
        std::size_t states = ExploreModel(start, max_states, seed, broken, path,
                                          [&](const QuotaManagerModel& model, std::uint64_t fingerprint) {
                                            distinct.Insert(fingerprint);
                                            admitted += model.admitted() > 0 ? 1 : 0;
                                          });
        return broken.empty() ? std::optional(states) : std::nullopt;
      },
      120);
  std::cout << name << ": " << sample.Text() << ", " << admitted << " with some admitted" << std::endl;
  EXPECT_EQ(broken, "") << path;
  EXPECT_TRUE(kMaxStates < 10'000 || admitted > 0);
}

TEST(QuotaManagerModel, OneConfiguration) {
  ExpectBounds("one configuration", {.next = NextConfig::kNone, .requests = 3, .prompt = true});
}
TEST(QuotaManagerModel, NextConfigurationHasTheSameQuota) {
  ExpectBounds("the same quota", {.requests = 3, .duplicates = 1, .owned = true, .prompt = true});
}
TEST(QuotaManagerModel, NextConfigurationHasAnotherQuota) {
  ExpectBounds("another quota in its place",
               {.next = NextConfig::kOther, .switches = 1, .requests = 3, .owned = true, .prompt = true});
}
TEST(QuotaManagerModel, NextConfigurationBeforeThereIsAnOwner) {
  ExpectBounds("before there is an owner",
               {.next = NextConfig::kOther, .switches = 1, .requests = 2, .ticks = 1, .prompt = true});
}
TEST(QuotaManagerModel, NextConfigurationAndARouterRestarts) {
  ExpectBounds("router restarts", {.requests = 3, .deaths = 1, .starts = 1, .owned = true});
}

// A single schedule that random exploration rarely reaches: token requests of the first configuration wait
// for an election, and the router that starts it switches to the next configuration meanwhile.
TEST(QuotaManagerModel, RequestsQueuedDuringAnElectionAreNotGrantedByAnotherConfiguration) {
  using What = QuotaManagerModel::Event::What;
  QuotaManagerModel model({.next = NextConfig::kOther, .ticks = 1});
  auto apply = [&](What what, std::size_t index) {
    for (const QuotaManagerModel::Event& event : model.Events()) {
      if (event.what != what || event.index != index) continue;
      model = model.After(event);
      return;
    }
  };
  auto deliver_all = [&](rations::MessageKind kind) {
    for (bool some = true; some;) {
      some = false;
      for (const QuotaManagerModel::Event& event : model.Events()) {
        if (event.what != What::kDeliver || event.envelope->message.kind != kind) continue;
        model = model.After(event);
        some = true;
        break;
      }
    }
  };
  std::size_t owner = QuotaManagerModel::kRouters;
  for (std::size_t r = 0; r < QuotaManagerModel::kRouters; ++r) {
    apply(What::kRequest, r);
    apply(What::kTimer, r);
    for (const QuotaManagerModel::Event& event : model.Events())
      if (event.envelope && event.envelope->message.kind == rations::MessageKind::kTokenRequest)
        owner = event.envelope->to;
  }
  ASSERT_LT(owner, QuotaManagerModel::kRouters);
  deliver_all(rations::MessageKind::kTokenRequest);
  apply(What::kSwitchConfig, owner);
  deliver_all(rations::MessageKind::kPrepare);
  deliver_all(rations::MessageKind::kPromise);
  apply(What::kTick, 0);
  apply(What::kTimer, owner);
  deliver_all(rations::MessageKind::kConfirm);
  deliver_all(rations::MessageKind::kConfirmed);
  deliver_all(rations::MessageKind::kGrant);
  for (std::size_t r = 0; r < QuotaManagerModel::kRouters; ++r) apply(What::kRequest, r);
  EXPECT_EQ(model.now(), 1);
  EXPECT_EQ(model.broken(), "") << model.admitted() << " admitted in tick 1";
}

}  // namespace
}  // namespace peatbend::orders

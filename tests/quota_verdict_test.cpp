// What the module makes of a request's ration, and of news that bring no change.
#include "harness.h"

namespace peatbend {
namespace {

RequestEvent OfRation(unsigned id, QuotaVerdict allowance, Duration come_back = {}) {
  RequestEvent event;
  event.id = RequestId{id};
  event.key = Key{id};
  event.remaining = 1s;
  event.quota_verdict = allowance;
  event.retry_after = come_back;
  return event;
}

TEST(QuotaVerdict, OverItsRationIsRejectedAtOnceWithTheTimeToComeBack) {
  Settings settings = BasicSettings();
  settings.may_send_retry_after = true;
  settings.max_retry_after = 400ms;
  Proxy proxy(settings);
  proxy.List(Fleet(3));
  auto soon = Only<Reject>(proxy.Take(OfRation(1, QuotaVerdict::kReject, 70ms)));
  ASSERT_EQ(soon.size(), 1u);
  EXPECT_EQ(soon[0].backoff, Duration(70ms));
  EXPECT_EQ(Only<Reject>(proxy.Take(OfRation(2, QuotaVerdict::kReject, 3s)))[0].backoff, Duration(400ms));
  EXPECT_TRUE(Only<Send>(proxy.all).empty());
  EXPECT_NE(SentTo(proxy.Take(OfRation(3, QuotaVerdict::kWithin))), "");
}

TEST(QuotaVerdict, NoTimeIsToldWhereTheDeploymentHasNone) {
  Proxy proxy;
  proxy.List(Fleet(3));
  auto refused = Only<Reject>(proxy.Take(OfRation(1, QuotaVerdict::kReject, 70ms)));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_EQ(refused[0].backoff, Duration::zero());
}

// Both wait for the origin: the one over its ration came first and goes last.
TEST(QuotaVerdict, OverItsRationWaitsBehindWhatIsWithin) {
  Proxy proxy;
  proxy.List(Fleet(2));
  auto write = [](unsigned id, QuotaVerdict allowance) {
    RequestEvent event = OfRation(id, allowance);
    event.cls = kKeyedWrite;
    event.write = true;
    return event;
  };
  unsigned id = 1;
  while (!SentTo(proxy.Take(write(id, QuotaVerdict::kWithin))).empty()) ++id;  // the bound is reached: held
  proxy.Take(write(id + 1, QuotaVerdict::kDeprioritize));
  proxy.Take(write(id + 2, QuotaVerdict::kWithin));
  std::vector<unsigned> order;
  for (unsigned done = 1; done < id; ++done) {
    for (const Send& send : Only<Send>(proxy.Answer(done, Result::kGood, 20ms)))
      order.push_back(static_cast<unsigned>(send.id));
  }
  ASSERT_GE(order.size(), 3u);
  EXPECT_EQ(std::vector<unsigned>(order.begin(), order.begin() + 3), (std::vector{id, id + 2, id + 1}));
}

// A watch that stands and has nothing new is told by news without entries; the table is built on changes
// only.
TEST(Membership, NewsWithoutAChangeBuildNoTable) {
  Proxy proxy;
  proxy.List(Fleet(3));
  proxy.Ask(1, 5);
  EXPECT_EQ(proxy.balancer.tables_built(), 1u);
  proxy.List({}, Scope::kDelta);
  proxy.Ask(2, 6);
  EXPECT_EQ(proxy.balancer.tables_built(), 1u);
  proxy.List({Entry("cache-10", ServerState::kDraining)}, Scope::kDelta);
  proxy.Ask(3, 7);
  EXPECT_EQ(proxy.balancer.tables_built(), 2u);
}

// Once discovery is back the list held counts for `ask_every` more: by then it has been asked.
TEST(Membership, AfterManyFailuresDiscoveryIsStillAskedWithinTheTimeThatTheListCounts) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Settings settings = BasicSettings();
    settings.must_subscribe = true;
    settings.subscribe_interval = 4s;
    Proxy proxy(settings, seed);
    auto timers = Only<SetTimer>(proxy.List(Fleet(3), Scope::kCached));
    proxy.Tick(timers[0].delay);
    for (int failure = 0; failure < 12; ++failure) {
      timers = Only<SetTimer>(proxy.List({}, Scope::kFailed));
      ASSERT_EQ(timers.size(), 1u);
      EXPECT_LE(timers[0].delay, settings.subscribe_interval);
      ASSERT_EQ(Only<Subscribe>(proxy.Tick(timers[0].delay)).size(), 1u);
    }
  }
}

}  // namespace
}  // namespace peatbend

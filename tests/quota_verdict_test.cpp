// Quota verdicts of requests; membership events without changes; subscription backoff.
#include "harness.h"

namespace peatbend {
namespace {

RequestEvent RequestWithVerdict(unsigned id, QuotaVerdict verdict, Duration retry_after = {}) {
  RequestEvent event;
  event.id = RequestId{id};
  event.key = Key{id};
  event.remaining = 1s;
  event.quota_verdict = verdict;
  event.retry_after = retry_after;
  return event;
}

TEST(QuotaVerdict, RejectsAtOnceWithRetryAfter) {
  Settings settings = BasicSettings();
  settings.may_send_retry_after = true;
  settings.max_retry_after = 400ms;
  TestRouter router(settings);
  router.UpdateServers(MakeServerList(3));
  auto rejected = ActionsOf<Reject>(router.Handle(RequestWithVerdict(1, QuotaVerdict::kReject, 70ms)));
  ASSERT_EQ(rejected.size(), 1u);
  EXPECT_EQ(rejected[0].backoff, Duration(70ms));
  EXPECT_EQ(ActionsOf<Reject>(router.Handle(RequestWithVerdict(2, QuotaVerdict::kReject, 3s)))[0].backoff,
            Duration(400ms));
  EXPECT_TRUE(ActionsOf<Send>(router.all_actions).empty());
  EXPECT_NE(SentTo(router.Handle(RequestWithVerdict(3, QuotaVerdict::kWithin))), "");
}

TEST(QuotaVerdict, RejectsWithoutRetryAfterWhereItMayNotBeSent) {
  TestRouter router;
  router.UpdateServers(MakeServerList(3));
  auto rejected = ActionsOf<Reject>(router.Handle(RequestWithVerdict(1, QuotaVerdict::kReject, 70ms)));
  ASSERT_EQ(rejected.size(), 1u);
  EXPECT_EQ(rejected[0].backoff, Duration::zero());
}

// Both requests wait for the origin. The one over its quota arrived first and is sent last.
TEST(QuotaVerdict, OverQuotaIsSentAfterWithinQuota) {
  TestRouter router;
  router.UpdateServers(MakeServerList(2));
  auto write = [](unsigned id, QuotaVerdict verdict) {
    RequestEvent event = RequestWithVerdict(id, verdict);
    event.cls = kKeyedWrite;
    event.write = true;
    return event;
  };
  unsigned id = 1;
  while (!SentTo(router.Handle(write(id, QuotaVerdict::kWithin))).empty())
    ++id;  // until the limit is reached and one waits
  router.Handle(write(id + 1, QuotaVerdict::kDeprioritize));
  router.Handle(write(id + 2, QuotaVerdict::kWithin));
  std::vector<unsigned> order;
  for (unsigned done = 1; done < id; ++done) {
    for (const Send& send : ActionsOf<Send>(router.FinishAttempt(done, Result::kGood, 20ms)))
      order.push_back(static_cast<unsigned>(send.id));
  }
  ASSERT_GE(order.size(), 3u);
  EXPECT_EQ(std::vector<unsigned>(order.begin(), order.begin() + 3), (std::vector{id, id + 2, id + 1}));
}

// An open watch without news sends updates without entries; the table is rebuilt only on changes.
TEST(Membership, UpdateWithoutAChangeBuildsNoTable) {
  TestRouter router;
  router.UpdateServers(MakeServerList(3));
  router.SendRequest(1, 5);
  EXPECT_EQ(router.balancer.tables_built(), 1u);
  router.UpdateServers({}, Scope::kDelta);
  router.SendRequest(2, 6);
  EXPECT_EQ(router.balancer.tables_built(), 1u);
  router.UpdateServers({MakeEntry("cache-10", ServerState::kDraining)}, Scope::kDelta);
  router.SendRequest(3, 7);
  EXPECT_EQ(router.balancer.tables_built(), 2u);
}

// After discovery recovers, the held list counts as current for subscribe_interval; a new subscription must
// begin by then.
TEST(Membership, AfterManyFailuresSubscribesWithinSubscribeInterval) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Settings settings = BasicSettings();
    settings.must_subscribe = true;
    settings.subscribe_interval = 4s;
    TestRouter router(settings, seed);
    auto timers = ActionsOf<SetTimer>(router.UpdateServers(MakeServerList(3), Scope::kCached));
    router.FireTimerAfter(timers[0].delay);
    for (int failure = 0; failure < 12; ++failure) {
      timers = ActionsOf<SetTimer>(router.UpdateServers({}, Scope::kFailed));
      ASSERT_EQ(timers.size(), 1u);
      EXPECT_LE(timers[0].delay, settings.subscribe_interval);
      ASSERT_EQ(ActionsOf<Subscribe>(router.FireTimerAfter(timers[0].delay)).size(), 1u);
    }
  }
}

}  // namespace
}  // namespace peatbend

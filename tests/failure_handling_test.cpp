// What follows a failed attempt: whether it is retried, which budgets it uses, and how the server is
// treated.
#include "harness.h"

namespace peatbend {
namespace {

TEST(Effects, AnUnsafeRequestThatMayHaveRunIsNeitherResentNorRejected) {
  for (Result result : {Result::kBad, Result::kLate, Result::kReset, Result::kCancelled}) {
    TestRouter router;
    router.UpdateServers(MakeServerList(3));
    router.SendRequest(1, 5, kUnsafeWrite);
    auto after = router.FinishAttempt(1, result);
    EXPECT_TRUE(ActionsOf<Send>(after).empty());
    EXPECT_TRUE(ActionsOf<Reject>(after).empty());
    EXPECT_EQ(ActionsOf<Fail>(after).size(), 1u);
  }
}

TEST(Effects, AnUnsafeRequestThatNeverRanIsRetried) {
  for (Result result : {Result::kNoConn, Result::kFull}) {
    TestRouter router;
    router.UpdateServers(MakeServerList(3));
    router.SendRequest(1, 5, kUnsafeWrite);
    auto after = router.FinishAttempt(1, result);
    auto later = router.FireTimerAfter(900ms);
    EXPECT_TRUE(ActionsOf<Fail>(after).empty() && ActionsOf<Fail>(later).empty());
  }
}

TEST(Effects, AKeyedRequestIsResentOnlyWithinItsWindow) {
  TestRouter router;
  router.UpdateServers(MakeServerList(3));
  router.SendRequest(1, 5, kKeyedWrite);
  router.now += 100ms;
  EXPECT_EQ(SentTo(router.FinishAttempt(1, Result::kReset)), "origin");
  router.now += 295ms;  // the window counts from the first send and ends within a tick
  auto after = router.FinishAttempt(1, Result::kReset);
  EXPECT_TRUE(ActionsOf<Send>(after).empty());
  EXPECT_EQ(ActionsOf<Reject>(after).size(), 1u);  // a retry is safe: every server discards repeats
}

Duration BeginWithinOf(const std::vector<Action>& actions) {
  auto sends = ActionsOf<Send>(actions);
  return sends.empty() ? Duration::zero() : sends.front().begin_within;
}

// An attempt may begin long after its Send, once its connection is open. Servers discard repeats only within
// the deduplication window, which counts from the first attempt that may have run.
TEST(Effects, AFurtherAttemptOfAKeyedRequestMustBeginWithinItsWindow) {
  TestRouter router;
  router.UpdateServers(MakeServerList(3));
  EXPECT_EQ(BeginWithinOf(router.SendRequest(1, 5, kKeyedWrite)), 1s);
  router.now += 100ms;
  EXPECT_EQ(BeginWithinOf(router.FinishAttempt(1, Result::kReset)), 295ms);
  router.now += 100ms;
  EXPECT_EQ(BeginWithinOf(router.FinishAttempt(1, Result::kLate)), 195ms);
}

TEST(Effects, TheWindowCountsFromTheFirstAttemptThatMayHaveRun) {
  TestRouter router;
  router.UpdateServers(MakeServerList(3));
  router.SendRequest(1, 5, kKeyedWrite);
  router.now += 100ms;
  EXPECT_EQ(BeginWithinOf(router.FinishAttempt(1, Result::kNoConn)), 900ms);  // the first never ran
  router.now += 50ms;
  EXPECT_EQ(BeginWithinOf(router.FinishAttempt(1, Result::kReset)), 345ms);
}

TEST(Effects, NoAttemptMayBeginAfterTheDeadline) {
  Settings settings = BasicSettings();
  settings.classes[kKeyedWrite].dedup_window = 5s;
  TestRouter router(settings);
  router.UpdateServers(MakeServerList(3));
  EXPECT_EQ(BeginWithinOf(router.SendRequest(1, 5, kRead, 300ms)), 300ms);
  EXPECT_EQ(BeginWithinOf(router.SendRequest(2, 6, kKeyedWrite)), 1s);
  EXPECT_EQ(BeginWithinOf(router.SendRequest(3, 7, kUnsafeWrite)), 1s);
  router.now += 100ms;
  EXPECT_EQ(BeginWithinOf(router.FinishAttempt(1, Result::kReset)), 200ms);  // a read: no window
  EXPECT_EQ(BeginWithinOf(router.FinishAttempt(2, Result::kReset)), 900ms);
  EXPECT_EQ(BeginWithinOf(router.FinishAttempt(3, Result::kNoConn)), 900ms);
}

Duration DeliverWithinOf(const std::vector<Action>& actions) {
  auto sends = ActionsOf<Send>(actions);
  return sends.empty() ? Duration::zero() : sends.front().deliver_within;
}

// An attempt counts once its last byte has arrived, which may be long after its first.
TEST(Effects, AFurtherAttemptOfAKeyedRequestMustReachItsServerWithinItsWindow) {
  TestRouter router;
  router.UpdateServers(MakeServerList(3));
  EXPECT_EQ(DeliverWithinOf(router.SendRequest(1, 5, kKeyedWrite)), Duration::max());
  router.now += 100ms;
  EXPECT_EQ(DeliverWithinOf(router.FinishAttempt(1, Result::kNoConn)), Duration::max());  // it never ran
  router.now += 100ms;
  EXPECT_EQ(DeliverWithinOf(router.FinishAttempt(1, Result::kReset)), 295ms);
  router.now += 100ms;
  EXPECT_EQ(DeliverWithinOf(router.FinishAttempt(1, Result::kBad)), 195ms);
  EXPECT_EQ(DeliverWithinOf(router.SendRequest(2, 6, kRead)), Duration::max());
  EXPECT_EQ(DeliverWithinOf(router.FinishAttempt(2, Result::kReset)), Duration::max());
}

// Every server discards repeats, so that the client may be told to retry.
TEST(Effects, AKeyedRequestWhoseRepeatWasNotDeliveredInTimeIsAnsweredAtOnce) {
  TestRouter router;
  router.UpdateServers(MakeServerList(3));
  router.SendRequest(1, 5, kKeyedWrite);
  router.now += 100ms;
  router.FinishAttempt(1, Result::kBad);
  router.now += 295ms;
  auto after = router.FinishAttempt(1, Result::kCancelled);
  EXPECT_TRUE(ActionsOf<Send>(after).empty());
  EXPECT_EQ(ActionsOf<Reject>(after).size(), 1u);
}

TEST(Effects, AKeyedRequestStaysInItsZoneAndIsNotRejectedOnceItMayHaveRun) {
  Settings settings = BasicSettings();
  settings.cache_aside = false;
  settings.classes[kKeyedWrite].dedup_group = DedupGroup::kZone;
  TestRouter router(settings);
  auto list = MakeServerList(4);
  for (std::size_t i = 0; i < list.size(); ++i) list[i].zone = static_cast<int>(i);
  router.UpdateServers(list);
  router.SendRequest(1, 5, kKeyedWrite);
  auto after = router.FinishAttempt(1, Result::kReset);  // no other server in that zone
  EXPECT_TRUE(ActionsOf<Send>(after).empty());
  EXPECT_TRUE(ActionsOf<Reject>(after).empty());
  EXPECT_EQ(ActionsOf<Fail>(after).size(), 1u);
}

TEST(Health, ADeadServerIsEjectedAndLaterGetsATrial) {
  TestRouter router;
  router.UpdateServers(MakeServerList(6));
  std::string failed_server = SentTo(router.SendRequest(1, 5));
  router.FinishAttempt(1, Result::kNoConn);
  router.FinishAttempt(1, Result::kGood);
  router.SendRequest(2, 5);
  router.FinishAttempt(2, Result::kNoConn);
  router.FinishAttempt(2, Result::kGood);
  EXPECT_NE(SentTo(router.SendRequest(3, 5)), failed_server);
  router.FinishAttempt(3, Result::kGood);
  router.now += 3s;
  EXPECT_EQ(SentTo(router.SendRequest(4, 5)), failed_server);  // half-open: one real request
  router.FinishAttempt(4, Result::kGood);
  EXPECT_EQ(SentTo(router.SendRequest(5, 5)), failed_server);
}

// Client deadlines of 5 ms made each timeout count as a failure of a healthy server until it was ejected; its
// trial was again such a request.
TEST(Health, AClientsShortTimeoutDoesNotCountAgainstTheServer) {
  TestRouter router;
  router.UpdateServers(MakeServerList(6));
  unsigned id = 0;
  for (; id < 300; ++id) {
    router.now += 20ms;
    router.SendRequest(id, id, kRead, id < 100 ? 1s : 5ms);
    router.now += id < 100 ? 20ms : 5ms;
    id < 100 ? router.FinishAttempt(id, Result::kGood, 20ms) : router.FinishAttempt(id, Result::kLate, 5ms);
  }
  EXPECT_EQ(router.balancer.unavailable(), 0u);
  for (const Action& action : router.all_actions) EXPECT_EQ(std::get_if<Log>(&action), nullptr);
}

// A server that has become slow stays slow while it is loaded, so its limit must stay at the minimum.
TEST(Health, AServerThatTurnsSlowIsKeptAtItsMinimumLimit) {
  auto sent_at_once = [](Duration takes) {
    TestRouter router;
    router.UpdateServers(MakeServerList(6));
    const std::string slow = "cache-12";
    unsigned id = 0;
    for (; id < 800; ++id) {
      router.now += 200ms;
      bool there = SentTo(router.SendRequest(id, id % 60)) == slow;
      router.FinishAttempt(id, Result::kGood, there && id >= 400 ? takes : 30ms);
    }
    std::size_t sent = 0;
    for (; id < 860; ++id) sent += SentTo(router.SendRequest(id, id % 60)) == slow;
    return sent;
  };
  EXPECT_GE(sent_at_once(30ms), 5u);
  EXPECT_LE(sent_at_once(300ms), 1u);
}

// Compared with near servers, each server beyond the 30 ms to the other zone seemed overloaded: its limit
// stayed at the minimum, its traffic moved away, and the requests that waited for it were rejected.
TEST(Health, AServerIsNotConsideredSlowForTheDistanceToItsZone) {
  Settings settings = BasicSettings();
  settings.zone = 2;  // neither of the two zones: both are far, one is farther
  TestRouter router(settings);
  std::vector<ServerEntry> fleet = MakeServerList(6);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].zone = static_cast<int>(i % 2);
  router.UpdateServers(fleet);
  auto zone_of = [&](const std::string& name) {
    for (const ServerEntry& entry : fleet) {
      if (entry.id.name == name) return entry.zone;
    }
    return -1;
  };
  std::map<int, int> used;
  for (unsigned id = 0; id < 600; ++id) {
    router.now += 20ms;
    std::string server = SentTo(router.SendRequest(id, id % 60));
    if (id >= 300) ++used[zone_of(server)];
    router.FinishAttempt(id, Result::kGood, zone_of(server) == 1 ? 60ms : 12ms);
  }
  EXPECT_GT(used[1], 100);
  for (const Action& action : router.all_actions) EXPECT_EQ(std::get_if<Log>(&action), nullptr);
  // With many requests at once, the limits of the far servers have grown like those of the near ones.
  std::map<int, int> sent;
  for (unsigned id = 1000; id < 1060; ++id) ++sent[zone_of(SentTo(router.SendRequest(id, id)))];
  EXPECT_GT(sent[1], 9);
}

TEST(Health, NotMostServersAreEjected) {
  TestRouter router;
  router.UpdateServers(MakeServerList(5));
  for (unsigned id = 0; id < 200; ++id) {
    router.now += 1ms;
    router.SendRequest(id, id);
    while (ActionsOf<Send>(router.FinishAttempt(id, Result::kNoConn)).size() == 1) {
    }
  }
  int ejected = 0;
  for (const Log& log : ActionsOf<Log>(router.all_actions))
    ejected += log.text.starts_with("ejected") ? 1 : 0;
  EXPECT_LE(ejected, 2);
}

// One tenant has deadlines of a few milliseconds, or all of its requests fail. A failed request of another
// tenant is still retried.
TEST(Tenants, AFailingTenantUsesNoRetriesOfAnother) {
  for (Result result : {Result::kLate, Result::kReset}) {
    Settings settings = BasicSettings();
    settings.tenants = {{"short", 0.5, 0}, {"neighbour", 0.5, 0}};
    TestRouter router(settings);
    router.UpdateServers(MakeServerList(6));
    auto ask = [&](unsigned id, int tenant, Duration remaining) {
      RequestEvent event;
      event.id = RequestId{id};
      event.key = Key{id};
      event.tenant = tenant;
      event.remaining = remaining;
      return router.Handle(event);
    };
    for (unsigned id = 1; id <= 200; ++id) {
      router.now += 1ms;
      ask(id, 0, result == Result::kLate ? 5ms : 1s);
      TimePoint before = router.now;
      if (result == Result::kLate) router.now += 5ms;
      for (int i = 0; i < 4 && router.attempt_counts[RequestId{id}] > i; ++i)
        router.FinishAttempt(id, result, router.now - before);
    }
    router.now += 10s;  // ejected servers are due for a trial
    std::string first = SentTo(ask(1000, 1, 1s));
    ASSERT_NE(first, "");
    EXPECT_NE(SentTo(router.FinishAttempt(1000, Result::kReset, 1ms)), "");
  }
}

// A failure that cannot be retried anyway must not use up the retry budget.
TEST(Tenants, ARequestThatCannotBeResentUsesNoRetryBudget) {
  TestRouter router;
  router.UpdateServers(MakeServerList(6));
  for (unsigned id = 1; id <= 100; ++id) {
    router.SendRequest(id, id, kUnsafeWrite);
    router.FinishAttempt(id, Result::kBad);
  }
  ASSERT_NE(SentTo(router.SendRequest(1000, 7)), "");
  EXPECT_NE(SentTo(router.FinishAttempt(1000, Result::kReset)), "");
}

// ---- The limit on extra attempts ----

Settings SettingsWithAttemptLimit(double free, double share) {
  Settings settings = BasicSettings();
  settings.attempt_window = 10s;
  settings.free_resends = free;
  settings.extra_per_request = share;
  return settings;
}

// Handles a request whose first server cannot be reached; returns whether it was retried.
bool IsRetried(TestRouter& router, unsigned id) {
  router.SendRequest(id, id);
  bool again = !SentTo(router.FinishAttempt(id, Result::kNoConn)).empty();
  if (again) router.FinishAttempt(id, Result::kGood);
  return again;
}

TEST(AttemptLimit, TheLastAllowedAttemptIsSentAndOneMoreIsNot) {
  TestRouter router(SettingsWithAttemptLimit(1, 0.25));
  router.UpdateServers(MakeServerList(12));
  EXPECT_TRUE(IsRetried(router, 1));   // 1 <= 1 + 0.25
  EXPECT_FALSE(IsRetried(router, 2));  // 2 > 1 + 0.50
  EXPECT_FALSE(IsRetried(router, 3));  // 2 > 1 + 0.75
  EXPECT_TRUE(IsRetried(router, 4));   // 2 <= 1 + 1
  EXPECT_FALSE(IsRetried(router, 5));
}

TEST(AttemptLimit, TheWindowSlidesExactly) {
  TestRouter router(SettingsWithAttemptLimit(1, 0));
  router.UpdateServers(MakeServerList(12));
  EXPECT_TRUE(IsRetried(router, 1));
  router.now += 10s;  // the first lies at the very edge of the window and still counts
  EXPECT_FALSE(IsRetried(router, 2));
  router.now += 1ns;
  EXPECT_TRUE(IsRetried(router, 3));
}

TEST(AttemptLimit, RequestsLeaveTheWindowToo) {
  TestRouter router(SettingsWithAttemptLimit(0, 0.25));
  router.UpdateServers(MakeServerList(12));
  for (unsigned id = 1; id <= 3; ++id) {
    router.SendRequest(id, id);
    router.FinishAttempt(id, Result::kGood);
  }
  router.now += 10s;  // these three count no longer
  EXPECT_FALSE(IsRetried(router, 4));
  EXPECT_FALSE(IsRetried(router, 5));
  EXPECT_FALSE(IsRetried(router, 6));
  EXPECT_TRUE(IsRetried(router, 7));  // 1 <= 0.25 x 4
}

TEST(AttemptLimit, AMissExemptsOneFurtherSendOfItsRequest) {
  TestRouter router(SettingsWithAttemptLimit(0, 0));
  router.UpdateServers(MakeServerList(12));
  router.SendRequest(1, 1);
  EXPECT_EQ(SentTo(router.FinishAttempt(1, Result::kMiss)), "origin");
  EXPECT_EQ(SentTo(router.FinishAttempt(1, Result::kNoConn)), "");  // the exemption has been used
}

TEST(AttemptLimit, AnAttemptThatWasNeverSentDoesNotCount) {
  TestRouter router(SettingsWithAttemptLimit(1, 0));
  router.UpdateServers(MakeServerList(12));
  router.SendRequest(1, 1);
  EXPECT_NE(SentTo(router.FinishAttempt(1, Result::kNoConn)), "");
  EXPECT_NE(SentTo(router.FinishAttempt(1, Result::kNeverSent)), "");  // sent again in its place
  EXPECT_FALSE(IsRetried(router, 2));
}

TEST(AttemptLimit, WithoutSettingsThereIsNoLimit) {
  TestRouter router;
  router.UpdateServers(MakeServerList(12));
  for (unsigned id = 1; id < 8; ++id) EXPECT_TRUE(IsRetried(router, id));
}

}  // namespace
}  // namespace peatbend

// What the balancer knows of a server when the process behind its name is replaced.
#include "harness.h"

namespace peatbend {
namespace {

ServerEntry EntryStartedAt(const std::string& name, TimePoint at) {
  ServerEntry entry = MakeEntry(name);
  entry.started = at;
  return entry;
}

// A start costs no capacity, so that only the in-flight limits matter.
Settings SettingsWithoutSlowStart() {
  Settings settings = BasicSettings();
  settings.start_capacity = 1;
  return settings;
}

// The number of writes that are sent to the origin at once.
std::size_t SentAtOnce(TestRouter& router, unsigned first_id) {
  std::size_t sent = 0;
  for (unsigned id = first_id; id < first_id + 40; ++id)
    sent += ActionsOf<Send>(router.SendRequest(id, id, kKeyedWrite)).size();
  return sent;
}

TEST(ServerReplacement, ARestartedOriginBeginsWithTheSameLimitAsANewOne) {
  TestRouter fresh(SettingsWithoutSlowStart()), replaced(SettingsWithoutSlowStart());
  fresh.UpdateServers(MakeServerList(2));
  replaced.UpdateServers(MakeServerList(2));
  replaced.now += 1s;
  replaced.UpdateServers({EntryStartedAt("origin", replaced.now)}, Scope::kDelta);
  EXPECT_EQ(SentAtOnce(replaced, 1), SentAtOnce(fresh, 1));
}

// The new origin takes ten times as long as the fast one before, which is normal for it.
TEST(ServerReplacement, ANewOriginIsNotComparedWithTheLatencyOfThePreviousOne) {
  TestRouter router(SettingsWithoutSlowStart());
  router.UpdateServers(MakeServerList(2));
  unsigned id = 1;
  auto answers = [&](Duration latency) {
    for (int i = 0; i < 60; ++i) {
      router.now += latency;
      router.SendRequest(id, id, kUnsafeWrite);
      router.FinishAttempt(id++, Result::kGood, latency);
    }
  };
  answers(10ms);
  router.UpdateServers({EntryStartedAt("origin", router.now)}, Scope::kDelta);
  answers(100ms);
  EXPECT_GE(SentAtOnce(router, 10000), 6u);
}

TEST(ServerReplacement, FailuresOfThePreviousProcessDoNotCountAgainstTheNewOne) {
  for (const std::string name : {"cache-10", "origin"}) {
    TestRouter router(SettingsWithoutSlowStart());
    router.UpdateServers({MakeEntry("cache-10"), MakeEntry("origin")});
    int cls = name == "origin" ? kUnsafeWrite : kRead;
    for (unsigned id = 1; id <= 6; ++id) ASSERT_EQ(SentTo(router.SendRequest(id, id, cls)), name);
    router.now += 100ms;
    router.UpdateServers({EntryStartedAt(name, router.now)}, Scope::kDelta);
    for (unsigned id = 1; id <= 6; ++id) router.FinishAttempt(id, Result::kReset, 101ms);
    for (const Action& action : router.all_actions)
      EXPECT_EQ(std::get_if<Log>(&action), nullptr);  // none is ejected
    EXPECT_EQ(router.balancer.unavailable(), 0u);
    if (name != "origin") continue;
    router.now += 1s;
    EXPECT_EQ(SentAtOnce(router, 100), 6u);
  }
}

// A delayed list announces the start of the previous process: the current one stays as cold and as well
// known.
TEST(ServerReplacement, AnOlderStartIsNotANewProcess) {
  TestRouter router;
  router.UpdateServers({EntryStartedAt("cache-10", router.now), MakeEntry("origin")});
  router.UpdateServers({EntryStartedAt("cache-10", router.now - 50s), MakeEntry("origin")});
  std::size_t to_cache = 0;
  for (unsigned id = 1; id <= 20; ++id) to_cache += SentTo(router.SendRequest(id, id)) == "cache-10";
  EXPECT_LE(to_cache, 2u);
}

// Attempts that went to the previous process count as in flight until they end.
TEST(ServerReplacement, AttemptsToThePreviousProcessReleaseTheirPlaces) {
  TestRouter router(SettingsWithoutSlowStart());
  router.UpdateServers(MakeServerList(2));
  std::size_t before = SentAtOnce(router, 1);
  router.UpdateServers({EntryStartedAt("origin", router.now + 1ms)}, Scope::kDelta);
  router.now += 1ms;
  for (unsigned id = 1; id <= before; ++id) router.FinishAttempt(id, Result::kNoConn, 1ms);
  EXPECT_EQ(SentAtOnce(router, 100), 0u);  // the requests that waited use the limit
  EXPECT_EQ(ActionsOf<Send>(router.all_actions).size(), 2 * before);
}

}  // namespace
}  // namespace peatbend

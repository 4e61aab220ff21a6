// What the module believes of a server, when the process behind a name is replaced.
#include "harness.h"

namespace peatbend {
namespace {

ServerEntry Started(const std::string& name, TimePoint at) {
  ServerEntry entry = Entry(name);
  entry.started = at;
  return entry;
}

// Where a start costs no capacity, so that the bounds alone show.
Settings NeverCold() {
  Settings settings = BasicSettings();
  settings.start_capacity = 1;
  return settings;
}

// So many writes as the origin is sent at once.
std::size_t SentAtOnce(Proxy& proxy, unsigned first_id) {
  std::size_t sent = 0;
  for (unsigned id = first_id; id < first_id + 40; ++id)
    sent += Only<Send>(proxy.Ask(id, id, kKeyedWrite)).size();
  return sent;
}

TEST(Beliefs, AnOriginThatStartsUnderItsNameBeginsWithTheSameBoundAsOneThatIsNew) {
  Proxy fresh(NeverCold()), replaced(NeverCold());
  fresh.List(Fleet(2));
  replaced.List(Fleet(2));
  replaced.now += 1s;
  replaced.List({Started("origin", replaced.now)}, Scope::kDelta);
  EXPECT_EQ(SentAtOnce(replaced, 1), SentAtOnce(fresh, 1));
}

// The one before was quick, and this one takes ten times as long: slow for that one, not for this.
TEST(Beliefs, ANewOriginIsNotMeasuredByTheLatencyOfTheOneBefore) {
  Proxy proxy(NeverCold());
  proxy.List(Fleet(2));
  unsigned id = 1;
  auto answers = [&](Duration takes) {
    for (int i = 0; i < 60; ++i) {
      proxy.now += takes;
      proxy.Ask(id, id, kUnsafeWrite);
      proxy.Answer(id++, Result::kGood, takes);
    }
  };
  answers(10ms);
  proxy.List({Started("origin", proxy.now)}, Scope::kDelta);
  answers(100ms);
  EXPECT_GE(SentAtOnce(proxy, 10000), 6u);
}

TEST(Beliefs, WhatTheProcessBeforeDidIsNotBookedOnTheNewOne) {
  for (const std::string name : {"cache-10", "origin"}) {
    Proxy proxy(NeverCold());
    proxy.List({Entry("cache-10"), Entry("origin")});
    int cls = name == "origin" ? kUnsafeWrite : kRead;
    for (unsigned id = 1; id <= 6; ++id) ASSERT_EQ(SentTo(proxy.Ask(id, id, cls)), name);
    proxy.now += 100ms;
    proxy.List({Started(name, proxy.now)}, Scope::kDelta);
    for (unsigned id = 1; id <= 6; ++id) proxy.Answer(id, Result::kReset, 101ms);
    for (const Action& action : proxy.all) EXPECT_EQ(std::get_if<Log>(&action), nullptr);  // none is ejected
    EXPECT_EQ(proxy.balancer.unavailable(), 0u);
    if (name != "origin") continue;
    proxy.now += 1s;
    EXPECT_EQ(SentAtOnce(proxy, 100), 6u);
  }
}

// A late list tells the start of the process before: this one is as cold as it was, and as well known.
TEST(Beliefs, AnOlderStartIsNoNewProcess) {
  Proxy proxy;
  proxy.List({Started("cache-10", proxy.now), Entry("origin")});
  proxy.List({Started("cache-10", proxy.now - 50s), Entry("origin")});
  std::size_t to_cache = 0;
  for (unsigned id = 1; id <= 20; ++id) to_cache += SentTo(proxy.Ask(id, id)) == "cache-10";
  EXPECT_LE(to_cache, 2u);
}

// Attempts to the process before still take a place each, and give it back when they end.
TEST(Beliefs, PlacesOfTheProcessBeforeAreGivenBack) {
  Proxy proxy(NeverCold());
  proxy.List(Fleet(2));
  std::size_t before = SentAtOnce(proxy, 1);
  proxy.List({Started("origin", proxy.now + 1ms)}, Scope::kDelta);
  proxy.now += 1ms;
  for (unsigned id = 1; id <= before; ++id) proxy.Answer(id, Result::kNoConn, 1ms);
  EXPECT_EQ(SentAtOnce(proxy, 100), 0u);  // those that waited have the places
  EXPECT_EQ(Only<Send>(proxy.all).size(), 2 * before);
}

}  // namespace
}  // namespace peatbend

// Trials of ejected servers where the fleet shares them: asked for, not taken.
#include "harness.h"

namespace peatbend {
namespace {

// A proxy before six servers, of which the one that key 5 goes to is dead.
class Shared : public Proxy {
 public:
  explicit Shared(bool shared = true) : Proxy(With(shared)) {
    List(Fleet(6));
    dead = SentTo(Ask(++id, 5));
    Answer(id, Result::kGood);
  }
  // Asks for the dead server's key until it is ejected; what is asked of the fleet is told.
  std::vector<ReportTrial> Kill() {
    std::size_t before = all.size();
    for (int i = 0; i < 6 && SentTo(Ask(++id, 5)) == dead; ++i) {
      Answer(id, Result::kNoConn);
      Answer(id, Result::kGood);
    }
    return Only<ReportTrial>({all.begin() + static_cast<std::ptrdiff_t>(before), all.end()});
  }
  bool Goes() {
    bool there = SentTo(Ask(++id, 5)) == dead;
    Answer(id, there ? Result::kNoConn : Result::kGood);
    if (there) Answer(id, Result::kGood);
    return there;
  }
  std::vector<Action> Say(TrialDirective word) { return Take(TrialEvent{ServerId{dead}, word}); }

  unsigned id = 0;
  std::string dead;

 private:
  static Settings With(bool shared) {
    Settings settings = BasicSettings();
    settings.shared_trials = shared;
    return settings;
  }
};

TEST(SharedTrials, AnEjectedServerIsNotTriedBeforeTheFleetSaysSo) {
  Shared proxy;
  std::vector<ReportTrial> asked = proxy.Kill();
  ASSERT_EQ(asked.size(), 1u);
  EXPECT_EQ(asked[0].server.name, proxy.dead);
  EXPECT_FALSE(asked[0].healthy);
  proxy.now += 60s;
  EXPECT_FALSE(proxy.Goes());
  proxy.Say(TrialDirective::kTry);
  SentTo(proxy.Ask(++proxy.id, 5));
  EXPECT_NE(SentTo(proxy.Ask(++proxy.id, 5)), proxy.dead);  // one request at a time is its trial
  proxy.Answer(proxy.id - 1, Result::kNoConn);
  EXPECT_EQ(Only<ReportTrial>(proxy.all).size(), 2u);
  EXPECT_FALSE(proxy.Goes());
  proxy.Say(TrialDirective::kTry);
  EXPECT_EQ(SentTo(proxy.Ask(++proxy.id, 5)), proxy.dead);
  auto told = Only<ReportTrial>(proxy.Answer(proxy.id, Result::kGood));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_TRUE(told[0].healthy);
  EXPECT_EQ(proxy.balancer.unavailable(), 0u);
}

TEST(SharedTrials, ATrialThatIsGivenToAnotherIsNotMade) {
  Shared proxy;
  proxy.Kill();
  proxy.Say(TrialDirective::kTry);
  proxy.Say(TrialDirective::kWait);
  proxy.now += 60s;
  EXPECT_FALSE(proxy.Goes());
}

TEST(SharedTrials, AServerBroughtBackByAnotherIsEjectedByOneFailure) {
  Shared proxy;
  proxy.Kill();
  proxy.Say(TrialDirective::kReadmit);
  EXPECT_EQ(proxy.balancer.unavailable(), 0u);
  EXPECT_TRUE(proxy.Goes());
  EXPECT_EQ(proxy.balancer.unavailable(), 1u);
  EXPECT_EQ(Only<ReportTrial>(proxy.all).size(), 2u);
}

// A proxy that alone does not reach a server: for all others it is fine, so nobody else's trial tells it.
TEST(SharedTrials, AProxyThatIsBroughtBackInVainTriesForItself) {
  Shared proxy;
  proxy.Kill();
  int there = 0;
  for (int i = 0; i < 600; ++i) {  // a minute, in which the fleet brings it back ten times a second
    proxy.now += 100ms;
    proxy.Say(TrialDirective::kReadmit);
    there += proxy.Goes() ? 1 : 0;
  }
  EXPECT_GE(there, 6);
  EXPECT_LE(there, 16);
  proxy.now += 20s;
  EXPECT_EQ(SentTo(proxy.Ask(++proxy.id, 5)), proxy.dead);
  proxy.Answer(proxy.id, Result::kGood);
  proxy.Kill();
  proxy.now += 60s;
  EXPECT_FALSE(proxy.Goes());  // it has answered here, so trials are the fleet's again
}

TEST(SharedTrials, AProxyThatHasNotEjectedTellsItsNextOutcome) {
  Shared proxy;
  EXPECT_TRUE(Only<ReportTrial>(proxy.Say(TrialDirective::kTry)).empty());
  EXPECT_EQ(SentTo(proxy.Ask(++proxy.id, 5)), proxy.dead);
  auto told = Only<ReportTrial>(proxy.Answer(proxy.id, Result::kGood));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_TRUE(told[0].healthy);
  proxy.Say(TrialDirective::kTry);
  proxy.Ask(++proxy.id, 5);
  told = Only<ReportTrial>(proxy.Answer(proxy.id, Result::kReset));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_FALSE(told[0].healthy);
}

TEST(SharedTrials, AServerThatOthersHaveEjectedIsEjectedByOneFailure) {
  Shared proxy;
  proxy.Say(TrialDirective::kWait);
  EXPECT_TRUE(proxy.Goes());
  EXPECT_EQ(proxy.balancer.unavailable(), 1u);
  Shared other;
  other.Say(TrialDirective::kWait);
  other.Say(TrialDirective::kReadmit);
  EXPECT_TRUE(other.Goes());
  EXPECT_EQ(other.balancer.unavailable(), 0u);
}

TEST(SharedTrials, ATrialIsWhateverRequestComesNext) {
  Shared proxy;
  proxy.Kill();
  unsigned key = 6;
  std::string own = SentTo(proxy.Ask(++proxy.id, key));
  proxy.Answer(proxy.id, Result::kGood);
  ASSERT_NE(own, proxy.dead);
  proxy.Say(TrialDirective::kTry);
  EXPECT_EQ(SentTo(proxy.Ask(++proxy.id, key)), proxy.dead);
  EXPECT_EQ(SentTo(proxy.Ask(++proxy.id, key)), own);  // one is enough
  EXPECT_EQ(Only<ReportTrial>(proxy.Answer(proxy.id - 1, Result::kGood)).size(), 1u);
  EXPECT_EQ(SentTo(proxy.Ask(++proxy.id, key)), own);
}

TEST(SharedTrials, AServerThatIsOutByWordIsNotAskedUntilItIsBack) {
  Shared proxy;
  EXPECT_TRUE(Only<ReportTrial>(proxy.Say(TrialDirective::kEject)).empty());  // nothing was seen here
  proxy.now += 60s;
  EXPECT_FALSE(proxy.Goes());
  proxy.Say(TrialDirective::kReadmit);
  EXPECT_TRUE(proxy.Goes());
}

TEST(SharedTrials, MostServersAreNotOutByWord) {
  Shared proxy;
  for (const ServerEntry& entry : Fleet(6)) proxy.Take(TrialEvent{entry.id, TrialDirective::kEject});
  EXPECT_EQ(proxy.balancer.unavailable(), 3u);
}

TEST(SharedTrials, WithoutThemNothingIsAskedAndEachTriesForItself) {
  Shared proxy(false);
  EXPECT_TRUE(proxy.Kill().empty());
  proxy.now += 3s;
  EXPECT_TRUE(proxy.Goes());
}

}  // namespace
}  // namespace peatbend

// Trials of ejected servers where the fleet coordinates them: a router runs a trial only when it is told to.
#include "harness.h"

namespace peatbend {
namespace {

// A router with six servers; the one that key 5 maps to fails.
class SharedTrialsRouter : public TestRouter {
 public:
  explicit SharedTrialsRouter(bool shared = true) : TestRouter(MakeSettings(shared)) {
    UpdateServers(MakeServerList(6));
    failing_server = SentTo(SendRequest(++id, 5));
    FinishAttempt(id, Result::kGood);
  }
  // Requests the key of the failing server until it is ejected; returns the trial reports.
  std::vector<ReportTrial> FailUntilEjected() {
    std::size_t before = all_actions.size();
    for (int i = 0; i < 6 && SentTo(SendRequest(++id, 5)) == failing_server; ++i) {
      FinishAttempt(id, Result::kNoConn);
      FinishAttempt(id, Result::kGood);
    }
    return ActionsOf<ReportTrial>(
        {all_actions.begin() + static_cast<std::ptrdiff_t>(before), all_actions.end()});
  }
  bool ReachesFailingServer() {
    bool sent_to_it = SentTo(SendRequest(++id, 5)) == failing_server;
    FinishAttempt(id, sent_to_it ? Result::kNoConn : Result::kGood);
    if (sent_to_it) FinishAttempt(id, Result::kGood);
    return sent_to_it;
  }
  std::vector<Action> Direct(TrialDirective directive) {
    return Handle(TrialEvent{ServerId{failing_server}, directive});
  }

  unsigned id = 0;
  std::string failing_server;

 private:
  static Settings MakeSettings(bool shared) {
    Settings settings = BasicSettings();
    settings.shared_trials = shared;
    return settings;
  }
};

TEST(SharedTrials, AnEjectedServerGetsNoTrialBeforeTheFleetDirectsIt) {
  SharedTrialsRouter router;
  std::vector<ReportTrial> reports = router.FailUntilEjected();
  ASSERT_EQ(reports.size(), 1u);
  EXPECT_EQ(reports[0].server.name, router.failing_server);
  EXPECT_FALSE(reports[0].healthy);
  router.now += 60s;
  EXPECT_FALSE(router.ReachesFailingServer());
  router.Direct(TrialDirective::kTry);
  SentTo(router.SendRequest(++router.id, 5));
  EXPECT_NE(SentTo(router.SendRequest(++router.id, 5)),
            router.failing_server);  // only one request at a time is used as a trial
  router.FinishAttempt(router.id - 1, Result::kNoConn);
  EXPECT_EQ(ActionsOf<ReportTrial>(router.all_actions).size(), 2u);
  EXPECT_FALSE(router.ReachesFailingServer());
  router.Direct(TrialDirective::kTry);
  EXPECT_EQ(SentTo(router.SendRequest(++router.id, 5)), router.failing_server);
  auto reports_after_trial = ActionsOf<ReportTrial>(router.FinishAttempt(router.id, Result::kGood));
  ASSERT_EQ(reports_after_trial.size(), 1u);
  EXPECT_TRUE(reports_after_trial[0].healthy);
  EXPECT_EQ(router.balancer.unavailable(), 0u);
}

TEST(SharedTrials, ATrialThatIsGivenToAnotherRouterIsNotRun) {
  SharedTrialsRouter router;
  router.FailUntilEjected();
  router.Direct(TrialDirective::kTry);
  router.Direct(TrialDirective::kWait);
  router.now += 60s;
  EXPECT_FALSE(router.ReachesFailingServer());
}

TEST(SharedTrials, AServerReadmittedByAnotherRouterIsEjectedByOneFailure) {
  SharedTrialsRouter router;
  router.FailUntilEjected();
  router.Direct(TrialDirective::kReadmit);
  EXPECT_EQ(router.balancer.unavailable(), 0u);
  EXPECT_TRUE(router.ReachesFailingServer());
  EXPECT_EQ(router.balancer.unavailable(), 1u);
  EXPECT_EQ(ActionsOf<ReportTrial>(router.all_actions).size(), 2u);
}

// One router alone cannot reach a server, so the trials of the others keep succeeding.
TEST(SharedTrials, ARouterWhoseReadmissionsFailRunsItsOwnTrials) {
  SharedTrialsRouter router;
  router.FailUntilEjected();
  int sent_to_it = 0;
  for (int i = 0; i < 600; ++i) {  // a minute, in which the fleet readmits it ten times a second
    router.now += 100ms;
    router.Direct(TrialDirective::kReadmit);
    sent_to_it += router.ReachesFailingServer() ? 1 : 0;
  }
  EXPECT_GE(sent_to_it, 6);
  EXPECT_LE(sent_to_it, 16);
  router.now += 20s;
  EXPECT_EQ(SentTo(router.SendRequest(++router.id, 5)), router.failing_server);
  router.FinishAttempt(router.id, Result::kGood);
  router.FailUntilEjected();
  router.now += 60s;
  EXPECT_FALSE(
      router.ReachesFailingServer());  // it has answered here, so the fleet coordinates its trials again
}

TEST(SharedTrials, ARouterThatHasNotEjectedReportsItsNextOutcome) {
  SharedTrialsRouter router;
  EXPECT_TRUE(ActionsOf<ReportTrial>(router.Direct(TrialDirective::kTry)).empty());
  EXPECT_EQ(SentTo(router.SendRequest(++router.id, 5)), router.failing_server);
  auto reports_after_trial = ActionsOf<ReportTrial>(router.FinishAttempt(router.id, Result::kGood));
  ASSERT_EQ(reports_after_trial.size(), 1u);
  EXPECT_TRUE(reports_after_trial[0].healthy);
  router.Direct(TrialDirective::kTry);
  router.SendRequest(++router.id, 5);
  reports_after_trial = ActionsOf<ReportTrial>(router.FinishAttempt(router.id, Result::kReset));
  ASSERT_EQ(reports_after_trial.size(), 1u);
  EXPECT_FALSE(reports_after_trial[0].healthy);
}

TEST(SharedTrials, AServerThatOthersHaveEjectedIsEjectedByOneFailure) {
  SharedTrialsRouter router;
  router.Direct(TrialDirective::kWait);
  EXPECT_TRUE(router.ReachesFailingServer());
  EXPECT_EQ(router.balancer.unavailable(), 1u);
  SharedTrialsRouter other;
  other.Direct(TrialDirective::kWait);
  other.Direct(TrialDirective::kReadmit);
  EXPECT_TRUE(other.ReachesFailingServer());
  EXPECT_EQ(other.balancer.unavailable(), 0u);
}

TEST(SharedTrials, TheNextEligibleRequestIsTheTrial) {
  SharedTrialsRouter router;
  router.FailUntilEjected();
  unsigned key = 6;
  std::string home_server = SentTo(router.SendRequest(++router.id, key));
  router.FinishAttempt(router.id, Result::kGood);
  ASSERT_NE(home_server, router.failing_server);
  router.Direct(TrialDirective::kTry);
  EXPECT_EQ(SentTo(router.SendRequest(++router.id, key)), router.failing_server);
  EXPECT_EQ(SentTo(router.SendRequest(++router.id, key)), home_server);  // one trial is enough
  EXPECT_EQ(ActionsOf<ReportTrial>(router.FinishAttempt(router.id - 1, Result::kGood)).size(), 1u);
  EXPECT_EQ(SentTo(router.SendRequest(++router.id, key)), home_server);
}

TEST(SharedTrials, AServerEjectedByDirectiveGetsNothingUntilItIsReadmitted) {
  SharedTrialsRouter router;
  EXPECT_TRUE(ActionsOf<ReportTrial>(router.Direct(TrialDirective::kEject))
                  .empty());  // this router has observed no failure
  router.now += 60s;
  EXPECT_FALSE(router.ReachesFailingServer());
  router.Direct(TrialDirective::kReadmit);
  EXPECT_TRUE(router.ReachesFailingServer());
}

TEST(SharedTrials, NotMostServersAreEjectedByDirective) {
  SharedTrialsRouter router;
  for (const ServerEntry& entry : MakeServerList(6))
    router.Handle(TrialEvent{entry.id, TrialDirective::kEject});
  EXPECT_EQ(router.balancer.unavailable(), 3u);
}

TEST(SharedTrials, WithoutThemNothingIsReportedAndEachRouterRunsItsOwnTrials) {
  SharedTrialsRouter router(false);
  EXPECT_TRUE(router.FailUntilEjected().empty());
  router.now += 3s;
  EXPECT_TRUE(router.ReachesFailingServer());
}

}  // namespace
}  // namespace peatbend

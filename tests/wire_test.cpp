// The simulator's line protocol: settings, events, actions, malformed lines.
#include "wire.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace peatbend::benchlink {
namespace {

const char kInit[] =
    "INIT i=3 prng=42 classes.count=2 classes.0.deadline=1000000000 classes.0.objective=500000000 "
    "classes.0.effect=read_like classes.1.deadline=1000000000 classes.1.effect=idempotency_key "
    "classes.1.group=zone classes.1.window=2000000000 ceilings.tryLimit=4 specifics.mode=aside "
    "specifics.originKind=1 rules.startCapacity=0.3 rules.warmAfter=9000000000 tick=5000000 "
    "discovery=automatic something.new=7";

std::string Feed(Session& session, const std::vector<std::string>& lines) {
  std::string reply;
  for (const std::string& line : lines) session.HandleLine(line, reply);
  return reply;
}

std::vector<std::string> Start() {
  return {"BEGIN_BATCH atTime=1000 turn=1",
          kInit,
          "MANIFEST buffer=0 elements=2",
          "ROW condition=1 node=node.a kind=0 group=0 area=0 heft=1 novel=1",
          "ROW condition=1 node=node.o kind=1 group=0 area=0 heft=1",
          "REGISTRY i=3 scope=2 gen=1 buffer=0",
          "END",
          ""};
}

TEST(Wire, SettingsAreParsedAndUnknownOnesIgnored) {
  Settings settings = ParseSettings(std::string_view(kInit).substr(5));
  ASSERT_EQ(settings.classes.size(), 2u);
  EXPECT_EQ(settings.classes[0].aim, std::chrono::milliseconds(500));
  EXPECT_EQ(settings.classes[1].effect, Effect::kKeyed);
  EXPECT_EQ(settings.classes[1].dedup_group, DedupGroup::kZone);
  EXPECT_EQ(settings.try_limit, 4);
  EXPECT_TRUE(settings.cache_aside);
  EXPECT_FALSE(settings.must_subscribe);
  EXPECT_DOUBLE_EQ(settings.start_capacity, 0.3);
  EXPECT_FALSE(settings.attempt_window.has_value());
  EXPECT_EQ(settings.router_index, -1);
  EXPECT_EQ(ParseSettings("index=7 replicasOfMe=30").router_index, 7);
  settings = ParseSettings(
      "rules.countedOver=10000000000 rules.freeResends=1 rules.extraPerRequest=0.1 "
      "tariffs.connection=0.05 tariffs.handshake=0.03 ceilings.keepalive=5000000000");
  EXPECT_EQ(settings.attempt_window, std::chrono::seconds(10));
  EXPECT_EQ(settings.free_resends, 1);
  EXPECT_EQ(settings.extra_per_request, 0.1);
  EXPECT_DOUBLE_EQ(settings.connection_price, 0.05);
  EXPECT_DOUBLE_EQ(settings.handshake_price, 0.03);
  EXPECT_EQ(settings.keepalive, std::chrono::seconds(5));
  EXPECT_THROW(ParseSettings("rules.warmAfter=soon"), std::invalid_argument);
}

TEST(Wire, ABatchIsAnswered) {
  Session session;
  EXPECT_EQ(Feed(session, Start()), "FINISHED turn=1\n");
  std::string reply =
      Feed(session, {"BEGIN_BATCH atTime=2000 turn=2",
                     "NEW_REQUEST i=3 tid=9 object=91f03b7c55d20a64 kind=0 remaining=800000000", "END"});
  EXPECT_NE(reply.find("TRANSMIT i=3 tid=9 node=node.a giveUpAfter="), std::string::npos) << reply;
  EXPECT_TRUE(reply.ends_with("FINISHED turn=2\n"));
  reply = Feed(session, {"BEGIN_BATCH atTime=3000 turn=3",
                         "RESULT i=3 tid=9 node=node.a shot=0 outcome=MISS delaySeen=1000 info=2 "
                         "telemetry=depth:1,mean_ms:4.5,odd:x",
                         "END"});
  EXPECT_NE(reply.find("TRANSMIT i=3 tid=9 node=node.o"), std::string::npos) << reply;
}

TEST(Wire, EventsForUnknownRequestsAndInstancesAreIgnored) {
  Session session;
  Feed(session, Start());
  EXPECT_EQ(Feed(session, {"BEGIN_BATCH atTime=2000 turn=2", "HANGUP i=3 tid=77",
                           "RESULT i=3 tid=78 node=node.zz shot=4 outcome=GOOD doneFlag=1", "BELL i=3 mark=5",
                           "HALT i=3", "BELL i=3 mark=6", "HANGUP i=9 tid=1", "END"}),
            "FINISHED turn=2\n");
}

TEST(Wire, InvalidSettingsPanicWithTheFieldsName) {
  Session session;
  std::string reply = Feed(session, {"BEGIN_BATCH atTime=1 turn=1", "INIT i=0 prng=1 tick=1", "END"});
  EXPECT_NE(reply.find("PANIC i=0 text=settings: invalid value: classes"), std::string::npos) << reply;
}

TEST(Wire, AnInvalidAttemptLimitPanics) {
  for (const char* bad : {"rules.countedOver=0 rules.freeResends=1", "rules.freeResends=1"}) {
    Session session;
    std::string reply = Feed(session, {"BEGIN_BATCH atTime=1 turn=1", std::string(kInit) + " " + bad, "END"});
    EXPECT_NE(reply.find("PANIC i="), std::string::npos) << reply;
    EXPECT_NE(reply.find("attempt_window"), std::string::npos) << reply;
  }
}

TEST(Wire, MessagesOfOtherRoutersAreIgnored) {
  Session session;
  std::string reply =
      Feed(session, {"BEGIN_BATCH atTime=1 turn=1", kInit, "MESSAGE i=0 neighbour=2 data=0a1b2c3d",
                     "MESSAGE i=0 neighbour=2 data=-", "END"});
  EXPECT_EQ(reply.find("POST"), std::string::npos);
  EXPECT_NE(reply.find("FINISHED turn=1"), std::string::npos);
}

TEST(Wire, EachMalformedLineIsNamedByNumber) {
  const std::vector<std::string> bad = {
      "NEW_REQUEST i=3 tid=9 kind=0",                         // remaining is missing
      "NEW_REQUEST i=3 tid=99999999999 kind=0 remaining=1",   // out of range
      "NEW_REQUEST i=3 tid=9 kind=0 remaining=1x",            // not a number
      "NEW_REQUEST i=3 tid=9 object=xyz kind=0 remaining=1",  // not hex
      "NEW_REQUEST i=3 tid kind=0 remaining=1",               // not name=value
      "RESULT i=3 tid=9 node=node.a shot=0 outcome=PERHAPS",  // unknown outcome
      "REGISTRY i=3 scope=9 buffer=0",                        // out of range
      "REGISTRY i=3 scope=1 buffer=5",                        // never filled
      "MANIFEST buffer=16 elements=0",                        // out of range
      "ROW condition=1 node=node.q",                          // not announced by a MANIFEST
      "BEGIN_BATCH atTime=1 turn=1",                          // within a batch
      "WHATEVER i=3",                                         // unknown
  };
  for (const std::string& line : bad) {
    Session session;
    Feed(session, Start());
    std::string reply;
    session.HandleLine("BEGIN_BATCH atTime=2000 turn=2", reply);
    try {
      session.HandleLine(line, reply);
      ADD_FAILURE() << "accepted: " << line;
    } catch (const WireError& error) {
      EXPECT_EQ(std::string(error.what()).find("line 10: expected "), 0u) << error.what();
    }
    EXPECT_EQ(reply, "");
  }
  Session session;
  std::string reply;
  EXPECT_THROW(session.HandleLine("BELL i=3 mark=1", reply), WireError);  // outside a batch
}

TEST(Wire, EveryActionHasItsLine) {
  auto line = [](const Action& action) {
    std::string out;
    AppendAction(out, 5, action);
    return out;
  };
  RequestId id{7};
  EXPECT_EQ(line(Send{id, {"n"}, Duration(80)}), "TRANSMIT i=5 tid=7 node=n giveUpAfter=80\n");
  EXPECT_EQ(line(Reject{id, Duration(30)}), "REFUSE i=5 tid=7 backoff=30\n");
  EXPECT_EQ(line(Reject{id, {}}), "REFUSE i=5 tid=7\n");
  EXPECT_EQ(line(Fail{id}), "REPORT_FAILURE i=5 tid=7\n");
  EXPECT_EQ(line(Cancel{id, 2}), "DROP_ATTEMPT i=5 tid=7 shot=2\n");
  EXPECT_EQ(line(SetTimer{TimerId{4}, Duration(9)}), "NOTIFY_ME i=5 mark=4 in=9\n");
  EXPECT_EQ(line(Subscribe{}), "KEEP_INFORMED i=5 want=1\n");
  EXPECT_EQ(line(CloseIdleConnections{{"n"}}), "RELEASE i=5 node=n\n");
  EXPECT_EQ(line(Log{"a b"}), "SAY_LOG i=5 text=a b\n");
}

}  // namespace
}  // namespace peatbend::benchlink

// Membership of a single router, step by step. twin_test.cpp covers whole fleets.
#include "peers/membership.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace peatbend::peers {
namespace {

Record Of(const std::string& name, std::uint64_t generation, const std::string& address) {
  Record r;
  r.name = name;
  r.generation = r.first_generation = generation;
  r.address = address;
  return r;
}

struct TestMembership {
  explicit TestMembership(std::vector<std::string> seeds = {}, std::uint64_t generation = 100)
      : membership(Options{.fleet = "f"}, Of("me", generation, "a:1"), std::move(seeds), 1, now, {},
                   [this](const std::string& line) { log += line + "\n"; }) {}
  std::vector<Outgoing> Step(Duration later) {
    std::vector<Outgoing> out;
    membership.Step(now += later, out);
    return out;
  }
  // Calls Step whenever it is due, for the duration `later`.
  std::vector<Outgoing> Run(Duration later) {
    std::vector<Outgoing> all;
    for (TimePoint until = now + later; now < until;) {
      auto out = Step(std::min(membership.Due(), until) - now);
      all.insert(all.end(), out.begin(), out.end());
    }
    return all;
  }
  std::vector<Outgoing> Receive(Message m, Transport transport = Transport::kDatagram) {
    std::vector<Outgoing> out;
    answer = membership.Receive(now, m, transport, out);
    return out;
  }
  const Record& Sees(const std::string& name) { return membership.members().at(name).record; }
  TimePoint now{10s};
  std::string log;
  std::optional<Message> answer;
  Membership membership;
};

Message From(const Record& sender, MessageKind kind, std::uint64_t sequence,
             std::vector<Record> records = {}) {
  Message m;
  m.kind = kind;
  m.fleet = "f";
  m.from = sender.name;
  m.reply_to = sender.address;
  m.generation = sender.generation;
  m.first_generation = sender.first_generation;
  m.sequence = sequence;
  m.member = true;
  m.records = std::move(records);
  return m;
}

Message AckOf(const Record& sender, const Outgoing& ping, std::uint64_t sequence,
              ReceiverStatus receiver_status = ReceiverStatus::kPresent) {
  Message ack = From(sender, MessageKind::kAck, sequence);
  ack.probe = ping.message.probe;
  ack.receiver_status = receiver_status;
  return ack;
}

const Record kOther = Of("other", 50, "b:1");

TEST_CASE("peers: a silent member is suspected and then dead; a refutation in between clears the suspicion") {
  for (bool refutes : {false, true}) {
    TestMembership test;
    test.Receive(From(kOther, MessageKind::kGossip, 1, {kOther}));
    test.Run(250ms);
    REQUIRE(test.Sees("other").state == State::kSuspect);
    if (refutes) {
      Record again = kOther;
      again.incarnation = 1;
      test.Receive(From(kOther, MessageKind::kGossip, 2, {again}));
      CHECK(test.Sees("other").state == State::kAlive);
    } else {
      test.Run(1500ms);
      CHECK(test.Sees("other").state == State::kDead);
      // No record of the dead generation revives the member; a new generation does.
      Record again = kOther;
      again.incarnation = 99;
      test.Receive(From(kOther, MessageKind::kGossip, 2, {again}));
      CHECK(test.Sees("other").state == State::kDead);
      again.generation = 51;
      test.Receive(From(again, MessageKind::kGossip, 1, {again}));
      CHECK(test.Sees("other").state == State::kAlive);
    }
  }
}

TEST_CASE("peers: a process that learns of its own death starts a new generation") {
  TestMembership test;
  Record dead = test.membership.self();
  dead.state = State::kDead;
  test.Receive(From(kOther, MessageKind::kGossip, 1, {kOther, dead}));
  CHECK(test.membership.self().generation == 101);
  CHECK(test.membership.self().first_generation == 100);
  CHECK(test.membership.StatusAt(test.now) != SelfStatus::kConfirmed);
}

TEST_CASE("peers: a stall is detected before any other work and discards earlier probes") {
  TestMembership test;
  test.Receive(From(kOther, MessageKind::kGossip, 1, {kOther}));
  auto ping = test.Step(1ms);
  REQUIRE(!ping.empty());
  test.Receive(AckOf(kOther, ping.front(), 2));
  CHECK(test.membership.StatusAt(test.now) == SelfStatus::kConfirmed);
  ping = test.Run(210ms);
  test.now += 60s;  // the process is stopped: no step and no message
  CHECK(test.membership.StatusAt(test.now) == SelfStatus::kUnconfirmed);
  test.Receive(AckOf(kOther, ping.back(), 3));  // received before the stall, read after it
  CHECK(test.membership.StatusAt(test.now) == SelfStatus::kUnconfirmed);
  CHECK(test.membership.metrics().stalls == 1);
  ping = test.Step(1ms);
  CHECK(test.Sees("other").state == State::kAlive);  // probes from before the stall do not count
  test.Receive(AckOf(kOther, ping.front(), 4));
  CHECK(test.membership.StatusAt(test.now) == SelfStatus::kConfirmed);
}

TEST_CASE("peers: duplicates and messages of a former generation are dropped") {
  TestMembership test;
  test.Receive(From(kOther, MessageKind::kGossip, 70, {kOther}));
  Record suspect = kOther;
  for (std::uint64_t sequence :
       {70u, 71u, 69u, 69u, 71u, 5u}) {  // the first 70 arrived before the member was known
    test.Receive(From(kOther, MessageKind::kPing, sequence));
  }
  CHECK(test.membership.metrics().replayed == 3);  // 69 and 71 again, and 5, below the window
  test.Receive(From(Of("other", 49, "b:1"), MessageKind::kPing, 900));
  CHECK(test.membership.metrics().former == 1);
}

TEST_CASE("peers: a new process does not take over the name of a live one") {
  Record older = Of("me", 40, "c:1");
  for (bool alive : {true, false}) {
    TestMembership test({"b:1"});
    auto out = test.Step(1ms);
    REQUIRE(out.size() == 1);
    CHECK(out[0].message.kind == MessageKind::kJoin);
    test.Receive(From(kOther, MessageKind::kTable, 1, {kOther, older}), Transport::kStreamReply);
    CHECK(test.membership.phase() == Membership::Phase::kNameConflict);
    out = test.Step(10ms);
    REQUIRE(out.size() == 1);
    CHECK(out[0].to == "c:1");
    if (alive) {
      test.Receive(AckOf(older, out[0], 1));
      CHECK(test.membership.phase() == Membership::Phase::kRefused);
      CHECK(test.log.find("refused: the name me is in use by a live process at c:1") != std::string::npos);
      test.Run(6s);
      CHECK(test.membership.phase() == Membership::Phase::kJoining);  // joins again after a delay
    } else {
      test.Run(1200ms);
      CHECK(test.membership.phase() == Membership::Phase::kMember);
      CHECK(test.membership.self().generation > 40);
    }
  }
}

TEST_CASE("peers: a process restarted at its address rejoins even if its clock is behind") {
  TestMembership test({"b:1"}, 30);  // an hour behind
  test.Step(1ms);
  test.Receive(From(kOther, MessageKind::kTable, 1, {kOther, Of("me", 40, "a:1")}), Transport::kStreamReply);
  CHECK(test.membership.phase() == Membership::Phase::kMember);
  CHECK(test.membership.self().generation == 41);
}

TEST_CASE("peers: a process ignores itself as a seed, by address and by the answering name") {
  CHECK(TestMembership({"a:1"}).membership.phase() == Membership::Phase::kMember);
  TestMembership test({"alias:1"});
  auto out = test.Step(1ms);
  REQUIRE(out.size() == 1);
  test.Receive(out[0].message, Transport::kStreamRequest);
  CHECK(test.membership.phase() == Membership::Phase::kMember);
}

TEST_CASE("peers: joins to unreachable seeds are retried at a limited rate") {
  TestMembership test({"b:1", "c:1"});
  std::size_t joins = test.Run(60s).size();
  CHECK(joins >= 90);
  CHECK(joins <= 125);
  CHECK(test.membership.phase() == Membership::Phase::kJoining);
  CHECK(test.membership.StatusAt(test.now) == SelfStatus::kNotMember);
}

TEST_CASE("peers: members beyond the limit are counted and not kept") {
  TestMembership test;
  std::uint64_t sequence = 0;
  for (int i = 0; i < 1100; ++i)
    test.Receive(From(kOther, MessageKind::kGossip, ++sequence, {Of("n" + std::to_string(i), 1, "x:1")}));
  CHECK(test.membership.members().size() == 1024);
  CHECK(test.membership.metrics().over == 1100 - 1024);
}

}  // namespace
}  // namespace peatbend::peers

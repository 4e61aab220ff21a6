// Single steps of the decisions, by hand. What many do together is in twin_test.cpp.
#include "peers/membership.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace peatbend::peers {
namespace {

Record Of(const std::string& name, std::uint64_t life, const std::string& address) {
  Record r;
  r.name = name;
  r.life = r.birth = life;
  r.address = address;
  return r;
}

struct One {
  explicit One(std::vector<std::string> seeds = {}, std::uint64_t life = 100)
      : it(Options{.fleet = "f"}, Of("me", life, "a:1"), std::move(seeds), 1, now, {},
           [this](const std::string& line) { said += line + "\n"; }) {}
  std::vector<Outgoing> Step(Span later) {
    std::vector<Outgoing> out;
    it.Step(now += later, out);
    return out;
  }
  // Steps as often as it asks for, until `later` is over.
  std::vector<Outgoing> Run(Span later) {
    std::vector<Outgoing> all;
    for (Time until = now + later; now < until;) {
      auto out = Step(std::min(it.Due(), until) - now);
      all.insert(all.end(), out.begin(), out.end());
    }
    return all;
  }
  std::vector<Outgoing> Take(Message m, Via via = Via::kDatagram) {
    std::vector<Outgoing> out;
    answer = it.Take(now, m, via, out);
    return out;
  }
  const Record& Sees(const std::string& name) { return it.members().at(name).record; }
  Time now{10s};
  std::string said;
  std::optional<Message> answer;
  Membership it;
};

Message From(const Record& sender, Kind kind, std::uint64_t number, std::vector<Record> records = {}) {
  Message m;
  m.kind = kind;
  m.fleet = "f";
  m.from = sender.name;
  m.reply = sender.address;
  m.life = sender.life;
  m.birth = sender.birth;
  m.number = number;
  m.member = true;
  m.records = std::move(records);
  return m;
}

Message AckOf(const Record& sender, const Outgoing& ping, std::uint64_t number, You you = You::kPresent) {
  Message ack = From(sender, Kind::kAck, number);
  ack.probe = ping.message.probe;
  ack.you = you;
  return ack;
}

const Record kOther = Of("other", 50, "b:1");

TEST_CASE("peers: silence leads to suspicion, then to death; a word in between refutes it") {
  for (bool refutes : {false, true}) {
    One one;
    one.Take(From(kOther, Kind::kGossip, 1, {kOther}));
    one.Run(250ms);
    REQUIRE(one.Sees("other").state == State::kSuspect);
    if (refutes) {
      Record again = kOther;
      again.claim = 1;
      one.Take(From(kOther, Kind::kGossip, 2, {again}));
      CHECK(one.Sees("other").state == State::kAlive);
    } else {
      one.Run(1500ms);
      CHECK(one.Sees("other").state == State::kDead);
      // Nothing of that life brings it back, the next life does.
      Record again = kOther;
      again.claim = 99;
      one.Take(From(kOther, Kind::kGossip, 2, {again}));
      CHECK(one.Sees("other").state == State::kDead);
      again.life = 51;
      one.Take(From(again, Kind::kGossip, 1, {again}));
      CHECK(one.Sees("other").state == State::kAlive);
    }
  }
}

TEST_CASE("peers: a process that hears of its own death goes on as another") {
  One one;
  Record dead = one.it.self();
  dead.state = State::kDead;
  one.Take(From(kOther, Kind::kGossip, 1, {kOther, dead}));
  CHECK(one.it.self().life == 101);
  CHECK(one.it.self().birth == 100);
  CHECK(one.it.StandingAt(one.now) != Standing::kSure);
}

TEST_CASE("peers: standing still makes all beliefs old, and is noticed before anything is done") {
  One one;
  one.Take(From(kOther, Kind::kGossip, 1, {kOther}));
  auto ping = one.Step(1ms);
  REQUIRE(!ping.empty());
  one.Take(AckOf(kOther, ping.front(), 2));
  CHECK(one.it.StandingAt(one.now) == Standing::kSure);
  ping = one.Run(210ms);
  one.now += 60s;  // not a step, nor anything that came in
  CHECK(one.it.StandingAt(one.now) == Standing::kUnsure);
  one.Take(AckOf(kOther, ping.back(), 3));  // has waited in the socket since before
  CHECK(one.it.StandingAt(one.now) == Standing::kUnsure);
  CHECK(one.it.figures().stalls == 1);
  ping = one.Step(1ms);
  CHECK(one.Sees("other").state == State::kAlive);  // nobody is judged by what was asked before
  one.Take(AckOf(kOther, ping.front(), 4));
  CHECK(one.it.StandingAt(one.now) == Standing::kSure);
}

TEST_CASE("peers: a message taken twice counts once, an old one of a former life not at all") {
  One one;
  one.Take(From(kOther, Kind::kGossip, 70, {kOther}));
  Record suspect = kOther;
  for (std::uint64_t number : {70u, 71u, 69u, 69u, 71u, 5u}) {  // 70 came before the record did
    one.Take(From(kOther, Kind::kPing, number));
  }
  CHECK(one.it.figures().replayed == 3);  // 69 and 71 again, and 5, which lies too far back
  one.Take(From(Of("other", 49, "b:1"), Kind::kPing, 900));
  CHECK(one.it.figures().former == 1);
}

TEST_CASE("peers: a newcomer does not take the name of a live process, the older stays") {
  Record older = Of("me", 40, "c:1");
  for (bool lives : {true, false}) {
    One one({"b:1"});
    auto out = one.Step(1ms);
    REQUIRE(out.size() == 1);
    CHECK(out[0].message.kind == Kind::kJoin);
    one.Take(From(kOther, Kind::kTable, 1, {kOther, older}), Via::kAnswer);
    CHECK(one.it.phase() == Membership::Phase::kContest);
    out = one.Step(10ms);
    REQUIRE(out.size() == 1);
    CHECK(out[0].to == "c:1");
    if (lives) {
      one.Take(AckOf(older, out[0], 1));
      CHECK(one.it.phase() == Membership::Phase::kRefused);
      CHECK(one.said.find("refused: the name me is in use by a live process at c:1") != std::string::npos);
      one.Run(6s);
      CHECK(one.it.phase() == Membership::Phase::kJoining);  // asks again after a while
    } else {
      one.Run(1200ms);
      CHECK(one.it.phase() == Membership::Phase::kMember);
      CHECK(one.it.self().life > 40);
    }
  }
}

TEST_CASE("peers: a process back at its address takes its former place, whatever its clock says") {
  One one({"b:1"}, 30);  // an hour behind
  one.Step(1ms);
  one.Take(From(kOther, Kind::kTable, 1, {kOther, Of("me", 40, "a:1")}), Via::kAnswer);
  CHECK(one.it.phase() == Membership::Phase::kMember);
  CHECK(one.it.self().life == 41);
}

TEST_CASE("peers: a seed that is itself is passed over, by its address and by its voice") {
  CHECK(One({"a:1"}).it.phase() == Membership::Phase::kMember);
  One one({"alias:1"});
  auto out = one.Step(1ms);
  REQUIRE(out.size() == 1);
  one.Take(out[0].message, Via::kStream);
  CHECK(one.it.phase() == Membership::Phase::kMember);
}

TEST_CASE("peers: seeds that are dead for a minute are asked on, paced") {
  One one({"b:1", "c:1"});
  std::size_t joins = one.Run(60s).size();
  CHECK(joins >= 90);
  CHECK(joins <= 125);
  CHECK(one.it.phase() == Membership::Phase::kJoining);
  CHECK(one.it.StandingAt(one.now) == Standing::kOut);
}

TEST_CASE("peers: names beyond the bound are counted and not kept") {
  One one;
  std::uint64_t number = 0;
  for (int i = 0; i < 1100; ++i)
    one.Take(From(kOther, Kind::kGossip, ++number, {Of("n" + std::to_string(i), 1, "x:1")}));
  CHECK(one.it.members().size() == 1024);
  CHECK(one.it.figures().over == 1100 - 1024);
}

}  // namespace
}  // namespace peatbend::peers

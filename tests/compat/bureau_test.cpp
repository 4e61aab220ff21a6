// The bureaus of a fleet, in simulated time: messages that are lost or late, seats that start anew with their
// memory or without, and the register's founding.
#include "compat/bureau.h"

#include <doctest/doctest.h>

#include <set>

namespace peatbend::compat {
namespace {

using namespace std::chrono_literals;

struct Town {
  explicit Town(std::size_t size, bool found = true) : seats({{"r0", ""}, {"r1", ""}, {"r2", ""}}) {
    routers.resize(size);
    memories.resize(size);
    for (std::size_t i = 0; i < size; ++i) Start(i);
    if (!found) return;
    for (std::size_t i = 0; i < 3; ++i) at(i).Found(now);
    REQUIRE(Until([&] { return at(0).votes(now) && at(1).votes(now) && at(2).votes(now); }, 5s));
  }
  static std::string Name(std::size_t i) { return "r" + std::to_string(i); }
  Bureau& at(std::size_t i) { return *routers[i]; }
  void Start(std::size_t i, bool with_memory = false) {
    std::optional<Memory> memory;
    if (with_memory) memory = Memory::Read(memories[i]);
    ++life;
    routers[i].emplace(BureauOptions{}, seats, Name(i), life, 1000 + life, now, [this, i] {
      std::vector<std::string> others;
      for (std::size_t j = 0; j < routers.size(); ++j)
        if (j != i) others.push_back(Name(j));
      return others;
    });
    routers[i]->Sit(now, memory);
  }
  // 1 ms: what is said arrives, unless its link is cut or it is lost.
  void Step() {
    now += 1ms;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      if (!routers[i]) continue;
      if (now >= at(i).Due()) at(i).Tick(now);
      if (at(i).unsaved()) memories[i] = at(i).memory().Bytes(), at(i).Saved();
      for (auto& told : at(i).TakeTold()) told.then(told.answer);
      for (auto& out : at(i).TakeOut()) {
        std::size_t to = std::stoul(out.router.substr(1));
        bool lost = cut.contains({i, to}) || (loss > 0 && random() % 100 < loss);
        if (to == i || !lost) way.push_back({i, to, std::move(out.say)});
      }
    }
    for (auto& one : std::exchange(way, {})) {
      Say read;
      REQUIRE(Decode(Encode(7, one.say), 7, read) == DecodeError::kNone);
      if (routers[one.to]) at(one.to).Take(now, Name(one.from), read);
    }
  }
  template <typename F>
  bool Until(F holds, Duration within) {
    for (TimePoint until = now + within; !holds();) {
      if (now > until) return false;
      Step();
    }
    return true;
  }
  void Cut(std::size_t one, std::size_t other, bool on) {
    for (auto pair : {std::pair(one, other), std::pair(other, one)})
      on ? void(cut.insert(pair)) : void(cut.erase(pair));
  }
  // The answer, once it is there.
  std::shared_ptr<std::optional<Answer>> Bring(std::size_t i, Change::Command command) {
    auto answer = std::make_shared<std::optional<Answer>>();
    at(i).Bring(now, "", std::move(command), [answer](const Answer& told) { *answer = told; });
    return answer;
  }

  struct Letter {
    std::size_t from, to;
    Say say;
  };
  failover::ReplicaSet seats;
  TimePoint now = 1h;
  std::uint64_t life = 0;
  unsigned loss = 0;
  std::mt19937_64 random{1};
  std::vector<std::optional<Bureau>> routers;
  std::vector<std::string> memories;
  std::set<std::pair<std::size_t, std::size_t>> cut;
  std::vector<Letter> way;
};

Change::Command Publish(std::uint32_t version, const std::string& schema) {
  return [=](Catalogue& it) {
    if (!it.subjects().contains("s")) it.Declare("s", {});
    return it.Propose("s", version, schema);
  };
}
std::size_t Versions(const Bureau& of) {
  auto at = of.known().subjects().find("s");
  return at == of.known().subjects().end() ? 0 : at->second.versions.size();
}

TEST_CASE("nothing is published before all three seats are told that the register is new") {
  Town town(4, false);
  auto answer = town.Bring(3, Publish(1, R"("int")"));
  town.Until([] { return false; }, 3s);
  town.at(0).Found(town.now);
  town.at(1).Found(town.now);
  CHECK_FALSE(town.Until([&] { return answer->has_value() || town.at(0).votes(town.now); }, 5s));
  town.at(2).Found(town.now);
  CHECK(town.Until([&] { return answer->has_value(); }, 5s));
  CHECK((*answer)->yes());
  CHECK(town.Until([&] { return Versions(town.at(0)) + Versions(town.at(1)) + Versions(town.at(2)) == 3; },
                   1s));
}

TEST_CASE(
    "many bring at once, with a fifth of all messages lost: each is answered, and all learn what stands") {
  Town town(10);
  town.loss = 20;
  std::vector<std::shared_ptr<std::optional<Answer>>> answers;
  for (std::size_t i = 0; i < 10; ++i)
    answers.push_back(town.Bring(i, Publish(1, i % 2 == 0 ? R"("int")" : R"("long")")));
  CHECK(town.Until([&] { return std::ranges::all_of(answers, [](auto& one) { return one->has_value(); }); },
                   120s));
  std::size_t yes[2] = {};
  for (std::size_t i = 0; i < 10; ++i) yes[i % 2] += (*answers[i])->yes();
  CHECK(yes[0] + yes[1] == 5);
  CHECK(yes[0] * yes[1] == 0);
  CHECK(town.Until(
      [&] {
        for (std::size_t i = 0; i < 10; ++i)
          if (town.at(i).known().Bytes() != town.at(0).known().Bytes()) return false;
        return true;
      },
      60s));
}

TEST_CASE("two halves: who is without two seats waits, and is refused by what stands once they meet") {
  Town town(4);
  for (std::size_t one : {0, 3})
    for (std::size_t other : {1, 2}) town.Cut(one, other, true);
  auto small = town.Bring(3, Publish(1, R"("int")")), large = town.Bring(1, Publish(1, R"("long")"));
  CHECK(town.Until([&] { return large->has_value(); }, 5s));
  CHECK((*large)->yes());
  CHECK_FALSE(town.Until([&] { return small->has_value(); }, 10s));
  for (std::size_t one : {0, 3})
    for (std::size_t other : {1, 2}) town.Cut(one, other, false);
  CHECK(town.Until([&] { return small->has_value(); }, 10s));
  REQUIRE_FALSE((*small)->yes());
  CHECK((*small)->objections[0].rule == "version");
  CHECK(Versions(town.at(3)) == 1);
}

TEST_CASE("who brought it dies before it tells: a seat reads what it keeps, and all learn of it") {
  Town town(4);
  town.Until([] { return false; }, 3s);
  town.Bring(3, Publish(1, R"("int")"));
  auto kept = [&](std::size_t i) { return town.at(i).memory().version > 0; };
  REQUIRE(town.Until([&] { return kept(0) || kept(1) || kept(2); }, 5s));
  town.routers[3].reset();
  CHECK(town.Until([&] { return Versions(town.at(0)) + Versions(town.at(1)) + Versions(town.at(2)) == 3; },
                   10s));
}

TEST_CASE("a seat that starts anew votes by its memory, or by both words; and is not founded again") {
  for (bool with_memory : {true, false}) {
    CAPTURE(with_memory);
    Town town(4);
    auto first = town.Bring(3, Publish(1, R"("long")"));
    REQUIRE(town.Until([&] { return first->has_value(); }, 5s));
    town.routers[0].reset();
    auto meanwhile = town.Bring(3, Publish(2, R"("int")"));
    REQUIRE(town.Until([&] { return meanwhile->has_value(); }, 5s));
    CHECK((*meanwhile)->yes());
    town.Start(0, with_memory);
    CHECK(town.at(0).votes(town.now) == with_memory);
    town.at(0).Found(town.now);  // an old word
    CHECK(town.Until([&] { return town.at(0).votes(town.now); }, 5s));
    CHECK(town.at(0).barred() == !with_memory);
    town.routers[1].reset();
    auto third = town.Bring(3, Publish(2, R"("long")"));  // 0 and 2 have the say
    REQUIRE(town.Until([&] { return third->has_value(); }, 10s));
    CHECK_FALSE((*third)->yes());
  }
}

TEST_CASE(
    "what two seats alone have accepted outlives the start of one with its memory and the end of the other") {
  Town town(4);
  for (std::size_t i : {0, 1, 3}) town.Cut(2, i, true);
  auto first = town.Bring(3, Publish(1, R"("int")"));
  REQUIRE(town.Until([&] { return first->has_value(); }, 5s));
  town.Start(0, true);
  town.routers[1].reset();
  town.routers[3].reset();
  for (std::size_t i : {0, 1, 3}) town.Cut(2, i, false);
  auto second = town.Bring(2, Publish(1, R"("long")"));
  REQUIRE(town.Until([&] { return second->has_value(); }, 10s));
  REQUIRE_FALSE((*second)->yes());
  CHECK((*second)->objections[0].rule == "version");
}

TEST_CASE("two seats that have lost their memory publish nothing, told to found or not") {
  Town town(4);
  auto first = town.Bring(3, Publish(1, R"("int")"));
  REQUIRE(town.Until([&] { return first->has_value(); }, 5s));
  for (std::size_t i : {0, 1}) town.Start(i);
  for (std::size_t i : {0, 1, 2}) town.at(i).Found(town.now);
  auto second = town.Bring(3, Publish(1, R"("long")"));
  CHECK_FALSE(town.Until([&] { return second->has_value(); }, 20s));
  CHECK(Versions(town.at(3)) == 1);
}

TEST_CASE("more changes than may wait are refused, and what waits is brought") {
  Town town(4);
  std::vector<std::shared_ptr<std::optional<Answer>>> answers;
  for (int i = 0; i < 70; ++i) answers.push_back(town.Bring(3, Publish(1, R"("int")")));
  CHECK(town.Until([&] { return answers[63]->has_value(); }, 30s));
  CHECK((*answers[63])->yes());
  CHECK((*answers[69])->objections.at(0).rule == "busy");
}

TEST_CASE("what strangers write is no message and no memory") {
  Say say;
  std::string whole = Encode(7, Say{});
  CHECK(Decode(whole, 8, say) == DecodeError::kReplicaSet);
  for (std::size_t size = 0; size < whole.size(); ++size)
    CHECK(Decode(whole.substr(0, size), 7, say) == DecodeError::kMalformed);
  Memory memory;
  memory.words["r1"] = 5;
  std::string bytes = memory.Bytes();
  CHECK(Memory::Read(bytes) == memory);
  for (std::size_t size = 0; size < bytes.size(); ++size) CHECK_FALSE(Memory::Read(bytes.substr(0, size)));
}

}  // namespace
}  // namespace peatbend::compat

// The catalogue in its register: seats that are reached or not, and start anew.
#include "compat/register.h"

#include <doctest/doctest.h>

namespace peatbend::compat {
namespace {

using failover::kReplicas;

struct Fleet {
  Fleet() {
    for (std::size_t s = 0; s < kReplicas; ++s) seats.push_back(Seat(s, 1, true));
  }
  static failover::RecordReplica Seat(std::size_t s, std::uint64_t life, bool found) {
    auto name = [](std::size_t seat) { return "s" + std::to_string(seat); };
    return RegisterSeat({}, found, name(s), life, [name](const std::string&) {
      return std::array<std::string, kReplicas>{name(0), name(1), name(2)};
    });
  }
  // Brings it there by the seats that are reached; above the rounds that it meets, so in two goes.
  Change::Verdict Bring(Change& change, std::vector<bool> reached) {
    auto last = Change::Verdict::kLost;
    for (int begun = 0; begun < 2 && last == Change::Verdict::kLost; ++begun) {
      std::vector<failover::RecordProposer::Outgoing> out;
      change.Begin({}, out);
      last = Change::Verdict::kNothing;
      for (std::size_t i = 0; i < out.size(); ++i) {
        if (!reached[out[i].replica]) continue;
        auto asked = out[i];
        auto verdict = change.Take({}, asked.replica, seats[asked.replica].Handle({}, asked.message), out);
        if (verdict != Change::Verdict::kNothing) last = verdict;
      }
    }
    return last;
  }
  Change By(const std::string& who, Change::Command command) { return Change("w", {who, 1, ++go}, command); }
  std::vector<failover::RecordReplica> seats;
  std::uint64_t go = 0;
};

Answer Found(Catalogue& it) { return it.Declare("s", {}); }
Change::Command First(const std::string& schema) {
  return [schema](Catalogue& it) { return it.Propose("s", 1, schema); };
}

TEST_CASE("of two halves one publishes, and the other learns of it") {
  Fleet fleet;
  Change found = fleet.By("eve", Found), one = fleet.By("a", First(R"("int")")),
         other = fleet.By("b", First(R"("long")"));
  CHECK(fleet.Bring(found, {true, true, true}) == Change::Verdict::kTell);
  CHECK(fleet.Bring(one, {true, true, false}) == Change::Verdict::kTell);
  CHECK(one.answer().yes());
  CHECK(fleet.Bring(other, {false, false, true}) == Change::Verdict::kNothing);  // nothing is told
  CHECK(fleet.Bring(other, {false, true, true}) == Change::Verdict::kTell);
  REQUIRE(other.answer().objections.size() == 1);
  CHECK(other.answer().objections[0].rule == "version");
  CHECK(other.catalogue()->subjects().at("s").versions[0].schema == R"("int")");
}

TEST_CASE("a seat that starts anew votes with both words, and is never forgotten") {
  Fleet fleet;
  Change found = fleet.By("eve", Found), one = fleet.By("a", First(R"("int")")), other = fleet.By("b", Found);
  fleet.Bring(found, {true, true, true});
  CHECK(fleet.Bring(one, {true, true, false}) == Change::Verdict::kTell);
  fleet.seats[0] = Fleet::Seat(0, 2, false);
  CHECK(fleet.Bring(other, {true, false, true}) == Change::Verdict::kNothing);
  failover::Message ask = fleet.seats[0].RequestSync();
  for (std::size_t s : {1, 2})
    for (const auto& word : fleet.seats[s].AnswerSync({}, ask))
      fleet.seats[0].HandleSync({}, "s" + std::to_string(s), word);
  for (auto& seat : fleet.seats) seat.DropExpired(std::chrono::hours(24 * 365));
  Change third = fleet.By("c", First(R"("long")"));
  CHECK(fleet.Bring(third, {true, false, true}) == Change::Verdict::kTell);
  CHECK_FALSE(third.answer().yes());
}

TEST_CASE("a catalogue of a later form is left as it is") {
  Fleet fleet;
  failover::Message later;
  later.kind = failover::Kind::kAccept;
  later.operation = "w";
  later.ballot = {1, {"later", 1, 1}};
  later.version = 1;
  later.state.value = "\x92\x02\x90";
  for (auto& seat : fleet.seats) seat.Handle({}, later);
  Change one = fleet.By("z", Found);
  CHECK(fleet.Bring(one, {true, true, true}) == Change::Verdict::kTell);
  CHECK(one.answer().objections.at(0).rule == "form");
  CHECK_FALSE(one.catalogue());
  for (const auto& seat : fleet.seats) CHECK(seat.stored().at("w").state.value == later.state.value);
}

}  // namespace
}  // namespace peatbend::compat

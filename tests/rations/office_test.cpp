// Shards that are kept, and offices that talk to each other without a fault.
#include "rations/office.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

#include "doctest/doctest.h"
#include "peers/message.h"
#include "rations/kept.h"
#include "rations/quota_table_test_util.h"
#include "rations/wire.h"

namespace peatbend::rations {
namespace {

using namespace std::chrono_literals;
using namespace test;

// ---- A shard that is kept ---------------------------------------------------------------------------------

struct Kept3 {
  QuotaTable table = MakeTable({MakeQuota({10, 100})});
  std::vector<Fence::To> out;
  Kept kept{ShardOf(table.BucketPathOf(RequestBy(0))), Go{1, "k", 3, 1}, 0s, out};
  std::vector<Seat> seats{Seat(11), Seat(12), Seat(13)};
  Kept3() {
    Carry();
    REQUIRE(kept.fence.Begin());
    kept.SetTable(table, {}, 0s, 0);
  }
  void Carry() {
    for (auto& [seat, message] : std::exchange(out, {})) kept.fence.Take(seat, seats[seat].Take(message));
  }
  Message Draw(std::uint64_t number, std::uint32_t want, std::uint64_t drawer = 5) {
    Message draw;
    draw.kind = MessageKind::kDraw;
    draw.shard = ShardOf(table.BucketPathOf(RequestBy(0)));
    draw.number = number;
    draw.drawer = drawer;
    draw.print = table.fingerprint;
    draw.entries = {EntryOf(table.BucketPathOf(RequestBy(0)), want)};
    return draw;
  }
};

TEST_CASE(
    "kept: a draw is answered once it is confirmed, alike when it is said again, and never if it is an older "
    "one") {
  Kept3 at;
  CHECK_FALSE(at.kept.Draw(1s, "a", at.Draw(2, 4)));
  CHECK(at.kept.Turn(1s, 0, kNoCondition, at.out) == 4);
  CHECK(at.kept.Confirmed().empty());
  CHECK_FALSE(at.kept.Draw(1s, "a", at.Draw(2, 4)));
  at.Carry();
  auto told = at.kept.Confirmed();
  REQUIRE(told.size() == 1);
  CHECK(told[0].message.entries[0].want == 4);
  CHECK(at.kept.Confirmed().empty());
  auto again = at.kept.Draw(2s, "a", at.Draw(2, 4));
  REQUIRE(again);
  CHECK(*again == told[0].message);
  CHECK_FALSE(at.kept.Draw(2s, "a", at.Draw(1, 4)));
  CHECK(at.kept.Turn(2s, 0, kNoCondition, at.out) == 0);
}

TEST_CASE("kept: under another book a draw that was answered is not reckoned again, and no other is lost") {
  Kept3 at;
  at.kept.Draw(1s, "a", at.Draw(1, 10));
  CHECK(at.kept.Turn(1s, 0, kNoCondition, at.out) == 10);
  at.kept.SetTable(at.table, {}, 1s, 0);
  at.kept.Draw(2s, "a", at.Draw(1, 10));
  CHECK(at.kept.Turn(2s, 0, kNoCondition, at.out) == 0);
  at.kept.Draw(2s, "a", at.Draw(2, 4));
  CHECK(at.kept.Turn(2s, 0, kNoCondition, at.out) == 4);
}

TEST_CASE("kept: who has been promised another go's seats hands out nothing") {
  Kept3 at;
  at.kept.Draw(1s, "a", at.Draw(1, 10));
  for (std::size_t seat : {0u, 2u}) {
    Message ask;
    ask.shard = at.Draw(1, 1).shard;
    ask.go = {2, "z", 1, 1};
    CHECK(at.seats[seat].Take(ask).kind == MessageKind::kPromise);
  }
  at.kept.Turn(1s, 0, kNoCondition, at.out);
  at.Carry();
  CHECK(at.kept.Confirmed().empty());
  CHECK_FALSE(at.kept.keeping());
}

// ---- Offices ----------------------------------------------------------------------------------------------

struct Three {
  std::shared_ptr<const QuotaTable> table;
  std::vector<std::unique_ptr<Office>> offices;
  explicit Three(std::uint64_t print) : table(Book(print)) {
    failover::ReplicaSet seats({{"a", "x"}, {"b", "y"}, {"c", "z"}});
    for (std::uint64_t i = 0; i < 3; ++i)
      offices.push_back(std::make_unique<Office>(OfficeOptions{}, seats, Name(i), i + 1, i, table, 0s,
                                                 [](const std::string&) { return true; }));
  }
  static std::shared_ptr<const QuotaTable> Book(std::uint64_t print) {
    QuotaTable made = MakeTable({MakeQuota({100, 100})});
    made.fingerprint = print;
    return std::make_shared<const QuotaTable>(made);
  }
  static std::string Name(std::size_t i) { return std::string(1, static_cast<char>('a' + i)); }
  // All that is said arrives, a millisecond later.
  void Run(Time from, Time to) {
    for (Time now = from; now < to; now += 1ms) {
      std::vector<std::pair<std::string, Out>> said;
      for (std::size_t i = 0; i < 3; ++i) {
        if (offices[i]->Due() && *offices[i]->Due() <= now) offices[i]->Tick(now, 0, kNoCondition);
        for (Out& out : offices[i]->TakeOut()) said.emplace_back(Name(i), std::move(out));
      }
      for (auto& [sender, out] : said)
        offices[static_cast<std::size_t>(out.router[0] - 'a')]->Take(now, sender, out.message);
    }
  }
  std::size_t Keeper() const {
    std::size_t i = 0;
    while (i < 3 && offices[i]->kept() == 0) ++i;
    return i;
  }
};

TEST_CASE("office: one of a shard's seats keeps it once it is wanted, and nobody before") {
  Three at(1);
  at.Run(0s, 1s);
  CHECK(at.Keeper() == 3);
  at.offices[1]->Take(1s, RequestBy(0));
  at.Run(1s, 1s + 300ms);
  REQUIRE(at.Keeper() < 3);
  std::size_t kept = 0;
  for (auto& office : at.offices) kept += office->kept();
  CHECK(kept == 1);
  CHECK(at.offices[1]->Take(1s + 300ms, RequestBy(0)).within);
}

// Two processes under a seat's name at once: the one that has not the seat's address.
TEST_CASE("office: who bears a seat's name without being it promises and keeps nothing, and still draws") {
  Three at(1);
  OfficeOptions options;
  options.sits = false;
  failover::ReplicaSet seats({{"a", "x"}, {"b", "y"}, {"c", "z"}});
  at.offices[0] = std::make_unique<Office>(options, seats, "a", 9, 9, at.table, 0s,
                                           [](const std::string&) { return true; });
  Message ask;
  ask.shard = ShardOf(at.table->BucketPathOf(RequestBy(0)));
  ask.go = Go{1, "b", 7, 1};
  at.offices[0]->Take(0s, "b", ask);
  CHECK(at.offices[0]->TakeOut().empty());
  for (int i = 0; i < 10; ++i) CHECK(at.offices[0]->Take(0s, RequestBy(0)).within);
  CHECK_FALSE(at.offices[0]->Take(0s, RequestBy(0)).within);
  at.Run(0s, 4s);
  CHECK(at.offices[0]->kept() == 0);
  CHECK(at.Keeper() < 3);
  CHECK(at.offices[0]->purse().owed() == 0);
}

TEST_CASE("office: another book begins empty buckets, and is not served by a keeper of the former") {
  Three at(1);
  at.offices[1]->Take(1s, RequestBy(0));
  at.Run(1s, 2s + 60ms);
  std::size_t keeper = at.Keeper(), other = (keeper + 1) % 3;
  REQUIRE(keeper < 3);
  auto given = [&] { return at.offices[keeper]->figures().tokens; };
  auto ask = [&](Time from, Time to) {
    int within = 0;
    for (Time now = from; now < to; now += 20ms) {
      for (int i = 0; i < 50; ++i) within += at.offices[other]->Take(now, RequestBy(0)).within ? 1 : 0;
      at.Run(now, now + 20ms);
    }
    return within;
  };
  std::uint64_t before = given();
  at.offices[other]->SetTable(2s + 60ms, Three::Book(2));
  CHECK(ask(2s + 60ms, 2s + 160ms) == 10);
  CHECK(at.offices[keeper]->figures().other_book > 0);
  CHECK(given() == before);
  // The keeper has it too: its bucket was nearly full, and is empty now.
  at.offices[keeper]->SetTable(2s + 160ms, Three::Book(2));
  int within = ask(2s + 160ms, 2s + 360ms);
  CHECK(within > 5);
  CHECK(within <= 20);
  CHECK(given() - before <= 20);
}

// Says what five offices say to each other for so many requests a second and router, of so many clients with
// a bucket each, with so many seats, in so many seconds; asserts nothing of it. Instructions: by callgrind,
// less those of the same without rations (0 at the end).
TEST_CASE("office: bench" * doctest::skip()) {
  const char* given = std::getenv("PEATBEND_COST");
  std::istringstream words(given != nullptr ? given : "800 1000 3 11 1");
  double rate = 0, next = 1;
  std::size_t clients = 0, seats = 0, seconds = 0, sent = 0, bytes = 0, asked = 0, over = 0;
  bool on = true;
  words >> rate >> clients >> seats >> seconds >> on;
  double each = std::max(1.0, 15 * rate / static_cast<double>(clients));
  auto table = std::make_shared<const QuotaTable>(
      MakeTable({MakeQuota({each, std::max(10.0, 2 * each)}, -1, kPerClient)}));
  std::vector<failover::ReplicaName> names;
  auto name = [](std::size_t i) { return "r" + std::to_string(i); };
  for (std::size_t i = 0; i < seats; ++i) names.push_back({name(i), "a"});
  std::vector<std::unique_ptr<Office>> offices;
  for (std::uint64_t i = 0; i < 5; ++i)
    offices.push_back(std::make_unique<Office>(OfficeOptions{}, failover::ReplicaSet(names), name(i), ~i << 8,
                                               i + 1, table, 0s, [](const std::string&) { return true; }));
  std::deque<std::tuple<Time, std::size_t, std::string>> under_way;
  std::mt19937_64 random(3);
  std::exponential_distribution<double> gap(rate * 5);
  auto flush = [&](std::size_t i, Time now) {
    std::map<std::string, std::vector<Message>> to;
    for (Out& out : offices[i]->TakeOut()) to[out.router].push_back(std::move(out.message));
    for (const auto& [router, messages] : to) {
      peers::Message m;
      m.kind = peers::Kind::kCargo;
      m.from = name(i);
      m.fleet = m.reply = "127.0.0.1:7000";
      m.cargo = Encode(1, messages);
      under_way.emplace_back(now + 500us, router[1] - '0', peers::Encode(m));
      ++sent;
      bytes += std::get<2>(under_way.back()).size();
    }
  };
  auto turn = [&](std::size_t i, Time now) {
    if (offices[i]->Due().value_or(Time::max()) <= now) offices[i]->Tick(now, 0, kNoCondition);
    flush(i, now);
  };
  for (Time now{}; now < std::chrono::seconds(seconds); now += 250us) {
    for (; std::chrono::duration<double>(next) <= now; next += gap(random), ++asked) {
      std::size_t i = random() % 5;
      std::uint64_t client = random() % clients;
      over += on && !offices[i]->Take(now, RequestBy(0, client)).within ? 1 : 0;
    }
    for (; !under_way.empty() && std::get<0>(under_way.front()) <= now; under_way.pop_front()) {
      auto& [at, to, said] = under_way.front();
      peers::Message m;
      std::vector<Message> read;
      REQUIRE(peers::Decode(said, peers::kMostStream, "127.0.0.1:7000", m) == peers::Fault::kNone);
      REQUIRE(Decode(m.cargo, 1, read) == DecodeError::kNone);
      for (const Message& message : read) offices[to]->Take(now, m.from, message);
      turn(to, now);
    }
    for (std::size_t i = 0; on && i < 5; ++i) turn(i, now);
  }
  double all = 5.0 * static_cast<double>(seconds - 1);
  std::cout << asked << " requests, " << over << " over; a second and router "
            << static_cast<double>(sent) / all << " datagrams, " << static_cast<double>(bytes) / all
            << " bytes\n";
}

}  // namespace
}  // namespace peatbend::rations

// OwnedShard with its replicas, and quota managers that exchange messages without faults.
#include "rations/quota_manager.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

#include "doctest/doctest.h"
#include "peers/message.h"
#include "rations/owned_shard.h"
#include "rations/quota_table_test_util.h"
#include "rations/wire.h"

namespace peatbend::rations {
namespace {

using namespace std::chrono_literals;
using namespace test;

// ---- OwnedShard -------------------------------------------------------------------------------------------

// A shard whose ownership has been taken, with its three replicas.
struct OwnedShardFixture {
  QuotaTable table = MakeTable({MakeQuota({10, 100})});
  std::vector<ShardOwnership::Request> out;
  OwnedShard shard{ShardOf(table.BucketPathOf(RequestBy(0))), Ballot{1, "k", 3, 1}, 0s, out};
  std::vector<ShardReplica> replicas{ShardReplica(11), ShardReplica(12), ShardReplica(13)};
  OwnedShardFixture() {
    Deliver();
    REQUIRE(shard.ownership.TakeOwnership());
    shard.SetTable(table, {}, 0s, 0);
  }
  void Deliver() {
    for (auto& [replica, message] : std::exchange(out, {}))
      shard.ownership.Handle(replica, replicas[replica].Handle(message));
  }
  Message Request(std::uint64_t sequence, std::uint32_t tokens, std::uint64_t requester = 5) {
    Message request;
    request.kind = MessageKind::kTokenRequest;
    request.shard = ShardOf(table.BucketPathOf(RequestBy(0)));
    request.sequence = sequence;
    request.requester = requester;
    request.fingerprint = table.fingerprint;
    request.entries = {EntryOf(table.BucketPathOf(RequestBy(0)), tokens)};
    return request;
  }
};

TEST_CASE("owned shard: a request is answered once confirmed, identically when repeated, never if older") {
  OwnedShardFixture at;
  CHECK_FALSE(at.shard.HandleRequest(1s, "a", at.Request(2, 4)));
  CHECK(at.shard.GrantQueued(1s, 0, kNoCondition, at.out) == 4);
  CHECK(at.shard.TakeConfirmedGrants().empty());
  CHECK_FALSE(at.shard.HandleRequest(1s, "a", at.Request(2, 4)));
  at.Deliver();
  auto grants = at.shard.TakeConfirmedGrants();
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].message.entries[0].tokens == 4);
  CHECK(at.shard.TakeConfirmedGrants().empty());
  auto again = at.shard.HandleRequest(2s, "a", at.Request(2, 4));
  REQUIRE(again);
  CHECK(*again == grants[0].message);
  CHECK_FALSE(at.shard.HandleRequest(2s, "a", at.Request(1, 4)));
  CHECK(at.shard.GrantQueued(2s, 0, kNoCondition, at.out) == 0);
}

TEST_CASE("owned shard: another table grants no answered request again, and loses no other") {
  OwnedShardFixture at;
  at.shard.HandleRequest(1s, "a", at.Request(1, 10));
  CHECK(at.shard.GrantQueued(1s, 0, kNoCondition, at.out) == 10);
  at.shard.SetTable(at.table, {}, 1s, 0);
  at.shard.HandleRequest(2s, "a", at.Request(1, 10));
  CHECK(at.shard.GrantQueued(2s, 0, kNoCondition, at.out) == 0);
  at.shard.HandleRequest(2s, "a", at.Request(2, 4));
  CHECK(at.shard.GrantQueued(2s, 0, kNoCondition, at.out) == 4);
}

TEST_CASE("owned shard: no grant is sent once the replicas have promised another ballot") {
  OwnedShardFixture at;
  at.shard.HandleRequest(1s, "a", at.Request(1, 10));
  for (std::size_t replica : {0u, 2u}) {
    Message prepare;
    prepare.shard = at.Request(1, 1).shard;
    prepare.ballot = {2, "z", 1, 1};
    CHECK(at.replicas[replica].Handle(prepare).kind == MessageKind::kPromise);
  }
  at.shard.GrantQueued(1s, 0, kNoCondition, at.out);
  at.Deliver();
  CHECK(at.shard.TakeConfirmedGrants().empty());
  CHECK_FALSE(at.shard.is_owner());
}

// ---- QuotaManager -----------------------------------------------------------------------------------------

struct ThreeManagers {
  std::shared_ptr<const QuotaTable> table;
  std::vector<std::unique_ptr<QuotaManager>> managers;
  explicit ThreeManagers(std::uint64_t fingerprint) : table(TableWith(fingerprint)) {
    failover::ReplicaSet replicas({{"a", "x"}, {"b", "y"}, {"c", "z"}});
    for (std::uint64_t i = 0; i < 3; ++i)
      managers.push_back(std::make_unique<QuotaManager>(QuotaManagerOptions{}, replicas, Name(i), i + 1, i,
                                                        table, 0s, [](const std::string&) { return true; }));
  }
  static std::shared_ptr<const QuotaTable> TableWith(std::uint64_t fingerprint) {
    QuotaTable made = MakeTable({MakeQuota({100, 100})});
    made.fingerprint = fingerprint;
    return std::make_shared<const QuotaTable>(made);
  }
  static std::string Name(std::size_t i) { return std::string(1, static_cast<char>('a' + i)); }
  // Every message is delivered, one millisecond later.
  void Run(Time from, Time to) {
    for (Time now = from; now < to; now += 1ms) {
      std::vector<std::pair<std::string, Outgoing>> sent;
      for (std::size_t i = 0; i < 3; ++i) {
        if (managers[i]->NextDue() && *managers[i]->NextDue() <= now) managers[i]->Tick(now, 0, kNoCondition);
        for (Outgoing& out : managers[i]->DrainOutgoing()) sent.emplace_back(Name(i), std::move(out));
      }
      for (auto& [sender, out] : sent)
        managers[static_cast<std::size_t>(out.router[0] - 'a')]->Receive(now, sender, out.message);
    }
  }
  // The first router that owns a shard; 3 if there is none.
  std::size_t Owner() const {
    std::size_t i = 0;
    while (i < 3 && managers[i]->owned_shards() == 0) ++i;
    return i;
  }
};

TEST_CASE("quota manager: one replica of a shard owns it once tokens are requested, and none before") {
  ThreeManagers at(1);
  at.Run(0s, 1s);
  CHECK(at.Owner() == 3);
  at.managers[1]->Admit(1s, RequestBy(0));
  at.Run(1s, 1s + 300ms);
  REQUIRE(at.Owner() < 3);
  std::size_t owned = 0;
  for (auto& manager : at.managers) owned += manager->owned_shards();
  CHECK(owned == 1);
  CHECK(at.managers[1]->Admit(1s + 300ms, RequestBy(0)).within_quota);
}

// Guards against two processes that run under the name of one replica: the one without the replica's address
// must not act as the replica.
TEST_CASE("quota manager: a process with a replica's name that is none promises nothing") {
  ThreeManagers at(1);
  QuotaManagerOptions options;
  options.is_replica = false;
  failover::ReplicaSet replicas({{"a", "x"}, {"b", "y"}, {"c", "z"}});
  at.managers[0] = std::make_unique<QuotaManager>(options, replicas, "a", 9, 9, at.table, 0s,
                                                  [](const std::string&) { return true; });
  Message prepare;
  prepare.shard = ShardOf(at.table->BucketPathOf(RequestBy(0)));
  prepare.ballot = Ballot{1, "b", 7, 1};
  at.managers[0]->Receive(0s, "b", prepare);
  CHECK(at.managers[0]->DrainOutgoing().empty());
  for (int i = 0; i < 10; ++i) CHECK(at.managers[0]->Admit(0s, RequestBy(0)).within_quota);
  CHECK_FALSE(at.managers[0]->Admit(0s, RequestBy(0)).within_quota);
  at.Run(0s, 4s);
  CHECK(at.managers[0]->owned_shards() == 0);
  CHECK(at.Owner() < 3);
  CHECK(at.managers[0]->ledger().debt() == 0);
}

TEST_CASE("quota manager: another table starts with empty buckets, not served by owners of the former") {
  ThreeManagers at(1);
  at.managers[1]->Admit(1s, RequestBy(0));
  at.Run(1s, 2s + 60ms);
  std::size_t owner = at.Owner(), other = (owner + 1) % 3;
  REQUIRE(owner < 3);
  auto granted = [&] { return at.managers[owner]->metrics().tokens; };
  auto admit = [&](Time from, Time to) {
    int within = 0;
    for (Time now = from; now < to; now += 20ms) {
      for (int i = 0; i < 50; ++i)
        within += at.managers[other]->Admit(now, RequestBy(0)).within_quota ? 1 : 0;
      at.Run(now, now + 20ms);
    }
    return within;
  };
  std::uint64_t before = granted();
  at.managers[other]->SetTable(2s + 60ms, ThreeManagers::TableWith(2));
  CHECK(admit(2s + 60ms, 2s + 160ms) == 10);
  CHECK(at.managers[owner]->metrics().config_mismatches > 0);
  CHECK(granted() == before);
  // Once the owner has the table too, its bucket, nearly full before, starts empty.
  at.managers[owner]->SetTable(2s + 160ms, ThreeManagers::TableWith(2));
  int within = admit(2s + 160ms, 2s + 360ms);
  CHECK(within > 5);
  CHECK(within <= 20);
  CHECK(granted() - before <= 20);
}

// Prints the traffic among five quota managers and asserts nothing. PEATBEND_COST: requests per second and
// router, clients with a bucket each, replicas, seconds, and 0 to leave the quotas out; the difference of the
// instruction counts with and without quotas, by callgrind, is their cost.
TEST_CASE("quota manager: bench" * doctest::skip()) {
  const char* given = std::getenv("PEATBEND_COST");
  std::istringstream words(given != nullptr ? given : "800 1000 3 11 1");
  double rate = 0, next = 1;
  std::size_t clients = 0, replicas = 0, seconds = 0, sent = 0, bytes = 0, requests = 0, over = 0;
  bool on = true;
  words >> rate >> clients >> replicas >> seconds >> on;
  double each = std::max(1.0, 15 * rate / static_cast<double>(clients));
  auto table = std::make_shared<const QuotaTable>(
      MakeTable({MakeQuota({each, std::max(10.0, 2 * each)}, -1, kPerClient)}));
  std::vector<failover::ReplicaName> names;
  auto name = [](std::size_t i) { return "r" + std::to_string(i); };
  for (std::size_t i = 0; i < replicas; ++i) names.push_back({name(i), "a"});
  std::vector<std::unique_ptr<QuotaManager>> managers;
  for (std::uint64_t i = 0; i < 5; ++i)
    managers.push_back(std::make_unique<QuotaManager>(QuotaManagerOptions{}, failover::ReplicaSet(names),
                                                      name(i), ~i << 8, i + 1, table, 0s,
                                                      [](const std::string&) { return true; }));
  std::deque<std::tuple<Time, std::size_t, std::string>> in_flight;
  std::mt19937_64 random(3);
  std::exponential_distribution<double> gap(rate * 5);
  auto flush = [&](std::size_t i, Time now) {
    std::map<std::string, std::vector<Message>> to;
    for (Outgoing& out : managers[i]->DrainOutgoing()) to[out.router].push_back(std::move(out.message));
    for (const auto& [router, messages] : to) {
      peers::Message m;
      m.kind = peers::MessageKind::kApplication;
      m.from = name(i);
      m.fleet = m.reply_to = "127.0.0.1:7000";
      m.payload = Encode(1, messages);
      in_flight.emplace_back(now + 500us, router[1] - '0', peers::Encode(m));
      ++sent;
      bytes += std::get<2>(in_flight.back()).size();
    }
  };
  auto tick = [&](std::size_t i, Time now) {
    if (managers[i]->NextDue().value_or(Time::max()) <= now) managers[i]->Tick(now, 0, kNoCondition);
    flush(i, now);
  };
  for (Time now{}; now < std::chrono::seconds(seconds); now += 250us) {
    for (; std::chrono::duration<double>(next) <= now; next += gap(random), ++requests) {
      std::size_t i = random() % 5;
      std::uint64_t client = random() % clients;
      over += on && !managers[i]->Admit(now, RequestBy(0, client)).within_quota ? 1 : 0;
    }
    for (; !in_flight.empty() && std::get<0>(in_flight.front()) <= now; in_flight.pop_front()) {
      auto& [at, to, datagram] = in_flight.front();
      peers::Message m;
      std::vector<Message> read;
      REQUIRE(peers::Decode(datagram, peers::kMaxStreamBytes, "127.0.0.1:7000", m) ==
              peers::DecodeError::kNone);
      REQUIRE(Decode(m.payload, 1, read) == DecodeError::kNone);
      for (const Message& message : read) managers[to]->Receive(now, m.from, message);
      tick(to, now);
    }
    for (std::size_t i = 0; on && i < 5; ++i) tick(i, now);
  }
  double all = 5.0 * static_cast<double>(seconds - 1);
  std::cout << requests << " requests, " << over << " over; a second and router "
            << static_cast<double>(sent) / all << " datagrams, " << static_cast<double>(bytes) / all
            << " bytes\n";
}

}  // namespace
}  // namespace peatbend::rations

// Encoding and decoding of quota messages.
#include "rations/wire.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "world/random.h"

namespace peatbend::rations {
namespace {

using world::Random;
constexpr std::uint64_t kReplicaSet = 0xfedcba9876543210;

// A random number whose bit length varies.
std::uint64_t Number(Random& random) { return random.Word() >> random.Below(64); }

Ballot AnyBallot(Random& random) {
  return {Number(random), std::string(random.Below(65), static_cast<char>('a' + random.Below(26))),
          Number(random), Number(random)};
}

Message AnyMessage(Random& random) {
  Message m;
  m.kind = static_cast<MessageKind>(random.Below(8));
  m.shard = random.Below(kShards);
  m.ballot = AnyBallot(random);
  m.other_ballot = AnyBallot(random);
  for (std::uint64_t* each : {&m.generation, &m.sequence, &m.requester, &m.fingerprint})
    *each = Number(random);
  for (std::uint32_t n = random.Below(6); n > 0; --n) {
    Entry& entry = m.entries.emplace_back();
    entry.tokens = random.Below(1'000'000'001);
    entry.retry_after_ms = random.Below(3'600'001);
    entry.chain.size = static_cast<std::uint8_t>(1 + random.Below(kMaxQuotaDepth));
    for (std::size_t i = 0; i < entry.chain.size; ++i)
      entry.chain.buckets[i] = {static_cast<std::uint32_t>(Number(random)), Number(random)};
  }
  return m;
}

std::vector<Message> AnyMessages(Random& random) {
  std::vector<Message> all;
  for (std::uint32_t n = random.Below(5); n > 0; --n) all.push_back(AnyMessage(random));
  return all;
}

TEST_CASE("rations: messages decode as they were encoded, all at once and in batches") {
  Random random(1, 1);
  std::vector<Message> read;
  for (int round = 0; round < 2000; ++round) {
    std::vector<Message> all = AnyMessages(random);
    std::string bytes = Encode(kReplicaSet, all);
    REQUIRE(static_cast<unsigned char>(bytes[0]) == kLeadByte);
    REQUIRE(Decode(bytes, kReplicaSet, read) == DecodeError::kNone);
    REQUIRE(read == all);
    REQUIRE(Decode(bytes, kReplicaSet + 1, read) == DecodeError::kReplicaSet);
    REQUIRE(read.empty());
    // The same in batches, of which only those of a single message exceed the limit.
    MessageBatch batch(kReplicaSet);
    std::vector<Message> together;
    auto take = [&] {
      std::size_t count = batch.size();
      std::string part = batch.TakeBytes();
      REQUIRE((count == 1 || part.size() <= 500));
      REQUIRE(Decode(part, kReplicaSet, read) == DecodeError::kNone);
      REQUIRE(read.size() == count);
      together.insert(together.end(), read.begin(), read.end());
    };
    for (const Message& m : all) {
      if (batch.Add(m, 500)) continue;
      take();
      REQUIRE(batch.Add(m, 500));
    }
    take();
    REQUIRE(together == all);
  }
}

TEST_CASE("rations: truncated and altered bytes are rejected or decode to messages within the limits") {
  Random random(2, 1);
  std::vector<Message> read;
  std::size_t rejected = 0, decoded = 0;
  for (int round = 0; round < 300; ++round) {
    std::string bytes = Encode(kReplicaSet, {AnyMessage(random)});
    for (std::size_t size = 0; size < bytes.size(); size += 1 + size / 64) {
      REQUIRE(Decode(bytes.substr(0, size), kReplicaSet, read) == DecodeError::kMalformed);
      REQUIRE(read.empty());
    }
    REQUIRE(Decode(bytes + "x", kReplicaSet, read) == DecodeError::kMalformed);
    for (int n = 0; n < 50; ++n) {
      std::string altered = bytes;
      for (std::uint32_t times = 1 + random.Below(3); times > 0; --times)
        altered[random.Below(static_cast<std::uint32_t>(altered.size()))] =
            static_cast<char>(random.Below(256));
      DecodeError error = Decode(altered, kReplicaSet, read);
      ++(error == DecodeError::kNone ? decoded : rejected);
      if (error != DecodeError::kNone) {
        REQUIRE(read.empty());
        continue;
      }
      for (const Message& m : read) {
        REQUIRE(m.shard < kShards);
        REQUIRE(m.ballot.router.size() <= 64);
        for (const Entry& entry : m.entries) {
          REQUIRE(entry.chain.size >= 1);
          REQUIRE(entry.chain.size <= kMaxQuotaDepth);
        }
      }
    }
  }
  CHECK(rejected > 1000);
  CHECK(decoded > 1000);  // only numbers and names were altered
}

TEST_CASE("rations: deep nesting, values of another type and missing fields are rejected") {
  using nlohmann::json;
  std::vector<Message> read;
  auto with = [](const json& value) {
    std::string bytes(1, static_cast<char>(kLeadByte));
    json::to_msgpack(value, bytes);
    return bytes;
  };
  CHECK(Decode(with(json::array({kFormatVersion, kReplicaSet, json::array()})), kReplicaSet, read) ==
        DecodeError::kNone);
  CHECK(Decode(with(json::array({kFormatVersion, kReplicaSet, json::array()})).substr(1), kReplicaSet,
               read) == DecodeError::kMalformed);
  for (const json& bad :
       {json(), json(1), json::array(), json::array({kFormatVersion, kReplicaSet}),
        json::array({kFormatVersion, "seats", json::array()}),
        json::array({kFormatVersion + 1, kReplicaSet, json::array()}),
        json::array({kFormatVersion, kReplicaSet, json::array({json::array({8, 0})})}), json{{"seats", 1}}})
    CHECK(Decode(with(bad), kReplicaSet, read) == DecodeError::kMalformed);
  std::string deep(1, static_cast<char>(kLeadByte));
  CHECK(Decode(deep + std::string(100'000, '\x91'), kReplicaSet, read) == DecodeError::kMalformed);
  // Declares thousands of entries: no more space is reserved than the bytes could hold.
  std::string many = with(json::array({kFormatVersion, kReplicaSet, json::array()}));
  many.back() = '\x91';
  many += std::string("\x99\x05\0\x94\0\xa0\0\0\x94\0\xa0\0\0\0\0\0\0\xdc\x40\0", 20);
  CHECK(Decode(many, kReplicaSet, read) == DecodeError::kMalformed);
  Message m;
  m.ballot.router = std::string(65, 'n');
  CHECK(Decode(Encode(kReplicaSet, {m}), kReplicaSet, read) == DecodeError::kMalformed);
  m.ballot.router = "n";
  m.shard = kShards;
  CHECK(Decode(Encode(kReplicaSet, {m}), kReplicaSet, read) == DecodeError::kMalformed);
  CHECK(Decode(Encode(kReplicaSet, std::vector<Message>(kMaxMessages + 1)), kReplicaSet, read) ==
        DecodeError::kMalformed);
}

}  // namespace
}  // namespace peatbend::rations

// What routers say to each other about rations, as bytes.
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
constexpr std::uint64_t kSeatsPrint = 0xfedcba9876543210;

// Any number, the small and the greatest ones more often.
std::uint64_t Number(Random& random) { return random.Word() >> random.Below(64); }

Go AnyGo(Random& random) {
  return {Number(random), std::string(random.Below(65), static_cast<char>('a' + random.Below(26))),
          Number(random), Number(random)};
}

Message AnyMessage(Random& random) {
  Message m;
  m.kind = static_cast<MessageKind>(random.Below(8));
  m.shard = random.Below(kShards);
  m.go = AnyGo(random);
  m.met = AnyGo(random);
  for (std::uint64_t* each : {&m.life, &m.number, &m.drawer, &m.print}) *each = Number(random);
  for (std::uint32_t n = random.Below(6); n > 0; --n) {
    Entry& entry = m.entries.emplace_back();
    entry.want = random.Below(1'000'000'001);
    entry.wait_ms = random.Below(3'600'001);
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

TEST_CASE("rations: messages read as they were written, together and in parcels") {
  Random random(1, 1);
  std::vector<Message> read;
  for (int round = 0; round < 2000; ++round) {
    std::vector<Message> all = AnyMessages(random);
    std::string bytes = Encode(kSeatsPrint, all);
    REQUIRE(static_cast<unsigned char>(bytes[0]) == kLead);
    REQUIRE(Decode(bytes, kSeatsPrint, read) == DecodeError::kNone);
    REQUIRE(read == all);
    REQUIRE(Decode(bytes, kSeatsPrint + 1, read) == DecodeError::kReplicaSet);
    REQUIRE(read.empty());
    // The same in parcels, none beyond its size but for a message that alone is.
    Parcel parcel(kSeatsPrint);
    std::vector<Message> together;
    auto take = [&] {
      std::size_t many = parcel.size();
      std::string part = parcel.Take();
      REQUIRE((many == 1 || part.size() <= 500));
      REQUIRE(Decode(part, kSeatsPrint, read) == DecodeError::kNone);
      REQUIRE(read.size() == many);
      together.insert(together.end(), read.begin(), read.end());
    };
    for (const Message& m : all) {
      if (parcel.Add(m, 500)) continue;
      take();
      REQUIRE(parcel.Add(m, 500));
    }
    take();
    REQUIRE(together == all);
  }
}

TEST_CASE("rations: cut and altered bytes are refused, or are messages within their limits") {
  Random random(2, 1);
  std::vector<Message> read;
  std::size_t refused = 0, taken = 0;
  for (int round = 0; round < 300; ++round) {
    std::string bytes = Encode(kSeatsPrint, {AnyMessage(random)});
    for (std::size_t size = 0; size < bytes.size(); size += 1 + size / 64) {
      REQUIRE(Decode(bytes.substr(0, size), kSeatsPrint, read) == DecodeError::kMalformed);
      REQUIRE(read.empty());
    }
    REQUIRE(Decode(bytes + "x", kSeatsPrint, read) == DecodeError::kMalformed);
    for (int n = 0; n < 50; ++n) {
      std::string altered = bytes;
      for (std::uint32_t times = 1 + random.Below(3); times > 0; --times)
        altered[random.Below(static_cast<std::uint32_t>(altered.size()))] =
            static_cast<char>(random.Below(256));
      DecodeError error = Decode(altered, kSeatsPrint, read);
      ++(error == DecodeError::kNone ? taken : refused);
      if (error != DecodeError::kNone) {
        REQUIRE(read.empty());
        continue;
      }
      for (const Message& m : read) {
        REQUIRE(m.shard < kShards);
        REQUIRE(m.go.router.size() <= 64);
        for (const Entry& entry : m.entries) {
          REQUIRE(entry.chain.size >= 1);
          REQUIRE(entry.chain.size <= kMaxQuotaDepth);
        }
      }
    }
  }
  CHECK(refused > 1000);
  CHECK(taken > 1000);  // numbers and names that another sender might have said
}

TEST_CASE("rations: nothing nested deep, nothing of another kind, and no fields left out are read") {
  using nlohmann::json;
  std::vector<Message> read;
  auto with = [](const json& value) {
    std::string bytes(1, static_cast<char>(kLead));
    json::to_msgpack(value, bytes);
    return bytes;
  };
  CHECK(Decode(with(json::array({kForm, kSeatsPrint, json::array()})), kSeatsPrint, read) ==
        DecodeError::kNone);
  CHECK(Decode(with(json::array({kForm, kSeatsPrint, json::array()})).substr(1), kSeatsPrint, read) ==
        DecodeError::kMalformed);
  for (const json& bad :
       {json(), json(1), json::array(), json::array({kForm, kSeatsPrint}),
        json::array({kForm, "seats", json::array()}), json::array({kForm + 1, kSeatsPrint, json::array()}),
        json::array({kForm, kSeatsPrint, json::array({json::array({8, 0})})}), json{{"seats", 1}}})
    CHECK(Decode(with(bad), kSeatsPrint, read) == DecodeError::kMalformed);
  std::string deep(1, static_cast<char>(kLead));
  CHECK(Decode(deep + std::string(100'000, '\x91'), kSeatsPrint, read) == DecodeError::kMalformed);
  // Said to hold thousands of entries: no room is made for more than there are bytes for.
  std::string many = with(json::array({kForm, kSeatsPrint, json::array()}));
  many.back() = '\x91';
  many += std::string("\x99\x05\0\x94\0\xa0\0\0\x94\0\xa0\0\0\0\0\0\0\xdc\x40\0", 20);
  CHECK(Decode(many, kSeatsPrint, read) == DecodeError::kMalformed);
  Message m;
  m.go.router = std::string(65, 'n');
  CHECK(Decode(Encode(kSeatsPrint, {m}), kSeatsPrint, read) == DecodeError::kMalformed);
  m.go.router = "n";
  m.shard = kShards;
  CHECK(Decode(Encode(kSeatsPrint, {m}), kSeatsPrint, read) == DecodeError::kMalformed);
  CHECK(Decode(Encode(kSeatsPrint, std::vector<Message>(kMostTogether + 1)), kSeatsPrint, read) ==
        DecodeError::kMalformed);
}

}  // namespace
}  // namespace peatbend::rations

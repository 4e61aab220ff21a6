#include "peers/message.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

namespace peatbend::peers {
namespace {

Message SampleMessage() {
  Message m;
  m.kind = MessageKind::kPingRequest;
  m.fleet = "f";
  m.from = "r1";
  m.reply_to = "127.0.0.1:7000";
  m.generation = ~std::uint64_t{0};
  m.first_generation = 3;
  m.sequence = 4;
  m.member = true;
  m.receiver_status = ReceiverStatus::kGone;
  m.target = "r2";
  m.target_address = "127.0.0.1:7001";
  m.target_generation = 9;
  m.records = {
      {"r3", 1, 1, 2, State::kSuspect, "r1", "127.0.0.1:7002", "z", "0.2", "127.0.0.1:6379", {"\0\xff", 2}}};
  return m;
}

DecodeError DecodeInto(std::string_view bytes, Message& m, std::size_t max_bytes = kMaxDatagramBytes) {
  return Decode(bytes, max_bytes, "f", m);
}

TEST_CASE("peers: a message decodes as it was encoded, and its size estimate is an upper bound") {
  Message read, original = SampleMessage();
  std::string bytes = Encode(original);
  CHECK(DecodeInto(bytes, read) == DecodeError::kNone);
  CHECK(read == original);
  original.records.clear();
  CHECK(bytes.size() - Encode(original).size() <= MaxEncodedSize(SampleMessage().records[0]));
}

TEST_CASE("peers: neighbouring versions are compatible; a version that is too new is reported") {
  using nlohmann::json;
  json array = json::from_msgpack(Encode(SampleMessage()));
  array[0] = kVersion + 1;
  array.push_back("a field that this version does not know");
  array[16][0].push_back(17);
  std::string bytes;
  json::to_msgpack(array, bytes);
  Message read;
  CHECK(DecodeInto(bytes, read) == DecodeError::kNone);
  CHECK(read == SampleMessage());
  array[1] = kVersion + 1;
  json::to_msgpack(array, bytes = "");
  CHECK(DecodeInto(bytes, read) == DecodeError::kVersion);
}

TEST_CASE("peers: invalid messages are rejected with the matching error") {
  Message read;
  std::string bytes = Encode(SampleMessage());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    CHECK(DecodeInto(bytes.substr(0, cut), read) == DecodeError::kMalformed);
  CHECK(DecodeInto(bytes + "x", read) == DecodeError::kMalformed);
  CHECK(DecodeInto(bytes, read, 20) == DecodeError::kOversized);
  CHECK(Decode(bytes, kMaxDatagramBytes, "another", read) == DecodeError::kFleet);
  Message long_name = SampleMessage();
  long_name.records[0].name.assign(kMaxNameBytes + 1, 'n');
  CHECK(DecodeInto(Encode(long_name), read) == DecodeError::kMalformed);
  // Deep nesting would overflow the stack of a recursive decoder.
  CHECK(DecodeInto(std::string(kMaxStreamBytes, '\x91'), read, kMaxStreamBytes) == DecodeError::kMalformed);
  CHECK(DecodeInto(std::string("\xdd\xff\xff\xff\xff", 5), read) ==
        DecodeError::kMalformed);  // an array of 2^32 - 1 items
}

TEST_CASE("peers: decoding mutated messages fails cleanly") {
  std::mt19937 random(5);
  std::string original = Encode(SampleMessage());
  int decoded = 0;
  for (int i = 0; i < 50000; ++i) {
    std::string bytes = original;
    for (unsigned n = 1 + random() % 4; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    Message read;
    if (DecodeInto(bytes, read) != DecodeError::kNone) continue;
    ++decoded;
    CHECK(read.records.size() <= kMaxRecords);
  }
  CHECK(decoded > 100);  // some mutations change only a string or a number
}

}  // namespace
}  // namespace peatbend::peers

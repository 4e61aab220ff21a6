#include "peers/message.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

namespace peatbend::peers {
namespace {

Message Whole() {
  Message m;
  m.kind = Kind::kAskPing;
  m.fleet = "f";
  m.from = "r1";
  m.reply = "127.0.0.1:7000";
  m.life = ~std::uint64_t{0};
  m.birth = 3;
  m.number = 4;
  m.member = true;
  m.you = You::kGone;
  m.target = "r2";
  m.target_address = "127.0.0.1:7001";
  m.target_life = 9;
  m.records = {
      {"r3", 1, 1, 2, State::kSuspect, "r1", "127.0.0.1:7002", "z", "0.2", "127.0.0.1:6379", {"\0\xff", 2}}};
  return m;
}

Fault Read(std::string_view bytes, Message& m, std::size_t most = kMostDatagram) {
  return Decode(bytes, most, "f", m);
}

TEST_CASE("peers: a message reads as it was written, and its size is no surprise") {
  Message read, whole = Whole();
  std::string bytes = Encode(whole);
  CHECK(Read(bytes, read) == Fault::kNone);
  CHECK(read == whole);
  whole.records.clear();
  CHECK(bytes.size() - Encode(whole).size() <= SizeOf(Whole().records[0]));
}

TEST_CASE("peers: neighbouring versions read each other, one too new is named") {
  using nlohmann::json;
  json array = json::from_msgpack(Encode(Whole()));
  array[0] = kVersion + 1;
  array.push_back("a field that this version does not know");
  array[16][0].push_back(17);
  std::string bytes;
  json::to_msgpack(array, bytes);
  Message read;
  CHECK(Read(bytes, read) == Fault::kNone);
  CHECK(read == Whole());
  array[1] = kVersion + 1;
  json::to_msgpack(array, bytes = "");
  CHECK(Read(bytes, read) == Fault::kVersion);
}

TEST_CASE("peers: what a stranger may send is refused by what is wrong with it") {
  Message read;
  std::string bytes = Encode(Whole());
  for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    CHECK(Read(bytes.substr(0, cut), read) == Fault::kMalformed);
  CHECK(Read(bytes + "x", read) == Fault::kMalformed);
  CHECK(Read(bytes, read, 20) == Fault::kOversized);
  CHECK(Decode(bytes, kMostDatagram, "another", read) == Fault::kFleet);
  Message long_name = Whole();
  long_name.records[0].name.assign(kMostName + 1, 'n');
  CHECK(Read(Encode(long_name), read) == Fault::kMalformed);
  // Would end the process by its stack, were it followed.
  CHECK(Read(std::string(kMostStream, '\x91'), read, kMostStream) == Fault::kMalformed);
  CHECK(Read(std::string("\xdd\xff\xff\xff\xff", 5), read) ==
        Fault::kMalformed);  // four thousand million items
}

TEST_CASE("peers: noise and spoilt messages never do more than fail") {
  std::mt19937 random(5);
  std::string whole = Encode(Whole());
  int fine = 0;
  for (int i = 0; i < 50000; ++i) {
    std::string bytes = whole;
    for (unsigned n = 1 + random() % 4; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    Message read;
    if (Read(bytes, read) != Fault::kNone) continue;
    ++fine;
    CHECK(read.records.size() <= kMostRecords);
  }
  CHECK(fine > 100);  // some spoil only a text or a number
}

}  // namespace
}  // namespace peatbend::peers

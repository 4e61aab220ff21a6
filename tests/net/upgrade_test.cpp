// An upgrade, on real sockets. Both its processes are routers on one loop here; the asking of the second,
// which waits, runs on a thread.
#include <sys/socket.h>
#include <sys/un.h>

#include <atomic>
#include <filesystem>
#include <string_view>
#include <thread>
#include <utility>

#include "net/operations_stage.h"

namespace peatbend::net::test {
namespace {

// What the asking at `door` brings, while the stage's loop runs.
std::optional<handover::Inheritance> AskFrom(Stage& stage, const std::string& door, std::string& said,
                                             int patience_ms = 3000) {
  std::optional<handover::Inheritance> got;
  std::atomic<bool> done = false;
  std::thread asks([&] {
    got = handover::AskPredecessor(door, std::chrono::milliseconds(patience_ms),
                                   [&](std::string_view why) { said = why; });
    done = true;
  });
  stage.Until([&] { return done.load(); });
  asks.join();
  return got;
}

TEST_CASE("upgrade: clients move with what they have begun, and nothing that was taken is lost") {
  Folder folder;
  Stage stage({}, {}, "", 1024, 192, folder.Door());
  stage.Until([&] { return stage.router.life().takes_clients(); });
  End& idle = stage.Client("*1\r\n$4\r\nPING\r\n");
  std::string whole = Get(kKey, "c=read,d=1900");
  End& half = stage.Client(whole.substr(0, 30));
  End& waits = stage.Client(Get("00000000000000aa", "c=read,d=1900"));
  stage.Until([&] { return idle.got == "+PONG\r\n" && stage.member.Count("OBJ.GET") == 1; });
  stage.Until([&] { return stage.router.counters().clients_accepted == 3; });

  std::string said;
  auto inherited = AskFrom(stage, folder.Door(), said);
  REQUIRE_MESSAGE(inherited.has_value(), said);
  CHECK(inherited->endpoints.size() == 2);
  CHECK(inherited->keeps > 0);
  {
    Router next(stage.base.get(), stage.Configured(), std::move(inherited), folder.Door());
    stage.Until([&] { return next.counters().clients_accepted == 2; });  // idle and half
    CHECK(stage.router.life().state() == LifeCycle::State::kHandingOver);
    CHECK(stage.router.Join().starts_with("fail"));

    half.Say(whole.substr(30));
    stage.Until([&] { return stage.member.Count("OBJ.GET") == 2; });
    for (End& end : stage.member.ends) end.Say(Value("v"));  // one asked by each of the two routers
    stage.Until([&] { return half.got == "$1\r\nv\r\n" && waits.got == "$1\r\nv\r\n"; });
    CHECK(next.counters().Sum(&Clients::served) == 1);
    CHECK(stage.router.counters().Sum(&Clients::served) == 1);
    stage.Until([&] { return next.counters().clients_accepted == 3; });  // answered, so it moves too

    bool ended = false;
    stage.router.Stop([&] { ended = true; });
    stage.Until([&] { return ended; });
    for (End* end : {&idle, &half, &waits}) {
      end->got.clear();
      end->Say("*1\r\n$4\r\nPING\r\n");
    }
    End& fresh = stage.clients.emplace_back(stage.base.get(), -1);
    fresh.Connect(next.port());
    fresh.Say("*1\r\n$4\r\nPING\r\n");
    stage.Until([&] {
      return idle.got + half.got + waits.got + fresh.got == "+PONG\r\n+PONG\r\n+PONG\r\n+PONG\r\n";
    });
    CHECK(!idle.closed);
  }
}

TEST_CASE("upgrade: a new process that ends early leaves the old one serving, and another may follow") {
  Folder folder;
  Stage stage(kYes, {}, "", 1024, 192, folder.Door());
  for (int round = 0; round < 2; ++round) {
    std::string said;
    auto inherited = AskFrom(stage, folder.Door(), said);
    REQUIRE_MESSAGE(inherited.has_value(), said);
    std::optional<Router> next;
    next.emplace(stage.base.get(), stage.Configured(), std::move(inherited), folder.Door());
    stage.Until([&] { return stage.router.life().state() == LifeCycle::State::kHandingOver; });
    next.reset();
    stage.Until([&] { return stage.router.life().state() == LifeCycle::State::kServing; });
    CHECK(stage.Ask(Get(kKey, "c=read,d=1900")) == "$1\r\nv\r\n");
    CHECK(Call(stage, stage.router, "HEALTH\n") == "ok serving\n");
  }
  // One that asks and then says nothing more has no effect either.
  std::string said;
  { auto inherited = AskFrom(stage, folder.Door(), said); }
  CHECK(stage.Ask("*1\r\n$4\r\nPING\r\n") == "+PONG\r\n");
}

TEST_CASE("upgrade: the descriptors of both together stay within those of one") {
  Folder folder;
  Stage stage({}, {}, "", 128, 192, folder.Door());
  for (int i = 0; i < 30; ++i) stage.Client(Get("00000000000000" + std::to_string(10 + i), "c=read,d=1900"));
  stage.Until([&] { return stage.router.counters().requests == 30; });
  std::string said;
  auto inherited = AskFrom(stage, folder.Door(), said);
  REQUIRE_MESSAGE(inherited.has_value(), said);
  Router next(stage.base.get(), stage.Configured("", 128), std::move(inherited));
  stage.Until([&] { return stage.router.life().state() == LifeCycle::State::kHandingOver; });
  CHECK(stage.router.descriptors() + next.descriptors() <= 128);
  CHECK(stage.router.memory().max == 0);  // it holds no large value
  stage.Until([&] { return next.memory().max > 0; });
  for (End& end : stage.member.ends) end.Say(Value("v"));
  stage.Until([&] { return next.counters().clients_accepted >= 5; });
  CHECK(stage.router.descriptors() + next.descriptors() <= 128);
}

TEST_CASE("upgrade: one upon another, with a drain and a reload between, loses nothing") {
  Folder folder;
  Stage stage({}, {}, "", 256, 192, folder.Door());
  End& waits = stage.Client(Get(kKey, "c=read,d=1900"));
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 1; });
  std::string said;
  auto first = AskFrom(stage, folder.Door(), said);
  REQUIRE_MESSAGE(first.has_value(), said);
  Router second(stage.base.get(), stage.Configured("", 256), std::move(first), folder.Door());
  stage.Until([&] { return stage.router.life().state() == LifeCycle::State::kHandingOver; });
  CHECK(second.Leave() == "ok leaving");
  second.Reload([&] { return stage.Configured("", 256); });
  auto next = AskFrom(stage, folder.Door(), said);
  REQUIRE_MESSAGE(next.has_value(), said);
  CHECK(next->away);
  Router third(stage.base.get(), stage.Configured("", 256), std::move(next), folder.Door());
  stage.Until([&] { return second.life().state() == LifeCycle::State::kHandingOver; });
  CHECK(third.Health() == "ok leaving");
  stage.Until([&] { return third.life().state() == LifeCycle::State::kEmptying; });  // it goes on there
  CHECK(third.Join() == "ok serving");
  CHECK(stage.router.descriptors() + second.descriptors() + third.descriptors() <= 256);
  int ended = 0;
  stage.router.Stop([&] { ++ended; });
  second.Stop([&] { ++ended; });
  stage.Rest();
  CHECK(ended == 0);  // the second waits for what the first still has
  for (End& end : stage.member.ends) end.Say(Value("v"));
  stage.Until([&] { return waits.got == "$1\r\nv\r\n"; });
  stage.Until([&] { return third.counters().clients_accepted == 1; });  // by way of the second
  waits.got.clear();
  waits.Say("*1\r\n$4\r\nPING\r\n");
  stage.Until([&] { return waits.got == "+PONG\r\n"; });
  stage.Until([&] { return ended == 2; });  // the second at its last, for here the first stays as an object
}

// Versions are one discovery's own, and a new process may be configured with another than the old one
// watches.
TEST_CASE("upgrade: the version handed on is asked from only where it was told") {
  for (bool moved : {false, true}) {
    CAPTURE(moved);
    Folder folder;
    Stage stage(kYes, {}, "", 1024, 192, folder.Door());
    Peer elsewhere(stage.base.get());
    stage.Watched({R"({"index":70,"snapshot":false,"endpoints":[]})"});
    stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
    std::string said;
    auto inherited = AskFrom(stage, folder.Door(), said);
    REQUIRE_MESSAGE(inherited.has_value(), said);
    Config config = stage.Configured();
    if (moved) config.discovery = "127.0.0.1:" + std::to_string(elsewhere.port);
    Router next(stage.base.get(), config, std::move(inherited), folder.Door());
    Peer& asked = moved ? elsewhere : stage.discovery;
    stage.Until([&] { return asked.Count("watch=1&from=") == (moved ? 1 : 2); });
    CHECK(asked.ends.back().got.find(moved ? "from=0 " : "from=70 ") != std::string::npos);
  }
}

TEST_CASE("upgrade: whatever stands at the door, a start goes on, and says why it takes nothing over") {
  Folder folder;
  Stage stage;
  std::string said;
  SUBCASE("nobody") { CHECK(!AskFrom(stage, folder.Door(), said)); }
  SUBCASE("a file left behind by a dead process") {
    { handover::FileHandle gone = handover::ListenAt(folder.Door()); }
    REQUIRE(std::filesystem::exists(folder.Door()));
    CHECK(!AskFrom(stage, folder.Door(), said));
    CHECK(said == "");
    CHECK(handover::ListenAt(folder.Door()));  // the file is no hindrance
  }
  SUBCASE("a process that hangs") {
    handover::FileHandle hangs = handover::ListenAt(folder.Door());
    CHECK(!AskFrom(stage, folder.Door(), said, 200));
    CHECK(said == "the running process does not answer");
  }
  SUBCASE("one that dies in the middle") {
    handover::FileHandle dies = handover::ListenAt(folder.Door());
    std::thread answers([&] {
      while (true) {
        handover::FileHandle caller(accept4(dies.get(), nullptr, nullptr, 0));
        if (caller) break;
      }
      dies = {};
    });
    CHECK(!AskFrom(stage, folder.Door(), said, 2000));
    answers.join();
  }
  SUBCASE("one that speaks another version, or nonsense") {
    for (auto [type, version, word] :
         {std::tuple{"offer", 99, "cannot use"}, {"refused", 99, "refuses"}, {"what", 1, "cannot be read"}}) {
      handover::FileHandle door = handover::ListenAt(folder.Door());
      std::thread answers([&, type = type, version = version] {
        handover::FileHandle caller;
        while (!caller) caller = handover::FileHandle(accept4(door.get(), nullptr, nullptr, 0));
        handover::SendPacket(caller.get(), {{{"type", type}, {"version", version}}, "", {}});
        handover::Packet packet;
        while (handover::ReceivePacket(caller.get(), packet) != handover::Got::kEnd) continue;
      });
      CHECK(!AskFrom(stage, folder.Door(), said, 2000));
      answers.join();
      CHECK(said.find(word) != std::string::npos);
    }
  }
}

TEST_CASE("upgrade: a folder too long for an address does") {
  Folder folder;
  std::string deep = folder.path + "/" + std::string(120, 'd') + "/" + std::string(120, 'e');
  std::filesystem::create_directories(deep);
  Stage stage(kYes, {}, "", 1024, 192, deep + "/door");
  std::string said;
  CHECK_MESSAGE(AskFrom(stage, deep + "/door", said), said);
}

TEST_CASE("upgrade: a process of another version is turned away, and the old one serves on") {
  Folder folder;
  Stage stage(kYes, {}, "", 1024, 192, folder.Door());
  handover::FileHandle other = handover::Dial(folder.Door());
  REQUIRE(handover::SendPacket(other.get(), {{{"type", "hello"}, {"version", 99}}, "", {}}));
  handover::Packet packet;
  stage.Until([&] { return handover::ReceivePacket(other.get(), packet) == handover::Got::kPacket; });
  CHECK(packet.type() == "refused");
  CHECK(stage.Ask(Get(kKey, "c=read,d=1900")) == "$1\r\nv\r\n");
}

}  // namespace
}  // namespace peatbend::net::test

// What operators do, on real sockets: the second address, its figures, a drain; and the life cycle by itself.
#include <string_view>
#include <utility>

#include "net/operations_stage.h"

namespace peatbend::net::test {
namespace {

std::uint64_t Figure(const std::string& dump, const std::string& name) {
  std::size_t at = dump.find("edge_balancer." + name + "=");
  REQUIRE(at != std::string::npos);
  return std::stoull(dump.substr(dump.find('=', at) + 1));
}

TEST_CASE("second address: each call has its answer, whatever comes") {
  Folder folder;
  Stage stage(kYes, {}, "", 1024, 192, folder.Door());
  auto call = [&](const std::string& text) { return Call(stage, stage.router, text); };
  CHECK(call("HEALTH\n") == "ok serving\n");
  CHECK(call("HEALTH\r\n") == "ok serving\n");
  CHECK(call("JOIN\n") == "ok serving\n");
  CHECK(call("\n") == "fail empty call\n");
  CHECK(call("NOTHING\n") == "fail unknown call\n");
  CHECK(call("FAILOVER\n") == "fail failover is off\n");
  CHECK(call("WORK\n") == "fail WORK was renamed to FAILOVER\n");
  CHECK(call(std::string("HEALTH\0\n", 8)) == "fail unknown call\n");
  CHECK(call("HEALTH\nLEAVE\n") == "ok serving\n");  // one line a connection
  CHECK(stage.router.life().state() == LifeCycle::State::kServing);
  CHECK(call(std::string(300, 'x')) == "fail line too long\n");
  End& split = stage.clients.emplace_back(stage.base.get(), -1);
  split.Connect(stage.router.admin_port());
  split.Say("HEA");
  stage.Rest();
  split.Say("LTH\n");
  stage.Until([&] { return split.got == "ok serving\n"; });
}

TEST_CASE("second address: callers who hold it without a whole call keep nobody waiting") {
  Folder folder;
  Stage stage(kYes, {}, "", 128, 192, folder.Door());
  for (int i = 0; i < 150; ++i) stage.Client("");  // more than the descriptors hold
  for (int i = 0; i < 40; ++i) {
    End& silent = stage.clients.emplace_back(stage.base.get(), -1);
    silent.Connect(stage.router.admin_port());
    if (i % 2 == 0) silent.Say("HEAL");
  }
  auto from = std::chrono::steady_clock::now();
  CHECK(Call(stage, stage.router, "HEALTH\n") == "ok serving\n");
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::seconds(1));
}

TEST_CASE("figures: what was taken is served, refused, failed or still open, class by class") {
  Folder folder;
  Stage stage(kYes, {}, "", 1024, 192, folder.Door());
  auto dump = [&] { return Call(stage, stage.router, "DUMP\n"); };
  std::string first = dump();
  CHECK(first.ends_with("\neof\n"));
  for (const char* cls : {"read", "keyed", "unsafe"}) {
    for (const char* end : {"success", "overload", "error"})
      CHECK(Figure(first, "replies." + std::string(cls) + "." + end) == 0);
  }
  CHECK(Figure(first, "targets") == 1);  // the origin is none
  CHECK(Figure(first, "targets_disabled") == 0);
  CHECK(stage.Ask(Get(kKey, "c=read,d=1900")) == "$1\r\nv\r\n");
  stage.Client(Set("00000000000000aa", "c=unsafe,d=1900", "x"));  // at the origin, which says nothing
  stage.Until([&] { return stage.origin.Count("PUT") == 1; });
  std::string open = dump();
  CHECK(Figure(open, "replies.read.success") == 1);
  CHECK(Figure(open, "concurrent") == 1);
  CHECK(Figure(open, "dispatches") == 2);  // the origin included
  for (End& end : stage.origin.ends) end.Hang();
  stage.Until([&] { return stage.router.counters().Sum(&Clients::failed) == 1; });
  std::string last = dump();
  CHECK(Figure(last, "replies.unsafe.error") == 1);
  CHECK(Figure(last, "concurrent") == 0);
}

TEST_CASE("life cycle: whatever is crossed, one state, and a stop is the end") {
  using State = LifeCycle::State;
  LifeCycle life;
  CHECK(life.Leave());  // before a server list is held
  CHECK(!life.takes_clients());
  CHECK(life.Join());
  CHECK(life.state() == State::kStarting);
  CHECK(life.ServerListHeld());
  CHECK(life.welcome());
  CHECK(!life.Join());
  CHECK(life.Leave());
  CHECK(!life.Leave());
  CHECK(!life.welcome());
  CHECK(life.LateClientsOver());
  CHECK(life.rest() == Doors::Rest::kCloses);
  CHECK(life.SuccessorReady());  // the new one was told that this one is away
  CHECK(!life.welcome());
  CHECK(!life.Join());
  CHECK(life.SuccessorLost());
  CHECK(life.away());
  CHECK(life.Join());
  CHECK(life.state() == State::kServing);
  CHECK(life.SuccessorReady());
  CHECK(life.welcome());  // the two are one router
  CHECK(!life.takes_clients());
  CHECK(life.Stop());
  CHECK(life.state() == State::kFinishing);
  CHECK(life.rest() == Doors::Rest::kGoesToSuccessor);
  CHECK(!life.SuccessorLost());
  CHECK(life.rest() == Doors::Rest::kCloses);
  CHECK(!life.Stop());
  CHECK(!life.Join());
  CHECK(!life.Leave());

  LifeCycle alone;
  alone.ServerListHeld();
  CHECK(alone.Stop());
  CHECK(alone.rest() == Doors::Rest::kStays);  // late clients are served
  CHECK(!alone.SuccessorReady());              // in time for what is left
  CHECK(alone.rest() == Doors::Rest::kGoesToSuccessor);
}

TEST_CASE("drain: PING says no at once, what comes is served, each connection closes; JOIN undoes it") {
  Folder folder;
  Stage stage({}, {}, "", 1024, 192, folder.Door());
  const std::string ping = "*1\r\n$4\r\nPING\r\n";
  End& idle = stage.Client(ping);
  End& waits = stage.Client(Get(kKey, "c=read,d=1900"));
  stage.Until([&] { return idle.got == "+PONG\r\n" && stage.member.Count("OBJ.GET") == 1; });
  CHECK(Call(stage, stage.router, "LEAVE\n") == "ok leaving\n");
  CHECK(Call(stage, stage.router, "LEAVE\n") == "ok leaving\n");
  CHECK(!stage.Ask(ping).starts_with("+PONG"));
  stage.Until([&] { return idle.closed; });
  CHECK(waits.got == "");
  CHECK(!waits.closed);
  End& late = stage.Client(Get("00000000000000aa", "c=read,d=1900"));  // the front has not noticed
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 2; });
  for (End& end : stage.member.ends) end.Say(Value("v"));
  stage.Until([&] { return waits.closed && late.closed; });
  CHECK(waits.got == "$1\r\nv\r\n");
  CHECK(late.got == "$1\r\nv\r\n");
  End& silent = stage.Client("");
  stage.Until([&] { return silent.closed; });

  CHECK(Call(stage, stage.router, "JOIN\n") == "ok serving\n");
  End& back = stage.Client(ping);
  stage.Until([&] { return back.got == "+PONG\r\n"; });
  stage.Rest();
  CHECK(!back.closed);
}

TEST_CASE("drain: a client that never stops asking is answered what it asked, and closed") {
  Folder folder;
  End* before = nullptr;  // answered once the next has come, so that something is always owed
  Stage stage(
      [&](End& end) {
        if (End* due = std::exchange(before, &end)) due->Say(Value("v"));
      },
      {}, "", 1024, 192, folder.Door());
  End& busy = stage.Client("");
  int asked = 0;
  auto ask = [&] { busy.Say(Get("0000000000000" + std::to_string(100 + asked++ % 900), "c=read,d=900")); };
  busy.on_read = [&](End&) { ask(); };
  ask();
  ask();
  CHECK(Call(stage, stage.router, "LEAVE\n") == "ok leaving\n");
  auto from = std::chrono::steady_clock::now();
  stage.Until([&] { return busy.closed; });
  CHECK(std::chrono::steady_clock::now() - from < std::chrono::milliseconds(3700));
  std::size_t answers = 0;
  for (std::size_t at = 0; (at = busy.got.find("\r\n", at)) != std::string::npos; at += 2)
    answers +=
        at + 2 >= busy.got.size() || std::string_view("$-").find(busy.got[at + 2]) != std::string_view::npos;
  CHECK(answers == stage.router.counters().requests);
}

}  // namespace
}  // namespace peatbend::net::test

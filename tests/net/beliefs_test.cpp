// What is believed of a member's connections when its process is replaced, and of a client's own word on its
// time.
#include "net/stage.h"

namespace peatbend::net::test {
namespace {

const std::string kRead = Get(kKey, "c=read,d=1900");

std::string Changed(const std::string& member) {
  return R"({"index":42,"snapshot":false,"endpoints":[)" + member + "]}";
}

// An answer from the old address comes after the new one was told: its connection leads to another process.
TEST_CASE("belief: a connection that answers after its member has moved is not used again") {
  End* waiting = nullptr;
  Stage stage([&](End& end) { waiting = &end; });
  Peer moved(stage.base.get(), Stage::Says(Value("new")));
  End& client = stage.Client(kRead);
  stage.Until([&] { return waiting != nullptr; });
  stage.Watched({Changed(Member("box-1", moved.port))});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
  waiting->Say(Value("old"));
  stage.Until([&] { return client.got == "$3\r\nold\r\n"; });
  stage.Rest();
  CHECK(stage.Ask(kRead) == "$3\r\nnew\r\n");
  CHECK(stage.member.Count("OBJ.GET") == 1);
}

// The same name and address, a new start: what stands open leads to a process that has ended, though a
// machine that vanished could not say so.
TEST_CASE("belief: idle connections end with the process they led to") {
  Stage stage(Stage::Says(Value("x")));
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  stage.Watched({Changed(Member("box-1", stage.member.port, R"(,"since_ms":1700000000000)"))});
  stage.Until([&] { return stage.member.ends.front().closed; });
  stage.Rest();
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  CHECK(stage.router.counters().reused == 0);
}

// A class has a longest wait; a client that states a longer one cannot hold its request open for an hour, nor
// past a stop, which waits for the longest of the classes.
TEST_CASE("belief: a client's wait is its class's at most, so that a stop still answers it") {
  Stage stage;
  End& client = stage.Client(Get(kKey, "c=read,d=3600000"));
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 1; });
  bool ended = false;
  stage.router.Stop([&] { ended = true; });
  stage.Until([&] { return ended; });
  CHECK(client.got.starts_with("-BUSY"));
}

}  // namespace
}  // namespace peatbend::net::test

// The use of connections to a member whose process has been replaced, and the limit on the time that a client
// states.
#include "net/stage.h"

namespace peatbend::net::test {
namespace {

const std::string kRead = Get(kKey, "c=read,d=1900");

std::string ListChange(const std::string& member) {
  return R"({"index":42,"snapshot":false,"endpoints":[)" + member + "]}";
}

// The answer arrives from the old address after discovery has listed the new one, so its connection leads to
// a process that is no longer the member.
TEST_CASE("belief: a connection that answers after its member has moved is not used again") {
  End* waiting = nullptr;
  Stage stage([&](End& end) { waiting = &end; });
  Peer moved(stage.base.get(), Stage::Says(Value("new")));
  End& client = stage.Client(kRead);
  stage.Until([&] { return waiting != nullptr; });
  stage.Watched({ListChange(Member("box-1", moved.port))});
  stage.Until([&] { return stage.router.counters().server_list_changes == 1; });
  waiting->Say(Value("old"));
  stage.Until([&] { return client.got == "$3\r\nold\r\n"; });
  stage.Rest();
  CHECK(stage.Ask(kRead) == "$3\r\nnew\r\n");
  CHECK(stage.member.Count("OBJ.GET") == 1);
}

// A new start time under the same name and address: open connections lead to a process that has ended, even
// if its machine crashed without closing them.
TEST_CASE("belief: idle connections are closed when their process has been replaced") {
  Stage stage(Stage::Says(Value("x")));
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  stage.Watched({ListChange(Member("box-1", stage.member.port, R"(,"since_ms":1700000000000)"))});
  stage.Until([&] { return stage.member.ends.front().closed; });
  stage.Rest();
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  CHECK(stage.router.counters().reused == 0);
}

// A client that states a longer time than the deadline of its class must not keep the request open beyond it,
// nor delay a stop, which waits for the longest deadline of all classes.
TEST_CASE("belief: a client's time is limited by its class, so that a stop still answers it") {
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

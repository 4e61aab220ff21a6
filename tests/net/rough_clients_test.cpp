// Clients that flood, dawdle, leave at once or speak nonsense: each gets what the protocol owes it, and no
// other client notices. On real sockets.
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>

#include "net/flood.h"
#include "net/raw_client.h"
#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

TEST_CASE("rough: commands far beyond the bound of a pipe are all answered, in their order") {
  const int sent = 1000;
  REQUIRE(sent > 4 * Tuning::Clients{}.owed);
  Stage stage(AnswerWithKey);
  End& client = stage.Client(FloodOf(sent));
  stage.Until([&] { return AnswersInOrder(client.got) == sent; });
  CHECK(!client.closed);
  CHECK(stage.router.counters().Sum(&Counters::PerClass::served) > 0);
}

TEST_CASE("rough: a client that takes its answers byte by byte gets them whole, and others don't wait") {
  const std::string value(3000, 'v');
  Stage stage(Stage::Says(Value(value)));
  RawClient slow(stage.router.port(), 4096);
  REQUIRE(slow.Send(kRead));
  std::string taken;
  stage.Until([&] {
    char one;
    if (recv(slow.handle(), &one, 1, MSG_DONTWAIT) == 1) taken += one;
    return taken.size() >= 20;
  });
  CHECK(stage.Ask(kRead) == Bulk(value));
  stage.Until([&] {
    for (char one; recv(slow.handle(), &one, 1, MSG_DONTWAIT) == 1;) taken += one;
    return taken.size() >= Bulk(value).size();
  });
  CHECK(taken == Bulk(value));
}

TEST_CASE("rough: clients that send much and go at once are forgotten, and others are served") {
  Stage stage([](End& end) {
    if (end.got.find("2000") != std::string::npos) end.Say(Value("x"));
  });
  for (int i = 0; i < 10; ++i) {
    RawClient client(stage.router.port());
    REQUIRE(client.Send(FloodOf(100, 10000 + 100 * i)));
  }
  CHECK(stage.Ask(Get("2000", "c=read,d=2000")) == "$1\r\nx\r\n");
  stage.Until([&] { return stage.router.counters().clients_closed >= 10; });
}

TEST_CASE("rough: connections reset right after the accept harm nobody") {
  Stage stage(Stage::Says(Value("x")));
  for (int i = 0; i < 20; ++i) {
    RawClient client(stage.router.port());
    linger at_once{1, 0};
    setsockopt(client.handle(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    if (i % 2 == 0) REQUIRE(client.Send(kRead.substr(0, 30)));
  }
  CHECK(stage.Ask(kRead) == "$1\r\nx\r\n");
  stage.Until([&] { return stage.router.counters().clients_closed >= 20; });
  CHECK(stage.router.counters().requests == 1);
}

// Guards against whole commands that are read and dropped behind one that took too long.
TEST_CASE("rough: what comes behind a command that was turned away stays unread") {
  Stage stage(Stage::Says(Value("x")));
  RawClient slow(stage.router.port());
  REQUIRE(slow.Send(kRead.substr(0, 30)));
  stage.Until([&] { return slow.Receive().closed; });
  CHECK(slow.got == "-ERR command not whole in time\r\n");
  REQUIRE(slow.Send(kRead.substr(30) + Get("2000", "c=read,d=2000")));
  stage.Until([&] { return stage.router.counters().clients_closed == 1; });
  CHECK(slow.WasReset());  // the client may send it again
}

}  // namespace
}  // namespace peatbend::net::test

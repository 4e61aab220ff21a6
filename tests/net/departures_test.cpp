// Clients that leave while the router does not read from them: what they had waiting is not sent on.
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

constexpr int kMostOwed = 128;  // answers that a client may run ahead; then it is not read
enum class Leaves { kCloses, kResets };

// A client's socket, to be ended either way.
class LeavingClient {
 public:
  LeavingClient(int port, const std::string& text) : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in to = Loopback(port);
    REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    REQUIRE(send(socket_, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
  }
  LeavingClient(const LeavingClient&) = delete;
  LeavingClient& operator=(const LeavingClient&) = delete;
  ~LeavingClient() {
    if (socket_ >= 0) close(socket_);
  }
  void Leave(Leaves how) {
    linger now{1, 0};
    if (how == Leaves::kResets) REQUIRE(setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now) == 0);
    close(std::exchange(socket_, -1));
  }

 private:
  int socket_;
};

// Guards against attempts for a client that has gone: its requests waited in the module for a place at their
// server, and its session was not read, since enough was owed.
void LeavesWhileMuchIsOwed(Leaves how) {
  Stage stage;
  std::string text;
  for (int i = 0; i < kMostOwed + 2; ++i) text += Get(std::to_string(1000 + i), "c=read,t=acme,d=2000");
  LeavingClient client(stage.router.port(), text);
  stage.Until([&] { return stage.router.counters().requests == kMostOwed; });
  stage.Until([&] { return stage.member.Count("OBJ.GET") == stage.router.counters().attempts; });
  std::size_t sent = stage.member.Count("OBJ.GET");
  REQUIRE(sent > 0);
  REQUIRE(sent < kMostOwed);  // the others wait
  client.Leave(how);
  stage.Until([&] { return stage.router.counters().requests_abandoned == kMostOwed; });
  for (End& end : stage.member.ends) end.on_read = Stage::Says(Value("x"));
  for (End& end : stage.member.ends) end.Say(Value("x"));
  End& other = stage.Client(Get(kKey, "c=read,t=acme,d=2000"));
  stage.Until([&] { return stage.member.Count(kKey) == 1; });
  stage.member.ends.back().Say(Value("x"));
  stage.Until([&] { return other.got == "$1\r\nx\r\n"; });
  CHECK(stage.member.Count("OBJ.GET") == sent + 1);
  CHECK(stage.router.counters().requests == kMostOwed + 1);  // nor are those taken that it sent last
}

TEST_CASE("departure: a client that closes while much is owed to it is noticed") {
  LeavesWhileMuchIsOwed(Leaves::kCloses);
}

TEST_CASE("departure: a client that resets its connection while much is owed to it is noticed") {
  LeavesWhileMuchIsOwed(Leaves::kResets);
}

// Guards against work for who has gone already: the client left while the router was busy elsewhere, so that
// its last command and its end are there together.
void LeavesBehindItsCommand(Leaves how) {
  Stage stage(Stage::Says(Value("x")));
  LeavingClient client(stage.router.port(), Get(kKey, "c=read,t=acme,d=2000"));
  client.Leave(how);  // nothing of the router has run since it connected
  stage.Until([&] { return stage.router.counters().clients_closed == 1; });
  End& other = stage.Client(Get("1000", "c=read,t=acme,d=2000"));
  stage.Until([&] { return other.got == "$1\r\nx\r\n"; });
  CHECK(stage.member.Count("OBJ.GET") == 1);
  CHECK(stage.router.counters().requests == 1);
}

TEST_CASE("departure: a command that comes together with its client's close is not sent on") {
  LeavesBehindItsCommand(Leaves::kCloses);
}

TEST_CASE("departure: a command that comes together with its client's reset is not sent on") {
  LeavesBehindItsCommand(Leaves::kResets);
}

// The memory for large values is taken: of two that come at once the second is not read.
TEST_CASE("departure: a client that closes while its value waits for memory is noticed") {
  const std::string large = "$" + std::to_string(resp::kMaxBody) + "\r\n";
  auto begins = [&](const std::string& key) {
    return "*5\r\n" + Bulk("OBJ.SET") + Bulk(key) + Bulk(Id(key)) + Bulk("c=keyed,d=2000,k=1") + large;
  };
  Stage stage({}, {}, "", 1024, 16);
  // Each asks for another key before: once that is with the server, what came with it has been read.
  LeavingClient first(stage.router.port(),
                      Get("1000", "c=read,t=acme,d=2000") + begins("00000000000000aa") + "v");
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 1; });
  LeavingClient client(stage.router.port(),
                       Get("2000", "c=read,t=acme,d=2000") + begins("00000000000000bb") + "v");
  stage.Until([&] { return stage.member.Count("OBJ.GET") == 2; });
  client.Leave(Leaves::kCloses);
  stage.Until([&] { return stage.router.counters().requests_abandoned == 1; });
}

}  // namespace
}  // namespace peatbend::net::test

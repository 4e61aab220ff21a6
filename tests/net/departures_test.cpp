// Clients that disconnect while the router does not read from them: their waiting requests are not sent to
// servers.
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "net/rules_stage.h"

namespace peatbend::net::test {
namespace {

constexpr int kMaxPendingAnswers = 128;  // clients.owed: a client with more pending answers is not read
enum class Leaves { kCloses, kResets };

// A client socket that can be closed or reset.
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

// Guards against attempts for a client that has left: its requests waited in the balancer for a slot at their
// server, and its session was not read because too many answers were pending.
void LeavesWithManyPendingAnswers(Leaves how) {
  Stage stage;
  std::string text;
  for (int i = 0; i < kMaxPendingAnswers + 2; ++i)
    text += Get(std::to_string(1000 + i), "c=read,t=acme,d=2000");
  LeavingClient client(stage.router.port(), text);
  stage.Until([&] { return stage.router.counters().requests == kMaxPendingAnswers; });
  stage.Until([&] { return stage.member.Count("OBJ.GET") == stage.router.counters().attempts; });
  std::size_t sent = stage.member.Count("OBJ.GET");
  REQUIRE(sent > 0);
  REQUIRE(sent < kMaxPendingAnswers);  // the others wait
  client.Leave(how);
  stage.Until([&] { return stage.router.counters().requests_abandoned == kMaxPendingAnswers; });
  for (End& end : stage.member.ends) end.on_read = Stage::Says(Value("x"));
  for (End& end : stage.member.ends) end.Say(Value("x"));
  End& other = stage.Client(Get(kKey, "c=read,t=acme,d=2000"));
  stage.Until([&] { return stage.member.Count(kKey) == 1; });
  stage.member.ends.back().Say(Value("x"));
  stage.Until([&] { return other.got == "$1\r\nx\r\n"; });
  CHECK(stage.member.Count("OBJ.GET") == sent + 1);
  CHECK(stage.router.counters().requests == kMaxPendingAnswers + 1);  // its last commands are dropped
}

TEST_CASE("departure: a client that closes with many pending answers is noticed") {
  LeavesWithManyPendingAnswers(Leaves::kCloses);
}

TEST_CASE("departure: a client that resets its connection with many pending answers is noticed") {
  LeavesWithManyPendingAnswers(Leaves::kResets);
}

// Guards against work for a client that has already left: it sent a command and disconnected while the router
// was busy, so that both are found by the same read.
void LeavesRightAfterCommand(Leaves how) {
  Stage stage(Stage::Says(Value("x")));
  LeavingClient client(stage.router.port(), Get(kKey, "c=read,t=acme,d=2000"));
  client.Leave(how);  // the router has not run since the client connected
  stage.Until([&] { return stage.router.counters().clients_closed == 1; });
  End& other = stage.Client(Get("1000", "c=read,t=acme,d=2000"));
  stage.Until([&] { return other.got == "$1\r\nx\r\n"; });
  CHECK(stage.member.Count("OBJ.GET") == 1);
  CHECK(stage.router.counters().requests == 1);
}

TEST_CASE("departure: a command that arrives together with its client's close is not sent to a server") {
  LeavesRightAfterCommand(Leaves::kCloses);
}

TEST_CASE("departure: a command that arrives together with its client's reset is not sent to a server") {
  LeavesRightAfterCommand(Leaves::kResets);
}

// The memory for large values is in use: the second of two concurrent large values is not read.
TEST_CASE("departure: a client that closes while its value waits for memory is noticed") {
  const std::string large = "$" + std::to_string(resp::kMaxBody) + "\r\n";
  auto begins = [&](const std::string& key) {
    return "*5\r\n" + Bulk("OBJ.SET") + Bulk(key) + Bulk(Id(key)) + Bulk("c=keyed,d=2000,k=1") + large;
  };
  Stage stage({}, {}, "", 1024, 16);
  // Each client requests another key first. Once that request has reached the server, the rest of the
  // client's input has been read too.
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

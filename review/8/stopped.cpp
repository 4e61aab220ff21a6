// A planned restart: SIGTERM while large values are on their way to clients that asked before it. The cache server goes on
// giving them; the platform sends SIGKILL only after kKillAfter.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kClients = 3;
constexpr std::size_t kLarge = 4 * 1024 * 1024, kPiece = 16 * 1024;
constexpr double kPieceEveryMs = 24;             // about 6 s for a value
constexpr double kTermAt = 1, kKillAfter = 12;  // seconds, from the clients' start and from SIGTERM

}  // namespace

int main(int argc, char** argv) {
  bool trouble = Begin(argc, argv);
  std::atomic<int> broken_off{0}, given{0};
  Server cache([&](Socket& socket) {
    while (auto command = ReadCommand(socket)) {
      const std::string& id = (*command)[2];
      std::string answer = Hit(std::string(kLarge, 'v'));
      Record("cache server: got id %s, begins to answer", id.c_str());
      double next = Now();
      for (std::size_t at = 0; at < answer.size(); at += kPiece) {
        if (!socket.Write(answer.substr(at, kPiece))) {
          Record("cache server: the router broke off id %s after %zu bytes", id.c_str(), at);
          ++broken_off;
          return;
        }
        SleepUntil(next += kPieceEveryMs / 1000);
      }
      ++given;
      Record("cache server: answered id %s whole", id.c_str());
    }
  });
  Server origin([](Socket& socket) {
    while (auto request = ReadHttp(socket)) socket.Write(HttpAnswer("value"));
  });
  std::string list = List(41, true, {Entry("s1", cache.port), Entry("origin", origin.port, "origin")});
  Server discovery(SteadyDiscovery(list));
  int port = FreePort();
  pid_t router = StartRouter("n0", port, discovery.port, WriteConfig("n0", port, discovery.port, list, 0, {}));
  AwaitReady(port);

  std::atomic<int> whole{0}, lost{0};
  double start = Now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Socket socket = Socket::To(port);
      std::string tail = std::to_string(i), id = "9b1f03aa5c7e2d4" + tail;
      Record("client %d: asks for a large value, id %s", i, id.c_str());
      socket.Write(Command({"OBJ.GET", "7f3a9c21e0b4d65" + tail, id, "c=read,t=north,d=2000"}));
      auto line = socket.Line(Now() + 3);
      if (!line || !line->starts_with("$")) {
        Record("client %d: id %s answered %s", i, id.c_str(), line ? line->c_str() : "nothing");
        ++lost;
        return;
      }
      Record("client %d: id %s: the value has begun, %s", i, id.c_str(), line->c_str());
      auto value = socket.Bytes(kLarge + 2, Now() + 30);
      if (value) Record("client %d: id %s: the value is whole", i, id.c_str());
      if (!value) {
        Record("client %d: id %s: %zu of %zu bytes, then %s", i, id.c_str(), socket.got().size(), kLarge,
               socket.ended() ? "the router ended the connection" : "nothing");
      }
      value ? ++whole : ++lost;
    });
  }
  bool ended_itself = false;
  if (trouble) {
    SleepUntil(start + kTermAt);
    Record("platform: SIGTERM");
    kill(router, SIGTERM);
    double term = Now();
    while (!(ended_itself = Ended(router)) && Now() < term + kKillAfter) SleepMs(5);
    if (ended_itself) Record("platform: the router ended by itself, %.2f s after SIGTERM", Now() - term);
    if (!ended_itself) Record("platform: SIGKILL");
    if (!ended_itself) kill(router, SIGKILL);
  }
  for (std::thread& client : clients) client.join();
  SleepMs(300);
  char text[300];
  std::snprintf(text, sizeof text,
                "%d large values asked for before SIGTERM: %d whole, %d cut; the cache server gave %d whole and was broken off "
                "in %d; the router ended by itself: %s",
                kClients, whole.load(), lost.load(), given.load(), broken_off.load(), ended_itself ? "yes" : "no");
  if (!trouble && whole < kClients) CannotRun(text);
  bool broken = lost > 0 && (ended_itself || !trouble);
  Finish(broken ? 1 : 0, std::string(broken ? "BROKEN: " : "held: ") + text);
}

// Writes of 4 MiB, several at once, by slow clients that send them in small pieces. The platform's stand-in kills the
// router once its memory is over `memory_mb`.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kClients = 7, kMemoryMb = 96, kValue = 4 * 1024 * 1024, kPiece = 200;
constexpr double kPieceEveryMs = 1, kAnswerWithin = 1.2 + 0.5;

// VmRSS of the process, in MiB.
double Resident(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  bool trouble = Begin(argc, argv);
  Server cache([](Socket& socket) {
    while (ReadCommand(socket)) socket.Write(kMiss);
  });
  Server origin([](Socket& socket) {
    while (auto request = ReadHttp(socket)) {
      Record("origin: %s of %zu bytes, id %s", request->method.c_str(), request->body.size(), request->id.c_str());
      SleepMs(100);
      if (!socket.Write(HttpAnswer("receipt-" + request->id))) return;
    }
  });
  std::string list = List(41, true, {Entry("s1", cache.port), Entry("origin", origin.port, "origin")});
  Server discovery(SteadyDiscovery(list));
  int port = FreePort();
  Figures figures;
  figures.memory_mb = kMemoryMb;
  pid_t router = StartRouter("n0", port, discovery.port, WriteConfig("n0", port, discovery.port, list, 0, figures));
  AwaitReady(port);

  std::atomic<bool> over{false};
  std::atomic<double> most{0};
  std::thread platform([&] {
    for (int i = 0; !over; ++i) {
      double now = Resident(router);
      most = std::max(most.load(), now);
      if (i % 100 == 0) Record("platform: the router's memory is %.1f MiB of %d", now, kMemoryMb);
      if (now > kMemoryMb) {
        Record("platform: the router's memory is %.1f MiB, over its limit of %d: killed", now, kMemoryMb);
        kill(router, SIGKILL);
        return;
      }
      SleepMs(10);
    }
  });
  std::atomic<int> served{0}, answered{0}, unanswered{0}, unsent{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Socket socket = Socket::To(port);
      std::string id = "9b1f03aa5c7e2d4" + std::to_string(i), key = "7f3a9c21e0b4d65" + std::to_string(i);
      std::string text = Command({"OBJ.SET", key, id, "c=put,t=north,d=1200", std::string(kValue, 'v')});
      std::string first = "8b1f03aa5c7e2d4" + std::to_string(i);
      socket.Write(Command({"OBJ.GET", key, first, "c=read,t=north,d=2000"}));
      auto head = socket.Line(Now() + kAnswerWithin);
      if (head && head->starts_with("$")) socket.Bytes(static_cast<std::size_t>(std::atoi(head->c_str() + 1)) + 2);
      Record("client %d: a read before, id %s, answer: %s", i, first.c_str(), head ? head->c_str() : "none");
      Record("client %d: begins a write of %d bytes, id %s", i, kValue, id.c_str());
      double next = Now();
      std::size_t piece = trouble ? kPiece : text.size();
      bool written = true;
      for (std::size_t at = 0; at < text.size() && written; at += piece) {
        written = socket.Write(text.substr(at, piece));
        if (trouble) SleepUntil(next += kPieceEveryMs / 1000);
      }
      double sent = Now();
      auto line = written ? socket.Line(sent + kAnswerWithin) : std::nullopt;
      Record("client %d: %s, answer: %s", i, written ? "all sent" : "could not send all", line ? line->c_str() : "none");
      if (!written) ++unsent;
      if (written && !line) ++unanswered;
      if (line) ++answered;
      if (line && line->starts_with("$")) ++served;
    });
  }
  for (std::thread& client : clients) client.join();
  over = true;
  platform.join();
  char text[300];
  std::snprintf(text, sizeof text,
                "%d writes: %d answered (%d served), %d sent whole and not answered, %d not sent whole; most memory %.1f of "
                "%d MiB",
                kClients, answered.load(), served.load(), unanswered.load(), unsent.load(), most.load(), kMemoryMb);
  Record("%s", text);
  bool killed = most > kMemoryMb || Ended(router);
  Finish(killed || unanswered > 0 ? 1 : 0, std::string(killed ? "BROKEN: the router was killed; " : "held; ") + text);
}

// Clients that send many commands at once: each 200 writes of 60 KiB, and it reads its answers as they come. The platform's
// stand-in kills the router once its memory is over `memory_mb`.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kClients = 30, kWrites = 200, kMemoryMb = 96;
constexpr std::size_t kValue = 60 * 1024;
constexpr double kWorkMs = 100, kWithin = 15;

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
    while (ReadCommand(socket)) {
      if (!socket.Write(kMiss)) return;
    }
  });
  std::atomic<int> ran{0};
  Server origin([&](Socket& socket) {
    while (auto request = ReadHttp(socket)) {
      ++ran;
      SleepMs(kWorkMs);
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

  std::atomic<bool> over{false}, killed{false};
  double most = 0;
  std::thread platform([&] {
    for (int i = 0; !over; ++i) {
      double now = Resident(router);
      most = std::max(most, now);
      if (i % 20 == 0) Record("platform: the router's memory is %.1f MiB of %d", now, kMemoryMb);
      if (now > kMemoryMb) {
        Record("platform: the router's memory is %.1f MiB, over its limit of %d: killed", now, kMemoryMb);
        kill(router, SIGKILL);
        killed = true;
        return;
      }
      SleepMs(5);
    }
  });
  // With TROUBLE=0 each write waits for the answer of the one before, for as long as the case lasts.
  std::atomic<int> written{0}, served{0}, refused{0}, failed{0}, none{0};
  std::vector<std::thread> clients;
  double until = Now() + kWithin;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Socket socket = Socket::To(port);
      auto write = [&](int n) {
        char key[20], id[20];
        std::snprintf(key, sizeof key, "7f3a9c21e0%03x%03x", i, n);
        std::snprintf(id, sizeof id, "9b1f03aa5c%03x%03x", i, n);
        bool fine = socket.Write(Command({"OBJ.SET", key, id, "c=put,t=north,d=1200", std::string(kValue, 'v')}));
        written += fine ? 1 : 0;
        return fine;
      };
      auto answer = [&] {
        auto line = socket.Line(until);
        if (line && line->starts_with("$")) socket.Bytes(static_cast<std::size_t>(std::atoi(line->c_str() + 1)) + 2, until);
        !line ? ++none : line->starts_with("$") ? ++served : line->starts_with("-BUSY") ? ++refused : ++failed;
        return line.has_value();
      };
      Record("client %d: %d writes of %zu bytes, %s", i, kWrites, kValue, trouble ? "at once" : "one after another");
      if (!trouble) {
        for (int n = 0; n < kWrites && Now() < until - 2; ++n) {
          if (!write(n) || !answer()) return;
        }
        return;
      }
      std::atomic<int> out{0};
      std::atomic<bool> done{false};
      std::thread writer([&] {
        for (int n = 0; n < kWrites && write(n); ++n) ++out;
        done = true;
      });
      for (int n = 0; n < kWrites; ++n) {
        while (n >= out && !done) SleepMs(1);
        if (n >= out || !answer()) break;
      }
      shutdown(socket.fd(), SHUT_RDWR);
      writer.join();
    });
  }
  for (std::thread& client : clients) client.join();
  over = true;
  platform.join();
  char text[300];
  std::snprintf(text, sizeof text,
                "%d writes sent, %d ran; %d served, %d refused, %d failed, %d clients left without an answer; most memory %.1f of "
                "%d MiB",
                written.load(), ran.load(), served.load(), refused.load(), failed.load(), none.load(), most, kMemoryMb);
  bool broken = killed || Ended(router);
  if (!trouble && served == 0) CannotRun(text);
  Finish(broken ? 1 : 0, std::string(broken ? "BROKEN: the router was killed; " : "held; ") + text);
}

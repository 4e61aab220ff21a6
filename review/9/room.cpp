// Clients that write values of 768 KiB, many at once, to an origin that takes 0.8 s for each. Each request is given to the
// router's system whole, on a connection that it has accepted; its time is counted from there.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kMany = 60, kFew = 8, kMemoryMb = 48;
constexpr std::size_t kValue = 768 * 1024;
constexpr double kWorkMs = 800, kDeadline = 1.2, kGrace = 0.5, kOurSlack = 0.1;

}  // namespace

int main(int argc, char** argv) {
  bool trouble = Begin(argc, argv);
  Server cache([](Socket& socket) {
    while (ReadCommand(socket)) {
      if (!socket.Write(kMiss)) return;
    }
  });
  Server origin([](Socket& socket) {
    while (auto request = ReadHttp(socket)) {
      Record("origin: %s of %zu bytes, id %s, facts %s", request->method.c_str(), request->body.size(), request->id.c_str(),
             request->headers["x-facts"].c_str());
      SleepMs(kWorkMs);
      if (!socket.Write(HttpAnswer("receipt-" + request->id))) return;
    }
  });
  std::string list = List(41, true, {Entry("s1", cache.port), Entry("origin", origin.port, "origin")});
  Server discovery(SteadyDiscovery(list));
  int port = FreePort();
  Figures figures;
  figures.memory_mb = kMemoryMb;
  StartRouter("n0", port, discovery.port, WriteConfig("n0", port, discovery.port, list, 0, figures));
  AwaitReady(port);

  int count = trouble ? kMany : kFew;
  std::atomic<int> in_time{0}, in_grace{0}, lost{0}, slow{0};
  std::vector<std::thread> clients;
  double start = Now() + 0.1;
  for (int i = 0; i < count; ++i) {
    clients.emplace_back([&, i] {
      char key[20], id[20];
      std::snprintf(key, sizeof key, "7f3a9c21e0b4%04x", i);
      std::snprintf(id, sizeof id, "9b1f03aa5c7e%04x", i);
      Socket socket = Socket::To(port);
      std::string text = Command({"OBJ.SET", key, id, "c=put,t=north,d=1200", std::string(kValue, 'v')});
      SleepUntil(start);
      double began = Now();
      if (!socket.open() || !socket.Write(text)) return Record("client %d: could not write", i);
      double sent = Now();  // the last byte is written
      if (sent - began > 0.3) ++slow;
      auto line = socket.Line(sent + 10);
      double took = Now() - sent;
      const char* verdict = took <= kDeadline ? "in time" : took <= kDeadline + kGrace + kOurSlack ? "late" : "LOST";
      Record("client %d: id %s, written in %.3f s, %s after %.3f s of the 1.2 that it waits: %s", i, id, sent - began,
             line ? line->c_str() : "no answer", took, verdict);
      took <= kDeadline ? ++in_time : took <= kDeadline + kGrace + kOurSlack ? ++in_grace : ++lost;
    });
  }
  for (std::thread& client : clients) client.join();
  char text[300];
  std::snprintf(text, sizeof text,
                "%d writes of %zu KiB at once, each with 1.2 s: %d answered in time, %d up to half a second late, %d later or "
                "never; %d took over 0.3 s to be written",
                count, kValue / 1024, in_time.load(), in_grace.load(), lost.load(), slow.load());
  if (in_time == 0) CannotRun(text);
  Finish(lost > 0 ? 1 : 0, std::string(lost > 0 ? "BROKEN: " : "held: ") + text);
}

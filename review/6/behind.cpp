// Clients send several commands at once: a read of a large value, and behind it a keyed write and a small read. The cache
// server resets its connection in the middle of the large value. A request whose connection ends with no answer is lost if a
// server had got it, so that the router had read it; else its client sends it once more on a new connection.
#include <set>

#include "stage.h"

using namespace stage;

namespace {

constexpr int kClients = 5;
constexpr std::size_t kLarge = 1024 * 1024;

std::mutex got_mutex;
std::set<std::string> got_ids;  // that a cache server or the origin has got
void Got(const std::string& id) {
  std::lock_guard lock(got_mutex);
  got_ids.insert(id);
}
bool WasForwarded(const std::string& id) {
  std::lock_guard lock(got_mutex);
  return got_ids.contains(id);
}

void Reset(Socket& socket) {
  linger now{1, 0};
  setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  socket.Close();
}

}  // namespace

int main(int argc, char** argv) {
  bool trouble = Begin(argc, argv);
  Server cache([&](Socket& socket) {
    while (auto command = ReadCommand(socket)) {
      const std::string &key = (*command)[1], &id = (*command)[2];
      Got(id);
      Record("cache server: got id %s", id.c_str());
      if (key.ends_with("1")) {  // a small value
        SleepMs(100);
        if (!socket.Write(Hit("small-" + id))) return;
        continue;
      }
      std::string answer = Hit(std::string(kLarge, 'v'));
      std::size_t half = answer.size() / 2;
      SleepMs(100);
      if (!socket.Write(answer.substr(0, half))) return;
      SleepMs(150);
      if (trouble) {
        Record("cache server: resets the connection in the middle of the value of id %s", id.c_str());
        return Reset(socket);
      }
      if (!socket.Write(answer.substr(half))) return;
      Record("cache server: answered id %s whole", id.c_str());
    }
  });
  std::atomic<int> ran{0};
  Server origin([&](Socket& socket) {
    while (auto request = ReadHttp(socket)) {
      Got(request->id);
      Record("origin: %s id %s runs", request->method.c_str(), request->id.c_str());
      if (request->method == "PUT") ++ran;
      SleepMs(150);
      if (!socket.Write(HttpAnswer("receipt-" + request->id))) return;
    }
  });
  std::string list = List(41, true, {Entry("s1", cache.port), Entry("origin", origin.port, "origin")});
  Server discovery(SteadyDiscovery(list));
  int port = FreePort();
  StartRouter("n0", port, discovery.port, WriteConfig("n0", port, discovery.port, list, 0, {}));
  AwaitReady(port);

  // Of the requests behind the large value: whole answers, and those that were forwarded and got none.
  std::atomic<int> answered{0}, lost{0}, whole{0}, cut{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(i * 700);
      Socket socket = Socket::To(port);
      std::string tail = std::to_string(i), id = "9b1f03aa5c7e2d" + tail, key = "7f3a9c21e0b4d" + tail;
      std::string large = id + "0", write = id + "2", small = id + "1";
      Record("client %d: sends at once a read of a large value (id %s), a keyed write (id %s) and a read (id %s)", i,
             large.c_str(), write.c_str(), small.c_str());
      double sent = Now();
      std::string write_text =
          Command({"OBJ.SET", key + "02", write, "c=send,t=north,d=2500,k=5c0f6e1a2b3d4c5" + tail, "offer"});
      std::string small_text = Command({"OBJ.GET", key + "01", small, "c=read,t=north,d=2000"});
      socket.Write(Command({"OBJ.GET", key + "00", large, "c=read,t=north,d=2000"}) + write_text + small_text);
      auto read = [&](const std::string& name) {
        auto line = socket.Line(sent + 5);
        bool got = line.has_value();
        if (got && line->starts_with("$")) {
          std::size_t size = static_cast<std::size_t>(std::atoi(line->c_str() + 1));
          auto value = socket.Bytes(size + 2, sent + 5);
          got = value.has_value();
          if (!got) {
            Record("client %d: id %s: %zu of %zu bytes of the value, then %s", i, name.c_str(), socket.got().size(), size,
                   socket.ended() ? "the router ended the connection" : "nothing");
            socket.got().clear();
          }
        }
        if (got) Record("client %d: id %s: answered %s", i, name.c_str(), line->c_str());
        if (!line) {
          Record("client %d: id %s: NO ANSWER, %s", i, name.c_str(),
                 socket.ended() ? "the router ended the connection" : "and the connection stays open");
        }
        return got;
      };
      read(large) ? ++whole : ++cut;
      bool write_answered = read(write), small_answered = read(small);
      auto settle = [&](bool got, const std::string& name, const std::string& text) {
        if (!got && !WasForwarded(name)) {
          Record("client %d: id %s: no server has got it; sent once more", i, name.c_str());
          socket = Socket::To(port);
          sent = Now();
          got = socket.Write(text) && read(name);
        }
        got ? ++answered : ++lost;
      };
      settle(write_answered, write, write_text);
      settle(small_answered, small, small_text);
    });
  }
  for (std::thread& client : clients) client.join();
  char text[300];
  std::snprintf(text, sizeof text,
                "%d large values whole, %d cut; of the %d requests behind them %d answered, %d forwarded and lost; %d "
                "writes ran",
                whole.load(), cut.load(), 2 * kClients, answered.load(), lost.load(), ran.load());
  if (whole + cut == 0 || (!trouble && whole == 0)) CannotRun(text);
  Finish(lost > 0 ? 1 : 0, std::string(lost > 0 ? "BROKEN: " : "held: ") + text);
}

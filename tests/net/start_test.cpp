// The program itself, as the platform starts it: ready in time whatever discovery does, and told of changes
// in time though idle clients take all the descriptors that they can get.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "net/raw_server.h"
#include "net/stage.h"
#include "processes/router_process.h"

namespace peatbend::net::test {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

// What the platform allows: from the start to the first +PONG, and from discovery's return to a change that
// counts.
constexpr auto kReadyWithin = 10s, kToldWithin = 6s;
constexpr int kSockets = 64;
const std::string kPing = "*1\r\n" + Bulk("PING");

class Running {
 public:
  enum class Mood { kDown, kSilent, kUp };

  // `known`: whether the router starts with a list. `routers`: of its kind.
  Running(Mood mood, bool known, int routers)
      : mood(mood),
        discovery(base.get(), [this](End& end) { Answer(end); }),
        member(base.get(), Stage::Says(Value("old"))),
        other(base.get(), Stage::Says(Value("new"))),
        folder_((std::filesystem::temp_directory_path() / ("peatbend-start-" + std::to_string(getpid())))
                    .string()),
        port_(processes::FreePort("127.0.0.1")),
        router(PEATBEND_ROUTER, "", folder_, "127.0.0.1:" + std::to_string(port_)) {
    router.Write(Configuration(known, routers).dump());
  }
  ~Running() {
    Kill();
    std::filesystem::remove_all(folder_);
  }
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;

  void Start() {
    router.Start();
    rlimit files{kSockets, kSockets};
    REQUIRE(prlimit(router.pid(), RLIMIT_NOFILE, &files, nullptr) == 0);
  }
  void Kill() {
    if (!router.running()) return;
    router.Signal(SIGKILL);
    waitpid(router.pid(), nullptr, 0);
    router.Ended();
  }
  void Until(const std::function<bool()>& holds) {
    RunUntil(base.get(), holds, 30s, [this] {
      for (auto& turn_over : each_turn) turn_over();
    });
  }
  // Asks until it is answered, on a new connection where the router has closed the one before.
  std::string Ask(const std::string& text) {
    std::optional<End> client;
    Until([&] {
      if (!client || client->closed) {
        client.emplace(base.get(), -1);
        client->Connect(port_);
        client->Say(text);
      }
      return client->got.ends_with("\r\n");
    });
    return client->got;
  }
  std::string Read() { return Ask(Get(kKey, "c=read,d=1900")); }
  // `sockets`: in JSON.
  nlohmann::json Configuration(bool known, int routers,
                               const std::string& sockets = std::to_string(kSockets)) const {
    using nlohmann::json;
    json list = {{"index", 41}, {"snapshot", true}, {"endpoints", json::array()}};
    if (known) list["endpoints"].push_back(json::parse(Member("box-1", member.port)));
    json read = {
        {"name", "read"}, {"objective", 300000000}, {"deadline", 2000000000}, {"effect", "read_like"}};
    return {{"name", "n0"},
            {"listen", "127.0.0.1:" + std::to_string(port_)},
            {"discovery", "127.0.0.1:" + std::to_string(discovery.port)},
            {"limits", {{"sockets", json::parse(sockets)}}},
            {"known", list},
            {"settings",
             {{"classes", json::array({read})},
              {"zones", {"a"}},
              {"flavors", {"box", "origin"}},
              {"discovery", "subscribe"},
              {"replicasOfMe", routers},
              {"specifics", {{"mode", "aside"}, {"originKind", 1}}},
              {"rules", {{"askEvery", 10000000000}}}}}};
  }
  int port() const { return port_; }
  std::string Log() const {
    std::ifstream file(folder_ + "/log.txt");
    return {std::istreambuf_iterator<char>(file), {}};
  }

  EventBasePtr base{event_base_new()};
  Mood mood;
  Peer discovery, member, other;
  std::vector<std::function<void()>> each_turn;

 private:
  // Up, it tells that the first member drains and another serves.
  void Answer(End& end) {
    if (mood == Mood::kDown) return end.Hang();
    if (mood == Mood::kSilent) return;
    std::string drained = Member("box-1", member.port);
    drained.replace(drained.find("SERVING"), 7, "DRAINING");
    end.Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
            Chunk(R"({"index":42,"snapshot":true,"endpoints":[)" + drained + "," +
                  Member("box-2", other.port) + "]}"));
  }
  std::string folder_;
  int port_;

 public:
  processes::RouterProcess router;
};

// Clients that come again as soon as they are closed: one third says nothing, one has asked once, one has
// sent half a command.
class Crowd {
 public:
  Crowd(Running& running, std::size_t size) : running_(running), clients_(size) {}

  void Turn() {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      auto& client = clients_[i];
      if (client && !client->closed) continue;
      client = std::make_unique<End>(running_.base.get(), -1);
      client->Connect(running_.port());
      if (i % 3 == 1) client->Say(Get("0000000000000" + std::to_string(100 + i % 900), "c=read,d=1900"));
      if (i % 3 == 2) client->Say("*4\r\n$7\r\nOBJ");
      ++came;
    }
  }
  std::size_t came = 0;

 private:
  Running& running_;
  std::vector<std::unique_ptr<End>> clients_;
};

// Killed and started again, so that a socket file of the process before lies in $TMPDIR.
TEST_CASE("start: with a list it is ready in time, be discovery down, silent or up") {
  for (auto mood : {Running::Mood::kDown, Running::Mood::kSilent, Running::Mood::kUp}) {
    CAPTURE(static_cast<int>(mood));
    Running running(mood, true, 300);
    for (int start = 0; start < 4; ++start) {
      CAPTURE(start);
      auto from = steady_clock::now();
      running.Start();
      CHECK(running.Ask(kPing) == "+PONG\r\n");
      CHECK(steady_clock::now() - from < kReadyWithin);
      if (mood != Running::Mood::kUp) CHECK(running.Read() == "$3\r\nold\r\n");
      running.Kill();
    }
  }
}

TEST_CASE("start: without a list it is ready in time, however many routers there are") {
  Running running(Running::Mood::kUp, false, 100000);
  for (int start = 0; start < 4; ++start) {
    CAPTURE(start);
    auto from = steady_clock::now();
    running.Start();
    std::string answer;
    while (answer != "+PONG\r\n" && steady_clock::now() - from < kReadyWithin) answer = running.Ask(kPing);
    CHECK(answer == "+PONG\r\n");
    running.Kill();
  }
}

// Guards against an effect after the end of its router: the kernel went on delivering what it had taken of a
// write.
TEST_CASE("kill: a write that its server has not received does not arrive after its router was killed") {
  constexpr int kReceiveBuffer = 64 * 1024;  // bytes, of the server
  const std::string write = Set(kKey, "c=put,d=1900", std::string(256 * 1024, 'v'));
  RawServer server(kReceiveBuffer);
  Running running(Running::Mood::kSilent, true, 1);
  nlohmann::json config = running.Configuration(true, 1);
  config["known"]["endpoints"][0]["address"] = "127.0.0.1:" + std::to_string(server.port);
  config["settings"]["specifics"]["mode"] = "through";  // writes go to the cache server
  config["settings"]["classes"].push_back(
      {{"name", "put"}, {"objective", 300000000}, {"deadline", 2000000000}, {"effect", "non_idempotent"}});
  running.router.Write(config.dump());
  running.Start();
  CHECK(running.Ask(kPing) == "+PONG\r\n");
  End client(running.base.get(), -1);
  client.Connect(running.port());
  client.Say(write);
  steady_clock::time_point asked;
  running.Until([&] {  // the kernel has taken all of it
    if (steady_clock::now() - asked > 100ms) {
      running.router.Signal(SIGUSR1);
      asked = steady_clock::now();
    }
    return server.Accepted() && running.Log().find(" dispatches=1 ") != std::string::npos;
  });
  running.Kill();
  bool whole = false;
  running.Until([&] { return (whole = server.Got("v\r\n")) || server.ended; });
  CHECK_FALSE(whole);
}

TEST_CASE("crowd: idle clients while discovery is down do not take the watch's descriptor") {
  Running running(Running::Mood::kDown, true, 1);
  running.Start();
  CHECK(running.Ask(kPing) == "+PONG\r\n");
  CHECK(running.Read() == "$3\r\nold\r\n");
  Crowd crowd(running, 4 * kSockets);
  running.each_turn.push_back([&] { crowd.Turn(); });
  running.each_turn.push_back([&] { running.router.Sample(); });
  running.Until([&] { return crowd.came > 8 * kSockets; });
  std::size_t calls = running.discovery.Count("watch=1");
  running.Until([&] { return running.discovery.Count("watch=1") > calls; });  // it goes on asking
  CHECK(running.Ask(kPing) == "+PONG\r\n");
  running.mood = Running::Mood::kUp;
  auto back = steady_clock::now();
  std::string answer;
  while (answer != "$3\r\nnew\r\n" && steady_clock::now() - back < kToldWithin) answer = running.Read();
  CHECK(answer == "$3\r\nnew\r\n");
  // The crowd's own requests may have one rejected; none goes to the member that drains.
  for (int read = 0; read < 10; ++read) CHECK(running.Read() != "$3\r\nold\r\n");
  CHECK(running.router.Used().descriptors <= kSockets);
}

// Those that came while it stood still are accepted within one turn of its loop. What it closes to make room
// is to be closed before the next is accepted, or the process runs out of descriptors for all else.
TEST_CASE("crowd: a burst of clients is accepted within the descriptors allowed") {
  Running running(Running::Mood::kUp, true, 1);
  running.Start();
  CHECK(running.Ask(kPing) == "+PONG\r\n");
  running.router.Signal(SIGSTOP);
  sockaddr_in to = Loopback(running.port());
  std::vector<int> burst;
  for (int i = 0; i < 4 * kSockets; ++i) {
    burst.push_back(::socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(burst.back(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }
  running.router.Signal(SIGCONT);
  CHECK(running.Ask(kPing) == "+PONG\r\n");
  CHECK(running.Log().find("accept failed") == std::string::npos);
  for (int socket : burst) close(socket);
}

// What an operator gets wrong is said with its key, and what runs goes on.
TEST_CASE("input: a list and a configuration that cannot be read are logged, and the last good ones serve") {
  Running running(Running::Mood::kUp, true, 1);
  running.Start();
  auto logged = [&](const std::string& line) {
    running.Until([&] { return running.Log().find(line) != std::string::npos; });
  };
  while (running.Read() != "$3\r\nnew\r\n") {
  }
  End& watch = running.discovery.ends.back();
  running.router.Write(R"({"discovery":"127.0.0.1:9",)");
  running.router.Signal(SIGHUP);
  logged("reload refused");
  running.router.Write(running.Configuration(true, 1, R"("many")").dump());
  running.router.Signal(SIGHUP);
  logged("reload refused: limits.sockets: a number of at least");
  CHECK(!watch.closed);
  CHECK(running.Read() == "$3\r\nnew\r\n");
  watch.Say(Chunk(R"({"index":43,"endpoints":"none"})"));
  logged("watch failed: malformed list: endpoints: a list expected");
  CHECK(running.Read() == "$3\r\nnew\r\n");
  running.Until([&] { return running.discovery.Count("watch=1&from=42 ") == 1; });
  CHECK(running.Read() == "$3\r\nnew\r\n");
}

}  // namespace
}  // namespace peatbend::net::test

// A real router process, with cache servers, discovery and clients of the test's own on loopback.
#pragma once

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "net/stage.h"
#include "processes/router_process.h"
#include "protocol/resp.h"

namespace peatbend::net::test::soak {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kDeadline{2000};
// After its time an answer is owed for so long yet, then the request is lost.
constexpr milliseconds kAnswerSlack{550};

inline std::string ReadCommand(const std::string& id) {
  return "*4\r\n" + Bulk("OBJ.GET") + Bulk("k" + id) + Bulk(id) + Bulk("c=read,t=acme,d=2000");
}
inline std::string WriteCommand(const std::string& id, const std::string& value) {
  return "*5\r\n" + Bulk("OBJ.SET") + Bulk("k" + id) + Bulk(id) + Bulk("c=put,t=acme,d=2000,k=x" + id) +
         Bulk(value);
}
// What a server gives for the request of this id, and for no other.
inline std::string ValueOf(const std::string& id) { return "made for " + id; }

// How the cache servers answer.
struct ServerMood {
  milliseconds delay{0};
  double second_copies = 0;  // share of the answers that are written again
  milliseconds copy_from{15}, copy_to{750};
};

// One cache server: answers each command with what it has made for its id.
class CacheServer {
 public:
  CacheServer(event_base* base, const ServerMood& mood, std::mt19937_64& random)
      : base_(base), mood_(mood), random_(random), peer_(base, [this](End& end) { Read(end); }) {}
  int port() const { return peer_.port; }
  std::map<std::string, int> runs;  // of writes, by id
  std::uint64_t copies = 0;

 private:
  void Read(End& end) {
    while (!end.got.empty()) {
      resp::Parser parser(4, resp::kMaxBody);
      if (parser.Advance(end.got) != resp::Parser::Status::kDone) return;
      const resp::Message& message = parser.message();
      std::string id(message.items.size() > 2 ? message.items[2].In(end.got) : "");
      if (message.items.size() == 5) ++runs[id];
      bool asked = message.items.size() >= 4;
      end.got.erase(0, message.size);
      if (!asked) {
        end.Say("+OK\r\n");
        continue;
      }
      std::string answer = Value(ValueOf(id));
      Say(end, answer, mood_.delay);
      if (std::uniform_real_distribution<>()(random_) >= mood_.second_copies) continue;
      ++copies;
      std::uniform_int_distribution<std::int64_t> late(mood_.copy_from.count(), mood_.copy_to.count());
      Say(end, answer, mood_.delay + milliseconds(late(random_)));
    }
  }
  void Say(End& end, const std::string& text, milliseconds delay) {
    if (delay == milliseconds{0}) return end.Say(text);
    auto at = later_.emplace(later_.end());
    *at = std::make_unique<Timer>(base_, [this, &end, text, at] {
      if (!end.closed) end.Say(text);
      later_.erase(at);
    });
    (*at)->Set(delay);
  }
  event_base* base_;
  const ServerMood& mood_;
  std::mt19937_64& random_;
  Peer peer_;
  std::list<std::unique_ptr<Timer>> later_;  // answers that are to be written
};

class Deployment {
 public:
  explicit Deployment(std::uint64_t seed, int memory_mb = 192, int servers = 10)
      : random(seed),
        discovery(base.get(),
                  [](End& end) {
                    if (end.got.ends_with("\r\n\r\n")) end.got.clear(), end.Say(kWatch);
                  }),
        folder_((std::filesystem::temp_directory_path() /
                 ("peatbend-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed)))
                    .string()),
        port(processes::FreePort("127.0.0.1")),
        memory_mb(memory_mb),
        router(PEATBEND_ROUTER, "", folder_, "127.0.0.1:" + std::to_string(port)) {
    std::signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < servers; ++i)
      caches.push_back(std::make_unique<CacheServer>(base.get(), mood, random));
    router.Write(Configuration().dump());
    Start();
  }
  ~Deployment() {
    if (router.running()) End_(SIGKILL);
    std::filesystem::remove_all(folder_);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void Start() {
    router.Start();
    std::optional<End> client;
    RunUntil(base.get(), [&] {
      if (!client || client->closed) {
        client.emplace(base.get(), -1);
        client->Connect(port);
        client->Say("*1\r\n$4\r\nPING\r\n");
      }
      if (client->got == "-LOADING not ready\r\n") client.reset();
      return client && client->got == "+PONG\r\n";
    });
  }
  // Whether it still runs; else it has been reaped.
  bool Runs() {
    int status = 0;
    if (!router.running()) return false;
    if (waitpid(router.pid(), &status, WNOHANG) == 0) return true;
    router.Ended();
    return false;
  }
  void End_(int signal) {
    router.Signal(signal);
    waitpid(router.pid(), nullptr, 0);
    router.Ended();
  }
  double ResidentMb() const {
    std::ifstream status("/proc/" + std::to_string(router.pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) / 1024;
    }
    return 0;
  }
  std::string Log() const {
    std::ifstream file(folder_ + "/log.txt");
    return {std::istreambuf_iterator<char>(file), {}};
  }
  std::string NextId() {
    char text[17];
    std::snprintf(text, sizeof text, "%08llx%08x", static_cast<unsigned long long>(random() & 0xffffffff),
                  ++ids_);
    return text;
  }

  EventBasePtr base = NewEventBase();
  std::mt19937_64 random;
  ServerMood mood;
  Peer discovery;
  std::vector<std::unique_ptr<CacheServer>> caches;

 private:
  static constexpr const char* kWatch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
  nlohmann::json Configuration() const {
    using nlohmann::json;
    json list = {{"index", 41}, {"snapshot", true}, {"endpoints", json::array()}};
    for (std::size_t i = 0; i < caches.size(); ++i)
      list["endpoints"].push_back(json::parse(Member("box-" + std::to_string(i), caches[i]->port())));
    auto cls = [](const char* name, const char* effect) {
      return json{{"name", name},     {"objective", 300000000}, {"deadline", 2000000000},
                  {"effect", effect}, {"group", "all"},         {"window", 1500000000}};
    };
    return {{"name", "n0"},
            {"listen", "127.0.0.1:" + std::to_string(port)},
            {"discovery", "127.0.0.1:" + std::to_string(discovery.port)},
            {"seed", "7"},
            {"limits", {{"sockets", 1024}, {"memory_mb", memory_mb}}},
            {"known", list},
            {"settings",
             {{"classes", json::array({cls("read", "read_like"), cls("put", "idempotency_key")})},
              {"tenants", json::array({{{"name", "acme"}, {"share", 1}}})},
              {"zones", {"a"}},
              {"flavors", {"box", "origin"}},
              {"discovery", "subscribe"},
              {"replicasOfMe", 1},
              {"specifics", {{"mode", "through"}, {"originKind", -1}}},
              {"ceilings",
               {{"tryLimit", 5},
                {"mayCancel", true},
                {"retryAfter", true},
                {"maxRetryAfter", 2000000000},
                {"dialTimeout", 250000000},
                {"keepalive", 10000000000},
                {"secondCopies", true}}},
              {"rules", {{"askEvery", 10000000000}, {"drainGrace", 250000000}}},
              {"tick", 5000000}}}};
  }
  std::string folder_;
  unsigned ids_ = 0;

 public:
  int port, memory_mb;
  processes::RouterProcess router;
};

// A client that asks one thing at a time and judges what it gets.
class Asker {
 public:
  struct Counts {
    std::uint64_t served = 0, refused = 0, failed = 0, wrong = 0, closed_out = 0, lost = 0;
    milliseconds longest{};
  };
  // `write_bytes`: of the values that it writes; 0: it reads.
  Asker(Deployment& fleet, Counts& counts, std::size_t write_bytes = 0)
      : fleet_(fleet), counts_(counts), write_bytes_(write_bytes) {}

  // To be called each turn of the loop.
  void Turn() {
    auto now = steady_clock::now();
    if (!end_ || end_->closed) {
      if (asking_) ++counts_.closed_out;  // the client asks again on a new connection
      end_.emplace(fleet_.base.get(), -1);
      end_->Connect(fleet_.port);
      asking_ = false;
    }
    if (asking_ && end_->got.ends_with("\r\n")) Judge(now);
    if (asking_ && now - asked_ > kDeadline + kAnswerSlack) {
      ++counts_.lost;
      end_.reset();
      asking_ = false;
      return;
    }
    if (!asking_ && asks && now >= asks_at_) Ask(now);
  }
  bool idle() const { return !asking_; }
  bool asks = true;

 private:
  void Ask(steady_clock::time_point now) {
    id_ = fleet_.NextId();
    end_->got.clear();
    end_->Say(write_bytes_ > 0 ? WriteCommand(id_, std::string(write_bytes_, 'v')) : ReadCommand(id_));
    asked_ = now;
    asking_ = true;
  }
  void Judge(steady_clock::time_point now) {
    asking_ = false;
    asks_at_ = now + milliseconds(fleet_.random() % kMostPauseMs);
    counts_.longest = std::max(counts_.longest, std::chrono::duration_cast<milliseconds>(now - asked_));
    if (end_->got == Bulk(ValueOf(id_))) {
      ++counts_.served;
    } else if (end_->got.starts_with("-BUSY")) {
      ++counts_.refused;
    } else if (end_->got.starts_with("-")) {
      ++counts_.failed;
    } else {
      ++counts_.wrong;
    }
    if (end_->got.starts_with("-ERR") && !end_->got.starts_with("-ERR failed")) end_.reset();
  }
  Deployment& fleet_;
  Counts& counts_;
  std::size_t write_bytes_;
  std::optional<End> end_;
  static constexpr std::uint64_t kMostPauseMs = 20;  // between an answer and the next request
  std::string id_;
  bool asking_ = false;
  steady_clock::time_point asks_at_;
  steady_clock::time_point asked_;
};

}  // namespace peatbend::net::test::soak

// What the cases of this review share: small stand-ins of discovery, cache servers and the origin, clients, and the
// start of one router with the deploy file's command. Threads and blocking sockets; loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// ---- Time, chance and the record -------------------------------------------------------------------

using SteadyClock = std::chrono::steady_clock;
inline const SteadyClock::time_point kStart = SteadyClock::now();
inline double NowMs() {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - kStart).count();
}
inline void SleepMs(double ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline std::uint64_t Random() {
  static std::mutex lock;
  static std::mt19937_64 source{std::random_device{}()};
  std::lock_guard hold(lock);
  return source();
}
inline std::string RandomHex() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(Random()));
  return text;
}

inline FILE* g_record = nullptr;
inline std::mutex g_record_lock;
inline void Note(const char* format, ...) {
  std::lock_guard hold(g_record_lock);
  va_list values;
  va_start(values, format);
  std::fprintf(g_record, "%10.2f ms  ", NowMs());
  std::vfprintf(g_record, format, values);
  std::fputc('\n', g_record);
  std::fflush(g_record);
  va_end(values);
}

// ---- Sockets ---------------------------------------------------------------------------------------

inline int ListenAnywhere(int& port, int receive_buffer = 0) {
  int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int yes = 1;
  setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (receive_buffer > 0) setsockopt(made, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (bind(made, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(made, 1024) != 0 ||
      getsockname(made, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  port = ntohs(at.sin_port);
  return made;
}

inline int Connect(int port) {
  int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  if (connect(made, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(made);
    return -1;
  }
  int yes = 1;
  setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return made;
}

inline bool SendAll(int to, std::string_view text) {
  while (!text.empty()) {
    ssize_t sent = send(to, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads lines and counted bytes from a socket. `false`: the connection has ended, or `until_ms` has come.
class Reader {
 public:
  explicit Reader(int socket, double until_ms = 1e18) : socket_(socket), until_ms_(until_ms) {}
  void Until(double until_ms) { until_ms_ = until_ms; }
  bool timed_out() const { return timed_out_; }
  bool Line(std::string& line, std::string_view end = "\r\n") {
    std::size_t at;
    while ((at = buffer_.find(end)) == std::string::npos) {
      if (!More()) return false;
    }
    line = buffer_.substr(0, at);
    buffer_.erase(0, at + end.size());
    return true;
  }
  bool Bytes(std::size_t count, std::string& bytes) {
    while (buffer_.size() < count) {
      if (!More()) return false;
    }
    bytes = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }

 private:
  bool More() {
    double left = until_ms_ - NowMs();
    pollfd wait{socket_, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, left > 1e8 ? -1 : static_cast<int>(left) + 1) == 0) {
      timed_out_ = true;
      return false;
    }
    char part[65536];
    ssize_t got = recv(socket_, part, sizeof part, 0);
    if (got <= 0) return false;
    buffer_.append(part, static_cast<std::size_t>(got));
    return true;
  }
  int socket_;
  double until_ms_;
  bool timed_out_ = false;
  std::string buffer_;
};

inline void Serve(int listener, std::function<void(int)> one) {
  std::thread([listener, one] {
    for (;;) {
      int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        SleepMs(1);
        continue;
      }
      int yes = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
      std::thread([socket, one] {
        one(socket);
        close(socket);
      }).detach();
    }
  }).detach();
}

// ---- RESP2 -----------------------------------------------------------------------------------------

inline std::string Command(const std::vector<std::string>& words) {
  std::string text = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) {
    text += "$" + std::to_string(word.size()) + "\r\n";
    text += word;
    text += "\r\n";
  }
  return text;
}

inline bool ReadCommand(Reader& from, std::vector<std::string>& words) {
  std::string line, word;
  if (!from.Line(line) || line.empty() || line[0] != '*') return false;
  words.clear();
  for (int left = std::atoi(line.c_str() + 1); left > 0; --left) {
    if (!from.Line(line) || line.empty() || line[0] != '$') return false;
    if (!from.Bytes(static_cast<std::size_t>(std::atol(line.c_str() + 1)) + 2, word)) return false;
    word.resize(word.size() - 2);
    words.push_back(word);
  }
  return true;
}

// A router's answer: a served value with '$' before it, or the line of anything else.
inline bool ReadAnswer(Reader& from, std::string& answer) {
  std::string line, value;
  if (!from.Line(line)) return false;
  answer = line;
  if (line.empty() || line[0] != '$' || line[1] == '-') return true;
  if (!from.Bytes(static_cast<std::size_t>(std::atol(line.c_str() + 1)) + 2, value)) return false;
  answer = "$" + value.substr(0, value.size() - 2);
  return true;
}

// ---- Discovery -------------------------------------------------------------------------------------

// The whole list at each call, then an empty line every 2 s; nothing changes in these cases.
class Discovery {
 public:
  Discovery() {
    int listener = ListenAnywhere(port_);
    Serve(listener, [this](int socket) { One(socket); });
  }
  int port() const { return port_; }
  void Add(const std::string& name, int port, const std::string& zone, const std::string& type) {
    std::lock_guard hold(lock_);
    if (!entries_.empty()) entries_ += ",";
    entries_ += "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + std::to_string(port) + "\",\"zone\":\"" +
                zone + "\",\"type\":\"" + type +
                "\",\"group\":0,\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":0}";
  }
  std::string Whole() {
    std::lock_guard hold(lock_);
    return "{\"index\":7,\"snapshot\":true,\"endpoints\":[" + entries_ + "]}";
  }

 private:
  void One(int socket) {
    Reader from(socket);
    std::string head;
    while (from.Line(head, "\r\n\r\n")) {
      bool watch = head.find("watch=1") != std::string::npos;
      std::string list = Whole() + "\n";
      if (!watch) {
        if (!SendAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list))
          return;
        continue;
      }
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", list.size());
      if (!SendAll(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + (size + list) + "\r\n")) return;
      for (;;) {
        SleepMs(2000);
        if (!SendAll(socket, "1\r\n\n\r\n")) return;
      }
    }
  }
  int port_ = 0;
  std::mutex lock_;
  std::string entries_;
};

// ---- The origin ------------------------------------------------------------------------------------

struct HttpRequest {
  bool write = false;
  std::string key, id, facts;
  std::size_t length = 0;  // of the body, which is not read yet
};

inline std::string Fact(const std::string& facts, const std::string& name) {
  std::size_t at = ("," + facts).find("," + name + "=");
  if (at == std::string::npos) return "";
  std::size_t begin = at + name.size() + 1;
  return facts.substr(begin, facts.find(',', begin) - begin);
}

inline bool ReadHead(Reader& from, HttpRequest& request) {
  std::string head;
  if (!from.Line(head, "\r\n\r\n")) return false;
  request = {};
  request.write = head.rfind("PUT ", 0) == 0;
  request.key = head.substr(5, head.find(' ', 5) - 5);
  auto header = [&head](const std::string& name) -> std::string {
    std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
  };
  request.id = header("X-Correlation-Id");
  request.facts = header("X-Facts");
  request.length = static_cast<std::size_t>(std::atol(header("Content-Length").c_str()));
  return true;
}

inline std::string HttpAnswer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// A cache server that answers every command with `answer`, which may take its time; an empty answer ends the
// connection.
using CacheAnswer = std::function<std::string(const std::vector<std::string>& words)>;
inline int NewCache(CacheAnswer answer) {
  int port = 0, listener = ListenAnywhere(port);
  Serve(listener, [answer](int socket) {
    Reader from(socket);
    std::vector<std::string> words;
    while (ReadCommand(from, words)) {
      std::string text = answer(words);
      if (text.empty() || !SendAll(socket, text)) return;
    }
  });
  return port;
}
inline std::string Miss(const std::vector<std::string>&) { return "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"; }

// ---- The router ------------------------------------------------------------------------------------

// The settings of a small deployment of the site athens-push, as the wire page shows them.
inline std::string SettingsJson() {
  return R"({"replicasOfMe":3,"index":0,"locality":0,"zones":["athens","thessaloniki"],"flavors":["full","half","origin"],
"discovery":"subscribe","tick":5000000,"weights":"rough","family":"cache","countedBy":"work","overShareWorth":0.05,
"specifics":{"mode":"aside","originKind":2,"originFall":3000000000,"originFallMultiple":2.5},
"classes":[
{"name":"template-read","objective":600000000,"deadline":2000000000,"effect":"read_like","group":"all",
"window":5000000000,"value":1.0,"lateShare":0.2,"stream":false},
{"name":"device-update","objective":600000000,"deadline":1200000000,"effect":"read_like","group":"all",
"window":5000000000,"value":1.0,"lateShare":0.3,"stream":false},
{"name":"campaign-send","objective":600000000,"deadline":2500000000,"effect":"idempotency_key","group":"all",
"window":1500000000,"value":3.0,"lateShare":0.25,"stream":false}],
"tenants":[
{"name":"attiki-group","share":0.32,"allowancePerS":60.0},
{"name":"makedonia-shops","share":0.17,"allowancePerS":32.0},
{"name":"kriti-stores","share":0.13,"allowancePerS":24.0},
{"name":"peloponnisos","share":0.11,"allowancePerS":21.0},
{"name":"thessalia","share":0.09,"allowancePerS":17.0},
{"name":"ipiros","share":0.07,"allowancePerS":13.0},
{"name":"kyklades","share":0.06,"allowancePerS":11.0},
{"name":"dodekanisa","share":0.05,"allowancePerS":9.0}],
"ceilings":{"tryLimit":5,"mayCancel":true,"mayProbe":true,"secondCopies":true,"retryAfter":true,
"maxRetryAfter":2000000000,"keepalive":10000000000,"dialTimeout":250000000,"streamsPerConn":100,"maxOpen":33333,
"peers":false,"cpuUsPerRequest":0.0,"cpuUsPerS":13333},
"rules":{"askEvery":10000000000,"drainGrace":250000000,"fallMultiple":3.0,"graceToAnswer":20000000,
"startCapacity":0.14,"tipAfter":2000000000,"warmAfter":24000000000},
"tariffs":{"connection":0.0,"crossZone":0.16,"handshake":0.0}})";
}

inline pid_t g_router = -1;
inline std::string g_folder;

inline void EndRouter() {
  if (g_router > 0) {
    kill(g_router, SIGKILL);
    waitpid(g_router, nullptr, 0);
    g_router = -1;
  }
  if (!g_folder.empty()) {
    std::string log = g_folder + "/log";
    if (FILE* from = std::fopen(log.c_str(), "r")) {
      char line[512];
      for (int left = 60; left > 0 && std::fgets(line, sizeof line, from) != nullptr; --left)
        std::fprintf(g_record, "router: %s", line);
      std::fclose(from);
    }
    std::error_code ignored;
    std::filesystem::remove_all(g_folder, ignored);
    g_folder.clear();
  }
}

[[noreturn]] inline void Finish(int status) {
  EndRouter();
  std::fflush(g_record);
  _exit(status);  // the stand-ins' threads still run
}

// Opens the record and bounds the run.
inline void Begin(const char* folder) {
  g_record = std::fopen((std::string(folder) + "/record.txt").c_str(), "w");
  if (g_record == nullptr) std::exit(2);
  signal(SIGPIPE, SIG_IGN);
  std::thread([] {
    SleepMs(110000);
    Note("the run took too long");
    Finish(2);
  }).detach();
}

inline bool Troubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

// Starts one router by RUN, the deploy file's command, and waits until PING is answered +PONG. Its port.
inline int StartRouter(Discovery& discovery, int memory_mb, int sockets) {
  g_folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(g_folder.data()) == nullptr) std::exit(2);
  int port = 0;
  close(ListenAnywhere(port));  // free a moment ago
  std::string listen = "127.0.0.1:" + std::to_string(port), source = "127.0.0.1:" + std::to_string(discovery.port());
  std::string path = g_folder + "/config.json";
  FILE* config = std::fopen(path.c_str(), "w");
  std::fprintf(config,
               "{\"name\":\"n1\",\"listen\":\"%s\",\"discovery\":\"%s\",\"seed\":\"%s\",\"limits\":{\"cores\":1.0,"
               "\"memory_mb\":%d,\"sockets\":%d},\"known\":%s,\"settings\":%s}\n",
               listen.c_str(), source.c_str(), RandomHex().c_str(), memory_mb, sockets, discovery.Whole().c_str(),
               SettingsJson().c_str());
  std::fclose(config);
  const char* run = std::getenv("RUN");
  if (run == nullptr) {
    Note("RUN is not set");
    Finish(2);
  }
  pid_t parent = getpid();
  g_router = fork();
  if (g_router == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(2);
    setenv("BALANCER_NAME", "n1", 1);
    setenv("BALANCER_LISTEN", listen.c_str(), 1);
    setenv("BALANCER_DISCOVERY", source.c_str(), 1);
    setenv("BALANCER_CONFIG", path.c_str(), 1);
    setenv("TMPDIR", g_folder.c_str(), 1);
    int log = open((g_folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    execl("/bin/sh", "sh", "-c", run, static_cast<char*>(nullptr));
    _exit(127);
  }
  Note("started: %s (process %d) on %s, memory_mb %d, sockets %d", run, g_router, listen.c_str(), memory_mb, sockets);
  for (int turn = 0; turn < 200; ++turn) {
    int socket = Connect(port);
    std::string answer;
    bool ready = false;
    if (socket >= 0 && SendAll(socket, Command({"PING"}))) {
      Reader from(socket, NowMs() + 1000);
      ready = ReadAnswer(from, answer) && answer == "+PONG";
    }
    if (socket >= 0) close(socket);
    if (ready) {
      Note("PING is answered +PONG");
      return port;
    }
    SleepMs(50);
  }
  Note("the router was not ready in time");
  Finish(2);
}

inline bool RouterRuns() {
  if (g_router > 0 && waitpid(g_router, nullptr, WNOHANG) == g_router) g_router = -1;
  return g_router > 0;
}

}  // namespace review

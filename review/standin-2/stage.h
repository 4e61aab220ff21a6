// What the cases from 6 on share: a record, processes, and small stand-ins of clients, cache servers, the origin and
// discovery on loopback sockets, with a thread for each connection. A case says what its stand-ins answer.
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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

inline const SteadyTime kStart = std::chrono::steady_clock::now();
inline double Now() {  // seconds since the start
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}
inline void SleepMs(double ms) { std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms)); }
inline void SleepUntil(double at) {
  if (at > Now()) SleepMs((at - Now()) * 1000);
}

// ---- The record --------------------------------------------------------------------------------------------

inline std::FILE* record_file = nullptr;
inline std::mutex record_mutex;
inline void Record(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%9.4f  ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// The case could not run.
[[noreturn]] inline void CannotRun(const std::string& why);

// ---- Sockets -----------------------------------------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}

inline int ListenAnywhere(int& port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in any = Loopback(port);
  socklen_t size = sizeof any;
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&any), sizeof any) != 0 || listen(fd, 256) != 0) return -1;
  getsockname(fd, reinterpret_cast<sockaddr*>(&any), &size);
  port = ntohs(any.sin_port);
  return fd;
}

// A port that nobody uses now.
inline int FreePort() {
  int port = 0, fd = ListenAnywhere(port);
  if (fd < 0) CannotRun("no free port");
  close(fd);
  return port;
}

// A connected socket with a buffer; closed when it goes.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {
    int on = 1;
    if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)), got_(std::move(other.got_)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    std::swap(got_, other.got_);
    return *this;
  }
  ~Socket() { Close(); }
  static Socket To(int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = Loopback(port);
    if (fd >= 0 && connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      close(fd);
      fd = -1;
    }
    return Socket(fd);
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  bool Write(const std::string& text) const {
    for (std::size_t at = 0; at < text.size();) {
      ssize_t sent = send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // More bytes; false at the end, or where none come by `until` (seconds since the start).
  bool Fill(double until = 1e9) {
    while (true) {
      double left = until - Now();
      if (left <= 0) return false;
      pollfd wait{fd_, POLLIN, 0};
      int ready = poll(&wait, 1, static_cast<int>(std::min(left, 1.0) * 1000) + 1);
      if (ready < 0 && errno != EINTR) return false;
      if (ready > 0) break;
    }
    char bytes[65536];
    ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) return ended_ = true, false;
    got_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  bool ended() const { return ended_; }
  // A line without its end.
  std::optional<std::string> Line(double until = 1e9) {
    std::size_t end;
    while ((end = got_.find("\r\n")) == std::string::npos) {
      if (!Fill(until)) return std::nullopt;
    }
    std::string line = got_.substr(0, end);
    got_.erase(0, end + 2);
    return line;
  }
  std::optional<std::string> Bytes(std::size_t size, double until = 1e9) {
    while (got_.size() < size) {
      if (!Fill(until)) return std::nullopt;
    }
    std::string bytes = got_.substr(0, size);
    got_.erase(0, size);
    return bytes;
  }
  std::string& got() { return got_; }

 private:
  int fd_ = -1;
  bool ended_ = false;
  std::string got_;
};

inline std::string Bulk(const std::string& text) { return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n"; }
inline std::string Command(const std::vector<std::string>& words) {
  std::string text = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) text += Bulk(word);
  return text;
}

// ---- Stand-ins ---------------------------------------------------------------------------------------------

// Accepts at a port of its own; each connection gets a thread that runs `serve`.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;
  explicit Server(Serve serve, int at = 0) : port(at), serve_(std::move(serve)) {
    fd_ = ListenAnywhere(port);
    if (fd_ < 0) CannotRun("a stand-in cannot listen");
    std::thread([this] {
      while (true) {
        int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        std::thread([this, fd] {
          Socket socket(fd);
          serve_(socket);
        }).detach();
      }
    }).detach();
  }
  int port;

 private:
  Serve serve_;
  int fd_;
};

// One command in RESP, as the router sends it to a cache server.
inline std::optional<std::vector<std::string>> ReadCommand(Socket& socket) {
  auto head = socket.Line();
  if (!head || head->empty() || (*head)[0] != '*') return std::nullopt;
  std::vector<std::string> words;
  for (int left = std::atoi(head->c_str() + 1); left > 0; --left) {
    auto length = socket.Line();
    if (!length || (*length)[0] != '$') return std::nullopt;
    auto word = socket.Bytes(static_cast<std::size_t>(std::atoll(length->c_str() + 1)) + 2);
    if (!word) return std::nullopt;
    words.push_back(word->substr(0, word->size() - 2));
  }
  return words;
}

inline std::string Hit(const std::string& value) { return "*3\r\n" + Bulk(value) + "$3\r\nhit\r\n$-1\r\n"; }
inline const std::string kMiss = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

struct HttpRequest {
  std::string method, path, id, body;
  std::map<std::string, std::string> headers;  // names in lower case
};
inline std::optional<HttpRequest> ReadHttp(Socket& socket) {
  auto first = socket.Line();
  if (!first) return std::nullopt;
  HttpRequest request;
  std::istringstream(*first) >> request.method >> request.path;
  while (true) {
    auto line = socket.Line();
    if (!line) return std::nullopt;
    if (line->empty()) break;
    std::size_t colon = line->find(": ");
    if (colon == std::string::npos) continue;
    std::string name = line->substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    request.headers[name] = line->substr(colon + 2);
  }
  request.id = request.headers["x-correlation-id"];
  if (auto length = request.headers.find("content-length"); length != request.headers.end()) {
    auto body = socket.Bytes(static_cast<std::size_t>(std::atoll(length->second.c_str())));
    if (!body) return std::nullopt;
    request.body = *body;
  }
  return request;
}
inline std::string HttpAnswer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// One entry of discovery's list.
inline std::string Entry(const std::string& name, int port, const std::string& type = "box",
                         const std::string& status = "SERVING") {
  return R"({"name":")" + name + R"(","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"a","type":")" + type +
         R"(","group":1,"status":")" + status + R"(","weight":1.0,"since_ms":0})";
}
inline std::string List(int index, bool snapshot, const std::vector<std::string>& entries) {
  std::string text = R"({"index":)" + std::to_string(index) + R"(,"snapshot":)" + (snapshot ? "true" : "false") +
                     R"(,"endpoints":[)";
  for (std::size_t i = 0; i < entries.size(); ++i) text += (i > 0 ? "," : "") + entries[i];
  return text + "]}";
}
inline std::string Chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
const char kWatchHead[] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

// Discovery that has one list which does not change: watches get it whole, then an empty line every 2 s.
inline Server::Serve SteadyDiscovery(const std::string& list) {
  return [list](Socket& socket) {
    while (auto request = ReadHttp(socket)) {
      Record("discovery: %s", request->path.c_str());
      if (request->path.find("watch=1") == std::string::npos) {
        if (!socket.Write(HttpAnswer(list + "\n"))) return;
        continue;
      }
      if (!socket.Write(kWatchHead + Chunk(list + "\n"))) return;
      while (socket.Write(Chunk("\n"))) SleepMs(2000);
    }
  };
}

// ---- Processes ---------------------------------------------------------------------------------------------

inline std::string root, folder;           // the repository's root; a temporary folder of this run
inline std::vector<pid_t> started;         // not yet ended

// The `run` of the deploy file.
inline std::string RunLine() {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.find('"', 7) - 7);
  }
  CannotRun("deploy/balancer.toml has no run line");
}

// Starts a router as the platform does; its log goes into the temporary folder.
inline pid_t StartRouter(const std::string& name, int port, int discovery, const std::string& config,
                         const std::string& tmpdir = "") {
  static const std::string run = RunLine();
  std::string log = folder + "/" + name + ".log", tmp = tmpdir.empty() ? folder + "/" + name + ".tmp" : tmpdir;
  mkdir(tmp.c_str(), 0700);
  pid_t pid = fork();
  if (pid < 0) CannotRun("fork");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, however that ends
    if (chdir(root.c_str()) != 0) _exit(127);
    int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600), in = open("/dev/null", O_RDONLY);
    dup2(in, 0);
    dup2(out, 1);
    dup2(out, 2);
    setenv("TMPDIR", tmp.c_str(), 1);
    setenv("BALANCER_NAME", name.c_str(), 1);
    setenv("BALANCER_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
    setenv("BALANCER_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery)).c_str(), 1);
    setenv("BALANCER_CONFIG", config.c_str(), 1);
    execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
    _exit(127);
  }
  started.push_back(pid);
  Record("started %s as process %d at port %d: %s", name.c_str(), pid, port, run.c_str());
  return pid;
}

inline bool Ended(pid_t pid) {
  int status = 0;
  if (std::find(started.begin(), started.end(), pid) == started.end()) return true;
  if (waitpid(pid, &status, WNOHANG) != pid) return false;
  std::erase(started, pid);
  Record("process %d has ended: %s %d", pid, WIFSIGNALED(status) ? "signal" : "exit",
         WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
  return true;
}

inline void EndAll() {
  for (pid_t pid : started) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  started.clear();
}

// Puts the routers' logs behind the record.
[[noreturn]] inline void Finish(int code, const std::string& verdict) {
  EndAll();
  Record("%s", verdict.c_str());
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  {
    std::lock_guard lock(record_mutex);
    for (int i = 0; i < 40; ++i) {
      std::ifstream log(folder + "/n" + std::to_string(i) + ".log");
      if (!log) continue;
      std::fprintf(record_file, "---- log of n%d ----\n", i);
      for (std::string line; std::getline(log, line);) std::fprintf(record_file, "%s\n", line.c_str());
    }
    std::fclose(std::exchange(record_file, nullptr));
  }
  _exit(code);
}

inline void CannotRun(const std::string& why) { Finish(2, "could not run: " + why); }

// argv: the repository's root, the temporary folder, the record. Whether the disruption is to happen.
inline bool Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4) return std::fprintf(stderr, "ROOT FOLDER RECORD expected\n"), std::exit(2), false;
  root = argv[1];
  folder = argv[2];
  record_file = std::fopen(argv[3], "w");
  if (record_file == nullptr) std::exit(2);
  const char* trouble = std::getenv("TROUBLE");
  bool yes = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  Record("the disruption is %s", yes ? "on" : "off");
  return yes;
}

// Waits till the router answers PING with +PONG.
inline void AwaitReady(int port, double within = 10) {
  double until = Now() + within;
  while (Now() < until) {
    Socket socket = Socket::To(port);
    if (socket.open() && socket.Write(Command({"PING"}))) {
      auto line = socket.Line(Now() + 1);
      if (line && *line == "+PONG") return Record("the router at port %d is ready", port);
    }
    SleepMs(30);
  }
  CannotRun("a router is not ready in time");
}

// ---- Settings ----------------------------------------------------------------------------------------------

struct Figures {
  int routers = 3;
  int memory_mb = 192, sockets = 1024;
  int drain_grace_ms = 250;
};

// A small deployment in the form of the platform's configuration file: three classes (read, put: safe; send: keyed).
inline std::string WriteConfig(const std::string& name, int port, int discovery, const std::string& known, int index,
                               const Figures& figures) {
  std::string path = folder + "/" + name + ".json";
  std::ofstream(path) << R"({"name":")" << name << R"(","listen":"127.0.0.1:)" << port
                      << R"(","discovery":"127.0.0.1:)" << discovery << R"(","seed":")" << std::hex << (0x5eed1000 + index)
                      << std::dec << R"(","limits":{"cores":1.0,"memory_mb":)" << figures.memory_mb << R"(,"sockets":)"
                      << figures.sockets << R"(},"known":)" << known << R"(,"settings":{
"ceilings":{"cpuUsPerRequest":0,"cpuUsPerS":100000,"dialTimeout":250000000,"keepalive":10000000000,"maxOpen":33333,
 "maxRetryAfter":2000000000,"mayCancel":true,"mayProbe":true,"peers":false,"retryAfter":true,"secondCopies":true,
 "streamsPerConn":100,"tryLimit":5},
"classes":[
 {"name":"read","deadline":2000000000,"objective":600000000,"effect":"read_like","group":"all","window":5000000000,
  "lateShare":0.2,"stream":false,"value":1.0},
 {"name":"put","deadline":1200000000,"objective":600000000,"effect":"read_like","group":"all","window":5000000000,
  "lateShare":0.3,"stream":false,"value":1.0},
 {"name":"send","deadline":2500000000,"objective":600000000,"effect":"idempotency_key","group":"all","window":1500000000,
  "lateShare":0.25,"stream":false,"value":3.0}],
"clients":{"marksRetry":true},"countedBy":"work","discovery":"subscribe","family":"cache",
"feedback":{"columns":[],"how":"silent"},"flavors":["box","origin"],"index":)"
                      << index << R"(,"locality":0,"overShareWorth":0.05,"replicasOfMe":)" << figures.routers << R"(,
"rules":{"askEvery":10000000000,"drainGrace":)" << figures.drain_grace_ms << R"(000000,"fallMultiple":3.0,
 "graceToAnswer":20000000,"startCapacity":0.14,"tipAfter":2000000000,"warmAfter":24000000000},
"specifics":{"mode":"aside","originFall":3000000000,"originFallMultiple":2.5,"originKind":1},
"tenants":[{"name":"north","share":0.6,"allowancePerS":120.0},{"name":"south","share":0.4,"allowancePerS":80.0}],
"tick":5000000,"tier":0,"tiers":["cache"],"weights":"rough","zones":["a"]}})";
  return path;
}

}  // namespace stage

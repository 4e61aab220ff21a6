// Clients of several routers and the one cache server behind these, on a thread of their own. Admitted
// requests are counted here, independently of what the routers report.
#pragma once

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <numeric>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "base/event_handles.h"

namespace peatbend::rations::test {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// An admitted request; it was admitted between the two times.
struct Admission {
  Clock::time_point sent, received;
  std::size_t router;
  int client;
};

class TestClients {
 public:
  // Connects `clients` clients to each of these addresses; clients of one number have the same address at all
  // routers. They send no requests until an interval is set.
  TestClients(std::vector<std::string> routers, int clients);
  ~TestClients() {
    stopping_ = true;
    thread_.join();
  }
  TestClients(const TestClients&) = delete;
  TestClients& operator=(const TestClients&) = delete;

  // Each client of the router sends a request at that interval, but not before the previous one is answered;
  // 0: none.
  void SetInterval(std::size_t router, std::chrono::milliseconds interval) {
    interval_ms_[router] = interval.count();
  }
  void SetIntervals(std::chrono::milliseconds interval) {
    for (auto& one : interval_ms_) one = interval.count();
  }
  // Rejected clients wait for the time in the rejection from now on.
  void HonorRetryAfter() { honors_retry_after_ = true; }
  // The cache server takes so long for each request from now on.
  void SetServiceTime(std::chrono::milliseconds time) { service_ms_ = time.count(); }
  int server_port() const { return port_; }
  std::vector<Admission> Admissions() const {
    std::lock_guard hold(lock_);
    return admissions_;
  }
  // The number of requests sent since that time and admitted.
  std::size_t Admitted(Clock::time_point from, std::size_t router) const;
  std::size_t Admitted(Clock::time_point from) const;
  std::uint64_t rejected(std::size_t router) const { return rejected_[router]; }
  std::uint64_t unexpected() const { return unexpected_; }  // answers that are neither a hit nor a rejection
  std::uint64_t rejected() const {
    return std::accumulate(rejected_.begin(), rejected_.end(), std::uint64_t{0});
  }

 private:
  struct Client {
    TestClients* owner;
    std::size_t router;
    int number;
    net::BuffereventPtr socket;
    bool open = false, waiting = false;
    Clock::time_point sent, next;
  };
  struct ServerConnection {  // from a router to the cache server
    TestClients* owner;
    net::BuffereventPtr socket;
    std::string answer;
    net::Timer delayed_answer{owner->base_.get(),
                              [this] { bufferevent_write(socket.get(), answer.data(), answer.size()); }};
  };
  void Tick();
  void Connect(Client& client);
  void SendRequest(Client& client);
  void Read(Client& client);
  static void Serve(bufferevent* socket, void* self);

  std::vector<std::string> routers_;
  std::deque<std::atomic<std::int64_t>> interval_ms_;
  std::deque<std::atomic<std::uint64_t>> rejected_;
  std::atomic<std::uint64_t> unexpected_ = 0;
  std::atomic<bool> stopping_ = false, honors_retry_after_ = false;
  std::atomic<std::int64_t> service_ms_ = 0;
  mutable std::mutex lock_;
  std::vector<Admission> admissions_;
  net::EventBasePtr base_{net::NewEventBase()};
  net::ListenerPtr listener_;
  int port_ = 0;
  std::uint64_t requests_ = 0;
  std::list<ServerConnection> connections_;
  std::list<Client> clients_;
  net::Timer tick_{base_.get(), [this] { Tick(); }};
  std::thread thread_;
};

inline std::string Bulk(std::string_view text) { return fmt::format("${}\r\n{}\r\n", text.size(), text); }

inline sockaddr_in At(const std::string& address) {
  std::size_t colon = address.rfind(':');
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
  return at;
}

inline TestClients::TestClients(std::vector<std::string> routers, int clients)
    : routers_(std::move(routers)), interval_ms_(routers_.size()), rejected_(routers_.size()) {
  sockaddr_in any = At("127.0.0.1:0");
  auto accept = [](evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* self) {
    auto* server = static_cast<TestClients*>(self);
    ServerConnection& one = server->connections_.emplace_back(
        server, net::BuffereventPtr(bufferevent_socket_new(evconnlistener_get_base(listener), socket,
                                                           BEV_OPT_CLOSE_ON_FREE)));
    bufferevent_setcb(one.socket.get(), &TestClients::Serve, nullptr, nullptr, &one);
    bufferevent_enable(one.socket.get(), EV_READ | EV_WRITE);
  };
  listener_.reset(evconnlistener_new_bind(base_.get(), accept, this, LEV_OPT_CLOSE_ON_FREE, 256,
                                          reinterpret_cast<sockaddr*>(&any), sizeof any));
  if (!listener_) throw std::runtime_error("cannot listen for the cache server");
  socklen_t size = sizeof any;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&any), &size);
  port_ = ntohs(any.sin_port);
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    for (int n = 0; n < clients; ++n) clients_.push_back({this, r, n, nullptr, false, false, {}, {}});
  }
  tick_.Set({});
  thread_ = std::thread([this] { event_base_dispatch(base_.get()); });
}

inline void TestClients::Tick() {
  if (stopping_) return void(event_base_loopbreak(base_.get()));
  auto now = Clock::now();
  for (Client& client : clients_) {
    std::int64_t interval = interval_ms_[client.router];
    if (interval == 0 || client.waiting || now < client.next) continue;
    client.next = std::max(client.next + std::chrono::milliseconds(interval), now);
    client.open ? SendRequest(client) : Connect(client);
  }
  tick_.Set(1ms);
}

inline void TestClients::Connect(Client& client) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in own = At(fmt::format("127.9.0.{}:0", 1 + client.number)), to = At(routers_[client.router]);
  if (bind(socket, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0) return void(close(socket));
  client.socket.reset(bufferevent_socket_new(base_.get(), socket, BEV_OPT_CLOSE_ON_FREE));
  client.waiting = true;
  bufferevent_setcb(
      client.socket.get(),
      [](bufferevent*, void* self) {
        auto* client = static_cast<Client*>(self);
        client->owner->Read(*client);
      },
      nullptr,
      [](bufferevent*, short what, void* self) {
        auto* client = static_cast<Client*>(self);
        client->open = (what & BEV_EVENT_CONNECTED) != 0;
        if (client->open) return client->owner->SendRequest(*client);
        client->waiting = false;
        client->next = Clock::now() + 20ms;
        client->socket.reset();
      },
      &client);
  bufferevent_enable(client.socket.get(), EV_READ | EV_WRITE);
  bufferevent_socket_connect(client.socket.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
}

inline void TestClients::SendRequest(Client& client) {
  std::string id = fmt::format("i{:x}", ++requests_);
  std::string text = "*4\r\n" + Bulk("OBJ.GET") + Bulk(fmt::format("k{}", requests_ % 100)) + Bulk(id) +
                     Bulk("c=read,t=acme,d=1500");
  client.waiting = true;
  client.sent = Clock::now();
  bufferevent_write(client.socket.get(), text.data(), text.size());
}

inline void TestClients::Read(Client& client) {
  std::string_view text = net::Contents(bufferevent_get_input(client.socket.get()));
  if (!text.ends_with("\r\n") || text == "$5\r\n") return;
  if (text == "$5\r\nvalue\r\n") {
    std::lock_guard hold(lock_);
    admissions_.push_back({client.sent, Clock::now(), client.router, client.number});
  } else if (text.starts_with("-BUSY")) {
    ++rejected_[client.router];
    std::int64_t ms = 0;
    std::from_chars(text.data() + std::min<std::size_t>(6, text.size()), text.data() + text.size(), ms);
    if (honors_retry_after_) client.next = Clock::now() + std::chrono::milliseconds(ms);
  } else {
    ++unexpected_;
  }
  client.waiting = false;
  evbuffer_drain(bufferevent_get_input(client.socket.get()), text.size());
}

// Answers each complete command with a hit; the router sends one at a time on a connection.
inline void TestClients::Serve(bufferevent* socket, void* self) {
  auto* connection = static_cast<ServerConnection*>(self);
  std::string_view text = net::Contents(bufferevent_get_input(socket));
  if (!text.ends_with("\r\n")) return;
  bool request = text.find("OBJ.GET") != std::string_view::npos;
  connection->answer =
      request ? "*3\r\n" + Bulk("value") + Bulk("hit") + "$-1\r\n" : std::string("+PONG\r\n");
  evbuffer_drain(bufferevent_get_input(socket), text.size());
  std::int64_t service_ms = request ? connection->owner->service_ms_.load() : 0;
  if (service_ms > 0) return connection->delayed_answer.Set(std::chrono::milliseconds(service_ms));
  bufferevent_write(socket, connection->answer.data(), connection->answer.size());
}

inline std::size_t TestClients::Admitted(Clock::time_point from, std::size_t router) const {
  std::lock_guard hold(lock_);
  return static_cast<std::size_t>(std::ranges::count_if(
      admissions_, [&](const Admission& one) { return one.sent >= from && one.router == router; }));
}
inline std::size_t TestClients::Admitted(Clock::time_point from) const {
  std::lock_guard hold(lock_);
  return static_cast<std::size_t>(
      std::ranges::count_if(admissions_, [&](const Admission& one) { return one.sent >= from; }));
}

using CreditWithin = std::function<double(Clock::time_point from, Clock::time_point to)>;

// By how many admissions the worst period exceeds burst + rate x T + credit, over periods of any length. Only
// requests sent and answered within the period count, so every excess found is real.
inline double MaxExcess(std::vector<Admission> all, double rate, double burst, const CreditWithin& credit) {
  double max_excess = -1e9;
  std::ranges::sort(all, {}, &Admission::received);
  for (const Admission& first : all) {
    double count = 0;
    for (const Admission& one : all) {
      if (one.sent < first.sent) continue;
      double s = std::chrono::duration<double>(one.received - first.sent).count();
      max_excess = std::max(max_excess, ++count - burst - rate * s - credit(first.sent, one.received));
    }
  }
  return max_excess;
}
inline double MaxExcess(std::vector<Admission> all, double rate, double burst, double credit) {
  return MaxExcess(std::move(all), rate, burst,
                   [credit](Clock::time_point, Clock::time_point) { return credit; });
}

}  // namespace peatbend::rations::test

// Clients of several routers, and the one member behind these, on a thread of its own. What was admitted is
// counted here and from nothing that a router says of itself.
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

// A request that was admitted, somewhere between the two times.
struct Admission {
  Clock::time_point sent, received;
  std::size_t router;
  int client;
};

class Crowd {
 public:
  // So many clients at each of these addresses; the same number is the same client's address at all of them.
  // They ask nothing until they are let.
  Crowd(std::vector<std::string> routers, int clients);
  ~Crowd() {
    ends_ = true;
    thread_.join();
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Each client of the router asks so often, and waits for the answer first; 0: not at all.
  void Let(std::size_t router, std::chrono::milliseconds every) { every_[router] = every.count(); }
  void LetAll(std::chrono::milliseconds every) {
    for (auto& one : every_) one = every.count();
  }
  // Who is told to come back does so then, and not before.
  void Obey() { obeys_ = true; }
  // The member takes so long over each request from now on.
  void TakeLong(std::chrono::milliseconds each) { takes_ = each.count(); }
  int member_port() const { return port_; }
  std::vector<Admission> Admissions() const {
    std::lock_guard hold(lock_);
    return admissions_;
  }
  // Answers since that time, admitted ones and those that were told to come back.
  std::size_t Admitted(Clock::time_point from, std::size_t router) const;
  std::size_t Admitted(Clock::time_point from) const;
  std::uint64_t rejected(std::size_t router) const { return rejected_[router]; }
  std::uint64_t odd() const { return odd_; }  // any other answers
  std::uint64_t told() const { return std::accumulate(rejected_.begin(), rejected_.end(), std::uint64_t{0}); }

 private:
  struct Client {
    Crowd* home;
    std::size_t router;
    int number;
    net::BuffereventPtr socket;
    bool open = false, waits = false;
    Clock::time_point sent, next;
  };
  struct Behind {  // a connection of a router to the member
    Crowd* home;
    net::BuffereventPtr socket;
    std::string answer;
    net::Timer later{home->base_.get(),
                     [this] { bufferevent_write(socket.get(), answer.data(), answer.size()); }};
  };
  void Turn();
  void Connect(Client& client);
  void Ask(Client& client);
  void Read(Client& client);
  static void Serve(bufferevent* socket, void* self);

  std::vector<std::string> routers_;
  std::deque<std::atomic<std::int64_t>> every_;
  std::deque<std::atomic<std::uint64_t>> rejected_;
  std::atomic<std::uint64_t> odd_ = 0;
  std::atomic<bool> ends_ = false, obeys_ = false;
  std::atomic<std::int64_t> takes_ = 0;
  mutable std::mutex lock_;
  std::vector<Admission> admissions_;
  net::EventBasePtr base_{net::NewEventBase()};
  net::ListenerPtr listener_;
  int port_ = 0;
  std::uint64_t asked_ = 0;
  std::list<Behind> behind_;
  std::list<Client> clients_;
  net::Timer turn_{base_.get(), [this] { Turn(); }};
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

inline Crowd::Crowd(std::vector<std::string> routers, int clients)
    : routers_(std::move(routers)), every_(routers_.size()), rejected_(routers_.size()) {
  sockaddr_in any = At("127.0.0.1:0");
  auto accept = [](evconnlistener* listener, evutil_socket_t socket, sockaddr*, int, void* self) {
    auto* crowd = static_cast<Crowd*>(self);
    Behind& one = crowd->behind_.emplace_back(
        crowd, net::BuffereventPtr(
                   bufferevent_socket_new(evconnlistener_get_base(listener), socket, BEV_OPT_CLOSE_ON_FREE)));
    bufferevent_setcb(one.socket.get(), &Crowd::Serve, nullptr, nullptr, &one);
    bufferevent_enable(one.socket.get(), EV_READ | EV_WRITE);
  };
  listener_.reset(evconnlistener_new_bind(base_.get(), accept, this, LEV_OPT_CLOSE_ON_FREE, 256,
                                          reinterpret_cast<sockaddr*>(&any), sizeof any));
  if (!listener_) throw std::runtime_error("no port for the member");
  socklen_t size = sizeof any;
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&any), &size);
  port_ = ntohs(any.sin_port);
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    for (int n = 0; n < clients; ++n) clients_.push_back({this, r, n, nullptr, false, false, {}, {}});
  }
  turn_.Set({});
  thread_ = std::thread([this] { event_base_dispatch(base_.get()); });
}

inline void Crowd::Turn() {
  if (ends_) return void(event_base_loopbreak(base_.get()));
  auto now = Clock::now();
  for (Client& client : clients_) {
    std::int64_t every = every_[client.router];
    if (every == 0 || client.waits || now < client.next) continue;
    client.next = std::max(client.next + std::chrono::milliseconds(every), now);
    client.open ? Ask(client) : Connect(client);
  }
  turn_.Set(1ms);
}

inline void Crowd::Connect(Client& client) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in own = At(fmt::format("127.9.0.{}:0", 1 + client.number)), to = At(routers_[client.router]);
  if (bind(socket, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0) return void(close(socket));
  client.socket.reset(bufferevent_socket_new(base_.get(), socket, BEV_OPT_CLOSE_ON_FREE));
  client.waits = true;
  bufferevent_setcb(
      client.socket.get(),
      [](bufferevent*, void* self) {
        auto* client = static_cast<Client*>(self);
        client->home->Read(*client);
      },
      nullptr,
      [](bufferevent*, short what, void* self) {
        auto* client = static_cast<Client*>(self);
        client->open = (what & BEV_EVENT_CONNECTED) != 0;
        if (client->open) return client->home->Ask(*client);
        client->waits = false;
        client->next = Clock::now() + 20ms;
        client->socket.reset();
      },
      &client);
  bufferevent_enable(client.socket.get(), EV_READ | EV_WRITE);
  bufferevent_socket_connect(client.socket.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
}

inline void Crowd::Ask(Client& client) {
  std::string id = fmt::format("i{:x}", ++asked_);
  std::string text = "*4\r\n" + Bulk("OBJ.GET") + Bulk(fmt::format("k{}", asked_ % 100)) + Bulk(id) +
                     Bulk("c=read,t=acme,d=1500");
  client.waits = true;
  client.sent = Clock::now();
  bufferevent_write(client.socket.get(), text.data(), text.size());
}

inline void Crowd::Read(Client& client) {
  std::string_view text = net::Contents(bufferevent_get_input(client.socket.get()));
  if (!text.ends_with("\r\n") || text == "$5\r\n") return;
  if (text == "$5\r\nvalue\r\n") {
    std::lock_guard hold(lock_);
    admissions_.push_back({client.sent, Clock::now(), client.router, client.number});
  } else if (text.starts_with("-BUSY")) {
    ++rejected_[client.router];
    std::int64_t ms = 0;
    std::from_chars(text.data() + std::min<std::size_t>(6, text.size()), text.data() + text.size(), ms);
    if (obeys_) client.next = Clock::now() + std::chrono::milliseconds(ms);
  } else {
    ++odd_;
  }
  client.waits = false;
  evbuffer_drain(bufferevent_get_input(client.socket.get()), text.size());
}

// A hit for whatever whole command comes; the router sends one at a time on a connection.
inline void Crowd::Serve(bufferevent* socket, void* self) {
  auto* behind = static_cast<Behind*>(self);
  std::string_view text = net::Contents(bufferevent_get_input(socket));
  if (!text.ends_with("\r\n")) return;
  bool asked = text.find("OBJ.GET") != std::string_view::npos;
  behind->answer = asked ? "*3\r\n" + Bulk("value") + Bulk("hit") + "$-1\r\n" : std::string("+PONG\r\n");
  evbuffer_drain(bufferevent_get_input(socket), text.size());
  std::int64_t takes = asked ? behind->home->takes_.load() : 0;
  if (takes > 0) return behind->later.Set(std::chrono::milliseconds(takes));
  bufferevent_write(socket, behind->answer.data(), behind->answer.size());
}

inline std::size_t Crowd::Admitted(Clock::time_point from, std::size_t router) const {
  std::lock_guard hold(lock_);
  return static_cast<std::size_t>(std::ranges::count_if(
      admissions_, [&](const Admission& one) { return one.sent >= from && one.router == router; }));
}
inline std::size_t Crowd::Admitted(Clock::time_point from) const {
  std::lock_guard hold(lock_);
  return static_cast<std::size_t>(
      std::ranges::count_if(admissions_, [&](const Admission& one) { return one.sent >= from; }));
}

using AheadWithin = std::function<double(Clock::time_point from, Clock::time_point to)>;

// By how many admissions the worst stretch of time is above burst + rate x T + ahead; of all stretches of any
// length. Only what was sent and answered within it counts, so that what is found has happened.
inline double MostAbove(std::vector<Admission> all, double rate, double burst, const AheadWithin& ahead) {
  double worst = -1e9;
  std::ranges::sort(all, {}, &Admission::received);
  for (const Admission& first : all) {
    double count = 0;
    for (const Admission& one : all) {
      if (one.sent < first.sent) continue;
      double s = std::chrono::duration<double>(one.received - first.sent).count();
      worst = std::max(worst, ++count - burst - rate * s - ahead(first.sent, one.received));
    }
  }
  return worst;
}
inline double MostAbove(std::vector<Admission> all, double rate, double burst, double ahead) {
  return MostAbove(std::move(all), rate, burst,
                   [ahead](Clock::time_point, Clock::time_point) { return ahead; });
}

}  // namespace peatbend::rations::test

// A router on an ephemeral loopback port, and the ends of the sockets that tests hold: clients, pool members,
// the origin, discovery. They do what a test says and nothing by themselves. All run on one event loop, and
// every wait is for something to happen; the time limit only ends a test that would hang.
#pragma once

#include <netinet/in.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "base/event_handles.h"
#include "doctest/doctest.h"
#include "router/router.h"

namespace peatbend::net::test {

inline sockaddr_in Loopback(int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return to;
}

// Runs the loop until it holds; `within` only ends a test that would hang. `after_turn`: called after each
// turn.
inline void RunUntil(
    event_base* base, const std::function<bool()>& holds,
    std::chrono::seconds within = std::chrono::seconds(20), const std::function<void()>& after_turn = [] {}) {
  auto limit = std::chrono::steady_clock::now() + within;
  while (!holds()) {
    REQUIRE(std::chrono::steady_clock::now() < limit);
    timeval turn{0, 2000};
    event_base_loopexit(base, &turn);
    event_base_dispatch(base);
    after_turn();
  }
}

// One end of a connection: what came, and whether the other end has closed.
class End {
 public:
  End(event_base* base, evutil_socket_t socket)
      : socket_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        socket_.get(), [](bufferevent*, void* self) { static_cast<End*>(self)->Read(); },
        [](bufferevent*, void* self) {
          if (static_cast<End*>(self)->hang_when_said_) static_cast<End*>(self)->Hang();
        },
        [](bufferevent*, short what, void* self) {
          if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) static_cast<End*>(self)->closed = true;
        },
        this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  }
  void Connect(int port) {
    sockaddr_in to = Loopback(port);
    bufferevent_socket_connect(socket_.get(), reinterpret_cast<sockaddr*>(&to), sizeof to);
  }
  void Say(std::string_view text) {
    if (socket_) bufferevent_write(socket_.get(), text.data(), text.size());
  }
  void Hang() { socket_.reset(); }
  // The other end sees a reset, not an end.
  void Reset() {
    linger now{1, 0};
    setsockopt(bufferevent_getfd(socket_.get()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Hang();
  }
  // Whether the system has taken all that was said.
  bool said_all() const { return evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0; }
  // Says it, and closes once the system has taken all.
  void SayLast(std::string_view text) {
    hang_when_said_ = true;
    Say(text);
  }
  void Listens(bool yes) {
    yes ? bufferevent_enable(socket_.get(), EV_READ) : bufferevent_disable(socket_.get(), EV_READ);
  }
  bool hung() const { return socket_ == nullptr; }

  std::string got;
  bool closed = false;
  std::function<void(End&)> on_read;

 private:
  void Read() {
    std::string_view text = Contents(bufferevent_get_input(socket_.get()));
    got.append(text);
    evbuffer_drain(bufferevent_get_input(socket_.get()), text.size());
    if (on_read) on_read(*this);
  }
  bool hang_when_said_ = false;
  BuffereventPtr socket_;
};

// A pool member, the origin or discovery: accepts, and does `on_read` with what comes.
class Peer {
 public:
  explicit Peer(event_base* base, std::function<void(End&)> on_read = {}) : base_(base), on_read_(on_read) {
    sockaddr_in any = Loopback(0);
    listener_.reset(evconnlistener_new_bind(
        base,
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
          auto* peer = static_cast<Peer*>(self);
          peer->ends.emplace_back(peer->base_, socket);
          peer->ends.back().on_read = peer->on_read_;
        },
        this, LEV_OPT_CLOSE_ON_FREE, 128, reinterpret_cast<sockaddr*>(&any), sizeof any));
    REQUIRE(listener_ != nullptr);
    socklen_t size = sizeof any;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&any), &size);
    port = ntohs(any.sin_port);
  }
  void Refuse() { listener_.reset(); }  // connections from now on
  std::size_t Count(std::string_view word) const {
    std::size_t count = 0;
    for (const End& end : ends) {
      for (std::size_t at = 0; (at = end.got.find(word, at)) != std::string::npos; ++at) ++count;
    }
    return count;
  }

  // The first connection on which this came; null: none.
  End* Receiver(std::string_view word) {
    auto at =
        std::ranges::find_if(ends, [&](const End& end) { return end.got.find(word) != std::string::npos; });
    return at == ends.end() ? nullptr : &*at;
  }

  int port = 0;
  std::list<End> ends;

 private:
  event_base* base_;
  std::function<void(End&)> on_read_;
  ListenerPtr listener_;
};

inline std::string Member(const std::string& name, int port, const std::string& more = "") {
  return R"({"name":")" + name + R"(","address":"127.0.0.1:)" + std::to_string(port) +
         R"(","zone":"a","type":")" + (name == "origin" ? "origin" : "box") + R"(","status":"SERVING")" +
         more + "}";
}

inline std::string Chunk(const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

inline std::string Bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}
const char kKey[] = "7f3a9c21e0b4d655";
// A request's id, its own for each key.
inline std::string Id(const std::string& key) {
  return key == kKey ? "9b1f03aa5c7e2d41" : "i" + std::string(key.rbegin(), key.rend());
}
inline std::string Get(const std::string& key, const std::string& facts) {
  return "*4\r\n" + Bulk("OBJ.GET") + Bulk(key) + Bulk(Id(key)) + Bulk(facts);
}
inline std::string Set(const std::string& key, const std::string& facts, const std::string& value) {
  return "*5\r\n" + Bulk("OBJ.SET") + Bulk(key) + Bulk(Id(key)) + Bulk(facts) + Bulk(value);
}
inline std::string Value(const std::string& text) { return "*3\r\n" + Bulk(text) + "$3\r\nhit\r\n$-1\r\n"; }
const char kMiss[] = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

class Stage {
 public:
  using Answer = std::function<void(End&)>;
  static Answer Says(std::string text) {
    return [text](End& end) { end.Say(text); };
  }

  // `more`: further fields of the member in the list that the router starts from. `adjust`: what differs in
  // the configuration.
  explicit Stage(Answer member_answers = {}, Answer origin_answers = {}, const std::string& more = "",
                 int sockets = 1024, int memory_mb = 192, std::string door = "",
                 const std::function<void(Config&)>& adjust = {})
      : door_(std::move(door)),
        member(base.get(), member_answers),
        origin(base.get(), origin_answers),
        discovery(base.get()),
        router(base.get(), Adjusted(Configured(more, sockets, memory_mb), adjust), {}, door_) {}

  void Until(const std::function<bool()>& holds) { RunUntil(base.get(), holds); }
  // Runs the loop for longer than a member's connection rests between requests.
  void Rest() {
    auto from = std::chrono::steady_clock::now();
    Until([&] { return std::chrono::steady_clock::now() - from > std::chrono::milliseconds(16); });
  }
  End& Client(const std::string& text) {
    clients.emplace_back(base.get(), -1);
    clients.back().Connect(router.port());
    clients.back().Say(text);
    return clients.back();
  }
  // Sends it on a connection of its own; what came by the time that the answer's last line had.
  std::string Ask(const std::string& text) {
    End& client = Client(text);
    Until([&] { return client.got.ends_with("\r\n"); });
    return client.got;
  }
  // Waits for the router's watch, and answers it with these lines.
  End& Watched(const std::vector<std::string>& lines = {}) {
    Until([&] { return discovery.Count("watch=1") == ++watches_ || (--watches_, false); });
    End& end = discovery.ends.back();
    end.Say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (const std::string& line : lines) end.Say(Chunk(line));
    return end;
  }

  // The configuration that the router was started with.
  Config Configured(const std::string& more = "", int sockets = 1024, int memory_mb = 192) const {
    std::string text = R"({"name":"n0","listen":"127.0.0.1:0",)" +
                       std::string(door_.empty() ? "" : R"("admin":"127.0.0.1:0",)") +
                       R"("discovery":"127.0.0.1:)" + std::to_string(discovery.port) +
                       R"(","seed":"7","limits":{"sockets":)" + std::to_string(sockets) + R"(,"memory_mb":)" +
                       std::to_string(memory_mb) + R"(},"known":{"index":41,"snapshot":true,"endpoints":[)" +
                       Member("box-1", member.port, more) + "," + Member("origin", origin.port) +
                       R"(]},"settings":{
        "classes":[
          {"name":"read","objective":300000000,"deadline":2000000000,"effect":"read_like"},
          {"name":"keyed","objective":300000000,"deadline":2000000000,"effect":"idempotency_key",
           "group":"all","window":1500000000,"value":3},
          {"name":"unsafe","objective":300000000,"deadline":2000000000,"effect":"non_idempotent"}],
        "tenants":[{"name":"acme","share":1}],"zones":["a"],"flavors":["box","origin"],
        "discovery":"subscribe","specifics":{"mode":"aside","originKind":1},"replicasOfMe":1,
        "ceilings":{"tryLimit":5,"mayCancel":true,"retryAfter":true,"maxRetryAfter":2000000000,
                    "dialTimeout":250000000,"keepalive":100000000000,"secondCopies":true},
        "rules":{"graceToAnswer":20000000,"askEvery":10000000000,"startCapacity":0.14,"warmAfter":24000000000,
                 "drainGrace":250000000,"fallMultiple":3.0,"tipAfter":2000000000},"tick":5000000}})";
    return ReadConfig({.json = text}, [](const char*) -> const char* { return nullptr; });
  }

  static Config Adjusted(Config config, const std::function<void(Config&)>& adjust) {
    if (adjust) adjust(config);
    return config;
  }

  std::string door_;  // not empty: a successor may come there, and there is an operators' address
  EventBasePtr base = NewEventBase();
  Peer member, origin, discovery;
  Router router;
  std::list<End> clients;

 private:
  std::size_t watches_ = 0;
};

}  // namespace peatbend::net::test

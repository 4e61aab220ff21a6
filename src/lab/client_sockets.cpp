#include "lab/client_sockets.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>

#include "lab/dial.h"
#include "standin/port.h"

namespace peatbend::lab {
namespace {

using standin::Pulse;

// One answer at the front of `text`, read as strictly as the protocol is worded.
struct Answer {
  Final how = Final::kFailed;
  std::string_view value;
  std::size_t size = 0;
  std::int64_t come_back_ms = 0;
  bool unreadable = false;
};

std::optional<Answer> ReadAnswer(std::string_view text) {
  std::size_t line = text.find("\r\n");
  if (line == std::string_view::npos) return std::nullopt;
  Answer answer;
  answer.size = line + 2;
  std::string_view head = text.substr(0, line);
  auto number = [](std::string_view digits, std::int64_t& value) {
    auto got = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    return got.ec == std::errc() && got.ptr == digits.data() + digits.size();
  };
  if (head.starts_with('$')) {
    std::int64_t size = 0;
    if (!number(head.substr(1), size) || size < 0 || size > 1 << 20) {
      answer.unreadable = true;
      return answer;
    }
    if (text.size() < answer.size + static_cast<std::size_t>(size) + 2) return std::nullopt;
    answer.how = Final::kServed;
    answer.value = text.substr(answer.size, static_cast<std::size_t>(size));
    answer.size += static_cast<std::size_t>(size) + 2;
  } else if (head == "-BUSY" || head.starts_with("-BUSY ")) {
    answer.how = Final::kRejected;
    if (head.size() > 6) number(head.substr(6), answer.come_back_ms);
  } else {
    answer.unreadable = !head.starts_with('-') && !head.starts_with('+');
  }
  return answer;
}

// Apart from the hosts of routers and stand-ins.
std::string HostOf(int client) { return standin::LoopbackHost(200, client / 250, 1 + client % 250); }

}  // namespace

class ClientSockets::Connection : public std::enable_shared_from_this<ClientSockets::Connection> {
 public:
  Connection(ClientSockets& home, int router, int client)
      : home_(home),
        router_(router),
        client_(client),
        socket_(Dial(home.pulse_.base(), home.routers_[static_cast<std::size_t>(router)].address,
                     home.scenario_.clients > 0 ? HostOf(client) : "")) {
    if (!socket_) return;
    bufferevent_setcb(
        socket_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnRead(); }, nullptr,
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->OnEvent(what); }, this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  }
  bool open() const { return socket_ != nullptr; }
  int router() const { return router_; }
  int client() const { return client_; }

  void Ask(const Try& one, const std::string& text) {
    asked_ = one;
    text_ = text;
    fresh_ = !answered_any_;
    bufferevent_write(socket_.get(), text.data(), text.size());
  }
  const std::optional<Try>& asked() const { return asked_; }
  std::list<std::shared_ptr<Connection>>::iterator self;

 private:
  friend class ClientSockets;
  void OnRead() {
    auto alive = shared_from_this();
    Pulse::Beat beat(home_.pulse_);
    if (ended_) return;  // by what was due
    evbuffer* in = bufferevent_get_input(socket_.get());
    while (evbuffer_get_length(in) > 0) {
      if (!asked_) {
        home_.referee_.MoreCame(last_, home_.pulse_.agenda.now());
        return home_.End(*this);
      }
      auto answer = ReadAnswer(net::Contents(in));
      if (!answer) return;
      Try one = *std::exchange(asked_, std::nullopt);
      last_ = one.id;
      answered_any_ = true;
      std::string value(answer->value);
      evbuffer_drain(in, answer->size);
      // More behind it is no answer to anything. It may come a moment later too: then it finds nothing asked.
      if (evbuffer_get_length(in) > 0) home_.referee_.MoreCame(one.id, home_.pulse_.agenda.now());
      bool spoilt = answer->unreadable || evbuffer_get_length(in) > 0;
      if (!spoilt) home_.routers_[static_cast<std::size_t>(router_)].idle[client_].push_back(this);
      switch (answer->how) {
        case Final::kServed:
          home_.crowd_->Served(one, value);
          break;
        case Final::kRejected:
          home_.crowd_->Rejected(one, world::FromMs(static_cast<double>(answer->come_back_ms)));
          break;
        case Final::kFailed:
          home_.crowd_->Failed(one);
          break;
      }
      if (spoilt) return home_.End(*this);
    }
  }
  void OnEvent(short what) {
    auto alive = shared_from_this();
    Pulse::Beat beat(home_.pulse_);
    if (ended_) return;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      connected_ = true;
      return;
    }
    auto asked = std::exchange(asked_, std::nullopt);
    home_.End(*this);
    if (!asked) return;
    if (!connected_) return home_.crowd_->Unreachable(*asked);
    if (!fresh_ && !again_) return home_.Resend(*asked, text_);  // the router's close crossed the request
    home_.crowd_->Cut(*asked);
  }

  ClientSockets& home_;
  int router_, client_;
  std::optional<Try> asked_;
  std::string text_, last_;
  bool fresh_ = true, answered_any_ = false, connected_ = false, again_ = false, ended_ = false;
  net::BuffereventPtr socket_;
};

class ClientSockets::Stranger {
 public:
  Stranger(ClientSockets& home, const std::string& address, const std::string& habit)
      : habit_(habit),
        again_(home.pulse_.base(), [this] { Say(); }),
        socket_(Dial(home.pulse_.base(), address)) {
    if (!socket_) return;
    bufferevent_setcb(
        socket_.get(),
        [](bufferevent* socket, void*) {
          evbuffer* in = bufferevent_get_input(socket);
          evbuffer_drain(in, evbuffer_get_length(in));
        },
        nullptr, [](bufferevent*, short what, void* self) { static_cast<Stranger*>(self)->OnEvent(what); },
        this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  }

 private:
  void OnEvent(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) return Say();
    again_.Stop();
    socket_.reset();
  }
  void Say() {
    if (!socket_ || habit_ == "silent") return;
    std::string text = habit_ == "ping" ? "*1\r\n$4\r\nPING\r\n" : "*-3\r\n$garbage\r\n";
    bufferevent_write(socket_.get(), text.data(), text.size());
    again_.Set(std::chrono::milliseconds(250));
  }
  std::string habit_;
  net::Timer again_;
  net::BuffereventPtr socket_;
};

ClientSockets::ClientSockets(standin::Pulse& pulse, const Scenario& scenario, const Plan& plan,
                             Referee& referee)
    : pulse_(pulse),
      scenario_(scenario),
      plan_(plan),
      referee_(referee),
      routers_(static_cast<std::size_t>(scenario.routers)) {}

ClientSockets::~ClientSockets() = default;

void ClientSockets::RouterAt(int router, const std::string& address) {
  routers_[static_cast<std::size_t>(router)].address = address;
}

std::shared_ptr<ClientSockets::Connection> ClientSockets::Open(int router, int client) {
  Router& at = routers_[static_cast<std::size_t>(router)];
  auto connection = std::make_shared<Connection>(*this, router, client);
  if (!connection->open()) return nullptr;
  at.all.push_back(connection);
  connection->self = std::prev(at.all.end());
  return connection;
}

void ClientSockets::End(Connection& connection) {
  Router& at = routers_[static_cast<std::size_t>(connection.router())];
  std::erase(at.idle[connection.client()], &connection);
  auto kept = *connection.self;
  kept->ended_ = true;
  at.all.erase(kept->self);
  bufferevent_setcb(kept->socket_.get(), nullptr, nullptr, nullptr, nullptr);
}

void ClientSockets::Send(const Try& one) {
  const Planned& planned = plan_.requests[one.request];
  bool write = scenario_.classes[static_cast<std::size_t>(planned.cls)].write;
  std::string text = fmt::format("*{}\r\n", write ? 5 : 4) + Bulk(write ? "OBJ.SET" : "OBJ.GET") +
                     Bulk(plan_.keys[static_cast<std::size_t>(planned.key)]) + Bulk(one.id) + Bulk(one.facts);
  if (write) text += Bulk(std::string(scenario_.value_bytes, 'w'));
  Router& at = routers_[static_cast<std::size_t>(one.router)];
  std::shared_ptr<Connection> connection;
  std::vector<Connection*>& idle = at.idle[planned.client];
  if (!idle.empty()) {
    connection = *idle.back()->self;
    idle.pop_back();
  } else {
    connection = Open(one.router, planned.client);
  }
  if (!connection) return crowd_->Unreachable(one);
  connection->Ask(one, text);
  // A connection that never came up (the router's queue was full) has brought it nothing.
  pulse_.agenda.In(one.waits + world::FromMs(scenario_.grace_ms),
                   [this, weak = std::weak_ptr<Connection>(connection), id = one.id] {
                     auto held = weak.lock();
                     if (held && !held->connected_ && held->asked() && held->asked()->id == id)
                       referee_.NotTaken(id);
                   });
  // A client that waits no longer closes; the grace is for the referee.
  pulse_.agenda.In(one.waits + world::FromMs(scenario_.grace_ms + 2),
                   [this, weak = std::weak_ptr<Connection>(connection), id = one.id] {
                     auto held = weak.lock();
                     if (!held || !held->asked() || held->asked()->id != id) return;
                     held->asked_.reset();
                     End(*held);
                   });
}

void ClientSockets::Resend(const Try& one, const std::string& text) {
  auto connection = Open(one.router, plan_.requests[one.request].client);
  if (!connection) return crowd_->Unreachable(one);
  connection->again_ = true;
  connection->Ask(one, text);
}

void ClientSockets::Let(const Strangers& strangers) {
  for (int i = 0; i < strangers.connections; ++i) {
    pulse_.agenda.At(
        strangers.at + world::FromSeconds(i / strangers.per_second), [this, i, habit = strangers.habit] {
          const std::string& address = routers_[static_cast<std::size_t>(i) % routers_.size()].address;
          strangers_.push_back(std::make_unique<Stranger>(*this, address, habit));
        });
  }
  pulse_.agenda.At(strangers.at + strangers.lasts, [this] { strangers_.clear(); });
}

}  // namespace peatbend::lab

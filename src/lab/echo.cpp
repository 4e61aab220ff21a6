#include "lab/echo.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "protocol/resp.h"
#include "standin/origin_standin.h"

namespace peatbend::lab {
namespace {
constexpr auto kSlow = std::chrono::milliseconds(1500);
constexpr auto kLookForStop = std::chrono::milliseconds(50);
}  // namespace

class EchoFleet::Connection {
 public:
  Connection(EchoFleet& home, evutil_socket_t socket)
      : home_(home),
        later_(home.base_.get(), [this] { Reply(); }),
        socket_(bufferevent_socket_new(home.base_.get(), socket, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        socket_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->Read(); }, nullptr,
        [](bufferevent*, short, void* self) {
          auto* one = static_cast<Connection*>(self);
          one->home_.connections_.erase(one->self);
        },
        this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  }
  std::list<std::unique_ptr<Connection>>::iterator self;

 private:
  void Read() {
    evbuffer* in = bufferevent_get_input(socket_.get());
    while (evbuffer_get_length(in) > 0) {
      std::string_view text = net::Contents(in);
      if (parser_.Advance(text) != net::resp::Parser::Status::kDone) return;
      const auto& message = parser_.message();
      std::string_view key = message.items.size() > 1 ? message.items[1].In(text) : "";
      answer_ = fmt::format("*3\r\n${}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", key.size(), key);
      bool slow = key.starts_with("slow");
      evbuffer_drain(in, message.size);
      parser_.Reset();
      slow ? later_.Set(kSlow) : Reply();
    }
  }
  void Reply() { bufferevent_write(socket_.get(), answer_.data(), answer_.size()); }
  EchoFleet& home_;
  net::resp::Parser parser_;
  std::string answer_;
  net::Timer later_;
  net::BuffereventPtr socket_;
};

EchoFleet::EchoFleet(int members)
    : base_(event_base_new()),
      heartbeat_(base_.get(),
                 [this] {
                   std::erase_if(watches_, [](const auto& one) { return one->over(); });
                   for (auto& one : watches_) one->Piece("\n");
                   heartbeat_.Set(std::chrono::seconds(2));
                 }),
      stop_(base_.get(), [this] {
        if (stopping_) {
          event_base_loopbreak(base_.get());
        } else {
          stop_.Set(kLookForStop);
        }
      }) {
  for (int i = 0; i < members; ++i) {
    ports_.push_back(std::make_unique<standin::Port>(
        base_.get(), standin::LoopbackHost(9, 1 + i / 250, 1 + i % 250), [this](evutil_socket_t socket) {
          connections_.push_back(std::make_unique<Connection>(*this, socket));
          connections_.back()->self = std::prev(connections_.end());
        }));
    addresses_.push_back(ports_.back()->address());
  }
  http_.reset(evhttp_new(base_.get()));
  evhttp_set_gencb(
      http_.get(), [](evhttp_request* request, void* self) { static_cast<EchoFleet*>(self)->Watch(request); },
      this);
  discovery_ = standin::BindAnywhere(http_.get(), standin::LoopbackHost(9, 0, 3));
  heartbeat_.Set(std::chrono::seconds(2));
  stop_.Set(kLookForStop);
  thread_ = std::thread([this] { event_base_dispatch(base_.get()); });
}

EchoFleet::~EchoFleet() {
  stopping_ = true;
  thread_.join();
  for (auto& one : watches_) one->End();
}

void EchoFleet::Watch(evhttp_request* request) {
  auto waiting = standin::Waiting::Take(request);
  waiting->Start();
  waiting->Piece(List() + "\n");
  watches_.push_back(waiting);
}

std::string EchoFleet::List() const {
  nlohmann::json entries = nlohmann::json::array();
  auto add = [&](const std::string& name, const std::string& address, const char* type) {
    entries.push_back(
        {{"name", name}, {"address", address}, {"zone", "a"}, {"type", type}, {"status", "SERVING"}});
  };
  for (std::size_t i = 0; i < addresses_.size(); ++i) add(fmt::format("m{:04}", i), addresses_[i], "box");
  add("origin", addresses_[0], "origin");
  return nlohmann::json{{"index", 1}, {"snapshot", true}, {"endpoints", entries}}.dump();
}

}  // namespace peatbend::lab

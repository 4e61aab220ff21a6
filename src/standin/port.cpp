#include "standin/port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace peatbend::standin {
namespace {
constexpr int kBacklog = 1024;
constexpr int kFillers = 3;

sockaddr_in To(const std::string& host, int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &to.sin_addr);
  return to;
}
}  // namespace

std::string LoopbackHost(int a, int b, int c) { return fmt::format("127.{}.{}.{}", a, b, c); }

Port::Port(event_base* base, const std::string& host, OnAccept on_accept)
    : base_(base), host_(host), on_accept_(std::move(on_accept)) {
  Bind();
}

Port::~Port() { Refuse(); }

void Port::Bind() {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int yes = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  sockaddr_in at = To(host_, port_);
  if (bind(socket_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(socket_, kBacklog) != 0) {
    std::string why = std::strerror(errno);
    close(std::exchange(socket_, -1));
    throw std::runtime_error("cannot listen on " + address() + ": " + why);
  }
  socklen_t size = sizeof at;
  getsockname(socket_, reinterpret_cast<sockaddr*>(&at), &size);
  port_ = ntohs(at.sin_port);
  readable_.reset(event_new(
      base_, socket_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        auto* port = static_cast<Port*>(self);
        for (;;) {
          evutil_socket_t one = accept4(port->socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
          if (one < 0) return;
          int on = 1;
          setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
          port->on_accept_(one);
          if (port->socket_ < 0) return;
        }
      },
      this));
  event_add(readable_.get(), nullptr);
}

void Port::Refuse() {
  for (evutil_socket_t one : fillers_) CloseWithReset(one);
  fillers_.clear();
  readable_.reset();
  if (socket_ >= 0) close(std::exchange(socket_, -1));
}

void Port::Silence() {
  if (socket_ < 0 || !fillers_.empty()) return;
  event_del(readable_.get());
  listen(socket_, 0);
  sockaddr_in to = To(host_, port_);
  for (int i = 0; i < kFillers; ++i) {
    fillers_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    connect(fillers_.back(), reinterpret_cast<sockaddr*>(&to), sizeof to);
  }
}

void Port::Speak() {
  if (fillers_.empty()) return;
  for (evutil_socket_t one : fillers_) close(one);
  fillers_.clear();
  listen(socket_, kBacklog);
  event_add(readable_.get(), nullptr);
}

void Port::Open() {
  Refuse();
  Bind();
}

void CloseWithReset(evutil_socket_t socket) {
  linger now{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close(socket);
}

}  // namespace peatbend::standin

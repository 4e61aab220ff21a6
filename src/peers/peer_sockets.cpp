#include "peers/peer_sockets.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <vector>

#include "base/address.h"
#include "base/listen.h"

namespace peatbend::peers {
namespace {

constexpr std::chrono::seconds kStreamWithin{2};  // between two steps of a stream; then it is closed
constexpr int kDatagramsATurn = 64;               // of the loop, so that peers never hold up clients
constexpr std::size_t kPrefix = 4;                // bytes: the length of what follows, the highest first

std::string TextOf(const sockaddr_storage& at) {
  char host[INET6_ADDRSTRLEN] = "?";
  bool four = at.ss_family == AF_INET;
  const auto& v4 = reinterpret_cast<const sockaddr_in&>(at);
  const auto& v6 = reinterpret_cast<const sockaddr_in6&>(at);
  evutil_inet_ntop(at.ss_family, four ? static_cast<const void*>(&v4.sin_addr) : &v6.sin6_addr, host,
                   sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(four ? v4.sin_port : v6.sin6_port));
}

std::string WithPort(const std::string& address, int port) {
  return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

}  // namespace

PeerSockets::PeerSockets(event_base* base, const std::string& address, std::string fleet, Calls calls)
    : base_(base), address_(address), fleet_(std::move(fleet)), calls_(std::move(calls)) {
  // The datagram socket keeps a second process out: streams may still be in their last states from a former
  // one.
  datagrams_ = net::BindSocket(address, SOCK_DGRAM, false);
  if (datagrams_ >= 0) {
    address_ = WithPort(address, net::BoundPort(datagrams_));
    listener_ = net::ListenOn(address_, 64, false);
  }
  if (listener_ < 0) {
    std::string why = std::strerror(errno);
    if (datagrams_ >= 0) close(datagrams_);
    throw std::runtime_error("peers: cannot listen on " + address + ": " + why);
  }
  auto read = [](evutil_socket_t, short, void* self) { static_cast<PeerSockets*>(self)->ReadDatagrams(); };
  auto accept = [](evutil_socket_t, short, void* self) { static_cast<PeerSockets*>(self)->Accept(); };
  readable_.reset(event_new(base, datagrams_, EV_READ | EV_PERSIST, read, this));
  acceptable_.reset(event_new(base, listener_, EV_READ | EV_PERSIST, accept, this));
  event_add(readable_.get(), nullptr);
  event_add(acceptable_.get(), nullptr);
}

PeerSockets::~PeerSockets() {
  readable_.reset();
  acceptable_.reset();
  close(datagrams_);
  close(listener_);
}

int PeerSockets::port() const { return net::BoundPort(datagrams_); }

void PeerSockets::ReadDatagrams() {
  std::array<char, kMostDatagram + 1> bytes;
  for (int i = 0; i < kDatagramsATurn; ++i) {
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    ssize_t got =
        recvfrom(datagrams_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    ++received_;
    Message message;
    Fault fault = Decode({bytes.data(), static_cast<std::size_t>(got)}, kMostDatagram, fleet_, message);
    if (fault == Fault::kNone) {
      calls_.message(message, Via::kDatagram);
    } else {
      calls_.dropped(fault, TextOf(from));
    }
  }
}

const PeerSockets::Address* PeerSockets::AddressOf(const std::string& text) {
  auto known = addresses_.find(text);
  if (known != addresses_.end()) return &known->second;
  Address address;
  int size = 0;
  try {
    net::ParseAddress(text, address.at, size);
  } catch (const std::invalid_argument&) {  // a peer's word on its address
    return nullptr;
  }
  address.size = static_cast<socklen_t>(size);
  if (addresses_.size() >= kMostRecords) addresses_.clear();
  return &addresses_.emplace(text, address).first->second;
}

void PeerSockets::Send(const Outgoing& one) {
  const Address* address = AddressOf(one.to);
  if (address == nullptr) {
    ++not_sent_;
    return;
  }
  const auto* to = reinterpret_cast<const sockaddr*>(&address->at);
  if (!one.stream) {
    std::string bytes = Encode(one.message);
    bool fine = bytes.size() <= kMostDatagram &&
                sendto(datagrams_, bytes.data(), bytes.size(), 0, to, address->size) >= 0;
    fine ? ++sent_ : ++not_sent_;
    bytes_sent_ += fine ? bytes.size() : 0;
    return;
  }
  if (out_.size() >= kStreamsOut) {
    ++not_sent_;
    return;
  }
  int made = socket(to->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (made < 0) {
    ++not_sent_;
    return;
  }
  // From the own address, so that what lies between two routers can tell them.
  sockaddr_storage own{};
  int own_size = 0;
  net::ParseAddress(WithPort(address_, 0), own, own_size);
  if (own.ss_family == to->sa_family)
    bind(made, reinterpret_cast<sockaddr*>(&own), static_cast<socklen_t>(own_size));
  Stream& stream = out_.emplace_back();
  stream.self = std::prev(out_.end());
  stream.via = Via::kAnswer;
  stream.socket.reset(bufferevent_socket_new(base_, made, BEV_OPT_CLOSE_ON_FREE));
  Open(stream);
  Write(stream, one.message);
  if (bufferevent_socket_connect(stream.socket.get(), to, static_cast<int>(address->size)) != 0)
    Close(stream);
}

void PeerSockets::Accept() {
  sockaddr_storage from{};
  socklen_t size = sizeof from;
  int made = accept4(listener_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (made < 0) return;
  if (in_.size() >= kStreamsIn) Close(in_.front());  // the oldest: none takes long
  Stream& stream = in_.emplace_back();
  stream.self = std::prev(in_.end());
  stream.socket.reset(bufferevent_socket_new(base_, made, BEV_OPT_CLOSE_ON_FREE));
  Open(stream);
}

void PeerSockets::Open(Stream& stream) {
  stream.home = this;
  bufferevent* socket = stream.socket.get();
  timeval within = net::ToTimeval(kStreamWithin);
  bufferevent_set_timeouts(socket, &within, &within);
  bufferevent_setcb(
      socket,
      [](bufferevent*, void* self) {
        auto* one = static_cast<Stream*>(self);
        one->home->Read(*one);
      },
      [](bufferevent*, void* self) {
        auto* one = static_cast<Stream*>(self);
        if (one->answered) one->home->Close(*one);
      },
      [](bufferevent*, short what, void* self) {
        auto* one = static_cast<Stream*>(self);
        if ((what & BEV_EVENT_CONNECTED) == 0) one->home->Close(*one);
      },
      &stream);
  bufferevent_enable(socket, EV_READ | EV_WRITE);
}

void PeerSockets::Close(Stream& stream) { (stream.via == Via::kStream ? in_ : out_).erase(stream.self); }

void PeerSockets::Write(Stream& stream, const Message& message) {
  std::string bytes = Encode(message);
  std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
  bufferevent_write(stream.socket.get(), &length, kPrefix);
  bufferevent_write(stream.socket.get(), bytes.data(), bytes.size());
  bytes_sent_ += kPrefix + bytes.size();
  ++sent_;
}

void PeerSockets::Read(Stream& stream) {
  evbuffer* in = bufferevent_get_input(stream.socket.get());
  if (stream.answered) {
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  std::uint32_t length = 0;
  if (evbuffer_copyout(in, &length, kPrefix) < static_cast<ev_ssize_t>(kPrefix)) return;
  length = ntohl(length);
  sockaddr_storage from{};
  socklen_t size = sizeof from;
  if (length > kMostStream) {
    getpeername(bufferevent_getfd(stream.socket.get()), reinterpret_cast<sockaddr*>(&from), &size);
    calls_.dropped(Fault::kOversized, TextOf(from));
    return Close(stream);
  }
  if (evbuffer_get_length(in) < kPrefix + length) return;
  evbuffer_drain(in, kPrefix);
  Message message;
  Fault fault = Decode(net::Contents(in).substr(0, length), kMostStream, fleet_, message);
  if (fault != Fault::kNone) {
    getpeername(bufferevent_getfd(stream.socket.get()), reinterpret_cast<sockaddr*>(&from), &size);
    calls_.dropped(fault, TextOf(from));
    return Close(stream);
  }
  ++received_;
  evbuffer_drain(in, length);
  Via via = stream.via;
  // An answer may lead to further streams, never to the end of this one: that is done here.
  auto answer = calls_.message(message, via);
  if (via == Via::kAnswer || !answer) return Close(stream);
  stream.answered = true;
  Write(stream, *answer);
}

}  // namespace peatbend::peers

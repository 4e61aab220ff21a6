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

constexpr std::chrono::seconds kStreamTimeout{2};  // without progress; then the stream is closed
constexpr int kMaxDatagramsPerCallback = 64;       // so that peers do not delay clients
constexpr std::size_t kLengthPrefixBytes = 4;      // the length of the message, big endian

std::string FormatAddress(const sockaddr_storage& at) {
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

PeerSockets::PeerSockets(event_base* base, const std::string& address, std::string fleet, Callbacks callbacks)
    : base_(base), address_(address), fleet_(std::move(fleet)), callbacks_(std::move(callbacks)) {
  // Binding the datagram socket detects a second process. A stream socket would not do: connections of a
  // former process may still be closing (TIME_WAIT) on the address.
  datagrams_ = net::BindSocket(address, SOCK_DGRAM, false);
  if (datagrams_ >= 0) {
    address_ = WithPort(address, net::BoundPort(datagrams_));
    listener_ = net::ListenOn(address_, 64, false);
  }
  if (listener_ < 0) {
    std::string reason = std::strerror(errno);
    if (datagrams_ >= 0) close(datagrams_);
    throw std::runtime_error("peers: cannot listen on " + address + ": " + reason);
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
  std::array<char, kMaxDatagramBytes + 1> bytes;
  for (int i = 0; i < kMaxDatagramsPerCallback; ++i) {
    sockaddr_storage from{};
    socklen_t size = sizeof from;
    ssize_t got =
        recvfrom(datagrams_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    ++received_;
    Message message;
    DecodeError error =
        Decode({bytes.data(), static_cast<std::size_t>(got)}, kMaxDatagramBytes, fleet_, message);
    if (error == DecodeError::kNone) {
      callbacks_.on_message(message, Transport::kDatagram);
    } else {
      callbacks_.on_dropped(error, FormatAddress(from));
    }
  }
}

const PeerSockets::Address* PeerSockets::ParsedAddress(const std::string& text) {
  auto known = addresses_.find(text);
  if (known != addresses_.end()) return &known->second;
  Address address;
  int size = 0;
  try {
    net::ParseAddress(text, address.at, size);
  } catch (const std::invalid_argument&) {  // sent by a peer, so not validated before
    return nullptr;
  }
  address.size = static_cast<socklen_t>(size);
  if (addresses_.size() >= kMaxRecords) addresses_.clear();
  return &addresses_.emplace(text, address).first->second;
}

void PeerSockets::Send(const Outgoing& one) {
  const Address* address = ParsedAddress(one.to);
  if (address == nullptr) {
    ++not_sent_;
    return;
  }
  const auto* to = reinterpret_cast<const sockaddr*>(&address->at);
  if (!one.stream) {
    std::string bytes = Encode(one.message);
    bool ok = bytes.size() <= kMaxDatagramBytes &&
              sendto(datagrams_, bytes.data(), bytes.size(), 0, to, address->size) >= 0;
    ok ? ++sent_ : ++not_sent_;
    bytes_sent_ += ok ? bytes.size() : 0;
    return;
  }
  if (outgoing_.size() >= kMaxOutgoingStreams) {
    ++not_sent_;
    return;
  }
  int fd = socket(to->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    ++not_sent_;
    return;
  }
  // Binds the own address, so that network filters between routers can identify the sender.
  sockaddr_storage own{};
  int own_size = 0;
  net::ParseAddress(WithPort(address_, 0), own, own_size);
  if (own.ss_family == to->sa_family)
    bind(fd, reinterpret_cast<sockaddr*>(&own), static_cast<socklen_t>(own_size));
  Stream& stream = outgoing_.emplace_back();
  stream.self = std::prev(outgoing_.end());
  stream.transport = Transport::kStreamReply;
  stream.socket.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  Open(stream);
  Write(stream, one.message);
  if (bufferevent_socket_connect(stream.socket.get(), to, static_cast<int>(address->size)) != 0)
    Close(stream);
}

void PeerSockets::Accept() {
  sockaddr_storage from{};
  socklen_t size = sizeof from;
  int fd = accept4(listener_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  if (incoming_.size() >= kMaxIncomingStreams)
    Close(incoming_.front());  // the oldest; streams are short-lived
  Stream& stream = incoming_.emplace_back();
  stream.self = std::prev(incoming_.end());
  stream.socket.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
  Open(stream);
}

void PeerSockets::Open(Stream& stream) {
  stream.owner = this;
  bufferevent* socket = stream.socket.get();
  timeval within = net::ToTimeval(kStreamTimeout);
  bufferevent_set_timeouts(socket, &within, &within);
  bufferevent_setcb(
      socket,
      [](bufferevent*, void* self) {
        auto* one = static_cast<Stream*>(self);
        one->owner->Read(*one);
      },
      [](bufferevent*, void* self) {
        auto* one = static_cast<Stream*>(self);
        if (one->answered) one->owner->Close(*one);
      },
      [](bufferevent*, short what, void* self) {
        auto* one = static_cast<Stream*>(self);
        if ((what & BEV_EVENT_CONNECTED) == 0) one->owner->Close(*one);
      },
      &stream);
  bufferevent_enable(socket, EV_READ | EV_WRITE);
}

void PeerSockets::Close(Stream& stream) {
  (stream.transport == Transport::kStreamRequest ? incoming_ : outgoing_).erase(stream.self);
}

void PeerSockets::Write(Stream& stream, const Message& message) {
  std::string bytes = Encode(message);
  std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
  bufferevent_write(stream.socket.get(), &length, kLengthPrefixBytes);
  bufferevent_write(stream.socket.get(), bytes.data(), bytes.size());
  bytes_sent_ += kLengthPrefixBytes + bytes.size();
  ++sent_;
}

void PeerSockets::Read(Stream& stream) {
  evbuffer* in = bufferevent_get_input(stream.socket.get());
  if (stream.answered) {
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  std::uint32_t length = 0;
  if (evbuffer_copyout(in, &length, kLengthPrefixBytes) < static_cast<ev_ssize_t>(kLengthPrefixBytes)) return;
  length = ntohl(length);
  sockaddr_storage from{};
  socklen_t size = sizeof from;
  if (length > kMaxStreamBytes) {
    getpeername(bufferevent_getfd(stream.socket.get()), reinterpret_cast<sockaddr*>(&from), &size);
    callbacks_.on_dropped(DecodeError::kOversized, FormatAddress(from));
    return Close(stream);
  }
  if (evbuffer_get_length(in) < kLengthPrefixBytes + length) return;
  evbuffer_drain(in, kLengthPrefixBytes);
  Message message;
  DecodeError error = Decode(net::Contents(in).substr(0, length), kMaxStreamBytes, fleet_, message);
  if (error != DecodeError::kNone) {
    getpeername(bufferevent_getfd(stream.socket.get()), reinterpret_cast<sockaddr*>(&from), &size);
    callbacks_.on_dropped(error, FormatAddress(from));
    return Close(stream);
  }
  ++received_;
  evbuffer_drain(in, length);
  Transport transport = stream.transport;
  // The callback may open further streams, but this stream is closed only here.
  auto answer = callbacks_.on_message(message, transport);
  if (transport == Transport::kStreamReply || !answer) return Close(stream);
  stream.answered = true;
  Write(stream, *answer);
}

}  // namespace peatbend::peers

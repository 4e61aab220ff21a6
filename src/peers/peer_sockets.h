// The sockets between a router and its peers: datagrams, and streams for member tables. Limits descriptors,
// bytes and time. Used on the event loop's thread only.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/event_handles.h"
#include "peers/membership.h"

namespace peatbend::peers {

// Open at the same time, in addition to the two listening sockets.
constexpr std::size_t kMaxIncomingStreams = 8, kMaxOutgoingStreams = 4;
constexpr std::size_t kMaxDescriptors = kMaxIncomingStreams + kMaxOutgoingStreams + 3;

class PeerSockets {
 public:
  struct Callbacks {
    // Handles a decoded message; returns the answer to send on its stream, if any.
    std::function<std::optional<Message>(const Message&, Transport)> on_message;
    // Reports a message from address `from` that could not be decoded.
    std::function<void(DecodeError, const std::string& from)> on_dropped;
  };
  // Listens on `address` for datagrams and streams. Throws std::runtime_error that names the address if it
  // cannot be bound.
  PeerSockets(event_base* base, const std::string& address, std::string fleet, Callbacks callbacks);
  ~PeerSockets();
  PeerSockets(const PeerSockets&) = delete;
  PeerSockets& operator=(const PeerSockets&) = delete;

  void Send(const Outgoing& one);
  int port() const;
  std::uint64_t sent() const { return sent_; }
  std::uint64_t received() const { return received_; }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  // Messages dropped because of an invalid address, a socket error or the limit of streams.
  std::uint64_t not_sent() const { return not_sent_; }

 private:
  struct Stream {
    PeerSockets* owner = nullptr;
    std::list<Stream>::iterator self;
    Transport transport = Transport::kStreamRequest;
    bool answered = false;
    net::BuffereventPtr socket;
  };
  struct Address {
    sockaddr_storage at{};
    socklen_t size = 0;
  };
  // Null if `text` is not an address. Valid until the next call.
  const Address* ParsedAddress(const std::string& text);
  void ReadDatagrams();
  void Accept();
  void Open(Stream& stream);
  void Read(Stream& stream);
  void Close(Stream& stream);
  void Write(Stream& stream, const Message& message);

  event_base* base_;
  std::string address_, fleet_;
  Callbacks callbacks_;
  int datagrams_ = -1, listener_ = -1;
  net::EventPtr readable_, acceptable_;
  std::list<Stream> incoming_, outgoing_;
  std::unordered_map<std::string, Address> addresses_;  // cache of ParsedAddress
  std::uint64_t sent_ = 0, received_ = 0, bytes_sent_ = 0, not_sent_ = 0;
};

}  // namespace peatbend::peers

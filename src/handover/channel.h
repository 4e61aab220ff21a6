// Packets between the running process and the one that follows it, over a Unix socket: a line of JSON, then
// raw bytes, and at most one descriptor. Packets keep their borders and order (SOCK_SEQPACKET).
#pragma once

#include <unistd.h>

#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/event_handles.h"

namespace peatbend::net::handover {

constexpr int kVersion = 1;                    // of the messages; told in the first of each side
constexpr std::size_t kMaxPacket = 96 * 1024;  // bytes, raw ones included

// A descriptor, closed when it goes.
class FileHandle {
 public:
  FileHandle() = default;
  explicit FileHandle(int fd) : fd_(fd) {}
  FileHandle(FileHandle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileHandle& operator=(FileHandle&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileHandle() {
    if (fd_ >= 0) close(fd_);
  }
  int get() const { return fd_; }
  int Release() { return std::exchange(fd_, -1); }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

struct Packet {
  nlohmann::json head;  // an object, with "type"
  std::string raw;
  FileHandle file;
  std::string type() const { return head.value("type", std::string()); }
};

enum class Got { kPacket, kNothing, kEnd, kGarbage };

// One try each, without waiting. Send: false and errno where the socket takes nothing now or is broken.
bool SendPacket(int socket, const Packet& packet);
Got ReceivePacket(int socket, Packet& packet);

// The path's socket, made or dialled. A path that is too long for an address is reached through its open
// folder. An empty handle and errno where that fails.
FileHandle ListenAt(const std::string& path);
FileHandle Dial(const std::string& path);

// A connected socket on the loop. Packets that the socket does not take wait here, with their descriptors.
class Channel {
 public:
  using OnPacket = std::function<void(Packet)>;
  using OnEnd = std::function<void()>;
  // Neither is called after the channel is gone; `on_end`, once, may destroy it.
  Channel(event_base* base, FileHandle socket, OnPacket on_packet, OnEnd on_end);
  void Send(Packet packet);
  std::size_t waiting() const { return waiting_.size(); }
  // The packets that the socket did not take, the first sent first: the other end cannot have read them.
  std::deque<Packet> TakeWaiting() { return std::exchange(waiting_, {}); }

 private:
  void Readable();
  void Writable();

  FileHandle socket_;
  OnPacket on_packet_;
  OnEnd on_end_;
  std::deque<Packet> waiting_;
  Timer again_;
  EventPtr readable_, writable_;
};

}  // namespace peatbend::net::handover

#include "handover/channel.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <memory>

namespace peatbend::net::handover {
namespace {

// The address of `path`. Where it is too long, that of the same file below the open folder, which `folder`
// keeps open.
bool AddressOf(const std::string& path, sockaddr_un& to, FileHandle& folder) {
  to = {};
  to.sun_family = AF_UNIX;
  std::string text = path;
  if (text.size() >= sizeof to.sun_path) {
    std::size_t slash = path.rfind('/');
    if (slash == std::string::npos) return errno = ENAMETOOLONG, false;
    folder = FileHandle(open(path.substr(0, slash).c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
    if (!folder) return false;
    text = "/proc/self/fd/" + std::to_string(folder.get()) + path.substr(slash);
    if (text.size() >= sizeof to.sun_path) return errno = ENAMETOOLONG, false;
  }
  std::memcpy(to.sun_path, text.c_str(), text.size() + 1);
  return true;
}

FileHandle NewSocket() {
  return FileHandle(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

}  // namespace

// Made under a name of this process's own and then given the path, so that nobody finds it half made and a
// file left behind by a dead process is no hindrance.
FileHandle ListenAt(const std::string& path) {
  std::string own = path + "." + std::to_string(getpid());
  sockaddr_un to;
  FileHandle folder, made = NewSocket();
  unlink(own.c_str());
  bool fine = made && AddressOf(own, to, folder) &&
              bind(made.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0 &&
              listen(made.get(), 4) == 0 && rename(own.c_str(), path.c_str()) == 0;
  if (fine) return made;
  int why = errno;
  unlink(own.c_str());
  errno = why;
  return {};
}

FileHandle Dial(const std::string& path) {
  sockaddr_un to;
  FileHandle folder, made = NewSocket();
  bool fine = made && AddressOf(path, to, folder) &&
              connect(made.get(), reinterpret_cast<sockaddr*>(&to), sizeof to) == 0;
  return fine ? std::move(made) : FileHandle();
}

bool SendPacket(int socket, const Packet& packet) {
  std::string head = packet.head.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) + "\n";
  std::array<iovec, 2> parts{iovec{head.data(), head.size()},
                             iovec{const_cast<char*>(packet.raw.data()), packet.raw.size()}};
  msghdr message{};
  message.msg_iov = parts.data();
  message.msg_iovlen = packet.raw.empty() ? 1 : 2;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))]{};
  if (packet.file) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* part = CMSG_FIRSTHDR(&message);
    part->cmsg_level = SOL_SOCKET;
    part->cmsg_type = SCM_RIGHTS;
    part->cmsg_len = CMSG_LEN(sizeof(int));
    int file = packet.file.get();
    std::memcpy(CMSG_DATA(part), &file, sizeof file);
  }
  return sendmsg(socket, &message, MSG_DONTWAIT | MSG_NOSIGNAL) >= 0;
}

Got ReceivePacket(int socket, Packet& packet) {
  packet = {};
  auto text = std::make_unique<char[]>(kMaxPacket);
  iovec part{text.get(), kMaxPacket};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(4 * sizeof(int))]{};
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ssize_t size = recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (size < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? Got::kNothing : Got::kEnd;
  for (cmsghdr* at = CMSG_FIRSTHDR(&message); at != nullptr; at = CMSG_NXTHDR(&message, at)) {
    if (at->cmsg_level != SOL_SOCKET || at->cmsg_type != SCM_RIGHTS) continue;
    std::size_t count = (at->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {  // one is expected; what is beyond is closed
      int file = -1;
      std::memcpy(&file, CMSG_DATA(at) + i * sizeof(int), sizeof file);
      packet.file = FileHandle(file);
    }
  }
  if (size == 0) return Got::kEnd;
  if ((message.msg_flags & (MSG_TRUNC | MSG_CTRUNC)) != 0) return Got::kGarbage;
  std::string_view all(text.get(), static_cast<std::size_t>(size));
  std::size_t line = all.find('\n');
  packet.head = nlohmann::json::parse(all.substr(0, line), nullptr, false);
  if (line == std::string_view::npos || !packet.head.is_object() || !packet.head.contains("type") ||
      !packet.head["type"].is_string()) {
    return Got::kGarbage;
  }
  packet.raw = all.substr(line + 1);
  return Got::kPacket;
}

Channel::Channel(event_base* base, FileHandle socket, OnPacket on_packet, OnEnd on_end)
    : socket_(std::move(socket)),
      on_packet_(std::move(on_packet)),
      on_end_(std::move(on_end)),
      again_(base, [this] { Writable(); }),
      readable_(event_new(
          base, socket_.get(), EV_READ | EV_PERSIST,
          [](evutil_socket_t, short, void* self) { static_cast<Channel*>(self)->Readable(); }, this)),
      writable_(event_new(
          base, socket_.get(), EV_WRITE,
          [](evutil_socket_t, short, void* self) { static_cast<Channel*>(self)->Writable(); }, this)) {
  event_add(readable_.get(), nullptr);
}

// One packet a turn: what it leads to may destroy the channel.
void Channel::Readable() {
  Packet packet;
  switch (ReceivePacket(socket_.get(), packet)) {
    case Got::kNothing:
      return;
    case Got::kPacket: {
      auto tell = on_packet_;
      return tell(std::move(packet));
    }
    case Got::kEnd:
    case Got::kGarbage:
      break;
  }
  event_del(readable_.get());
  event_del(writable_.get());
  auto tell = on_end_;
  tell();
}

void Channel::Send(Packet packet) {
  waiting_.push_back(std::move(packet));
  if (waiting_.size() == 1) Writable();
}

void Channel::Writable() {
  while (!waiting_.empty()) {
    if (SendPacket(socket_.get(), waiting_.front())) {
      waiting_.pop_front();
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      event_add(writable_.get(), nullptr);
      return;
    } else if (errno == ETOOMANYREFS || errno == ENOBUFS) {  // too many descriptors on their way
      again_.Set(std::chrono::milliseconds(2));
      return;
    } else {  // broken: what waits stays for TakeWaiting(), and reading tells of the end
      shutdown(socket_.get(), SHUT_RDWR);
      return;
    }
  }
}

}  // namespace peatbend::net::handover

#include "handover/successor.h"

#include <sys/socket.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstring>

namespace peatbend::net::handover {
namespace {

constexpr std::int64_t kOnTheWay = 24;        // clients sent and not yet taken
constexpr std::size_t kEntriesAPacket = 100;  // of the server list
// For a successor to say hello, and from the offer on to say that it is ready.
constexpr std::chrono::milliseconds kHelloWithin{1000}, kReadyWithin{15000};

}  // namespace

Successor::Successor(event_base* base, Log& log, Calls calls)
    : base_(base), log_(log), calls_(std::move(calls)), silence_(base, [this] {
        log_.Line("handover", "the new process says nothing; given up on");
        Lost();
      }) {}

Successor::~Successor() { CloseDoor(); }

void Successor::Open(const std::string& path) {
  if (path.empty()) return;
  path_ = path;
  door_ = ListenAt(path);
  if (!door_) return log_.Line("handover", "cannot wait at " + path + ": " + std::strerror(errno));
  struct stat made {};
  inode_ = stat(path.c_str(), &made) == 0 ? made.st_ino : 0;
  called_.reset(event_new(
      base_, door_.get(), EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Successor*>(self)->Called(); }, this));
  event_add(called_.get(), nullptr);
}

// The file is removed only where it is still the one made here: a successor may have put its own there.
void Successor::CloseDoor() {
  struct stat now {};
  if (door_ && stat(path_.c_str(), &now) == 0 && now.st_ino == inode_) unlink(path_.c_str());
  called_.reset();
  door_ = {};
}

void Successor::Called() {
  FileHandle caller(accept4(door_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!caller) return;
  if (channel_) {
    SendPacket(caller.get(), {{{"type", "busy"}}, "", {}});
    return;
  }
  ready_ = false;
  on_the_way_ = 0;
  channel_ = std::make_unique<Channel>(
      base_, std::move(caller), [this](Packet packet) { Take(std::move(packet)); }, [this] { Lost(); });
  silence_.Set(kHelloWithin);
}

void Successor::Take(Packet packet) {
  std::string type = packet.type();
  if (type == "hello") {
    auto version = packet.head.find("version");
    if (version == packet.head.end() || *version != kVersion) {
      log_.Line("handover", "turned away: a process that speaks another version");
      channel_->Send(
          {{{"type", "refused"}, {"why", "version " + std::to_string(kVersion) + " is spoken here"}},
           "",
           {}});
      return;  // it goes, which ends the channel
    }
    MakeOffer();
  } else if (type == "ready" && !ready_) {
    ready_ = true;
    silence_.Stop();
    calls_.ready();
  } else if (type == "taken") {
    --on_the_way_;
    calls_.room();
  }
}

void Successor::MakeOffer() {
  Offer offer = calls_.offer();
  if (offer.listener < 0) return channel_->Send({{{"type", "refused"}, {"why", "it stops"}}, "", {}});
  silence_.Set(kReadyWithin);
  for (std::size_t at = 0; at < offer.endpoints.size(); at += kEntriesAPacket) {
    nlohmann::json part = nlohmann::json::array();
    for (std::size_t i = at; i < std::min(at + kEntriesAPacket, offer.endpoints.size()); ++i)
      part.push_back(std::move(offer.endpoints[i]));
    channel_->Send({{{"type", "pool"}, {"endpoints", std::move(part)}}, "", {}});
  }
  channel_->Send({{{"type", "offer"},
                   {"version", kVersion},
                   {"discovery", offer.discovery},
                   {"index", offer.index},
                   {"keeps", offer.keeps.descriptors},
                   {"memory", offer.keeps.memory},
                   {"away", offer.away}},
                  "",
                  FileHandle(dup(offer.listener))});
}

// Nothing is taken back that was written: what the other has not read cannot be told from what it has.
std::vector<ClientHandle> Successor::TakeBackClients() {
  std::vector<ClientHandle> clients;
  for (Packet& packet : channel_->TakeWaiting()) {
    if (packet.type() == "client") clients.push_back(ReadClient(std::move(packet)));
  }
  return clients;
}

void Successor::Lost() {
  silence_.Stop();
  std::vector<ClientHandle> clients = TakeBackClients();
  channel_.reset();
  if (std::exchange(ready_, false)) {
    if (!path_.empty()) {
      CloseDoor();
      Open(path_);  // its file may have gone with the other process
    }
    calls_.lost(std::move(clients));
  }
}

bool Successor::takes() const { return channel_ && ready_ && on_the_way_ < kOnTheWay; }

void Successor::Send(ClientHandle client, const Keeps& keeps) {
  ++on_the_way_;
  Packet packet = WriteClient(std::move(client));
  packet.head["keeps"] = keeps.descriptors;
  packet.head["memory"] = keeps.memory;
  channel_->Send(std::move(packet));
}

void Successor::TellKeeps(const Keeps& keeps) {
  if (!channel_ || !ready_) return;
  channel_->Send({{{"type", "keeps"}, {"keeps", keeps.descriptors}, {"memory", keeps.memory}}, "", {}});
}

}  // namespace peatbend::net::handover

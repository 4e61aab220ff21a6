#include "handover/predecessor.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <thread>

namespace peatbend::net::handover {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kAskAgain{50};  // of a process that is busy with another successor

}  // namespace

std::string PathFor(const char* tmpdir, const std::string& listen) {
  if (tmpdir == nullptr || *tmpdir == '\0' || listen.ends_with(":0")) return "";
  std::string name = listen;
  std::ranges::replace(name, '/', '_');
  return std::string(tmpdir) + "/peatbend-" + name + ".handover";
}

std::optional<Inheritance> AskPredecessor(const std::string& path, milliseconds patience,
                                          const std::function<void(std::string_view)>& say) {
  auto until = steady_clock::now() + patience;
  auto again = [&] {
    std::this_thread::sleep_for(kAskAgain);
    return steady_clock::now() < until;
  };
  do {
    Inheritance got;
    got.channel = Dial(path);
    if (!got.channel) {
      if (errno == EAGAIN) continue;  // others wait before us
      if (errno != ENOENT && errno != ECONNREFUSED) say(std::string("cannot ask: ") + std::strerror(errno));
      return std::nullopt;
    }
    if (!SendPacket(got.channel.get(),
                    {{{"type", "hello"}, {"version", kVersion}, {"pid", getpid()}}, "", {}})) {
      continue;
    }
    bool busy = false;
    while (!busy) {
      auto left = std::chrono::duration_cast<milliseconds>(until - steady_clock::now()).count();
      pollfd wait{got.channel.get(), POLLIN, 0};
      if (left <= 0 || (poll(&wait, 1, static_cast<int>(left)) == 0)) {
        say("the running process does not answer");
        return std::nullopt;
      }
      Packet packet;
      Got what = ReceivePacket(got.channel.get(), packet);
      if (what == Got::kNothing) continue;
      if (what == Got::kEnd) break;
      try {
        std::string type = what == Got::kPacket ? packet.type() : "";
        if (type == "pool") {
          for (auto& entry : packet.head.at("endpoints")) got.endpoints.push_back(std::move(entry));
        } else if (type == "offer") {
          if (packet.head.at("version").get<int>() != kVersion || !packet.file) {
            say("the running process offers what this version cannot use");
            return std::nullopt;
          }
          got.listener = std::move(packet.file);
          got.discovery = packet.head.value("discovery", std::string());
          got.index = packet.head.at("index").get<std::int64_t>();
          got.keeps = packet.head.at("keeps").get<std::int64_t>();
          got.memory = packet.head.value("memory", std::int64_t{0});
          got.away = packet.head.value("away", false);
          return got;
        } else if (type == "busy") {
          busy = true;
        } else {
          say(type == "refused" ? "the running process refuses: " + packet.head.value("why", std::string())
                                : "the running process answers what cannot be read");
          return std::nullopt;
        }
      } catch (const nlohmann::json::exception&) {
        say("the running process answers what cannot be read");
        return std::nullopt;
      }
    }
  } while (again());
  say("the running process does not answer");
  return std::nullopt;
}

Packet WriteClient(ClientHandle client) {
  return {{{"type", "client"}, {"asked", client.asked}, {"begun_ago", client.begun_ago.count()}},
          std::move(client.begun),
          std::move(client.socket)};
}

ClientHandle ReadClient(Packet packet) {
  return {std::move(packet.file), std::move(packet.raw),
          milliseconds(packet.head.value("begun_ago", std::int64_t{0})), packet.head.value("asked", true)};
}

Predecessor::Predecessor(event_base* base, FileHandle channel, Calls calls)
    : calls_(std::move(calls)),
      channel_(
          base, std::move(channel), [this](Packet packet) { Take(std::move(packet)); },
          [this] { calls_.keeps(0, 0); }) {}

void Predecessor::Ready() { channel_.Send({{{"type", "ready"}}, "", {}}); }

// What is not known is passed over: a later version may say more.
void Predecessor::Take(Packet packet) {
  std::string type = packet.type();
  try {
    if (type == "client" && packet.file) {
      ClientHandle client = ReadClient({packet.head, std::move(packet.raw), std::move(packet.file)});
      channel_.Send({{{"type", "taken"}}, "", {}});
      calls_.client(std::move(client));
    }
    if (type == "client" || type == "keeps") {
      calls_.keeps(packet.head.at("keeps").get<std::int64_t>(), packet.head.value("memory", std::int64_t{0}));
    }
  } catch (const nlohmann::json::exception&) {
    // Not of this version's form: the descriptors that it would have freed come with its end.
  }
}

}  // namespace peatbend::net::handover

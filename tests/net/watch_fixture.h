// A DiscoveryWatch on an event loop, and the scripted discovery server that it watches.
#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_watch.h"
#include "net/stage.h"

namespace peatbend::net::test {

const char kWatchHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string HttpChunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

inline std::string ListJson(int index, bool snapshot, const std::vector<std::string>& names,
                            int indent = -1) {
  nlohmann::json list = {{"index", index}, {"snapshot", snapshot}, {"endpoints", nlohmann::json::array()}};
  for (const std::string& name : names)
    list["endpoints"].push_back(nlohmann::json::parse(Member(name, 6379)));
  return list.dump(indent);
}
inline std::string DeletionJson(int index, const std::string& name) {
  return R"({"index":)" + std::to_string(index) + R"(,"endpoints":[{"name":")" + name +
         R"(","status":"DELETED"}]})";
}

class WatchFixture {
 public:
  explicit WatchFixture(int silence_ms = 20000, std::int64_t index = 7, std::int64_t list_kb = 4096)
      : discovery(base.get()), tuning_{Milliseconds(silence_ms), list_kb} {
    std::signal(SIGPIPE, SIG_IGN);  // as the program does; the scripted server writes to closed connections
    initial_.index = index;
    Open(discovery.port);
  }
  void Open(int port) {
    discovery_watch.emplace(base.get(), "127.0.0.1:" + std::to_string(port), settings_, tuning_, initial_,
                            log_, counters, [this](Scope scope, std::vector<ServerListEntry> entries) {
                              scopes.push_back(scope);
                              entry_counts.push_back(entries.size());
                            });
    discovery_watch->StartWatch();
  }
  void Until(const std::function<bool()>& condition) { RunUntil(base.get(), condition); }
  // Waits for the watch's request number `count` and sends `text` as the answer.
  End& Answer(const std::string& text, std::size_t count = 1) {
    Until([&] { return discovery.Count("\r\n\r\n") == count; });
    discovery.ends.back().Say(text);
    return discovery.ends.back();
  }
  // Sends one of `texts` every `every_ms`, and repeats the last one.
  void SendPeriodically(End& end, std::vector<std::string> texts, int every_ms) {
    send_timer_.emplace(base.get(), [this, &end, texts, every_ms, at = std::size_t{0}]() mutable {
      if (!end.closed) end.Say(texts[std::min(parts_sent++, texts.size() - 1)]);
      send_timer_->Set(Milliseconds(every_ms));
    });
    send_timer_->Activate();
  }
  bool Failed() const { return scopes == std::vector<Scope>{Scope::kFailed}; }
  std::string Names() const {
    std::string names;
    for (const auto& [name, entry] : discovery_watch->servers()) names += name + " ";
    return names;
  }

  EventBasePtr base = NewEventBase();
  Peer discovery;
  std::vector<Scope> scopes;
  std::vector<std::size_t> entry_counts;  // number of entries of each callback
  Counters counters;
  std::optional<DiscoveryWatch> discovery_watch;
  std::size_t parts_sent = 0;  // by SendPeriodically

 private:
  Settings settings_;
  Tuning::Discovery tuning_;
  ServerList initial_;
  Clock clock_;
  Log log_{"test", {}, clock_};
  std::optional<Timer> send_timer_;
};

}  // namespace peatbend::net::test

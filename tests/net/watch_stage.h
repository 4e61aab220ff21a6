// The watch on discovery alone on an event loop, and the scripted discovery that it watches.
#pragma once

#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "discovery/discovery_watch.h"
#include "net/stage.h"

namespace peatbend::net::test {

const char kWatchHead[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string Piece(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

inline std::string List(int index, bool snapshot, const std::vector<std::string>& names, int indent = -1) {
  nlohmann::json list = {{"index", index}, {"snapshot", snapshot}, {"endpoints", nlohmann::json::array()}};
  for (const std::string& name : names)
    list["endpoints"].push_back(nlohmann::json::parse(Member(name, 6379)));
  return list.dump(indent);
}
inline std::string Gone(int index, const std::string& name) {
  return R"({"index":)" + std::to_string(index) + R"(,"endpoints":[{"name":")" + name +
         R"(","status":"DELETED"}]})";
}

class Watching {
 public:
  explicit Watching(int silence_ms = 20000, std::int64_t index = 7, std::int64_t list_kb = 4096)
      : discovery(base.get()), tuning_{Milliseconds(silence_ms), list_kb} {
    std::signal(SIGPIPE, SIG_IGN);  // as the program does: a peer writes to what the watch has closed
    known_.index = index;
    Open(discovery.port);
  }
  void Open(int port) {
    discovery_watch.emplace(base.get(), "127.0.0.1:" + std::to_string(port), settings_, tuning_, known_, log_,
                            counters, [this](Scope scope, std::vector<ServerListEntry> entries) {
                              news.push_back(scope);
                              told.push_back(entries.size());
                            });
    discovery_watch->Watch();
  }
  void Until(const std::function<bool()>& holds) { RunUntil(base.get(), holds); }
  // Waits for the watch's request number `count`, and answers with this.
  End& Answer(const std::string& text, std::size_t count = 1) {
    Until([&] { return discovery.Count("\r\n\r\n") == count; });
    discovery.ends.back().Say(text);
    return discovery.ends.back();
  }
  // Says each of them so long after the one before, then the last again and again.
  void Drip(End& end, std::vector<std::string> texts, int every_ms) {
    dripping_.emplace(base.get(), [this, &end, texts, every_ms, at = std::size_t{0}]() mutable {
      if (!end.closed) end.Say(texts[std::min(drips++, texts.size() - 1)]);
      dripping_->Set(Milliseconds(every_ms));
    });
    dripping_->Activate();
  }
  bool Failed() const { return news == std::vector<Scope>{Scope::kFailed}; }
  std::string Names() const {
    std::string names;
    for (const auto& [name, entry] : discovery_watch->held()) names += name + " ";
    return names;
  }

  EventBasePtr base = NewEventBase();
  Peer discovery;
  std::vector<Scope> news;
  std::vector<std::size_t> told;  // entries of each
  Counters counters;
  std::optional<DiscoveryWatch> discovery_watch;
  std::size_t drips = 0;

 private:
  Settings settings_;
  Tuning::Discovery tuning_;
  ServerList known_;
  Clock clock_;
  Log log_{"test", {}, clock_};
  std::optional<Timer> dripping_;
};

}  // namespace peatbend::net::test

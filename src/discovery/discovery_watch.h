// Holds the server list from discovery and watches it for changes. Each failed watch is reported: one that
// makes no progress for `Tuning::Discovery::silence` at any point (before the answer, within a list), and
// sooner one that cannot connect. The balancer decides when to retry.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/event_handles.h"
#include "base/log.h"
#include "base/tuning.h"
#include "discovery/list_splitter.h"
#include "discovery/server_list.h"
#include "protocol/http1.h"

namespace peatbend::net {

class DiscoveryWatch {
 public:
  // Called with each change, with an empty kDelta at a watch's first heartbeat if no list came before it, and
  // with kFailed once for each watch that failed or ended. It must not call non-const functions of this
  // object.
  using OnChange = std::function<void(Scope, std::vector<ServerListEntry>)>;
  DiscoveryWatch(event_base* base, const std::string& address, const Settings& settings,
                 const Tuning::Discovery& tuning, ServerList initial, Log& log, Counters& counters,
                 OnChange on_change);

  // The current list by server name, and its version.
  const std::map<std::string, ServerListEntry>& servers() const { return servers_; }
  std::int64_t index() const { return index_; }

  // Starts a watch for changes after the list held; ends the current watch, if any.
  void StartWatch();
  // Starts a watch unless one is open. Replacing an open one would lose its place in discovery's queue, and
  // its end is reported anyway.
  void EnsureWatching() {
    if (!socket_) StartWatch();
  }
  // Watches another discovery server. The current list stays until the new server has sent its own.
  void ChangeAddress(const std::string& address);

 private:
  static void OnRead(bufferevent*, void* self) { static_cast<DiscoveryWatch*>(self)->Read(); }
  static void OnEvent(bufferevent*, short what, void* self) {
    auto* watch = static_cast<DiscoveryWatch*>(self);
    (what & BEV_EVENT_CONNECTED) != 0 ? watch->connect_timer_.Stop()
                                      : watch->Fail("connection closed or refused");
  }
  void Read();
  void RestartSilenceTimer(std::size_t progress);
  void OnHeartbeat();
  bool OnList(const std::string& text);
  void ApplyList(const ServerList& list);
  void Fail(std::string_view reason);

  event_base* base_;
  std::string address_;
  sockaddr_storage to_{};
  int to_size_ = 0;
  const Settings& settings_;
  const Tuning::Discovery& tuning_;
  std::int64_t index_;
  std::map<std::string, ServerListEntry> servers_;
  Log& log_;
  Counters& counters_;
  OnChange on_change_;
  Timer connect_timer_, silence_timer_, list_timer_;
  std::optional<http1::ResponseReader> reader_;
  std::optional<ListSplitter> splitter_;
  int unfinished_lists_ = 0;  // consecutive watches whose list took too long
  bool established_ = false;  // a list or heartbeat has arrived on this watch
  std::size_t progress_ = 0;  // bytes of the incomplete list when the silence timer last restarted
  BuffereventPtr socket_;
};

}  // namespace peatbend::net

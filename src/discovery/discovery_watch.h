// The server list that discovery tells, and the watch on its changes. Opens a watch when told to and reports
// how it went; when to try again is the module's to decide. Each watch that fails is told as such: one that
// is silent for `Tuning::Discovery::silence`, at whatever point it fell silent (without an answer, within a
// list), and sooner one whose connection does not come up.
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
  // Called with each change, with an empty kDelta at a watch's first heartbeat if nothing came before it, and
  // with kFailed once for each watch that could not be had or has ended. It must not call what
  // changes this watch.
  using OnChange = std::function<void(Scope, std::vector<ServerListEntry>)>;
  DiscoveryWatch(event_base* base, const std::string& address, const Settings& settings,
                 const Tuning::Discovery& tuning, ServerList known, Log& log, Counters& counters,
                 OnChange on_change);

  // The list as last held, and its version.
  const std::map<std::string, ServerListEntry>& held() const { return held_; }
  std::int64_t index() const { return index_; }

  // Opens a watch on what changed after the list held; ends one that is open.
  void Watch();
  // Opens a watch unless there is one already, whose end will be told: it would lose its place at discovery.
  void KeepWatching() {
    if (!socket_) Watch();
  }
  // Watches there from now on. The list held stays until the new discovery has told its own.
  void MoveTo(const std::string& address);

 private:
  static void OnRead(bufferevent*, void* self) { static_cast<DiscoveryWatch*>(self)->Read(); }
  static void OnEvent(bufferevent*, short what, void* self) {
    auto* watch = static_cast<DiscoveryWatch*>(self);
    (what & BEV_EVENT_CONNECTED) != 0 ? watch->dial_.Stop() : watch->Failed("connection ended or refused");
  }
  void Read();
  void Alive(std::size_t seen);
  void Heartbeat();
  bool Take(const std::string& text);
  void Hold(const ServerList& list);
  void Failed(std::string_view why);

  event_base* base_;
  std::string address_;
  sockaddr_storage to_{};
  int to_size_ = 0;
  const Settings& settings_;
  const Tuning::Discovery& tuning_;
  std::int64_t index_;
  std::map<std::string, ServerListEntry> held_;
  Log& log_;
  Counters& counters_;
  OnChange on_change_;
  Timer dial_, silence_, late_;
  std::optional<http1::ResponseReader> reader_;
  std::optional<ListSplitter> splitter_;
  int unfinished_lists_ = 0;  // calls in a row whose list took too long
  bool stands_ = false;       // the watch, as something has come on it
  std::size_t seen_ = 0;      // of the list under way, at the last sign of life
  BuffereventPtr socket_;
};

}  // namespace peatbend::net

#include "discovery/discovery_watch.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/address.h"

namespace peatbend::net {
namespace {
// TCP retransmits a lost first SYN after 1 s; later retransmissions would come too late.
constexpr std::chrono::milliseconds kDialTimeout{1200};
// Bytes of an incomplete list after which the silence timer restarts.
constexpr std::size_t kProgressBytes = 16 * 1024;
// What the reader may buffer beyond one list: other lists and heartbeats received with it.
constexpr std::size_t kReaderSlackBytes = 64 * 1024;

// The time limit of a list. After a quarter more than the silence timeout a new watch is more likely to
// deliver the list in time. The limit doubles with each unfinished list in a row, so that a list that is slow
// each time arrives eventually.
constexpr int kMaxListSilences = 4;
Milliseconds ListTimeout(Milliseconds silence, int unfinished) {
  Milliseconds max_timeout = kMaxListSilences * silence, timeout = silence + silence / 4;
  for (int i = 0; i < unfinished && timeout < max_timeout; ++i) timeout *= 2;
  return std::min(timeout, max_timeout);
}
}  // namespace

DiscoveryWatch::DiscoveryWatch(event_base* base, const std::string& address, const Settings& settings,
                               const Tuning::Discovery& tuning, ServerList initial, Log& log,
                               Counters& counters, OnChange on_change)
    : base_(base),
      address_(address),
      settings_(settings),
      tuning_(tuning),
      index_(initial.index),
      log_(log),
      counters_(counters),
      on_change_(std::move(on_change)),
      connect_timer_(base, [this] { Fail("connection timed out"); }),
      silence_timer_(base, [this] { Fail("silent"); }),
      list_timer_(base, [this] {
        ++unfinished_lists_;
        Fail("list not completed within its time limit");
      }) {
  ParseAddress(address, to_, to_size_);
  initial.snapshot = true;
  ApplyList(initial);
}

void DiscoveryWatch::ApplyList(const ServerList& list) {
  if (list.snapshot) servers_.clear();
  for (const ServerListEntry& entry : list.entries) {
    if (entry.entry.state == ServerState::kGone) {
      servers_.erase(entry.entry.id.name);
    } else {
      servers_.insert_or_assign(entry.entry.id.name, entry);
    }
  }
}

void DiscoveryWatch::StartWatch() {
  ++counters_.watches;
  std::size_t max_list_bytes = static_cast<std::size_t>(tuning_.list_kb) * 1024;
  reader_.emplace(max_list_bytes + kReaderSlackBytes);
  splitter_.emplace(max_list_bytes);
  established_ = false;
  list_timer_.Stop();
  RestartSilenceTimer(0);
  connect_timer_.Set(kDialTimeout);
  socket_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  if (!socket_) return Fail("cannot create a socket");
  bufferevent_setcb(socket_.get(), OnRead, nullptr, OnEvent, this);
  evbuffer_add_printf(bufferevent_get_output(socket_.get()),
                      "GET /api/targets?watch=1&from=%lld HTTP/1.1\r\nHost: %s\r\n\r\n",
                      static_cast<long long>(index_), address_.c_str());
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(socket_.get(), reinterpret_cast<sockaddr*>(&to_), to_size_) != 0) {
    Fail("cannot connect");
  }
}

// Versions are local to one discovery server: a version of the old server could make the new one skip changes
// or wait for a version that it never reaches. So the watch starts with the full list.
void DiscoveryWatch::ChangeAddress(const std::string& address) {
  ParseAddress(address, to_, to_size_);
  address_ = address;
  index_ = 0;
  unfinished_lists_ = 0;
  StartWatch();
}

void DiscoveryWatch::Read() {
  auto status = reader_->Read(bufferevent_get_input(socket_.get()));
  if (status == http1::ResponseReader::Status::kMalformed) return Fail(reader_->error());
  if (!reader_->has_head()) return;
  if (reader_->status() != 200) return Fail("status " + std::to_string(reader_->status()));
  std::string_view text = Contents(reader_->body());
  while (!text.empty()) {
    switch (splitter_->Next(text)) {
      case ListSplitter::Result::kIncomplete:
        break;
      case ListSplitter::Result::kHeartbeat:
        OnHeartbeat();
        break;
      case ListSplitter::Result::kList:
        RestartSilenceTimer(0);
        list_timer_.Stop();
        if (!OnList(splitter_->TakeList())) return;
        break;
      case ListSplitter::Result::kMalformed:
        return Fail("malformed list: " + splitter_->error());
    }
  }
  evbuffer* body = reader_->body();
  evbuffer_drain(body, evbuffer_get_length(body));
  if (status == http1::ResponseReader::Status::kDone) return Fail("discovery ended the watch");
  std::size_t partial_bytes = splitter_->partial_bytes();
  if (partial_bytes > 0 && !list_timer_.pending())
    list_timer_.Set(ListTimeout(tuning_.silence, unfinished_lists_));
  if (partial_bytes >= progress_ + kProgressBytes) RestartSilenceTimer(partial_bytes);
}

// Called for a heartbeat, a complete list or kProgressBytes of one; a response head or a few bytes do not
// count. `progress`: bytes received of an incomplete list.
void DiscoveryWatch::RestartSilenceTimer(std::size_t progress) {
  progress_ = progress;
  silence_timer_.Set(tuning_.silence);
}

// If nothing has changed, the first heartbeat establishes the watch. If the full list was requested,
// heartbeats before it do not count.
void DiscoveryWatch::OnHeartbeat() {
  if (index_ == 0 && !established_) return;
  RestartSilenceTimer(0);
  if (!std::exchange(established_, true)) on_change_(Scope::kDelta, {});
}

// Returns false if the list ended the watch.
bool DiscoveryWatch::OnList(const std::string& text) {
  ServerList list;
  try {
    list = ParseServerList(text, settings_);
  } catch (const std::invalid_argument& error) {
    Fail(std::string("malformed list: ") + error.what());
    return false;
  }
  established_ = true;
  unfinished_lists_ = 0;
  bool index_reset =
      !list.snapshot && list.index < index_;  // versions only increase, so discovery has lost its state
  index_ = index_reset ? 0 : list.index;
  ApplyList(list);
  ++counters_.server_list_changes;
  on_change_(list.snapshot ? Scope::kFull : Scope::kDelta, std::move(list.entries));
  if (index_reset) Fail("update has a lower version than the list held; requesting the full list");
  return !index_reset;
}

void DiscoveryWatch::Fail(std::string_view reason) {
  ++counters_.watch_failures;
  log_.Line("watch failed", reason);
  connect_timer_.Stop();
  silence_timer_.Stop();
  list_timer_.Stop();
  socket_.reset();
  on_change_(Scope::kFailed, {});
}

}  // namespace peatbend::net

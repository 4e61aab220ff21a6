#include "discovery/discovery_watch.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "base/address.h"

namespace peatbend::net {
namespace {
// For a connection to come up. A lost first packet is sent again after 1 s; later ones come too late.
constexpr std::chrono::milliseconds kDialTimeout{1200};
// A list under way: so many bytes of it are a sign of life.
constexpr std::size_t kPiece = 16 * 1024;
// What the reader may hold beyond a list: other lists and heartbeats that came in the same piece.
constexpr std::size_t kBesides = 64 * 1024;

// All that a list may take, at first. Beyond that another call is more likely to bring it in time. But a list
// that is slow each time has to come at last: each call that ends so is followed by one that is given twice
// as long.
constexpr int kMostSilencesOfList = 4;
Milliseconds ListTimeout(Milliseconds silence, int unfinished) {
  Milliseconds most = kMostSilencesOfList * silence, timeout = silence + silence / 4;
  for (int i = 0; i < unfinished && timeout < most; ++i) timeout *= 2;
  return std::min(timeout, most);
}
}  // namespace

DiscoveryWatch::DiscoveryWatch(event_base* base, const std::string& address, const Settings& settings,
                               const Tuning::Discovery& tuning, ServerList known, Log& log,
                               Counters& counters, OnChange on_change)
    : base_(base),
      address_(address),
      settings_(settings),
      tuning_(tuning),
      index_(known.index),
      log_(log),
      counters_(counters),
      on_change_(std::move(on_change)),
      dial_(base, [this] { Failed("its connection does not come up"); }),
      silence_(base, [this] { Failed("silent"); }),
      late_(base, [this] {
        ++unfinished_lists_;
        Failed("a list that does not end");
      }) {
  ReadAddress(address, to_, to_size_);
  known.snapshot = true;
  Hold(known);
}

void DiscoveryWatch::Hold(const ServerList& list) {
  if (list.snapshot) held_.clear();
  for (const ServerListEntry& entry : list.entries) {
    if (entry.entry.state == ServerState::kGone) {
      held_.erase(entry.entry.id.name);
    } else {
      held_.insert_or_assign(entry.entry.id.name, entry);
    }
  }
}

void DiscoveryWatch::Watch() {
  ++counters_.watches;
  std::size_t most = static_cast<std::size_t>(tuning_.list_kb) * 1024;
  reader_.emplace(most + kBesides);
  splitter_.emplace(most);
  stands_ = false;
  late_.Stop();
  Alive(0);
  dial_.Set(kDialTimeout);
  socket_.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  if (!socket_) return Failed("no socket");
  bufferevent_setcb(socket_.get(), OnRead, nullptr, OnEvent, this);
  evbuffer_add_printf(bufferevent_get_output(socket_.get()),
                      "GET /api/targets?watch=1&from=%lld HTTP/1.1\r\nHost: %s\r\n\r\n",
                      static_cast<long long>(index_), address_.c_str());
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  if (bufferevent_socket_connect(socket_.get(), reinterpret_cast<sockaddr*>(&to_), to_size_) != 0) {
    Failed("cannot connect");
  }
}

// Versions are one discovery's own: a number of the old one's, told to the new, could skip changes or wait
// for one that never comes. So the whole list is asked for.
void DiscoveryWatch::MoveTo(const std::string& address) {
  ReadAddress(address, to_, to_size_);
  address_ = address;
  index_ = 0;
  unfinished_lists_ = 0;
  Watch();
}

void DiscoveryWatch::Read() {
  auto status = reader_->Read(bufferevent_get_input(socket_.get()));
  if (status == http1::ResponseReader::Status::kBad) return Failed(reader_->error());
  if (!reader_->has_head()) return;
  if (reader_->status() != 200) return Failed("status " + std::to_string(reader_->status()));
  std::string_view text = Contents(reader_->body());
  while (!text.empty()) {
    switch (splitter_->Next(text)) {
      case ListSplitter::Found::kNothing:
        break;
      case ListSplitter::Found::kHeartbeat:
        Heartbeat();
        break;
      case ListSplitter::Found::kList:
        Alive(0);
        late_.Stop();
        if (!Take(splitter_->TakeList())) return;
        break;
      case ListSplitter::Found::kBad:
        return Failed("malformed list: " + splitter_->error());
    }
  }
  evbuffer* body = reader_->body();
  evbuffer_drain(body, evbuffer_get_length(body));
  if (status == http1::ResponseReader::Status::kDone) return Failed("watch ended");
  std::size_t begun = splitter_->begun();
  if (begun > 0 && !late_.set()) late_.Set(ListTimeout(tuning_.silence, unfinished_lists_));
  if (begun >= seen_ + kPiece) Alive(begun);
}

// Only a heartbeat, a whole list or a good piece of one is a sign of life: neither a head nor a few bytes
// are. `seen`: bytes of a list under way.
void DiscoveryWatch::Alive(std::size_t seen) {
  seen_ = seen;
  silence_.Set(tuning_.silence);
}

// Where nothing has changed, heartbeats are all that comes: the watch stands. Not if the whole list was asked
// for: it is still to come, and heartbeats before it are no sign of life.
void DiscoveryWatch::Heartbeat() {
  if (index_ == 0 && !stands_) return;
  Alive(0);
  if (!std::exchange(stands_, true)) on_change_(Scope::kDelta, {});
}

// False if the list ended the watch.
bool DiscoveryWatch::Take(const std::string& text) {
  ServerList list;
  try {
    list = ParseServerList(text, settings_);
  } catch (const std::invalid_argument& error) {
    Failed(std::string("malformed list: ") + error.what());
    return false;
  }
  stands_ = true;
  unfinished_lists_ = 0;
  bool anew = !list.snapshot && list.index < index_;  // versions only grow: discovery has lost its own
  index_ = anew ? 0 : list.index;
  Hold(list);
  ++counters_.server_list_changes;
  on_change_(list.snapshot ? Scope::kFull : Scope::kDelta, std::move(list.entries));
  if (anew) Failed("changes up to a lower version than held: the whole list is asked for");
  return !anew;
}

void DiscoveryWatch::Failed(std::string_view why) {
  ++counters_.watch_failures;
  log_.Line("watch failed", why);
  dial_.Stop();
  silence_.Stop();
  late_.Stop();
  socket_.reset();
  on_change_(Scope::kFailed, {});
}

}  // namespace peatbend::net

#include "pool/pool.h"

#include <stdexcept>

#include "base/address.h"

namespace peatbend::net {
Pool::Pool(event_base* base, const std::string& address, const Settings& settings,
           const Tuning::PoolWatch& tuning, PoolList known, Log& log, Counters& counters, OnNews on_news)
    : base_(base),
      address_(address),
      settings_(settings),
      tuning_(tuning),
      index_(known.index),
      log_(log),
      counters_(counters),
      on_news_(std::move(on_news)),
      silence_(base, [this] { Failed("silent"); }) {
  ReadAddress(address, to_, to_size_);
  known.snapshot = true;
  Hold(known);
}

void Pool::Hold(const PoolList& list) {
  if (list.snapshot) held_.clear();
  for (const PoolEntry& entry : list.entries) {
    if (entry.entry.listed == Listed::kGone) {
      held_.erase(entry.entry.id.name);
    } else {
      held_.insert_or_assign(entry.entry.id.name, entry);
    }
  }
}

void Pool::Watch() {
  ++counters_.watches;
  reader_.emplace(static_cast<std::size_t>(tuning_.line_kb) * 1024);
  silence_.Set(tuning_.silence);
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
void Pool::MoveTo(const std::string& address) {
  ReadAddress(address, to_, to_size_);
  address_ = address;
  index_ = 0;
  Watch();
}

void Pool::Read() {
  silence_.Set(tuning_.silence);
  auto status = reader_->Read(bufferevent_get_input(socket_.get()));
  if (status == http1::ResponseReader::Status::kBad) return Failed(reader_->error());
  if (!reader_->has_head()) return;
  if (reader_->status() != 200) return Failed("status " + std::to_string(reader_->status()));
  for (;;) {
    evbuffer* body = reader_->body();
    evbuffer_ptr end = evbuffer_search_eol(body, nullptr, nullptr, EVBUFFER_EOL_LF);
    if (end.pos < 0) break;
    auto size = static_cast<std::size_t>(end.pos);
    std::string_view line(
        reinterpret_cast<const char*>(evbuffer_pullup(body, static_cast<ev_ssize_t>(size + 1))), size);
    if (!TakeLine(line)) return;
    evbuffer_drain(body, size + 1);
  }
  if (status == http1::ResponseReader::Status::kDone) Failed("watch ended");
}

// False if the line ended the watch.
bool Pool::TakeLine(std::string_view line) {
  if (line.ends_with('\r')) line.remove_suffix(1);
  if (line.empty()) return true;  // a heartbeat
  PoolList list;
  try {
    list = ParsePoolList(line, settings_);
  } catch (const std::invalid_argument& error) {
    Failed(std::string("malformed list: ") + error.what());
    return false;
  }
  index_ = list.index;
  Hold(list);
  ++counters_.pool_changes;
  on_news_(list.snapshot ? Scope::kFull : Scope::kDelta, std::move(list.entries));
  return true;
}

void Pool::Failed(std::string_view why) {
  ++counters_.watch_failures;
  log_.Line("watch failed", why);
  silence_.Stop();
  socket_.reset();
  on_news_(Scope::kFailed, {});
}

}  // namespace peatbend::net

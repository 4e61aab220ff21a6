// Leaves a connection unread for a while, and still notices its end.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include "base/event_handles.h"
#include "base/socket_peek.h"

namespace peatbend::net {

// A bufferevent that does not read hears of neither the other end's close nor its reset. While it is paused
// the system is asked. (The loop's EV_CLOSED would tell of a close, but a reset comes from epoll as an error,
// which libevent 2.1 hands to readers and writers alone: the loop would turn on it without end.)
class ReadPause {
 public:
  // `ended` is called once the other end has closed or reset the connection while it is not read; it may
  // destroy this.
  ReadPause(bufferevent* socket, std::function<void()> ended)
      : socket_(socket), ended_(std::move(ended)), timer_(bufferevent_get_base(socket), [this] { Look(); }) {}

  void Pause() {
    bufferevent_disable(socket_, EV_READ);
    if (!timer_.pending()) timer_.Set(kLookEvery);
  }
  void Resume() {
    timer_.Stop();
    bufferevent_enable(socket_, EV_READ);
  }
  bool paused() const { return (bufferevent_get_enabled(socket_) & EV_READ) == 0; }

 private:
  static constexpr std::chrono::milliseconds kLookEvery{20};
  void Look() {
    if (!PeerClosed(bufferevent_getfd(socket_))) return timer_.Set(kLookEvery);
    auto ended = ended_;  // which may destroy this
    ended();
  }
  bufferevent* socket_;
  std::function<void()> ended_;
  Timer timer_;
};

}  // namespace peatbend::net

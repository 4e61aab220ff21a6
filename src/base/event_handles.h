// RAII wrappers and helpers for libevent handles.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace peatbend::net {

template <auto Free>
struct HandleDeleter {
  template <typename T>
  void operator()(T* handle) const {
    Free(handle);
  }
};
using EventBasePtr = std::unique_ptr<event_base, HandleDeleter<event_base_free>>;
using BufferPtr = std::unique_ptr<evbuffer, HandleDeleter<evbuffer_free>>;
using BuffereventPtr = std::unique_ptr<bufferevent, HandleDeleter<bufferevent_free>>;
using ListenerPtr = std::unique_ptr<evconnlistener, HandleDeleter<evconnlistener_free>>;
using EventPtr = std::unique_ptr<event, HandleDeleter<event_free>>;

// An event loop with precise timers and without a cached time; null if libevent cannot create one.
inline EventBasePtr NewEventBase() {
  event_config* options = event_config_new();
  event_config_set_flag(options, EVENT_BASE_FLAG_PRECISE_TIMER | EVENT_BASE_FLAG_NO_CACHE_TIME);
  EventBasePtr base(event_base_new_with_config(options));
  event_config_free(options);
  return base;
}

inline BufferPtr NewBuffer() { return BufferPtr(evbuffer_new()); }

// The whole buffer as one contiguous view, valid until the buffer is next written to or drained.
inline std::string_view Contents(evbuffer* buffer) {
  std::size_t size = evbuffer_get_length(buffer);
  if (size == 0) return {};
  return {reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1)), size};
}

inline void Append(evbuffer* buffer, std::string_view text) {
  evbuffer_add(buffer, text.data(), text.size());
}

// Moves the first `size` bytes of `from` behind those of `to` by copying them together. A buffer that is
// moved keeps the whole allocation of each read, of 1 KiB at least, however few bytes the read brought.
inline void MoveCompact(evbuffer* from, evbuffer* to, std::size_t size) {
  constexpr int kExtents = 16;
  evbuffer_iovec extents[kExtents];
  while (size > 0) {
    int count =
        std::min(evbuffer_peek(from, static_cast<ev_ssize_t>(size), nullptr, extents, kExtents), kExtents);
    std::size_t moved = 0;
    for (int i = 0; i < count; ++i) {
      std::size_t part = std::min(extents[i].iov_len, size - moved);
      evbuffer_add(to, extents[i].iov_base, part);
      moved += part;
    }
    if (moved == 0) return;
    evbuffer_drain(from, moved);
    size -= moved;
  }
}

inline timeval ToTimeval(std::chrono::nanoseconds time) {
  auto micros = std::chrono::ceil<std::chrono::microseconds>(std::max(time, std::chrono::nanoseconds{}));
  return {static_cast<time_t>(micros.count() / 1000000), static_cast<suseconds_t>(micros.count() % 1000000)};
}

// Queues `data` for writing. Small pieces are copied together: a slow reader must not make them cost more
// than their bytes.
inline void Queue(bufferevent* to, evbuffer* data) {
  constexpr std::size_t kSmall = 16 * 1024;  // what one read brings at most
  std::size_t size = evbuffer_get_length(data);
  if (size > kSmall) {
    bufferevent_write_buffer(to, data);
  } else {
    MoveCompact(data, bufferevent_get_output(to), size);
  }
}

// Writes what the socket accepts of `data`, unless output is queued before it. Returns true if that is all.
inline bool WriteAccepted(bufferevent* to, evbuffer* data) {
  if (evbuffer_get_length(bufferevent_get_output(to)) == 0) evbuffer_write(data, bufferevent_getfd(to));
  return evbuffer_get_length(data) == 0;
}

// Writes `data` to a connected socket at once if the bufferevent has no output queued, and queues what the
// socket does not accept; small remainders are queued compactly. Saves the two changes of event registration
// and the loop iteration that a write through the bufferevent costs. Returns true if everything was written;
// no write callback follows then.
inline bool WriteNow(bufferevent* to, evbuffer* data) {
  if (WriteAccepted(to, data)) return true;
  Queue(to, data);
  return false;
}

// As WriteNow, and what is queued shares the memory of `data` instead of being copied.
inline bool WriteShared(bufferevent* to, evbuffer* data) {
  if (WriteAccepted(to, data)) return true;
  bufferevent_write_buffer(to, data);
  return false;
}

// A one-shot timer: calls `then` once for each Set or Activate. May be destroyed from within `then`, which is
// copied for the call.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> then)
      : then_(std::move(then)), event_(evtimer_new(base, &Timer::Fire, this)) {}
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Set(std::chrono::nanoseconds delay) {
    timeval timeout = ToTimeval(delay);
    evtimer_add(event_.get(), &timeout);
  }
  // Calls `then` in the current iteration of the event loop.
  void Activate() { event_active(event_.get(), EV_TIMEOUT, 0); }
  void Stop() { evtimer_del(event_.get()); }
  bool pending() const { return evtimer_pending(event_.get(), nullptr) != 0; }

 private:
  static void Fire(evutil_socket_t, short, void* self) {
    auto then = static_cast<Timer*>(self)->then_;
    then();
  }
  std::function<void()> then_;
  EventPtr event_;
};

// Calls `then` on each delivery of a signal while it exists.
class Signal {
 public:
  Signal(event_base* base, int number, std::function<void()> then)
      : then_(std::move(then)),
        event_(evsignal_new(
            base, number, [](evutil_socket_t, short, void* self) { static_cast<Signal*>(self)->then_(); },
            this)) {
    evsignal_add(event_.get(), nullptr);
  }
  Signal(const Signal&) = delete;
  Signal& operator=(const Signal&) = delete;

 private:
  std::function<void()> then_;
  EventPtr event_;
};

}  // namespace peatbend::net

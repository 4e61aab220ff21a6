// evhttp for stand-ins: requests that wait for their answer while the world works, and may be left by the
// other end meanwhile.
#pragma once

#include <event2/http.h>
#include <event2/http_struct.h>

#include <functional>
#include <memory>
#include <string>

#include "base/event_handles.h"

namespace peatbend::standin {

using EvhttpPtr = std::unique_ptr<evhttp, net::HandleDeleter<evhttp_free>>;

// One request that waits. Ends itself (and frees the request) once answered or left.
class Waiting : public std::enable_shared_from_this<Waiting> {
 public:
  static std::shared_ptr<Waiting> Take(evhttp_request* request) {
    std::shared_ptr<Waiting> waiting(new Waiting(request));
    waiting->self_ = waiting;  // held until it is over
    evhttp_connection* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection*, void* self) { static_cast<Waiting*>(self)->Left(); },
        waiting.get());
    // Or the other end's close would be seen only as the answer is written.
    bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
    return waiting;
  }
  bool over() const { return request_ == nullptr; }
  evhttp_request* request() { return request_; }
  // The whole answer.
  void Answer(int status, const char* reason, std::string_view body) {
    if (over()) return;
    Unwatch();
    net::BufferPtr text = net::NewBuffer();
    net::Append(text.get(), body);
    evhttp_send_reply(std::exchange(request_, nullptr), status, reason, text.get());
    Release();
  }
  // An answer in pieces.
  void Start() { evhttp_send_reply_start(request_, 200, "OK"); }
  void Piece(std::string_view text) {
    net::BufferPtr piece = net::NewBuffer();
    net::Append(piece.get(), text);
    evhttp_send_reply_chunk(request_, piece.get());
  }
  void End() {
    if (over()) return;
    Unwatch();
    evhttp_send_reply_end(std::exchange(request_, nullptr));
    Release();
  }
  std::function<void()> on_left;

 private:
  explicit Waiting(evhttp_request* request) : request_(request) {}
  void Unwatch() { evhttp_connection_set_closecb(evhttp_request_get_connection(request_), nullptr, nullptr); }
  void Release() { auto last = std::move(self_); }
  void Left() {
    auto last = std::move(self_);
    evhttp_request* request = std::exchange(request_, nullptr);
    // The connection's end frees it, but not where it failed while the request waited: then libevent lets go
    // of it.
    if (evhttp_request_get_connection(request) == nullptr) evhttp_request_free(request);
    if (on_left) on_left();
  }
  evhttp_request* request_;
  std::shared_ptr<Waiting> self_;
};

}  // namespace peatbend::standin

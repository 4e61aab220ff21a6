// Streams through a relay: what was read at one side goes out at the other, in order.
#include <unistd.h>

#include <algorithm>

#include "links/worker.h"

namespace peatbend::links {

void Links::Worker::Reset(std::size_t a, std::size_t b) {
  Do([this, a, b] {
    for (auto at = streams_.begin(); at != streams_.end();) {
      Stream& stream = **at++;
      bool between = (stream.from == a && stream.to == b) || (stream.from == b && stream.to == a);
      if (!between) continue;
      shared_->Count(&Counts::resets);
      linger hard{1, 0};
      for (Side* side : {&stream.client, &stream.server})
        setsockopt(bufferevent_getfd(side->socket.get()), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      Close(stream);
    }
  });
}

void Links::Worker::Accept(Door& door) {
  sockaddr_in from{};
  socklen_t size = sizeof from;
  int made = accept4(door.listener, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (made < 0) return;
  auto sender = shared_->by_host.find(ntohl(from.sin_addr.s_addr));
  if (sender == shared_->by_host.end()) {
    shared_->Count(&Counts::strangers);
    close(made);
    return;
  }
  shared_->Count(&Counts::streams);
  auto stream = std::make_shared<Stream>();
  stream->home = this;
  stream->from = sender->second;
  stream->to = door.node;
  stream->self = streams_.insert(streams_.end(), stream);
  stream->client.socket.reset(bufferevent_socket_new(base_.get(), made, BEV_OPT_CLOSE_ON_FREE));
  stream->server.socket.reset(bufferevent_socket_new(base_.get(), -1, BEV_OPT_CLOSE_ON_FREE));
  for (Side* side : {&stream->client, &stream->server}) {
    side->stream = stream.get();
    bufferevent_setcb(
        side->socket.get(),
        [](bufferevent*, void* self) {
          auto* one = static_cast<Side*>(self);
          one->stream->home->Carry(*one->stream->self, *one);
        },
        nullptr,
        [](bufferevent*, short what, void* self) {
          auto* one = static_cast<Side*>(self);
          if ((what & BEV_EVENT_CONNECTED) != 0) return;
          one->ended = true;
          one->stream->home->Carry(*one->stream->self, *one);
        },
        side);
    bufferevent_enable(side->socket.get(), EV_READ | EV_WRITE);
  }
  auto [to, to_size] = Parse(shared_->nodes[door.node].real);
  if (bufferevent_socket_connect(stream->server.socket.get(), reinterpret_cast<sockaddr*>(&to),
                                 static_cast<int>(to_size)) != 0) {
    Close(*stream);
  }
}

// Takes what was read at one side on its way to the other. Order is kept; a cut keeps it here.
void Links::Worker::Carry(std::shared_ptr<Stream> stream, Side& side) {
  bool to_server = &side == &stream->client;
  Side& other = to_server ? stream->server : stream->client;
  Faults faults =
      to_server ? shared_->Between(stream->from, stream->to) : shared_->Between(stream->to, stream->from);
  if (faults.cut || faults.hold) return;
  evbuffer* in = bufferevent_get_input(side.socket.get());
  std::string bytes(net::Contents(in));
  evbuffer_drain(in, bytes.size());
  if (!bytes.empty()) {
    side.last_due = std::max(side.last_due, Clock::now() + Wait(faults, bytes.size()));
    ++side.on_the_way;
    At(side.last_due, [this, stream, &side, &other, bytes = std::move(bytes)] {
      --side.on_the_way;
      if (stream->closed) return;
      bufferevent_write(other.socket.get(), bytes.data(), bytes.size());
      if (side.ended && side.on_the_way == 0) CloseOnce(stream, side, other);
    });
  } else if (side.ended && side.on_the_way == 0) {
    CloseOnce(stream, side, other);
  }
}

// One side has ended, and all it sent has been passed on: written out, the other is closed too.
void Links::Worker::CloseOnce(const std::shared_ptr<Stream>& stream, Side&, Side& other) {
  if (other.ended || evbuffer_get_length(bufferevent_get_output(other.socket.get())) == 0)
    return Close(*stream);
  other.ended = true;
  bufferevent_setcb(
      other.socket.get(), nullptr,
      [](bufferevent*, void* self) {
        auto* one = static_cast<Side*>(self);
        one->stream->home->Close(*one->stream);
      },
      [](bufferevent*, short, void* self) {
        auto* one = static_cast<Side*>(self);
        one->stream->home->Close(*one->stream);
      },
      &other);
}

void Links::Worker::Close(Stream& stream) {
  if (std::exchange(stream.closed, true)) return;
  std::shared_ptr<Stream> last = *stream.self;  // it lives on until what is on the way has come to nothing
  last->client.socket.reset();
  last->server.socket.reset();
  streams_.erase(last->self);
}

}  // namespace peatbend::links

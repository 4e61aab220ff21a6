#include "links/links.h"

#include <netinet/in.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <queue>
#include <stdexcept>
#include <thread>

#include "base/address.h"
#include "base/event_handles.h"
#include "base/listen.h"
#include "world/agenda.h"
#include "world/random.h"

namespace peatbend::links {
namespace {

using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr std::size_t kMostHeld =
    4096;  // datagrams that one pair keeps while it holds; beyond it they are lost

std::pair<sockaddr_in, socklen_t> Parse(const std::string& address) {
  sockaddr_storage to{};
  int size = 0;
  net::ReadAddress(address, to, size);
  return {reinterpret_cast<sockaddr_in&>(to), static_cast<socklen_t>(size)};
}

std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

struct Links::Shared {
  std::vector<Node> nodes;
  std::map<std::uint32_t, std::size_t> by_host;  // IPv4 host, of the process: the node
  mutable std::mutex mutex;
  std::vector<std::vector<Faults>> faults;  // [from][to]
  Counts counts;

  Faults Between(std::size_t from, std::size_t to) const {
    std::lock_guard lock(mutex);
    return faults[from][to];
  }
  void Count(std::uint64_t Counts::*what) {
    std::lock_guard lock(mutex);
    ++(counts.*what);
  }
  void Late(Span late) {
    std::lock_guard lock(mutex);
    counts.worst_late = std::max(counts.worst_late, late);
  }
};

// One loop on a thread: the relays of some of the nodes.
class Links::Worker {
 public:
  Worker(std::shared_ptr<Shared> shared, std::vector<std::size_t> nodes, std::uint64_t seed)
      : shared_(std::move(shared)),
        random_(seed, 31),
        base_(net::NewEventBase()),
        timer_(base_.get(), [this] { Due(); }),
        held_(base_.get(), [this] { LookAtHeld(); }),
        wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    for (std::size_t node : nodes) Open(node);
    on_wake_.reset(event_new(
        base_.get(), wake_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Worker*>(self)->Woken(); }, this));
    event_add(on_wake_.get(), nullptr);
    held_.Set(10ms);
  }
  void Run() {
    thread_ = std::thread([this] { event_base_dispatch(base_.get()); });
  }
  ~Worker() {
    Do([this] { event_base_loopbreak(base_.get()); });
    if (thread_.joinable()) thread_.join();
    streams_.clear();
    for (auto& door : doors_) close(door->datagrams), close(door->listener);
    close(wake_);
  }
  void Do(std::function<void()> what) {
    {
      std::lock_guard lock(mutex_);
      todo_.push_back(std::move(what));
    }
    std::uint64_t one = 1;
    if (write(wake_, &one, sizeof one) < 0) return;
  }
  void Reset(std::size_t a, std::size_t b) {
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

 private:
  struct Door {
    Worker* home = nullptr;
    std::size_t node = 0;
    int datagrams = -1, listener = -1;
    net::EventPtr readable, acceptable;
  };
  struct Stream;
  struct Side {
    Stream* stream = nullptr;
    net::BuffereventPtr socket;
    Clock::time_point last_due{};
    std::size_t on_the_way = 0;  // pieces read here and not yet passed on
    bool ended = false;
  };
  struct Stream {
    Worker* home = nullptr;
    std::list<std::shared_ptr<Stream>>::iterator self;
    std::size_t from = 0, to = 0;
    Side client, server;
    bool closed = false;
  };
  struct Later {
    Clock::time_point due;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Later& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };
  struct Datagram {
    std::size_t from = 0, to = 0;
    std::string bytes;
  };

  void Open(std::size_t node) {
    auto door = std::make_unique<Door>();
    door->home = this;
    door->node = node;
    auto& shown = shared_->nodes[node].shown;
    auto [at, size] = Parse(shown);
    door->datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bind(door->datagrams, reinterpret_cast<sockaddr*>(&at), size) == 0) {
      shown = HostOf(shown) + ":" + std::to_string(net::PortOf(door->datagrams));
      door->listener = net::ListenOn(shown, 128, false);
    }
    if (door->listener < 0)
      throw std::runtime_error("links: cannot listen on " + shown + ": " + std::strerror(errno));
    auto read = [](evutil_socket_t, short, void* self) {
      auto* one = static_cast<Door*>(self);
      one->home->ReadDatagrams(*one);
    };
    auto accept = [](evutil_socket_t, short, void* self) {
      auto* one = static_cast<Door*>(self);
      one->home->Accept(*one);
    };
    door->readable.reset(event_new(base_.get(), door->datagrams, EV_READ | EV_PERSIST, read, door.get()));
    door->acceptable.reset(event_new(base_.get(), door->listener, EV_READ | EV_PERSIST, accept, door.get()));
    event_add(door->readable.get(), nullptr);
    event_add(door->acceptable.get(), nullptr);
    doors_.push_back(std::move(door));
  }

  void Woken() {
    std::uint64_t count = 0;
    if (read(wake_, &count, sizeof count) < 0) return;
    std::vector<std::function<void()>> todo;
    {
      std::lock_guard lock(mutex_);
      todo.swap(todo_);
    }
    for (auto& what : todo) what();
  }

  void At(Clock::time_point due, std::function<void()> what) {
    later_.push({due, order_++, std::move(what)});
    timer_.Set(later_.top().due - Clock::now());
  }
  void Due() {
    while (!later_.empty() && later_.top().due <= Clock::now()) {
      auto one = std::move(const_cast<Later&>(later_.top()));
      later_.pop();
      shared_->Late(Clock::now() - one.due);
      one.what();
    }
    if (!later_.empty()) timer_.Set(later_.top().due - Clock::now());
  }
  Span Wait(const Faults& faults, std::size_t bytes) {
    Span wait = faults.delay +
                Span(static_cast<Span::rep>(random_.Unit() * static_cast<double>(faults.spread.count())));
    if (faults.bytes_per_s > 0) wait += world::FromSeconds(static_cast<double>(bytes) / faults.bytes_per_s);
    return wait;
  }

  // ---- Datagrams ----
  void ReadDatagrams(Door& door) {
    char bytes[2048];
    for (int i = 0; i < 64; ++i) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      ssize_t got =
          recvfrom(door.datagrams, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
      if (got < 0) return;
      auto sender = shared_->by_host.find(ntohl(from.sin_addr.s_addr));
      if (sender == shared_->by_host.end()) {
        shared_->Count(&Counts::strangers);
        continue;
      }
      Pass({sender->second, door.node, std::string(bytes, static_cast<std::size_t>(got))}, door.datagrams);
    }
  }
  void Pass(Datagram one, int by) {
    Faults faults = shared_->Between(one.from, one.to);
    if (faults.hold && kept_.size() < kMostHeld) {
      kept_.push_back({std::move(one), by});
      return;
    }
    if (faults.hold || faults.cut || random_.Chance(faults.loss)) return shared_->Count(&Counts::lost);
    int copies = random_.Chance(faults.duplicate) ? 2 : 1;
    for (; copies > 0; --copies) {
      Span wait = Wait(faults, one.bytes.size());
      if (wait <= Span{}) {
        Deliver(one, by);
      } else {
        At(Clock::now() + wait, [this, one, by] { Deliver(one, by); });
      }
    }
  }
  void Deliver(const Datagram& one, int by) {
    auto [to, size] = Parse(shared_->nodes[one.to].real);
    sendto(by, one.bytes.data(), one.bytes.size(), 0, reinterpret_cast<sockaddr*>(&to), size);
    shared_->Count(&Counts::passed);
  }
  // What is held goes on when its pair no longer holds; streams, when theirs is no longer cut.
  void LookAtHeld() {
    auto kept = std::move(kept_);
    kept_.clear();
    for (auto& [one, by] : kept) Pass(std::move(one), by);
    for (auto at = streams_.begin(); at != streams_.end();) {
      std::shared_ptr<Stream> stream = *at++;
      Carry(stream, stream->client);
      if (!stream->closed) Carry(stream, stream->server);
    }
    held_.Set(10ms);
  }

  // ---- Streams ----
  void Accept(Door& door) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    int made =
        accept4(door.listener, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
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
  void Carry(std::shared_ptr<Stream> stream, Side& side) {
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
  void CloseOnce(const std::shared_ptr<Stream>& stream, Side&, Side& other) {
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
  void Close(Stream& stream) {
    if (std::exchange(stream.closed, true)) return;
    std::shared_ptr<Stream> last = *stream.self;  // it lives on until what is on the way has come to nothing
    last->client.socket.reset();
    last->server.socket.reset();
    streams_.erase(last->self);
  }

  std::shared_ptr<Shared> shared_;
  world::Random random_;
  net::EventBasePtr base_;
  std::vector<std::unique_ptr<Door>> doors_;
  std::list<std::shared_ptr<Stream>> streams_;
  std::vector<std::pair<Datagram, int>> kept_;
  std::priority_queue<Later> later_;
  std::uint64_t order_ = 0;
  net::Timer timer_, held_;
  int wake_ = -1;
  net::EventPtr on_wake_;
  std::mutex mutex_;
  std::vector<std::function<void()>> todo_;
  std::thread thread_;
};

Links::Links(std::vector<Node> nodes, std::uint64_t seed, std::size_t threads)
    : shared_(std::make_shared<Shared>()) {
  shared_->nodes = std::move(nodes);
  std::size_t count = shared_->nodes.size();
  shared_->faults.assign(count, std::vector<Faults>(count));
  for (std::size_t i = 0; i < count; ++i)
    shared_->by_host[ntohl(Parse(shared_->nodes[i].real).first.sin_addr.s_addr)] = i;
  if (shared_->by_host.size() != count) throw std::runtime_error("links: each node needs a host of its own");
  for (std::size_t t = 0; t < std::max<std::size_t>(1, threads); ++t) {
    std::vector<std::size_t> mine;
    for (std::size_t i = t; i < count; i += std::max<std::size_t>(1, threads)) mine.push_back(i);
    workers_.push_back(std::make_unique<Worker>(shared_, std::move(mine), seed + t));
  }
  for (auto& worker : workers_) worker->Run();
}

Links::~Links() = default;

const std::string& Links::Shown(std::size_t node) const { return shared_->nodes[node].shown; }

void Links::Set(std::size_t from, std::size_t to, const Faults& faults) {
  std::lock_guard lock(shared_->mutex);
  shared_->faults[from][to] = faults;
}

void Links::SetAll(const Faults& faults) {
  std::lock_guard lock(shared_->mutex);
  for (auto& row : shared_->faults) std::ranges::fill(row, faults);
}

void Links::Reset(std::size_t a, std::size_t b) {
  for (auto& worker : workers_) worker->Reset(a, b);
}

Links::Counts Links::counts() const {
  std::lock_guard lock(shared_->mutex);
  return shared_->counts;
}

}  // namespace peatbend::links

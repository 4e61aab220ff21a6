#include "links/worker.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/address.h"
#include "base/listen.h"
#include "world/agenda.h"

namespace peatbend::links {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostHeld =
    4096;  // datagrams that one pair keeps while it holds; beyond it they are lost

std::string HostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

std::pair<sockaddr_in, socklen_t> Parse(const std::string& address) {
  sockaddr_storage to{};
  int size = 0;
  net::ParseAddress(address, to, size);
  return {reinterpret_cast<sockaddr_in&>(to), static_cast<socklen_t>(size)};
}

Links::Worker::Worker(std::shared_ptr<Shared> shared, std::vector<std::size_t> nodes, std::uint64_t seed)
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

void Links::Worker::Run() {
  thread_ = std::thread([this] { event_base_dispatch(base_.get()); });
}

Links::Worker::~Worker() {
  Do([this] { event_base_loopbreak(base_.get()); });
  if (thread_.joinable()) thread_.join();
  streams_.clear();
  for (auto& door : doors_) close(door->datagrams), close(door->listener);
  close(wake_);
}

void Links::Worker::Do(std::function<void()> what) {
  {
    std::lock_guard lock(mutex_);
    todo_.push_back(std::move(what));
  }
  std::uint64_t one = 1;
  if (write(wake_, &one, sizeof one) < 0) return;
}

void Links::Worker::Open(std::size_t node) {
  auto door = std::make_unique<Door>();
  door->home = this;
  door->node = node;
  auto& shown = shared_->nodes[node].shown;
  auto [at, size] = Parse(shown);
  door->datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind(door->datagrams, reinterpret_cast<sockaddr*>(&at), size) == 0) {
    shown = HostOf(shown) + ":" + std::to_string(net::BoundPort(door->datagrams));
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

void Links::Worker::Woken() {
  std::uint64_t count = 0;
  if (read(wake_, &count, sizeof count) < 0) return;
  std::vector<std::function<void()>> todo;
  {
    std::lock_guard lock(mutex_);
    todo.swap(todo_);
  }
  for (auto& what : todo) what();
}

void Links::Worker::At(Clock::time_point due, std::function<void()> what) {
  later_.push({due, order_++, std::move(what)});
  timer_.Set(later_.top().due - Clock::now());
}

void Links::Worker::Due() {
  while (!later_.empty() && later_.top().due <= Clock::now()) {
    auto one = std::move(const_cast<Later&>(later_.top()));
    later_.pop();
    shared_->Late(Clock::now() - one.due);
    one.what();
  }
  if (!later_.empty()) timer_.Set(later_.top().due - Clock::now());
}

Span Links::Worker::Wait(const Faults& faults, std::size_t bytes) {
  Span wait = faults.delay +
              Span(static_cast<Span::rep>(random_.Unit() * static_cast<double>(faults.spread.count())));
  if (faults.bytes_per_s > 0) wait += world::FromSeconds(static_cast<double>(bytes) / faults.bytes_per_s);
  return wait;
}

void Links::Worker::ReadDatagrams(Door& door) {
  char bytes[2048];
  for (int i = 0; i < 64; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t got = recvfrom(door.datagrams, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    auto sender = shared_->by_host.find(ntohl(from.sin_addr.s_addr));
    if (sender == shared_->by_host.end()) {
      shared_->Count(&Counts::strangers);
      continue;
    }
    Pass({sender->second, door.node, std::string(bytes, static_cast<std::size_t>(got))}, door.datagrams);
  }
}

void Links::Worker::Pass(Datagram one, int by) {
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

void Links::Worker::Deliver(const Datagram& one, int by) {
  auto [to, size] = Parse(shared_->nodes[one.to].real);
  sendto(by, one.bytes.data(), one.bytes.size(), 0, reinterpret_cast<sockaddr*>(&to), size);
  shared_->Count(&Counts::passed);
}

// What is held goes on when its pair no longer holds; streams, when theirs is no longer cut.
void Links::Worker::LookAtHeld() {
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

}  // namespace peatbend::links

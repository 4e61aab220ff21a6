#include "standin/member_standin.h"

#include <fmt/format.h>

#include <deque>

#include "protocol/resp.h"

namespace peatbend::standin {

using world::Span;
using world::Time;
using world::Verdict;

namespace {
constexpr Span kLossySlice = std::chrono::milliseconds(100);
}

class MemberStandin::Connection : public std::enable_shared_from_this<MemberStandin::Connection> {
 public:
  Connection(MemberStandin& home, int router, evutil_socket_t socket)
      : home_(&home),
        router_(router),
        way_(home.fleet_.Delay(home.router_zones_[static_cast<std::size_t>(router)], Server().zone())),
        idle_since_(home.pulse_.agenda.now()),
        ready_at_(home.pulse_.agenda.now() + 2 * way_),  // the time that connecting would have taken
        socket_(bufferevent_socket_new(home.pulse_.base(), socket, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(
        socket_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->OnRead(); }, nullptr,
        [](bufferevent*, short, void* self) { static_cast<Connection*>(self)->OnClosed(); }, this);
    bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
  }
  // Cancels what it asked for.
  void Abandon() {
    for (Owed& owed : owed_) Server().Cancel(owed.job);
    owed_.clear();
  }
  // The server is gone or has vanished: nothing more goes either way.
  void Silence() { bufferevent_disable(socket_.get(), EV_READ | EV_WRITE), silent_ = true; }
  void Reset() {
    linger now{1, 0};
    setsockopt(bufferevent_getfd(socket_.get()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  }
  void Unhome() { home_ = nullptr; }
  bool idle() const { return owed_.empty(); }
  Time idle_since() const { return idle_since_; }
  std::list<std::shared_ptr<Connection>>::iterator self;

 private:
  struct Owed {
    std::string text;
    bool there = false;
    world::JobPtr job;
  };
  world::CacheServer& Server() { return home_->fleet_.server(home_->place_); }

  void OnRead() {
    if (home_ == nullptr) return;
    auto alive = shared_from_this();
    Pulse::Beat beat(home_->pulse_);
    evbuffer* in = bufferevent_get_input(socket_.get());
    while (home_ != nullptr && !silent_ && evbuffer_get_length(in) > 0) {
      if (!begun_) {
        begun_ = true;
        first_byte_ = home_->pulse_.agenda.now();
        if (used_ && owed_.empty() && Server().FoundStale(first_byte_ - idle_since_)) return Drop();
      }
      std::string_view text = net::Contents(in);
      auto status = parser_.Advance(text);
      if (status == net::resp::Parser::Status::kIncomplete) return;
      if (status == net::resp::Parser::Status::kMalformed) return Drop();
      Command(parser_.message(), text);
      evbuffer_drain(in, parser_.message().size);
      parser_.Reset();
      begun_ = false;
      used_ = true;
    }
  }

  void Command(const net::resp::Message& message, std::string_view text) {
    auto item = [&](std::size_t i) {
      return i < message.items.size() ? message.items[i].In(text) : std::string_view();
    };
    owed_.emplace_back();
    std::uint64_t place = first_ + owed_.size() - 1;
    bool write = item(0) == "OBJ.SET";
    if (item(0) == "PING") return Say(place, "+PONG\r\n", 2 * way_);
    if (item(0) == "CLIENT" || item(0) == "SELECT") return Say(place, "+OK\r\n", 2 * way_);
    if (!write && item(0) != "OBJ.GET") return Say(place, "-ERR unknown command\r\n", 2 * way_);
    auto ask = home_->witness_.Know(item(2), item(1), write);
    if (message.items.size() != (write ? 5u : 4u) || !ask) return Say(place, "-SYNTAX\r\n", 2 * way_);
    ask->router = router_;
    std::size_t seen = home_->witness_.Begun(item(2), home_->place_, router_, first_byte_);
    home_->witness_.Whole(seen, home_->place_);
    Span in = way_ + std::max(Span{}, ready_at_ - home_->pulse_.agenda.now());
    home_->pulse_.agenda.In(in, [self = weak_from_this(), ask = *ask, place, seen] {
      if (auto connection = self.lock()) connection->Arrive(ask, place, seen);
    });
  }

  void Arrive(const world::Ask& ask, std::uint64_t place, std::size_t seen) {
    if (home_ == nullptr || silent_) return;
    auto self = weak_from_this();
    auto answer = [self, ask, place, seen](Verdict verdict) {
      if (auto connection = self.lock()) connection->Answer(ask, place, seen, verdict);
    };
    bool resets = Server().Resets();
    world::JobPtr job = home_->fleet_.AtServer(home_->place_, ask, answer);
    if (home_ == nullptr) return;  // it tipped over under this
    if (resets) return Drop();
    if (place >= first_) At(place).job = job;
  }

  void Answer(const world::Ask& ask, std::uint64_t place, std::size_t seen, Verdict verdict) {
    if (home_ == nullptr || silent_) return;
    if (ProvesNeverRan(verdict)) home_->witness_.NeverRan(seen);
    switch (verdict) {
      case Verdict::kValue: {
        std::string value = home_->witness_.Value(ask.key, ask.id, Server().name());
        return Say(place, fmt::format("*3\r\n${}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", value.size(), value), way_);
      }
      case Verdict::kMiss:
        return Say(place, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", way_);
      case Verdict::kPending:
        return Say(place, "*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", way_);
      case Verdict::kBusy:
        return Say(place, "-BUSY\r\n", way_);
      case Verdict::kFailed:
        return Say(place, "-ERR failed\r\n", way_);
      case Verdict::kSpoilt:
        return Say(place, Spoilt(ask), way_);
    }
  }

  // The ways in which bad servers answer; each has run the request.
  std::string Spoilt(const world::Ask& ask) {
    std::string value = home_->witness_.Value(ask.key, ask.id, Server().name());
    switch (home_->random_.Below(6)) {
      case 0:
        return "\x01\x7f noise \r\n\r\n";
      case 1:
        return std::string(4000, 'x');  // a line that never ends
      case 2:
        return fmt::format("*3\r\n${}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", value.size() + 7, value);
      case 3:
        return "*3\r\n$-7\r\n";
      case 4:
        return fmt::format("*3\r\n$3000000000\r\n{}", value);
      default: {  // good, but more than belongs to it: a second copy
        std::string good = fmt::format("*3\r\n${}\r\n{}\r\n$3\r\nhit\r\n$-1\r\n", value.size(), value);
        return good + good;
      }
    }
  }

  Owed& At(std::uint64_t place) { return owed_[place - first_]; }

  void Say(std::uint64_t place, std::string text, Span in) {
    home_->pulse_.agenda.In(in, [self = weak_from_this(), place, text = std::move(text)] {
      auto connection = self.lock();
      if (!connection || connection->home_ == nullptr || connection->silent_) return;
      connection->At(place).text = text;
      connection->At(place).there = true;
      connection->Flush();
    });
  }

  void Flush() {
    while (!owed_.empty() && owed_.front().there) {
      bufferevent_write(socket_.get(), owed_.front().text.data(), owed_.front().text.size());
      owed_.pop_front();
      ++first_;
      idle_since_ = home_->pulse_.agenda.now();
    }
  }

  void OnClosed() {
    if (home_ == nullptr) return;
    auto alive = shared_from_this();
    Pulse::Beat beat(home_->pulse_);
    if (home_ != nullptr) home_->End(*this);
  }
  void Drop() {
    auto alive = shared_from_this();
    Reset();
    home_->End(*this);
  }

  MemberStandin* home_;  // null once it has left
  int router_;
  Span way_;
  Time idle_since_, ready_at_, first_byte_{};
  net::resp::Parser parser_;
  std::deque<Owed> owed_;
  std::uint64_t first_ = 0;
  bool begun_ = false, used_ = false, silent_ = false;
  net::BuffereventPtr socket_;
};

MemberStandin::MemberStandin(Pulse& pulse, world::Fleet& fleet, int place,
                             const std::vector<int>& router_zones, Witness& witness)
    : pulse_(pulse),
      fleet_(fleet),
      place_(place),
      router_zones_(router_zones),
      witness_(witness),
      random_(static_cast<std::uint64_t>(place), 0xbad) {
  for (std::size_t router = 0; router < router_zones.size(); ++router) {
    ports_.push_back(std::make_unique<Port>(
        pulse.base(), LoopbackHost(10 + static_cast<int>(router), 1 + place / 250, 1 + place % 250),
        [this, router](evutil_socket_t socket) { Accepted(static_cast<int>(router), socket); }));
    if (!fleet.running(place)) ports_.back()->Refuse();
    if (fleet.traits().lossy_dials > 0) LoseDials(router);
  }
}

MemberStandin::~MemberStandin() {
  while (!connections_.empty()) End(*connections_.front());
}

void MemberStandin::LoseDials(std::size_t router) {
  Time next = std::max(pulse_.agenda.now(), Time{}) + kLossySlice;  // not before the day begins
  pulse_.agenda.At(next, [this, router] {
    if (fleet_.server(place_).state() == world::CacheServer::State::kUp) {
      fleet_.LosesDial() ? ports_[router]->Silence() : ports_[router]->Speak();
    }
    LoseDials(router);
  });
}

void MemberStandin::Accepted(int router, evutil_socket_t socket) {
  Pulse::Beat beat(pulse_);
  witness_.Dialled(place_, router);
  if (!fleet_.server(place_).Connect()) return CloseWithReset(socket);
  connections_.push_back(std::make_shared<Connection>(*this, router, socket));
  connections_.back()->self = std::prev(connections_.end());
  // Closed once it has stood idle so long.
  auto watch = [this](auto&& again, std::weak_ptr<Connection> weak) -> void {
    auto connection = weak.lock();
    if (!connection) return;
    Time due = connection->idle_since() + fleet_.server(place_).traits().keepalive;
    if (connection->idle() && pulse_.agenda.now() >= due) return End(*connection);
    pulse_.agenda.At(std::max(due, pulse_.agenda.now() + world::FromMs(100)),
                     [again, weak] { again(again, weak); });
  };
  watch(watch, connections_.back());
}

void MemberStandin::End(Connection& connection) {
  auto kept = *connection.self;
  connections_.erase(kept->self);
  if (fleet_.server(place_).state() == world::CacheServer::State::kUp) fleet_.server(place_).Disconnect();
  kept->Abandon();
  kept->Unhome();
}

void MemberStandin::Changed(world::Change change) {
  switch (change) {
    case world::Change::kDied:
      for (auto& port : ports_) port->Refuse();
      for (auto& connection : connections_) connection->Reset();
      while (!connections_.empty()) End(*connections_.front());
      return;
    case world::Change::kCut:
      for (auto& port : ports_) port->Silence();
      for (auto& connection : connections_) connection->Silence();
      return;
    case world::Change::kStarted:
      for (auto& port : ports_) port->Open();
      return;
    case world::Change::kMended:
      return;  // the death that follows resets what was open
  }
}

}  // namespace peatbend::standin

#include "front/listener.h"

#include <fmt/format.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "base/listen.h"

namespace peatbend::net {
namespace {
std::size_t Part(std::size_t whole, double share) {
  return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

constexpr auto kSweepEvery = std::chrono::milliseconds(100);
constexpr int kMostInVain = 4;  // waiting sessions that are tried before it is left at that
// After which a command of which nothing more has come makes room for others.
constexpr std::chrono::milliseconds kStalled{200};
// Without room for another client new connections wait so long to be accepted, then are closed unread.
constexpr std::chrono::milliseconds kNewcomersWait{250};
constexpr std::size_t kClosedInTurn = 32;  // sessions closed for others, at most, in a turn of the loop
constexpr std::chrono::milliseconds kCrowdOver{1000};  // without a new connection that found no room
constexpr std::size_t kRefusedAtOnce = 64;  // of those that wait for memory, to make room for other clients
// While connections close, counted from then or from connecting: what has asked nothing, what asks without a
// pause and what is not whole are given so long.
constexpr std::chrono::milliseconds kSilentAway{600}, kLastCall{1500}, kHalfAway{2400};
}  // namespace

Listener::Listener(event_base* base, int socket, const Doors& doors, HandOn hand_on, BalancerDriver& decision,
                   const Settings& settings, const Tuning::Clients& tuning, SocketBudget& sockets,
                   std::size_t most_unread, MemoryBudget& memory, MemoryBudget& command_memory,
                   const Clock& clock, Log& log, Counters& counters)
    : base_(base),
      doors_(doors),
      hand_on_(std::move(hand_on)),
      decision_(decision),
      settings_(settings),
      tuning_(tuning),
      sockets_(sockets),
      most_unread_(most_unread),
      memory_(memory),
      command_memory_(command_memory),
      clock_(clock),
      log_(log),
      counters_(counters),
      stopped_(base, [this] { then_(); }),
      accept_again_(base,
                    [this] {
                      closed_in_turn_ = 0;
                      if (listener_ && accepting_) evconnlistener_enable(listener_.get());
                    }),
      sweep_(base, [this] { Sweep(); }),
      grant_(base, [this] { GrantRoom(); }) {
  memory_.on_freed_for_requests = [this] {
    if (!waiting_.empty()) grant_.Activate();
  };
  sweep_.Set(kSweepEvery);
  listener_.reset(evconnlistener_new(
      base,
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->TakeNewcomer(socket);
      },
      this, LEV_OPT_CLOSE_ON_FREE, 0, socket));
  if (!listener_) throw std::runtime_error("no listener");
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    auto* listener = static_cast<Listener*>(self);
    listener->log_.Line("accept failed", std::strerror(errno));
    if (listener->MakeRoom()) return;
    listener->Pause(listener->tuning_.accept_pause);  // or the loop would do nothing but try again
  });
}

Listener::~Listener() {
  memory_.on_freed_for_requests = {};
  while (!sessions_.empty()) End(*sessions_.back());
}

int Listener::port() const { return BoundPort(socket()); }

void Listener::Pause(Duration pause) {
  if (!listener_) return;
  evconnlistener_disable(listener_.get());
  accept_again_.Set(pause);
}

void Listener::Accept(bool yes) {
  accepting_ = yes;
  if (!listener_) return;
  yes ? evconnlistener_enable(listener_.get()) : evconnlistener_disable(listener_.get());
}

ClientSession& Listener::Accepted(evutil_socket_t socket) {
  ++counters_.clients_accepted;
  ++sockets_.in_use;
  sessions_.push_back(std::make_unique<ClientSession>(*this, base_, socket, decision_, settings_, tuning_,
                                                      clock_, log_, counters_));
  sessions_.back()->self = std::prev(sessions_.end());
  bool closed = false;
  if (sessions_.size() > Part(sockets_.max, tuning_.share) || sockets_.in_use >= sockets_.max) {
    closed = MakeRoom();
    // What comes waits, so that no crowd takes the members' descriptors.
    if (!closed) NoRoom();
  }
  if (sessions_.size() > Part(sockets_.configured_max, tuning_.held_share)) closed |= CloseHeld();
  // A closed session's descriptor is free at the end of this turn of the loop, which accepts all that waits.
  bool tight = sockets_.in_use + kClosedInTurn >= sockets_.max;
  if (closed && (tight || ++closed_in_turn_ >= kClosedInTurn)) Pause({});
  return *sessions_.back();
}

// Those that wait for memory are refused, so that their connections can be closed. Nobody is left to wait in
// the queue of the system for long: the latest is closed unread then.
void Listener::NoRoom() {
  TimePoint now = clock_.Now();
  if (now - std::exchange(no_room_at_, now) > kCrowdOver) no_room_since_ = now;
  RefuseWaiting(kRefusedAtOnce);
  if (now - no_room_since_ <= kNewcomersWait) return Pause(tuning_.accept_pause);
  closes_newcomer_ = true;
}

void Listener::TakeNewcomer(evutil_socket_t socket) {
  if (ShutsNewcomers()) {
    ++counters_.clients_closed_for_room;
    evutil_closesocket(socket);
    return;
  }
  closes_newcomer_ = false;
  ClientSession& session = Accepted(socket);
  if (!closes_newcomer_) return;
  CloseForRoom(session, "new, and there is no descriptor for it");
}

// Whether there has been no room for long, and none a moment ago: those that wait are closed at once.
bool Listener::ShutsNewcomers() const {
  TimePoint now = clock_.Now();
  bool crowded = sessions_.size() >= Part(sockets_.max, tuning_.share);
  return crowded && now - no_room_at_ < tuning_.accept_pause && now - no_room_since_ > kNewcomersWait;
}

void Listener::Adopt(evutil_socket_t socket, std::string_view begun, Duration begun_ago, bool asked) {
  ClientSession& session = Accepted(socket);
  session.Adopt(begun, clock_.Now() - begun_ago, asked);
  if (doors_.rest() != Doors::Rest::kStays && session.at_rest()) AtRest(session);
}

void Listener::AtRest(ClientSession& session) {
  switch (doors_.rest()) {
    case Doors::Rest::kStays:
      return;
    case Doors::Rest::kGoesToSuccessor:
      if (hand_on_(session)) End(session);
      return;
    case Doors::Rest::kCloses:
      // What has begun to ask is still served.
      if (session.idle() && session.asked()) session.CloseBetweenRequests();
      return;
  }
}

void Listener::EndWhatRests() {
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    ClientSession& session = **at++;
    if (session.at_rest()) AtRest(session);
  }
}

// While connections are to close: what has never asked, what goes on asking without a pause and what takes
// its time over a command each get a little longer, and no more. May destroy the session.
void Listener::EndIfOver(ClientSession& session, TimePoint now) {
  TimePoint from = std::max(closing_since_, session.connected());
  if (session.idle() && (session.asked() || now - from > kSilentAway)) return session.CloseBetweenRequests();
  bool half = session.at_rest() && session.half_sent();
  if (now >= read_until_ || now - from > (half ? kHalfAway : kLastCall)) session.LastCall();
}

// Closes the session that can best be spared: one that was turned away, has never asked, is between requests
// (its client opens another when it needs one) or has not sent its command whole; of several the longest
// quiet. Guards against strangers who connect by hundreds: they make room for each other before clients that
// ask do.
bool Listener::MakeRoom() {
  ClientSession* best = nullptr;
  TimePoint now = clock_.Now();
  auto rank = [this, now](const ClientSession& session) {
    auto spare = session.spare();
    bool early = spare == ClientSession::Spare::kSilent && now - session.quiet_since() < tuning_.about_to_ask;
    return early ? ClientSession::Spare::kHalfSent : spare;
  };
  for (auto& session : sessions_) {
    if (&session == &sessions_.back() || session->spare() == ClientSession::Spare::kNeeded) continue;
    // Those that wait for memory are refused before anybody who is served is closed.
    bool served = session->spare() == ClientSession::Spare::kIdle ||
                  session->spare() == ClientSession::Spare::kAskedOnce;
    if (served && !waiting_.empty()) continue;
    bool better = best == nullptr || rank(*session) > rank(*best) ||
                  (rank(*session) == rank(*best) && session->quiet_since() < best->quiet_since());
    if (better && session->closes_cleanly()) best = session.get();
  }
  if (best == nullptr) {
    log_.Line("clients crowded", std::to_string(sessions_.size()) + " sessions, all with requests out");
    return false;
  }
  CloseForRoom(*best, "of all clients it can best be spared");
  return true;
}

// The front holds a part of the descriptors for clients' requests and no more. Guards against clients who ask
// once and keep their connection: they would fill that part before the idle time is over, and nobody else
// could ask.
bool Listener::CloseHeld() {
  std::size_t held = 0, begin = 0, most = Part(sockets_.configured_max, tuning_.held_share);
  ClientSession* best = nullptr;
  for (auto& session : sessions_) {
    if (session->requests() == 0) {
      begin += session->half_sent() ? 1 : 0;
      continue;
    }
    ++held;
    if (!session->idle()) continue;
    bool better = best == nullptr || session->spare() > best->spare() ||
                  (session->spare() == best->spare() && session->quiet_since() < best->quiet_since());
    if (better && session->closes_cleanly()) best = session.get();
  }
  // Of those that have begun their first command some take their time, and the others are strangers.
  if (held + std::min(begin, most / 2) <= most || best == nullptr) return false;
  CloseForRoom(*best, "clients between requests hold too many descriptors");
  return true;
}

void Listener::CloseForRoom(ClientSession& session, std::string_view reason) {
  ++counters_.clients_closed_for_room;
  log_.Line("client closed", fmt::format("after {} requests, {} sessions open: {}", session.requests(),
                                         sessions_.size(), reason));
  End(session);
}

// Ends what has had its time.
void Listener::Sweep() {
  TimePoint now = clock_.Now();
  Doors::Rest rest = doors_.rest();
  if (rest != Doors::Rest::kCloses) closing_since_ = TimePoint::max();
  if (rest == Doors::Rest::kCloses && closing_since_ == TimePoint::max()) closing_since_ = now;
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    ClientSession& session = **at++;
    bool goes = rest == Doors::Rest::kGoesToSuccessor && session.at_rest();
    if (goes && hand_on_(session)) {
      End(session);
    } else if (session.due() <= now) {
      session.Overdue();
    } else if (sessions_.size() > Part(sockets_.max, tuning_.crowded_share) &&
               now - session.quiet_since() > tuning_.silent_in_crowd &&
               session.spare() == ClientSession::Spare::kSilent && session.closes_cleanly()) {
      CloseForRoom(session, "it has asked nothing");
    } else if (rest == Doors::Rest::kCloses && !session.ends()) {
      EndIfOver(session, now);
    }
  }
  while (!waiting_.empty() && TurnAwayStalled(now)) GrantRoom();
  std::list<ClientSession*> waiting = waiting_;  // each has its wait bounded
  for (ClientSession* session : waiting) {
    if (session->waits_for_room()) session->TryAgain();
  }
  sweep_.Set(kSweepEvery);
}

bool Listener::HasRoomForIncomplete(std::size_t bytes) const {
  return unread_ == 0 || unread_ + bytes <= most_unread_;
}

void Listener::WaitForRoom(ClientSession& session) { waiting_.push_back(&session); }
void Listener::StopWaiting(ClientSession& session) { waiting_.remove(&session); }

// In the order of arrival; those that need little may pass a few that need more.
void Listener::GrantRoom() {
  int failed = 0;
  for (auto at = waiting_.begin(); at != waiting_.end() && failed < kMostInVain;) {
    ClientSession* session = *at++;
    failed += session->TryAgain() ? 0 : 1;
  }
}

// Of the commands that are not whole, the one begun first among those of which nothing has come for a while
// makes room for those that wait.
bool Listener::TurnAwayStalled(TimePoint now) {
  ClientSession* first = nullptr;
  for (auto& session : sessions_) {
    if (!session->half_sent() || session->waits_for_room() || now - session->last_byte() < kStalled) continue;
    if (!session->holds_incomplete() || session->has_unread()) continue;
    if (first == nullptr || session->begun() < first->begun()) first = session.get();
  }
  if (first == nullptr) return false;
  first->TurnAway("too much at once");
  return true;
}

void Listener::RefuseWaiting(std::size_t most) {
  for (; most > 0 && !waiting_.empty(); --most) waiting_.front()->RefuseWaiting();
}

// Bounds the memory that commands which are not whole take together: past that the one begun first is turned
// away.
void Listener::Unread(std::size_t before, std::size_t now) {
  unread_ += now - before;
  if (now < before && !waiting_.empty()) grant_.Activate();
  if (now <= before || unread_ <= most_unread_) return;
  ClientSession* first = nullptr;
  for (auto& session : sessions_) {
    if (session->half_sent() && (first == nullptr || session->begun() < first->begun()))
      first = session.get();
  }
  if (first != nullptr) first->TurnAway("too much at once");
}

void Listener::End(ClientSession& session) {
  ++counters_.clients_closed;
  --sockets_.in_use;
  sessions_.erase(session.self);
  if (then_ && sessions_.empty()) stopped_.Activate();
}

void Listener::EndSoon(TimePoint read_until, TimePoint answer_by) {
  read_until_ = read_until;
  answer_by_ = answer_by;
}

Listener::Deliveries Listener::EndAllButDeliveries() {
  Deliveries deliveries;
  TimePoint now = clock_.Now();
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    ClientSession& session = **at++;
    auto delivery = session.BoundDelivery(now);
    if (delivery == ClientSession::Delivery::kGoesOn) {
      ++deliveries.open;
      continue;
    }
    if (delivery == ClientSession::Delivery::kOverdue) ++deliveries.cut;
    End(session);
  }
  return deliveries;
}

Duration Listener::TimeToAnswer() const {
  if (answer_by_ == TimePoint::max()) return Duration::max();
  return std::max(answer_by_ - clock_.Now(), Duration::zero());
}

// Closing a listening socket resets the connections that wait in its queue.
void Listener::EmptyAcceptQueue() {
  while (true) {
    int accepted = accept4(socket(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      Accepted(accepted);
    } else if (errno != EINTR && errno != ECONNABORTED) {
      return;
    }
  }
}

void Listener::Stop(std::function<void()> then) {
  then_ = std::move(then);
  if (doors_.rest() != Doors::Rest::kGoesToSuccessor) EmptyAcceptQueue();  // a successor accepts from it
  listener_.reset();
  EndWhatRests();
  if (sessions_.empty()) stopped_.Activate();
}

}  // namespace peatbend::net

#include "front/client_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

#include "base/value_bounds.h"
#include "front/socket_state.h"

namespace peatbend::net {
namespace {
constexpr std::size_t kFreeAhead = 8;  // answers that a client may run ahead, memory or not
// Commands longer than this are taken one at a time from a client where there is no memory for them.
constexpr std::size_t kLongCommand = 4 * 1024;
constexpr std::size_t kMostMoved = 32 * 1024;  // bytes of a begun command that move to another process
constexpr Milliseconds kLastLinger{300};       // after a last call, for a client to see the end
}  // namespace

ClientSession::ClientSession(SessionHome& home, event_base* base, evutil_socket_t socket,
                             BalancerDriver& decision, const Settings& settings,
                             const Tuning::Clients& tuning, const Clock& clock, Log& log, Counters& counters)
    : home_(home),
      decision_(decision),
      settings_(settings),
      tuning_(tuning),
      clock_(clock),
      log_(log),
      counters_(counters),
      connected_(clock.Now()),
      quiet_since_(connected_),
      memory_(home.memory(), MemoryUse::kUnsentAnswers),
      head_memory_(home.memory(), MemoryUse::kRequests),
      owed_memory_(home.command_memory(), MemoryUse::kQueuedAnswers),
      queued_memory_(home.memory(), MemoryUse::kQueuedAnswers),
      socket_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)) {
  int yes = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  bufferevent_setcb(socket_.get(), OnRead, OnWritten, OnEvent, this);
  evbuffer_add_cb(bufferevent_get_output(socket_.get()), OnOutputChanged, this);
  timeval unread = ToTimeval(tuning.unread);
  bufferevent_set_timeouts(socket_.get(), nullptr, &unread);
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
}

ClientSession::~ClientSession() {
  home_.StopWaiting(*this);
  home_.Unread(unread_, 0);
  for (RequestId id : owed_.Unanswered()) decision_.ClientLeft(id);
}

void ClientSession::Leave() { home_.End(*this); }

void ClientSession::OnEvent(bufferevent*, short, void* self) {
  static_cast<ClientSession*>(self)->Leave();  // it has closed its end, or the connection broke
}

bool ClientSession::Crowded() const {
  PipelineFacts facts{.value_unfinished = owed_.value_unfinished()};
  if (DecideCommand(facts) == CommandDecision::kLeaveUnread) return true;
  // Nor does a client who reads nothing run ahead by more than there is memory for.
  std::size_t free = home_.memory().free();
  bool dear = owed_.size() >= kFreeAhead && owed_.size() * resp::kMaxValue > free;
  const MemoryBudget& commands = home_.command_memory();
  dear |= owed_.size() >= kFreeAhead && commands.in_use > commands.max / 2;
  // Nor one who sends long commands.
  std::size_t next = evbuffer_get_length(bufferevent_get_input(socket_.get()));
  dear |= !owed_.empty() && next > std::max(free, kLongCommand);
  return dear || owed_.size() >= static_cast<std::size_t>(tuning_.owed) ||
         evbuffer_get_length(bufferevent_get_output(socket_.get())) >=
             static_cast<std::size_t>(tuning_.unsent_kb) * 1024;
}

// What comes stays with the system, and a command that has begun to come is given its time anew later. A
// large value is read to its end: its client may read no answer before it has sent all.
void ClientSession::LeaveUnread() {
  if (closing_ || body_) return;
  leaves_unread_ = true;
  read_pause_.Pause();
  begun_ = TimePoint::max();
  Account();
}

// Reads on from the loop, if nothing is in the way.
void ClientSession::ReadOnSoon() {
  leaves_unread_ = false;
  if (closing_ || waits_for_room_ || Crowded()) return;
  if (!last_call_) read_pause_.Resume();
  bufferevent_trigger(socket_.get(), EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void ClientSession::Read() {
  evbuffer* in = bufferevent_get_input(socket_.get());
  if (closing_) {
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  last_byte_ = clock_.Now();
  while (evbuffer_get_length(in) > 0 && !closing_) {
    if (body_ && !TakeBody(in)) break;
    if (body_ && evbuffer_get_length(in) == 0) break;
    if (Crowded()) {
      read_pause_.Pause();
      break;
    }
    if (!TakeCommand(Contents(in))) break;
  }
  if (!closing_ && !HeadFits()) Malformed("too much at once");
  if (last_call_ && !closing_ && !Crowded()) TakeNoMore();
  bool half = (body_ || evbuffer_get_length(in) > 0) && !closing_ && !Crowded();
  if (!half) begun_ = TimePoint::max();
  if (half && begun_ == TimePoint::max()) begun_ = clock_.Now();
  Flush();
  Account();
  if (last_call_ && closing_ && all_written() && turned_away_ == TimePoint::max()) Written();
}

// False if there is no whole command.
bool ClientSession::TakeCommand(std::string_view buffer) {
  if (!body_ && buffer[0] != '*') return Malformed("expected an array"), false;
  switch (parser_.Advance(buffer)) {
    case resp::Parser::Status::kIncomplete:
      return false;
    case resp::Parser::Status::kMalformed:
      return Malformed(parser_.error()), false;
    case resp::Parser::Status::kBody:
      return BeginBody(buffer);
    case resp::Parser::Status::kDone:
      break;
  }
  ClientCommand command = ReadWhole(buffer);
  if (command.request) {
    command.request->remaining = std::min(command.request->remaining, home_.TimeToAnswer());
  }
  using Kind = ClientCommand::Kind;
  if (command.kind == Kind::kMalformed) return Malformed(command.complaint), false;
  evbuffer_drain(bufferevent_get_input(socket_.get()), parser_.message().size);
  parser_.Reset();
  asked_ = true;
  begun_ = TimePoint::max();
  switch (command.kind) {
    case Kind::kRequest: {
      ++requests_;
      if (decision_.needs_client_hash()) command.request->client = Client();
      BookText(*command.request);
      auto id = decision_.Admit(std::move(command.request), *this, owed_.next_place());
      if (!id) {  // two requests under one id could be given each other's answers
        ++counters_.ids_in_use;
        log_.Line("id in use", "a request was answered -ERR");
        Say("-ERR id in use\r\n");
        break;
      }
      owed_.AddRequest(*id);
      break;
    }
    case Kind::kPing:
      ++counters_.pings;
      Say(home_.doors().welcome() ? "+PONG\r\n" : "-LOADING not ready\r\n");
      break;
    case Kind::kPolite:
      Say("+OK\r\n");
      break;
    case Kind::kRefused:
      break;
    case Kind::kQuit:
      closing_ = true;
      Say("+OK\r\n");
      break;
    case Kind::kUnknownClass:
      ++counters_.unknown_commands;
      log_.Line("unknown class", "a request was answered -ERR");
      Say("-ERR unknown class\r\n");
      break;
    case Kind::kUnknown:
    case Kind::kMalformed:
      ++counters_.unknown_commands;
      Say("-ERR unknown command\r\n");
      break;
  }
  return true;
}

// One -ERR, after the answers owed, and the end: what follows in the stream cannot be told apart.
void ClientSession::Malformed(std::string_view complaint) {
  ++counters_.client_malformed;
  log_.Line("client malformed", complaint);
  closing_ = true;
  begun_ = TimePoint::max();
  body_.reset();
  EndWait();
  evbuffer* in = bufferevent_get_input(socket_.get());
  evbuffer_drain(in, evbuffer_get_length(in));
  if (!last_call_) read_pause_.Resume();
  Say(std::string("-ERR ").append(complaint).append("\r\n"));
}

bool ClientSession::idle() const {
  return all_written() && !body_ && evbuffer_get_length(bufferevent_get_input(socket_.get())) == 0;
}

TimePoint ClientSession::due() const {
  if (turned_away_ != TimePoint::max()) return turned_away_ + Linger();
  if (closing_) return TimePoint::max();
  if (!asked_ && !waits_for_room_) return connected_ + tuning_.first_command;
  if (half_sent()) {                               // a large value is given time by what has come of it
    if (waits_for_room_) return TimePoint::max();  // the wait is bounded by itself
    TimePoint whole = begun_ + TimeAtLeastRate(body_ ? body_->size - body_->left : 0);
    return std::min(whole, std::max(begun_, last_byte_)) + tuning_.command;
  }
  return idle() ? quiet_since_ + tuning_.idle : TimePoint::max();
}

Duration ClientSession::Linger() const {
  if ((bufferevent_get_enabled(socket_.get()) & EV_READ) != 0) return tuning_.linger;
  evutil_socket_t socket = bufferevent_getfd(socket_.get());
  if (PeerClosed(socket)) return Duration::zero();  // reading would have told
  bool soon = last_call_ && !HasUnacknowledged(socket);
  return soon ? std::min(tuning_.linger, kLastLinger) : tuning_.linger;
}

void ClientSession::Overdue() {
  if (turned_away_ != TimePoint::max()) return Leave();
  if (half_sent()) return TurnAway("command not whole in time");
  if (HasUnread(bufferevent_getfd(socket_.get()))) return;
  ++counters_.clients_closed_as_idle;
  CloseBetweenRequests();
}

void ClientSession::CloseBetweenRequests() {
  evutil_socket_t socket = bufferevent_getfd(socket_.get());
  if (HasUnread(socket)) return;
  if (HasUnacknowledged(socket)) return LastCall();
  Leave();
}

bool ClientSession::has_unread() const { return HasUnread(bufferevent_getfd(socket_.get())); }

bool ClientSession::closes_cleanly() const {
  evutil_socket_t socket = bufferevent_getfd(socket_.get());
  if (HasUnacknowledged(socket)) return false;
  return turned_away_ != TimePoint::max() || !HasUnread(socket);
}

void ClientSession::TurnAway(std::string_view complaint) {
  Malformed(complaint);
  read_pause_.Pause();  // whole commands may follow, which nobody would answer
  Flush();
  Account();
}

ClientSession::Spare ClientSession::spare() const {
  if (turned_away_ != TimePoint::max()) return Spare::kTurnedAway;
  if (idle()) return requests_ > 1 ? Spare::kIdle : requests_ == 1 ? Spare::kAskedOnce : Spare::kSilent;
  if (body_ && !body_->request && all_written()) return Spare::kRefused;
  return half_sent() && owed_.empty() ? Spare::kHalfSent : Spare::kNeeded;
}

bool ClientSession::all_written() const {
  return owed_.empty() && evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
}

bool ClientSession::at_rest() const { return all_written() && !ends(); }

void ClientSession::LastCall() {
  if (last_call_ || closing_) return;
  last_call_ = true;
  EndWait();
  read_pause_.Pause();
  Read();
}

// All whole commands that were read have been taken. What is left of one that is not whole is dropped.
void ClientSession::TakeNoMore() {
  closing_ = true;
  body_.reset();
  EndWait();
  evbuffer* in = bufferevent_get_input(socket_.get());
  evbuffer_drain(in, evbuffer_get_length(in));
}

bool ClientSession::may_move() const {
  if (!at_rest()) return false;
  if (!body_) return evbuffer_get_length(bufferevent_get_input(socket_.get())) <= kMostMoved;
  return body_->request && body_->size <= resp::kMaxValue && body_->size - body_->left <= kMostMoved;
}

evutil_socket_t ClientSession::Release(std::string& begun) {
  begun.clear();
  if (body_) begun.append(body_->request->text).append(Contents(body_->request->body.get()));
  begun.append(Contents(bufferevent_get_input(socket_.get())));
  evutil_socket_t socket = bufferevent_getfd(socket_.get());
  bufferevent_setfd(socket_.get(), -1);
  return socket;
}

void ClientSession::Adopt(std::string_view begun, TimePoint begun_at, bool asked) {
  asked_ = asked;
  if (begun.empty()) return;
  connected_ = begun_ = begun_at;
  evbuffer_prepend(bufferevent_get_input(socket_.get()), begun.data(), begun.size());
  Read();
}

}  // namespace peatbend::net

#include "front/client_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace peatbend::net {
namespace {
constexpr std::size_t kMostMoved = 32 * 1024;  // bytes of a begun command that move to another process
constexpr Milliseconds kLastLinger{300};  // after a last call, for a client to see the end
}  // namespace

ClientSession::ClientSession(SessionHome& home, event_base* base, evutil_socket_t socket, Decision& decision,
                             const Settings& settings, const Tuning::Clients& tuning, const Clock& clock,
                             Log& log, Counters& counters)
    : home_(home),
      decision_(decision),
      settings_(settings),
      tuning_(tuning),
      clock_(clock),
      log_(log),
      counters_(counters),
      connected_(clock.Now()),
      quiet_since_(connected_),
      socket_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)) {
  int yes = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  bufferevent_setcb(socket_.get(), OnRead, OnWritten, OnEvent, this);
  timeval unread = ToTimeval(tuning.unread);
  bufferevent_set_timeouts(socket_.get(), nullptr, &unread);
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
}

ClientSession::~ClientSession() {
  home_.Unread(unread_, 0);
  for (const Owed& owed : owed_) {
    if (owed.transaction && !owed.answer) decision_.ClientLeft(owed.id);
  }
}

void ClientSession::Leave() { home_.End(*this); }

void ClientSession::OnEvent(bufferevent*, short, void* self) {
  static_cast<ClientSession*>(self)->Leave();  // it has closed its end, or the connection broke
}

bool ClientSession::Crowded() const {
  return owed_.size() >= static_cast<std::size_t>(tuning_.owed) ||
         evbuffer_get_length(bufferevent_get_output(socket_.get())) >=
             static_cast<std::size_t>(tuning_.unsent_kb) * 1024;
}

void ClientSession::Read() {
  evbuffer* in = bufferevent_get_input(socket_.get());
  if (closing_) {
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  while (evbuffer_get_length(in) > 0 && !closing_) {
    if (Crowded()) {
      bufferevent_disable(socket_.get(), EV_READ);
      break;
    }
    if (!TakeCommand(Contents(in))) break;
  }
  bool half = evbuffer_get_length(in) > 0 && !closing_ && !Crowded();
  if (!half) begun_ = TimePoint::max();
  if (half && begun_ == TimePoint::max()) begun_ = clock_.Now();
  Flush();
  Account();
}

void ClientSession::Account() {
  std::size_t now = half_sent() ? evbuffer_get_length(bufferevent_get_input(socket_.get())) : 0;
  home_.Unread(std::exchange(unread_, now), now);
}

// False if there is no whole command.
bool ClientSession::TakeCommand(std::string_view buffer) {
  if (buffer[0] != '*') return Malformed("expected an array"), false;
  switch (parser_.Advance(buffer)) {
    case resp::Parser::Status::kMore:
      return false;
    case resp::Parser::Status::kBad:
      return Malformed(parser_.error()), false;
    case resp::Parser::Status::kDone:
      break;
  }
  ClientCommand command = ReadCommand(parser_.message(), buffer, settings_);
  using Kind = ClientCommand::Kind;
  if (command.kind == Kind::kMalformed) return Malformed(command.complaint), false;
  evbuffer_drain(bufferevent_get_input(socket_.get()), parser_.message().size);
  parser_.Reset();
  asked_ = true;
  begun_ = TimePoint::max();
  switch (command.kind) {
    case Kind::kRequest: {
      std::uint64_t place = first_ + owed_.size();
      auto id = decision_.Take(std::move(command.request), *this, place);
      if (!id) {  // two requests under one id could be given each other's answers
        ++counters_.ids_in_use;
        log_.Line("id in use", "a request was answered -ERR");
        Say("-ERR id in use\r\n");
        break;
      }
      owed_.emplace_back().transaction = true;
      owed_.back().id = *id;
      break;
    }
    case Kind::kPing:
      ++counters_.pings;
      Say(home_.doors().welcome() ? "+PONG\r\n" : "-LOADING not ready\r\n");
      break;
    case Kind::kPolite:
      Say("+OK\r\n");
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
  evbuffer* in = bufferevent_get_input(socket_.get());
  evbuffer_drain(in, evbuffer_get_length(in));
  Say(std::string("-ERR ").append(complaint).append("\r\n"));
}

void ClientSession::Say(std::string_view answer) {
  owed_.emplace_back().answer = NewBuffer();
  Append(owed_.back().answer.get(), answer);
}

void ClientSession::Served(std::uint64_t place, evbuffer* value) {
  At(place).answer = NewBuffer();
  AppendServed(At(place).answer.get(), value);
  Flush();
}

void ClientSession::Rejected(std::uint64_t place, Duration come_back) {
  At(place).answer = NewBuffer();
  AppendRejected(At(place).answer.get(), come_back);
  Flush();
}

void ClientSession::Failed(std::uint64_t place) {
  At(place).answer = NewBuffer();
  Append(At(place).answer.get(), "-ERR failed\r\n");
  Flush();
}

// Writes the answers that are there, up to the first that is not, as one piece.
void ClientSession::Flush() {
  if (owed_.empty() || !owed_.front().answer) return;
  BufferPtr out = std::move(owed_.front().answer);
  for (;;) {
    owed_.pop_front();
    ++first_;
    if (owed_.empty() || !owed_.front().answer) break;
    evbuffer_add_buffer(out.get(), owed_.front().answer.get());
  }
  quiet_since_ = clock_.Now();
  // Where the session waits to hear that all is written, the bufferevent has to write, for it tells.
  bool told = closing_ || home_.doors().rest() != Doors::Rest::kStays || (bufferevent_get_enabled(socket_.get()) & EV_READ) == 0;
  if (told) {
    bufferevent_write_buffer(socket_.get(), out.get());
  } else {
    WriteNow(socket_.get(), out.get());
  }
}

void ClientSession::Written() {  // all that was to be written is
  if (closing_ && owed_.empty()) {
    shutdown(bufferevent_getfd(socket_.get()), SHUT_WR);  // read on, lest a reset overtake the answer
    turned_away_ = clock_.Now();
    return;
  }
  if (home_.doors().rest() != Doors::Rest::kStays && at_rest()) return home_.AtRest(*this);
  if (!closing_ && (bufferevent_get_enabled(socket_.get()) & EV_READ) == 0 && !Crowded()) {
    bufferevent_enable(socket_.get(), EV_READ);
    Read();
  }
}

bool ClientSession::idle() const {
  return owed_.empty() && evbuffer_get_length(bufferevent_get_input(socket_.get())) == 0 &&
         evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
}

TimePoint ClientSession::due() const {
  if (turned_away_ != TimePoint::max())
    return turned_away_ + (last_call_ ? std::min(tuning_.linger, kLastLinger) : tuning_.linger);
  if (closing_) return TimePoint::max();
  if (!asked_) return connected_ + tuning_.first_command;
  if (half_sent()) return begun_ + tuning_.command;
  return idle() ? quiet_since_ + tuning_.idle : TimePoint::max();
}

void ClientSession::Overdue() {
  if (turned_away_ != TimePoint::max() || !half_sent()) {
    if (turned_away_ == TimePoint::max()) ++counters_.clients_closed_as_idle;
    return Leave();
  }
  TurnAway("command not whole in time");
}

void ClientSession::TurnAway(std::string_view complaint) {
  Malformed(complaint);
  Flush();
  Account();
}

ClientSession::Spare ClientSession::spare() const {
  if (turned_away_ != TimePoint::max()) return Spare::kTurnedAway;
  if (idle()) return asked_ ? Spare::kIdle : Spare::kSilent;
  return half_sent() && owed_.empty() ? Spare::kHalfSent : Spare::kNeeded;
}

bool ClientSession::at_rest() const {
  return owed_.empty() && !closing_ && evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
}

void ClientSession::LastCall() {
  if (closing_) return;
  last_call_ = closing_ = true;
  begun_ = TimePoint::max();
  evbuffer* in = bufferevent_get_input(socket_.get());
  evbuffer_drain(in, evbuffer_get_length(in));
  Account();
  bufferevent_enable(socket_.get(), EV_READ);
  if (owed_.empty() && evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0) Written();
}

bool ClientSession::may_move() const {
  return at_rest() && evbuffer_get_length(bufferevent_get_input(socket_.get())) <= kMostMoved;
}

evutil_socket_t ClientSession::Release(std::string& begun) {
  begun.assign(Contents(bufferevent_get_input(socket_.get())));
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

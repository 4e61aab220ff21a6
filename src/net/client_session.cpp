#include "net/client_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

#include "net/listener.h"

namespace peatbend::net {
namespace {
// A client may run ahead of its answers so far; then it is not read until some have gone out.
constexpr std::size_t kMaxOwed = 128, kMaxUnsent = 1024 * 1024;
// A client that takes none of its answers for so long has gone without a word.
constexpr timeval kUnread{30, 0};
}  // namespace

ClientSession::ClientSession(Listener& home, event_base* base, evutil_socket_t socket, Decision& decision,
                             const Settings& settings, Log& log, Counters& counters)
    : home_(home),
      decision_(decision),
      settings_(settings),
      log_(log),
      counters_(counters),
      socket_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)) {
  int yes = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  bufferevent_setcb(socket_.get(), OnRead, OnWritten, OnEvent, this);
  bufferevent_set_timeouts(socket_.get(), nullptr, &kUnread);
  bufferevent_enable(socket_.get(), EV_READ | EV_WRITE);
}

ClientSession::~ClientSession() {
  for (const Owed& owed : owed_) {
    if (owed.transaction && !owed.answer) decision_.ClientLeft(owed.id);
  }
}

void ClientSession::Leave() { home_.End(*this); }

void ClientSession::OnEvent(bufferevent*, short, void* self) {
  static_cast<ClientSession*>(self)->Leave();  // it has closed its end, or the connection broke
}

bool ClientSession::Crowded() const {
  return owed_.size() >= kMaxOwed || evbuffer_get_length(bufferevent_get_output(socket_.get())) >= kMaxUnsent;
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
  Flush();
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
  switch (command.kind) {
    case Kind::kRequest: {
      std::uint64_t place = first_ + owed_.size();
      owed_.emplace_back().transaction = true;
      owed_.back().id = decision_.Take(std::move(command.request), *this, place);
      break;
    }
    case Kind::kPing:
      ++counters_.pings;
      Say(decision_.ready() && !end_when_idle_ ? "+PONG\r\n" : "-LOADING not ready\r\n");
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

// Writes the answers that are there, up to the first that is not.
void ClientSession::Flush() {
  while (!owed_.empty() && owed_.front().answer) {
    bufferevent_write_buffer(socket_.get(), owed_.front().answer.get());
    owed_.pop_front();
    ++first_;
  }
}

void ClientSession::Written() {  // all that was to be written is
  if (closing_ && owed_.empty()) {
    shutdown(bufferevent_getfd(socket_.get()), SHUT_WR);  // read on, lest a reset overtake the answer
    timeval soon{1, 0};
    bufferevent_set_timeouts(socket_.get(), &soon, &soon);
    return;
  }
  if (end_when_idle_ && idle()) return Leave();
  if (!closing_ && (bufferevent_get_enabled(socket_.get()) & EV_READ) == 0 && !Crowded()) {
    bufferevent_enable(socket_.get(), EV_READ);
    Read();
  }
}

bool ClientSession::idle() const {
  return owed_.empty() && evbuffer_get_length(bufferevent_get_input(socket_.get())) == 0 &&
         evbuffer_get_length(bufferevent_get_output(socket_.get())) == 0;
}

void ClientSession::EndWhenIdle() {
  end_when_idle_ = true;
  if (idle()) Leave();
}

}  // namespace peatbend::net

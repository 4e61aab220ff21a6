#include "admin/admin_server.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "base/listen.h"

namespace peatbend::net {
namespace {

constexpr std::size_t kMostLine = 256;                  // bytes
constexpr std::chrono::milliseconds kLineWithin{4500};  // for a whole line; then it is told and closed
constexpr std::chrono::milliseconds kLinger{500};       // from the answer to the close, for what still comes
constexpr std::chrono::milliseconds kIdleSweepEvery{100};

}  // namespace

std::string AnswerCall(std::string_view line, Operations& operations) {
  if (line == "HEALTH") return operations.Health() + "\n";
  if (line == "LEAVE") return operations.Leave() + "\n";
  if (line == "JOIN") return operations.Join() + "\n";
  if (line == "PEERS") return operations.Peers() + "\n";
  if (line == "FAILOVER") return operations.Failover() + "\n";
  if (line == "WORK") return "fail WORK was renamed to FAILOVER\n";  // to be taken out after two releases
  if (line == "DUMP") return operations.Figures() + "eof\n";
  return line.empty() ? "fail empty call\n" : "fail unknown call\n";
}

AdminServer::AdminServer(event_base* base, const std::string& address, Operations& operations,
                         const Clock& clock, Log& log)
    : base_(base),
      operations_(operations),
      clock_(clock),
      log_(log),
      sweep_(base, [this] { Sweep(); }),
      socket_(ListenOn(address, static_cast<int>(kAdminSessions) * 8, false)) {
  if (socket_ < 0)
    throw std::runtime_error("admin: cannot listen on " + address + ": " + std::strerror(errno));
  acceptable_.reset(event_new(
      base, socket_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<AdminServer*>(self)->Accept(); }, this));
  event_priority_set(acceptable_.get(), 0);
  event_add(acceptable_.get(), nullptr);
  sweep_.Set(kIdleSweepEvery);
}

AdminServer::~AdminServer() {
  acceptable_.reset();
  close(socket_);
}

int AdminServer::port() const { return BoundPort(socket_); }

void AdminServer::Accept() {
  int caller = accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (caller < 0) {
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != ECONNABORTED)
      log_.Line("admin", std::string("accept failed: ") + std::strerror(errno));
    return;
  }
  if (sessions_.size() >= kAdminSessions) MakeRoom();
  Session& session = sessions_.emplace_back();
  session.home = this;
  session.self = std::prev(sessions_.end());
  session.since = clock_.Now();
  session.socket.reset(bufferevent_socket_new(base_, caller, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_priority_set(session.socket.get(), 0);
  bufferevent_setcb(
      session.socket.get(),
      [](bufferevent*, void* self) {
        auto* one = static_cast<Session*>(self);
        one->home->Read(*one);
      },
      [](bufferevent* socket, void* self) {
        if (static_cast<Session*>(self)->answered) shutdown(bufferevent_getfd(socket), SHUT_WR);
      },
      [](bufferevent*, short, void* self) {
        auto* one = static_cast<Session*>(self);
        one->home->sessions_.erase(one->self);
      },
      &session);
  bufferevent_enable(session.socket.get(), EV_READ | EV_WRITE);
}

// The one that was answered, else the one that has been silent longest. Guards against callers who hold
// connections without a whole call.
void AdminServer::MakeRoom() {
  auto spare = sessions_.begin();
  for (auto at = sessions_.begin(); at != sessions_.end(); ++at) {
    if (at->answered && evbuffer_get_length(bufferevent_get_output(at->socket.get())) == 0) {
      spare = at;
      break;
    }
  }
  sessions_.erase(spare);
}

void AdminServer::Read(Session& session) {
  evbuffer* in = bufferevent_get_input(session.socket.get());
  if (!session.answered) {
    std::size_t end_size = 0;
    evbuffer_ptr end = evbuffer_search_eol(in, nullptr, &end_size, EVBUFFER_EOL_CRLF);
    if (end.pos > static_cast<ev_ssize_t>(kMostLine) ||
        (end.pos < 0 && evbuffer_get_length(in) > kMostLine)) {
      Answer(session, "fail line too long\n");
    } else if (end.pos >= 0) {
      std::string line(static_cast<std::size_t>(end.pos), '\0');
      evbuffer_remove(in, line.data(), line.size());
      Answer(session, AnswerCall(line, operations_));
    }
  }
  if (session.answered) evbuffer_drain(in, evbuffer_get_length(in));
}

void AdminServer::Answer(Session& session, std::string_view text) {
  session.answered = true;
  session.since = clock_.Now();
  bufferevent_write(session.socket.get(), text.data(), text.size());
}

void AdminServer::Sweep() {
  TimePoint now = clock_.Now();
  for (auto at = sessions_.begin(); at != sessions_.end();) {
    Session& session = *at++;
    if (session.answered && now - session.since > kLinger) {
      sessions_.erase(session.self);
    } else if (!session.answered && now - session.since > kLineWithin) {
      Answer(session, "fail no whole line in time\n");
    }
  }
  sweep_.Set(kIdleSweepEvery);
}

}  // namespace peatbend::net

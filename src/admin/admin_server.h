// The operators' address: one line a connection, one answer, and the end. It reads figures and calls the life
// cycle through Operations, and decides nothing. Its sessions are bounded in number, in bytes and in time,
// and its descriptors lie outside the budget of clients and members, so that no crowd on either side keeps an
// answer waiting.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/event_handles.h"
#include "base/log.h"

namespace peatbend::net {

// The descriptors that it holds at most, its listening socket included.
constexpr std::size_t kAdminSessions = 8, kAdminDescriptors = kAdminSessions + 2;

class Operations {
 public:
  virtual ~Operations() = default;
  // Each gives the answer, a line that begins with "ok" or "fail", without its end.
  virtual std::string Health() = 0;
  virtual std::string Leave() = 0;
  virtual std::string Join() = 0;
  // Whole lines, one a figure.
  virtual std::string Figures() = 0;
  // What it knows of its fleet: a line of JSON, or one that begins with "fail".
  virtual std::string Peers() = 0;
  // Its open operations, and its replica of others' records; the same.
  virtual std::string Failover() = 0;
};

// The answer to one line, its end included.
std::string AnswerCall(std::string_view line, Operations& operations);

class AdminServer {
 public:
  // Listens on `address` (ADDRESS:PORT); throws std::runtime_error, naming it, where that cannot be had.
  AdminServer(event_base* base, const std::string& address, Operations& operations, const Clock& clock,
              Log& log);
  ~AdminServer();
  int port() const;

 private:
  struct Session {
    AdminServer* home = nullptr;
    std::list<Session>::iterator self;
    TimePoint since{};
    bool answered = false;
    BuffereventPtr socket;
  };
  void Accept();
  void MakeRoom();
  void Read(Session& session);
  void Answer(Session& session, std::string_view text);
  void Sweep();

  event_base* base_;
  Operations& operations_;
  const Clock& clock_;
  Log& log_;
  std::list<Session> sessions_;  // the last accepted last
  Timer sweep_;
  int socket_ = -1;
  EventPtr acceptable_;
};

}  // namespace peatbend::net

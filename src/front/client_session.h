// One client's connection: reads commands, hands requests on, writes the answers in the commands' order.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <string_view>

#include "base/address.h"
#include "base/counters.h"
#include "base/event_handles.h"
#include "base/log.h"
#include "base/read_pause.h"
#include "base/socket_peek.h"
#include "base/tuning.h"
#include "front/answer_queue.h"
#include "front/client_command.h"
#include "front/doors.h"
#include "protocol/request.h"
#include "protocol/resp.h"
#include "stage/balancer_driver.h"

namespace peatbend::net {

class ClientSession;

// What a session needs of the place that holds it.
class SessionHome {
 public:
  virtual ~SessionHome() = default;
  // Destroys the session.
  virtual void End(ClientSession& session) = 0;
  // A session holds so many bytes of a command that is not whole, after so many before.
  virtual void Unread(std::size_t before, std::size_t now) = 0;
  // Whether a command of so many bytes may begin to come.
  virtual bool HasRoomForIncomplete(std::size_t bytes) const = 0;
  // The session waits for memory, or no longer. TryAgain is called once there may be some.
  virtual void WaitForRoom(ClientSession& session) = 0;
  virtual void StopWaiting(ClientSession& session) = 0;
  virtual MemoryBudget& memory() = 0;
  // For requests themselves and for answers that wait, apart from values.
  virtual MemoryBudget& command_memory() = 0;
  // Nothing is owed on the session, and its connection is not to stay: may destroy it.
  virtual void AtRest(ClientSession& session) = 0;
  virtual const Doors& doors() const = 0;
  // A request that is taken now has at most so long.
  virtual Duration TimeToAnswer() const = 0;
};

class ClientSession : public AnswerSink {
 public:
  ClientSession(SessionHome& home, event_base* base, evutil_socket_t socket, BalancerDriver& decision,
                const Settings& settings, const Tuning::Clients& tuning, const Clock& clock, Log& log,
                Counters& counters);
  ~ClientSession() override;

  void Serve(std::uint64_t place, evbuffer* value) override;
  void Reject(std::uint64_t place, Duration come_back) override;
  void Fail(std::uint64_t place) override;
  void HoldValue(std::uint64_t place, std::size_t length) override;
  std::size_t CommandsBehind(std::uint64_t place) const override;
  void BeginValue(std::uint64_t place, std::size_t length) override;
  bool AppendChunk(std::uint64_t place, evbuffer* bytes) override;
  void EndValue(std::uint64_t place, bool whole) override;
  bool IsNext(std::uint64_t place) const override;
  TimePoint NextSince() const override { return last_written_; }

  // Nothing is owed and nothing has begun to arrive.
  bool idle() const;
  // Reads no more from the socket. What has been read is taken and answered, and that is the end.
  void LastCall();
  // Has had its last call, or an error that ends it.
  bool ends() const { return last_call_ || closing_; }
  // Ends an idle connection, unless a request has come that was not read yet. Where the client's system lacks
  // something of the last answer, that is waited for.
  void CloseBetweenRequests();
  // Whether the connection can be closed at once without a reset and without loss of an answer.
  bool closes_cleanly() const;
  // Nothing is owed, though a command may have begun to arrive.
  bool at_rest() const;
  bool asked() const { return asked_; }
  // Requests that it has sent; PING and the like are none.
  std::uint64_t requests() const { return requests_; }
  TimePoint connected() const { return connected_; }
  // There may be memory for its value again, or it has waited long enough. False: it waits on.
  bool TryAgain();
  // Refuses the request whose value waits for memory.
  void RefuseWaiting();
  bool waits_for_room() const { return waits_for_room_; }
  // Has memory for a command that is not whole.
  bool holds_incomplete() const { return unread_ > 0 || (body_ && body_->request); }
  // Whether its system has bytes that were not read.
  bool has_unread() const;
  // When the last byte of a command that is not whole came.
  TimePoint last_byte() const { return last_byte_; }
  // At rest, and what has come is small enough to go with it to another process.
  bool may_move() const;
  // Gives up the socket, and what came of a command that is not whole; the session is to be ended then.
  evutil_socket_t Release(std::string& begun);
  // A connection that another process began: bytes of a command, and when the first of them came.
  void Adopt(std::string_view begun, TimePoint begun_at, bool asked);
  // When it has had the time that it may take over what it is doing; max() while it waits for an answer.
  TimePoint due() const;
  // That time has come: a command that is not whole gets its -ERR, all else ends.
  void Overdue();
  // How readily it is closed to make room, the highest first; kNeeded: not at all. Judged by what it has
  // asked: one that asked only PING is as silent.
  enum class Spare { kNeeded, kHalfSent, kIdle, kAskedOnce, kSilent, kRefused, kTurnedAway };
  Spare spare() const;
  TimePoint quiet_since() const { return quiet_since_; }
  bool half_sent() const { return begun_ != TimePoint::max(); }
  TimePoint begun() const { return begun_; }
  // What is left to deliver after all requests have had their time. kGoesOn: answers that the client has not
  // taken, or large values that are not whole, which have at most the time that the stall bound and the least
  // rate of values give them, from the first call.
  enum class Delivery { kNone, kGoesOn, kOverdue };
  Delivery BoundDelivery(TimePoint now);
  // Answers what has come of a command with -ERR, after the answers owed, and takes no more.
  void TurnAway(std::string_view complaint);
  // Where it stands among the sessions; the listener's.
  std::list<std::unique_ptr<ClientSession>>::iterator self;

 private:
  // What came before its end is what a client that has gone has asked for.
  static void OnRead(bufferevent* socket, void* self) {
    auto* session = static_cast<ClientSession*>(self);
    PeekInput(bufferevent_getfd(socket)) == SocketInput::kEnd ? session->Leave() : session->Read();
  }
  static void OnWritten(bufferevent*, void* self) { static_cast<ClientSession*>(self)->Written(); }
  static void OnEvent(bufferevent*, short what, void* self);
  static void OnOutputChanged(evbuffer*, const evbuffer_cb_info* change, void* self);
  void Read();
  ClientCommand ReadWhole(std::string_view buffer);
  bool BeginBody(std::string_view buffer);
  bool ReserveBody(MemoryReservation& memory);
  void RefuseBody();
  void EndWait();
  bool HeadFits();
  bool TakeBody(evbuffer* in);
  bool TakeCommand(std::string_view buffer);
  void BookText(Request& request);
  void Malformed(std::string_view complaint);
  void Account();
  void Say(std::string_view answer);
  void Flush();
  std::size_t Unsent() const;
  void BookUnsent();
  void ReserveUnsent();
  void Written();
  void TakeNoMore();
  // No answer is owed, and the system has all that was answered.
  bool all_written() const;
  // How long the connection stays open after its end was sent.
  Duration Linger() const;
  bool Crowded() const;
  void LeaveUnread();
  void ReadOnSoon();
  void CountCut();
  void EndAfterCut();
  void Leave();
  std::uint64_t Client() {
    if (!client_) client_ = HashPeerAddress(bufferevent_getfd(socket_.get()));
    return *client_;
  }

  SessionHome& home_;
  BalancerDriver& decision_;
  const Settings& settings_;
  const Tuning::Clients& tuning_;
  const Clock& clock_;
  Log& log_;
  Counters& counters_;
  // Values longer than this are booked before they are read.
  static constexpr std::size_t kLongValue = 4 * 1024;
  resp::Parser parser_{kValueItem, kLongValue};
  struct Body {
    std::unique_ptr<Request> request;  // null: it was refused, and its value is dropped as it comes
    std::size_t size, left;            // bytes of its value, and of these what has not come
  };
  std::optional<Body> body_;                 // a long value is coming
  bool waits_for_room_ = false;              // for memory for one; not read meanwhile
  TimePoint room_since_ = TimePoint::max();  // it has waited since; max: it has not
  bool refuses_waiting_ = false;             // RefuseWaiting is under way
  TimePoint last_byte_{};
  bool leaves_unread_ = false;  // what comes behind a large value that is not whole
  AnswerQueue owed_;
  bool closing_ = false;  // no more is taken; ends when all is written
  bool asked_ = false;    // a whole command has come
  std::uint64_t requests_ = 0;
  std::size_t unread_ = 0;              // as last told to the listener
  TimePoint last_written_{};            // answers were handed to the socket, or the system took the last
  TimePoint connected_, quiet_since_;   // the latter: nothing owed since
  TimePoint begun_ = TimePoint::max();  // a command that is not whole yet began to arrive; max: none
  TimePoint deliver_until_ = TimePoint::max();  // what is owed still; max: not bounded
  TimePoint turned_away_ = TimePoint::max();    // its -ERR was written
  bool last_call_ = false;                      // the socket is not read any more
  std::optional<std::uint64_t> client_;         // its address, hashed, once somebody has asked for it
  MemoryReservation memory_;                    // for answers that have not been taken
  MemoryReservation head_memory_;               // for a command that is not whole, but for its value
  MemoryReservation owed_memory_;               // for the answers owed themselves
  MemoryReservation queued_memory_;             // for answers behind one that has not come
  BuffereventPtr socket_;
  ReadPause read_pause_{socket_.get(), [this] { Leave(); }};
};

}  // namespace peatbend::net

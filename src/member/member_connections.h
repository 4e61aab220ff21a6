// Connections to pool members: dialled when none stands idle, one flow at a time on each, kept for the next
// flow, closed before the member would close them.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "base/event_handles.h"
#include "base/log.h"
#include "base/read_pause.h"
#include "base/socket_budget.h"
#include "base/socket_peek.h"
#include "base/tuning.h"
#include "discovery/server_list.h"
#include "member/answer_history.h"
#include "member/answer_memory.h"
#include "member/attempt.h"
#include "member/server_codec.h"
#include "protocol/request.h"

namespace peatbend::net {

class MemberConnections;

struct Member;

class MemberConnection {
 public:
  MemberConnection(MemberConnections& home, Member& member, std::unique_ptr<ServerCodec> codec);
  ~MemberConnection();

  bool Dial(const sockaddr_storage& address, int size, Duration timeout);
  // Begins the attempt at once, or as soon as the connection is up, or not at all if that is too late.
  // `request` must live as long as the attempt is carried, and is told to the server with what is left till
  // the deadline when its first byte is written.
  void Begin(Attempt& attempt, const Request& request, const AttemptLimits& limits);
  // Dialled for an attempt that is to come.
  void WaitForUse();
  // What waits for the connection to come up does not begin later.
  void BeginBy(TimePoint latest);
  // Lowers the time by which the attempt must be delivered.
  void DeliverBy(TimePoint latest);
  // The flow no longer waits: what comes for it must not be taken for another's answer, so this closes.
  void Abandon();
  // Whether it has carried no answer.
  bool unused() const { return answers_.empty(); }
  // What has come on it since the last answer.
  SocketInput unread() const;
  // After a piece that was the last for a while.
  void Resume();
  // Asks the attempt anew how its large value is delivered, unless it is passed on already.
  void ReviewValue();
  // Whether the request's last byte was handed to the socket. Queued here is not written.
  bool written() const;
  // Whether the server's system has acknowledged the last byte. What was handed to the socket may still wait
  // there, or be on its way.
  bool delivered() const;
  // Whether its first byte was.
  bool begun() const { return begun_; }
  // Bytes held of an answer that is not whole yet.
  std::size_t held() const;
  // Whether it has memory reserved for its answer, or waits for some.
  bool holds_memory() const { return answer_memory_.waits() || answer_memory_.reserved() > 0; }

 private:
  friend class MemberConnections;
  static void OnRead(bufferevent*, void* self) { static_cast<MemberConnection*>(self)->Read(); }
  static void OnWritten(bufferevent*, void* self) { static_cast<MemberConnection*>(self)->Written(); }
  static void OnEvent(bufferevent*, short what, void* self) {
    static_cast<MemberConnection*>(self)->Happened(what);
  }
  void Read();
  void Written();
  void Write();
  bool PassOn(evbuffer* last);
  bool DecideDelivery();
  bool EndedShort() const;
  void Pause();
  void ReserveHeld();
  void ReadOn();
  void Happened(short what);
  // kTakeAsLast: the connection carries nothing more. kDrop: it may be another request's.
  enum class AnswerCheck { kTake, kTakeAsLast, kDrop };
  AnswerCheck Check(const FlowReply& reply) const;
  void Remember(const FlowReply& reply);
  void DropCopy();
  bool RepeatsLargeValue();
  void Complete(FlowReply reply, bool last);
  void Finish(FlowReply reply, bool keep);
  void Break();
  void OutOfTime();
  void CheckDelivery();
  void ReportUndelivered();
  void ArmDialTimer();
  void NoteUnsolicitedBytes();

  MemberConnections& home_;
  Member& member_;
  std::unique_ptr<ServerCodec> codec_;
  Attempt* attempt_ = nullptr;
  const Request* request_ = nullptr;                      // the attempt's
  std::uint64_t key_hash_ = 0;                            // of its key
  TimePoint deadline_{};                                  // the attempt's, told to the server
  TimePoint up_by_{}, begin_by_{};                        // of a dial, and of the attempt that waits for it
  TimePoint begun_at_{}, deliver_by_ = TimePoint::max();  // of the attempt
  bool connected_ = false;
  bool begun_ = false;          // the attempt's first byte was handed to the socket
  bool dispatched_ = false;     // its last byte was, and counted
  bool passing_value_ = false;  // the answer's value is being passed on, piece by piece
  bool paused_ = false;         // and its next piece is not read for now
  bool outdated_ = false;  // the member has moved or started anew since it was dialled: ends with its attempt
  TimePoint idle_since_{};
  AnswerReservation answer_memory_;
  AnswerHistory answers_;  // that came on it
  std::list<std::unique_ptr<MemberConnection>>::iterator self_;
  Timer timer_;  // dialling: not up in time; sending: not delivered in time; idle: to be closed
  BuffereventPtr socket_;
  std::optional<ReadPause> read_pause_;  // set with the socket
};

struct Member {
  std::string name, address;
  sockaddr_storage to{};
  int to_size = 0;
  TimePoint started{};  // its process, as listed
  bool origin = false, gone = false, draining = false;
  bool unsolicited_bytes = false;  // its process has sent some that answer no request
  bool single_use = false;         // an answer may have been another request's: a connection carries one
  bool answers_differ = false;     // two of its answers for one key
  bool lengths_repeat = false;     // large values had the same length: each is the last on its connection
  std::optional<std::uint64_t> last_receipt;  // fingerprint of its last answer to a write
  bool receipts_differ = false;               // two of its answers to writes
  TimePoint begin_until = TimePoint::max();   // no attempt begins later: it drains, or has gone
  std::list<std::unique_ptr<MemberConnection>> connections;
  std::vector<MemberConnection*> idle;  // the last used last
};

class MemberConnections {
 public:
  MemberConnections(event_base* base, const Settings& settings, const Tuning::Members& tuning,
                    SocketBudget& sockets, MemoryBudget& memory, const Clock& clock, Log& log,
                    Counters& counters);

  void Learn(Scope scope, const std::vector<ServerListEntry>& entries);
  // Null if no connection can be tried.
  MemberConnection* Begin(Attempt& attempt, const Request& request, AttemptLimits limits);
  void CloseIdle(const std::string& member);
  // No request that comes later goes out on a connection that stands now.
  void Outdate(Member& member);
  void CloseAllIdle();
  // Bytes that all connections hold of answers that are not whole yet.
  std::size_t held() const;

 private:
  friend class MemberConnection;
  void Close(MemberConnection& connection);
  void Idle(MemberConnection& connection);
  Duration SettleTime(const Member& member) const;
  bool MakeRoom();
  MemberConnection* TakeIdle(Member& member, const Request& request);
  // Dials for the next request, where a connection carries one.
  void DialSpare(Member& member);
  bool Dial(MemberConnection& connection);
  MemberConnection& NewConnection(Member& member);
  void BoundBegins(Member& member);
  void DropIfGone(Member& member);

  event_base* base_;
  const Settings& settings_;
  const Tuning::Members& tuning_;
  SocketBudget& sockets_;
  AnswerMemory answer_memory_;
  const Clock& clock_;
  Log& log_;
  Counters& counters_;
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
  };
  std::unordered_map<std::string, Member, NameHash, std::equal_to<>> members_;  // members stay where they are
};

}  // namespace peatbend::net

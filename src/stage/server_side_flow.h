// One attempt at a pool member: from the module's Send to its one outcome.
#pragma once

#include <string>

#include "base/clock.h"
#include "base/event_handles.h"
#include "member/attempt.h"
#include "protocol/request.h"

namespace peatbend::net {

class MemberConnection;
class MemberConnections;
class ServerSideFlow;

class FlowOwner {
 public:
  virtual ~FlowOwner() = default;
  // Comes once for each flow, possibly from within Start or Cancel. The flow must outlive the call.
  virtual void FlowEnded(ServerSideFlow& flow, FlowReply reply) = 0;
  // A large value has begun to come. False: it is not wanted.
  virtual bool FlowBegan(ServerSideFlow& flow, std::size_t length) = 0;
  enum class Next { kMore, kWait, kNotWanted };
  virtual Next FlowPiece(ServerSideFlow& flow, evbuffer* bytes) = 0;
};

class ServerSideFlow : public Attempt {
 public:
  ServerSideFlow(FlowOwner& owner, event_base* base, const Clock& clock, RequestId id, int attempt,
                 std::string member)
      : owner_(owner),
        clock_(clock),
        id_(id),
        attempt_(attempt),
        member_(std::move(member)),
        limit_(base, [this] { OutOfTime(); }) {}
  ~ServerSideFlow() override;

  // Waits for the answer for `limit` at most. The first byte is written by `begin_by` or never.
  void Start(MemberConnections& connections, const Request& request, Duration limit,
             TimePoint begin_by = TimePoint::max());
  // Its outcome says that it never ran if it had not begun.
  void Cancel();
  // Whether it waits for its connection to come up, so that nothing of it has been written.
  bool dialling() const;
  // Whether it has a connection to its server, up or dialling.
  bool has_connection() const { return connection_ != nullptr; }

  // More of a large value may come, after Next::kWait.
  void GoOn();

  bool Began(std::size_t length) override;
  bool Piece(evbuffer* bytes, bool& gone) override;
  // From the connection, which lets go of the flow first.
  void Answered(FlowReply reply) override { End(std::move(reply)); }
  void Broken(bool written) override { EndWith(written ? Result::kReset : Result::kNoConn); }
  void TooLate() override { EndWith(Result::kNeverSent); }

  RequestId id() const { return id_; }
  int attempt() const { return attempt_; }
  const std::string& member() const override { return member_; }
  // To the answer, or its first bytes.
  Duration elapsed() const { return (began_ == TimePoint{} ? clock_.Now() : began_) - started_; }
  bool ended() const { return ended_; }

 private:
  void OutOfTime();
  bool LeaveConnection();
  void EndWith(Result result);
  void End(FlowReply reply);

  FlowOwner& owner_;
  const Clock& clock_;
  RequestId id_;
  int attempt_;
  std::string member_;
  TimePoint started_{}, began_{};
  MemberConnections* connections_ = nullptr;
  MemberConnection* connection_ = nullptr;
  bool ended_ = false;
  Timer limit_;
};

}  // namespace peatbend::net

// One attempt at a server, from the balancer's Send to its single outcome.
#pragma once

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/event_handles.h"
#include "member/attempt.h"
#include "protocol/request.h"

namespace peatbend::net {

class MemberConnection;
class MemberConnections;
class ServerAttempt;

class AttemptOwner {
 public:
  virtual ~AttemptOwner() = default;
  // Called once per attempt, possibly from within Start or Cancel. The attempt must not be destroyed by the
  // call.
  virtual void OnAttemptEnded(ServerAttempt& attempt, FlowReply reply) = 0;
  // Some of a large value has arrived, and nothing of it was passed on. Nothing: the value is not wanted.
  virtual std::optional<ValueDecision> OnLargeValue(ServerAttempt& attempt, std::size_t length) = 0;
  enum class Next { kContinue, kPause, kCancel };
  virtual Next OnStreamChunk(ServerAttempt& attempt, evbuffer* bytes) = 0;
  // Whether its answer would be written to the client at once.
  virtual bool IsAnswerNext(const ServerAttempt& attempt) const = 0;
  // The rest of the attempt's answer is not read, for want of memory for it, or is read on again.
  virtual void OnAnswerWaits(ServerAttempt& attempt, bool waits) = 0;
};

class ServerAttempt : public Attempt {
 public:
  ServerAttempt(AttemptOwner& owner, event_base* base, const Clock& clock, RequestId id, int number,
                std::string member)
      : owner_(owner),
        base_(base),
        clock_(clock),
        id_(id),
        number_(number),
        member_(std::move(member)),
        timeout_(base, [this] { OnTimeout(); }) {}
  ~ServerAttempt() override;

  // Sends the request and waits for the answer.
  void Start(MemberConnections& connections, const Request& request, const AttemptLimits& limits);
  // Ends the attempt. The outcome is kNeverSent if nothing was written yet.
  void Cancel();
  // Lowers the time by which the server must have received the last byte.
  void DeliverBy(TimePoint latest);
  // Whether it waits for its connection to be established, so that nothing has been written.
  bool dialling() const;
  // Whether it has a connection to its server, established or dialling.
  bool has_connection() const { return connection_ != nullptr; }
  // Whether its answer takes memory, or waits for it, before it is whole.
  bool holds_memory() const;

  // Continues a large value after Next::kPause.
  void ResumeStream();
  // Has it decided anew how a large value is delivered that was not passed on yet; soon, not within the call.
  void ReviewValue();

  ValueStep LargeValue(std::size_t length) override;
  bool Piece(evbuffer* bytes, bool& gone) override;
  bool AnswerIsNext() const override { return owner_.IsAnswerNext(*this); }
  void AnswerWaits(bool waits) override;
  // Called by the connection, which has released the attempt before.
  void Answered(FlowReply reply) override { End(std::move(reply)); }
  void Broken(bool written) override { EndWithResult(written ? Result::kReset : Result::kNoConn); }
  void TooLate() override { EndWithResult(Result::kNeverSent); }
  void Undelivered() override { EndWithResult(Result::kCancelled); }

  RequestId id() const { return id_; }
  // The number of the attempt within its request, from 0.
  int number() const { return number_; }
  const std::string& member() const override { return member_; }
  // Time from the start to the answer, or to the first bytes of one that is streamed, or to when this router
  // had no memory for more of it.
  Duration elapsed() const {
    return (answer_began_ == TimePoint{} ? clock_.Now() : answer_began_) - started_;
  }
  bool ended() const { return ended_; }

 private:
  void OnTimeout();
  void OnReviewDue();
  bool AbandonConnection();
  void EndWithResult(Result result);
  void End(FlowReply reply);

  AttemptOwner& owner_;
  event_base* base_;
  const Clock& clock_;
  RequestId id_;
  int number_;
  std::string member_;
  TimePoint started_{}, answer_began_{};
  MemberConnections* connections_ = nullptr;
  MemberConnection* connection_ = nullptr;
  bool ended_ = false;
  bool answer_waits_ = false;
  std::optional<Timer> review_;  // while a large value is not passed on
  Timer timeout_;
};

}  // namespace peatbend::net

// Connects the network stages to the Balancer, whose only caller it is: queues events and passes them on one
// at a time, carries out the returned actions, runs the timers and numbers the requests. All decisions are
// the Balancer's.
//
// Terms of the stages and of the Balancer's interface:
//   server list   MembershipEvent, ServerEntry      transaction       RequestEvent, RequestId
//   member        Server                            server attempt    Send, attempt, OutcomeEvent
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/counters.h"
#include "base/event_handles.h"
#include "base/log.h"
#include "member/member_connections.h"
#include "peatbend/balancer.h"
#include "protocol/request.h"
#include "stage/operation_tracker.h"
#include "stage/overload_control.h"
#include "stage/payload_check.h"
#include "stage/quota_check.h"
#include "stage/transaction.h"

namespace peatbend::net {

class BalancerDriver : public AttemptOwner {
 public:
  BalancerDriver(event_base* base, const Settings& settings, std::uint64_t seed,
                 MemberConnections& connections, std::function<void()> watch_discovery, const Clock& clock,
                 Log& log, Counters& counters);

  // Takes on a request, whose command has `position` on the client's connection. Returns nothing, and takes
  // nothing, if a request with the same client-assigned id is open.
  std::optional<RequestId> Admit(std::unique_ptr<Request> request, AnswerSink& client,
                                 std::uint64_t position);
  void ClientLeft(RequestId id);
  void ServerListChanged(Scope scope, std::vector<ServerListEntry> entries);
  void OnAttemptEnded(ServerAttempt& attempt, FlowReply reply) override;
  std::optional<ValueDecision> OnLargeValue(ServerAttempt& attempt, std::size_t length) override;
  Next OnStreamChunk(ServerAttempt& attempt, evbuffer* bytes) override;
  bool IsAnswerNext(const ServerAttempt& attempt) const override;
  void OnAnswerWaits(ServerAttempt& attempt, bool waits) override;
  // Tracks new requests with `tracker`. Null: tracks none, and no longer those that are open.
  void SetOperationTracker(OperationTracker* tracker);
  // The checks of new requests; null: none. The payload check comes first. Overload control, if set, consults
  // the quota check.
  void SetQuotaCheck(QuotaCheck* check) { quota_check_ = check; }
  void SetPayloadCheck(PayloadCheck* check) { payload_check_ = check; }
  void SetOverloadControl(OverloadControl* control) { overload_control_ = control; }
  // The fleet's directive on an ejected member.
  void HandleTrial(TrialEvent trial) { Enqueue(std::move(trial)); }
  // Whether discovery has ever listed the member as the origin.
  bool IsOrigin(std::string_view member) const { return origins_.contains(member); }
  // Whether Request::client must be set.
  bool needs_client_hash() const { return quota_check_ != nullptr; }
  // The replies of the operation tracker: send the held attempt, which its server must have received whole at
  // most `deliver_within` after now, or end the request with this outcome.
  void PermitSend(RequestId id, Duration deliver_within = Duration::max());
  void CompleteRequest(RequestId id, OperationOutcome outcome, std::string value, Duration retry_after);
  // The client has accepted the pending part of a streamed value.
  void ResumeStream(RequestId id);
  // The client has accepted all before a large value that was not passed on yet.
  void ReviewValue(RequestId id);

  std::size_t transactions() const { return transactions_.size(); }
  std::size_t open_requests() const { return open_ids_.size(); }  // admitted and not yet answered
  // Open requests without a connection to a server, each of which may still need one.
  std::size_t waiting_for_server() const;
  const Balancer& balancer() const { return balancer_; }
  // Calls `then` once, when the first server list has been received.
  void OnReady(std::function<void()> then) { on_ready_ = std::move(then); }

 private:
  struct ServerListUpdate {
    Scope scope;
    std::vector<ServerEntry> entries;
  };
  struct RequestAdmitted {
    RequestId id;
  };
  struct ClientGone {
    RequestId id;
  };
  struct AttemptEnded {
    RequestId id;
    int attempt;
    std::string member;
    FlowReply reply;
    Duration elapsed;
  };
  struct StreamStarted {
    RequestId id;
    int attempt;
  };
  struct AnswerWaitChanged {
    RequestId id;
    int attempt;
    std::string member;
    bool waits;
  };
  struct TimerDue {
    TimerId mark;
  };
  struct SendPermitted {
    RequestId id;
    TimePoint deliver_by;
  };
  struct RequestCompleted {
    RequestId id;
    OperationOutcome outcome;
    std::string value;
    Duration retry_after;
  };
  using QueuedEvent =
      std::variant<ServerListUpdate, RequestAdmitted, ClientGone, StreamStarted, AnswerWaitChanged,
                   AttemptEnded, TimerDue, SendPermitted, RequestCompleted, TrialEvent>;

  // A request that has ended may still arrive at a server for so long: less than the 0.1 s that the operators
  // allow, and more than the 40 ms by which an acknowledgement may be delayed.
  static constexpr std::chrono::milliseconds kDeliveryGrace{80};

  void Enqueue(QueuedEvent event);
  void ProcessQueue();
  void Handle(ServerListUpdate& update);
  void Handle(RequestAdmitted& admitted);
  void Handle(ClientGone& gone);
  void Handle(StreamStarted& started);
  void Handle(AnswerWaitChanged& changed);
  void Handle(AttemptEnded& ended);
  void Handle(TimerDue& due);
  void Handle(SendPermitted& permitted);
  void Handle(RequestCompleted& completed);
  void Handle(TrialEvent& trial);
  // Passes the event to the balancer and carries out its actions.
  void Dispatch(const Event& event);
  void Execute(const Send& send);
  void Execute(const Reject& reject);
  void Execute(const Fail& fail);
  void Execute(const Cancel& cancel);
  void Execute(const SetTimer& timer);
  void Execute(const Subscribe&);
  void Execute(const CloseIdleConnections& release);
  void Execute(const peatbend::Log& line);
  void Execute(const ReportTrial& trial);
  // The time until the transaction's deadline bounds `limits.timeout`; zero: only that.
  void StartAttempt(Transaction& transaction, int attempt, AttemptLimits limits);
  // Reports to the balancer that the attempt was never sent.
  void ReportNeverSent(RequestId id, int attempt, const std::string& member);
  // Gives up the attempt that waits for a send permit, if any.
  void DropHeldAttempt(Transaction& transaction);
  // Ends the transaction with a rejection or failure of the balancer's, at once or after it has been
  // recorded.
  void Finish(Transaction& transaction, OperationOutcome outcome, Duration retry_after);
  void SendFinalAnswer(Transaction& transaction, OperationOutcome outcome, Duration retry_after);
  Transaction* Find(RequestId id);
  ServerAttempt* StreamingAttempt(Transaction& transaction);
  // Reports the end of the transaction to overload control.
  void ReportEnd(Transaction& transaction);
  // Releases what a finished transaction no longer needs, and the transaction after its last attempt.
  void EraseIfFinished(RequestId id);
  void ArmTimer();
  void EnqueueDueTimers();

  event_base* base_;
  Settings settings_;
  Balancer balancer_;
  MemberConnections& connections_;
  std::function<void()> watch_discovery_;
  const Clock& clock_;
  Log& log_;
  Counters& counters_;
  OperationTracker* operation_tracker_ = nullptr;
  QuotaCheck* quota_check_ = nullptr;
  OverloadControl* overload_control_ = nullptr;
  PayloadCheck* payload_check_ = nullptr;
  std::set<std::string, std::less<>> origins_;  // names of all origins ever listed
  bool ready_ = false;
  std::function<void()> on_ready_;
  std::uint32_t last_id_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<Transaction>> transactions_;
  // Client-assigned ids of unanswered requests; the keys point into the requests of transactions_.
  std::unordered_map<std::string_view, RequestId> open_ids_;
  std::deque<QueuedEvent> queue_;
  std::vector<Action> actions_;
  using TimerEntry = std::pair<TimePoint, TimerId>;
  std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>> timers_;
  Timer process_queue_, timer_;
};

}  // namespace peatbend::net

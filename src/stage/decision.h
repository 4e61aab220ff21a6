// The only caller of the module. Feeds it events one after another, carries out its actions, keeps its timers
// and numbers its requests. It decides nothing.
//
// The shop's words here and the module's there:
//   server list   MembershipEvent, ServerEntry      transaction       RequestEvent, RequestId
//   pool member   Server                            server-side flow  Send, attempt, OutcomeEvent
//   reject        Reject
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
#include "stage/keeping.h"
#include "stage/publishing.h"
#include "stage/rationing.h"
#include "stage/transaction.h"
#include "stage/watching.h"

namespace peatbend::net {

class Decision : public FlowOwner {
 public:
  Decision(event_base* base, const Settings& settings, std::uint64_t seed, MemberConnections& connections,
           std::function<void()> watch_discovery, const Clock& clock, Log& log, Counters& counters);

  // Nothing where a request under the same id is open.
  std::optional<RequestId> Take(std::unique_ptr<Request> request, AnswerSink& client, std::uint64_t place);
  void ClientLeft(RequestId id);
  void ServerListChanged(Scope scope, std::vector<ServerListEntry> entries);
  void FlowEnded(ServerSideFlow& flow, FlowReply reply) override;
  bool FlowBegan(ServerSideFlow& flow, std::size_t length) override;
  Next FlowPiece(ServerSideFlow& flow, evbuffer* bytes) override;
  // From now on these requests' records are asked; null: no more, also of what is open.
  void Keep(Keeping* keeping);
  // From now on it judges each request that is taken; null: none.
  void Ration(Rationing* rationing) { rationing_ = rationing; }
  // From now on it judges each request that is taken, before the other two; null: none.
  void Publish(Publishing* publishing) { publishing_ = publishing; }
  // From now on it judges each request that is taken, asking Rationing, and is told of ends; null: none.
  void Watch(Watching* watching) { watching_ = watching; }
  // What the fleet says of an ejected member.
  void Say(TrialEvent word) { Post(std::move(word)); }
  // Whether that member is the origin, as discovery last said.
  bool IsOrigin(std::string_view member) const { return origins_.contains(member); }
  bool asks_for_clients() const { return rationing_ != nullptr; }
  void MaySend(RequestId id);
  void Close(RequestId id, OperationOutcome end, std::string value, Duration come_back);
  // The client has taken what waited for it of a large value.
  void GoOn(RequestId id);

  std::size_t transactions() const { return transactions_.size(); }
  std::size_t open() const { return open_ids_.size(); }  // taken and not yet answered
  // Requests that are open and have no connection to a server: each may need one yet.
  std::size_t waiting_for_server() const;
  const Balancer& balancer() const { return balancer_; }
  // Called once, when a server list is held.
  void OnReady(std::function<void()> then) { on_ready_ = std::move(then); }

 private:
  struct News {
    Scope scope;
    std::vector<ServerEntry> entries;
  };
  struct Taken {
    RequestId id;
  };
  struct Left {
    RequestId id;
  };
  struct Ended {
    RequestId id;
    int attempt;
    std::string member;
    FlowReply reply;
    Duration elapsed;
  };
  struct Began {
    RequestId id;
    int attempt;
  };
  struct Due {
    TimerId mark;
  };
  struct Permit {
    RequestId id;
  };
  struct Closing {
    RequestId id;
    OperationOutcome end;
    std::string value;
    Duration come_back;
  };
  using Pending = std::variant<News, Taken, Left, Began, Ended, Due, Permit, Closing, TrialEvent>;

  void Post(Pending event);
  void Drain();
  void On(News& news);
  void On(Taken& taken);
  void On(Left& left);
  void On(Began& began);
  void On(Ended& ended);
  void On(Due& due);
  void On(Permit& permit);
  void On(Closing& closing);
  void On(TrialEvent& word);
  void Ask(const Event& event);
  void Do(const Send& send);
  void Do(const Reject& reject);
  void Do(const Fail& fail);
  void Do(const Cancel& cancel);
  void Do(const SetTimer& timer);
  void Do(const Subscribe&);
  void Do(const CloseIdleConnections& release);
  void Do(const peatbend::Log& line);
  void Do(const ReportTrial& trial);
  void Start(Transaction& transaction, int attempt, Duration give_up_after, TimePoint begin_by);
  // The module is told so.
  void NeverSent(RequestId id, int attempt, const std::string& member);
  // Its held attempt, if any, is not sent.
  void NotSent(Transaction& transaction);
  // The end is the module's, a reject or a failure: told at once, or once its record stands.
  void End(Transaction& transaction, OperationOutcome end, Duration come_back);
  void Tell(Transaction& transaction, OperationOutcome end, Duration come_back);
  Transaction* Find(RequestId id);
  ServerSideFlow* StreamOf(Transaction& transaction);
  void TellEnd(Transaction& transaction);
  void ForgetIfOver(RequestId id);
  void ArmTimer();
  void TimersDue();

  event_base* base_;
  Settings settings_;
  Balancer balancer_;
  MemberConnections& connections_;
  std::function<void()> watch_discovery_;
  const Clock& clock_;
  Log& log_;
  Counters& counters_;
  Keeping* keeping_ = nullptr;
  Rationing* rationing_ = nullptr;
  Watching* watching_ = nullptr;
  Publishing* publishing_ = nullptr;
  std::set<std::string, std::less<>> origins_;  // that were ever named
  bool ready_ = false;
  std::function<void()> on_ready_;
  std::uint32_t last_id_ = 0;
  std::unordered_map<RequestId, std::unique_ptr<Transaction>> transactions_;
  // Ids of the clients' that wait for an answer; the views are into the transactions' requests.
  std::unordered_map<std::string_view, RequestId> open_ids_;
  std::deque<Pending> pending_;
  std::vector<Action> actions_;
  using TimerEntry = std::pair<TimePoint, TimerId>;
  std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>> timers_;
  Timer drain_, timer_;
};

}  // namespace peatbend::net

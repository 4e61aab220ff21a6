#include "stage/balancer_driver.h"

#include <xxhash.h>

#include <algorithm>

#include "base/text.h"

namespace peatbend::net {
namespace {

// The balancer's keys are 64-bit numbers: 16 hex digits are taken as they are, any other text is hashed with
// XXH3, which gives the same value on every machine and in every version of the library.
Key KeyOf(std::string_view text) {
  std::uint64_t value = 0;
  if (text.size() == 16 && ParseNumber(text, value, 16)) return Key{value};
  return Key{XXH3_64bits(text.data(), text.size())};
}

bool MayHaveRun(Result result) {
  return result != Result::kMiss && result != Result::kFull && result != Result::kNoConn &&
         result != Result::kNeverSent;
}

Settings WithSubscription(Settings settings) {
  settings.must_subscribe = true;  // over sockets, discovery sends updates only to its watchers
  return settings;
}

}  // namespace

BalancerDriver::BalancerDriver(event_base* base, const Settings& settings, std::uint64_t seed,
                               MemberConnections& connections, std::function<void()> watch_discovery,
                               const Clock& clock, Log& log, Counters& counters)
    : base_(base),
      settings_(WithSubscription(settings)),
      balancer_(settings_, seed),
      connections_(connections),
      watch_discovery_(std::move(watch_discovery)),
      clock_(clock),
      log_(log),
      counters_(counters),
      process_queue_(base, [this] { ProcessQueue(); }),
      timer_(base, [this] { EnqueueDueTimers(); }) {
  counters_.classes.resize(settings_.classes.size());
}

// ---- Queueing of events ---------------------------------------------------------------------------

std::optional<RequestId> BalancerDriver::Admit(std::unique_ptr<Request> request, AnswerSink& client,
                                               std::uint64_t position) {
  if (open_ids_.contains(request->id)) return std::nullopt;
  do {
    ++last_id_;
  } while (transactions_.contains(RequestId{last_id_}));
  RequestId id{last_id_};
  open_ids_[request->id] = id;
  TimePoint deadline = clock_.Now() + request->remaining;
  transactions_[id] =
      std::make_unique<Transaction>(id, std::move(request), client, position, deadline, counters_);
  ++counters_.requests;
  Enqueue(RequestAdmitted{id});
  return id;
}

void BalancerDriver::ClientLeft(RequestId id) {
  Transaction* transaction = Find(id);
  if (transaction == nullptr || transaction->finished()) return;
  transaction->ClientLeft();
  Enqueue(ClientGone{id});
}

void BalancerDriver::ServerListChanged(Scope scope, std::vector<ServerListEntry> entries) {
  connections_.Learn(scope, entries);
  ServerListUpdate update{scope, {}};
  for (ServerListEntry& entry : entries) update.entries.push_back(std::move(entry.entry));
  Enqueue(std::move(update));
}

std::optional<ValueDecision> BalancerDriver::OnLargeValue(ServerAttempt& attempt, std::size_t length) {
  Transaction* transaction = Find(attempt.id());
  if (transaction == nullptr || transaction->finished() || transaction->active_stream() >= 0)
    return std::nullopt;
  ValueDecision decision = DecideDelivery(transaction->FactsOfValue(clock_.Now()));
  if (decision.delivery != ValueDelivery::kPassOn) {
    transaction->HoldValue(length);
    return decision;
  }
  transaction->BeginStream(attempt.number(), length);
  Enqueue(StreamStarted{attempt.id(), attempt.number()});
  return decision;
}

AttemptOwner::Next BalancerDriver::OnStreamChunk(ServerAttempt& attempt, evbuffer* bytes) {
  Transaction* transaction = Find(attempt.id());
  if (transaction == nullptr || transaction->active_stream() != attempt.number()) return Next::kCancel;
  return transaction->AppendChunk(bytes) ? Next::kContinue : Next::kPause;
}

bool BalancerDriver::IsAnswerNext(const ServerAttempt& attempt) const {
  auto at = transactions_.find(attempt.id());
  return at != transactions_.end() && at->second->is_next();
}

void BalancerDriver::OnAnswerWaits(ServerAttempt& attempt, bool waits) {
  if (waits) ++counters_.answer_waits;
  Enqueue(AnswerWaitChanged{attempt.id(), attempt.number(), attempt.member(), waits});
}

void BalancerDriver::ResumeStream(RequestId id) {
  Transaction* transaction = Find(id);
  if (transaction == nullptr) return;
  if (ServerAttempt* attempt = StreamingAttempt(*transaction)) attempt->ResumeStream();
}

void BalancerDriver::ReviewValue(RequestId id) {
  Transaction* transaction = Find(id);
  if (transaction == nullptr) return;
  for (auto& attempt : transaction->attempts()) {
    if (attempt) attempt->ReviewValue();
  }
}

void BalancerDriver::SetOperationTracker(OperationTracker* tracker) {
  operation_tracker_ = tracker;
  if (operation_tracker_ != nullptr) return;
  for (auto& [id, transaction] : transactions_) transaction->tracked = false;
}

void BalancerDriver::PermitSend(RequestId id, Duration deliver_within) {
  bool bounded = deliver_within != Duration::max();
  Enqueue(SendPermitted{id, bounded ? clock_.Now() + deliver_within : TimePoint::max()});
}

void BalancerDriver::CompleteRequest(RequestId id, OperationOutcome outcome, std::string value,
                                     Duration retry_after) {
  Enqueue(RequestCompleted{id, outcome, std::move(value), retry_after});
}

void BalancerDriver::OnAttemptEnded(ServerAttempt& attempt, FlowReply reply) {
  ++counters_.outcomes[static_cast<std::size_t>(reply.result)];
  Enqueue(
      AttemptEnded{attempt.id(), attempt.number(), attempt.member(), std::move(reply), attempt.elapsed()});
}

// Events are processed from the event loop only, so that the balancer is never called while one of its own
// actions is carried out.
void BalancerDriver::Enqueue(QueuedEvent event) {
  queue_.push_back(std::move(event));
  if (queue_.size() == 1) process_queue_.Activate();
}

void BalancerDriver::ProcessQueue() {
  while (!queue_.empty()) {
    std::visit([this](auto& event) { Handle(event); }, queue_.front());
    queue_.pop_front();
  }
  ArmTimer();
}

// ---- Handling of events ---------------------------------------------------------------------------

void BalancerDriver::Dispatch(const Event& event) {
  actions_.clear();
  balancer_.Handle(clock_.Now(), event, actions_);
  for (const Action& action : actions_) {
    std::visit([this](const auto& one) { Execute(one); }, action);
  }
}

void BalancerDriver::Handle(ServerListUpdate& update) {
  bool first = update.scope != Scope::kFailed && !update.entries.empty() && !std::exchange(ready_, true);
  if (first && on_ready_) on_ready_();
  for (const ServerEntry& entry : update.entries) {
    if (settings_.cache_aside && entry.kind == settings_.origin_kind) origins_.insert(entry.id.name);
  }
  if (overload_control_ != nullptr) overload_control_->ServerListChanged(update.scope, update.entries);
  Dispatch(MembershipEvent{update.scope, update.entries});
}

void BalancerDriver::Handle(RequestAdmitted& admitted) {
  Transaction* transaction = Find(admitted.id);
  const Request& request = transaction->request();
  RequestEvent event;
  event.id = admitted.id;
  event.key = KeyOf(request.key);
  event.tenant = request.tenant;
  event.cls = request.cls;
  event.write = request.write;
  event.retry = request.retry;
  event.no_memory = request.no_memory;
  if (request.no_memory) event.retry_after = kRoomRetryAfter;
  event.remaining = std::max(Duration::zero(), transaction->deadline() - clock_.Now());
  if (payload_check_ != nullptr) payload_check_->Check(request, event);
  if (event.no_memory || event.quota_verdict == QuotaVerdict::kReject) {
    // Rejected for want of memory or for its payload: neither counts as load nor uses up quota.
  } else if (overload_control_ != nullptr) {
    transaction->work = overload_control_->Admit(request, quota_check_, event);
  } else if (quota_check_ != nullptr) {
    quota_check_->Check(request, event);
  }
  // Requests that are over quota or shed are rejected before anything of them is recorded.
  bool recorded = event.quota_verdict != QuotaVerdict::kReject && !event.no_memory;
  if (recorded && operation_tracker_ != nullptr && operation_tracker_->Tracks(request)) {
    transaction->tracked = true;
    operation_tracker_->StartTracking(admitted.id, request, event.remaining);
  }
  Dispatch(event);
  EraseIfFinished(admitted.id);
}

void BalancerDriver::Handle(ClientGone& gone) {
  Dispatch(ClientGoneEvent{gone.id});
  Transaction* transaction = Find(gone.id);
  if (transaction != nullptr &&
      transaction->abandoned_stream() >= 0) {  // nobody receives the rest of the value
    auto& attempt = transaction->attempts()[static_cast<std::size_t>(transaction->abandoned_stream())];
    if (attempt) attempt->Cancel();
  }
  if (transaction != nullptr && transaction->tracked) operation_tracker_->StopTracking(gone.id);
  EraseIfFinished(gone.id);
}

void BalancerDriver::Handle(StreamStarted& started) {
  Dispatch(StreamStartEvent{started.id, started.attempt});
  EraseIfFinished(started.id);
}

void BalancerDriver::Handle(AnswerWaitChanged& changed) {
  Dispatch(AnswerWaitEvent{changed.id, changed.attempt, changed.member, changed.waits});
  EraseIfFinished(changed.id);
}

void BalancerDriver::Handle(AttemptEnded& ended) {
  Transaction* transaction = Find(ended.id);
  bool good = ended.reply.result == Result::kGood;
  ended.reply.memory = {};  // the session that serves the value books it
  if (transaction != nullptr && transaction->active_stream() == ended.attempt) {
    transaction->EndStream(good);  // a streamed value is not retained, so no outcome is recorded
    if (transaction->tracked) {
      operation_tracker_->StopTracking(ended.id);
      operation_tracker_->OnAttemptEnded(ended.id, true);
    }
  } else if (transaction != nullptr && transaction->tracked && good) {
    transaction->ending = true;
    operation_tracker_->RecordOutcome(ended.id, OperationOutcome::kValue,
                                      std::string(Contents(ended.reply.value.get())));
  } else if (transaction != nullptr && good) {
    transaction->Serve(ended.reply.value.get());
  } else if (transaction != nullptr && transaction->tracked) {
    operation_tracker_->OnAttemptEnded(ended.id, MayHaveRun(ended.reply.result));
  }
  OutcomeEvent event;
  event.id = ended.id;
  event.attempt = ended.attempt;
  event.server = ended.member;
  event.result = ended.reply.result;
  event.cache_status = ended.reply.note;
  event.elapsed = ended.elapsed;
  event.done = transaction == nullptr || transaction->finished() || transaction->ending;
  event.load = ended.reply.load;
  if (overload_control_ != nullptr && good && transaction != nullptr)
    overload_control_->OnAnswer(event.server, transaction->request().cls, event.elapsed, event.load);
  if (transaction != nullptr) {
    --transaction->unreported_attempts;
    transaction->attempts()[static_cast<std::size_t>(ended.attempt)].reset();
  }
  Dispatch(event);
  EraseIfFinished(ended.id);
}

void BalancerDriver::Handle(SendPermitted& permitted) {
  Transaction* transaction = Find(permitted.id);
  bool wanted = transaction != nullptr && transaction->held_attempt >= 0;
  if (wanted && !transaction->closed() && transaction->deadline() > clock_.Now()) {
    int attempt = std::exchange(transaction->held_attempt, -1);
    AttemptLimits limits = transaction->held_limits;
    limits.deliver_by = std::min(limits.deliver_by, permitted.deliver_by);
    return StartAttempt(*transaction, attempt, limits);
  }
  if (operation_tracker_ != nullptr) operation_tracker_->OnAttemptEnded(permitted.id, false);
  if (wanted) DropHeldAttempt(*transaction);
}

void BalancerDriver::Handle(RequestCompleted& completed) {
  Transaction* transaction = Find(completed.id);
  if (transaction == nullptr) return;
  transaction->tracked = false;
  DropHeldAttempt(*transaction);
  if (completed.outcome != OperationOutcome::kValue)
    return SendFinalAnswer(*transaction, completed.outcome,
                           std::max(completed.retry_after, transaction->retry_after));
  BufferPtr value(evbuffer_new());
  Append(value.get(), completed.value);
  transaction->Serve(value.get());
  EraseIfFinished(completed.id);
}

void BalancerDriver::Handle(TrialEvent& trial) { Dispatch(trial); }

void BalancerDriver::Handle(TimerDue& due) { Dispatch(TimerEvent{due.mark}); }

// ---- Bookkeeping ----------------------------------------------------------------------------------

Transaction* BalancerDriver::Find(RequestId id) {
  auto at = transactions_.find(id);
  return at == transactions_.end() ? nullptr : at->second.get();
}

std::size_t BalancerDriver::waiting_for_server() const {
  auto waits = [](const auto& entry) { return entry.second->waits_for_server(); };
  return static_cast<std::size_t>(std::ranges::count_if(transactions_, waits));
}

ServerAttempt* BalancerDriver::StreamingAttempt(Transaction& transaction) {
  int attempt = transaction.active_stream();
  return attempt < 0 ? nullptr : transaction.attempts()[static_cast<std::size_t>(attempt)].get();
}

void BalancerDriver::ReportEnd(Transaction& transaction) {
  using enum Transaction::Outcome;
  std::uint64_t work = std::exchange(transaction.work, 0);
  if (overload_control_ == nullptr) return;
  auto outcome = transaction.outcome() == kServed     ? OverloadControl::Outcome::kServed
                 : transaction.outcome() == kRejected ? OverloadControl::Outcome::kRejected
                                                      : OverloadControl::Outcome::kLost;
  const Request& request = transaction.request();
  overload_control_->OnRequestEnded(work, request.cls, outcome,
                                    clock_.Now() - (transaction.deadline() - request.remaining));
}

void BalancerDriver::EraseIfFinished(RequestId id) {
  Transaction* transaction = Find(id);
  if (transaction == nullptr) return;
  if (transaction->closed()) {
    transaction->EndAttempts(clock_.Now() + kDeliveryGrace);
    DropHeldAttempt(*transaction);  // the tracker does not reply about an attempt whose client has left
  }
  if (!transaction->finished()) return;
  if (transaction->work > 0) ReportEnd(*transaction);
  auto open = open_ids_.find(transaction->request().id);
  if (open != open_ids_.end() && open->second == id) open_ids_.erase(open);
  if (transaction->unreported_attempts == 0) transactions_.erase(id);
}

void BalancerDriver::ArmTimer() {
  if (!timers_.empty()) timer_.Set(timers_.top().first - clock_.Now());
}

void BalancerDriver::EnqueueDueTimers() {
  TimePoint now = clock_.Now();
  while (!timers_.empty() && timers_.top().first <= now) {
    Enqueue(TimerDue{timers_.top().second});
    timers_.pop();
  }
  ArmTimer();
}

}  // namespace peatbend::net

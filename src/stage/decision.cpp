#include "stage/decision.h"

#include <xxhash.h>

#include <algorithm>

#include "base/text.h"

namespace peatbend::net {
namespace {

// Keys are 16 hex digits, as the module knows them; any other text is hashed (XXH3, the
// same on every machine and in every version of the library).
Key KeyOf(std::string_view text) {
  std::uint64_t value = 0;
  if (text.size() == 16 && ParseNumber(text, value, 16)) return Key{value};
  return Key{XXH3_64bits(text.data(), text.size())};
}

bool MayHaveRun(Result result) {
  return result != Result::kMiss && result != Result::kFull && result != Result::kNoConn &&
         result != Result::kNeverSent;
}

Settings OnSockets(Settings settings) {
  settings.must_subscribe = true;  // discovery says nothing here unless it is asked
  return settings;
}

}  // namespace

Decision::Decision(event_base* base, const Settings& settings, std::uint64_t seed,
                   MemberConnections& connections, std::function<void()> watch_discovery, const Clock& clock,
                   Log& log, Counters& counters)
    : base_(base),
      settings_(OnSockets(settings)),
      balancer_(settings_, seed),
      connections_(connections),
      watch_discovery_(std::move(watch_discovery)),
      clock_(clock),
      log_(log),
      counters_(counters),
      drain_(base, [this] { Drain(); }),
      timer_(base, [this] { TimersDue(); }) {
  counters_.classes.resize(settings_.classes.size());
}

// ---- What happens, queued -------------------------------------------------------------------------

std::optional<RequestId> Decision::Take(std::unique_ptr<Request> request, AnswerSink& client,
                                        std::uint64_t place) {
  if (open_ids_.contains(request->id)) return std::nullopt;
  do {
    ++last_id_;
  } while (transactions_.contains(RequestId{last_id_}));
  RequestId id{last_id_};
  open_ids_[request->id] = id;
  TimePoint deadline = clock_.Now() + request->remaining;
  transactions_[id] =
      std::make_unique<Transaction>(id, std::move(request), client, place, deadline, counters_);
  ++counters_.requests;
  Post(Taken{id});
  return id;
}

void Decision::ClientLeft(RequestId id) {
  Transaction* transaction = Find(id);
  if (transaction == nullptr || transaction->finished()) return;
  transaction->ClientLeft();
  Post(Left{id});
}

void Decision::ServerListChanged(Scope scope, std::vector<ServerListEntry> entries) {
  connections_.Learn(scope, entries);
  News news{scope, {}};
  for (ServerListEntry& entry : entries) news.entries.push_back(std::move(entry.entry));
  Post(std::move(news));
}

bool Decision::FlowBegan(ServerSideFlow& flow, std::size_t length) {
  Transaction* transaction = Find(flow.id());
  if (transaction == nullptr || !transaction->Begin(flow.attempt(), length)) return false;
  Post(Began{flow.id(), flow.attempt()});
  return true;
}

FlowOwner::Next Decision::FlowPiece(ServerSideFlow& flow, evbuffer* bytes) {
  Transaction* transaction = Find(flow.id());
  if (transaction == nullptr || transaction->streams() != flow.attempt()) return Next::kNotWanted;
  return transaction->Piece(bytes) ? Next::kMore : Next::kWait;
}

void Decision::GoOn(RequestId id) {
  Transaction* transaction = Find(id);
  if (transaction == nullptr) return;
  if (ServerSideFlow* flow = StreamOf(*transaction)) flow->GoOn();
}

void Decision::Keep(Keeping* keeping) {
  keeping_ = keeping;
  if (keeping_ != nullptr) return;
  for (auto& [id, transaction] : transactions_) transaction->tracked = false;
}

void Decision::MaySend(RequestId id) { Post(Permit{id}); }

void Decision::Close(RequestId id, OperationOutcome end, std::string value, Duration come_back) {
  Post(Closing{id, end, std::move(value), come_back});
}

void Decision::FlowEnded(ServerSideFlow& flow, FlowReply reply) {
  ++counters_.outcomes[static_cast<std::size_t>(reply.result)];
  Post(Ended{flow.id(), flow.attempt(), flow.member(), std::move(reply), flow.elapsed()});
}

// The module is called from the loop alone, never from within one of its own actions.
void Decision::Post(Pending event) {
  pending_.push_back(std::move(event));
  if (pending_.size() == 1) drain_.SetNow();
}

void Decision::Drain() {
  while (!pending_.empty()) {
    std::visit([this](auto& event) { On(event); }, pending_.front());
    pending_.pop_front();
  }
  ArmTimer();
}

// ---- Events, told to the module -------------------------------------------------------------------

void Decision::Ask(const Event& event) {
  actions_.clear();
  balancer_.Handle(clock_.Now(), event, actions_);
  for (const Action& action : actions_) {
    std::visit([this](const auto& one) { Do(one); }, action);
  }
}

void Decision::On(News& news) {
  bool first = news.scope != Scope::kFailed && !news.entries.empty() && !std::exchange(ready_, true);
  if (first && on_ready_) on_ready_();
  for (const ServerEntry& entry : news.entries) {
    if (settings_.cache_aside && entry.kind == settings_.origin_kind) origins_.insert(entry.id.name);
  }
  if (watching_ != nullptr) watching_->ServerListChanged(news.scope, news.entries);
  Ask(MembershipEvent{news.scope, news.entries});
}

void Decision::On(Taken& taken) {
  Transaction* transaction = Find(taken.id);
  const Request& request = transaction->request();
  RequestEvent event;
  event.id = taken.id;
  event.key = KeyOf(request.key);
  event.tenant = request.tenant;
  event.cls = request.cls;
  event.write = request.write;
  event.retry = request.retry;
  event.remaining = std::max(Duration::zero(), transaction->deadline() - clock_.Now());
  if (publishing_ != nullptr) publishing_->Judge(request, event);
  if (event.quota_verdict == QuotaVerdict::kReject) {
    // Its payload may not pass: it is no load that came, and takes nothing of a ration.
  } else if (watching_ != nullptr) {
    transaction->work = watching_->Judge(request, rationing_, event);
  } else if (rationing_ != nullptr) {
    rationing_->Judge(request, event);
  }
  // What is over its ration, or shed, is rejected before anything of it is recorded.
  bool recorded = event.quota_verdict != QuotaVerdict::kReject;
  if (recorded && keeping_ != nullptr && keeping_->Tracks(request)) {
    transaction->tracked = true;
    keeping_->Opened(taken.id, request, event.remaining);
  }
  Ask(event);
  ForgetIfOver(taken.id);
}

void Decision::On(Left& left) {
  Ask(ClientGoneEvent{left.id});
  Transaction* transaction = Find(left.id);
  if (transaction != nullptr && transaction->left_at() >= 0) {  // nobody takes the rest of the value
    auto& flow = transaction->flows()[static_cast<std::size_t>(transaction->left_at())];
    if (flow) flow->Cancel();
  }
  if (transaction != nullptr && transaction->tracked) keeping_->Left(left.id);
  ForgetIfOver(left.id);
}

void Decision::On(Began& began) {
  Ask(StreamStartEvent{began.id, began.attempt});
  ForgetIfOver(began.id);
}

void Decision::On(Ended& ended) {
  Transaction* transaction = Find(ended.id);
  bool good = ended.reply.result == Result::kGood;
  if (transaction != nullptr && transaction->streams() == ended.attempt) {
    transaction->EndValue(good);  // of a value that was passed on as it came nothing is kept
    if (transaction->tracked) {
      keeping_->Left(ended.id);
      keeping_->FlowEnded(ended.id, true);
    }
  } else if (transaction != nullptr && transaction->tracked && good) {
    transaction->ending = true;
    keeping_->Finish(ended.id, OperationOutcome::kValue, std::string(Contents(ended.reply.value.get())));
  } else if (transaction != nullptr && good) {
    transaction->Serve(ended.reply.value.get());
  } else if (transaction != nullptr && transaction->tracked) {
    keeping_->FlowEnded(ended.id, MayHaveRun(ended.reply.result));
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
  if (watching_ != nullptr && good && transaction != nullptr)
    watching_->Answered(event.server, transaction->request().cls, event.elapsed, event.load);
  if (transaction != nullptr) {
    --transaction->open_flows;
    transaction->flows()[static_cast<std::size_t>(ended.attempt)].reset();
  }
  Ask(event);
  ForgetIfOver(ended.id);
}

void Decision::On(Permit& permit) {
  Transaction* transaction = Find(permit.id);
  bool wanted = transaction != nullptr && transaction->held >= 0;
  if (wanted && !transaction->closed() && transaction->deadline() > clock_.Now()) {
    int attempt = std::exchange(transaction->held, -1);
    return Start(*transaction, attempt, transaction->held_limit, transaction->held_begin_by);
  }
  if (keeping_ != nullptr) keeping_->FlowEnded(permit.id, false);
  if (wanted) NotSent(*transaction);
}

void Decision::On(Closing& closing) {
  Transaction* transaction = Find(closing.id);
  if (transaction == nullptr) return;
  transaction->tracked = false;
  NotSent(*transaction);
  if (closing.end != OperationOutcome::kValue)
    return Tell(*transaction, closing.end, std::max(closing.come_back, transaction->come_back));
  BufferPtr value(evbuffer_new());
  Append(value.get(), closing.value);
  transaction->Serve(value.get());
  ForgetIfOver(closing.id);
}

void Decision::On(TrialEvent& word) { Ask(word); }

void Decision::On(Due& due) { Ask(TimerEvent{due.mark}); }

// ---- Upkeep ---------------------------------------------------------------------------------------

Transaction* Decision::Find(RequestId id) {
  auto at = transactions_.find(id);
  return at == transactions_.end() ? nullptr : at->second.get();
}

std::size_t Decision::waiting_for_server() const {
  auto waits = [](const auto& entry) { return entry.second->waits_for_server(); };
  return static_cast<std::size_t>(std::ranges::count_if(transactions_, waits));
}

ServerSideFlow* Decision::StreamOf(Transaction& transaction) {
  int attempt = transaction.streams();
  return attempt < 0 ? nullptr : transaction.flows()[static_cast<std::size_t>(attempt)].get();
}

void Decision::TellEnd(Transaction& transaction) {
  using enum Transaction::Fate;
  std::uint64_t work = std::exchange(transaction.work, 0);
  if (watching_ == nullptr) return;
  auto fate = transaction.fate() == kServed     ? Watching::Fate::kValue
              : transaction.fate() == kRejected ? Watching::Fate::kNoRoom
                                                : Watching::Fate::kLost;
  const Request& request = transaction.request();
  watching_->Ended(work, request.cls, fate, clock_.Now() - (transaction.deadline() - request.remaining));
}

void Decision::ForgetIfOver(RequestId id) {
  Transaction* transaction = Find(id);
  if (transaction == nullptr) return;
  if (transaction->closed()) {
    transaction->GiveUpUnbegun();
    NotSent(*transaction);  // its record says nothing of an attempt whose client has left
  }
  if (!transaction->finished()) return;
  if (transaction->work > 0) TellEnd(*transaction);
  auto open = open_ids_.find(transaction->request().id);
  if (open != open_ids_.end() && open->second == id) open_ids_.erase(open);
  if (transaction->open_flows == 0) transactions_.erase(id);
}

void Decision::ArmTimer() {
  if (!timers_.empty()) timer_.Set(timers_.top().first - clock_.Now());
}

void Decision::TimersDue() {
  TimePoint now = clock_.Now();
  while (!timers_.empty() && timers_.top().first <= now) {
    Post(Due{timers_.top().second});
    timers_.pop();
  }
  ArmTimer();
}

}  // namespace peatbend::net

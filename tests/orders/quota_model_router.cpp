#include "orders/quota_model_router.h"

#include <algorithm>
#include <bit>

namespace peatbend::orders {

using rations::Message;
using Direction = Envelope::Direction;

std::shared_ptr<const rations::QuotaTable> MakeQuotaTable(int burst, int nested) {
  auto table = std::make_shared<rations::QuotaTable>();
  table->fingerprint = 1;
  rations::Quota ration;
  ration.name = "all";
  ration.rate = {.per_second = 4, .burst = static_cast<double>(burst)};
  table->quotas.push_back(ration);
  if (nested == 0) return table;
  ration.name = "some";
  ration.tenants = {0};
  ration.rate = {.per_second = 2.0 * nested, .burst = 1};
  ration.parent = 0;
  table->quotas.push_back(ration);
  return table;
}

std::string Envelope::Text() const {
  std::string r = "r" + std::to_string(router), s = "replica " + std::to_string(other);
  std::string from_to = direction == Direction::kToReplica     ? r + " -> " + s
                        : direction == Direction::kFromReplica ? s + " -> " + r
                                                               : r + " -> r" + std::to_string(other);
  return from_to + ": " + rations::Text(message);
}

EnvelopePtr MakeEnvelope(Direction direction, std::size_t router, std::size_t other, Message message) {
  std::string bytes{static_cast<char>(direction), static_cast<char>(router)};
  rations::AppendState(bytes, message);
  return std::make_shared<const Envelope>(
      Envelope{direction, router, other, std::move(message), Hash(bytes)});
}

// ---- ReplayedLedger ---------------------------------------------------------------------------------------

ReplayedLedger::ReplayedLedger(std::shared_ptr<const rations::QuotaTable> table, std::uint64_t nonce,
                               std::uint64_t last)
    : table_(std::move(table)), nonce_(nonce), last_sequence_(last) {
  Do([](rations::CreditLedger&) { return true; });
}

bool ReplayedLedger::Do(Call call) {
  rations::CreditLedger::Options options;
  options.request_interval = rations::Span{0};
  options.resend_interval = options.idle_request_delay = At(1);
  auto ledger =
      std::make_shared<rations::CreditLedger>(*table_, options, nonce_, nonce_, At(0), last_sequence_);
  calls_.push_back(std::make_shared<const Call>(std::move(call)));
  bool last = false;
  for (const auto& one : calls_) last = (*one)(*ledger);
  ledger_ = std::move(ledger);
  return last;
}

bool ReplayedLedger::Admit(int now, bool inside) {
  if (tokens_beside_ > 0) return tokens_beside_-- > 0;
  rations::RequestAttributes asked;
  asked.tenant = inside ? 0 : 1;
  return Do(
      [now, asked](rations::CreditLedger& ledger) { return ledger.Admit(At(now), asked).within_quota; });
}

std::optional<Message> ReplayedLedger::RequestTokens(int now, bool resend) {
  std::vector<Message> requests;
  auto collect = [now, resend, shard = rations::ShardOf(OneChain())](rations::CreditLedger& ledger,
                                                                     std::vector<Message>& out) {
    if (resend) ledger.ResendNow(shard);
    ledger.CollectRequests(At(now), out);
    return true;
  };
  Do([collect, to = &requests](rations::CreditLedger& ledger) { return collect(ledger, *to); });
  calls_.back() = std::make_shared<const Call>([collect](rations::CreditLedger& ledger) {
    std::vector<Message> out;
    return collect(ledger, out);
  });
  if (requests.empty()) return std::nullopt;
  outstanding_ = true;
  return requests[0];
}

void ReplayedLedger::HandleGrant(int now, const Message& grant) {
  if (Do([now, grant](rations::CreditLedger& ledger) { return ledger.HandleGrant(At(now), grant); }))
    outstanding_ = false;
}

RouterPtr Sealed(Router router, bool nested) {
  std::string bytes;
  auto add = [&](auto... numbers) {
    (rations::AppendState(bytes, static_cast<std::uint64_t>(numbers)), ...);
  };
  add(router.nonce, router.alive, router.elections, router.requests, router.elections_started,
      router.confirmation, router.highest_round, router.tokens, router.granted_at, router.any_confirmation,
      router.taken_back);
  if (router.shard) {
    add(router.shard->ownership.phase(), router.shard->ownership.highest_round());
    rations::AppendState(bytes, router.shard->ownership.ballot());
    router.shard->AppendState(bytes);
    if (router.shard->buckets() != nullptr) {
      add(std::bit_cast<std::uint64_t>(router.shard->buckets()->Tokens(OneChain().root())));
      if (nested)
        add(std::bit_cast<std::uint64_t>(router.shard->buckets()->Tokens({.quota = 1, .key_hash = 0})));
    }
  }
  add(router.pending.size());
  for (const Router::Pending& pending : router.pending)
    add(pending.computed, pending.confirmation, pending.tokens);
  for (const auto& [requester, tokens] : router.granted) add(requester, tokens);
  if (router.ledger) router.ledger->AppendState(bytes);
  router.fingerprint = Hash(bytes);
  for (std::size_t s = 0; s < kReplicasPerShard; ++s) {
    bytes.clear();
    if (router.shard) router.shard->ownership.AppendState(s, bytes);
    for (const Message& response : router.responses[s]) rations::AppendState(bytes, response);
    router.of_replica[s] = Hash(bytes);
  }
  return std::make_shared<const Router>(std::move(router));
}

// ---- RouterStep -------------------------------------------------------------------------------------------

StepResult RouterStep::Do(RouterEvent event, std::uint64_t target, const Envelope* envelope) {
  switch (event) {
    case RouterEvent::kStartElection:
      StartElection();
      break;
    case RouterEvent::kTakeOwnership:
      TakeOwnership();
      break;
    case RouterEvent::kCompute:
      --router_.tokens;
      router_.pending.push_back({now_, 0, 1});
      break;
    case RouterEvent::kRequestConfirmation:
      RequestConfirmation();
      break;
    case RouterEvent::kGrantQueued:
      router_.shard->GrantQueued(At(now_), 0, 0, out_);
      break;
    case RouterEvent::kTakeBack:
      router_.taken_back += router_.granted[target];
      router_.granted.erase(target);
      break;
    case RouterEvent::kRequest:
    case RouterEvent::kRequestInside:
      --router_.requests;
      result_.admitted = router_.ledger->Admit(now_, event == RouterEvent::kRequestInside) ? 1 : 0;
      break;
    case RouterEvent::kRequestTokens:
    case RouterEvent::kResendRequest:
      if (auto request = router_.ledger->RequestTokens(now_, event == RouterEvent::kResendRequest))
        result_.sent.push_back(
            MakeEnvelope(Direction::kBetweenRouters, router_.self, target, std::move(*request)));
      break;
    case RouterEvent::kDropDebt:
      router_.ledger = ReplayedLedger(table_, router_.nonce, router_.ledger->last_sequence());
      break;
    case RouterEvent::kDie:
      router_.alive = false;
      break;
    case RouterEvent::kTick:
      Tick();
      break;
    case RouterEvent::kReceive:
      Receive(*envelope);
      break;
  }
  SendGrants();
  for (ShardOwnership::Request& one : out_)
    result_.sent.push_back(
        MakeEnvelope(Direction::kToReplica, router_.self, one.replica, std::move(one.message)));
  result_.router = Sealed(std::move(router_), setup_.nested > 0);
  return std::move(result_);
}

void RouterStep::StartElection() {
  --router_.elections;
  Ballot ballot{
      1 + std::max(router_.highest_round, router_.shard ? router_.shard->ownership.highest_round() : 0),
      "r" + std::to_string(router_.self), router_.nonce, ++router_.elections_started};
  router_.highest_round = ballot.round;
  router_.shard.emplace(rations::ShardOf(OneChain()), ballot, At(now_), out_);
  router_.tokens = 0;
  router_.confirmation = router_.any_confirmation = 0;
  router_.pending.clear();
  router_.granted.clear();
  router_.taken_back = 0;
  router_.responses = {};
}

void RouterStep::TakeOwnership() {
  router_.shard->ownership.TakeOwnership();
  if (setup_.requests > 0) router_.shard->SetTable(*table_, {.requesters = setup_.requesters}, At(now_), 0);
  if (!Is(QuotaMutant::kFilledSincePrepare)) router_.tokens = Is(QuotaMutant::kStartsFull) ? setup_.burst : 0;
}

void RouterStep::RequestConfirmation() {
  router_.confirmation = router_.shard->ownership.RequestConfirmation(out_);
  for (Router::Pending& pending : router_.pending)
    if (pending.confirmation == 0) pending.confirmation = router_.confirmation;
}

void RouterStep::Receive(const Envelope& envelope) {
  if (envelope.direction == Direction::kFromReplica)
    return HandleReplicaResponse(envelope.other, envelope.message);
  if (envelope.message.kind == MessageKind::kTokenRequest)
    return HandleTokenRequest(envelope.router, envelope.message);
  bool more = Is(QuotaMutant::kTokensBesideCredit) && envelope.message.entries[0].tokens > 1;
  if (more && router_.ledger->Awaits(envelope.message)) router_.ledger->AddTokenBeside();
  router_.ledger->HandleGrant(now_, envelope.message);
}

void RouterStep::HandleReplicaResponse(std::size_t replica, const Message& response) {
  if (!router_.shard || response.ballot != router_.shard->ownership.ballot()) return;
  bool late = router_.is_owner() && response.kind == MessageKind::kPromise;
  router_.shard->ownership.Handle(replica, response);
  if (response.kind == MessageKind::kConfirmed)
    router_.any_confirmation = std::max(router_.any_confirmation, response.sequence);
  if (!Is(QuotaMutant::kLatePromises)) return;
  router_.responses[replica].push_back(response);
  if (!late) return;
  // Rebuild the ownership as if the late promise had arrived before it was taken.
  std::vector<ShardOwnership::Request> ignored;
  ShardOwnership rebuilt(rations::ShardOf(OneChain()), router_.shard->ownership.ballot(), ignored);
  auto replay = [&](MessageKind kind) {
    for (std::size_t s = 0; s < kReplicasPerShard; ++s)
      for (const Message& one : router_.responses[s])
        if (one.kind == kind) rebuilt.Handle(s, one);
  };
  replay(MessageKind::kPromise);
  rebuilt.TakeOwnership();
  for (std::uint64_t n = 0; n < router_.confirmation; ++n) rebuilt.RequestConfirmation(ignored);
  replay(MessageKind::kConfirmed);
  router_.shard->ownership = rebuilt;
  if (router_.confirmation > 0) router_.shard->ownership.Resend(out_);
}

void RouterStep::SendGrants() {
  if (!router_.shard || !router_.alive) return;
  const ShardOwnership& ownership = router_.shard->ownership;
  for (rations::Outgoing& out : router_.shard->TakeConfirmedGrants()) {
    int tokens = 0, inside = 0;
    for (rations::Entry& entry : out.message.entries) {
      // A token that was taken back is granted once more where the bucket had too few.
      if (router_.taken_back > 0 && entry.chain.size == 1 && entry.retry_after_ms > 0)
        ++entry.tokens, --router_.taken_back;
      tokens += static_cast<int>(entry.tokens);
      inside += entry.chain.size > 1 ? static_cast<int>(entry.tokens) : 0;
    }
    result_.granted.push_back({now_, tokens});
    if (tokens > 0 && (Is(QuotaMutant::kTokensExpire) || Is(QuotaMutant::kTokensOfDead))) {
      router_.granted[out.message.requester] += tokens;
      router_.granted_at = now_;
    }
    if (Is(QuotaMutant::kInnerQuotaOnly)) router_.taken_back += inside;
    result_.sent.push_back(MakeEnvelope(Direction::kBetweenRouters, router_.self,
                                        static_cast<std::size_t>(out.router[1] - '0'),
                                        std::move(out.message)));
  }
  if (ownership.phase() == ShardOwnership::Phase::kLost) return router_.pending.clear();
  std::uint64_t confirmed =
      Is(QuotaMutant::kOneReplica) ? router_.any_confirmation : ownership.confirmed_sequence();
  std::erase_if(router_.pending, [&](const Router::Pending& pending) {
    bool may = pending.confirmation > 0 && pending.confirmation <= confirmed;
    if (Is(QuotaMutant::kUnconfirmed) || (Is(QuotaMutant::kOlderConfirmation) && confirmed > 0)) may = true;
    if (may) result_.granted.push_back({pending.computed, pending.tokens});
    return may;
  });
}

void RouterStep::HandleTokenRequest(std::size_t from, Message request) {
  if (!router_.is_owner()) return;
  if (Is(QuotaMutant::kTokensBesideCredit)) ++request.entries[0].tokens;
  std::string name = "r" + std::to_string(from);
  if (auto known = router_.shard->HandleRequest(At(now_), name, request))
    result_.sent.push_back(MakeEnvelope(Direction::kBetweenRouters, router_.self, from, std::move(*known)));
}

void RouterStep::Tick() {
  if (!router_.is_owner() && !(Is(QuotaMutant::kFilledSincePrepare) && router_.shard)) return;
  router_.tokens = std::min(router_.tokens + 1, setup_.burst);
  if (router_.shard->buckets() != nullptr) router_.shard->buckets()->SetTime(At(now_), 0, 0);
}

}  // namespace peatbend::orders

#include "orders/quota_model.h"

#include <algorithm>
#include <tuple>

namespace peatbend::orders {

using rations::Message;
using rations::ShardReplica;
using What = QuotaModel::Event::What;
using Direction = Envelope::Direction;

QuotaModel::QuotaModel(const QuotaModelSetup& setup)
    : restarts_(setup.restarts),
      deaths_(setup.deaths),
      starts_(setup.starts),
      duplicates_(setup.duplicates),
      resends_(setup.resends),
      processes_(setup.routers) {
  auto shared = std::make_shared<Shared>();
  shared->setup = setup;
  shared->table = MakeQuotaTable(setup.burst, setup.nested);
  shared_ = shared;
  replicas_.fill(Sealed(ReplicaState{ShardReplica(1), {}, 0}));
  for (std::size_t r = 0; r < static_cast<std::size_t>(setup.routers); ++r) routers_[r] = NewRouter(r, 1);
  if (setup.promised > 0) StartWithOwner(setup.promised);
}

RouterPtr QuotaModel::NewRouter(std::size_t self, std::uint64_t start) const {
  Router router;
  router.self = self;
  router.nonce = 16 * (self + 1) + (Is(QuotaMutant::kSameNonce) ? 1 : start);
  router.elections = setup().elections;
  router.requests = setup().requests;
  if (setup().requests > 0) router.ledger.emplace(shared_->table, router.nonce);
  return orders::Sealed(std::move(router), setup().nested > 0);
}

// ---- Events -----------------------------------------------------------------------------------------------

std::vector<QuotaModel::Event> QuotaModel::Events() const {
  std::vector<Event> events;
  events.reserve(2 * in_flight_.size() + 24);
  auto add = [&](What what, std::size_t index, EnvelopePtr envelope = nullptr) {
    events.push_back({what, static_cast<std::uint8_t>(index), {}, 0, std::move(envelope)});
  };
  for (std::size_t i = 0; i < in_flight_.size(); ++i) {
    if (i > 0 && in_flight_[i]->Same(*in_flight_[i - 1])) continue;
    add(What::kDeliver, i, in_flight_[i]);
    if (duplicates_ > 0) add(What::kDeliverCopy, i, in_flight_[i]);
    if (in_flight_[i]->direction == Direction::kToReplica && replicas_[in_flight_[i]->other]->former)
      add(What::kDeliverToFormer, i, in_flight_[i]);
  }
  for (std::size_t r = 0; r < static_cast<std::size_t>(setup().routers); ++r) {
    const Router& router = *routers_[r];
    auto add_event = [&](RouterEvent event, std::uint64_t target = 0) {
      events.push_back({What::kRouterEvent, static_cast<std::uint8_t>(r), event, target, nullptr});
    };
    if (!router.alive) {
      if (starts_ > 0) add(What::kRestartRouter, r);
      continue;
    }
    if (router.elections > 0) add_event(RouterEvent::kStartElection);
    if (router.ownership() && router.ownership()->phase() == ShardOwnership::Phase::kElecting &&
        router.ownership()->promises() >= rations::kMajority)
      add_event(RouterEvent::kTakeOwnership);
    if (router.is_owner()) {
      if (setup().requests == 0 && router.tokens > 0) add_event(RouterEvent::kCompute);
      if (std::ranges::any_of(router.pending, [](const auto& p) { return p.confirmation == 0; }))
        add_event(RouterEvent::kRequestConfirmation);
      if (!router.shard->queued().empty()) add_event(RouterEvent::kGrantQueued);
      for (const auto& [nonce, tokens] : router.granted) {
        bool alive = std::ranges::any_of(
            routers_, [&](const auto& one) { return one && one->alive && one->nonce == nonce; });
        if ((Is(QuotaMutant::kTokensExpire) && now_ > router.granted_at) ||
            (Is(QuotaMutant::kTokensOfDead) && !alive))
          add_event(RouterEvent::kTakeBack, nonce);
      }
    }
    if (router.requests > 0) add_event(RouterEvent::kRequest);
    if (router.requests > 0 && setup().nested > 0) add_event(RouterEvent::kRequestInside);
    bool due = router.ledger && router.ledger->due(now_);
    bool resend = router.ledger && !due && router.ledger->outstanding() && resends_ > 0;
    for (std::size_t k = 0; (due || resend) && k < routers_.size(); ++k)
      if (routers_[k] && routers_[k]->is_owner())
        add_event(resend ? RouterEvent::kResendRequest : RouterEvent::kRequestTokens, k);
    if (Is(QuotaMutant::kDebtForgotten) && router.ledger && router.ledger->has_debt() &&
        !router.ledger->outstanding())
      add_event(RouterEvent::kDropDebt);
    if (deaths_ > 0) add_event(RouterEvent::kDie);
  }
  for (std::size_t s = 0; restarts_ > 0 && s < kReplicasPerShard; ++s) add(What::kRestartReplica, s);
  if (now_ < setup().ticks) add(What::kTick, 0);
  return events;
}

std::string QuotaModel::Event::Text() const {
  constexpr const char* kRouterEvents[] = {"tries",
                                           "begins",
                                           "reckons",
                                           "requests a confirmation",
                                           "grants queued requests",
                                           "takes back tokens of ",
                                           "has a request",
                                           "has a request of the inner quota",
                                           "requests tokens from r",
                                           "resends its request to r",
                                           "drops its account",
                                           "dies"};
  std::string number = std::to_string(index);
  switch (what) {
    case What::kDeliver:
      return envelope->Text();
    case What::kDeliverCopy:
      return "copy of " + envelope->Text();
    case What::kDeliverToFormer:
      return "to the former generation, " + envelope->Text();
    case What::kRouterEvent:
      return "r" + number + " " + kRouterEvents[static_cast<int>(router_event)] +
             (router_event == RouterEvent::kTakeBack || router_event == RouterEvent::kRequestTokens ||
                      router_event == RouterEvent::kResendRequest
                  ? std::to_string(target)
                  : "");
    case What::kRestartRouter:
      return "r" + number + " is restarted";
    case What::kRestartReplica:
      return "replica " + number + " restarts";
    case What::kTick:
      break;
  }
  return "a tick";
}

QuotaModel QuotaModel::After(const Event& event) const {
  QuotaModel next = *this;
  switch (event.what) {
    case What::kDeliver:
    case What::kDeliverCopy:
    case What::kDeliverToFormer:
      next.Deliver(event.index, event.what == What::kDeliverCopy, event.what == What::kDeliverToFormer);
      break;
    case What::kRouterEvent:
      next.resends_ -= event.router_event == RouterEvent::kResendRequest ? 1 : 0;
      next.deaths_ -= event.router_event == RouterEvent::kDie ? 1 : 0;
      next.Do(event.index, event.router_event, event.target);
      if (event.router_event == RouterEvent::kDie) next.Prune();
      break;
    case What::kRestartRouter:
      next.routers_[event.index] =
          NewRouter(event.index, static_cast<std::uint64_t>(1 + setup().starts - --next.starts_));
      ++next.processes_;
      next.Prune();
      break;
    case What::kRestartReplica:
      next.RestartReplica(event.index);
      break;
    case What::kTick:
      next.Tick();
      break;
  }
  if (setup().elections == 0) next.DeliverReplicaMessages();
  return next;
}

void QuotaModel::RestartReplica(std::size_t s) {
  --restarts_;
  ReplicaState state = *replicas_[s];
  if (Is(QuotaMutant::kFormerAnswers)) state.former = state.replica;
  state.replica = ShardReplica(state.replica.generation() + (Is(QuotaMutant::kSameGeneration) ? 0 : 1));
  replicas_[s] = Sealed(std::move(state));
  Prune();
}

void QuotaModel::Tick() {
  ++now_;
  for (std::size_t r = 0; r < routers_.size(); ++r)
    if (routers_[r] && routers_[r]->shard) Do(r, RouterEvent::kTick);
}

void QuotaModel::Do(std::size_t r, RouterEvent event, std::uint64_t target, const EnvelopePtr& envelope) {
  std::uint64_t number =
      (target << 8 | static_cast<std::uint64_t>(event)) << 8 | static_cast<std::uint64_t>(now_);
  auto result = shared_->steps.GetOrCompute(routers_[r], envelope, number, [&] {
    return RouterStep(setup(), shared_->table, now_, *routers_[r]).Do(event, target, envelope.get());
  });
  routers_[r] = result->router;
  for (const auto& [tick, tokens] : result->granted)
    granted_[static_cast<std::size_t>(tick)] += static_cast<std::uint8_t>(tokens);
  auto now = static_cast<std::size_t>(now_);
  admitted_[now] += static_cast<std::uint8_t>(result->admitted);
  if (event == RouterEvent::kRequestInside) inside_[now] += static_cast<std::uint8_t>(result->admitted);
  if (!result->granted.empty() || result->admitted > 0) CheckBounds();
  std::erase_if(in_flight_, [&](const EnvelopePtr& one) {
    return (one->direction == Direction::kBetweenRouters ? one->other : one->router) == r &&
           !Matters(*one, one);
  });
  for (const EnvelopePtr& sent : result->sent) Insert(sent);
}

// ---- Messages ---------------------------------------------------------------------------------------------

void QuotaModel::Insert(const EnvelopePtr& envelope) {
  if (!Matters(*envelope, envelope)) return;
  auto before = [](const auto& one, const auto& two) {
    return std::tie(one->fingerprint, one->other) < std::tie(two->fingerprint, two->other);
  };
  in_flight_.insert(std::upper_bound(in_flight_.begin(), in_flight_.end(), envelope, before), envelope);
}

void QuotaModel::Prune() {
  std::erase_if(in_flight_, [this](const EnvelopePtr& envelope) { return !Matters(*envelope, envelope); });
}

// Whether delivering the message could ever change a state, other than by informing an owner earlier of what
// it will learn anyway.
bool QuotaModel::Matters(const Envelope& envelope, const EnvelopePtr& shared) const {
  const Message& message = envelope.message;
  if (envelope.direction == Direction::kBetweenRouters) {
    const Router& to = *routers_[envelope.other];
    if (!to.alive) return starts_ > 0;
    if (message.kind == MessageKind::kGrant)
      return starts_ + deaths_ > 0 || (message.requester == to.nonce && to.ledger->Awaits(message));
    return true;
  }
  if (envelope.direction == Direction::kFromReplica) return IsInformative(shared);
  if (replicas_[envelope.other]->former || Is(QuotaMutant::kLatestPrepare)) return true;
  auto response = ResponseTo(shared, false);
  if (response->promised || (restarts_ > 0 && message.kind == MessageKind::kPrepare)) return true;
  return IsInformative(response->message);
}

bool QuotaModel::IsInformative(const EnvelopePtr& response) const {
  const RouterPtr& router = routers_[response->router];
  const Message& message = response->message;
  if (!router->alive || !router->shard || message.ballot != router->shard->ownership.ballot()) return false;
  if (Is(QuotaMutant::kLatePromises) && message.kind == MessageKind::kPromise) return true;
  if (Is(QuotaMutant::kOneReplica) && message.kind == MessageKind::kConfirmed) return true;
  return *shared_->informative.GetOrCompute(router, response, 0, [&] {
    std::string before, after;
    router->shard->ownership.AppendState(response->other, before);
    ShardOwnership ownership = router->shard->ownership;
    ownership.Handle(response->other, message);
    ownership.AppendState(response->other, after);
    return before != after;
  });
}

std::shared_ptr<const QuotaModel::Response> QuotaModel::ResponseTo(const EnvelopePtr& request,
                                                                   bool former) const {
  const ReplicaPtr& at = replicas_[request->other];
  return shared_->responses.GetOrCompute(at, request, former ? 1 : 0, [&] {
    ReplicaState state = *at;
    Ballot before = state.replica.promised();
    Message answer = Answer(former ? *state.former : state.replica, request->message);
    bool promised = state.replica.promised() != before;
    return Response{Sealed(std::move(state)),
                    MakeEnvelope(Direction::kFromReplica, request->router, request->other, std::move(answer)),
                    promised};
  });
}

void QuotaModel::Deliver(std::size_t i, bool copy, bool to_former) {
  EnvelopePtr envelope = in_flight_[i];
  if (copy) {
    --duplicates_;
  } else {
    in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (envelope->direction == Direction::kToReplica) {
    auto response = ResponseTo(envelope, to_former);
    replicas_[envelope->other] = response->replica;
    std::erase_if(in_flight_, [&](const EnvelopePtr& one) {
      return one->direction == Direction::kToReplica && one->other == envelope->other && !Matters(*one, one);
    });
    return Insert(response->message);
  }
  std::size_t r = envelope->direction == Direction::kFromReplica ? envelope->router : envelope->other;
  if (routers_[r]->alive) Do(r, RouterEvent::kReceive, 0, envelope);
}

// ---- Replicas ---------------------------------------------------------------------------------------------

QuotaModel::ReplicaPtr QuotaModel::Sealed(ReplicaState state) {
  std::string bytes;
  state.replica.AppendState(bytes);
  if (state.former) state.former->AppendState(bytes);
  state.fingerprint = Hash(bytes);
  return std::make_shared<const ReplicaState>(std::move(state));
}

Message QuotaModel::Answer(ShardReplica& replica, const Message& request) const {
  Message message = request;
  bool prepare = request.kind == MessageKind::kPrepare;
  if (Is(QuotaMutant::kAnyGeneration) && !prepare) message.generation = replica.generation();
  if (Is(QuotaMutant::kLatestPrepare) && prepare && request.ballot < replica.promised())
    replica = ShardReplica(replica.generation());
  Message answer = replica.Handle(message);
  if (Is(QuotaMutant::kAnyGeneration) && !prepare) answer.generation = request.generation;
  if (Is(QuotaMutant::kPromisesAll) && answer.kind == MessageKind::kDenied)
    answer.kind = prepare ? MessageKind::kPromise : MessageKind::kConfirmed;
  return answer;
}

void QuotaModel::StartWithOwner(int promised) {
  Do(0, RouterEvent::kStartElection);
  auto prepares = in_flight_;
  auto next = [&] {
    return std::ranges::find_if(
        in_flight_, [&](const auto& envelope) { return static_cast<int>(envelope->other) < promised; });
  };
  for (auto at = next(); at != in_flight_.end(); at = next())
    Deliver(static_cast<std::size_t>(at - in_flight_.begin()), false, false);
  Do(0, RouterEvent::kTakeOwnership);
  for (const auto& prepare : prepares) {
    if (promised == static_cast<int>(kReplicasPerShard) || static_cast<int>(prepare->other) >= promised ||
        duplicates_ == 0)
      continue;
    --duplicates_;
    Insert(prepare);
  }
}

void QuotaModel::DeliverReplicaMessages() {
  auto next = [&] {
    return std::ranges::find_if(
        in_flight_, [](const auto& envelope) { return envelope->direction != Direction::kBetweenRouters; });
  };
  for (auto at = next(); at != in_flight_.end(); at = next())
    Deliver(static_cast<std::size_t>(at - in_flight_.begin()), false, false);
}

// ---- Checks -----------------------------------------------------------------------------------------------

// Checks what was granted and admitted at each tick, independently of what owners and ledgers report.
void QuotaModel::CheckBounds() {
  for (int to = 0; to <= now_ && broken_.empty(); ++to) {
    // The bucket starts empty, and each tick after the first adds a token.
    if (setup().requests == 0 && Sum(granted_, 0, to) > to) broken_ = "granted more than was refilled";
    // In addition, each process may admit on credit.
    int credit = processes_ * kCredit;
    if (Sum(admitted_, 0, to) > to + credit || 2 * Sum(inside_, 0, to) > setup().nested * to + 2 * credit)
      broken_ = "admitted more than was refilled";
    for (int from = 0; from <= to; ++from) {
      int bound = setup().burst + to - from;
      if (setup().requests == 0 && Sum(granted_, from, to) > bound)
        broken_ = "granted more in a period than the quota";
      if (Sum(admitted_, from, to) > bound + processes_ * kCredit ||
          2 * Sum(inside_, from, to) > 2 + setup().nested * (to - from) + 2 * processes_ * kCredit)
        broken_ = "admitted more in a period than the quota";
    }
  }
}

// The three replicas are interchangeable: states that differ only by a permutation of them have one
// fingerprint.
std::uint64_t QuotaModel::Print() const {
  constexpr std::size_t kMaxWords = 256;
  std::array<std::uint64_t, kMaxWords> words;
  std::array<std::uint64_t, kReplicasPerShard> fingerprints;
  for (std::size_t s = 0; s < kReplicasPerShard; ++s) {
    std::size_t n = 0;
    words[n++] = replicas_[s]->fingerprint;
    for (const auto& router : routers_) words[n++] = router ? router->of_replica[s] : 0;
    for (const auto& envelope : in_flight_)
      if (envelope->direction != Direction::kBetweenRouters && envelope->other == s && n < kMaxWords)
        words[n++] = envelope->fingerprint;
    fingerprints[s] = XXH3_64bits(words.data(), n * sizeof words[0]);
  }
  std::ranges::sort(fingerprints);
  std::size_t n = 0;
  auto add = [&](std::uint64_t word) { words[std::min(n++, kMaxWords - 1)] = word; };
  for (const auto& envelope : in_flight_)
    if (envelope->direction == Direction::kBetweenRouters) add(envelope->fingerprint + envelope->other);
  for (std::uint64_t fingerprint : fingerprints) add(fingerprint);
  for (const auto& router : routers_) add(router ? router->fingerprint : 0);
  for (int each : {restarts_, deaths_, starts_, duplicates_, resends_, now_})
    add(static_cast<std::uint64_t>(each));
  const Counts& counts = setup().requests > 0 ? admitted_ : granted_;
  for (std::uint8_t each : counts) add(each);
  if (setup().nested > 0)
    for (std::uint8_t each : inside_) add(each);
  return XXH3_64bits(words.data(), std::min(n, kMaxWords) * sizeof words[0]);
}

}  // namespace peatbend::orders

#include "orders/compat_model.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace peatbend::orders {
namespace {

using What = CompatModel::Event::What;

std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }
std::string NameOf(std::size_t replica) { return "s" + std::to_string(replica); }

}  // namespace

CompatModel::CompatModel(CompatSetup setup)
    : duplicates_(setup.duplicates), restarts_(setup.restarts), syncs_left_(setup.syncs) {
  auto shared = std::make_shared<Shared>();
  shared->setup = std::move(setup);
  shared_ = shared;
  RegistryState first;
  first.Declare("s", {});
  first.Propose("s", 1, Record("a", false));
  first.Propose("s", 2, Record("a", true));
  if (shared->setup.ann_registered) {
    first.RegisterReader("s", "ann", 1, {1});
    registrations_[kAnn] = 1;
  }
  for (const auto& version : first.subjects().at("s").versions) shared->versions.push_back(version.schema);
  Message initial;
  initial.kind = failover::Kind::kAccept;
  initial.operation = "w";
  initial.ballot = {1, {"founder", 1, 1}};
  initial.version = 1;
  initial.state.value = first.Serialize();
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    Replica replica{MakeReplica(s, 1, true), 1, 0};
    replica.acceptor.Handle({}, initial);
    replicas_[s] = WithFingerprint(std::move(replica));
  }
  for (Role role : shared->setup.roles) {
    std::string name = "r" + std::to_string(actors_.size());
    actors_.push_back(WithFingerprint(
        Actor{role, RegistryUpdate("w", {name, 1, 1}, CommandOf(role)), shared->setup.ballots, 0}));
  }
}

std::string CompatModel::Record(const std::string& field, bool optional) {
  return R"({"type":"record","name":"R","fields":[{"name":")" + field + R"(","type":"int")" +
         (optional ? R"(,"default":0)" : "") + "}]}";
}

// Both third versions lack `a`, which version 1 needs and version 2 has a default for.
RegistryUpdate::Command CompatModel::CommandOf(Role role) const {
  CompatMutant mutant = setup().mutant;
  switch (role) {
    case Role::kPublisher:
      return [](RegistryState& it) { return it.Propose("s", 3, Record("b", true)); };
    case Role::kOtherPublisher:
      return [](RegistryState& it) { return it.Propose("s", 3, Record("c", true)); };
    case Role::kReader:
      return [](RegistryState& it) { return it.RegisterReader("s", "bob", 1, {1}); };
    case Role::kOtherReader:
      return [](RegistryState& it) { return it.RegisterReader("s", "cid", 1, {1}); };
    case Role::kReregisteringReader:
      return [](RegistryState& it) { return it.RegisterReader("s", "ann", 2, {1}); };
    case Role::kDetector:
      if (mutant != CompatMutant::kSilenceRetires)
        return [](RegistryState& it) { return it.MarkSilent("s", "ann", 1); };
      break;
    case Role::kOperator:
      if (mutant == CompatMutant::kRetiresAnyRegistration)
        return [](RegistryState& it) {
          return it.Retire("s", "ann", it.subjects().at("s").readers.at("ann").registration, "eve", "gone");
        };
      break;
  }
  return [](RegistryState& it) { return it.Retire("s", "ann", 1, "eve", "gone"); };
}

failover::RecordReplica CompatModel::MakeReplica(std::size_t s, std::uint64_t generation,
                                                 bool bootstrapped) const {
  if (setup().syncs == 0) return compat::MakeRegistryReplica({}, bootstrapped, {}, 0, {});
  return compat::MakeRegistryReplica({}, bootstrapped, NameOf(s), generation, [](const std::string&) {
    return std::array<std::string, failover::kReplicas>{NameOf(0), NameOf(1), NameOf(2)};
  });
}

CompatModel::ReplicaPtr CompatModel::WithFingerprint(Replica replica) {
  std::string bytes;
  replica.acceptor.AppendState(bytes);
  replica.fingerprint = Hash(bytes);
  return std::make_shared<const Replica>(std::move(replica));
}

CompatModel::ActorPtr CompatModel::WithFingerprint(Actor actor) {
  std::string bytes{static_cast<char>(actor.ballots)};
  actor.update.record().AppendState(bytes);
  for (const auto& each : actor.update.result().incompatibilities) bytes += each.Text();
  actor.fingerprint = Hash(bytes);
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    bytes.clear();
    actor.update.record().AppendState(s, bytes);
    actor.replica_fingerprints[s] = Hash(bytes);
  }
  return std::make_shared<const Actor>(std::move(actor));
}

CompatModel::InFlightPtr CompatModel::MakeInFlight(bool to_replica, std::size_t a, std::size_t s,
                                                   Message message) {
  std::string bytes{to_replica ? 't' : 'o', static_cast<char>(a)};
  failover::AppendState(bytes, message);
  return std::make_shared<const InFlightMessage>(
      InFlightMessage{to_replica, a, s, std::move(message), Hash(bytes)});
}

CompatModel::SyncPtr CompatModel::MakeSync(std::size_t from, std::size_t to, std::vector<Message> messages) {
  std::string bytes{'w', static_cast<char>(from), static_cast<char>(to)};
  for (const Message& message : messages) failover::AppendState(bytes, message);
  return std::make_shared<const SyncMessages>(SyncMessages{from, to, std::move(messages), Hash(bytes)});
}

// ---- Events -----------------------------------------------------------------------------------------------

std::vector<CompatModel::Event> CompatModel::Events() const {
  std::vector<Event> events;
  for (std::size_t i = 0; i < in_flight_.size(); ++i) {
    if (i > 0 && in_flight_[i]->Same(*in_flight_[i - 1])) continue;
    events.push_back({What::kDelivered, i, in_flight_[i]});
    if (duplicates_ > 0) events.push_back({What::kDuplicated, i, in_flight_[i]});
  }
  for (std::size_t a = 0; a < actors_.size(); ++a) {
    auto phase = actors_[a]->update.record().phase();
    if (actors_[a]->ballots > 0 &&
        (phase == failover::RecordProposer::Phase::kIdle || phase == failover::RecordProposer::Phase::kLost))
      events.push_back({What::kBallotStarted, a, {}});
  }
  for (std::size_t s = 0; s < replicas_.size(); ++s) {
    if (restarts_ > 0) events.push_back({What::kReplicaRestarted, s, {}});
    if (syncs_left_ > 0 && replicas_[s]->generation > 1) events.push_back({What::kSyncRequested, s, {}});
  }
  for (std::size_t i = 0; i < syncs_.size(); ++i) events.push_back({What::kSyncDelivered, i, {}});
  return events;
}

std::string CompatModel::Event::Text() const {
  std::string number = std::to_string(who);
  switch (what) {
    case What::kDelivered:
    case What::kDuplicated:
      break;
    case What::kBallotStarted:
      return "r" + number + " starts a ballot";
    case What::kReplicaRestarted:
      return "replica " + number + " restarts";
    case What::kSyncRequested:
      return "replica " + number + " requests a sync";
    case What::kSyncDelivered:
      return "sync message " + number;
  }
  std::string a = "r" + std::to_string(in_flight->actor), s = "replica " + std::to_string(in_flight->replica);
  return (what == What::kDuplicated ? "duplicate: " : "") +
         (in_flight->to_replica ? a + " -> " + s : s + " -> " + a) + ": " +
         failover::kKindNames[static_cast<int>(in_flight->message.kind)] + " of " +
         failover::Text(in_flight->message.ballot);
}

CompatModel CompatModel::After(const Event& event) const {
  CompatModel next = *this;
  switch (event.what) {
    case What::kDelivered:
    case What::kDuplicated:
      next.Deliver(event.who, event.what == What::kDuplicated);
      break;
    case What::kBallotStarted:
      // From here on the model no longer requires ann's first registration to be kept.
      if (actors_[event.who]->role == Role::kOperator && next.registrations_[kAnn] == 1)
        next.registrations_[kAnn] = 0;
      next.StepActor(event.who, nullptr);
      break;
    case What::kReplicaRestarted:
      next.RestartReplica(event.who);
      break;
    case What::kSyncRequested:
      next.RequestSync(event.who);
      break;
    case What::kSyncDelivered:
      next.DeliverSync(event.who);
      break;
  }
  return next;
}

// ---- Actors -----------------------------------------------------------------------------------------------

CompatModel::ActorStep CompatModel::ComputeStep(std::size_t a, const InFlightMessage* in_flight) const {
  Actor actor = *actors_[a];
  std::vector<failover::RecordProposer::Outgoing> out;
  ActorStep step;
  auto handle = [&](std::size_t replica) {
    auto progress = actor.update.Handle({}, replica, in_flight->message, out);
    bool early = setup().mutant == CompatMutant::kReportsEarly && actor.role == Role::kReader &&
                 actor.update.record().phase() == failover::RecordProposer::Phase::kWriting;
    if ((progress != RegistryUpdate::Progress::kCommitted && !early) || !actor.update.result().ok()) return;
    bool publishes = actor.role == Role::kPublisher || actor.role == Role::kOtherPublisher;
    step.reported = std::make_shared<const std::string>(
        publishes ? actor.update.state()->subjects().at("s").versions.at(2).schema : "");
  };
  if (in_flight == nullptr) {
    --actor.ballots;
    actor.update.Start({}, out);
  } else {
    handle(in_flight->replica);
    if (setup().mutant == CompatMutant::kOneReplica) handle((in_flight->replica + 1) % 3);
  }
  step.actor = WithFingerprint(std::move(actor));
  for (auto& one : out) step.sent.push_back(MakeInFlight(true, a, one.replica, std::move(one.message)));
  return step;
}

void CompatModel::StepActor(std::size_t a, const InFlightPtr& in_flight) {
  auto step = shared_->actor_steps.GetOrCompute(actors_[a], in_flight, a,
                                                [&] { return ComputeStep(a, in_flight.get()); });
  actors_[a] = step->actor;
  if (step->reported) OnReported(step->actor->role, step->reported);
  for (const InFlightPtr& sent : step->sent) AddInFlight(sent);
  // Drops replies that the actor would ignore, now and later.
  std::erase_if(in_flight_, [&](const auto& one) {
    return one->actor == a && !one->to_replica &&
           !actors_[a]->update.record().Expects(one->replica, one->message);
  });
}

void CompatModel::AddInFlight(const InFlightPtr& in_flight) {
  if (!in_flight->to_replica &&
      !actors_[in_flight->actor]->update.record().Expects(in_flight->replica, in_flight->message))
    return;
  auto before = [](const auto& one, const auto& other) {
    return std::tie(one->fingerprint, one->replica) < std::tie(other->fingerprint, other->replica);
  };
  in_flight_.insert(std::upper_bound(in_flight_.begin(), in_flight_.end(), in_flight, before), in_flight);
}

// ---- Replicas ---------------------------------------------------------------------------------------------

CompatModel::ReplicaStep CompatModel::ComputeReply(const InFlightMessage& in_flight) const {
  Replica replica = *replicas_[in_flight.replica];
  Message reply = replica.acceptor.Handle({}, in_flight.message);
  return {WithFingerprint(std::move(replica)),
          MakeInFlight(false, in_flight.actor, in_flight.replica, std::move(reply)), nullptr};
}

void CompatModel::Deliver(std::size_t i, bool keep) {
  InFlightPtr in_flight = in_flight_[i];
  if (keep) --duplicates_;
  if (!keep) in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(i));
  if (!in_flight->to_replica) return StepActor(in_flight->actor, in_flight);
  auto step = shared_->replica_steps.GetOrCompute(replicas_[in_flight->replica], in_flight, 0,
                                                  [&] { return ComputeReply(*in_flight); });
  replicas_[in_flight->replica] = step->replica;
  if (in_flight->message.kind == failover::Kind::kAccept) CheckCommitted(in_flight->replica);
  AddInFlight(step->reply);
}

void CompatModel::RestartReplica(std::size_t s) {
  --restarts_;
  std::uint64_t generation = replicas_[s]->generation + 1;
  replicas_[s] = WithFingerprint(
      Replica{MakeReplica(s, generation, setup().mutant == CompatMutant::kBootstrappedAgain), generation, 0});
}

void CompatModel::RequestSync(std::size_t s) {
  --syncs_left_;
  Replica replica = *replicas_[s];
  Message request = replica.acceptor.RequestSync({});
  replicas_[s] = WithFingerprint(std::move(replica));
  for (std::size_t other = 0; other < failover::kReplicas; ++other)
    if (other != s) syncs_.push_back(MakeSync(s, other, {request}));
}

CompatModel::ReplicaStep CompatModel::ComputeSync(const SyncMessages& sync) const {
  Replica replica = *replicas_[sync.to];
  ReplicaStep step;
  if (sync.messages.front().kind == failover::Kind::kSyncRequest) {
    step.sync = MakeSync(sync.to, sync.from, replica.acceptor.AnswerSync({}, sync.messages.front()));
  } else {
    for (const Message& message : sync.messages) replica.acceptor.HandleSync({}, NameOf(sync.from), message);
  }
  step.replica = WithFingerprint(std::move(replica));
  return step;
}

void CompatModel::DeliverSync(std::size_t i) {
  SyncPtr sync = syncs_[i];
  syncs_.erase(syncs_.begin() + static_cast<std::ptrdiff_t>(i));
  auto step =
      shared_->replica_steps.GetOrCompute(replicas_[sync->to], sync, 1, [&] { return ComputeSync(*sync); });
  replicas_[sync->to] = step->replica;
  if (step->sync) syncs_.push_back(step->sync);
}

// ---- Rules ------------------------------------------------------------------------------------------------

bool CompatModel::Readable(const std::string& schema) const {
  auto at = shared_->readable.find(schema);
  if (at != shared_->readable.end()) return at->second;
  auto of = [](const std::string& text) { return std::get<compat::Schema>(compat::Schema::Parse(text)); };
  return shared_->readable[schema] = compat::Resolve(of(schema), of(shared_->versions[0])).empty();
}

void CompatModel::OnReported(Role role, const std::shared_ptr<const std::string>& schema) {
  if (role == Role::kReader) registrations_[kBob] = 1;
  if (role == Role::kOtherReader) registrations_[kCid] = 1;
  if (role == Role::kReregisteringReader) registrations_[kAnn] = 2;
  if (role == Role::kPublisher || role == Role::kOtherPublisher) {
    if (accepted() && *third_schema_ != *schema) Violated("two conflicting versions were accepted");
    if (!accepted()) third_schema_ = schema;
  }
  for (std::size_t reader = 0; reader < kReaders; ++reader)
    if (registrations_[reader] > 0 && accepted() && !Readable(*third_schema_))
      Violated("a version was accepted that a registered reader cannot read: " + std::string(kNames[reader]));
}

const CompatModel::CommittedState& CompatModel::CommittedStateOf(const std::string& value) const {
  auto at = shared_->committed.find(value);
  if (at != shared_->committed.end()) return at->second;
  CommittedState committed;
  auto state = RegistryState::Parse(value);
  if (state && state->subjects().contains("s")) {
    const compat::Subject& subject = state->subjects().at("s");
    committed.known = true;
    for (const auto& version : subject.versions) committed.versions.push_back(version.schema);
    for (const std::string& name : subject.ReadersOf(1)) committed.readers.insert(name);
  }
  return shared_->committed[value] = std::move(committed);
}

// Each state that is committed later contains what has been reported.
void CompatModel::CheckCommitted(std::size_t s) {
  auto record = [&](std::size_t replica) -> const failover::RecordReplica::StoredRecord* {
    const auto& records = replicas_[replica]->acceptor.stored();
    return records.empty() ? nullptr : &records.begin()->second;
  };
  const auto* own = record(s);
  if (own == nullptr || own->version == 0) return;
  std::size_t holders = 0;
  for (std::size_t other = 0; other < failover::kReplicas; ++other) {
    const auto* at = record(other);
    holders += at != nullptr && at->accepted == own->accepted && at->version == own->version && !at->copied;
  }
  if (holders < failover::kMajority) return;
  const CommittedState& committed = CommittedStateOf(own->state.value);
  std::vector<std::string> reported = shared_->versions;
  if (accepted()) reported.push_back(*third_schema_);
  if (!committed.known || committed.versions.size() < reported.size() ||
      !std::equal(reported.begin(), reported.end(), committed.versions.begin()))
    Violated("a version reported as accepted is lost");
  for (std::size_t reader = 0; reader < kReaders; ++reader)
    if (registrations_[reader] > 0 && !committed.readers.contains(kNames[reader]))
      Violated("a registered reader is lost: " + std::string(kNames[reader]));
}

// Combines the replicas' fingerprints in sorted order, since the replicas are interchangeable.
std::uint64_t CompatModel::Print() const {
  std::vector<std::uint64_t> parts;
  std::array<std::uint64_t, failover::kReplicas> fingerprints;
  parts.reserve(64);
  for (std::size_t s = 0; s < fingerprints.size(); ++s) {
    parts.assign(1, replicas_[s]->fingerprint);
    for (const auto& actor : actors_) parts.push_back(actor->replica_fingerprints[s]);
    for (const auto& in_flight : in_flight_)
      if (in_flight->replica == s) parts.push_back(in_flight->fingerprint);
    fingerprints[s] = XXH3_64bits(parts.data(), parts.size() * sizeof parts[0]);
  }
  std::ranges::sort(fingerprints);
  parts.assign(fingerprints.begin(), fingerprints.end());
  for (const auto& actor : actors_) parts.push_back(actor->fingerprint);
  std::uint64_t between = 0;  // independent of their order
  for (const auto& sync : syncs_) between += sync->fingerprint;
  for (int each : {duplicates_, restarts_, syncs_left_}) parts.push_back(static_cast<std::uint64_t>(each));
  parts.push_back(between);
  parts.push_back(third_schema_ ? Hash(*third_schema_) : 0);
  for (std::uint8_t registration : registrations_) parts.push_back(registration);
  return XXH3_64bits(parts.data(), parts.size() * sizeof parts[0]);
}

}  // namespace peatbend::orders

// The possible events of the model, the messages in flight, and the replicas.
#include "orders/failover_model.h"

#include <algorithm>

namespace peatbend::orders {

FailoverModel::FailoverModel(FailoverModelSetup setup)
    : setup_(setup), reader_("w", {"reader", 7, 1}), budget_{setup.restarts,   setup.syncs,
                                                             setup.deaths,     setup.duplicates,
                                                             setup.time_steps, setup.reads} {
  cls_.effect = setup.effect;
  cls_.dedup_window = kWindow;
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    replicas_.push_back(WithFingerprint(Replica{MakeReplica(s, 1, -kLongAgo), 1, 0}));
  }
  for (int r = 0; r < setup.routers; ++r) {
    Router router{
        OperationOwnership("w", {"r" + std::to_string(r), 7, 1},
                           setup.mutant == Mutant::kExpiredPermit ? failover::Duration(1h) : kSendPermit),
        true,
        r > 0 || setup.owner_returns ? setup.take_overs : 0,
        false,
        false,
        0};
    routers_.push_back(WithFingerprint(std::move(router)));
  }
  Change(0, [this](Router& router, Outs& out) { RequestAttempt(0, router, out); });
}

std::vector<FailoverModel::Event> FailoverModel::Events() const {
  std::vector<Event> events;
  auto add = [&](std::string name, auto what, std::shared_ptr<const InFlightMessage> in_flight = {}) {
    events.push_back({std::move(name), std::move(in_flight), what});
  };
  for (std::size_t i = 0; i < in_flight_.size(); ++i) {
    if (i > 0 && in_flight_[i]->Same(*in_flight_[i - 1])) continue;
    add(
        "", [i](FailoverModel& t) { t.Deliver(i, false); }, in_flight_[i]);
    if (budget_.duplicates > 0)
      add(
          "delivers and keeps ", [i](FailoverModel& t) { t.Deliver(i, true); }, in_flight_[i]);
  }
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    const Router& router = *routers_[r];
    if (!router.alive) continue;
    std::string name = "r" + std::to_string(r);
    if (router.in_progress) {
      add(name + ": a value", [r](FailoverModel& t) { t.EndAttempt(r, true, true); });
      add(name + ": no reply", [r](FailoverModel& t) { t.EndAttempt(r, false, true); });
      if (setup_.lost_dials)
        add(name + ": never ran", [r](FailoverModel& t) { t.EndAttempt(r, false, false); });
    }
    auto phase = router.ownership.record().phase();
    if (router.take_overs > 0 &&
        (phase == RecordProposer::Phase::kLost || (phase == RecordProposer::Phase::kIdle && r > 0))) {
      add(name + " takes over", [r](FailoverModel& t) {
        t.Change(r, [&](Router& one, Outs& out) {
          --one.take_overs;
          t.TakeOver(r, one, out);
        });
      });
    }
    if (setup_.second_client && r == 1 && phase == RecordProposer::Phase::kIdle)
      add(name + " receives the request", [r](FailoverModel& t) {
        t.Change(r, [&](Router& one, Outs& out) { t.RequestAttempt(r, one, out); });
      });
    if (budget_.deaths > 0)
      add(name + " dies", [r](FailoverModel& t) {
        --t.budget_.deaths;
        t.Change(r, [](Router& one, Outs&) { one.alive = false; });
      });
  }
  for (std::size_t s = 0; budget_.restarts > 0 && s < replicas_.size(); ++s) {
    add("replica " + std::to_string(s) + " restarts", [s](FailoverModel& t) {
      --t.budget_.restarts;
      failover::TimePoint started = t.setup_.mutant == Mutant::kEarlyVote ? -kLongAgo : t.now_;
      std::uint64_t generation = t.replicas_[s]->generation + 1;
      t.replicas_[s] = WithFingerprint(Replica{t.MakeReplica(s, generation, started), generation, 0});
    });
  }
  for (std::size_t s = 0; budget_.syncs > 0 && s < replicas_.size(); ++s) {
    if (replicas_[s]->generation == 1) continue;
    add("replica " + std::to_string(s) + " asks for state", [s](FailoverModel& t) { t.RequestSyncs(s); });
  }
  for (std::size_t i = 0; i < syncs_.size(); ++i) {
    const SyncMessages& sync = *syncs_[i];
    add("sync: replica " + std::to_string(sync.from) + " -> replica " + std::to_string(sync.to) + ": " +
            failover::Text(sync.messages.front()),
        [i](FailoverModel& t) { t.DeliverSync(i); });
  }
  if (budget_.reads > 0)
    add("read", [](FailoverModel& t) {
      --t.budget_.reads;
      t.seen_.fill(0);
      Outs out;
      t.reader_.StartRead(out);
      for (RecordProposer::Outgoing& one : out)
        t.Post(true, t.routers_.size(), one.replica, std::move(one.message));
    });
  if (budget_.time_steps > 0)
    add("time passes", [](FailoverModel& t) {
      --t.budget_.time_steps;
      t.now_ += kTimeStep;
    });
  return events;
}

std::uint64_t FailoverModel::Fingerprint() const {
  std::array<std::vector<std::uint64_t>, failover::kReplicas> of;
  for (std::size_t s = 0; s < of.size(); ++s) {
    of[s].push_back(replicas_[s]->fingerprint);
    for (const auto& router : routers_) of[s].push_back(router->replica_fingerprints[s]);
    of[s].push_back(seen_[s]);
  }
  for (const auto& in_flight : in_flight_) of[in_flight->replica].push_back(in_flight->fingerprint);
  std::uint64_t syncs = 0;  // independent of their order
  for (const auto& sync : syncs_) syncs += sync->fingerprint;
  std::array<std::uint64_t, failover::kReplicas> fingerprints;
  for (std::size_t s = 0; s < of.size(); ++s)
    fingerprints[s] = XXH3_64bits(of[s].data(), of[s].size() * sizeof of[s][0]);
  std::ranges::sort(fingerprints);
  std::vector<std::uint64_t> all(fingerprints.begin(), fingerprints.end());
  auto add = [&](auto value) { all.push_back(static_cast<std::uint64_t>(value)); };
  for (const auto& router : routers_) add(router->fingerprint);
  for (int each : {budget_.restarts, budget_.syncs, budget_.deaths, budget_.duplicates, budget_.time_steps,
                   budget_.reads})
    add(each);
  add(syncs);
  add(now_.count());
  for (const SentAttempt& sent : sent_) add(sent.at.count()), add(sent.by), add(sent.ran);
  add(outcome_at_.count());
  add(Hash(outcome_));
  return XXH3_64bits(all.data(), all.size() * sizeof all[0]);
}

failover::RecordReplica FailoverModel::MakeReplica(std::size_t s, std::uint64_t generation,
                                                   failover::TimePoint started) const {
  if (setup_.syncs == 0) return failover::RecordReplica({}, started);
  return failover::RecordReplica({}, started, NameOf(s), generation, [](const std::string&) {
    return std::array<std::string, failover::kReplicas>{NameOf(0), NameOf(1), NameOf(2)};
  });
}

void FailoverModel::SendSync(std::size_t from, std::size_t to, std::vector<Message> messages) {
  std::string bytes{'w', static_cast<char>(from), static_cast<char>(to)};
  for (const Message& message : messages) failover::AppendState(bytes, message);
  syncs_.push_back(
      std::make_shared<const SyncMessages>(SyncMessages{from, to, std::move(messages), Hash(bytes)}));
}

void FailoverModel::RequestSyncs(std::size_t s) {
  --budget_.syncs;
  Replica replica = *replicas_[s];
  Message ask = replica.acceptor.RequestSync(now_);
  replicas_[s] = WithFingerprint(std::move(replica));
  for (std::size_t other = 0; other < failover::kReplicas; ++other)
    if (other != s) SendSync(s, other, {ask});
}

void FailoverModel::DeliverSync(std::size_t i) {
  auto sync = syncs_[i];
  syncs_.erase(syncs_.begin() + static_cast<std::ptrdiff_t>(i));
  Replica replica = *replicas_[sync->to];
  if (sync->messages.front().kind == failover::Kind::kSyncRequest) {
    std::vector<Message> answer = replica.acceptor.AnswerSync(now_, sync->messages.front());
    if (setup_.mutant == Mutant::kEmptySync) {
      answer.resize(1);
      answer[0].version = 0;
    }
    SendSync(sync->to, sync->from, std::move(answer));
  } else {
    for (const Message& message : sync->messages)
      replica.acceptor.HandleSync(now_, NameOf(sync->from), message);
    if (setup_.mutant == Mutant::kSingleSync) {
      for (const Message& message : sync->messages)
        replica.acceptor.HandleSync(now_, NameOf(3 - sync->from - sync->to), message);
    }
  }
  replicas_[sync->to] = WithFingerprint(std::move(replica));
}

std::shared_ptr<const FailoverModel::Replica> FailoverModel::WithFingerprint(Replica replica) {
  std::string bytes;
  replica.acceptor.AppendState(bytes);
  replica.fingerprint = Hash(bytes);
  return std::make_shared<const Replica>(std::move(replica));
}

std::shared_ptr<const FailoverModel::Router> FailoverModel::WithFingerprint(Router router) {
  std::string bytes{router.alive, static_cast<char>(router.take_overs), router.in_progress, router.retried};
  router.ownership.AppendState(bytes);
  router.fingerprint = Hash(bytes);
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    bytes.clear();
    router.ownership.record().AppendState(s, bytes);
    router.replica_fingerprints[s] = Hash(bytes);
  }
  return std::make_shared<const Router>(std::move(router));
}

bool FailoverModel::HasNoEffect(const InFlightMessage& in_flight) const {
  if (in_flight.message.kind == failover::Kind::kRead) return false;
  if (setup_.syncs > 0 && budget_.restarts > 0)
    return false;  // a replica may accept after a restart what it rejects now
  const auto& stored = replicas_[in_flight.replica]->acceptor.stored();
  if (stored.empty()) return false;
  const auto& record = stored.begin()->second;
  bool stands = in_flight.message.kind == failover::Kind::kAccept &&
                record.accepted == in_flight.message.ballot && record.version >= in_flight.message.version &&
                setup_.duplicates == 0;
  if (stands) return true;
  bool refused = record.promised > in_flight.message.ballot ||
                 (in_flight.message.ballot.round == 0 && record.promised != in_flight.message.ballot);
  Message answer = in_flight.message;
  answer.kind = failover::Kind::kNack;
  return refused && !(routers_[in_flight.router]->alive &&
                      routers_[in_flight.router]->ownership.record().Expects(in_flight.replica, answer));
}

bool FailoverModel::Expects(std::size_t r, const InFlightMessage& in_flight) const {
  if (r == routers_.size()) return reader_.Expects(in_flight.replica, in_flight.message);
  return routers_[r]->alive && routers_[r]->ownership.record().Expects(in_flight.replica, in_flight.message);
}

void FailoverModel::Post(bool to_replica, std::size_t r, std::size_t s, Message message) {
  if (setup_.mutant == Mutant::kFormerGenerations) message.generations = {};
  std::string bytes{to_replica ? 't' : 'o', static_cast<char>(r)};
  failover::AppendState(bytes, message);
  auto in_flight = std::make_shared<const InFlightMessage>(
      InFlightMessage{to_replica, r, s, std::move(message), Hash(bytes)});
  if (!to_replica && !Expects(r, *in_flight)) return;
  auto before = [](const auto& one, const auto& other) {
    return std::tie(one->fingerprint, one->replica) < std::tie(other->fingerprint, other->replica);
  };
  in_flight_.insert(std::upper_bound(in_flight_.begin(), in_flight_.end(), in_flight, before), in_flight);
}

void FailoverModel::Deliver(std::size_t i, bool keep) {
  auto in_flight = in_flight_[i];
  if (keep) --budget_.duplicates;
  if (!keep) in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(i));
  if (in_flight->to_replica) {
    Replica replica = *replicas_[in_flight->replica];
    Post(false, in_flight->router, in_flight->replica, replica.acceptor.Handle(now_, in_flight->message));
    replicas_[in_flight->replica] = WithFingerprint(std::move(replica));
    std::erase_if(in_flight_, [&](const auto& one) {
      return one->to_replica && one->replica == in_flight->replica && HasNoEffect(*one);
    });
    return CheckRejection(in_flight->message);
  }
  if (in_flight->router == routers_.size()) {
    seen_[in_flight->replica] = in_flight->fingerprint;
    reader_.Handle(in_flight->replica, in_flight->message);
    if (const failover::RecordState* outcome = reader_.Outcome()) OnOutcome(outcome->outcome, outcome->value);
    return;
  }
  if (!routers_[in_flight->router]->alive) return;
  Change(in_flight->router, [&](Router& router, Outs& out) {
    HandleReply(in_flight->router, router, in_flight->replica, in_flight->message, out);
    if (setup_.mutant == Mutant::kOneReplica)
      HandleReply(in_flight->router, router, (in_flight->replica + 1) % 3, in_flight->message, out);
  });
}

}  // namespace peatbend::orders

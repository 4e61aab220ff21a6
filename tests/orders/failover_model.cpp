// The model of an operation's replicas and routers: what may happen next, what is in flight, and what
// replicas do with it.
#include "orders/failover_model.h"

#include <algorithm>

namespace peatbend::orders {

FailoverModel::FailoverModel(FailoverModelSetup setup)
    : setup_(setup), reader_("w", {"reader", 7, 1}), budget_{setup.restarts, setup.syncs,  setup.deaths,
                                                             setup.twice,    setup.passes, setup.looks} {
  cls_.effect = setup.effect;
  cls_.dedup_window = kWindow;
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    replicas_.push_back(Of(Replica{Fresh(s, 1, -kOld), 1, 0}));
  }
  for (int r = 0; r < setup.routers; ++r) {
    Router router{OperationOwnership("w", {"r" + std::to_string(r), 7, 1},
                                     setup.mutant == Mutant::kOldPermission ? failover::Span(1h) : kWithin),
                  true,
                  r > 0 || setup.back ? setup.tries : 0,
                  false,
                  false,
                  0};
    routers_.push_back(Of(std::move(router)));
  }
  Change(0, [this](Router& router, Outs& out) { Want(0, router, out); });
}

std::vector<FailoverModel::Event> FailoverModel::Events() const {
  std::vector<Event> events;
  auto may = [&](std::string name, auto what, std::shared_ptr<const Parcel> parcel = {}) {
    events.push_back({std::move(name), std::move(parcel), what});
  };
  for (std::size_t i = 0; i < bag_.size(); ++i) {
    if (i > 0 && bag_[i]->Same(*bag_[i - 1])) continue;
    may(
        "", [i](FailoverModel& t) { t.Deliver(i, false); }, bag_[i]);
    if (budget_.twice > 0)
      may(
          "keeps ", [i](FailoverModel& t) { t.Deliver(i, true); }, bag_[i]);
  }
  for (std::size_t r = 0; r < routers_.size(); ++r) {
    const Router& router = *routers_[r];
    if (!router.alive) continue;
    std::string name = "r" + std::to_string(r);
    if (router.out) {
      may(name + ": a value", [r](FailoverModel& t) { t.Settle(r, true, true); });
      may(name + ": silence", [r](FailoverModel& t) { t.Settle(r, false, true); });
      if (setup_.lost_dials) may(name + ": never ran", [r](FailoverModel& t) { t.Settle(r, false, false); });
    }
    auto phase = router.ownership.record().phase();
    if (router.tries > 0 &&
        (phase == RecordProposer::Phase::kLost || (phase == RecordProposer::Phase::kIdle && r > 0))) {
      may(name + " tries", [r](FailoverModel& t) {
        t.Change(r, [&](Router& one, Outs& out) {
          --one.tries;
          t.TakeOver(r, one, out);
        });
      });
    }
    if (setup_.second_asker && r == 1 && phase == RecordProposer::Phase::kIdle)
      may(name + " is asked",
          [r](FailoverModel& t) { t.Change(r, [&](Router& one, Outs& out) { t.Want(r, one, out); }); });
    if (budget_.deaths > 0)
      may(name + " dies", [r](FailoverModel& t) {
        --t.budget_.deaths;
        t.Change(r, [](Router& one, Outs&) { one.alive = false; });
      });
  }
  for (std::size_t s = 0; budget_.restarts > 0 && s < replicas_.size(); ++s) {
    may("replica " + std::to_string(s) + " restarts", [s](FailoverModel& t) {
      --t.budget_.restarts;
      failover::Time started = t.setup_.mutant == Mutant::kForgotten ? -kOld : t.now_;
      std::uint64_t life = t.replicas_[s]->life + 1;
      t.replicas_[s] = Of(Replica{t.Fresh(s, life, started), life, 0});
    });
  }
  for (std::size_t s = 0; budget_.syncs > 0 && s < replicas_.size(); ++s) {
    if (replicas_[s]->life == 1) continue;
    may("replica " + std::to_string(s) + " asks for state", [s](FailoverModel& t) { t.RequestSyncs(s); });
  }
  for (std::size_t i = 0; i < syncs_.size(); ++i) {
    const SyncMessages& sync = *syncs_[i];
    may("sync: replica " + std::to_string(sync.from) + " -> replica " + std::to_string(sync.to) + ": " +
            failover::Text(sync.messages.front()),
        [i](FailoverModel& t) { t.DeliverSync(i); });
  }
  if (budget_.looks > 0)
    may("one looks", [](FailoverModel& t) {
      --t.budget_.looks;
      t.seen_.fill(0);
      Outs out;
      t.reader_.Ask(out);
      for (RecordProposer::Outgoing& one : out)
        t.Post(true, t.routers_.size(), one.replica, std::move(one.message));
    });
  if (budget_.passes > 0)
    may("time passes", [](FailoverModel& t) {
      --t.budget_.passes;
      t.now_ += kPass;
    });
  return events;
}

std::uint64_t FailoverModel::Print() const {
  std::array<std::vector<std::uint64_t>, failover::kReplicas> of;
  for (std::size_t s = 0; s < of.size(); ++s) {
    of[s].push_back(replicas_[s]->print);
    for (const auto& router : routers_) of[s].push_back(router->of_replica[s]);
    of[s].push_back(seen_[s]);
  }
  for (const auto& parcel : bag_) of[parcel->replica].push_back(parcel->print);
  std::uint64_t syncs = 0;  // in whatever order
  for (const auto& sync : syncs_) syncs += sync->print;
  std::array<std::uint64_t, failover::kReplicas> prints;
  for (std::size_t s = 0; s < of.size(); ++s)
    prints[s] = XXH3_64bits(of[s].data(), of[s].size() * sizeof of[s][0]);
  std::ranges::sort(prints);
  std::vector<std::uint64_t> all(prints.begin(), prints.end());
  auto add = [&](auto value) { all.push_back(static_cast<std::uint64_t>(value)); };
  for (const auto& router : routers_) add(router->print);
  for (int each :
       {budget_.restarts, budget_.syncs, budget_.deaths, budget_.twice, budget_.passes, budget_.looks})
    add(each);
  add(syncs);
  add(now_.count());
  for (const Sent& sent : sent_) add(sent.at.count()), add(sent.by), add(sent.ran);
  add(told_at_.count());
  add(Hash(told_));
  return XXH3_64bits(all.data(), all.size() * sizeof all[0]);
}

failover::RecordReplica FailoverModel::Fresh(std::size_t s, std::uint64_t life,
                                             failover::Time started) const {
  if (setup_.syncs == 0) return failover::RecordReplica({}, started);
  return failover::RecordReplica({}, started, NameOf(s), life, [](const std::string&) {
    return std::array<std::string, failover::kReplicas>{NameOf(0), NameOf(1), NameOf(2)};
  });
}

void FailoverModel::Carry(std::size_t from, std::size_t to, std::vector<Message> messages) {
  std::string bytes{'w', static_cast<char>(from), static_cast<char>(to)};
  for (const Message& message : messages) failover::Put(bytes, message);
  syncs_.push_back(
      std::make_shared<const SyncMessages>(SyncMessages{from, to, std::move(messages), Hash(bytes)}));
}

void FailoverModel::RequestSyncs(std::size_t s) {
  --budget_.syncs;
  Replica replica = *replicas_[s];
  Message ask = replica.acceptor.RequestSync();
  replicas_[s] = Of(std::move(replica));
  for (std::size_t other = 0; other < failover::kReplicas; ++other)
    if (other != s) Carry(s, other, {ask});
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
    Carry(sync->to, sync->from, std::move(answer));
  } else {
    for (const Message& message : sync->messages)
      replica.acceptor.HandleSync(now_, NameOf(sync->from), message);
    if (setup_.mutant == Mutant::kOneSync) {
      for (const Message& message : sync->messages)
        replica.acceptor.HandleSync(now_, NameOf(3 - sync->from - sync->to), message);
    }
  }
  replicas_[sync->to] = Of(std::move(replica));
}

std::shared_ptr<const FailoverModel::Replica> FailoverModel::Of(Replica replica) {
  std::string bytes;
  replica.acceptor.Put(bytes);
  replica.print = Hash(bytes);
  return std::make_shared<const Replica>(std::move(replica));
}

std::shared_ptr<const FailoverModel::Router> FailoverModel::Of(Router router) {
  std::string bytes{router.alive, static_cast<char>(router.tries), router.out, router.again};
  router.ownership.Put(bytes);
  router.print = Hash(bytes);
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    bytes.clear();
    router.ownership.record().Put(s, bytes);
    router.of_replica[s] = Hash(bytes);
  }
  return std::make_shared<const Router>(std::move(router));
}

bool FailoverModel::Idle(const Parcel& parcel) const {
  if (parcel.message.kind == failover::Kind::kRead) return false;
  if (setup_.syncs > 0 && budget_.restarts > 0)
    return false;  // what it refuses now it may take once it restarts
  const auto& stored = replicas_[parcel.replica]->acceptor.stored();
  if (stored.empty()) return false;
  const auto& record = stored.begin()->second;
  bool stands = parcel.message.kind == failover::Kind::kAccept && record.kept == parcel.message.ballot &&
                record.version >= parcel.message.version && setup_.twice == 0;
  if (stands) return true;
  bool refused = record.promised > parcel.message.ballot ||
                 (parcel.message.ballot.round == 0 && record.promised != parcel.message.ballot);
  Message answer = parcel.message;
  answer.kind = failover::Kind::kNack;
  return refused && !(routers_[parcel.router]->alive &&
                      routers_[parcel.router]->ownership.record().Waits(parcel.replica, answer));
}

bool FailoverModel::Waits(std::size_t r, const Parcel& parcel) const {
  if (r == routers_.size()) return reader_.Waits(parcel.replica, parcel.message);
  return routers_[r]->alive && routers_[r]->ownership.record().Waits(parcel.replica, parcel.message);
}

void FailoverModel::Post(bool to_replica, std::size_t r, std::size_t s, Message message) {
  if (setup_.mutant == Mutant::kFormerLives) message.lives = {};
  std::string bytes{to_replica ? 't' : 'o', static_cast<char>(r)};
  failover::Put(bytes, message);
  auto parcel = std::make_shared<const Parcel>(Parcel{to_replica, r, s, std::move(message), Hash(bytes)});
  if (!to_replica && !Waits(r, *parcel)) return;
  auto before = [](const auto& one, const auto& other) {
    return std::tie(one->print, one->replica) < std::tie(other->print, other->replica);
  };
  bag_.insert(std::upper_bound(bag_.begin(), bag_.end(), parcel, before), parcel);
}

void FailoverModel::Deliver(std::size_t i, bool keep) {
  auto parcel = bag_[i];
  if (keep) --budget_.twice;
  if (!keep) bag_.erase(bag_.begin() + static_cast<std::ptrdiff_t>(i));
  if (parcel->to_replica) {
    Replica replica = *replicas_[parcel->replica];
    Post(false, parcel->router, parcel->replica, replica.acceptor.Take(now_, parcel->message));
    replicas_[parcel->replica] = Of(std::move(replica));
    std::erase_if(bag_, [&](const auto& one) {
      return one->to_replica && one->replica == parcel->replica && Idle(*one);
    });
    return Committed(parcel->message);
  }
  if (parcel->router == routers_.size()) {
    seen_[parcel->replica] = parcel->print;
    reader_.Take(parcel->replica, parcel->message);
    if (const failover::RecordState* outcome = reader_.Outcome()) Tell(outcome->outcome, outcome->value);
    return;
  }
  if (!routers_[parcel->router]->alive) return;
  Change(parcel->router, [&](Router& router, Outs& out) {
    Take(parcel->router, router, parcel->replica, parcel->message, out);
    if (setup_.mutant == Mutant::kOneReplica)
      Take(parcel->router, router, (parcel->replica + 1) % 3, parcel->message, out);
  });
}

}  // namespace peatbend::orders

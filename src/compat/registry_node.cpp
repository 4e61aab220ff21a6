#include "compat/registry_node.h"

#include <xxhash.h>

#include <algorithm>

#include "failover/wire.h"

namespace peatbend::compat {

using failover::Ballot;
using failover::Kind;
using failover::kReplicas;
using failover::RecordProposer;

namespace {

constexpr int kMaxDoublings = 6;  // of the backoff

// Changes nothing; the state that it reads is then committed.
UpdateResult ReadOnly(RegistryState&) { return {}; }

}  // namespace

RegistryNode::RegistryNode(RegistryOptions options, const failover::ReplicaSet& replicas, std::string self,
                           std::uint64_t generation, std::uint64_t nonce, TimePoint now,
                           std::function<std::vector<std::string>()> others)
    : options_(options),
      replicas_fingerprint_(replicas.fingerprint()),
      self_(std::move(self)),
      generation_(generation),
      nonce_(nonce),
      random_(nonce),
      others_(std::move(others)),
      replica_({}, now),
      bootstrap_id_(nonce),
      now_(now),
      sync_at_(now),
      announce_at_(now),
      known_(options.bounds) {
  auto of = replicas.ReplicasFor(kRecordKey);
  for (std::size_t i = 0; i < kReplicas; ++i) replicas_[i] = replicas.all()[of[i]].router;
}

std::size_t RegistryNode::ReplicaOf(const std::string& router) const {
  return static_cast<std::size_t>(std::ranges::find(replicas_, router) - replicas_.begin());
}

// ---- Updates ---------------------------------------------------------------------------------------------

void RegistryNode::Submit(TimePoint now, std::string label, RegistryUpdate::Command command,
                          Callback callback) {
  if (queue_.size() >= options_.max_queued) {
    UpdateResult busy{
        {{"", "", "busy", std::to_string(queue_.size()) + " updates are queued already", 0, {}}}};
    completed_.push_back({std::move(label), std::move(busy), std::move(callback)});
    return;
  }
  queue_.push_back({std::move(label), std::move(command), std::move(callback)});
  StartBallot(now);
}

// Of the update in progress, or else of the next one in the queue.
void RegistryNode::StartBallot(TimePoint now) {
  if (generation_ == 0) return;
  if (!update_) {
    if (queue_.empty()) return;
    update_.emplace(kRecordKey, failover::Proposer{self_, nonce_, ++proposal_}, queue_.front().command,
                    options_.bounds);
    ballots_ = 0;
  }
  update_->ObserveBallot(std::max(highest_seen_, known_ballot_));
  std::vector<RecordProposer::Outgoing> out;
  update_->Start(now, out);
  backing_off_ = false;
  ballot_started_ = now;
  resend_at_ = now + options_.resend_interval;
  ++ballots_;
  ++metrics_.ballots;
  SendAll(std::move(out));
}

void RegistryNode::SendAll(std::vector<RecordProposer::Outgoing> out) {
  for (RecordProposer::Outgoing& one : out) {
    if (one.message.kind == Kind::kAccept) written_ = one.message.ballot;
    SendRecordMessage(replicas_[one.replica], one.message);
  }
}

void RegistryNode::OnReply(TimePoint now, std::size_t replica, const failover::Message& reply) {
  if (!update_ || backing_off_ || replica == kReplicas) return;
  std::vector<RecordProposer::Outgoing> out;
  RegistryUpdate::Progress progress = update_->Handle(now, replica, reply, out);
  SendAll(std::move(out));
  if (progress == RegistryUpdate::Progress::kConflict) {
    highest_seen_ = std::max(highest_seen_, update_->record().highest_seen());
    ++metrics_.conflicts;
    backing_off_ = true;
    Duration max_backoff =
        std::min(options_.max_backoff, options_.min_backoff * (1 << std::min(ballots_, kMaxDoublings)));
    resend_at_ =
        now +
        Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(max_backoff.count())));
  } else if (progress == RegistryUpdate::Progress::kCommitted) {
    std::uint64_t before = revision_;
    if (update_->state())
      UpdateKnown(written_, *update_->state(), update_->record().state().value);
    else
      highest_seen_ = std::max(highest_seen_, written_);
    if (revision_ != before) {
      for (const std::string& other : others_()) Announce(other);
    } else {
      for (const std::string& other : replicas_) Announce(other);
    }
    PendingUpdate done = std::move(queue_.front());
    queue_.pop_front();
    ++metrics_.updates;
    if (!update_->result().ok()) ++metrics_.rejected;
    completed_.push_back({std::move(done.label), update_->result(), std::move(done.callback)});
    update_.reset();
    StartBallot(now);
  }
}

// ---- Known state ------------------------------------------------------------------------------------------

void RegistryNode::UpdateKnown(const Ballot& ballot, RegistryState state, std::string bytes) {
  if (ballot <= known_ballot_) return;
  known_ballot_ = ballot;
  if (revision_ > 0 && bytes == known_bytes_) return;
  ++revision_;
  known_fingerprint_ = bytes.empty() ? 0 : XXH3_64bits(bytes.data(), bytes.size());
  known_bytes_ = std::move(bytes);
  known_ = std::move(state);
}

void RegistryNode::OnStateMessage(const std::string& from, const Message& message) {
  if (message.kind == MessageKind::kStateRequest) {
    if (known_ballot_.round == 0) return;
    Message reply;
    reply.kind = MessageKind::kState;
    reply.ballot = known_ballot_;
    reply.bytes = known_bytes_;
    outgoing_.push_back({from, std::move(reply)});
    return;
  }
  if (message.ballot < known_ballot_) return Announce(from);
  if (message.ballot == known_ballot_) return;
  if (message.kind == MessageKind::kState) {
    if (auto read = RegistryState::Parse(message.bytes, options_.bounds))
      UpdateKnown(message.ballot, std::move(*read), message.bytes);
  } else if (revision_ > 0 && message.fingerprint == known_fingerprint_) {
    known_ballot_ = message.ballot;
  } else {
    ++metrics_.states_requested;
    Send(from, MessageKind::kStateRequest);
  }
}

void RegistryNode::Announce(const std::string& to) {
  if (to == self_) return;
  Message message;
  message.kind = MessageKind::kAnnounce;
  message.ballot = known_ballot_;
  message.fingerprint = known_fingerprint_;
  outgoing_.push_back({to, std::move(message)});
}

// ---- Messages and time -----------------------------------------------------------------------------------

void RegistryNode::Send(const std::string& to, MessageKind kind, std::uint64_t bootstrap_id) {
  Message message;
  message.kind = kind;
  message.bootstrap_id = bootstrap_id;
  outgoing_.push_back({to, std::move(message)});
}

void RegistryNode::SendRecordMessage(const std::string& to, const failover::Message& message) {
  Message envelope;
  envelope.bytes = failover::Encode(replicas_fingerprint_, {message});
  outgoing_.push_back({to, std::move(envelope)});
}

void RegistryNode::Handle(TimePoint now, const std::string& from, const Message& message) {
  now_ = now;
  switch (message.kind) {
    case MessageKind::kRecord: {
      std::vector<failover::Message> messages;
      if (failover::Decode(message.bytes, replicas_fingerprint_, messages) != failover::DecodeError::kNone)
        return;
      for (const failover::Message& one : messages) {
        bool reply = one.kind == Kind::kPromise || one.kind == Kind::kAccepted || one.kind == Kind::kNack;
        reply ? OnReply(now, ReplicaOf(from), one) : OnRequest(now, from, one);
      }
      break;
    }
    case MessageKind::kBootstrapRequest:
    case MessageKind::kBootstrapAgreed:
    case MessageKind::kBootstrapRejected:
      OnBootstrapMessage(now, from, message);
      break;
    case MessageKind::kAnnounce:
    case MessageKind::kStateRequest:
    case MessageKind::kState:
      OnStateMessage(from, message);
      break;
    default:
      break;
  }
  // A replica that has accepted a value without hearing of its commit reads the record after max_lag, unless
  // it hears of the commit before.
  auto slot = replica_.stored().find(kRecordKey);
  bool lags = is_replica() && slot != replica_.stored().end() && slot->second.version > 0 &&
              slot->second.accepted > std::max(known_ballot_, highest_seen_);
  if (!lags)
    lag_since_ = {};
  else if (lag_since_ == TimePoint{})
    lag_since_ = now;
}

void RegistryNode::Tick(TimePoint now) {
  now_ = now;
  if (update_ && now >= resend_at_) {
    if (backing_off_ || now - ballot_started_ >= options_.ballot_timeout) {
      StartBallot(now);
    } else {
      std::vector<RecordProposer::Outgoing> out;
      update_->Resend(now, out);
      resend_at_ = now + options_.resend_interval * std::min(ballots_, 8);
      SendAll(std::move(out));
    }
  } else if (!update_) {
    StartBallot(now);
  }
  if (is_replica() && !replica_.MayVote(now, kRecordKey) && now >= sync_at_) RequestToVote(now);
  if (lag_since_ != TimePoint{} && now - lag_since_ >= options_.max_lag) {
    lag_since_ = now;
    if (queue_.empty()) Submit(now, "", ReadOnly, [](const UpdateResult&) {});
  }
  if (now >= announce_at_) {
    announce_at_ = now + (revision_ > 0 ? options_.announce_interval : options_.min_sync_interval);
    std::vector<std::string> others = others_();
    if (!others.empty()) Announce(others[random_() % others.size()]);
  }
}

TimePoint RegistryNode::Due() const {
  TimePoint due = announce_at_;
  if (update_) due = std::min(due, resend_at_);
  if (is_replica() && !replica_.MayVote(now_, kRecordKey)) due = std::min(due, sync_at_);
  if (lag_since_ != TimePoint{}) due = std::min(due, lag_since_ + options_.max_lag);
  return due;
}

}  // namespace peatbend::compat

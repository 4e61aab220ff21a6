#include "compat/bureau.h"

#include <xxhash.h>

#include <algorithm>

#include "failover/wire.h"

namespace peatbend::compat {

using failover::Ballot;
using failover::Kind;
using failover::kReplicas;
using failover::Message;
using failover::RecordProposer;

namespace {

constexpr int kMostDoublings = 6;  // of a pause

// A change of nothing: what it reads stands then.
Answer ReadOnly(Catalogue&) { return {}; }

}  // namespace

Bureau::Bureau(BureauOptions options, const failover::ReplicaSet& seats, std::string self, std::uint64_t life,
               std::uint64_t nonce, TimePoint now, std::function<std::vector<std::string>()> others)
    : options_(options),
      print_(seats.fingerprint()),
      self_(std::move(self)),
      life_(life),
      nonce_(nonce),
      random_(nonce),
      others_(std::move(others)),
      replica_({}, now),
      founding_(nonce),
      now_(now),
      words_at_(now),
      news_at_(now),
      known_(options.bounds) {
  auto of = seats.ReplicasFor(kWork);
  for (std::size_t i = 0; i < kReplicas; ++i) seats_[i] = seats.all()[of[i]].router;
}

std::size_t Bureau::SeatOf(const std::string& router) const {
  return static_cast<std::size_t>(std::ranges::find(seats_, router) - seats_.begin());
}

// ---- Changes ---------------------------------------------------------------------------------------------

void Bureau::Bring(TimePoint now, std::string label, Change::Command command, Then then) {
  if (queue_.size() >= options_.queue) {
    Answer busy{{{"", "", "busy", std::to_string(queue_.size()) + " changes wait already", 0, {}}}};
    told_.push_back({std::move(label), std::move(busy), std::move(then)});
    return;
  }
  queue_.push_back({std::move(label), std::move(command), std::move(then)});
  Begin(now);
}

// The next of the queue, if none is under way.
void Bureau::Begin(TimePoint now) {
  if (life_ == 0) return;
  if (!change_) {
    if (queue_.empty()) return;
    change_.emplace(kWork, failover::Proposer{self_, nonce_, ++go_}, queue_.front().command, options_.bounds);
    goes_ = 0;
  }
  change_->Above(std::max(met_, known_at_));
  std::vector<RecordProposer::Outgoing> out;
  change_->Begin(now, out);
  paused_ = false;
  begun_ = now;
  again_at_ = now + options_.again;
  ++goes_;
  ++figures_.goes;
  Post(std::move(out));
}

void Bureau::Post(std::vector<RecordProposer::Outgoing> out) {
  for (RecordProposer::Outgoing& one : out) {
    if (one.message.kind == Kind::kAccept) written_ = one.message.ballot;
    SendMessage(seats_[one.replica], one.message);
  }
}

void Bureau::Answered(TimePoint now, std::size_t seat, const Message& answer) {
  if (!change_ || paused_ || seat == kReplicas) return;
  std::vector<RecordProposer::Outgoing> out;
  Change::Verdict verdict = change_->Take(now, seat, answer, out);
  Post(std::move(out));
  if (verdict == Change::Verdict::kLost) {
    met_ = std::max(met_, change_->record().highest_seen());
    ++figures_.outrun;
    paused_ = true;
    Duration most =
        std::min(options_.pause_most, options_.pause_least * (1 << std::min(goes_, kMostDoublings)));
    again_at_ =
        now + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most.count())));
  } else if (verdict == Change::Verdict::kTell) {
    std::uint64_t before = news_;
    if (change_->catalogue())
      Learn(written_, *change_->catalogue(), change_->record().state().value);
    else
      met_ = std::max(met_, written_);
    if (news_ != before) {
      for (const std::string& other : others_()) TellNews(other);
    } else {
      for (const std::string& other : seats_) TellNews(other);
    }
    Errand errand = std::move(queue_.front());
    queue_.pop_front();
    ++figures_.changes;
    if (!change_->answer().yes()) ++figures_.refused;
    told_.push_back({std::move(errand.label), change_->answer(), std::move(errand.then)});
    change_.reset();
    Begin(now);
  }
}

// ---- What is known ---------------------------------------------------------------------------------------

void Bureau::Learn(const Ballot& ballot, Catalogue catalogue, std::string bytes) {
  if (ballot <= known_at_) return;
  known_at_ = ballot;
  if (news_ > 0 && bytes == known_bytes_) return;
  ++news_;
  known_print_ = bytes.empty() ? 0 : XXH3_64bits(bytes.data(), bytes.size());
  known_bytes_ = std::move(bytes);
  known_ = std::move(catalogue);
}

void Bureau::TakeNews(const std::string& from, const Say& say) {
  if (say.kind == SayKind::kAskCatalogue) {
    if (known_at_.round == 0) return;
    Say answer;
    answer.kind = SayKind::kCatalogue;
    answer.ballot = known_at_;
    answer.bytes = known_bytes_;
    out_.push_back({from, std::move(answer)});
    return;
  }
  if (say.ballot < known_at_) return TellNews(from);
  if (say.ballot == known_at_) return;
  if (say.kind == SayKind::kCatalogue) {
    if (auto read = Catalogue::Read(say.bytes, options_.bounds))
      Learn(say.ballot, std::move(*read), say.bytes);
  } else if (news_ > 0 && say.print == known_print_) {
    known_at_ = say.ballot;
  } else {
    ++figures_.fetched;
    Send(from, SayKind::kAskCatalogue);
  }
}

void Bureau::TellNews(const std::string& to) {
  if (to == self_) return;
  Say say;
  say.kind = SayKind::kNews;
  say.ballot = known_at_;
  say.print = known_print_;
  out_.push_back({to, std::move(say)});
}

// ---- Messages and time -----------------------------------------------------------------------------------

void Bureau::Send(const std::string& to, SayKind kind, std::uint64_t number) {
  Say say;
  say.kind = kind;
  say.number = number;
  out_.push_back({to, std::move(say)});
}

void Bureau::SendMessage(const std::string& to, const Message& message) {
  Say say;
  say.bytes = failover::Encode(print_, {message});
  out_.push_back({to, std::move(say)});
}

void Bureau::Take(TimePoint now, const std::string& from, const Say& say) {
  now_ = now;
  switch (say.kind) {
    case SayKind::kRegister: {
      std::vector<Message> messages;
      if (failover::Decode(say.bytes, print_, messages) != failover::DecodeError::kNone) return;
      for (const Message& message : messages) {
        bool answer =
            message.kind == Kind::kPromise || message.kind == Kind::kAccepted || message.kind == Kind::kNack;
        answer ? Answered(now, SeatOf(from), message) : Asked(now, from, message);
      }
      break;
    }
    case SayKind::kAskFound:
    case SayKind::kFound:
    case SayKind::kNotFound:
      TakeFounding(now, from, say);
      break;
    case SayKind::kNews:
    case SayKind::kAskCatalogue:
    case SayKind::kCatalogue:
      TakeNews(from, say);
      break;
    default:
      break;
  }
  // A seat that keeps what it has not heard to stand reads it, unless it hears of it meanwhile.
  auto slot = replica_.stored().find(kWork);
  bool lags = seated() && slot != replica_.stored().end() && slot->second.version > 0 &&
              slot->second.accepted > std::max(known_at_, met_);
  if (!lags)
    lag_since_ = {};
  else if (lag_since_ == TimePoint{})
    lag_since_ = now;
}

void Bureau::Tick(TimePoint now) {
  now_ = now;
  if (change_ && now >= again_at_) {
    if (paused_ || now - begun_ >= options_.anew) {
      Begin(now);
    } else {
      std::vector<RecordProposer::Outgoing> out;
      change_->Again(now, out);
      again_at_ = now + options_.again * std::min(goes_, 8);
      Post(std::move(out));
    }
  } else if (!change_) {
    Begin(now);
  }
  if (seated() && !replica_.MayVote(now, kWork) && now >= words_at_) AskToSit(now);
  if (lag_since_ != TimePoint{} && now - lag_since_ >= options_.lag) {
    lag_since_ = now;
    if (queue_.empty()) Bring(now, "", ReadOnly, [](const Answer&) {});
  }
  if (now >= news_at_) {
    news_at_ = now + (news_ > 0 ? options_.news : options_.words);
    std::vector<std::string> others = others_();
    if (!others.empty()) TellNews(others[random_() % others.size()]);
  }
}

TimePoint Bureau::Due() const {
  TimePoint due = news_at_;
  if (change_) due = std::min(due, again_at_);
  if (seated() && !replica_.MayVote(now_, kWork)) due = std::min(due, words_at_);
  if (lag_since_ != TimePoint{}) due = std::min(due, lag_since_ + options_.lag);
  return due;
}

}  // namespace peatbend::compat

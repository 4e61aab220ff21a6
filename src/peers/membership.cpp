#include "peers/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <utility>

namespace peatbend::peers {
namespace {

constexpr int kSendsPerDoubling = 3;  // of a piece of news, for each doubling of the fleet
constexpr int kWorstHealth = 8;
constexpr std::size_t kCheckers = 8;  // look at a suspect themselves, over the whole fleet
constexpr std::size_t kHeader = 90;   // bytes of a message beside its texts and records, at most
constexpr Span kBeat = 100ms;         // Step is called at least that often
constexpr Span kLeast = 1ms;          // and not more often, whatever is due
constexpr std::uint64_t kWindow = 64;

std::uint64_t Hash(const Record& record) {
  std::uint64_t seed = XXH3_64bits(record.name.data(), record.name.size());
  std::uint64_t parts[] = {seed, record.life, record.claim};
  return XXH3_64bits(parts, sizeof parts);
}

}  // namespace

Membership::Membership(Options options, Record self, std::vector<std::string> seeds, std::uint64_t random,
                       Time now, Heard heard, Say say)
    : options_(std::move(options)),
      self_(std::move(self)),
      random_(random),
      heard_(std::move(heard)),
      say_(std::move(say)),
      last_step_(now),
      probe_at_(now),
      gossip_at_(now),
      join_at_(now),
      visit_at_(now) {
  self_.birth = self_.life;
  self_.state = State::kAlive;
  for (std::string& seed : seeds) {
    if (seed != self_.address) seeds_.push_back(std::move(seed));
  }
  std::ranges::shuffle(seeds_, random_);
  if (seeds_.empty()) Begin(now);
}

// ---- Time ------------------------------------------------------------------------------------------

// After a gap all that was believed of others is old: nobody is judged by what was asked before it, no
// suspicion runs out on time that was not lived through, and the own standing is open until somebody confirms
// it.
bool Membership::Awake(Time now) {
  Span gap = now - last_step_;
  last_step_ = std::max(last_step_, now);
  if (gap <= options_.stall) return false;
  ++figures_.stalls;
  probes_.clear();
  relays_.clear();
  confirmed_ = Time{-1};
  differs_ = Time{-1};
  Health(2);
  for (auto& [name, member] : members_) {
    member.heard = Time{};
    if (member.record.state != State::kSuspect) continue;
    member.accusers.clear();
    member.since = now;
    SetUntil(member);
  }
  if (rival_) rival_->until = now + options_.contest;
  probe_at_ = gossip_at_ = now;
  Line("stood still for " + std::to_string(gap / 1ms) + " ms; all beliefs are old until heard anew");
  return true;
}

Time Membership::Due() const {
  Time due = last_step_ + kBeat;
  if (!news_.empty()) due = std::min(due, gossip_at_);
  if (phase_ == Phase::kMember) {
    due = std::min(due, probe_at_);
    for (const auto& [number, probe] : probes_) due = std::min(due, probe.asked ? probe.end : probe.ask);
    for (const auto& [number, relay] : relays_) due = std::min(due, relay.end);
    for (const auto& [name, member] : members_) {
      if (suspects_ == 0) break;
      if (member.record.state == State::kSuspect) due = std::min(due, member.until);
    }
  }
  return std::max(due, last_step_ + kLeast);
}

void Membership::Step(Time now, std::vector<Outgoing>& out) {
  Awake(now);
  if (phase_ == Phase::kRefused && now >= refused_until_) {
    phase_ = Phase::kJoining;
    join_at_ = now;
  }
  StepJoin(now, out);
  StepRival(now, out);
  if (phase_ == Phase::kMember) {
    StepSuspects(now);
    StepProbes(now, out);
    StepVisits(now, out);
  }
  StepGossip(now, out);
}

Standing Membership::StandingAt(Time now) const {
  if (phase_ != Phase::kMember) return Standing::kOut;
  if (now - last_step_ > options_.stall) return Standing::kUnsure;  // it stood still, and has not stepped yet
  if (confirmed_ >= Time{} && now - confirmed_ < options_.suspicion_least) return Standing::kSure;
  bool others =
      std::ranges::any_of(members_, [](const auto& one) { return one.second.record.state != State::kLeft; });
  return others ? Standing::kUnsure : Standing::kAlone;
}

void Membership::Health(int step) { health_ = std::clamp(health_ + step, 0, kWorstHealth); }

// ---- News ------------------------------------------------------------------------------------------

int Membership::MostSends() const {
  return kSendsPerDoubling * static_cast<int>(std::bit_width(present() + 1));
}

void Membership::Tell(const Record& record) { news_[record.name] = {record, 0}; }

void Membership::TellSelf() {
  Changed();
  if (phase_ == Phase::kMember || phase_ == Phase::kLeft) Tell(self_);
}

// What was sent least goes first.
void Membership::Fill(Message& message) {
  if (!message.member) return;
  std::size_t used = kHeader + message.fleet.size() + message.from.size() + message.reply.size() +
                     message.target.size() + message.target_address.size();
  for (const Record& record : message.records) used += SizeOf(record);
  std::vector<News*> order;
  for (auto& [name, news] : news_) order.push_back(&news);
  auto most_of_a_message = std::min(order.size(), kMostDatagram / SizeOf(Record{}));
  std::ranges::partial_sort(order, order.begin() + static_cast<std::ptrdiff_t>(most_of_a_message), {},
                            &News::sent);
  int most = MostSends();
  for (News* news : order) {
    std::size_t size = SizeOf(news->record);
    if (used + size > kMostDatagram) break;
    used += size;
    message.records.push_back(news->record);
    ++news->sent;
  }
  std::erase_if(news_, [most](const auto& one) { return one.second.sent >= most; });
}

Message Membership::Make(Kind kind) {
  Message message;
  message.kind = kind;
  message.fleet = options_.fleet;
  message.from = self_.name;
  message.reply = self_.address;
  message.life = self_.life;
  message.birth = self_.birth;
  message.number = ++number_;
  message.member = phase_ == Phase::kMember || phase_ == Phase::kLeft;
  message.digest = Digest();
  return message;
}

Message Membership::MakeNews(Kind kind) {
  Message message = Make(kind);
  Fill(message);
  return message;
}

void Membership::Post(std::vector<Outgoing>& out, const std::string& to, Message message) {
  out.push_back({to, std::move(message), false});
}

void Membership::StepGossip(Time now, std::vector<Outgoing>& out) {
  bool speaks = phase_ == Phase::kMember || phase_ == Phase::kLeft;
  if (!speaks || news_.empty() || now < gossip_at_) return;
  gossip_at_ = now + options_.gossip;
  for (const Member* member : Some(static_cast<std::size_t>(options_.fanout), "")) {
    if (news_.empty()) return;
    Post(out, member->record.address, MakeNews(Kind::kGossip));
  }
}

void Membership::Changed() {
  bool member = phase_ == Phase::kMember;
  digest_ = member ? Hash(self_) : 0;
  present_ = member ? 1 : 0;
  suspects_ = 0;
  for (const auto& [name, other] : members_) {
    if (!other.record.present()) continue;
    digest_ ^= Hash(other.record);
    ++present_;
    if (other.record.state == State::kSuspect) ++suspects_;
  }
}

// ---- Joining, and what brings separated parts together ---------------------------------------------------

void Membership::Begin(Time now) {
  phase_ = Phase::kMember;
  probe_at_ = now;
  TellSelf();
}

Message Membership::Table(Kind kind) {
  Message table = Make(kind);
  for (const auto& [name, member] : members_) table.records.push_back(member.record);
  if (table.member) table.records.push_back(self_);
  return table;
}

// Also as a member: two parts that never met, or lost each other for long, find each other by their seeds.
void Membership::StepJoin(Time now, std::vector<Outgoing>& out) {
  if ((phase_ != Phase::kJoining && phase_ != Phase::kMember) || now < join_at_ || seeds_.empty()) return;
  bool joining = phase_ == Phase::kJoining;
  Span wait = joining ? options_.join : 4 * options_.join;
  join_at_ =
      now + wait + Span(static_cast<Span::rep>(Below(static_cast<std::uint64_t>(wait.count()) / 4 + 1)));
  std::set<std::string> known;
  if (!joining) {
    for (const auto& [name, member] : members_) {
      if (member.record.present()) known.insert(member.record.address);
    }
  }
  for (std::size_t tries = 0; tries < seeds_.size(); ++tries) {
    const std::string& seed = seeds_[next_seed_++ % seeds_.size()];
    if (known.contains(seed)) continue;
    ++figures_.joins;
    last_seed_ = seed;
    out.push_back({seed, joining ? Make(Kind::kJoin) : Table(Kind::kTable), true});
    return;
  }
}

// One of those held for dead is asked now and then: after a split they live, and learn from this that they
// are held for dead.
void Membership::StepVisits(Time now, std::vector<Outgoing>& out) {
  if (now < visit_at_) return;
  visit_at_ = now + options_.visit;
  std::vector<const Member*> dead;
  for (const auto& [name, member] : members_) {
    if (member.record.state == State::kDead) dead.push_back(&member);
  }
  if (dead.empty()) return;
  const Member& one = *dead[Below(dead.size())];
  Message ping = Make(Kind::kPing);
  ping.probe = ++last_probe_;
  ping.you = You::kGone;
  ping.records.push_back(one.record);
  Post(out, one.record.address, std::move(ping));
}

// ---- The own name ----------------------------------------------------------------------------------------

void Membership::Reborn(std::uint64_t above) {
  self_.life = std::max(self_.life, above) + 1;
  self_.claim = 0;
  number_ = 0;
  confirmed_ = Time{-1};
  ++figures_.rebirths;
}

void Membership::MergeSelf(Time now, const Record& record) {
  if (phase_ == Phase::kLeft || phase_ == Phase::kRefused) return;
  bool mine = record.birth == self_.birth;
  if (!mine && record.present() && record.address != self_.address &&
      (record.life > self_.life || phase_ == Phase::kJoining)) {
    return Contest(now, record);
  }
  if (record.life > self_.life || (record.life == self_.life && !record.present())) {
    // A process before this one, or this one, held for dead: it goes on as another.
    if (phase_ == Phase::kMember && mine)
      Line("was held for dead by " + record.by + "; goes on under a new life");
    Reborn(record.life);
    return TellSelf();
  }
  if (record.life < self_.life || phase_ != Phase::kMember) return;
  if (record.state == State::kSuspect && record.claim >= self_.claim) {
    self_.claim = record.claim + 1;
    ++figures_.refuted;
    Health(1);
    TellSelf();
  } else if (record.claim > self_.claim) {
    self_.claim = record.claim + 1;
    TellSelf();
  }
}

void Membership::Contest(Time now, const Record& record) {
  if (rival_ && rival_->record.life >= record.life) return;
  if (!rival_) Line("the name is used at " + record.address + " too; asking there");
  confirmed_ = Time{-1};
  bool member = rival_ ? rival_->member : phase_ == Phase::kMember;
  rival_ = Rival{record, member, now + options_.contest, now};
  phase_ = Phase::kContest;
  Changed();
  probes_.clear();
  relays_.clear();
}

void Membership::StepRival(Time now, std::vector<Outgoing>& out) {
  if (!rival_) return;
  if (now >= rival_->until) {  // nobody answers there: that process has ended, or cannot be reached
    Reborn(rival_->record.life);
    rival_.reset();
    Line("no answer there; goes on under the name");
    return Begin(now);
  }
  if (now < rival_->again) return;
  rival_->again = now + options_.timeout;
  Message ping = Make(Kind::kPing);
  ping.probe = ++last_probe_;
  Post(out, rival_->record.address, std::move(ping));
}

void Membership::Refuse(Time now) {
  Line("refused: the name " + self_.name + " is in use by a live process at " + rival_->record.address +
       "; tries again in " + std::to_string(options_.refused / 1s) + " s");
  rival_.reset();
  phase_ = Phase::kRefused;
  refused_until_ = now + options_.refused;
}

// ---- What comes in
// -----------------------------------------------------------------------------------------

void Membership::Replace(Time now, Member& member, const Record& record) {
  Record before = member.record;
  bool other = before.life != record.life;
  if (other) {
    member.heard = Time{};
    member.highest = member.window = 0;
  }
  if (other || before.state != record.state) {
    member.since = now;
    member.accusers.clear();
  }
  member.record = record;
  Changed();
  if (record.state == State::kSuspect) {
    if (before.state != State::kSuspect || other || before.claim != record.claim) {
      ++figures_.suspected;
      member.since = now;
      member.accusers = {record.by};
      SetUntil(member);
      bool checks = record.by != self_.name && Below(std::max<std::size_t>(present(), 1)) < kCheckers;
      if (checks) doubted_.insert(record.name);
    }
  }
  if (heard_) heard_(&before, member.record);
}

void Membership::Merge(Time now, const Record& record) {
  if (record.name == self_.name) return MergeSelf(now, record);
  auto at = members_.find(record.name);
  if (at == members_.end()) {
    if (!record.present()) return;  // nothing is known of it, and there is nothing to end
    if (members_.size() >= options_.most) {
      ++figures_.over;
      return;
    }
    Member& member = members_[record.name];
    member.record = record;
    Changed();
    member.since = now;
    if (record.state == State::kSuspect) {
      member.accusers = {record.by};
      SetUntil(member);
    }
    turns_.insert(turns_.begin() + static_cast<std::ptrdiff_t>(Below(turns_.size() + 1)), record.name);
    if (heard_) heard_(nullptr, member.record);
    return Tell(record);
  }
  Member& member = at->second;
  if (record.Rank() > member.record.Rank()) {
    Replace(now, member, record);
    return Tell(member.record);
  }
  if (record.Rank() == member.record.Rank() && record.state == State::kSuspect) Confirm(member, record.by);
}

// Its own message that has come back by another address, or the word of another process under its name.
void Membership::FromOwnName(Time now, const Message& message) {
  if (message.birth == self_.birth) {
    if (last_seed_.empty() || message.kind == Kind::kPing) return;
    std::erase(seeds_, std::exchange(last_seed_, {}));
    if (seeds_.empty() && phase_ == Phase::kJoining) Begin(now);
    return;
  }
  if (!rival_ || message.kind != Kind::kAck || message.reply != rival_->record.address) return;
  if (!rival_->member || rival_->record.birth < self_.birth) return Refuse(now);
  Reborn(rival_->record.life);  // the other is the younger: it will find this one, and go
  rival_.reset();
  Begin(now);
}

std::optional<You> Membership::Known(const Message& message, Via via) {
  auto at = members_.find(message.from);
  if (at == members_.end()) return You::kUnknown;
  Member& member = at->second;
  if (message.life < member.record.life) {
    ++figures_.former;
    return You::kGone;
  }
  if (message.life > member.record.life) return You::kUnknown;
  You you = member.record.present() ? You::kPresent : You::kGone;
  if (via != Via::kDatagram) return you;
  if (message.number > member.highest) {
    std::uint64_t by = message.number - member.highest;
    member.window = by >= kWindow ? 0 : member.window << by;
    member.highest = message.number;
  }
  std::uint64_t back = member.highest - message.number;
  if (back >= kWindow || (member.window >> back & 1) != 0) {
    ++figures_.replayed;
    return std::nullopt;
  }
  member.window |= std::uint64_t{1} << back;
  return you;
}

void Membership::Answer(Time now, const Message& message, std::vector<Outgoing>& out) {
  if (auto relay = relays_.find(message.probe); relay != relays_.end()) {
    Message passed = MakeNews(Kind::kAck);
    passed.probe = relay->second.probe;
    passed.target = message.from;
    passed.target_life = message.life;
    Post(out, relay->second.to, std::move(passed));
    relays_.erase(relay);
    return;
  }
  auto probe = probes_.find(message.probe);
  if (probe == probes_.end()) return;
  bool direct = message.from == probe->second.name && message.life == probe->second.life;
  if (!direct && (message.target != probe->second.name || message.target_life != probe->second.life)) return;
  if (direct) {
    members_.at(message.from).heard = now;
    if (message.you == You::kPresent) confirmed_ = now;
  }
  if (probe->second.main) Health(-1);
  probes_.erase(probe);
}

// Views that go on differing are brought together by a table.
void Membership::Compare(Time now, const Message& message, std::vector<Outgoing>& out) {
  if (message.digest == Digest()) {
    differs_ = Time{-1};
  } else if (differs_ < Time{}) {
    differs_ = now;
  }
  bool late = differs_ >= Time{} && now - differs_ > options_.differ;
  auto at = members_.find(message.from);
  bool fresh = at == members_.end() || at->second.record.life < message.life;
  if ((!late && !fresh) || now < table_at_) return;
  Span span = 2 * options_.differ;
  table_at_ =
      now + span + Span(static_cast<Span::rep>(Below(static_cast<std::uint64_t>(span.count()) / 4 + 1)));
  out.push_back({message.reply, Table(Kind::kTable), true});
}

std::optional<Message> Membership::Take(Time now, const Message& message, Via via,
                                        std::vector<Outgoing>& out) {
  Awake(now);
  bool own = message.from == self_.name;
  if (own) FromOwnName(now, message);
  if (own && message.birth == self_.birth) return std::nullopt;
  std::optional<You> you = own ? You::kUnknown : Known(message, via);
  if (!you) return std::nullopt;
  bool answers_join = message.kind == Kind::kTable && via == Via::kAnswer && phase_ == Phase::kJoining;
  // Whoever is not a member says nothing about others that would count.
  if (message.member && phase_ != Phase::kLeft) {
    for (const Record& record : message.records) Merge(now, record);
  }
  switch (message.kind) {
    case Kind::kPing: {
      Message ack = Make(Kind::kAck);
      ack.probe = message.probe;
      ack.you = *you;
      auto sender = members_.find(message.from);
      if (*you == You::kGone && sender != members_.end()) ack.records.push_back(sender->second.record);
      Fill(ack);
      Post(out, message.reply, std::move(ack));
      break;
    }
    case Kind::kAskPing: {
      if (relays_.size() >= options_.most || phase_ != Phase::kMember) break;
      Message ping = Make(Kind::kPing);
      ping.probe = ++last_probe_;
      Fill(ping);
      relays_[ping.probe] = {message.reply, message.probe, now + options_.timeout * 6 / 10};
      Post(out, message.target_address, std::move(ping));
      break;
    }
    case Kind::kAck:
      Answer(now, message, out);
      break;
    case Kind::kNoAnswer:
      if (auto probe = probes_.find(message.probe); probe != probes_.end()) --probe->second.silent;
      break;
    case Kind::kGossip:
      break;
    case Kind::kJoin:
      if (via == Via::kStream) return Table(Kind::kTable);
      break;
    case Kind::kCargo:  // not for the membership
      break;
    case Kind::kTable:
      if (via == Via::kDatagram) break;
      ++figures_.tables;
      if (answers_join && phase_ == Phase::kJoining) {  // nothing there speaks against the name
        Begin(now);
        Line("joined by way of " + message.from);
        out.push_back({message.reply, Table(Kind::kTable), true});
      }
      if (via == Via::kStream) return Table(Kind::kTable);
      break;
  }
  bool tells = message.kind == Kind::kPing || message.kind == Kind::kAck;
  if (phase_ == Phase::kMember && message.member && tells && !own) Compare(now, message, out);
  return std::nullopt;
}

void Membership::Leave(Time now, std::vector<Outgoing>& out) {
  if (phase_ == Phase::kMember) {
    self_.state = State::kLeft;
    phase_ = Phase::kLeft;
    TellSelf();
    for (const Member* member : Some(5, "")) Post(out, member->record.address, MakeNews(Kind::kGossip));
  }
  phase_ = Phase::kLeft;
  Changed();
  gossip_at_ = now;
  probes_.clear();
  relays_.clear();
  rival_.reset();
}

void Membership::SetNote(std::string note) {
  note.resize(std::min(note.size(), kMostNote));
  if (note == self_.note) return;
  self_.note = std::move(note);
  ++self_.claim;
  TellSelf();
}

}  // namespace peatbend::peers

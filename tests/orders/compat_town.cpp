#include "orders/compat_town.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace peatbend::orders {
namespace {

using What = CompatTown::Event::What;

std::uint64_t Hash(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }
std::string NameOf(std::size_t seat) { return "s" + std::to_string(seat); }

}  // namespace

CompatTown::CompatTown(CompatSetup setup)
    : twice_(setup.twice), restarts_(setup.restarts), words_left_(setup.words) {
  auto world = std::make_shared<World>();
  world->setup = std::move(setup);
  world_ = world;
  Catalogue first;
  first.Declare("s", {});
  first.Propose("s", 1, Record("a", false));
  first.Propose("s", 2, Record("a", true));
  if (world->setup.ann) {
    first.Join("s", "ann", 1, {1});
    counted_[kAnn] = 1;
  }
  for (const auto& version : first.subjects().at("s").versions) world->versions.push_back(version.schema);
  Message founding;
  founding.kind = failover::Kind::kAccept;
  founding.operation = "w";
  founding.ballot = {1, {"founder", 1, 1}};
  founding.version = 1;
  founding.state.value = first.Bytes();
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    Seat seat{Fresh(s, 1, true), 1, 0};
    seat.holder.Take({}, founding);
    seats_[s] = Of(std::move(seat));
  }
  for (Role role : world->setup.roles) {
    std::string name = "r" + std::to_string(actors_.size());
    actors_.push_back(Of(Actor{role, Change("w", {name, 1, 1}, CommandOf(role)), world->setup.tries, 0}));
  }
}

std::string CompatTown::Record(const std::string& field, bool optional) {
  return R"({"type":"record","name":"R","fields":[{"name":")" + field + R"(","type":"int")" +
         (optional ? R"(,"default":0)" : "") + "}]}";
}

// Both third versions lack `a`, which version 1 needs and version 2 has a default for.
Change::Command CompatTown::CommandOf(Role role) const {
  CompatMutant mutant = setup().mutant;
  switch (role) {
    case Role::kPublisher:
      return [](Catalogue& it) { return it.Propose("s", 3, Record("b", true)); };
    case Role::kOtherPublisher:
      return [](Catalogue& it) { return it.Propose("s", 3, Record("c", true)); };
    case Role::kReader:
      return [](Catalogue& it) { return it.Join("s", "bob", 1, {1}); };
    case Role::kOtherReader:
      return [](Catalogue& it) { return it.Join("s", "cid", 1, {1}); };
    case Role::kRejoiner:
      return [](Catalogue& it) { return it.Join("s", "ann", 2, {1}); };
    case Role::kDetector:
      if (mutant != CompatMutant::kSilenceRetires)
        return [](Catalogue& it) { return it.Silent("s", "ann", 1); };
      break;
    case Role::kOperator:
      if (mutant == CompatMutant::kRetiresWhoever)
        return [](Catalogue& it) {
          return it.Retire("s", "ann", it.subjects().at("s").readers.at("ann").statement, "eve", "gone");
        };
      break;
  }
  return [](Catalogue& it) { return it.Retire("s", "ann", 1, "eve", "gone"); };
}

failover::RecordReplica CompatTown::Fresh(std::size_t s, std::uint64_t life, bool found) const {
  if (setup().words == 0) return compat::RegisterSeat({}, found, {}, 0, {});
  return compat::RegisterSeat({}, found, NameOf(s), life, [](const std::string&) {
    return std::array<std::string, failover::kReplicas>{NameOf(0), NameOf(1), NameOf(2)};
  });
}

CompatTown::SeatPtr CompatTown::Of(Seat seat) {
  std::string bytes;
  seat.holder.Put(bytes);
  seat.print = Hash(bytes);
  return std::make_shared<const Seat>(std::move(seat));
}

CompatTown::ActorPtr CompatTown::Of(Actor actor) {
  std::string bytes{static_cast<char>(actor.tries)};
  actor.change.record().Put(bytes);
  for (const auto& each : actor.change.answer().objections) bytes += each.Text();
  actor.print = Hash(bytes);
  for (std::size_t s = 0; s < failover::kReplicas; ++s) {
    bytes.clear();
    actor.change.record().Put(s, bytes);
    actor.of_seat[s] = Hash(bytes);
  }
  return std::make_shared<const Actor>(std::move(actor));
}

CompatTown::ParcelPtr CompatTown::ParcelOf(bool to_seat, std::size_t a, std::size_t s, Message message) {
  std::string bytes{to_seat ? 't' : 'o', static_cast<char>(a)};
  failover::Put(bytes, message);
  return std::make_shared<const Parcel>(Parcel{to_seat, a, s, std::move(message), Hash(bytes)});
}

CompatTown::WordPtr CompatTown::WordOf(std::size_t from, std::size_t to, std::vector<Message> messages) {
  std::string bytes{'w', static_cast<char>(from), static_cast<char>(to)};
  for (const Message& message : messages) failover::Put(bytes, message);
  return std::make_shared<const Word>(Word{from, to, std::move(messages), Hash(bytes)});
}

// ---- What may happen --------------------------------------------------------------------------------------

std::vector<CompatTown::Event> CompatTown::Events() const {
  std::vector<Event> events;
  for (std::size_t i = 0; i < bag_.size(); ++i) {
    if (i > 0 && bag_[i]->Same(*bag_[i - 1])) continue;
    events.push_back({What::kDelivered, i, bag_[i]});
    if (twice_ > 0) events.push_back({What::kTwice, i, bag_[i]});
  }
  for (std::size_t a = 0; a < actors_.size(); ++a) {
    auto phase = actors_[a]->change.record().phase();
    if (actors_[a]->tries > 0 &&
        (phase == failover::RecordProposer::Phase::kIdle || phase == failover::RecordProposer::Phase::kLost))
      events.push_back({What::kBegins, a, {}});
  }
  for (std::size_t s = 0; s < seats_.size(); ++s) {
    if (restarts_ > 0) events.push_back({What::kSeatAnew, s, {}});
    if (words_left_ > 0 && seats_[s]->life > 1) events.push_back({What::kAsksWords, s, {}});
  }
  for (std::size_t i = 0; i < words_.size(); ++i) events.push_back({What::kWord, i, {}});
  return events;
}

std::string CompatTown::Event::Text() const {
  std::string number = std::to_string(who);
  switch (what) {
    case What::kDelivered:
    case What::kTwice:
      break;
    case What::kBegins:
      return "r" + number + " begins";
    case What::kSeatAnew:
      return "seat " + number + " starts anew";
    case What::kAsksWords:
      return "seat " + number + " asks for words";
    case What::kWord:
      return "word " + number;
  }
  std::string a = "r" + std::to_string(parcel->actor), s = "seat " + std::to_string(parcel->seat);
  return (what == What::kTwice ? "twice: " : "") + (parcel->to_seat ? a + " -> " + s : s + " -> " + a) +
         ": " + failover::kKindNames[static_cast<int>(parcel->message.kind)] + " of " +
         failover::Text(parcel->message.ballot);
}

CompatTown CompatTown::After(const Event& event) const {
  CompatTown next = *this;
  switch (event.what) {
    case What::kDelivered:
    case What::kTwice:
      next.Deliver(event.who, event.what == What::kTwice);
      break;
    case What::kBegins:
      // The word is given.
      if (actors_[event.who]->role == Role::kOperator && next.counted_[kAnn] == 1) next.counted_[kAnn] = 0;
      next.Do(event.who, nullptr);
      break;
    case What::kSeatAnew:
      next.SeatAnew(event.who);
      break;
    case What::kAsksWords:
      next.AskWords(event.who);
      break;
    case What::kWord:
      next.DeliverWord(event.who);
      break;
  }
  return next;
}

// ---- Those who change it ----------------------------------------------------------------------------------

CompatTown::Did CompatTown::DidOf(std::size_t a, const Parcel* parcel) const {
  Actor actor = *actors_[a];
  std::vector<failover::RecordProposer::Outgoing> out;
  Did did;
  auto take = [&](std::size_t seat) {
    auto verdict = actor.change.Take({}, seat, parcel->message, out);
    bool early = setup().mutant == CompatMutant::kJoinUnwritten && actor.role == Role::kReader &&
                 actor.change.record().phase() == failover::RecordProposer::Phase::kWriting;
    if ((verdict != Change::Verdict::kTell && !early) || !actor.change.answer().yes()) return;
    bool publishes = actor.role == Role::kPublisher || actor.role == Role::kOtherPublisher;
    did.told = std::make_shared<const std::string>(
        publishes ? actor.change.catalogue()->subjects().at("s").versions.at(2).schema : "");
  };
  if (parcel == nullptr) {
    --actor.tries;
    actor.change.Begin({}, out);
  } else {
    take(parcel->seat);
    if (setup().mutant == CompatMutant::kOneSeat) take((parcel->seat + 1) % 3);
  }
  did.actor = Of(std::move(actor));
  for (auto& one : out) did.posts.push_back(ParcelOf(true, a, one.replica, std::move(one.message)));
  return did;
}

void CompatTown::Do(std::size_t a, const ParcelPtr& parcel) {
  auto did = world_->did.GetOrCompute(actors_[a], parcel, a, [&] { return DidOf(a, parcel.get()); });
  actors_[a] = did->actor;
  if (did->told) Tell(did->actor->role, did->told);
  for (const ParcelPtr& post : did->posts) Insert(post);
  // What it would pass over, now and ever, need not be delivered.
  std::erase_if(bag_, [&](const auto& one) {
    return one->actor == a && !one->to_seat && !actors_[a]->change.record().Waits(one->seat, one->message);
  });
}

void CompatTown::Insert(const ParcelPtr& parcel) {
  if (!parcel->to_seat && !actors_[parcel->actor]->change.record().Waits(parcel->seat, parcel->message))
    return;
  auto before = [](const auto& one, const auto& other) {
    return std::tie(one->print, one->seat) < std::tie(other->print, other->seat);
  };
  bag_.insert(std::upper_bound(bag_.begin(), bag_.end(), parcel, before), parcel);
}

// ---- Seats ------------------------------------------------------------------------------------------------

CompatTown::Answered CompatTown::AnsweredOf(const Parcel& parcel) const {
  Seat seat = *seats_[parcel.seat];
  Message answer = seat.holder.Take({}, parcel.message);
  return {Of(std::move(seat)), ParcelOf(false, parcel.actor, parcel.seat, std::move(answer)), nullptr};
}

void CompatTown::Deliver(std::size_t i, bool keep) {
  ParcelPtr parcel = bag_[i];
  if (keep) --twice_;
  if (!keep) bag_.erase(bag_.begin() + static_cast<std::ptrdiff_t>(i));
  if (!parcel->to_seat) return Do(parcel->actor, parcel);
  auto answered =
      world_->answered.GetOrCompute(seats_[parcel->seat], parcel, 0, [&] { return AnsweredOf(*parcel); });
  seats_[parcel->seat] = answered->seat;
  if (parcel->message.kind == failover::Kind::kAccept) Stands(parcel->seat);
  Insert(answered->answer);
}

void CompatTown::SeatAnew(std::size_t s) {
  --restarts_;
  std::uint64_t life = seats_[s]->life + 1;
  seats_[s] = Of(Seat{Fresh(s, life, setup().mutant == CompatMutant::kFoundAgain), life, 0});
}

void CompatTown::AskWords(std::size_t s) {
  --words_left_;
  Seat seat = *seats_[s];
  Message ask = seat.holder.RequestSync();
  seats_[s] = Of(std::move(seat));
  for (std::size_t other = 0; other < failover::kReplicas; ++other)
    if (other != s) words_.push_back(WordOf(s, other, {ask}));
}

CompatTown::Answered CompatTown::HeardOf(const Word& word) const {
  Seat seat = *seats_[word.to];
  Answered answered;
  if (word.messages.front().kind == failover::Kind::kSyncRequest) {
    answered.word = WordOf(word.to, word.from, seat.holder.AnswerSync({}, word.messages.front()));
  } else {
    for (const Message& message : word.messages) seat.holder.HandleSync({}, NameOf(word.from), message);
  }
  answered.seat = Of(std::move(seat));
  return answered;
}

void CompatTown::DeliverWord(std::size_t i) {
  WordPtr word = words_[i];
  words_.erase(words_.begin() + static_cast<std::ptrdiff_t>(i));
  auto answered = world_->answered.GetOrCompute(seats_[word->to], word, 1, [&] { return HeardOf(*word); });
  seats_[word->to] = answered->seat;
  if (answered->word) words_.push_back(answered->word);
}

// ---- The rules --------------------------------------------------------------------------------------------

bool CompatTown::Readable(const std::string& schema) const {
  auto at = world_->readable.find(schema);
  if (at != world_->readable.end()) return at->second;
  auto of = [](const std::string& text) { return std::get<compat::Schema>(compat::Schema::Parse(text)); };
  return world_->readable[schema] = compat::Resolve(of(schema), of(world_->versions[0])).empty();
}

void CompatTown::Tell(Role role, const std::shared_ptr<const std::string>& schema) {
  if (role == Role::kReader) counted_[kBob] = 1;
  if (role == Role::kOtherReader) counted_[kCid] = 1;
  if (role == Role::kRejoiner) counted_[kAnn] = 2;
  if (role == Role::kPublisher || role == Role::kOtherPublisher) {
    if (accepted() && *third_ != *schema) Broken("two that exclude each other were accepted");
    if (!accepted()) third_ = schema;
  }
  for (std::size_t reader = 0; reader < kReaders; ++reader)
    if (counted_[reader] > 0 && accepted() && !Readable(*third_))
      Broken("accepted what a reader that counts cannot read: " + std::string(kNames[reader]));
}

const CompatTown::Stood& CompatTown::StoodOf(const std::string& value) const {
  auto at = world_->stood.find(value);
  if (at != world_->stood.end()) return at->second;
  Stood stood;
  auto read = Catalogue::Read(value);
  if (read && read->subjects().contains("s")) {
    const compat::Subject& subject = read->subjects().at("s");
    stood.known = true;
    for (const auto& version : subject.versions) stood.versions.push_back(version.schema);
    for (const std::string& name : subject.ReadersOf(1)) stood.readers.insert(name);
  }
  return world_->stood[value] = std::move(stood);
}

// What was told is in each state that stands later.
void CompatTown::Stands(std::size_t s) {
  auto slot = [&](std::size_t seat) -> const failover::RecordReplica::StoredRecord* {
    const auto& slots = seats_[seat]->holder.stored();
    return slots.empty() ? nullptr : &slots.begin()->second;
  };
  const auto* own = slot(s);
  if (own == nullptr || own->version == 0) return;
  std::size_t has = 0;
  for (std::size_t other = 0; other < failover::kReplicas; ++other) {
    const auto* at = slot(other);
    has += at != nullptr && at->kept == own->kept && at->version == own->version && !at->copied;
  }
  if (has < failover::kMajority) return;
  const Stood& stood = StoodOf(own->state.value);
  std::vector<std::string> told = world_->versions;
  if (accepted()) told.push_back(*third_);
  if (!stood.known || stood.versions.size() < told.size() ||
      !std::equal(told.begin(), told.end(), stood.versions.begin()))
    Broken("what was told accepted is lost");
  for (std::size_t reader = 0; reader < kReaders; ++reader)
    if (counted_[reader] > 0 && !stood.readers.contains(kNames[reader]))
      Broken("a reader that counts is lost: " + std::string(kNames[reader]));
}

// The three seats are alike: states that differ only in which is which have one print.
std::uint64_t CompatTown::Print() const {
  std::vector<std::uint64_t> words;
  std::array<std::uint64_t, failover::kReplicas> prints;
  words.reserve(64);
  for (std::size_t s = 0; s < prints.size(); ++s) {
    words.assign(1, seats_[s]->print);
    for (const auto& actor : actors_) words.push_back(actor->of_seat[s]);
    for (const auto& parcel : bag_)
      if (parcel->seat == s) words.push_back(parcel->print);
    prints[s] = XXH3_64bits(words.data(), words.size() * sizeof words[0]);
  }
  std::ranges::sort(prints);
  words.assign(prints.begin(), prints.end());
  for (const auto& actor : actors_) words.push_back(actor->print);
  std::uint64_t between = 0;  // in whatever order
  for (const auto& word : words_) between += word->print;
  for (int each : {twice_, restarts_, words_left_}) words.push_back(static_cast<std::uint64_t>(each));
  words.push_back(between);
  words.push_back(third_ ? Hash(*third_) : 0);
  for (std::uint8_t statement : counted_) words.push_back(statement);
  return XXH3_64bits(words.data(), words.size() * sizeof words[0]);
}

}  // namespace peatbend::orders

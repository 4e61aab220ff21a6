#include "orders/office_town.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace peatbend::orders {

using rations::Office;
using What = OfficeTown::Event::What;

namespace {

std::string NameOf(std::size_t router) { return "r" + std::to_string(router); }

std::shared_ptr<const rations::QuotaTable> BookOf(std::uint64_t print, double tokens_a_tick) {
  auto table = std::make_shared<rations::QuotaTable>();
  table->fingerprint = print;
  rations::Quota ration;
  ration.name = "all";
  ration.rate = {.per_second = 4 * tokens_a_tick, .burst = OfficeTown::kBurst * tokens_a_tick};
  table->quotas.push_back(ration);
  return table;
}

rations::OfficeOptions Options() {
  rations::OfficeOptions options;
  options.purse.draw_every = rations::Span{0};
  options.purse.again_every = options.purse.idle = OfficeTown::At(1);
  options.third_promise = options.ask_again = OfficeTown::At(1);
  options.give_up = OfficeTown::At(2);
  return options;
}

}  // namespace

OfficeTown::OfficeTown(const OfficeSetup& setup)
    : books_(setup.next == NextBook::kNone ? 0 : setup.books),
      twice_(setup.twice),
      deaths_(setup.deaths),
      starts_(setup.starts) {
  auto world = std::make_shared<World>();
  world->setup = setup;
  world->books[0] = BookOf(1, 1);
  world->books[1] = BookOf(2, setup.next == NextBook::kOther ? 10 : 1);
  world_ = world;
  for (std::size_t r = 0; r < kRouters; ++r) routers_[r] = Fresh(r, 1);
  if (!setup.kept) return;
  Do(0, What::kRequest, nullptr);
  Do(0, What::kTurns, nullptr);
  while (!bag_.empty()) {
    ParcelPtr parcel = bag_.back();
    bag_.pop_back();
    Do(parcel->to, What::kHears, parcel);
  }
}

std::shared_ptr<Office> OfficeTown::NewOffice(std::size_t r, std::uint64_t nonce) const {
  return std::make_shared<Office>(Options(), world_->seats, NameOf(r), nonce, nonce, world_->books[0], At(0),
                                  [](const std::string&) { return true; });
}

std::shared_ptr<const OfficeTown::Router> OfficeTown::Fresh(std::size_t r, std::uint64_t start) const {
  Router router;
  router.nonce = router.history = 16 * (r + 1) + start;
  router.requests = world_->setup.requests;
  router.office = NewOffice(r, router.nonce);
  return std::make_shared<const Router>(std::move(router));
}

// ---- What may happen --------------------------------------------------------------------------------------

std::vector<OfficeTown::Event> OfficeTown::Events() const {
  std::vector<Event> events;
  for (std::size_t i = 0; i < bag_.size(); ++i) {
    if (i > 0 && bag_[i]->print == bag_[i - 1]->print) continue;
    events.push_back({What::kHears, i, bag_[i]});
    if (twice_ > 0) events.push_back({What::kTwice, i, bag_[i]});
  }
  for (std::size_t r = 0; r < kRouters; ++r) {
    const Router& router = *routers_[r];
    if (!router.alive) {
      if (starts_ > 0) events.push_back({What::kStarts, r, nullptr});
      continue;
    }
    // In tick 0 all buckets are empty: one that is missed makes known what is wanted, more say nothing new.
    if (router.requests > 0 && (now_ > 0 || router.requests == world_->setup.requests))
      events.push_back({What::kRequest, r, nullptr});
    if (router.office->Due().value_or(rations::Time::max()) <= At(now_))
      events.push_back({What::kTurns, r, nullptr});
    if (books_ > 0 && !router.next_book) events.push_back({What::kBook, r, nullptr});
    if (deaths_ > 0) events.push_back({What::kDies, r, nullptr});
  }
  if (now_ < world_->setup.ticks && (!world_->setup.prompt || bag_.empty()))
    events.push_back({What::kTick, 0, nullptr});
  return events;
}

std::string OfficeTown::Event::Text() const {
  constexpr const char* kNames[] = {
      "has a request", "turns", "takes the next book", "dies", "is started again", "", "keeps ", "a tick"};
  std::string name = kNames[static_cast<int>(what)];
  if (!parcel) return what == What::kTick ? name : NameOf(who) + " " + name;
  return name + NameOf(parcel->from) + " -> " + NameOf(parcel->to) + ": " + rations::Text(parcel->message);
}

OfficeTown OfficeTown::After(const Event& event) const {
  OfficeTown next = *this;
  switch (event.what) {
    case What::kTick:
      ++next.now_;
      break;
    case What::kStarts:
      next.routers_[event.who] = Fresh(event.who, static_cast<std::uint64_t>(1 + starts_));
      --next.starts_;
      ++next.processes_;
      break;
    case What::kHears:
    case What::kTwice:
      if (event.what == What::kTwice) --next.twice_;
      if (event.what == What::kHears)
        next.bag_.erase(next.bag_.begin() + static_cast<std::ptrdiff_t>(event.who));
      if (routers_[event.parcel->to]->alive) next.Do(event.parcel->to, What::kHears, event.parcel);
      break;
    default:
      next.deaths_ -= event.what == What::kDies ? 1 : 0;
      next.books_ -= event.what == What::kBook ? 1 : 0;
      // What it owes is gone with the former book, so it counts as another.
      if (event.what == What::kBook && world_->setup.next == NextBook::kSame) ++next.processes_;
      next.Do(event.who, event.what, nullptr);
  }
  return next;
}

OfficeTown::Did OfficeTown::DidOf(std::size_t r, What what, const ParcelPtr& parcel) const {
  Router router = *routers_[r];
  rations::Time now = At(now_);
  Call call;
  switch (what) {
    case What::kRequest:
      --router.requests;
      call = [now](Office& office) { return office.Take(now, rations::RequestAttributes{}).within; };
      break;
    case What::kBook:
      router.next_book = true;
      call = [now, book = world_->books[1]](Office& office) { return office.SetTable(now, book), true; };
      break;
    case What::kHears:
      call = [now, parcel](Office& office) {
        return office.Take(now, NameOf(parcel->from), parcel->message), true;
      };
      break;
    case What::kDies:
      router.alive = false;
      [[fallthrough]];
    default:
      call = [now, what](Office& office) { return what == What::kDies || (office.Tick(now, 0, 0), true); };
  }
  router.calls.push_back(std::make_shared<const Call>(std::move(call)));
  std::uint64_t words[] = {router.history, static_cast<std::uint64_t>(what), parcel ? parcel->print : 0,
                           static_cast<std::uint64_t>(now_)};
  router.history = XXH3_64bits(words, sizeof words);
  auto office = NewOffice(r, router.nonce);
  bool last = false;
  Did did;
  std::vector<rations::Out> out;
  for (const auto& each : router.calls) {
    last = (*each)(*office);
    out = office->TakeOut();
  }
  did.admitted =
      what == What::kRequest && last && (!router.next_book || world_->setup.next == NextBook::kSame);
  for (rations::Out& one : out) {
    std::size_t to = static_cast<std::size_t>(one.router[1] - '0');
    std::string bytes{static_cast<char>(r), static_cast<char>(to)};
    rations::Put(bytes, one.message);
    did.posts.push_back(std::make_shared<const Parcel>(
        Parcel{r, to, std::move(one.message), XXH3_64bits(bytes.data(), bytes.size())}));
  }
  router.office = std::move(office);
  did.router = std::make_shared<const Router>(std::move(router));
  return did;
}

void OfficeTown::Do(std::size_t r, What what, const ParcelPtr& parcel) {
  std::uint64_t number = static_cast<std::uint64_t>(what) << 8 | static_cast<std::uint64_t>(now_);
  auto did = world_->did.Of(routers_[r], parcel, number, [&] { return DidOf(r, what, parcel); });
  routers_[r] = did->router;
  if (did->admitted) ++admitted_[static_cast<std::size_t>(now_)];
  if (did->admitted) Judge();
  if (!did->router->alive)
    std::erase_if(bag_, [&](const ParcelPtr& one) { return one->to == r && starts_ == 0; });
  for (const ParcelPtr& post : did->posts)
    bag_.insert(std::ranges::upper_bound(bag_, post->print, {}, [](const auto& one) { return one->print; }),
                post);
}

int OfficeTown::admitted() const { return std::accumulate(admitted_.begin(), admitted_.end(), 0); }

// There was nothing before the first tick, and each later one brings a token; beside that, each process may
// owe.
void OfficeTown::Judge() {
  for (int to = 0; to <= now_; ++to) {
    int sum = 0;
    for (int from = to; from >= 0; --from) {
      sum += admitted_[static_cast<std::size_t>(from)];
      if (sum > kBurst + to - from + processes_ * kAhead)
        broken_ = "admitted more in a stretch than the ration";
    }
    if (sum > to + processes_ * kAhead) broken_ = "admitted more than was filled";
  }
}

std::uint64_t OfficeTown::Print() const {
  std::vector<std::uint64_t> words;
  for (const auto& router : routers_) words.push_back(router->history);
  for (const auto& parcel : bag_) words.push_back(parcel->print);
  words.push_back(0);
  for (int each : {now_, books_, twice_, deaths_, starts_}) words.push_back(static_cast<std::uint64_t>(each));
  for (int each : admitted_) words.push_back(static_cast<std::uint64_t>(each));
  return XXH3_64bits(words.data(), words.size() * sizeof words[0]);
}

}  // namespace peatbend::orders

#include "orders/quota_manager_model.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace peatbend::orders {

using rations::QuotaManager;
using What = QuotaManagerModel::Event::What;

namespace {

std::string NameOf(std::size_t router) { return "r" + std::to_string(router); }

std::shared_ptr<const rations::QuotaTable> ConfigOf(std::uint64_t fingerprint, double tokens_per_tick) {
  auto table = std::make_shared<rations::QuotaTable>();
  table->fingerprint = fingerprint;
  rations::Quota ration;
  ration.name = "all";
  ration.rate = {.per_second = 4 * tokens_per_tick, .burst = QuotaManagerModel::kBurst * tokens_per_tick};
  table->quotas.push_back(ration);
  return table;
}

rations::QuotaManagerOptions Options() {
  rations::QuotaManagerOptions options;
  options.ledger.request_interval = rations::Span{0};
  options.ledger.resend_interval = options.ledger.idle_request_delay = QuotaManagerModel::At(1);
  options.third_promise_wait = options.resend_interval = QuotaManagerModel::At(1);
  options.give_up_after = QuotaManagerModel::At(2);
  return options;
}

}  // namespace

QuotaManagerModel::QuotaManagerModel(const QuotaManagerModelSetup& setup)
    : config_changes_(setup.next == NextConfig::kNone ? 0 : setup.switches),
      duplicates_(setup.duplicates),
      deaths_(setup.deaths),
      starts_(setup.starts) {
  auto shared = std::make_shared<Shared>();
  shared->setup = setup;
  shared->configs[0] = ConfigOf(1, 1);
  shared->configs[1] = ConfigOf(2, setup.next == NextConfig::kOther ? 10 : 1);
  shared_ = shared;
  for (std::size_t r = 0; r < kRouters; ++r) routers_[r] = NewRouter(r, 1);
  if (!setup.owned) return;
  Do(0, What::kRequest, nullptr);
  Do(0, What::kTimer, nullptr);
  while (!in_flight_.empty()) {
    EnvelopePtr envelope = in_flight_.back();
    in_flight_.pop_back();
    Do(envelope->to, What::kDeliver, envelope);
  }
}

std::shared_ptr<QuotaManager> QuotaManagerModel::NewManager(std::size_t r, std::uint64_t nonce) const {
  return std::make_shared<QuotaManager>(Options(), shared_->replicas, NameOf(r), nonce, nonce,
                                        shared_->configs[0], At(0), [](const std::string&) { return true; });
}

std::shared_ptr<const QuotaManagerModel::Router> QuotaManagerModel::NewRouter(std::size_t r,
                                                                              std::uint64_t start) const {
  Router router;
  router.nonce = router.history = 16 * (r + 1) + start;
  router.requests = shared_->setup.requests;
  router.manager = NewManager(r, router.nonce);
  return std::make_shared<const Router>(std::move(router));
}

// ---- Events -----------------------------------------------------------------------------------------------

std::vector<QuotaManagerModel::Event> QuotaManagerModel::Events() const {
  std::vector<Event> events;
  for (std::size_t i = 0; i < in_flight_.size(); ++i) {
    if (i > 0 && in_flight_[i]->fingerprint == in_flight_[i - 1]->fingerprint) continue;
    events.push_back({What::kDeliver, i, in_flight_[i]});
    if (duplicates_ > 0) events.push_back({What::kDeliverCopy, i, in_flight_[i]});
  }
  for (std::size_t r = 0; r < kRouters; ++r) {
    const Router& router = *routers_[r];
    if (!router.alive) {
      if (starts_ > 0) events.push_back({What::kRestart, r, nullptr});
      continue;
    }
    // In tick 0 all buckets are empty: the first request, rejected, makes the demand known; more add nothing.
    if (router.requests > 0 && (now_ > 0 || router.requests == shared_->setup.requests))
      events.push_back({What::kRequest, r, nullptr});
    if (router.manager->NextDue().value_or(rations::Time::max()) <= At(now_))
      events.push_back({What::kTimer, r, nullptr});
    if (config_changes_ > 0 && !router.has_next_config) events.push_back({What::kSwitchConfig, r, nullptr});
    if (deaths_ > 0) events.push_back({What::kDie, r, nullptr});
  }
  if (now_ < shared_->setup.ticks && (!shared_->setup.prompt || in_flight_.empty()))
    events.push_back({What::kTick, 0, nullptr});
  return events;
}

std::string QuotaManagerModel::Event::Text() const {
  constexpr const char* kNames[] = {"has a request", "turns",        "switches to the next configuration",
                                    "dies",          "is restarted", "",
                                    "copy of ",      "a tick"};
  std::string name = kNames[static_cast<int>(what)];
  if (!envelope) return what == What::kTick ? name : NameOf(index) + " " + name;
  return name + NameOf(envelope->from) + " -> " + NameOf(envelope->to) + ": " +
         rations::Text(envelope->message);
}

QuotaManagerModel QuotaManagerModel::After(const Event& event) const {
  QuotaManagerModel next = *this;
  switch (event.what) {
    case What::kTick:
      ++next.now_;
      break;
    case What::kRestart:
      next.routers_[event.index] = NewRouter(event.index, static_cast<std::uint64_t>(1 + starts_));
      --next.starts_;
      ++next.processes_;
      break;
    case What::kDeliver:
    case What::kDeliverCopy:
      if (event.what == What::kDeliverCopy) --next.duplicates_;
      if (event.what == What::kDeliver)
        next.in_flight_.erase(next.in_flight_.begin() + static_cast<std::ptrdiff_t>(event.index));
      if (routers_[event.envelope->to]->alive) next.Do(event.envelope->to, What::kDeliver, event.envelope);
      break;
    default:
      next.deaths_ -= event.what == What::kDie ? 1 : 0;
      next.config_changes_ -= event.what == What::kSwitchConfig ? 1 : 0;
      // Its debt ends with the previous configuration, so it counts as another process.
      if (event.what == What::kSwitchConfig && shared_->setup.next == NextConfig::kSame) ++next.processes_;
      next.Do(event.index, event.what, nullptr);
  }
  return next;
}

QuotaManagerModel::StepResult QuotaManagerModel::Step(std::size_t r, What what,
                                                      const EnvelopePtr& envelope) const {
  Router router = *routers_[r];
  rations::Time now = At(now_);
  Call call;
  switch (what) {
    case What::kRequest:
      --router.requests;
      call = [now](QuotaManager& manager) {
        return manager.Admit(now, rations::RequestAttributes{}).within_quota;
      };
      break;
    case What::kSwitchConfig:
      router.has_next_config = true;
      call = [now, config = shared_->configs[1]](QuotaManager& manager) {
        return manager.SetTable(now, config), true;
      };
      break;
    case What::kDeliver:
      call = [now, envelope](QuotaManager& manager) {
        return manager.Receive(now, NameOf(envelope->from), envelope->message), true;
      };
      break;
    case What::kDie:
      router.alive = false;
      [[fallthrough]];
    default:
      call = [now, what](QuotaManager& manager) {
        return what == What::kDie || (manager.Tick(now, 0, 0), true);
      };
  }
  router.calls.push_back(std::make_shared<const Call>(std::move(call)));
  std::uint64_t words[] = {router.history, static_cast<std::uint64_t>(what),
                           envelope ? envelope->fingerprint : 0, static_cast<std::uint64_t>(now_)};
  router.history = XXH3_64bits(words, sizeof words);
  auto manager = NewManager(r, router.nonce);
  bool last = false;
  StepResult result;
  std::vector<rations::Outgoing> out;
  for (const auto& each : router.calls) {
    last = (*each)(*manager);
    out = manager->DrainOutgoing();
  }
  result.admitted =
      what == What::kRequest && last && (!router.has_next_config || shared_->setup.next == NextConfig::kSame);
  for (rations::Outgoing& one : out) {
    std::size_t to = static_cast<std::size_t>(one.router[1] - '0');
    std::string bytes{static_cast<char>(r), static_cast<char>(to)};
    rations::AppendState(bytes, one.message);
    result.sent.push_back(std::make_shared<const Envelope>(
        Envelope{r, to, std::move(one.message), XXH3_64bits(bytes.data(), bytes.size())}));
  }
  router.manager = std::move(manager);
  result.router = std::make_shared<const Router>(std::move(router));
  return result;
}

void QuotaManagerModel::Do(std::size_t r, What what, const EnvelopePtr& envelope) {
  std::uint64_t number = static_cast<std::uint64_t>(what) << 8 | static_cast<std::uint64_t>(now_);
  auto result =
      shared_->steps.GetOrCompute(routers_[r], envelope, number, [&] { return Step(r, what, envelope); });
  routers_[r] = result->router;
  if (result->admitted) ++admitted_[static_cast<std::size_t>(now_)];
  if (result->admitted) CheckBounds();
  if (!result->router->alive)
    std::erase_if(in_flight_, [&](const EnvelopePtr& one) { return one->to == r && starts_ == 0; });
  for (const EnvelopePtr& sent : result->sent)
    in_flight_.insert(std::ranges::upper_bound(in_flight_, sent->fingerprint, {},
                                               [](const auto& one) { return one->fingerprint; }),
                      sent);
}

int QuotaManagerModel::admitted() const { return std::accumulate(admitted_.begin(), admitted_.end(), 0); }

// The bucket starts empty, and each tick after the first adds a token; in addition, each process may admit on
// credit.
void QuotaManagerModel::CheckBounds() {
  for (int to = 0; to <= now_; ++to) {
    int sum = 0;
    for (int from = to; from >= 0; --from) {
      sum += admitted_[static_cast<std::size_t>(from)];
      if (sum > kBurst + to - from + processes_ * kCredit)
        broken_ = "admitted more in a period than the quota";
    }
    if (sum > to + processes_ * kCredit) broken_ = "admitted more than was refilled";
  }
}

std::uint64_t QuotaManagerModel::Print() const {
  std::vector<std::uint64_t> words;
  for (const auto& router : routers_) words.push_back(router->history);
  for (const auto& envelope : in_flight_) words.push_back(envelope->fingerprint);
  words.push_back(0);
  for (int each : {now_, config_changes_, duplicates_, deaths_, starts_})
    words.push_back(static_cast<std::uint64_t>(each));
  for (int each : admitted_) words.push_back(static_cast<std::uint64_t>(each));
  return XXH3_64bits(words.data(), words.size() * sizeof words[0]);
}

}  // namespace peatbend::orders

#include "world/cache_server.h"

#include <algorithm>

namespace peatbend::world {
namespace {
constexpr Span kFetchOut = std::chrono::seconds(2);  // a miss counts as being fetched for so long
}

CacheServer::CacheServer(Agenda& agenda, const CacheServerTraits& traits, std::string name, int zone,
                         std::uint64_t seed)
    : agenda_(agenda),
      traits_(traits),
      name_(std::move(name)),
      zone_(zone),
      random_(seed, 0x5e),
      store_(traits.memory, traits.lru) {}

// From start_capacity to 1 by time, sooner by work done, but not in less than half that time.
double CacheServer::Warmth() const {
  if (started_ == Time{}) return 1;
  double by_time = Seconds(agenda_.now() - started_) / std::max(1e-9, Seconds(traits_.warm_after));
  double by_work = Seconds(warm_work_) / std::max(1e-9, Seconds(traits_.warm_work));
  double part = std::clamp(std::max(by_time, std::min(by_work, 2 * by_time)), 0.0, 1.0);
  return traits_.start_capacity + (1 - traits_.start_capacity) * part;
}

// While cold: within any span of tip_after it may be sent fall_multiple times its present capacity, as a
// leaky bucket of that size. Beyond that it falls over and stays down.
void CacheServer::Budget(Span work) {
  if (!cold() || fallen_) return;
  double rate = traits_.fall_multiple * Capacity();
  budget_ = std::max(0.0, budget_ - rate * Seconds(agenda_.now() - budget_at_)) + Seconds(work);
  budget_at_ = agenda_.now();
  if (budget_ <= rate * Seconds(traits_.tip_after)) return;
  fallen_ = true;
  Die();
  if (on_fall) on_fall(*this);
}

bool CacheServer::Repeat(const Ask& ask) {
  if (ask.idempotency.empty() || traits_.idempotency == Span{}) return false;
  auto [at, first] = seen_.try_emplace(ask.idempotency, agenda_.now());
  if (first) return false;
  bool repeat = agenda_.now() - at->second < traits_.idempotency;
  if (!repeat) at->second = agenda_.now();
  return repeat;
}

JobPtr CacheServer::Begin(Ask ask, Answer answer) {
  if (state_ != State::kUp) return nullptr;
  ++taken;
  Budget(ask.work);
  if (state_ != State::kUp || hung_) return nullptr;
  if (draining_ || static_cast<int>(queue_.size()) >= traits_.waiting) {
    ++turned_away;
    answer(Verdict::kBusy);
    return nullptr;
  }
  auto job = std::make_shared<Job>();
  job->missed = !ask.write && !store_.Has(ask.key);
  if (Repeat(ask)) ask.work = Span{};
  job->ask = std::move(ask);
  job->answer = std::move(answer);
  queue_.push_back(job);
  StartNext();
  return job;
}

void CacheServer::StartNext() {
  while (running_ < traits_.cores && !queue_.empty()) {
    JobPtr job = queue_.front();
    queue_.pop_front();
    Run(job);
  }
}

void CacheServer::Run(const JobPtr& job) {
  ++running_;
  job->running = true;
  job->begun = std::max(agenda_.now(), paused_until_);
  Span work = job->missed ? traits_.miss_work : job->ask.work;
  double full = traits_.waiting > 0 ? static_cast<double>(queue_.size()) / traits_.waiting : 0;
  double pace = traits_.speed * Warmth() / (1 + traits_.crowding * full);
  job->finish = job->begun + FromSeconds(Seconds(work) / pace);
  working_.push_back(job);
  std::uint64_t life = life_;
  // A pause may have put the end off by the time that this rings.
  auto ring = [this, job, life](auto&& self) -> void {
    if (life != life_ || !job->running) return;
    if (agenda_.now() < job->finish) {
      agenda_.At(job->finish, [self]() mutable { self(self); });
      return;
    }
    Finished(job);
  };
  agenda_.At(job->finish, [ring]() mutable { ring(ring); });
}

void CacheServer::Finished(const JobPtr& job) {
  --running_;
  job->running = false;
  std::erase(working_, job);
  Span work = job->missed ? traits_.miss_work : job->ask.work;
  worked += work;
  warm_work_ += work;
  if (job->over) wasted += work;
  if (!job->over && !hung_) {
    job->over = true;
    Verdict verdict = Verdict::kValue;
    if (job->missed) {
      Time& out = fetching_[job->ask.key];
      bool pending = out != Time{} && agenda_.now() - out < kFetchOut;
      if (!pending) out = agenda_.now();
      verdict = pending ? Verdict::kPending : Verdict::kMiss;
      ++misses;
    } else if (random_.Chance(traits_.failed_share)) {
      verdict = Verdict::kFailed;
    } else {
      ++values;
    }
    if (random_.Chance(traits_.spoilt_share)) verdict = Verdict::kSpoilt;
    job->answer(verdict);
  }
  StartNext();
}

void CacheServer::Cancel(const JobPtr& job) {
  if (!job || job->over) return;
  job->over = true;
  if (!job->running) {
    std::erase(queue_, job);
    return;
  }
  if (!traits_.cancel_stops) return;
  Span done = std::max(Span{}, agenda_.now() - job->begun);
  wasted += std::min(done, job->ask.work);
  worked += std::min(done, job->ask.work);
  job->running = false;
  --running_;
  std::erase(working_, job);
  StartNext();
}

bool CacheServer::Connect() {
  if (state_ != State::kUp || connected_ >= traits_.connections) return false;
  ++connected_;
  Budget(traits_.handshake);
  return state_ == State::kUp;
}

bool CacheServer::FoundStale(Span idle) {
  return idle > traits_.stale_after && random_.Chance(traits_.stale_share);
}

void CacheServer::Keep(const std::string& key, std::size_t bytes) {
  fetching_.erase(key);
  if (state_ == State::kUp) store_.Put(key, bytes);
}

void CacheServer::Void(const std::string& key) {
  if (state_ != State::kDead) store_.Drop(key);
}

void CacheServer::Die() {
  state_ = State::kDead;
  ++life_;
  for (const JobPtr& job : working_) job->running = false, job->over = true;
  for (const JobPtr& job : queue_) job->over = true;
  working_.clear();
  queue_.clear();
  running_ = connected_ = 0;
  store_.Clear();
  fetching_.clear();
  seen_.clear();
}

void CacheServer::Start() {
  Die();
  state_ = State::kUp;
  hung_ = draining_ = fallen_ = false;
  started_ = std::max(agenda_.now(), Time{1});
  budget_ = 0;
  budget_at_ = started_;
  warm_work_ = {};
}

void CacheServer::Pause(Span span) {
  Time until = agenda_.now() + span;
  Span more = until - std::max(paused_until_, agenda_.now());
  if (more <= Span{}) return;
  paused_until_ = until;
  for (const JobPtr& job : working_) job->finish += more;
}

}  // namespace peatbend::world

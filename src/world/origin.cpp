#include "world/origin.h"

#include <algorithm>

namespace peatbend::world {

Origin::Origin(Agenda& agenda, const OriginTraits& traits, std::uint64_t seed)
    : agenda_(agenda), traits_(traits), random_(seed, 0x0a) {}

JobPtr Origin::Begin(Ask ask, bool cold, Answer answer) {
  ++taken;
  Time now = agenda_.now();
  lately_.push_back({now, cold});
  while (now - lately_.front().at > traits_.fall_after) lately_.pop_front();
  if (stalled()) return nullptr;
  double asked = static_cast<double>(lately_.size()) / Seconds(traits_.fall_after);
  if (now >= traits_.fall_after && asked > traits_.fall_multiple * traits_.per_second) {
    auto from_cold = std::count_if(lately_.begin(), lately_.end(), [](const Arrival& a) { return a.cold; });
    ++falls;
    double share = static_cast<double>(from_cold) / static_cast<double>(lately_.size());
    Stall(traits_.down);
    if (on_fall) on_fall(share);
    return nullptr;
  }
  if (static_cast<int>(queue_.size()) >= traits_.waiting) {
    ++turned_away;
    answer(Verdict::kBusy);
    return nullptr;
  }
  if (!ask.idempotency.empty()) {
    auto [at, first] = seen_.try_emplace(ask.idempotency, now);
    if (!first && now - at->second < traits_.idempotency) {
      ++repeats;
    } else {
      at->second = now;
    }
  }
  auto job = std::make_shared<Job>();
  job->ask = std::move(ask);
  job->answer = std::move(answer);
  queue_.push_back(job);
  StartNext();
  return job;
}

void Origin::StartNext() {
  while (running_ < traits_.workers && !queue_.empty()) {
    JobPtr job = queue_.front();
    queue_.pop_front();
    if (job->over) continue;
    ++running_;
    double mean = traits_.workers / traits_.per_second;
    std::uint64_t life = life_;
    agenda_.In(FromSeconds(mean * random_.Between(0.7, 1.3)), [this, job, life] {
      if (life != life_) return;
      --running_;
      if (!job->over) {
        job->over = true;
        ++answered;
        job->answer(Verdict::kValue);
      }
      StartNext();
    });
  }
}

void Origin::Stall(Span span) {
  stalled_until_ = std::max(stalled_until_, agenda_.now() + span);
  ++life_;
  running_ = 0;
  queue_.clear();
}

}  // namespace peatbend::world

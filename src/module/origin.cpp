// The slow origin: its bound, and one fetch a key.
#include "module/balancer_impl.h"

namespace peatbend {

// First answers that the base follows; a proxy's bound at most; latency over the base that lets it grow fast;
// base, an answer.
constexpr int kOriginFirstAnswers = 4;
constexpr double kOriginMost = 128, kOriginCalm = 1.7, kOriginCreep = 1.0005;

void Balancer::Impl::ObserveOrigin(Server& origin, bool was_full) {
  // Of the first answers one may be far quicker than all that follow: a base of its own would leave the
  // origin looking overloaded, and its limit at the least, for good.
  bool first = origin.answers <= kOriginFirstAnswers;
  if (first || origin.latency < origin.base) origin.base = origin.latency;
  origin.base *= kOriginCreep;
  if (origin.latency > kOriginSlow * origin.base) {
    Cut(origin, 0.85);
  } else if (was_full) {  // fast while there is no sign of a queue
    bool calm = origin.latency < kOriginCalm * origin.base;
    double step = origin.limit < 1 ? 0.1 * origin.limit : calm ? 1 : 1 / origin.limit;
    origin.limit = std::min(kOriginMost, origin.limit + step);
  }
}

// Sends to the origin, or holds until the key's fetch is back (single-flight) or the limit leaves room.
void Balancer::Impl::AskOrigin(Request& request) {
  RefreshTable();
  if (origin_ < 0 || !LegalSend(request, servers_[origin_])) return End(request);
  if (!request.write && request.key && !request.fetching) {
    auto [at, fresh] = fetches_.try_emplace(*request.key);
    if (!fresh) return JoinFetch(request, at->second);
    request.fetching = true;
  }
  if (HasRoom(servers_[origin_])) return SendTo(request, origin_);
  Enqueue(request, origin_);
}

void Balancer::Impl::JoinFetch(Request& request, Waiting& waiting) {
  TimePoint latest = HeldUntil(request, servers_[origin_]);
  if (now_ >= latest) return End(request);
  waiting.push_back({request.deadline, request.id});
  request.held_for = origin_;
  Hold(request, latest);
}

// A key's fetch has ended: those that wait read it from the cache or, if it did not come, fetch it.
void Balancer::Impl::EndFetch(Request& request, bool came) {
  if (!std::exchange(request.fetching, false)) return;
  auto at = fetches_.find(*request.key);
  Waiting waiting = std::move(at->second);
  fetches_.erase(at);
  // If it did not come, who has the most time left fetches it: those with little would each fail in turn.
  std::ranges::stable_sort(waiting, std::ranges::greater(), &Waiting::value_type::first);
  for (auto [deadline, id] : waiting) {
    auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    Unqueue(found->second);
    came ? ToCache(found->second) : AskOrigin(found->second);
  }
}

}  // namespace peatbend

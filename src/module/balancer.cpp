// Handles one event at a time: dispatches it to its handler, then does what is due and arms the next timer.
#include "module/balancer_impl.h"

namespace peatbend {

void Balancer::Impl::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  actions_ = &actions;
  if (start_time_ == TimePoint{}) start_time_ = now;
  PruneAttemptWindow();
  std::visit([this](const auto& e) { On(e); }, event);
  ProcessDue();
  ArmTimer();
}

std::size_t Balancer::Impl::unavailable() const {
  return static_cast<std::size_t>(std::count_if(by_id_.begin(), by_id_.end(), [&](const auto& entry) {
    const Server& server = servers_[entry.second];
    bool unavailable = server.state == ServerState::kDraining || server.ejected;
    return !server.origin && server.state != ServerState::kGone && unavailable;
  }));
}

void Balancer::Impl::ProcessDue() {
  SubscribeIfDue();
  while (!paced_servers_.empty() && paced_servers_.begin()->first <= now_) {
    int index = paced_servers_.extract(paced_servers_.begin()).value().second;
    SendQueued(index);
    ScheduleQueue(index);
  }
  while (!wake_times_.empty() && wake_times_.top().first <= now_) {
    auto [when, id] = wake_times_.top();
    wake_times_.pop();
    auto at = requests_.find(id);
    if (at != requests_.end() && at->second.wake_at == when) StopWaiting(at->second);
  }
}

void Balancer::Impl::ArmTimer() {
  TimePoint next = wake_times_.empty() ? TimePoint::max() : wake_times_.top().first;
  next = std::min(next, subscribe_at_);
  if (!paced_servers_.empty()) next = std::min(next, paced_servers_.begin()->first);
  if (next >= timer_at_ || next == TimePoint::max()) return;
  timer_at_ = next;
  actions_->emplace_back(SetTimer{TimerId{++last_timer_id_}, next - now_});
}

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

std::uint64_t Balancer::tables_built() const { return impl_->tables_built(); }
std::size_t Balancer::unavailable() const { return impl_->unavailable(); }
bool Balancer::origin_overloaded() const { return impl_->origin_overloaded(); }
void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

}  // namespace peatbend

// All of peatbend's decisions, one event at a time. Their parts are in the files beside this one
// (balancer_impl.h).
#include "module/balancer_impl.h"

namespace peatbend {

void Balancer::Impl::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  now_ = now;
  out_ = &actions;
  if (began_ == TimePoint{}) began_ = now;
  PruneAllowance();
  std::visit([this](const auto& e) { On(e); }, event);
  RunDue();
  ArmTimer();
}

std::size_t Balancer::Impl::unavailable() const {
  return static_cast<std::size_t>(std::count_if(by_id_.begin(), by_id_.end(), [&](const auto& entry) {
    const Server& server = servers_[entry.second];
    bool out = server.state == ServerState::kDraining || server.ejected;
    return !server.origin && server.state != ServerState::kGone && out;
  }));
}

void Balancer::Impl::RunDue() {
  SubscribeIfDue();
  while (!paced_.empty() && paced_.begin()->first <= now_) {
    int index = paced_.extract(paced_.begin()).value().second;
    Pump(index);
    PumpLater(index);
  }
  while (!due_.empty() && due_.top().first <= now_) {
    auto [when, id] = due_.top();
    due_.pop();
    auto at = requests_.find(id);
    if (at != requests_.end() && at->second.wake == when) Requeue(at->second);
  }
}

void Balancer::Impl::ArmTimer() {
  TimePoint next = due_.empty() ? TimePoint::max() : due_.top().first;
  next = std::min(next, subscribe_at_);
  if (!paced_.empty()) next = std::min(next, paced_.begin()->first);
  if (next >= armed_ || next == TimePoint::max()) return;
  armed_ = next;
  out_->emplace_back(SetTimer{TimerId{++mark_}, next - now_});
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

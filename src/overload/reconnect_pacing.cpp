#include "overload/reconnect_pacing.h"

#include <algorithm>

#include "overload/rendezvous_rank.h"

namespace peatbend::overload {

bool ReconnectPacing::Schedule(TimePoint now, const std::string& member, const std::string& event,
                               Duration outage, const std::vector<std::string>& others) {
  Cancel(member);
  std::uint32_t rank = RendezvousRank(self_, others, member + ' ' + event + ' ');
  if (rank == 0) return false;
  auto seconds = [](Duration span) { return std::chrono::duration<double>(span).count(); };
  double count = static_cast<double>(others.size());
  double spread_s =
      std::max(count / options_.routers_per_second, seconds(std::min(outage, options_.max_ramp)));
  double wait = std::min(spread_s, seconds(options_.max_delay)) * rank / count;
  connect_at_[member] = now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  return true;
}

std::vector<std::string> ReconnectPacing::DrainDue(TimePoint now) {
  std::vector<std::string> due;
  std::erase_if(connect_at_, [&](const auto& one) {
    if (now < one.second) return false;
    due.push_back(one.first);
    return true;
  });
  return due;
}

}  // namespace peatbend::overload

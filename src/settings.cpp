// What the start-up settings must be like; nothing is decided here.
#include <algorithm>
#include <stdexcept>

#include "peatbend/balancer.h"

namespace peatbend {

void CheckSettings(const Settings& s) {
  auto require = [](bool ok, const char* field) {
    if (!ok) throw std::invalid_argument(std::string("settings: cannot be worked with: ") + field);
  };
  constexpr Duration kNone{};
  require(!s.classes.empty(), "classes");
  for (const ClassSettings& cls : s.classes) {
    require(cls.deadline > kNone && cls.aim >= kNone && cls.window >= kNone && cls.worth >= 0,
            "classes: deadline, aim, window or worth");
  }
  for (const TenantSettings& tenant : s.tenants) {
    require(tenant.allowance_per_s >= 0, "tenants: allowance_per_s");
  }
  require(!s.attempt_window || *s.attempt_window > kNone, "attempt_window");
  require(s.free_resends.value_or(0) >= 0, "free_resends");
  require(s.extra_per_request.value_or(0) >= 0, "extra_per_request");
  require(s.attempt_window.has_value() == (s.free_resends || s.extra_per_request),
          "attempt_window without free_resends or extra_per_request, or these without it");
  require(s.proxies >= 1 && s.try_limit >= 1, "proxies or try_limit");
  require(s.start_capacity > 0 && s.start_capacity <= 1, "start_capacity");
  require(std::min({s.warm_after, s.tip_after, s.ask_every, s.answer_grace, s.tick}) >= kNone,
          "warm_after, tip_after, ask_every, answer_grace or tick");
}

}  // namespace peatbend

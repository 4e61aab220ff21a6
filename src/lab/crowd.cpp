#include "lab/crowd.h"

#include <fmt/format.h>

#include <algorithm>

namespace peatbend::lab {

Crowd::Crowd(world::Agenda& agenda, const Scenario& scenario, const Plan& plan, Referee& referee,
             Carrier& carrier, std::uint64_t seed)
    : agenda_(agenda),
      scenario_(scenario),
      plan_(plan),
      referee_(referee),
      carrier_(carrier),
      random_(seed, 0xc1),
      state_(plan.requests.size()),
      outcomes_(plan.requests.size()),
      known_down_(static_cast<std::size_t>(scenario.routers), false),
      front_turn_(static_cast<std::size_t>(scenario.routers), 0) {}

void Crowd::Start() {
  for (std::size_t i = 0; i < plan_.requests.size(); ++i) {
    agenda_.At(plan_.requests[i].at, [this, i] {
      ++open_;
      Begin(i, 0);
    });
  }
}

void Crowd::Begin(std::size_t request, int number, const std::string& id) {
  const Planned& planned = plan_.requests[request];
  const ClassSettings& cls = scenario_.classes[static_cast<std::size_t>(planned.cls)].rules;
  State& state = state_[request];
  state.current = number;
  if (number == 0) state.first_sent = agenda_.now();
  Span left = planned.at + cls.deadline - agenda_.now();
  Try one;
  one.request = request;
  one.number = number;
  one.id = id.empty() ? fmt::format("{:016x}", random_.Word()) : id;
  if (!id.empty()) {
    settled_.erase(id);
    asked_again_[id] = number;
  }
  one.sent = agenda_.now();
  one.waits = std::min(left, world::FromMs(world::Ms(cls.deadline) * scenario_.gives_up_share));
  if (one.waits <= world::FromMs(1)) return End(request, Outcome::What::kFailed);
  one.router = planned.router;
  // Who lost its router does not wait for the front: it asks the next.
  if (state.returned) one.router = (planned.router + number) % scenario_.routers;
  for (int i = 0; i < scenario_.routers && known_down_[static_cast<std::size_t>(one.router)]; ++i)
    one.router = (one.router + 1) % scenario_.routers;
  one.facts = fmt::format("c={},t={},d={}", cls.name,
                          scenario_.tenants[static_cast<std::size_t>(planned.tenant)].name,
                          static_cast<std::int64_t>(world::Ms(one.waits)));
  if (cls.effect == Effect::kKeyed) {
    one.idempotency = fmt::format("{:016x}", request + 1);
    one.facts += ",k=" + one.idempotency;
  }
  if (number > 0) one.facts += ",r=1";
  if (planned.payload.version > 0) one.facts += fmt::format(",pv={}", planned.payload.version);
  if (planned.payload.reader >= 0) {
    const auto& reader = scenario_.publish.readers[static_cast<std::size_t>(planned.payload.reader)];
    one.facts += fmt::format(",rd={},rv={}", reader.name, reader.reads);
  }
  if (scenario_.failover && cls.effect != Effect::kSafe) one.work = fmt::format("{}", request);
  ++outcomes_[request].tries;
  referee_.Sent(one.id, plan_.keys[static_cast<std::size_t>(planned.key)], planned.cls, one.router, one.sent,
                one.waits, one.work, planned.tenant, planned.client);
  referee_.Carries(one.id, planned.payload);
  agenda_.In(one.waits, [this, one] { GiveUp(one); });
  agenda_.In(one.waits + world::FromMs(scenario_.grace_ms + 1), [this, one] { Unanswered(one); });
  carrier_.Send(one);
}

void Crowd::Served(const Try& one, std::string_view value) {
  referee_.Answered(one.id, Final::kServed, value, agenda_.now());
  if (!settled_.try_emplace(one.id, true).second || Over(one)) return;
  End(one.request, Outcome::What::kServed);
}

void Crowd::Rejected(const Try& one, Span come_back) {
  referee_.Answered(one.id, Final::kRejected, {}, agenda_.now());
  if (!settled_.try_emplace(one.id, true).second || Over(one)) return;
  Span wait = world::FromMs(scenario_.retry_wait_ms);
  if (random_.Chance(scenario_.obeys_share)) wait = std::max(wait, come_back);
  Again(one, Outcome::What::kRejected, wait, true);
}

void Crowd::Failed(const Try& one) {
  referee_.Answered(one.id, Final::kFailed, {}, agenda_.now());
  if (!settled_.try_emplace(one.id, true).second || Over(one)) return;
  Again(one, Outcome::What::kFailed, world::FromMs(scenario_.retry_wait_ms), false);
}

void Crowd::Unreachable(const Try& one) {
  referee_.NotTaken(one.id);
  if (!settled_.try_emplace(one.id, true).second || Over(one)) return;
  Again(one, Outcome::What::kFailed, world::FromMs(scenario_.retry_wait_ms), true);
}

void Crowd::Cut(const Try& one) {
  referee_.Unanswered(one.id, agenda_.now());
  if (!settled_.try_emplace(one.id, true).second || Over(one)) return;
  if (one.work.empty())
    return Again(one, Outcome::What::kFailed, world::FromMs(scenario_.retry_wait_ms), false);
  // Its work is kept for it: the same command, at another router.
  const Planned& planned = plan_.requests[one.request];
  const ClassSettings& cls = scenario_.classes[static_cast<std::size_t>(planned.cls)].rules;
  bool in_time = planned.at + cls.deadline - agenda_.now() >= world::FromSeconds(2);
  if (in_time && !std::exchange(state_[one.request].returned, true)) ++returned_;
  Again(one, Outcome::What::kFailed, world::FromMs(scenario_.retry_wait_ms), true,
        cls.effect == Effect::kUnsafe);
}

// The client's patience for this try is over; a late answer is still listened for, for the referee.
void Crowd::GiveUp(const Try& one) {
  if (settled_.contains(one.id) || Over(one)) return;
  Again(one, Outcome::What::kFailed, Span{}, false);
}

void Crowd::Unanswered(const Try& one) {
  auto again = asked_again_.find(one.id);
  if (again != asked_again_.end() && again->second != one.number) return;
  if (!settled_.contains(one.id)) referee_.Unanswered(one.id, agenda_.now());
}

void Crowd::Again(const Try& one, Outcome::What last, Span wait, bool harmless, bool same) {
  const Planned& planned = plan_.requests[one.request];
  const ClassSettings& cls = scenario_.classes[static_cast<std::size_t>(planned.cls)].rules;
  Time next = agenda_.now() + wait;
  bool may = harmless || cls.effect == Effect::kSafe ||
             (cls.effect == Effect::kKeyed && cls.dedup_group == DedupGroup::kAll &&
              next < state_[one.request].first_sent + cls.dedup_window);
  bool time = next < planned.at + cls.deadline - world::FromMs(5);
  if (!may || !time || one.number >= scenario_.retries) return End(one.request, last);
  state_[one.request].current = -1;
  agenda_.At(next, [this, one, same] { Begin(one.request, one.number + 1, same ? one.id : std::string()); });
}

void Crowd::End(std::size_t request, Outcome::What what) {
  state_[request].over = true;
  outcomes_[request].what = what;
  if (state_[request].returned && what == Outcome::What::kServed) ++returned_served_;
  outcomes_[request].at = agenda_.now();
  --open_;
}

void Crowd::RouterDown(int router, Span notices) {
  auto r = static_cast<std::size_t>(router);
  agenda_.In(notices, [this, r, turn = ++front_turn_[r]] {
    if (turn == front_turn_[r]) known_down_[r] = true;
  });
}

void Crowd::RouterUp(int router) {
  auto r = static_cast<std::size_t>(router);
  ++front_turn_[r];
  known_down_[r] = false;
}

}  // namespace peatbend::lab

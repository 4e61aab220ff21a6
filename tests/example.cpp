// A minimal router: passes events to a Balancer and carries out its actions.
#include <peatbend/balancer.h>

#include <chrono>
#include <cstdio>
#include <vector>

int main() {
  using namespace std::chrono_literals;
  using namespace peatbend;

  Settings settings;
  ClassSettings read;
  read.name = "read";
  read.aim = 300ms;
  read.deadline = 1s;
  settings.classes = {read};
  settings.try_limit = 3;
  Balancer balancer(settings, /*seed=*/42);

  std::vector<Action> actions;
  TimePoint now{5s};
  std::vector<ServerEntry> list(2);
  list[0].id = {"cache-a"};
  list[1].id = {"cache-b"};
  balancer.Handle(now, MembershipEvent{Scope::kFull, list}, actions);

  RequestEvent request;
  request.id = RequestId{1};
  request.key = Key{0xfeed};
  request.remaining = 1s;
  balancer.Handle(now, request, actions);

  int sent = 0;
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {  // a real router would send it
      std::printf("request %u goes to %s\n", static_cast<unsigned>(send->id), send->server.name.c_str());
      OutcomeEvent outcome;
      outcome.id = send->id;
      outcome.server = send->server.name;
      outcome.elapsed = 20ms;
      outcome.done = true;  // the answer went to the client
      std::vector<Action> more;
      balancer.Handle(now + 20ms, outcome, more);
      ++sent;
    }
  }
  return sent == 1 ? 0 : 1;
}
